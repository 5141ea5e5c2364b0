"""Pooled HTTP connections to upstreams, each used for one request at a time.

`open_exchange` sends a request and returns an `Exchange` to read its response from.  Each failure
is returned as a value that tells whether the request may have arrived: `NotSent` or `Broken`.  A
late response to an earlier request is read and discarded; an idle connection with unread bytes is
closed.  Bytes that no request's id belongs to, or a success without its upstream's signature, are
no response: what they say is not believed, and the request may have run.

A faulty upstream may send bytes without end.  A head that has begun must be whole within
`MAX_HEAD_S`, and a response to another request within `MAX_SKIP_S`; heads, discarded responses and
bodies have a largest size.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any, Final, NamedTuple

import curio
import h11
from loguru import logger

from ramppost import clock
from ramppost.gateway.model import Upstream
from ramppost.platform.headers import AnswerHead, Headers, answer_head
from ramppost.wire.client import CallFailed, connect, readable
from ramppost.wire.heads import MAX_INFORMATIONAL, Head, head_fault
from ramppost.wire.turns import Turn

READ_SIZE: Final = 65536
CONNECT_TIMEOUT_S: Final = 0.4
"""Many times the latency between halls; a lost SYN packet would be retransmitted after 1 s."""
MAX_IDLE_PER_UPSTREAM: Final = 12
"""Maximum idle connections to one upstream, as upstreams limit the connections of all callers."""
DEFAULT_IDLE_TIMEOUT_S: Final = 4.0
"""How long an idle connection may be reused if the upstream announces no timeout."""
IDLE_TIMEOUT_MARGIN_S: Final = 1.0
"""Subtracted from the announced timeout, so that the upstream does not close during a send."""
MAX_INLINE_SEND_BYTES: Final = 8192
"""Larger requests are sent while the response is read, which may arrive before all is sent."""
MAX_SKIPPED_RESPONSES: Final = 4
"""Responses to other requests that are skipped before a connection is given up."""
MAX_HEAD_S: Final = 1.0
"""Many times what a head takes that was lost once on the way."""
MAX_SKIP_S: Final = 1.0
MAX_SKIPPED_BYTES: Final = 1 << 20
MAX_BODY_BYTES: Final = 64 << 20
"""More than any model or service answers."""
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
"""Keep-alive probes detect an unreachable upstream within about 3 s."""


class NotSent(NamedTuple):
    """The request was not sent, so nothing can have run.

    `withheld` is true if the gateway decided not to send it, `refused` if nothing listens at the
    upstream's address.
    """

    reason: str
    withheld: bool = False
    refused: bool = False


class Broken(NamedTuple):
    """The connection failed after sending: the request may have run.

    `by_peer` is true if the peer closed the connection or violated the protocol, and false if this
    gateway gave up.  `left_unread` is true if the peer may have given up because this gateway did
    not read from it while the caller paused.
    """

    reason: str
    by_peer: bool = False
    left_unread: bool = False


class BodyEnd(NamedTuple):
    """The end of a response; `framed` is false if only the close of the connection marks it."""

    framed: bool


class OutgoingRequest(NamedTuple):
    """A request to send to an upstream."""

    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    attempt_id: str


ComposeRequest = Callable[[], OutgoingRequest | NotSent]
"""Returns the request to send once connected, or the reason why it must not be sent any more."""

HeadObserver = Callable[[Upstream, AnswerHead, float], None]
"""Called with each response head of an upstream, and when the request that it answers was sent:
minus infinity if that is not known, as for a response to an earlier request."""


def _ignore_head(upstream: Upstream, head: AnswerHead, sent_at: float) -> None:
    """Observe nothing."""


class PooledConnection:
    """A connection to an upstream."""

    def __init__(self, sock: Any, upstream: Upstream) -> None:
        self.sock = sock
        self.upstream = upstream
        self.h11 = h11.Connection(h11.CLIENT)
        self.idle_until = 0.0


class ConnectionPool:
    """Idle connections by upstream, with counts of opened and reused connections."""

    def __init__(self, source_host: str, observe_head: HeadObserver = _ignore_head) -> None:
        self.source_host = source_host
        self.observe_head = observe_head
        self.idle_connections: dict[str, list[PooledConnection]] = {}
        self.long_work = curio.Lock()
        self.opened = 0
        self.reused = 0
        self.last_received_at: dict[str, float] = {}
        """When bytes last arrived from an upstream, on the steady clock."""

    def take_idle(self, upstream: Upstream, now: float) -> PooledConnection | None:
        """Take an idle connection that can be reused, the most recently used first."""
        idle = self.idle_connections.get(upstream.key, [])
        while idle:
            connection = idle.pop()
            if now < connection.idle_until and not readable(connection.sock.fileno()):
                self.reused += 1
                return connection
            connection.sock._socket.close()
        return None

    def return_idle(
        self, connection: PooledConnection, keep_alive_s: float | None, now: float
    ) -> bool:
        """Keep a connection for reuse; false if it can't be kept."""
        idle = self.idle_connections.setdefault(connection.upstream.key, [])
        idle_s = (
            DEFAULT_IDLE_TIMEOUT_S if keep_alive_s is None else keep_alive_s - IDLE_TIMEOUT_MARGIN_S
        )
        if len(idle) >= MAX_IDLE_PER_UPSTREAM or idle_s <= 0:
            return False
        connection.h11.start_next_cycle()
        connection.idle_until = now + idle_s
        idle.append(connection)
        return True

    def drop_upstream(self, upstream_key: str) -> None:
        """Close the idle connections to an upstream that has left."""
        for connection in self.idle_connections.pop(upstream_key, []):
            connection.sock._socket.close()
        self.last_received_at.pop(upstream_key, None)

    def close_expired(self, now: float) -> None:
        """Close idle connections whose timeout has passed."""
        for upstream_key, idle in list(self.idle_connections.items()):
            unexpired = [connection for connection in idle if now < connection.idle_until]
            for connection in idle:
                if now >= connection.idle_until:
                    connection.sock._socket.close()
            self.idle_connections[upstream_key] = unexpired


