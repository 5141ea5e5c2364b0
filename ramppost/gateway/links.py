"""Connections to upstreams: kept for reuse, one request at a time on each.

`open_exchange` sends a request and gives an `Exchange` to read its answer from.  Every
failure is a value that says whether the request may have arrived: `NotSent` or
`Broken`.  An answer to an earlier request that turns up where ours is due is read and
dropped; a connection that has unread bytes while idle is closed.
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

READ_SIZE: Final = 65536
CONNECT_TIMEOUT_S: Final = 0.4
"""Many times the way between halls; a first packet that is lost is sent again after 1 s."""
MAX_IDLE: Final = 12
"""Idle connections to one upstream; upstreams limit the connections of all callers."""
DEFAULT_IDLE_S: Final = 4.0
"""How long an idle connection is reused where the upstream names no time."""
IDLE_MARGIN_S: Final = 1.0
"""Kept from the time that the upstream named, so that it does not close while we send."""
INLINE_BODY: Final = 8192
"""Larger bodies are sent beside reading the answer, which may come before they are in."""
MAX_SURPLUS: Final = 4
"""Answers to other requests that are skipped before a connection is given up."""
PROBE_AFTER_S: Final = 1
PROBE_EVERY_S: Final = 1
PROBES: Final = 2
"""Keep-alive probes find an upstream that has gone dark in about 3 s."""


class NotSent(NamedTuple):
    """The request did not leave: nothing can have run.  `withheld` tells that it was not to,
    `refused` that nobody listens at the upstream's address."""

    reason: str
    withheld: bool = False
    refused: bool = False


class Broken(NamedTuple):
    """The connection failed after sending: the request may have run.

    `cut` tells that the other side closed or spoiled it, rather than that we gave it up.
    """

    reason: str
    by_peer: bool = False


class BodyEnd(NamedTuple):
    """The answer is over.  `framed` is false where only the close of the connection says so."""

    framed: bool


class OutgoingRequest(NamedTuple):
    """A request as it is sent."""

    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    attempt_id: str


ComposeRequest = Callable[[], OutgoingRequest | NotSent]
"""Gives what is to be sent once there is a connection, or why it must not be sent any more."""


class PooledConnection:
    """A connection to an upstream."""

    def __init__(self, sock: Any, upstream: Upstream) -> None:
        self.sock = sock
        self.upstream = upstream
        self.h11 = h11.Connection(h11.CLIENT)
        self.idle_until = 0.0


class ConnectionPool:
    """Idle connections by upstream, and counts of what was opened."""

    def __init__(self, source: str) -> None:
        self.source = source
        self.idle: dict[str, list[PooledConnection]] = {}
        self.opened = 0
        self.reused = 0
        self.last_received_at: dict[str, float] = {}
        """When bytes last came from an upstream, on the steady clock."""

    def take_idle(self, upstream: Upstream, now: float) -> PooledConnection | None:
        """An idle connection that is fit for use, the latest used first."""
        links = self.idle.get(upstream.key, [])
        while links:
            link = links.pop()
            if now < link.idle_until and not readable(link.sock.fileno()):
                self.reused += 1
                return link
            link.sock._socket.close()
        return None

    def return_idle(self, link: PooledConnection, keep_alive_s: float | None, now: float) -> bool:
        """Keep a connection for reuse; false where there are enough."""
        links = self.idle.setdefault(link.upstream.key, [])
        idle_s = DEFAULT_IDLE_S if keep_alive_s is None else keep_alive_s - IDLE_MARGIN_S
        if len(links) >= MAX_IDLE or idle_s <= 0:
            return False
        link.h11.start_next_cycle()
        link.idle_until = now + idle_s
        links.append(link)
        return True

    def drop_upstream(self, upstream_key: str) -> None:
        """Close what is idle to an upstream that has left."""
        for link in self.idle.pop(upstream_key, []):
            link.sock._socket.close()
        self.last_received_at.pop(upstream_key, None)

    def close_expired(self, now: float) -> None:
        """Close idle connections that must not be used any more."""
        for name, links in list(self.idle.items()):
            fit = [link for link in links if now < link.idle_until]
            for link in links:
                if now >= link.idle_until:
                    link.sock._socket.close()
            self.idle[name] = fit


