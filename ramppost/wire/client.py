"""An HTTP/1.1 client that runs h11 on curio, with a pool of idle connections.

`call` reads a complete response within a timeout; `fetch` allows a large response more time as
long as it keeps receiving bytes; `open_stream` returns a response that is read line by line.  A
failure is returned as a `CallFailed`, which tells whether the request may have reached the server.
"""

from __future__ import annotations

import select
import socket
from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple

import curio
import h11

from ramppost import clock
from ramppost.wire.digits import parse_digits
from ramppost.wire.heads import MAX_INFORMATIONAL, Head, head_fault
from ramppost.wire.turns import Turn

READ_SIZE: Final = 65536
MAX_IDLE_PER_ADDRESS: Final = 32
MAX_LINE_BYTES: Final = 8 * 1024 * 1024
MAX_SHORT_BODY_BYTES: Final = 256 * 1024
"""For calls that are answered with a few fields or a short list."""
MAX_BODY_BYTES: Final = 8 * 1024 * 1024
"""For calls that are answered with an object, of 1 MB at the most, or a report."""
MAX_LIST_BYTES: Final = 16 * 1024 * 1024
"""For calls that are answered with many objects at once."""
MAX_STREAM_BYTES: Final = 64 * 1024 * 1024
"""For a response that is read line by line, of which not all is kept."""
MAX_DRAINED_BYTES: Final = 65536
DRAIN_TIMEOUT_S: Final = 1.0
CONNECT_TIMEOUT_S: Final = 2.0
STALL_TIMEOUT_S: Final = 1.5
"""The read of a body is abandoned if no bytes arrive for this time.  It is longer than two
retransmissions of a lost packet take, and than a process waits to be scheduled."""
MIN_BYTES_PER_S: Final = 50_000.0
"""The least throughput that a transfer is expected to get, in bytes per second: a twelfth of a link
of 0.6 MB/s."""
MAX_BODY_READ_S: Final = 20.0
"""The time for 1 MB at `MIN_BYTES_PER_S`; a slower response is better requested again."""
UNSPECIFIED_HOSTS: Final = ("", "0.0.0.0")


class CallFailed(NamedTuple):
    """A call without a complete response; `sent` is false only if nothing can have arrived.

    `refused` is true if the box refused the connection because nothing listens at the address.
    """

    reason: str
    sent: bool
    refused: bool = False


class Response(NamedTuple):
    """A complete response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class _Connection:
    """A connection and its HTTP protocol state."""

    def __init__(self, sock: Any) -> None:
        self.sock = sock
        self.h11 = h11.Connection(h11.CLIENT)


def readable(fd: int) -> bool:
    """Whether a file descriptor has data, an end of file or an error to read."""
    poller = select.poll()
    poller.register(fd, select.POLLIN | select.POLLHUP | select.POLLERR)
    return bool(poller.poll(0))


class Pool:
    """Idle connections by address, and the bytes sent and received on all connections.

    Connections are made from the address `source` if one is given, because other boxes know a box
    with several addresses by the one that it listens on.
    """

    def __init__(self, source: str = "") -> None:
        self.source = None if source in UNSPECIFIED_HOSTS else (source, 0)
        self.idle_connections: dict[str, list[_Connection]] = {}
        self.long_work = curio.Lock()
        self.bytes_out = 0
        self.bytes_in = 0

    def take_idle(self, addr: str) -> _Connection | None:
        """Take an idle connection that the peer has not closed, if there is one."""
        connections = self.idle_connections.get(addr, [])
        while connections:
            connection = connections.pop()
            if not readable(connection.sock.fileno()):
                return connection
            connection.sock._socket.close()
        return None

    def return_idle(self, addr: str, connection: _Connection) -> bool:
        """Keep a connection for reuse; false if it can't be reused or the pool is full."""
        if connection.h11.our_state is not h11.DONE or connection.h11.their_state is not h11.DONE:
            return False
        connections = self.idle_connections.setdefault(addr, [])
        if len(connections) >= MAX_IDLE_PER_ADDRESS:
            return False
        connection.h11.start_next_cycle()
        connections.append(connection)
        return True

    def close_idle(self, addr: str) -> None:
        """Close the idle connections to an address.

        If one connection stops responding without being closed, all that were open to the address
        have often failed at once, and each would cost a call its full timeout.
        """
        for connection in self.idle_connections.pop(addr, []):
            connection.sock._socket.close()

    def close_all_idle(self) -> None:
        """Close all idle connections."""
        for addr in list(self.idle_connections):
            self.close_idle(addr)