class Exchange:
    """A request and its response.  Call `finish` or `abort` when done."""

    def __init__(
        self, pool: ConnectionPool, connection: PooledConnection, req: OutgoingRequest
    ) -> None:
        self._pool = pool
        self._connection = connection
        self._req = req
        self._sender: Any = None
        self._turn = Turn(pool.long_work)
        self._unread = b""
        """Bytes of the body that were received, and are read next."""
        self._send_error: OSError | None = None
        """Why a large request was not sent whole; a socket tells an error only once."""
        self._ended = False
        self._framed = True
        self._keep_alive_s: float | None = None
        self.body_bytes = 0
        """Bytes of the body that were read."""
        self._awaits_head = True
        self._head_begun_at: float | None = None
        """When the first bytes of a head arrived that is not whole yet."""
        self.sent_at = clock.now()

    async def send(self) -> Broken | None:
        """Send the request; a large one is sent while the response is read."""
        head = _encode_request(self._connection.h11, self._req)
        body = self._req.body
        try:
            if len(head) + len(body) <= MAX_INLINE_SEND_BYTES:
                await self._connection.sock.sendall(head + body)
            else:
                self._sender = await curio.spawn(self._send_concurrently, head, body, daemon=True)
        except OSError as exc:
            return Broken(f"sending failed: {exc}", by_peer=True)
        return None

    async def read_head(self) -> AnswerHead | Broken:
        """Read the head of the response to this request, skipping responses to others."""
        for _ in range(MAX_SKIPPED_RESPONSES):
            event = await self._next_event()
            if isinstance(event, Broken):
                return event
            if not isinstance(event, h11.Response):
                return Broken("connection closed before the answer", by_peer=True)
            head = answer_head(event.status_code, tuple(event.headers))
            if not head.attempt_id:
                return Broken("not an answer: no request's id", by_peer=True)
            is_ours = head.attempt_id == self._req.attempt_id
            upstream = self._connection.upstream
            self._pool.observe_head(upstream, head, self.sent_at if is_ours else float("-inf"))
            if is_ours:
                if head.status < 300 and not head.signed:
                    return Broken("not an answer: a success that is not signed", by_peer=True)
                self._framed = _is_framed(tuple(event.headers), event.status_code)
                self._keep_alive_s = head.keep_alive_s
                return head
            try:
                broken: Broken | None = await curio.timeout_after(MAX_SKIP_S, self._skip_response())
            except curio.TaskTimeout:
                broken = Broken("answer to another request without end", by_peer=True)
            if broken is not None:
                return broken
        return Broken("too many answers to other requests", by_peer=True)

    async def read_chunk(self, max_bytes: int = READ_SIZE) -> bytes | BodyEnd | Broken:
        """Read the next bytes of the response body, at most `max_bytes`."""
        if not self._unread:
            received = await self._receive_body()
            if not isinstance(received, bytes):
                return received
            self._unread = received
        else:
            await self._turn.pass_on()
        chunk, self._unread = self._unread[:max_bytes], self._unread[max_bytes:]
        return chunk

    async def _receive_body(self) -> bytes | BodyEnd | Broken:
        if self._ended:
            return BodyEnd(self._framed)
        event = await self._next_event()
        if isinstance(event, Broken):
            return event
        if isinstance(event, h11.Data):
            self.body_bytes += len(event.data)
            if self.body_bytes > MAX_BODY_BYTES:
                return Broken("body without end", by_peer=True)
            return bytes(event.data)
        if not isinstance(event, h11.EndOfMessage):
            return Broken("connection closed within the answer", by_peer=True)
        if self._was_reset_while_sending and not self._framed:
            # After the sending task was told of a reset, the reading task sees a plain end.
            return Broken(f"connection failed: {self._send_error}", by_peer=True)
        self._ended = True
        return BodyEnd(self._framed)

    @property
    def _was_reset_while_sending(self) -> bool:
        """Whether the sending task was told of a failure that may have come before the end.

        Linux reports a reset after the peer's own end as a broken pipe: the answer is whole then.
        """
        error = self._send_error
        return error is not None and not isinstance(error, BrokenPipeError)

    async def finish(self) -> None:
        """Keep the connection if the response was read completely, else close it."""
        conn = self._connection.h11
        complete = conn.our_state is h11.DONE and conn.their_state is h11.DONE
        fully_sent = self._sender is None or (self._sender.terminated and self._send_error is None)
        reusable = complete and fully_sent and conn.trailing_data[0] == b""
        now = clock.now()
        if not (reusable and self._pool.return_idle(self._connection, self._keep_alive_s, now)):
            await self.abort()

    async def abort(self) -> None:
        """Close the connection, so that the upstream cancels the request.

        The sending task ends before: curio fails as a whole if a descriptor is closed while
        another task is registered for it.  That task waits for nothing but the socket, so that its
        cancellation takes one turn.
        """
        if self._sender is not None and not self._sender.terminated:
            async with curio.disable_cancellation():
                await self._sender.cancel()
        self._connection.sock._socket.close()

    def shut_down(self) -> None:
        """Shut down the connection; the task that reads from it finds it closed."""
        try:
            self._connection.sock._socket.shutdown(socket.SHUT_RDWR)
        except OSError as exc:
            logger.debug("connection already closed before shutdown: {!r}", exc)

    async def _send_concurrently(self, head: bytes, body: bytes) -> None:
        """Send a large request; its body is not copied, which would hold it twice."""
        try:
            await self._connection.sock.sendall(head)
            await self._connection.sock.sendall(body)
        except OSError as exc:
            # The task that reads the response reports it, as it may still find a whole one.
            self._send_error = exc

    async def _skip_response(self) -> Broken | None:
        """Discard a response to another request, and continue with the bytes that follow it."""
        while True:
            chunk = await self.read_chunk()
            if isinstance(chunk, Broken):
                return chunk
            if isinstance(chunk, BodyEnd):
                break
            if self.body_bytes > MAX_SKIPPED_BYTES:
                return Broken("answer to another request without end", by_peer=True)
        if not self._framed:
            return Broken("connection closed after an answer to another request", by_peer=True)
        remaining_data, _ = self._connection.h11.trailing_data
        self._connection.h11 = h11.Connection(h11.CLIENT)
        _encode_request(self._connection.h11, self._req)
        if remaining_data:
            self._connection.h11.receive_data(remaining_data)
        self._ended = False
        self.body_bytes = 0
        self._awaits_head = True
        self._head_begun_at = clock.now() if remaining_data else None
        return None

    async def _next_event(self) -> Any:
        informational = 0
        while True:
            await self._turn.pass_on()
            try:
                event = self._connection.h11.next_event()
            except h11.RemoteProtocolError as exc:
                return Broken(f"not an answer: {exc}", by_peer=True)
            if event is h11.NEED_DATA:
                broken = await self._receive()
                if broken is not None:
                    return broken
                continue
            if isinstance(event, Head) and (fault := head_fault(event)):
                return Broken(f"not an answer: {fault}", by_peer=True)
            if not isinstance(event, h11.InformationalResponse):
                self._awaits_head = False
                return event
            informational += 1
            self._head_begun_at = None
            if informational > MAX_INFORMATIONAL:
                return Broken("informational answers without end", by_peer=True)

    async def _receive(self) -> Broken | None:
        """Receive the next bytes."""
        try:
            data = await self._recv_in_time()
        except OSError as exc:
            return Broken(f"connection failed: {exc}", by_peer=True)
        if isinstance(data, Broken):
            return data
        if data:
            self._pool.last_received_at[self._connection.upstream.key] = clock.now()
            if self._awaits_head and self._head_begun_at is None:
                self._head_begun_at = clock.now()
        try:
            self._connection.h11.receive_data(data)
        except h11.RemoteProtocolError as exc:
            return Broken(f"not an answer: {exc}", by_peer=True)
        return None

    async def _recv_in_time(self) -> bytes | Broken:
        """Receive bytes; those of a head that has begun only while it may still become whole."""
        sock = self._connection.sock
        if not self._awaits_head or self._head_begun_at is None:
            return await self._turn.receive(sock, READ_SIZE)
        left_s = self._head_begun_at + MAX_HEAD_S - clock.now()
        if left_s > 0:
            try:
                head: bytes = await curio.timeout_after(left_s, self._turn.receive(sock, READ_SIZE))
                return head
            except curio.TaskTimeout:
                logger.debug("head not whole in time", upstream=self._connection.upstream.id)
        return Broken("head without end", by_peer=True)


