"""An HTTP/1.1 client: h11 over curio, with connections kept for reuse.

`call` reads a whole answer within a time; `fetch` gives an answer of any size as long as
its bytes keep coming; `open_stream` gives an answer to be read line by line.  A failure is a
value, `CallFailed`, that says whether the request may have reached the other side.
"""

from __future__ import annotations

import select
import socket
from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple

import curio
import h11

from ramppost import clock

READ_SIZE: Final = 65536
MAX_IDLE: Final = 32
MAX_LINE: Final = 8 * 1024 * 1024
CONNECT_TIMEOUT_S: Final = 2.0
STALL_TIMEOUT_S: Final = 1.5
"""Silence in the middle of an answer after which it is given up: longer than a lost packet that
is sent again twice, and than a process that waits for its processor."""
SLOWEST_BPS: Final = 50_000.0
"""Bytes a second that any link has left for one transfer: a twelfth of one of 0.6 MB/s."""
LONGEST_FETCH_S: Final = 20.0
"""A megabyte at that rate; an answer that trickles for longer is worth beginning anew."""
UNSPECIFIED: Final = ("", "0.0.0.0")


class CallFailed(NamedTuple):
    """A call without an answer; `sent` is false only if nothing can have arrived.

    `refused` is true where the box answered that nobody listens at the address.
    """

    reason: str
    sent: bool
    refused: bool = False


class Response(NamedTuple):
    """A whole answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class _Link:
    """A connection and its protocol state."""

    def __init__(self, sock: Any) -> None:
        self.sock = sock
        self.h11 = h11.Connection(h11.CLIENT)


def readable(fd: int) -> bool:
    """Whether bytes, an end or an error have come in on a file descriptor."""
    poller = select.poll()
    poller.register(fd, select.POLLIN | select.POLLHUP | select.POLLERR)
    return bool(poller.poll(0))


class Pool:
    """Idle connections by address, and the bytes that went over all of them.

    Connections leave from the address `source`, where one is given: a box with
    several is known to others by the one that it listens on.
    """

    def __init__(self, source: str = "") -> None:
        self.source = None if source in UNSPECIFIED else (source, 0)
        self.idle_connections: dict[str, list[_Link]] = {}
        self.bytes_out = 0
        self.bytes_in = 0

    def take_idle(self, addr: str) -> _Link | None:
        """An idle connection that the other side has not closed."""
        links = self.idle_connections.get(addr, [])
        while links:
            link = links.pop()
            if not readable(link.sock.fileno()):
                return link
            link.sock._socket.close()
        return None

    def return_idle(self, addr: str, link: _Link) -> bool:
        """Keep a connection for reuse; false if it can't be."""
        if link.h11.our_state is not h11.DONE or link.h11.their_state is not h11.DONE:
            return False
        links = self.idle_connections.setdefault(addr, [])
        if len(links) >= MAX_IDLE:
            return False
        link.h11.start_next_cycle()
        links.append(link)
        return True

    def close_idle(self, addr: str) -> None:
        """Close the idle connections to an address.

        One that says nothing more without being closed is seldom alone: all that were open may
        have gone silent at once, and each would cost a call's whole time.
        """
        for link in self.idle_connections.pop(addr, []):
            link.sock._socket.close()

    def close_all_idle(self) -> None:
        """Close all idle connections."""
        for addr in list(self.idle_connections):
            self.close_idle(addr)


class Stream:
    """An answer being read.  Close it when done, read to the end or not."""

    def __init__(self, pool: Pool, addr: str, link: _Link) -> None:
        self._pool = pool
        self._addr = addr
        self._link = link
        self._buf = bytearray()
        self._ended = False
        self.status = 0
        self.headers: dict[str, str] = {}

    async def read_head(self) -> None:
        """Read up to the end of the head; raises OSError on a cut."""
        event = await self._event()
        if not isinstance(event, h11.Response):
            raise ConnectionResetError("connection closed before the answer")
        self.status = event.status_code
        self.headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in event.headers}

    async def read_piece(self) -> bytes:
        """The next bytes of the body, empty at its end; raises OSError on a cut."""
        if self._ended:
            return b""
        event = await self._event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._ended = True
            return b""
        raise ConnectionResetError("connection closed within the answer")

    async def read_line(self) -> bytes:
        """The next line without its end, empty at the end; raises OSError on a cut."""
        while True:
            end = self._buf.find(b"\n")
            if end >= 0:
                line = bytes(self._buf[:end])
                del self._buf[: end + 1]
                if line.strip():
                    return line
                continue
            piece = await self.read_piece()
            if not piece:
                return b""
            self._buf += piece
            if len(self._buf) > MAX_LINE:
                raise ConnectionResetError("line too long")

    async def drain(self) -> None:
        """Read what is left, so that the connection can be kept; a cut is no matter."""
        try:
            while await self.read_piece():
                pass
        except OSError:
            self._ended = True

    async def close(self) -> None:
        """Keep the connection for reuse where it was read to its end, else close it."""
        if not self._pool.return_idle(self._addr, self._link):
            await self._link.sock.close()

    async def _event(self) -> Any:
        while True:
            try:
                event = self._link.h11.next_event()
            except h11.RemoteProtocolError as exc:
                raise ConnectionResetError(str(exc)) from exc
            if event is h11.NEED_DATA:
                data = await self._link.sock.recv(READ_SIZE)
                self._pool.bytes_in += len(data)
                self._link.h11.receive_data(data)
            elif not isinstance(event, h11.InformationalResponse):
                return event


