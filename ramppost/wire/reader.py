"""Reads the requests of one connection: the only way in which bytes of clients reach a process.

What has arrived is handed to the parser part by part (a head, the bytes of a body, a trailer), so
that what a client sends ahead is not parsed with the request before it.  Chunks are merged
(`ramppost.wire.chunks`), memory is asked for before a large request is read
(`ramppost.wire.intake`), and work that takes long is done in slices between which others run.

    reader = RequestReader(conn, intake.open(sock), header_bytes)
    await reader.wait(15.0)                 # the first bytes of a request; False if none came
    head = await reader.read_head()
    body = await reader.read_body(4_194_304)
"""

from __future__ import annotations

import re
import select
from collections.abc import Awaitable, Callable
from typing import Any, Final, Literal, NamedTuple, TypeVar

import curio
import h11
from loguru import logger

from ramppost.wire.chunks import ChunkMerger, IllegalChunk
from ramppost.wire.intake import RETRY_S, UNREAD_BYTES, ClientSlot

READ_SIZE: Final = 65536
HEAD_READ_SIZE: Final = 16384
"""Between requests no more is read at once, as only what belongs to one request is wanted."""
AHEAD_BYTES: Final = 16384
"""What a client may send ahead while its request is served; then the connection is not read."""
HANGUP_POLL_S: Final = 0.1
DRAIN_PAUSE_S: Final = 0.01
"""Between two reads of what is dropped, as those whose bytes are wanted come first."""
FIELD_BYTES: Final = 500
"""Memory of a header field that was parsed, with its name and value as they came and normalized."""
MANY_FIELDS: Final = 128
"""Heads of no more fields are small."""
FIRST_CHUNKED_BYTES: Final = 262144
"""What is reserved for a large body in chunks first; then all that a body may have."""
LONG_PART_BYTES: Final = 4096
"""Parts from this size on may take the parser milliseconds."""
BLOCK_END: Final = re.compile(rb"\n\r?\n")
"""The end of a head or trailer, as the parser finds it."""

T = TypeVar("T")
"""What is read."""
Part = Literal["block", "length", "chunks"]


class BadInput(NamedTuple):
    """Why a request was not read: an HTTP status, a message, and when the client may come back."""

    status: int
    reason: str
    retry_after_s: float = 0.0


class NoMemory(Exception):
    """There is no memory for a large request now."""


async def read_or_refuse(timeout_s: float, reading: Awaitable[T]) -> T | BadInput:
    """The result of reading, or why the request is refused; none of it has run."""
    try:
        result: T = await curio.timeout_after(timeout_s, reading)
        return result
    except curio.TaskTimeout:
        return BadInput(408, f"request not complete after {timeout_s:g} s")
    except NoMemory:
        return BadInput(503, "too many large requests are being read", RETRY_S)
    except IllegalChunk:
        return BadInput(400, "malformed HTTP: illegal chunk header")
    except h11.RemoteProtocolError as exc:
        return BadInput(exc.error_status_hint or 400, f"malformed HTTP: {exc}")


async def serve_all(
    reader: RequestReader, wait: Callable[[], Awaitable[bool]], serve: Callable[[], Awaitable[bool]]
) -> None:
    """Serve the requests of a connection until there are no more, or `serve` says that it ends."""
    while await wait() and await serve():
        reader.conn.start_next_cycle()
        if reader.has_more:
            await curio.sleep(0)


async def serve_in_turn(reader: RequestReader, serve: Callable[[], Awaitable[None]]) -> None:
    """Serve a request that was read.

    Clients that send more before they are answered are served a few at a time, as others wait for
    their answers.
    """
    if reader.has_more:
        await reader.slot.serve_queued(serve)
    else:
        await serve()


def _too_large(max_bytes: int) -> BadInput:
    return BadInput(413, f"body larger than {max_bytes} bytes")


