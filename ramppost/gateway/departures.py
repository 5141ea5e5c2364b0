"""Tells other gateways of a planned stop, and callers when to come back.

The balancer sends callers to the gateways of their data hall while any of it takes them, so in a
large fleet a stop is told within the hall.
"""

from __future__ import annotations

from typing import Final

import curio
from loguru import logger

from ramppost import clock
from ramppost.gateway.early import parse_address
from ramppost.gateway.state import Gateway
from ramppost.policy.departures import retry_delay_s
from ramppost.schema.messages import LeavingNote, PeerDatagram

ANNOUNCE_INTERVAL_S: Final = 1.0
"""A datagram may be lost, and a gateway that starts meanwhile has to hear, too."""
RESTART_DELAY_S: Final = 1.0
"""From the end of a process to when it takes callers again, where it is started again: half a
second until it is started, and as long until it has a configuration."""


async def announce_leaving(gw: Gateway) -> None:
    """Tell the gateways that its callers may come to when this one is back, until cancelled."""
    while True:
        back_s = max(0.0, gw.resume_at - clock.now())
        note = LeavingNote(name=gw.cfg["name"], back_ms=round(back_s * 1000))
        for name in gw.peers.local_peers():
            gw.datagrams.send(parse_address(gw.peers.addrs[name]), PeerDatagram(leaving=note))
        await curio.sleep(ANNOUNCE_INTERVAL_S)


def handle_leaving_note(gw: Gateway, note: LeavingNote) -> None:
    """Another gateway is stopping."""
    now = clock.now()
    back_s = note["back_ms"] / 1000
    if not gw.peers.is_stopping(note["name"], now):
        logger.info("gateway leaves", peer=note["name"], back_s=back_s)
    gw.peers.mark_stopping(note["name"], now + back_s)


def retry_after_s(gw: Gateway) -> float:
    """When a caller that is turned away because of the stop is to come back."""
    now = clock.now()
    others = {name: gw.peers.back_at(name, now) for name in gw.peers.local_peers()}
    return retry_delay_s(now, gw.resume_at, others)