class Exchange:
    """A request that was sent, and its answer.  Call `finish` or `abort` when done."""

    def __init__(self, links: ConnectionPool, link: PooledConnection, req: OutgoingRequest) -> None:
        self._links = links
        self._link = link
        self._req = req
        self._sender: Any = None
        self._ended = False
        self._framed = True
        self._keep_alive_s: float | None = None
        self.sent_at = clock.now()

    async def send(self) -> Broken | None:
        """Send the request; a large body goes out beside reading the answer."""
        data = _request_bytes(self._link.h11, self._req)
        try:
            if len(data) <= INLINE_BODY:
                await self._link.sock.sendall(data)
            else:
                self._sender = await curio.spawn(self._send_beside, data, daemon=True)
        except OSError as exc:
            return Broken(f"sending failed: {exc}", by_peer=True)
        return None

    async def read_head(self) -> AnswerHead | Broken:
        """The head of the answer to this request; answers to others are skipped."""
        for _ in range(MAX_SURPLUS):
            event = await self._event()
            if isinstance(event, Broken):
                return event
            if not isinstance(event, h11.Response):
                return Broken("connection closed before the answer", by_peer=True)
            head = answer_head(event.status_code, tuple(event.headers))
            if head.attempt_id in ("", self._req.attempt_id):
                self._framed = _is_framed(tuple(event.headers), event.status_code)
                self._keep_alive_s = head.keep_alive_s
                return head
            skipped = await self._skip_surplus()
            if skipped is not None:
                return skipped
        return Broken("too many answers to other requests", by_peer=True)

    async def read_chunk(self) -> bytes | BodyEnd | Broken:
        """The next bytes of the answer's body."""
        if self._ended:
            return BodyEnd(self._framed)
        event = await self._event()
        if isinstance(event, Broken):
            return event
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._ended = True
            return BodyEnd(self._framed)
        return Broken("connection closed within the answer", by_peer=True)

    async def finish(self) -> None:
        """Keep the connection where the answer was read whole, else close it."""
        conn = self._link.h11
        whole = conn.our_state is h11.DONE and conn.their_state is h11.DONE
        sent = self._sender is None or self._sender.terminated
        clean = whole and sent and conn.trailing_data[0] == b""
        now = clock.now()
        if not (clean and self._links.return_idle(self._link, self._keep_alive_s, now)):
            await self.abort()

    async def abort(self) -> None:
        """Close the connection, so that the upstream stops working on the request."""
        if self._sender is not None and not self._sender.terminated:
            await self._sender.cancel(blocking=False)
        self._link.sock._socket.close()

    def shut_down(self) -> None:
        """End the connection under whoever reads from it, who finds it closed."""
        try:
            self._link.sock._socket.shutdown(socket.SHUT_RDWR)
        except OSError as exc:
            logger.debug("connection gone before it was cut: {!r}", exc)

    async def _send_beside(self, data: bytes) -> None:
        try:
            await self._link.sock.sendall(data)
        except OSError:
            # The reader of the answer sees the same failure and reports it.
            return

    async def _skip_surplus(self) -> Broken | None:
        """Read an answer that is not ours to its end, and start over with what follows it."""
        while True:
            piece = await self.read_chunk()
            if isinstance(piece, Broken):
                return piece
            if isinstance(piece, BodyEnd):
                break
        if not self._framed:
            return Broken("connection closed after an answer to another request", by_peer=True)
        rest, _ = self._link.h11.trailing_data
        self._link.h11 = h11.Connection(h11.CLIENT)
        _request_bytes(self._link.h11, self._req)
        if rest:
            self._link.h11.receive_data(rest)
        self._ended = False
        return None

    async def _event(self) -> Any:
        while True:
            try:
                event = self._link.h11.next_event()
            except h11.RemoteProtocolError as exc:
                return Broken(f"not an answer: {exc}", by_peer=True)
            if event is h11.NEED_DATA:
                try:
                    data = await self._link.sock.recv(READ_SIZE)
                except OSError as exc:
                    return Broken(f"connection failed: {exc}", by_peer=True)
                if data:
                    self._links.last_received_at[self._link.upstream.key] = clock.now()
                try:
                    self._link.h11.receive_data(data)
                except h11.RemoteProtocolError as exc:
                    return Broken(f"not an answer: {exc}", by_peer=True)
            elif not isinstance(event, h11.InformationalResponse):
                return event


async def open_exchange(
    links: ConnectionPool, upstream: Upstream, compose: ComposeRequest
) -> Exchange | NotSent | Broken:
    """Send a request to an upstream, on a kept connection or a new one."""
    link = links.take_idle(upstream, clock.now())
    if link is None:
        links.opened += 1
        sock = await connect(upstream.addr, (links.source, 0), CONNECT_TIMEOUT_S)
        if isinstance(sock, CallFailed):
            return NotSent(sock.reason, refused=sock.refused)
        configure_socket(sock)
        link = PooledConnection(sock, upstream)
    req = compose()
    if isinstance(req, NotSent):
        link.sock._socket.close()
        return req
    exchange = Exchange(links, link, req)
    failed = await exchange.send()
    if failed is not None:
        await exchange.abort()
        return failed
    return exchange


def configure_socket(sock: Any) -> None:
    """Send small packets at once, and notice a peer that has gone dark."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EVERY_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)


def _request_bytes(conn: h11.Connection, req: OutgoingRequest) -> bytes:
    head = h11.Request(method=req.method, target=req.target, headers=req.headers)
    data = conn.send(head) or b""
    if req.body:
        data += conn.send(h11.Data(data=req.body)) or b""
    return data + (conn.send(h11.EndOfMessage()) or b"")


def _is_framed(headers: Headers, status: int) -> bool:
    """Whether the answer's own bytes say where it ends."""
    if status in (204, 304):
        return True
    return any(name in (b"content-length", b"transfer-encoding") for name, _ in headers)
