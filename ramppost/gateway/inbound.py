"""Connections of callers: reads requests, detects disconnects and writes responses.

Each connection has a task.  The connection is also watched while a request is served: a disconnect
cancels the request, so that its upstream stops, too.  The limits are those of the current
configuration.  A request whose body has yet to arrive is judged by its head: what would be refused
anyway is refused before its body is read.

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
from ramppost.wire.accepting import accept_all, is_head_whole
from ramppost.wire.client import readable
from ramppost.wire.intake import ClientSlot, Intake
from ramppost.wire.reader import BadInput, RequestReader, read_or_refuse, serve_all, serve_in_turn
from ramppost.wire.server import ClientDisconnected

BODY_TIMEOUT_S: Final = 20.0
"""Timeout for a complete request body, after its head."""
LINGER_S: Final = 1.0
"""How long the caller may take for a refusal of a request that was not read."""
DRAIN_S: Final = 5.0
"""How long to keep reading after it, as a reset would discard the refusal."""
MAX_DRAINED_BYTES: Final = 24 * 1024 * 1024
"""A body of the usual limit in chunks of a byte."""
JSON_TYPE: Final = (b"content-type", b"application/json")


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
Refuse = Callable[[CallerRequest, Reply, float], Awaitable[bool]]
"""Refuses a request of which the head was read at the given time; false if it is admitted."""


class ServerHooks(NamedTuple):
    """The callbacks of the gateway that connections use.

    `is_closing` tells whether to close a connection after its response.
    """

    limits: Callable[[], CallerLimits]
    is_closing: Callable[[], bool]
    serve: Serve
    refuse: Refuse
    refusal_body: Callable[[BadInput], bytes]


class CallerConnections:
    """Counts of callers' connections, their buffers, and the idle ones that wait for a request."""

    def __init__(self, buffers: CallerBuffers, intake: Intake) -> None:
        self.buffers = buffers
        self.intake = intake
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

    async def start(slot: ClientSlot) -> None:
        configure_socket(slot.sock)
        limit_unsent(slot.sock)
        await _serve_connection(slot, callers, hooks)

    await accept_all(sock, callers.intake, 0, is_head_whole, start)


async def _serve_connection(
    slot: ClientSlot, callers: CallerConnections, hooks: ServerHooks
) -> None:
    limits = hooks.limits()
    sock = slot.sock
    conn = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)
    reader = RequestReader(conn, slot, limits.header_bytes)
    try:
        async with sock:
            await serve_all(
                reader,
                lambda: _wait_for_request(reader, callers, hooks),
                lambda: _serve_one_request(reader, callers, hooks),
            )
    except (ClientDisconnected, OSError, h11.LocalProtocolError) as exc:
        logger.debug("caller's connection ended: {!r}", exc)
    finally:
        slot.close()
        callers.idle.discard(sock)
        callers.closed.discard(sock)


async def _serve_one_request(
    reader: RequestReader, callers: CallerConnections, hooks: ServerHooks
) -> bool:
    """Serve one request; true if the connection can be reused."""
    callers.busy += 1
    buffer = CallerBuffer(reader.slot.sock, callers.buffers)
    reply = Reply(buffer, reader.conn, hooks.is_closing)
    try:
        request = await _read_request(reader, reply, hooks)
        if reader.slot.was_cut or request is None:
            return False
        if isinstance(request, BadInput):
            await _refuse_unread(reader, reply, request, hooks.refusal_body)
            return False
        served = request
        await serve_in_turn(reader, lambda: _serve_while_connected(reader, served, reply, hooks))
    finally:
        await buffer.close()
        callers.busy -= 1
        reader.forget_request()
        reader.slot.end(reply.status)
    conn = reader.conn
    is_complete = conn.our_state is h11.DONE and conn.their_state is h11.DONE
    return is_complete and not hooks.is_closing()


async def _wait_for_request(
    reader: RequestReader, callers: CallerConnections, hooks: ServerHooks
) -> bool:
    """Wait for the first bytes of a request; false if none come before the connection is closed."""
    sock = reader.slot.sock
    if not reader.has_more:
        callers.idle.add(sock)
    try:
        arrived = await reader.wait(hooks.limits().idle_timeout_s)
    finally:
        callers.idle.discard(sock)
    return arrived and sock not in callers.closed


async def _read_request(
    reader: RequestReader, reply: Reply, hooks: ServerHooks
) -> CallerRequest | BadInput | None:
    """Read a complete request; None if the caller disconnects, or is refused, before its end."""
    limits = hooks.limits()
    head = await read_or_refuse(limits.header_timeout_s, reader.read_head())
    if not isinstance(head, h11.Request):
        return head
    request = _request(head, b"")
    if reader.is_body_missing and await hooks.refuse(request, reply, clock.now()):
        await _linger(reader, reply)
        return None
    body = await read_or_refuse(BODY_TIMEOUT_S, reader.read_body(limits.body_bytes))
    return request._replace(body=body) if isinstance(body, bytes) else body


def _request(head: h11.Request, body: bytes) -> CallerRequest:
    return caller_request(
        head.method.decode("ascii"), head.target.decode("latin-1"), tuple(head.headers), body
    )


async def _refuse_unread(
    reader: RequestReader,
    reply: Reply,
    bad_input: BadInput,
    refusal_body: Callable[[BadInput], bytes],
) -> None:
    """Refuse a request that was not read whole, which has not run."""
    if reader.conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    headers: Headers = (JSON_TYPE, (b"connection", b"close"))
    if bad_input.retry_after_s:
        headers = (*headers, (b"retry-after", f"{bad_input.retry_after_s:g}".encode()))
    await reply.send(bad_input.status, headers, refusal_body(bad_input))
    await _linger(reader, reply)


async def _linger(reader: RequestReader, reply: Reply) -> None:
    """Keep reading after a refusal, so that it arrives."""
    reader.forget_request()
    reader.slot.release()
    async with curio.ignore_after(LINGER_S):
        await reply.buffer.wait_until_sent()
    await reader.slot.sock.shutdown(socket.SHUT_WR)
    await reader.drain(MAX_DRAINED_BYTES, DRAIN_S)


async def _serve_while_connected(
    reader: RequestReader, req: CallerRequest, reply: Reply, hooks: ServerHooks
) -> None:
    """Serve a request; cancel it if the caller closes the connection."""
    read_at = clock.now()
    async with curio.TaskGroup(wait=any) as group:
        serving = await group.spawn(_run_serve, hooks, req, reply, read_at)
        await group.spawn(reader.watch)
    if group.completed is not serving or not serving.result:
        raise ClientDisconnected


async def _run_serve(hooks: ServerHooks, req: CallerRequest, reply: Reply, read_at: float) -> bool:
    """Serve a request; false if the connection must be closed."""
    try:
        await hooks.serve(req, reply, read_at)
        if not reply.buffer.is_sent:
            sent = reply.buffer.wait_until_sent()
            await curio.timeout_after(hooks.limits().idle_timeout_s, sent)
    except (ClientDisconnected, curio.TaskTimeout):
        return False
    except Exception as exc:
        logger.opt(exception=exc).error("serving failed", request=req.attempt_id)
        return False
    return True
