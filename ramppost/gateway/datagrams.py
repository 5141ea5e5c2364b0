"""Datagrams between gateways on the internal port, for messages that may be lost without harm."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from typing import Any, Final

import curio
from loguru import logger

from ramppost.gateway.metrics import Metrics
from ramppost.schema.messages import PeerDatagram
from ramppost.wire.codec import BadMessage, decode, encode

MAX_DATAGRAM_BYTES: Final = 8192

Address = tuple[str, int]
DatagramHandler = Callable[[PeerDatagram, Address], Awaitable[None]]
"""Handles a message received from an address."""


class Datagrams:
    """The UDP socket of a gateway; messages are discarded until it listens."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._sock: Any = None

    async def listen(self, ip: str, port: int, handle: DatagramHandler) -> None:
        """Receive datagrams and pass them to the handler, until cancelled."""
        sock = curio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((ip, port))
        self._sock = sock
        async with sock:
            while True:
                data, addr = await sock.recvfrom(MAX_DATAGRAM_BYTES)
                msg = decode(data, PeerDatagram)
                if isinstance(msg, BadMessage):
                    logger.warning("invalid datagram: {}", msg.reason, peer=addr[0])
                    continue
                try:
                    await handle(msg, addr)
                except (ArithmeticError, LookupError, ValueError, TypeError) as exc:
                    # Its fields have the right types but impossible values.
                    logger.warning("datagram not handled: {!r}", exc, peer=addr[0])
                    self._metrics.count("ramppost_datagrams_unhandled_total")

    def send(self, addr: Address, msg: PeerDatagram) -> None:
        """Send without waiting; a datagram that can't be sent is dropped."""
        if self._sock is None:
            return
        try:
            self._sock._socket.sendto(encode(msg), addr)
        except OSError as exc:
            logger.debug("failed to send datagram: {!r}", exc)
            self._metrics.count("ramppost_datagrams_unsent_total")