class Stream:
    """A response that is being read.  It must be closed, whether it was read to the end or not."""

    def __init__(self, pool: Pool, addr: str, connection: _Connection, max_body_bytes: int) -> None:
        self._pool = pool
        self._addr = addr
        self._connection = connection
        self._turn = Turn(pool.long_work)
        self._buffer = bytearray()
        self._max_body_bytes = max_body_bytes
        self._body_bytes = 0
        self._ended = False
        self.status = 0
        self.headers: dict[str, str] = {}

    async def read_head(self) -> None:
        """Read the status and the headers; raises OSError if the connection fails."""
        event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise ConnectionResetError("connection closed before the answer")
        self.status = event.status_code
        self.headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in event.headers}
        length = parse_digits(self.headers.get("content-length", "0"))
        if length is None or length > self._max_body_bytes:
            raise self._too_large()

    async def read_chunk(self) -> bytes:
        """The next bytes of the body, empty at its end; raises OSError if the connection fails."""
        if self._ended:
            return b""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            self._body_bytes += len(event.data)
            if self._body_bytes > self._max_body_bytes:
                raise self._too_large()
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._ended = True
            return b""
        raise ConnectionResetError("connection closed within the answer")

    async def read_line(self) -> bytes:
        """The next non-empty line without its line feed, or empty bytes at the end of the body.

        Raises OSError if the connection fails or the line is too long.
        """
        while True:
            await self._turn.pass_on()
            end = self._buffer.find(b"\n")
            if end >= 0:
                line = bytes(self._buffer[:end])
                del self._buffer[: end + 1]
                if line.strip():
                    return line
                continue
            chunk = await self.read_chunk()
            if not chunk:
                return b""
            self._buffer += chunk
            if len(self._buffer) > MAX_LINE_BYTES:
                raise ConnectionResetError("line too long")

    async def drain(self) -> None:
        """Read the rest of the body, so that the connection can be reused, if it ends soon;
        failures are ignored."""
        self._max_body_bytes = self._body_bytes + MAX_DRAINED_BYTES
        try:
            async with curio.ignore_after(DRAIN_TIMEOUT_S):
                while await self.read_chunk():
                    pass
        except OSError:
            self._ended = True

    async def close(self) -> None:
        """Return the connection to the pool if the response was read to its end, else close it."""
        if not self._pool.return_idle(self._addr, self._connection):
            await self._connection.sock.close()

    def _too_large(self) -> ConnectionResetError:
        return ConnectionResetError(f"body larger than {self._max_body_bytes} bytes")

    async def _next_event(self) -> Any:
        informational = 0
        while True:
            await self._turn.pass_on()
            try:
                event = self._connection.h11.next_event()
            except h11.RemoteProtocolError as exc:
                raise ConnectionResetError(str(exc)) from exc
            if event is h11.NEED_DATA:
                data = await self._turn.receive(self._connection.sock, READ_SIZE)
                self._pool.bytes_in += len(data)
                self._connection.h11.receive_data(data)
                continue
            if isinstance(event, Head) and (fault := head_fault(event)):
                raise ConnectionResetError(f"not an answer: {fault}")
            if not isinstance(event, h11.InformationalResponse):
                return event
            informational += 1
            if informational > MAX_INFORMATIONAL:
                raise ConnectionResetError("informational answers without end")


async def open_stream(
    pool: Pool,
    addr: str,
    method: str,
    path: str,
    body: bytes = b"",
    timeout_s: float = 5.0,
    headers: tuple[tuple[str, str], ...] = (),
    max_body_bytes: int = MAX_STREAM_BYTES,
) -> Stream | CallFailed:
    """Send a request and read the head of its response within `timeout_s`.

    To read more than `max_body_bytes` of its body is a failure.
    """
    connection = pool.take_idle(addr)
    if connection is None:
        sock = await connect(addr, pool.source, min(timeout_s, CONNECT_TIMEOUT_S))
        if isinstance(sock, CallFailed):
            return sock
        connection = _Connection(sock)
    head = h11.Request(
        method=method,
        target=path,
        headers=[("host", addr), ("content-length", str(len(body))), *headers],
    )
    data = (connection.h11.send(head) or b"") + (connection.h11.send(h11.Data(data=body)) or b"")
    data += connection.h11.send(h11.EndOfMessage()) or b""
    stream = Stream(pool, addr, connection, max_body_bytes)
    try:
        async with curio.timeout_after(timeout_s):
            await connection.sock.sendall(data)
            pool.bytes_out += len(data)
            await stream.read_head()
    except curio.TaskTimeout:
        await connection.sock.close()
        pool.close_idle(addr)
        return CallFailed(f"no answer from {addr} in {timeout_s:g} s", True)
    except OSError as exc:
        await connection.sock.close()
        return CallFailed(f"{addr}: {exc}", True)
    except curio.CancelledError:
        await connection.sock.close()
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
    max_body_bytes: int = MAX_BODY_BYTES,
) -> Response | CallFailed:
    """Send a request and read its complete response within `timeout_s`.

    A response with a larger body than `max_body_bytes` is a failure.
    """
    pending_stream = open_stream(pool, addr, method, path, body, timeout_s, headers, max_body_bytes)
    return await _read_response(pool, addr, pending_stream, timeout_s, None)


