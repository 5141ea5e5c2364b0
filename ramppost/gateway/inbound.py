"""Callers' connections: reads requests, notices callers that leave, writes answers.

Each connection is a task.  While a request is being served the connection is also
read: bytes are kept for the next request, an end cancels the work, so that upstreams
stop too.  Limits come from the configuration in force.
"""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple

import curio
import h11
from loguru import logger

from ramppost import clock
from ramppost.gateway.links import configure_socket
from ramppost.gateway.model import CallerLimits, CallerRequest
from ramppost.platform.headers import Headers, caller_request
from ramppost.wire.server import Gone, next_client

READ_SIZE: Final = 65536
MAX_CONNECTIONS: Final = 3000
"""Fewer than the descriptors of a box, of which some go to upstreams and files."""
BODY_TIMEOUT_S: Final = 20.0
"""For a whole body, after its head."""
LINGER_S: Final = 1.0
"""Read on so long after refusing what was not read whole, so that no reset overtakes."""
JSON_TYPE: Final = (b"content-type", b"application/json")


class BadRequest(NamedTuple):
    """Why a request could not be read, as a status and a sentence."""

    status: int
    reason: str


class Reply:
    """The answer to one request: `send` for a whole one, or `start`, `write`, `end`."""

    def __init__(self, sock: Any, conn: h11.Connection, close_after: Callable[[], bool]) -> None:
        self._sock = sock
        self._conn = conn
        self._close_after = close_after
        self.status = 0

    @property
    def started(self) -> bool:
        """Whether the caller has been sent anything."""
        return self.status != 0

    async def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        framed = tuple(item for item in headers if item[0] != b"content-length")
        length = (b"content-length", str(len(body)).encode())
        data = self._head(status, (*framed, length))
        data += self._conn.send(h11.Data(data=body)) or b""
        data += self._conn.send(h11.EndOfMessage()) or b""
        await self._write(data)

    async def start(self, status: int, headers: Headers, first: bytes) -> None:
        """Send the head and first bytes of an answer whose rest follows."""
        data = self._head(status, headers)
        await self._write(data + (self._conn.send(h11.Data(data=first)) or b""))

    async def write(self, data: bytes) -> None:
        """Send the next bytes."""
        await self._write(self._conn.send(h11.Data(data=data)) or b"")

    async def end(self) -> None:
        """Say that the answer is whole; without it the caller sees that it broke off."""
        await self._write(self._conn.send(h11.EndOfMessage()) or b"")

    def _head(self, status: int, headers: Headers) -> bytes:
        self.status = status
        closing: Headers = ((b"connection", b"close"),) if self._close_after() else ()
        head = h11.Response(status_code=status, headers=[*headers, *closing])
        return self._conn.send(head) or b""

    async def _write(self, data: bytes) -> None:
        try:
            await self._sock.sendall(data)
        except OSError as exc:
            raise Gone from exc


Serve = Callable[[CallerRequest, Reply, float], Awaitable[None]]
"""Serves a request that had been read whole at that time on the steady clock."""


class ServerHooks(NamedTuple):
    """What connections need of the gateway: limits in force, whether to close, the work."""

    limits: Callable[[], CallerLimits]
    is_closing: Callable[[], bool]
    serve: Serve
    refusal_body: Callable[[BadRequest], bytes]


class CallerConnections:
    """Connections of callers, and those of them that wait for a request."""

    def __init__(self) -> None:
        self.count = 0
        self.busy = 0
        self.idle: set[Any] = set()

    def close_idle(self) -> None:
        """End connections that wait for a request: their callers open others elsewhere."""
        for sock in self.idle:
            sock._socket.shutdown(socket.SHUT_RDWR)
        self.idle.clear()


async def accept_callers(sock: Any, callers: CallerConnections, hooks: ServerHooks) -> None:
    """Accept connections until cancelled; each goes on in a daemon task of its own."""
    async with sock:
        while True:
            client = await next_client(sock, lambda: callers.count >= MAX_CONNECTIONS)
            configure_socket(client)
            await curio.spawn(_connection, client, callers, hooks, daemon=True)


