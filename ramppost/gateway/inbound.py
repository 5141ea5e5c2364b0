"""Connections of callers: reads requests, detects disconnects and writes responses.

Each connection has a task.  The connection is also read while a request is served: bytes are kept
for the next request, and a disconnect cancels the request, so that its upstream stops, too.  The
limits are those of the current configuration.

What a caller does not take at once is buffered (`ramppost.gateway.caller_buffer`): writing returns
at once, and the connection takes the next request when everything was sent.
"""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple

import curio
import h11
from loguru import logger

from ramppost import clock
from ramppost.gateway.caller_buffer import CallerBuffer, CallerBuffers, limit_unsent
from ramppost.gateway.links import configure_socket
from ramppost.gateway.model import CallerLimits, CallerRequest
from ramppost.platform.headers import Headers, caller_request
from ramppost.wire.client import readable
from ramppost.wire.server import ClientDisconnected, accept_client

READ_SIZE: Final = 65536
MAX_CONNECTIONS: Final = 3000
"""Below the file descriptor limit of a box; upstream connections and files need some as well."""
BODY_TIMEOUT_S: Final = 20.0
"""Timeout for a complete request body, after its head."""
LINGER_S: Final = 1.0
"""How long to keep reading after refusing a partly read request, as a reset would discard the
refusal."""
JSON_TYPE: Final = (b"content-type", b"application/json")


class BadRequest(NamedTuple):
    """The status and reason with which an unreadable request is refused."""

    status: int
    reason: str


class Reply:
    """The response to a request: `send` for a complete one, or `start`, `write` and `end`.

    They return before the caller has taken the bytes: see `buffer`.
    """

    def __init__(
        self, buffer: CallerBuffer, conn: h11.Connection, should_close: Callable[[], bool]
    ) -> None:
        self.buffer = buffer
        self._conn = conn
        self._should_close = should_close
        self.status = 0

    @property
    def started(self) -> bool:
        """Whether the caller has been sent anything."""
        return self.status != 0

    async def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        framed = tuple(item for item in headers if item[0] != b"content-length")
        length = (b"content-length", str(len(body)).encode())
        data = self._head(status, (*framed, length))
        data += self._conn.send(h11.Data(data=body)) or b""
        data += self._conn.send(h11.EndOfMessage()) or b""
        await self.buffer.write(data)

    async def start(self, status: int, headers: Headers, first: bytes) -> None:
        """Send the head and first bytes of a response; the rest follows."""
        data = self._head(status, headers)
        await self.buffer.write(data + (self._conn.send(h11.Data(data=first)) or b""))

    async def write(self, data: bytes) -> None:
        """Send the next bytes."""
        await self.buffer.write(self._conn.send(h11.Data(data=data)) or b"")

    async def end(self) -> None:
        """Mark the response as complete; without this the caller sees that it broke off."""
        await self.buffer.write(self._conn.send(h11.EndOfMessage()) or b"")

    def _head(self, status: int, headers: Headers) -> bytes:
        self.status = status
        closing: Headers = ((b"connection", b"close"),) if self._should_close() else ()
        head = h11.Response(status_code=status, headers=[*headers, *closing])
        return self._conn.send(head) or b""


Serve = Callable[[CallerRequest, Reply, float], Awaitable[None]]
"""Serves a request that was read completely at the given time on the steady clock."""


class ServerHooks(NamedTuple):
    """The callbacks of the gateway that connections use.

    `is_closing` tells whether to close a connection after its response.
    """

    limits: Callable[[], CallerLimits]
    is_closing: Callable[[], bool]
    serve: Serve
    refusal_body: Callable[[BadRequest], bytes]


class CallerConnections:
    """Counts of callers' connections, their buffers, and the idle ones that wait for a request."""

    def __init__(self, buffers: CallerBuffers) -> None:
        self.buffers = buffers
        self.count = 0
        self.busy = 0
        self.idle: set[Any] = set()
        self.closed: set[Any] = set()
        """Connections that were closed while idle: what can still be read from them is ignored."""

    def close_idle(self) -> None:
        """Close idle connections; their callers reconnect to other gateways.

        One on which a request has arrived is not idle any more, though its task has not run yet.
        """
        for sock in [sock for sock in self.idle if not readable(sock.fileno())]:
            self.idle.discard(sock)
            self.closed.add(sock)
            sock._socket.shutdown(socket.SHUT_RDWR)


async def accept_callers(sock: Any, callers: CallerConnections, hooks: ServerHooks) -> None:
    """Accept connections until cancelled; each is served by its own daemon task."""
    async with sock:
        while True:
            client_sock = await accept_client(sock, lambda: callers.count >= MAX_CONNECTIONS)
            configure_socket(client_sock)
            limit_unsent(client_sock)
            await curio.spawn(_serve_connection, client_sock, callers, hooks, daemon=True)


async def _serve_connection(sock: Any, callers: CallerConnections, hooks: ServerHooks) -> None:
    limits = hooks.limits()
    conn = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)
    callers.count += 1
    try:
        async with sock:
            while await _serve_one_request(sock, conn, callers, hooks):
                conn.start_next_cycle()
    except (ClientDisconnected, OSError, h11.LocalProtocolError) as exc:
        logger.debug("caller's connection ended: {!r}", exc)
    finally:
        callers.count -= 1
        callers.idle.discard(sock)
        callers.closed.discard(sock)