async def fetch(
    pool: Pool,
    addr: str,
    method: str,
    path: str,
    body: bytes = b"",
    timeout_s: float = 5.0,
    headers: tuple[tuple[str, str], ...] = (),
    on_head: Callable[[], None] = lambda: None,
    max_body_bytes: int = MAX_LIST_BYTES,
) -> Response | CallFailed:
    """Send a request, read the head of its response within `timeout_s`, and then read the body.

    `on_head` is called between the two.  The timeout of the head grows with the size of the request
    body.  The read of the response body is abandoned if no bytes arrive for `STALL_TIMEOUT_S`,
    after `MAX_BODY_READ_S`, or if it is larger than `max_body_bytes`.  With a limit of 1 s for the
    complete response, a transfer of 0.87 MB over a link of 0.6 MB/s was aborted and restarted for
    ever.
    """
    head_s = timeout_s + len(body) / MIN_BYTES_PER_S
    pending_stream = open_stream(pool, addr, method, path, body, head_s, headers, max_body_bytes)
    return await _read_response(
        pool, addr, pending_stream, head_s + MAX_BODY_READ_S, STALL_TIMEOUT_S, on_head
    )


async def _read_response(
    pool: Pool,
    addr: str,
    pending_stream: Awaitable[Stream | CallFailed],
    max_total_s: float,
    stall_timeout_s: float | None,
    on_head: Callable[[], None] = lambda: None,
) -> Response | CallFailed:
    """Send the request of `pending_stream` and read the complete response.

    The read is abandoned after `max_total_s` in all, or if no bytes of the body arrive for
    `stall_timeout_s`.
    """
    stream: Stream | CallFailed | None = None
    data = bytearray()
    started_at = clock.now()
    try:
        async with curio.timeout_after(max_total_s):
            stream = await pending_stream
            if isinstance(stream, CallFailed):
                return stream
            on_head()
            while chunk := await _read_next_chunk(stream, stall_timeout_s):
                data += chunk
            return Response(stream.status, stream.headers, bytes(data))
    except (curio.TaskTimeout, TimeoutError):
        pool.close_idle(addr)
        elapsed_s = clock.now() - started_at
        progress = _describe_progress(stream, data)
        return CallFailed(f"no whole answer from {addr} in {elapsed_s:.1f} s{progress}", True)
    except OSError as exc:
        return CallFailed(f"{addr}: {exc}", True)
    finally:
        if isinstance(stream, Stream):
            await stream.close()


async def _read_next_chunk(stream: Stream, stall_timeout_s: float | None) -> bytes:
    """The next bytes of the body; raises TimeoutError if none arrive for `stall_timeout_s`.

    The TaskTimeout of an inner curio timeout must not propagate into the outer timeout of the
    complete response: that raises UncaughtTimeoutError, which ends the task.
    """
    if stall_timeout_s is None:
        return await stream.read_chunk()
    try:
        async with curio.timeout_after(stall_timeout_s):
            return await stream.read_chunk()
    except curio.TaskTimeout as exc:
        raise TimeoutError(f"silent for {stall_timeout_s:g} s") from exc


def _describe_progress(stream: Stream | CallFailed | None, data: bytearray) -> str:
    """How much of a body was read, as part of a failure reason; empty if no head was read."""
    if not isinstance(stream, Stream):
        return ""
    return f", {len(data)} of {stream.headers.get('content-length', '?')} bytes read"


async def connect(addr: str, source: tuple[str, int] | None, timeout_s: float) -> Any:
    """Return a connected socket, or a `CallFailed` with `sent` false.

    The socket is bound to the address `source` if one is given.
    """
    host, _, port = addr.rpartition(":")
    # curio.open_connection resolves host names in a thread, even if the host is an IP address.
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