async def _connection(sock: Any, callers: CallerConnections, hooks: ServerHooks) -> None:
    limits = hooks.limits()
    conn = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)
    callers.count += 1
    try:
        async with sock:
            while await _one_request(sock, conn, callers, hooks):
                conn.start_next_cycle()
    except (Gone, OSError, h11.LocalProtocolError) as exc:
        logger.debug("caller's connection ended: {!r}", exc)
    finally:
        callers.count -= 1
        callers.idle.discard(sock)


async def _one_request(
    sock: Any, conn: h11.Connection, callers: CallerConnections, hooks: ServerHooks
) -> bool:
    """Serve one request; true if the connection may carry another."""
    if not await _wait_for_request(sock, conn, callers, hooks):
        return False
    callers.busy += 1
    try:
        got = await _read_request(sock, conn, hooks.limits())
        if got is None:
            return False
        reply = Reply(sock, conn, hooks.is_closing)
        if isinstance(got, BadRequest):
            await _refuse(sock, conn, reply, got, hooks.refusal_body)
            return False
        await _serve_while_there(sock, conn, got, reply, hooks.serve)
    finally:
        callers.busy -= 1
    done = conn.our_state is h11.DONE and conn.their_state is h11.DONE
    return done and not hooks.is_closing()


async def _wait_for_request(
    sock: Any, conn: h11.Connection, callers: CallerConnections, hooks: ServerHooks
) -> bool:
    """Wait for the first bytes of a request; false if none come within the idle limit."""
    if conn.trailing_data[0]:
        return True
    callers.idle.add(sock)
    try:
        data = await curio.timeout_after(hooks.limits().idle_timeout_s, sock.recv(READ_SIZE))
    except curio.TaskTimeout:
        return False
    finally:
        callers.idle.discard(sock)
    conn.receive_data(data)
    return bool(data)


async def _read_request(
    sock: Any, conn: h11.Connection, limits: CallerLimits
) -> CallerRequest | BadRequest | None:
    """Read a whole request; None where the caller left within it."""
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
                go_on = h11.InformationalResponse(status_code=100, headers=[])
                await sock.sendall(conn.send(go_on) or b"")
            conn.receive_data(await sock.recv(READ_SIZE))
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > limits.body_bytes:
                return BadRequest(413, f"body larger than {limits.body_bytes} bytes")
        elif isinstance(event, h11.EndOfMessage):
            return bytes(body)
        else:
            return None


async def _refuse(
    sock: Any,
    conn: h11.Connection,
    reply: Reply,
    bad: BadRequest,
    body: Callable[[BadRequest], bytes],
) -> None:
    """Answer what could not be read, then read on so that the answer arrives."""
    if conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    await reply.send(bad.status, (JSON_TYPE, (b"connection", b"close")), body(bad))
    await sock.shutdown(socket.SHUT_WR)
    async with curio.ignore_after(LINGER_S):
        while await sock.recv(READ_SIZE):
            pass


async def _serve_while_there(
    sock: Any, conn: h11.Connection, req: CallerRequest, reply: Reply, serve: Serve
) -> None:
    """Serve a request; cancel the work where the caller closes its connection."""
    read_at = clock.now()
    async with curio.TaskGroup(wait=any) as group:
        work = await group.spawn(_served, serve, req, reply, read_at)
        await group.spawn(_until_gone, sock, conn)
    if group.completed is not work or not work.result:
        raise Gone


async def _served(serve: Serve, req: CallerRequest, reply: Reply, read_at: float) -> bool:
    """Serve a request; false where the connection has to be closed."""
    try:
        await serve(req, reply, read_at)
    except Gone:
        return False
    except Exception as exc:
        logger.opt(exception=exc).error("serving failed", request=req.attempt_id)
        return False
    return True


async def _until_gone(sock: Any, conn: h11.Connection) -> None:
    """Keep what the caller sends ahead; ends when it closes."""
    while True:
        try:
            data = await sock.recv(READ_SIZE)
        except OSError:
            return
        if not data:
            return
        conn.receive_data(data)
