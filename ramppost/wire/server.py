"""An HTTP/1.1 server that runs h11 on curio.

`serve` accepts connections and calls a handler with each complete request and a `Reply` that sends
the response.  A client that exceeds a size limit, sends too slowly or violates the protocol gets
an error status; other connections are not affected.
"""

from __future__ import annotations

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

READ_SIZE: Final = 65536
IDLE_TIMEOUT_S: Final = 75.0
ACCEPT_RETRY_S: Final = 0.05
LINGER_TIMEOUT_S: Final = 2.0
ACCEPT_BACKLOG: Final = 1024
JSON_TYPE: Final = "application/json"


class Limits(NamedTuple):
    """Limits for clients: sizes in bytes, the time to read a request, and open connections."""

    header_bytes: int = 65536
    body_bytes: int = 8 * 1024 * 1024
    read_timeout_s: float = 30.0
    connections: int = 10000


class Request(NamedTuple):
    """A complete request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


class BadInput(NamedTuple):
    """Why a request could not be read: an HTTP status and a message for the client."""

    status: int
    reason: str


class ClientDisconnected(Exception):
    """The client closed its connection before the response was complete."""


class Meter:
    """Counts open connections, and bytes received and sent on all connections so far."""

    def __init__(self) -> None:
        self.open_connections = 0
        self.bytes_in = 0
        self.bytes_out = 0


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
        head = [("content-type", kind), *headers]
        return self._conn.send(h11.Response(status_code=status, headers=head)) or b""

    async def _write(self, data: bytes) -> None:
        self._meter.bytes_out += len(data)
        try:
            await self._sock.sendall(data)
        except OSError as exc:
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
    return curio.network.tcp_server_socket(host, port, backlog=ACCEPT_BACKLOG, reuse_address=True)


async def accept_client(sock: Any, at_capacity: Callable[[], bool]) -> Any:
    """Accept the next connection; waits while the maximum number of connections is open."""
    while True:
        if not at_capacity():
            try:
                client, _ = await sock.accept()
                return client
            except OSError as exc:
                logger.warning("accept failed: {}", exc)
        await curio.sleep(ACCEPT_RETRY_S)


async def serve(
    sock: Any,
    handler: Handler,
    limits: Limits = Limits(),
    error_body: ErrorBody | None = None,
    tls: ReloadingTlsContext | None = None,
    meter: Meter | None = None,
) -> None:
    """Serve until cancelled; each connection is served by a daemon task, which is not cancelled."""
    connection_meter = meter or Meter()
    async with sock:
        while True:
            client = await accept_client(
                sock, lambda: connection_meter.open_connections >= limits.connections
            )
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if tls is not None:
                client = await tls.context().wrap_socket(
                    client, server_side=True, do_handshake_on_connect=False
                )
            needs_handshake = tls is not None
            await curio.spawn(
                _serve_conn,
                client,
                handler,
                limits,
                error_body,
                connection_meter,
                needs_handshake,
                daemon=True,
            )


async def _serve_conn(
    sock: Any,
    handler: Handler,
    limits: Limits,
    error_body: ErrorBody | None,
    meter: Meter,
    needs_handshake: bool,
) -> None:
    conn = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)
    meter.open_connections += 1
    try:
        async with sock:
            if needs_handshake:
                await curio.timeout_after(limits.read_timeout_s, sock.do_handshake())
            while await _serve_one(sock, conn, handler, limits, error_body, meter):
                conn.start_next_cycle()
    except (ClientDisconnected, OSError, curio.TaskTimeout, h11.LocalProtocolError):
        pass
    finally:
        meter.open_connections -= 1


async def _serve_one(
    sock: Any,
    conn: h11.Connection,
    handler: Handler,
    limits: Limits,
    error_body: ErrorBody | None,
    meter: Meter,
) -> bool:
    """Serve one request; true if the connection can be reused for another."""
    req = await _read_request(sock, conn, limits, meter)
    if req is None:
        return False
    reply = Reply(sock, conn, meter)
    if isinstance(req, BadInput):
        body = error_body(req) if error_body else req.reason.encode()
        if conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await reply.send(req.status, body, headers=(("connection", "close"),))
            await _lingering_close(sock)
        return False
    try:
        await handler(req, reply)
    except ClientDisconnected:
        raise
    except Exception as exc:
        logger.opt(exception=exc).error("handler failed for {} {}", req.method, req.path)
        if not reply.started:
            await reply.send(500, b'{"error":{"message":"internal error","code":"internal"}}')
        return False
    return conn.our_state is h11.DONE and conn.their_state is h11.DONE


async def _lingering_close(sock: Any) -> None:
    """Read and discard what the client still sends after its request was rejected.

    Closing with unread data would send a reset, which could discard the response on its way.
    """
    await sock.shutdown(socket.SHUT_WR)
    async with curio.ignore_after(LINGER_TIMEOUT_S):
        while await sock.recv(READ_SIZE):
            pass


async def _read_request(
    sock: Any, conn: h11.Connection, limits: Limits, meter: Meter
) -> Request | BadInput | None:
    """Read a complete request; None if the client closed the connection or stayed idle."""
    try:
        if conn.trailing_data[0] == b"":
            data = await curio.timeout_after(IDLE_TIMEOUT_S, sock.recv(READ_SIZE))
            if not data:
                return None
            meter.bytes_in += len(data)
            conn.receive_data(data)
    except curio.TaskTimeout:
        return None
    try:
        async with curio.timeout_after(limits.read_timeout_s):
            return await _read_events(sock, conn, limits, meter)
    except curio.TaskTimeout:
        return BadInput(408, f"request not complete after {limits.read_timeout_s:g} s")
    except h11.RemoteProtocolError as exc:
        return BadInput(exc.error_status_hint or 400, f"malformed HTTP: {exc}")


async def _read_events(
    sock: Any, conn: h11.Connection, limits: Limits, meter: Meter
) -> Request | BadInput | None:
    head: h11.Request | None = None
    body = bytearray()
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            if conn.they_are_waiting_for_100_continue:
                continue_response = h11.InformationalResponse(status_code=100, headers=[])
                await sock.sendall(conn.send(continue_response) or b"")
            data = await sock.recv(READ_SIZE)
            meter.bytes_in += len(data)
            conn.receive_data(data)
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > limits.body_bytes:
                return BadInput(413, f"body larger than {limits.body_bytes} bytes")
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return _parse_request(head, bytes(body))
        else:
            return None


def _parse_request(head: h11.Request, body: bytes) -> Request | BadInput:
    try:
        url = urlsplit(head.target.decode("ascii"))
    except ValueError as exc:
        return BadInput(400, f"malformed request target: {exc}")
    headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers}
    query = dict(parse_qsl(url.query))
    return Request(head.method.decode("ascii"), unquote(url.path), query, headers, body)