async def _serve_one_request(
    sock: Any, conn: h11.Connection, callers: CallerConnections, hooks: ServerHooks
) -> bool:
    """Serve one request; true if the connection can be reused."""
    if not await _wait_for_request(sock, conn, callers, hooks):
        return False
    callers.busy += 1
    try:
        request = await _read_request(sock, conn, hooks.limits())
        if request is None:
            return False
        buffer = CallerBuffer(sock, callers.buffers)
        reply = Reply(buffer, conn, hooks.is_closing)
        try:
            if isinstance(request, BadRequest):
                await _refuse_bad_request(sock, conn, reply, request, hooks.refusal_body)
                return False
            await _serve_while_connected(sock, conn, request, reply, hooks.serve)
        finally:
            await buffer.close()
    finally:
        callers.busy -= 1
    is_complete = conn.our_state is h11.DONE and conn.their_state is h11.DONE
    return is_complete and not hooks.is_closing()


async def _wait_for_request(
    sock: Any, conn: h11.Connection, callers: CallerConnections, hooks: ServerHooks
) -> bool:
    """Wait for the first bytes of a request; false if none come before the connection is closed."""
    if conn.trailing_data[0]:
        return True
    callers.idle.add(sock)
    try:
        data = await curio.timeout_after(hooks.limits().idle_timeout_s, sock.recv(READ_SIZE))
    except curio.TaskTimeout:
        return False
    finally:
        callers.idle.discard(sock)
    if sock in callers.closed:
        return False
    conn.receive_data(data)
    return bool(data)


async def _read_request(
    sock: Any, conn: h11.Connection, limits: CallerLimits
) -> CallerRequest | BadRequest | None:
    """Read a complete request; None if the caller disconnects before its end."""
    try:
        head = await curio.timeout_after(limits.header_timeout_s, _read_head(sock, conn))
        if head is None:
            return None
        body: bytes | BadRequest | None = await curio.timeout_after(
            BODY_TIMEOUT_S, _read_body(sock, conn, limits)
        )
    except curio.TaskTimeout:
        return BadRequest(408, "request not complete in time")
    except h11.RemoteProtocolError as exc:
        return BadRequest(exc.error_status_hint or 400, f"malformed HTTP: {exc}")
    if not isinstance(body, bytes):
        return body
    return caller_request(
        head.method.decode("ascii"), head.target.decode("latin-1"), tuple(head.headers), body
    )


async def _read_head(sock: Any, conn: h11.Connection) -> h11.Request | None:
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            conn.receive_data(await sock.recv(READ_SIZE))
        elif isinstance(event, h11.Request):
            return event
        else:
            return None


async def _read_body(
    sock: Any, conn: h11.Connection, limits: CallerLimits
) -> bytes | BadRequest | None:
    body = bytearray()
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            if conn.they_are_waiting_for_100_continue:
                informational = h11.InformationalResponse(status_code=100, headers=[])
                await sock.sendall(conn.send(informational) or b"")
            conn.receive_data(await sock.recv(READ_SIZE))
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > limits.body_bytes:
                return BadRequest(413, f"body larger than {limits.body_bytes} bytes")
        elif isinstance(event, h11.EndOfMessage):
            return bytes(body)
        else:
            return None


async def _refuse_bad_request(
    sock: Any,
    conn: h11.Connection,
    reply: Reply,
    bad_request: BadRequest,
    refusal_body: Callable[[BadRequest], bytes],
) -> None:
    """Refuse an unreadable request, then keep reading so that the refusal arrives."""
    if conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    await reply.send(
        bad_request.status, (JSON_TYPE, (b"connection", b"close")), refusal_body(bad_request)
    )
    async with curio.ignore_after(LINGER_S):
        await reply.buffer.wait_until_sent()
    await sock.shutdown(socket.SHUT_WR)
    async with curio.ignore_after(LINGER_S):
        while await sock.recv(READ_SIZE):
            pass


async def _serve_while_connected(
    sock: Any, conn: h11.Connection, req: CallerRequest, reply: Reply, serve: Serve
) -> None:
    """Serve a request; cancel it if the caller closes the connection."""
    read_at = clock.now()
    async with curio.TaskGroup(wait=any) as group:
        serving = await group.spawn(_run_serve, serve, req, reply, read_at)
        await group.spawn(_wait_for_disconnect, sock, conn)
    if group.completed is not serving or not serving.result:
        raise ClientDisconnected


async def _run_serve(serve: Serve, req: CallerRequest, reply: Reply, read_at: float) -> bool:
    """Serve a request; false if the connection must be closed."""
    try:
        await serve(req, reply, read_at)
        await reply.buffer.wait_until_sent()
    except ClientDisconnected:
        return False
    except Exception as exc:
        logger.opt(exception=exc).error("serving failed", request=req.attempt_id)
        return False
    return True


async def _wait_for_disconnect(sock: Any, conn: h11.Connection) -> None:
    """Buffer bytes that the caller sends early; returns when it closes the connection."""
    while True:
        try:
            data = await sock.recv(READ_SIZE)
        except OSError:
            return
        if not data:
            return
        conn.receive_data(data)