async def open_exchange(
    pool: ConnectionPool, upstream: Upstream, compose: ComposeRequest
) -> Exchange | NotSent | Broken:
    """Send a request to an upstream on a pooled or a new connection."""
    connection = pool.take_idle(upstream, clock.now())
    if connection is None:
        pool.opened += 1
        sock = await connect(upstream.addr, (pool.source_host, 0), CONNECT_TIMEOUT_S)
        if isinstance(sock, CallFailed):
            return NotSent(sock.reason, refused=sock.refused)
        configure_socket(sock)
        connection = PooledConnection(sock, upstream)
    req = compose()
    if isinstance(req, NotSent):
        connection.sock._socket.close()
        return req
    exchange = Exchange(pool, connection, req)
    broken = await exchange.send()
    if broken is not None:
        await exchange.abort()
        return broken
    return exchange


def configure_socket(sock: Any) -> None:
    """Disable Nagle's algorithm, and enable keep-alive probes to detect an unreachable peer."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def _encode_request(conn: h11.Connection, req: OutgoingRequest) -> bytes:
    """The head of a request, after which its body follows as it is: the head names its length."""
    data = conn.send(h11.Request(method=req.method, target=req.target, headers=req.headers)) or b""
    if req.body:
        conn.send(h11.Data(data=req.body))
    conn.send(h11.EndOfMessage())
    return data


def _is_framed(headers: Headers, status: int) -> bool:
    """Whether the response itself marks where it ends."""
    if status in (204, 304):
        return True
    return any(name in (b"content-length", b"transfer-encoding") for name, _ in headers)