class RequestReader:
    """The bytes of one connection that are not parsed yet, and what they belong to."""

    def __init__(
        self,
        conn: h11.Connection,
        slot: ClientSlot,
        max_block_bytes: int,
        count_received: Callable[[int], None] = lambda count: None,
    ) -> None:
        self.conn = conn
        self.slot = slot
        self._count_received = count_received
        self._max_block_bytes = max_block_bytes
        self._raw = bytearray()
        self._part: Part = "block"
        self._searched = 0
        """Bytes of a block in which its end is known not to be."""
        self._length_left = 0
        self._chunks = ChunkMerger(max_block_bytes)
        self._request_bytes = 0
        """What the request that is being read holds, besides `_raw`."""
        self._has_received = False
        """Whether bytes of this request were received, since other tasks last ran."""

    # --- what servers call

    @property
    def has_more(self) -> bool:
        """Whether bytes of the next request are here."""
        return bool(self._raw) or bool(self.conn.trailing_data[0])

    async def wait(self, idle_timeout_s: float) -> bool:
        """Wait for the first bytes of a request; False if none come."""
        self._has_received = False
        if not self.has_more:
            try:
                data = await curio.timeout_after(idle_timeout_s, self._recv(HEAD_READ_SIZE))
            except curio.TaskTimeout:
                return False
            if not data:
                return False
            self._add(data)
            self._has_received = True
        self.slot.begin()
        self._hold()
        return True

    async def read_head(self) -> h11.Request | None:
        """Read the head of a request; None if the client closes the connection before its end.

        Raises NoMemory and what the parser does.
        """
        event = await self._next_event()
        return event if isinstance(event, h11.Request) else None

    @property
    def is_body_missing(self) -> bool:
        """Whether some of the body has yet to arrive."""
        if self._part == "length":
            return self._length_left > len(self._raw)
        return self._part == "chunks" and not self._raw.endswith(b"0\r\n\r\n")

    async def read_body(self, max_bytes: int, keeps: bool = True) -> bytes | BadInput | None:
        """Read the body of a request; it is dropped as it comes, and empty, unless `keeps`.

        The result is None if the client closes the connection before its end.  Raises NoMemory,
        IllegalChunk and what the parser does.
        """
        if self._length_left > max_bytes:
            return _too_large(max_bytes)
        body = bytearray()
        size = 0
        while True:
            if keeps:
                await self._reserve_body(size, max_bytes)
            event = await self._next_event()
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > max_bytes:
                    return _too_large(max_bytes)
                if keeps:
                    body += event.data
                    self._request_bytes += len(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return self._complete(bytes(body))
            else:
                return None

    async def watch(self) -> None:
        """Return when the client closes the connection; keeps a little of what it sends ahead."""
        while len(self._raw) < AHEAD_BYTES:
            try:
                data = await self._recv(AHEAD_BYTES - len(self._raw))
            except OSError:
                return
            if not data:
                return
            self._add(data)
            self._hold()
        if not self.slot.intake.is_short:
            await self._wait_for_hangup()

    async def drain(self, max_bytes: int, timeout_s: float) -> None:
        """Read and drop what still comes, as closing with unread bytes would discard the answer."""
        self._raw.clear()
        left = max_bytes
        async with curio.ignore_after(timeout_s):
            while left > 0 and (data := await self._recv(READ_SIZE)):
                left -= len(data)
                await curio.sleep(DRAIN_PAUSE_S)

    # --- parts

    async def _next_event(self) -> Any:
        """The next event of the parser, which is handed what it needs for that."""
        event = self.conn.next_event()
        while event is h11.NEED_DATA:
            await self._reserve_fields()
            if self._part == "length" or len(self._raw) < LONG_PART_BYTES:
                event = self._hand_on()
            else:
                async with self.slot.intake.long_work:
                    await curio.sleep(0)
                    event = self._hand_on()
            if event is None:
                event = await self._receive()
        self._follow(event)
        return event

    def _hand_on(self) -> Any:
        """Hand the next part to the parser; its event, or None if more has to arrive."""
        part = self._take_part()
        if not part:
            return None
        self.conn.receive_data(part)
        return self.conn.next_event()

    def _take_part(self) -> bytes:
        """Remove what the parser may be handed next; empty if more has to arrive."""
        if self._part == "chunks":
            part = self._chunks.take(self._raw)
            if self._chunks.at_trailer:
                self._part = "block"
            return part
        end = self._length_left if self._part == "length" else self._block_end()
        part = bytes(self._raw[:end])
        del self._raw[:end]
        if part:
            self._searched = 0
        if self._part == "length":
            self._length_left -= len(part)
        return part

    def _block_end(self) -> int:
        """Where a head or trailer ends; 0 if its end has yet to arrive.

        One that can't be right is handed on as it is, and the parser says what is wrong.
        """
        raw = self._raw
        if raw[:1] == b"\n":
            return 1
        if raw[:2] == b"\r\n":
            return 2
        found = BLOCK_END.search(raw, self._searched)
        if found is not None:
            return found.end()
        if len(raw) > self._max_block_bytes or (raw and raw[0] <= ord(" ")):
            return len(raw)
        self._searched = max(0, len(raw) - 2)
        return 0

    def _follow(self, event: Any) -> None:
        """Find out from an event what the next bytes belong to."""
        if isinstance(event, h11.Request):
            headers = dict(event.headers)
            if b"transfer-encoding" in headers:
                self._part = "chunks"
                self._chunks = ChunkMerger(self._max_block_bytes)
            else:
                self._part = "length"
                self._length_left = int(headers.get(b"content-length", b"0"))
        elif isinstance(event, h11.EndOfMessage):
            self._part = "block"

    def _complete(self, body: bytes) -> bytes:
        """The whole request was read."""
        self.slot.complete()
        self.slot.shrink(self._request_bytes)
        return body

    def forget_request(self) -> None:
        """What was read of the request is not held any more."""
        self._request_bytes = 0

    # --- bytes

    async def _recv(self, size: int) -> bytes:
        """What the client sends next; empty once it has ended or was given up.

        A client that was given up may still send, and the kernel would go on to deliver that.
        """
        data: bytes = await self.slot.sock.recv(size)
        return b"" if self.slot.was_cut else data

    def _add(self, data: bytes) -> None:
        self._raw += data
        self.slot.received_bytes += len(data)
        self._count_received(len(data))

    def _hold(self) -> None:
        """Tell what is held here; where much was sent ahead, the kernel holds more of it."""
        unread = UNREAD_BYTES if len(self._raw) >= AHEAD_BYTES else 0
        self.slot.hold(self._request_bytes + len(self._raw) + unread)

    async def _receive(self) -> Any:
        """Receive more; other tasks run before, as more may be here at once, and so on.

        The result is what the parser says then, which is more than that it needs data only where
        the client has closed the connection.
        """
        if self.conn.they_are_waiting_for_100_continue:
            informational = h11.InformationalResponse(status_code=100, headers=[])
            await self.slot.sock.sendall(self.conn.send(informational) or b"")
        if self._has_received:
            await curio.sleep(0)
        self._has_received = True
        data = await self._recv(HEAD_READ_SIZE if self._part == "block" else READ_SIZE)
        if data:
            self._add(data)
            self._hold()
            return h11.NEED_DATA
        self.conn.receive_data(bytes(self._raw))
        self._raw.clear()
        self.conn.receive_data(b"")
        return self.conn.next_event()

    # --- memory

    async def _reserve_fields(self) -> None:
        """Reserve memory for a head of many fields, which take many times what they came in."""
        if self._part != "block" or len(self._raw) < LONG_PART_BYTES:
            return
        fields = self._raw.count(b"\n", 0, self._block_end())
        if fields > MANY_FIELDS:
            self._request_bytes += fields * FIELD_BYTES
            await self._reserve(self._request_bytes)

    async def _reserve_body(self, size: int, max_bytes: int) -> None:
        """Reserve memory for a body that is large, or that turns out to be, as chunks tell no
        length."""
        is_chunked = self._part == "chunks"
        whole = size + (len(self._raw) if is_chunked else self._length_left)
        if self._part == "block" or not self.slot.is_large(whole):
            return
        may_grow = is_chunked and whole < FIRST_CHUNKED_BYTES
        if is_chunked:
            whole = FIRST_CHUNKED_BYTES if may_grow else max_bytes
        await self._reserve(self._request_bytes - size + whole, may_grow)

    async def _reserve(self, count: int, may_grow: bool = False) -> None:
        if not await self.slot.reserve(count, may_grow):
            raise NoMemory

    async def _wait_for_hangup(self) -> None:
        """Wait until the client closes the connection, of which no more is read."""
        poll = select.poll()
        poll.register(self.slot.sock.fileno(), select.POLLRDHUP)
        while not poll.poll(0):
            await curio.sleep(HANGUP_POLL_S)
        logger.debug("client left with bytes sent ahead")
