"""An HTTP/1.1 server: h11 over curio.

`serve` accepts connections and hands each whole request to a handler together
with a `Reply` to answer through.  A caller that sends too much, too slowly or
not HTTP gets the proper status and the process goes on.
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
LINGER_S: Final = 2.0
BACKLOG: Final = 1024
JSON_TYPE: Final = "application/json"


class Limits(NamedTuple):
    """What a client may send: sizes in bytes, time in seconds."""

    header_bytes: int = 65536
    body_bytes: int = 8 * 1024 * 1024
    read_timeout_s: float = 30.0
    connections: int = 10000


class Request(NamedTuple):
    """A whole request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


class BadInput(NamedTuple):
    """Why a request could not be read, as an HTTP status and a sentence."""

    status: int
    reason: str


class ClientDisconnected(Exception):
    """The client closed its connection while we were answering."""


class Meter:
    """Connections open now, and bytes that went over all of them."""

    def __init__(self) -> None:
        self.open_connections = 0
        self.bytes_in = 0
        self.bytes_out = 0


def bearer(req: Request) -> str:
    """The bearer token of a request, empty where there is none."""
    kind, _, token = req.headers.get("authorization", "").partition(" ")
    return token.strip() if kind.lower() == "bearer" else ""


class Reply:
    """The answer to one request: `send` for a whole one, or `start`, `write`, `end`."""

    def __init__(self, sock: Any, conn: h11.Connection, meter: Meter) -> None:
        self._sock = sock
        self._conn = conn
        self._meter = meter
        self.started = False

    async def send(
        self,
        status: int,
        body: bytes,
        content_type: str = JSON_TYPE,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Send a whole answer."""
        head = (("content-length", str(len(body))), *headers)
        data = self._head(status, content_type, head)
        data += self._conn.send(h11.Data(data=body)) or b""
        data += self._conn.send(h11.EndOfMessage()) or b""
        await self._write(data)

    async def start(
        self, status: int, content_type: str, headers: tuple[tuple[str, str], ...] = ()
    ) -> None:
        """Send the head of a streamed answer."""
        await self._write(self._head(status, content_type, headers))

    async def write(self, data: bytes) -> None:
        """Send a piece of a streamed answer."""
        await self._write(self._conn.send(h11.Data(data=data)) or b"")

    async def end(self) -> None:
        """End a streamed answer; without it the client sees a cut."""
        await self._write(self._conn.send(h11.EndOfMessage()) or b"")

    def _head(self, status: int, kind: str, headers: tuple[tuple[str, str], ...]) -> bytes:
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
    """A TLS context that is read again when its files change."""

    def __init__(self, cert: str, key: str) -> None:
        self._cert = cert
        self._key = key
        self._seen: tuple[float, float] | None = None
        self._ctx: Any = None

    def context(self) -> Any:
        """The context in force; a pair that can't be read keeps the former one."""
        try:
            seen = (os.stat(self._cert).st_mtime, os.stat(self._key).st_mtime)
            if seen != self._seen:
                ctx = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
                ctx.load_cert_chain(self._cert, self._key)
                self._ctx = curio_ssl.CurioSSLContext(ctx)
                self._seen = seen
        except (OSError, ssl.SSLError) as exc:
            if self._ctx is None:
                raise
            logger.warning("TLS files not read again: {}", exc)
        return self._ctx


def listen(host: str, port: int) -> Any:
    """A listening socket; raises OSError where the address can't be had."""
    return curio.network.tcp_server_socket(host, port, backlog=BACKLOG, reuse_address=True)


async def accept_client(sock: Any, full: Callable[[], bool]) -> Any:
    """The next connection; none is taken while there are as many as there may be."""
    while True:
        if not full():
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
    """Serve until cancelled; connections go on in daemon tasks of their own."""
    opened = meter or Meter()
    async with sock:
        while True:
            client = await accept_client(
                sock, lambda: opened.open_connections >= limits.connections
            )
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if tls is not None:
                client = await tls.context().wrap_socket(
                    client, server_side=True, do_handshake_on_connect=False
                )
            shake = tls is not None
            await curio.spawn(
                _serve_conn, client, handler, limits, error_body, opened, shake, daemon=True
            )


async def _serve_conn(
    sock: Any,
    handler: Handler,
    limits: Limits,
    error_body: ErrorBody | None,
    opened: Meter,
    handshake: bool,
) -> None:
    conn = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)
    opened.open_connections += 1
    try:
        async with sock:
            if handshake:
                await curio.timeout_after(limits.read_timeout_s, sock.do_handshake())
            while await _serve_one(sock, conn, handler, limits, error_body, opened):
                conn.start_next_cycle()
    except (ClientDisconnected, OSError, curio.TaskTimeout, h11.LocalProtocolError):
        pass
    finally:
        opened.open_connections -= 1


async def _serve_one(
    sock: Any,
    conn: h11.Connection,
    handler: Handler,
    limits: Limits,
    error_body: ErrorBody | None,
    meter: Meter,
) -> bool:
    """Serve one request; true if the connection may carry another."""
    req = await _read_request(sock, conn, limits, meter)
    if req is None:
        return False
    reply = Reply(sock, conn, meter)
    if isinstance(req, BadInput):
        body = error_body(req) if error_body else req.reason.encode()
        if conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await reply.send(req.status, body, headers=(("connection", "close"),))
            await _linger(sock)
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


async def _linger(sock: Any) -> None:
    """Read what a refused client still sends, so that a reset can't overtake our answer."""
    await sock.shutdown(socket.SHUT_WR)
    async with curio.ignore_after(LINGER_S):
        while await sock.recv(READ_SIZE):
            pass


async def _read_request(
    sock: Any, conn: h11.Connection, limits: Limits, meter: Meter
) -> Request | BadInput | None:
    """Read a whole request; None when the client has nothing more to ask."""
    try:
        if conn.trailing_data[0] == b"":
            first = await curio.timeout_after(IDLE_TIMEOUT_S, sock.recv(READ_SIZE))
            if not first:
                return None
            meter.bytes_in += len(first)
            conn.receive_data(first)
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
                go_on = h11.InformationalResponse(status_code=100, headers=[])
                await sock.sendall(conn.send(go_on) or b"")
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
            return _whole(head, bytes(body))
        else:
            return None


def _whole(head: h11.Request, body: bytes) -> Request | BadInput:
    try:
        url = urlsplit(head.target.decode("ascii"))
    except ValueError as exc:
        return BadInput(400, f"malformed request target: {exc}")
    headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers}
    query = dict(parse_qsl(url.query))
    return Request(head.method.decode("ascii"), unquote(url.path), query, headers, body)