async def open_stream(
    pool: Pool,
    addr: str,
    method: str,
    path: str,
    body: bytes = b"",
    timeout_s: float = 5.0,
    headers: tuple[tuple[str, str], ...] = (),
) -> Stream | CallFailed:
    """Send a request and read the head of its answer within `timeout_s`."""
    link = pool.take_idle(addr)
    if link is None:
        sock = await connect(addr, pool.source, min(timeout_s, CONNECT_TIMEOUT_S))
        if isinstance(sock, CallFailed):
            return sock
        link = _Link(sock)
    head = h11.Request(
        method=method,
        target=path,
        headers=[("host", addr), ("content-length", str(len(body))), *headers],
    )
    data = (link.h11.send(head) or b"") + (link.h11.send(h11.Data(data=body)) or b"")
    data += link.h11.send(h11.EndOfMessage()) or b""
    stream = Stream(pool, addr, link)
    try:
        async with curio.timeout_after(timeout_s):
            await link.sock.sendall(data)
            pool.bytes_out += len(data)
            await stream.read_head()
    except curio.TaskTimeout:
        await link.sock.close()
        pool.close_idle(addr)
        return CallFailed(f"no answer from {addr} in {timeout_s:g} s", True)
    except OSError as exc:
        await link.sock.close()
        return CallFailed(f"{addr}: {exc}", True)
    except curio.CancelledError:
        await link.sock.close()
        raise
    return stream


async def call(
    pool: Pool,
    addr: str,
    method: str,
    path: str,
    body: bytes = b"",
    timeout_s: float = 5.0,
    headers: tuple[tuple[str, str], ...] = (),
) -> Response | CallFailed:
    """Send a request and read its whole answer within `timeout_s`."""
    opening = open_stream(pool, addr, method, path, body, timeout_s, headers)
    return await _read_whole(pool, addr, opening, timeout_s, None)


async def fetch(
    pool: Pool,
    addr: str,
    method: str,
    path: str,
    body: bytes = b"",
    timeout_s: float = 5.0,
    headers: tuple[tuple[str, str], ...] = (),
    begun: Callable[[], None] = lambda: None,
) -> Response | CallFailed:
    """Send a request, read the head of its answer within `timeout_s` and then the body; `begun`
    is called in between.

    The time for the head grows with what is sent, and the body may take as long as bytes keep
    coming.  Where 0.87 MB went over a link of 0.6 MB/s, a limit of 1 s for the whole gave up
    each transfer and began it anew for ever.
    """
    head_s = timeout_s + len(body) / SLOWEST_BPS
    opening = open_stream(pool, addr, method, path, body, head_s, headers)
    return await _read_whole(pool, addr, opening, head_s + LONGEST_FETCH_S, STALL_TIMEOUT_S, begun)


async def _read_whole(
    pool: Pool,
    addr: str,
    opening: Awaitable[Stream | CallFailed],
    longest_s: float,
    stall_s: float | None,
    begun: Callable[[], None] = lambda: None,
) -> Response | CallFailed:
    """The whole answer of a request that is being sent.

    It is given up after `longest_s` in all, or when no piece of the body comes for `stall_s`.
    """
    stream: Stream | CallFailed | None = None
    data = bytearray()
    began = clock.now()
    try:
        async with curio.timeout_after(longest_s):
            stream = await opening
            if isinstance(stream, CallFailed):
                return stream
            begun()
            while piece := await _next_piece(stream, stall_s):
                data += piece
            return Response(stream.status, stream.headers, bytes(data))
    except (curio.TaskTimeout, TimeoutError):
        pool.close_idle(addr)
        after_s = clock.now() - began
        read = _progress(stream, data)
        return CallFailed(f"no whole answer from {addr} in {after_s:.1f} s{read}", True)
    except OSError as exc:
        return CallFailed(f"{addr}: {exc}", True)
    finally:
        if isinstance(stream, Stream):
            await stream.close()


async def _next_piece(stream: Stream, stall_s: float | None) -> bytes:
    """The next bytes of the body; raises TimeoutError where none come for `stall_s`.

    A timeout of curio's must not leave the time for the whole around it: that raises
    UncaughtTimeoutError, which ends the task.
    """
    if stall_s is None:
        return await stream.read_piece()
    try:
        async with curio.timeout_after(stall_s):
            return await stream.read_piece()
    except curio.TaskTimeout as exc:
        raise TimeoutError(f"silent for {stall_s:g} s") from exc


def _progress(stream: Stream | CallFailed | None, data: bytearray) -> str:
    """How much of an answer had come, for the reason of a failure; empty before its head."""
    if not isinstance(stream, Stream):
        return ""
    return f", {len(data)} of {stream.headers.get('content-length', '?')} bytes read"


async def connect(addr: str, source: tuple[str, int] | None, timeout_s: float) -> Any:
    """A connected socket, or `CallFailed`: nothing can have arrived.

    It leaves from the address `source`, where one is given.
    """
    host, _, port = addr.rpartition(":")
    # Not curio.open_connection: it looks names up in a thread, even where there is none.
    sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        if source is not None:
            sock.bind(source)
        async with curio.timeout_after(timeout_s):
            await sock.connect((host, int(port)))
    except curio.TaskTimeout:
        await sock.close()
        return CallFailed(f"no connection to {addr} in {timeout_s:g} s", False)
    except (OSError, ValueError) as exc:
        await sock.close()
        refused = isinstance(exc, ConnectionRefusedError)
        return CallFailed(f"no connection to {addr}: {exc}", False, refused)
    except curio.CancelledError:
        await sock.close()
        raise
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock
