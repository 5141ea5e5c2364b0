"""An HTTP/1.1 server that runs h11 on curio.

`serve` accepts connections and calls a handler with each complete request and a `Reply` that sends
the response.  A client that exceeds a size limit, sends too slowly or violates the protocol gets
an error status; other connections are not affected.  What clients may make the process hold is
limited for all its servers together (`ramppost.wire.intake`).
"""

from __future__ import annotations

import math
import os
import socket
import ssl
from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple
from urllib.parse import parse_qsl, unquote, urlsplit

import curio
import curio.ssl as curio_ssl
import h11
from loguru import logger

from ramppost.wire.accepting import accept_all, is_anything, is_head_whole
from ramppost.wire.intake import (
    INNER_CONNECTIONS,
    ClientSlot,
    Intake,
    intake_limits,
)
from ramppost.wire.reader import BadInput, RequestReader, read_or_refuse, serve_all, serve_in_turn
from ramppost.wire.sockets import LISTEN_BACKLOG, RECEIVE_BUFFER_BYTES

IDLE_TIMEOUT_S: Final = 75.0
LINGER_TIMEOUT_S: Final = 2.0
WRITE_TIMEOUT_S: Final = 30.0
"""How long a client may take for the next part of a response."""
WRITE_SIZE: Final = 65536
JSON_TYPE: Final = "application/json"


class Limits(NamedTuple):
    """Limits for clients: sizes in bytes, the time to read a request, and open connections.

    Bodies are dropped as they come unless the handler needs them.
    """

    header_bytes: int = 65536
    body_bytes: int = 8 * 1024 * 1024
    read_timeout_s: float = 30.0
    connections: int = 10000
    keeps_bodies: bool = True


class Request(NamedTuple):
    """A complete request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


class ClientDisconnected(Exception):
    """The client closed its connection before the response was complete."""


class Meter:
    """Counts open connections, and bytes received and sent on all connections so far."""

    def __init__(self) -> None:
        self.open_connections = 0
        self.bytes_in = 0
        self.bytes_out = 0

    def count_received(self, count: int) -> None:
        """Count bytes that were received."""
        self.bytes_in += count


def bearer(req: Request) -> str:
    """The bearer token of a request; empty if there is none."""
    kind, _, token = req.headers.get("authorization", "").partition(" ")
    return token.strip() if kind.lower() == "bearer" else ""


class Reply:
    """Sends the response to a request: complete by `send`, or by `start`, `write` and `end`."""

    def __init__(self, sock: Any, conn: h11.Connection, meter: Meter) -> None:
        self._sock = sock
        self._conn = conn
        self._meter = meter
        self.started = False
        self.status = 0
        """Status of the response, 0 before it is begun or without a head."""

    @property
    def peer_host(self) -> str:
        """IP address of the client."""
        return str(self._sock.getpeername()[0])

    async def send(
        self,
        status: int,
        body: bytes,
        content_type: str = JSON_TYPE,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Send a complete response."""
        head = (("content-length", str(len(body))), *headers)
        data = self._encode_head(status, content_type, head)
        data += self._conn.send(h11.Data(data=body)) or b""
        data += self._conn.send(h11.EndOfMessage()) or b""
        await self._write(data)

    async def start(
        self, status: int, content_type: str, headers: tuple[tuple[str, str], ...] = ()
    ) -> None:
        """Send the status line and the headers of a streamed response."""
        await self._write(self._encode_head(status, content_type, headers))

    async def write(self, data: bytes) -> None:
        """Send part of the body of a streamed response."""
        await self._write(self._conn.send(h11.Data(data=data)) or b"")

    async def end(self) -> None:
        """End a streamed response; without it the client sees a truncated response."""
        await self._write(self._conn.send(h11.EndOfMessage()) or b"")

    async def send_raw(self, data: bytes) -> None:
        """Send bytes that are no framed response; the connection must be closed after them."""
        self.started = True
        await self._write(data)

    def _encode_head(self, status: int, kind: str, headers: tuple[tuple[str, str], ...]) -> bytes:
        self.started = True
        self.status = status
        head = [("content-type", kind), *headers]
        return self._conn.send(h11.Response(status_code=status, headers=head)) or b""

    async def _write(self, data: bytes) -> None:
        self._meter.bytes_out += len(data)
        with memoryview(data) as view:
            for begin in range(0, len(data), WRITE_SIZE):
                await self._write_part(view[begin : begin + WRITE_SIZE])

    async def _write_part(self, part: memoryview) -> None:
        try:
            await curio.timeout_after(WRITE_TIMEOUT_S, self._sock.sendall(part))
        except (OSError, curio.TaskTimeout) as exc:
            raise ClientDisconnected from exc


Handler = Callable[[Request, Reply], Awaitable[None]]
ErrorBody = Callable[[BadInput], bytes]


class ReloadingTlsContext:
    """A TLS context that is reloaded when the certificate or key file changes."""

    def __init__(self, cert: str, key: str) -> None:
        self._cert = cert
        self._key = key
        self._mtimes: tuple[float, float] | None = None
        self._ctx: Any = None

    def context(self) -> Any:
        """The current context; the previous one is kept if the files can't be loaded."""
        try:
            mtimes = (os.stat(self._cert).st_mtime, os.stat(self._key).st_mtime)
            if mtimes != self._mtimes:
                ctx = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
                ctx.load_cert_chain(self._cert, self._key)
                self._ctx = curio_ssl.CurioSSLContext(ctx)
                self._mtimes = mtimes
        except (OSError, ssl.SSLError) as exc:
            if self._ctx is None:
                raise
            logger.warning("TLS files can't be reloaded, keeping the previous ones: {}", exc)
        return self._ctx


def listen(host: str, port: int) -> Any:
    """Return a listening socket; raises OSError if the address can't be bound."""
    sock = curio.network.tcp_server_socket(host, port, backlog=LISTEN_BACKLOG, reuse_address=True)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return sock


async def serve(
    sock: Any,
    handler: Handler,
    limits: Limits = Limits(),
    error_body: ErrorBody | None = None,
    tls: ReloadingTlsContext | None = None,
    meter: Meter | None = None,
    intake: Intake | None = None,
) -> None:
    """Serve until cancelled; each connection is served by a daemon task, which is not cancelled."""
    intake = intake or Intake(intake_limits(connections=limits.connections))
    server = _Server(handler, limits, error_body, tls, meter or Meter(), intake)
    begin = is_anything if tls is not None else is_head_whole
    await accept_all(sock, intake, INNER_CONNECTIONS, begin, lambda slot: _serve_conn(slot, server))


class _Server(NamedTuple):
    """What the connections of one port have in common."""

    handler: Handler
    limits: Limits
    error_body: ErrorBody | None
    tls: ReloadingTlsContext | None
    meter: Meter
    intake: Intake


async def _serve_conn(slot: ClientSlot, server: _Server) -> None:
    server.meter.open_connections += 1
    try:
        async with slot.sock:
            slot.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if server.tls is None:
                await _serve_all(slot, server)
            else:
                await _serve_tls(slot, server, server.tls)
    except (ClientDisconnected, OSError, curio.TaskTimeout, h11.LocalProtocolError) as exc:
        logger.debug("client's connection ended: {!r}", exc)
    finally:
        slot.close()
        server.meter.open_connections -= 1


async def _serve_tls(slot: ClientSlot, server: _Server, tls: ReloadingTlsContext) -> None:
    """Serve over TLS; a client that has gone meanwhile makes even the wrapping fail."""
    slot.sock = await tls.context().wrap_socket(
        slot.sock, server_side=True, do_handshake_on_connect=False
    )
    async with slot.sock:
        await curio.timeout_after(server.limits.read_timeout_s, slot.sock.do_handshake())
        await _serve_all(slot, server)


async def _serve_all(slot: ClientSlot, server: _Server) -> None:
    limits = server.limits
    conn = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)
    reader = RequestReader(conn, slot, limits.header_bytes, server.meter.count_received)
    await serve_all(reader, lambda: reader.wait(IDLE_TIMEOUT_S), lambda: _serve_one(reader, server))


async def _serve_one(reader: RequestReader, server: _Server) -> bool:
    """Serve one request; true if the connection can be reused for another."""
    conn = reader.conn
    reply = Reply(reader.slot.sock, conn, server.meter)
    try:
        limits = server.limits
        req = await read_or_refuse(limits.read_timeout_s, _read_request(reader, limits))
        if req is None or reader.slot.was_cut:
            return False
        if isinstance(req, BadInput):
            await _refuse(reader, reply, req, server)
            return False
        await serve_in_turn(reader, lambda: _handle(server.handler, req, reply))
    finally:
        reader.forget_request()
        reader.slot.end(reply.status)
    return conn.our_state is h11.DONE and conn.their_state is h11.DONE


async def _handle(handler: Handler, req: Request, reply: Reply) -> None:
    try:
        await handler(req, reply)
    except ClientDisconnected:
        raise
    except Exception as exc:
        logger.opt(exception=exc).error("handler failed for {} {}", req.method, req.path)
        if reply.started:
            raise ClientDisconnected from exc
        error = b'{"error":{"message":"internal error","code":"internal"}}'
        await reply.send(500, error, headers=(("connection", "close"),))


async def _refuse(
    reader: RequestReader, reply: Reply, bad_input: BadInput, server: _Server
) -> None:
    """Refuse a request that was not read, then read and discard what the client still sends.

    Closing with unread data would send a reset, which could discard the response on its way.
    """
    if reader.conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    body = server.error_body(bad_input) if server.error_body else bad_input.reason.encode()
    headers = [("connection", "close")]
    if bad_input.retry_after_s:
        headers.append(("retry-after", str(math.ceil(bad_input.retry_after_s))))
    await reply.send(bad_input.status, body, headers=tuple(headers))
    reader.forget_request()
    reader.slot.release()
    await reader.slot.sock.shutdown(socket.SHUT_WR)
    await reader.drain(server.limits.body_bytes, LINGER_TIMEOUT_S)


async def _read_request(reader: RequestReader, limits: Limits) -> Request | BadInput | None:
    """Read a complete request; None if the client closes the connection before its end."""
    head = await reader.read_head()
    if head is None:
        return None
    body = await reader.read_body(limits.body_bytes, limits.keeps_bodies)
    return _parse_request(head, body) if isinstance(body, bytes) else body


def _parse_request(head: h11.Request, body: bytes) -> Request | BadInput:
    try:
        url = urlsplit(head.target.decode("ascii"))
    except ValueError as exc:
        return BadInput(400, f"malformed request target: {exc}")
    headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers}
    query = dict(parse_qsl(url.query))
    return Request(head.method.decode("ascii"), unquote(url.path), query, headers, body)
