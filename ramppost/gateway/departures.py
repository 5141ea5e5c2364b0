"""Announces a planned stop to other gateways, and tells callers when to retry.

The load balancer sends callers to the gateways of their data hall while any of these accepts them,
so in a large fleet a stop is announced only within the hall.
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
"""Repeats the announcement, because datagrams may be lost and other gateways may start later."""
RESTART_DELAY_S: Final = 1.0
"""Time from the end of a process until it accepts callers again if it is restarted: half a second
to start, and as long to receive a configuration."""


async def announce_leaving(gw: Gateway) -> None:
    """Tell the gateways that may get its callers when this one will be back, until cancelled."""
    while True:
        _announce(gw, max(0.0, gw.resume_at - clock.now()))
        await curio.sleep(ANNOUNCE_INTERVAL_S)


def announce_return(gw: Gateway) -> None:
    """Tell the gateways that were told of a planned stop that this one is back."""
    _announce(gw, 0.0)


def _announce(gw: Gateway, back_s: float) -> None:
    note = LeavingNote(name=gw.cfg["name"], back_ms=round(back_s * 1000))
    for name in gw.peers.local_peers():
        gw.datagrams.send(parse_address(gw.peers.addrs[name]), PeerDatagram(leaving=note))


def handle_leaving_note(gw: Gateway, note: LeavingNote) -> None:
    """Process the announcement of another gateway's planned stop, or of its return."""
    now = clock.now()
    back_s = note["back_ms"] / 1000
    if gw.peers.is_stopping(note["name"], now) != (back_s > 0):
        message = "gateway is stopping" if back_s > 0 else "gateway is back"
        logger.info(message, peer=note["name"], back_s=back_s)
    gw.peers.mark_stopping(note["name"], now + back_s)


def retry_after_s(gw: Gateway) -> float:
    """Seconds after which a caller that is refused because of the stop should retry."""
    now = clock.now()
    others = {name: gw.peers.back_at(name, now) for name in gw.peers.local_peers()}
    return retry_delay_s(now, gw.resume_at, others)
