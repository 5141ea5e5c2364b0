"""Lets all gateways count the time of a roll-out from the same moment.

Each gateway sees an order at a moment of its own, and one that starts in the middle does not know
how much of the time has passed.  Gateways tell each other how much has, in datagrams; whoever hears
of more goes on from there and tells others, so that all count from the earliest.  Between gateways
at different steps, sessions would move to and fro.

The progress that is saved in the store (`ramppost.gateway.rollout_duty`) is for gateways that reach
no other, and for a fleet that was ended as a whole.

In the same way they tell each other that a version is bad: no gateway completes then what one has
found to be bad, whether the store can be written or not.
"""

from __future__ import annotations

import random
from typing import Final

import curio
from loguru import logger

from ramppost import clock
from ramppost.gateway.datagrams import Address, Datagrams
from ramppost.gateway.early import parse_address
from ramppost.gateway.rollouts import Rollout, Rollouts
from ramppost.policy.coverage import HEARD_S, hears_fleet
from ramppost.policy.relays import Peers
from ramppost.schema.messages import PeerDatagram, RolloutNote

FANOUT: Final = 16
"""Gateways that are told at once.  Where each passes news on to so many, all but a few of a fleet
of hundreds hear of it within three steps, and the others within an interval."""
INTERVAL_S: Final = 1.0
INTERVAL_FANOUT: Final = 2
MIN_GAIN_S: Final = 0.02
"""A start that is earlier by less than this is not passed on: an answer takes longer."""


class RolloutNews:
    """Sends and receives how much of each roll-out's time has passed."""

    def __init__(self, peers: Peers, datagrams: Datagrams, rollouts: Rollouts) -> None:
        self._peers = peers
        self._datagrams = datagrams
        self._rollouts = rollouts
        self._rng = random.Random()
        rollouts.on_order = lambda rollout: self._announce(rollout, FANOUT, asks=True)
        rollouts.on_growth = self._announce_growth
        rollouts.hears_fleet = self._hears_fleet

    async def exchange(self) -> None:
        """Tell a few gateways about each roll-out now and then, until cancelled."""
        while True:
            await curio.sleep(INTERVAL_S)
            for rollout in self._rollouts.all():
                if rollout.order.state == "ordered":
                    self._announce(rollout, INTERVAL_FANOUT, asks=True)

    def withdraw(self, service: str, version: str, reason: str, now: float) -> bool:
        """Consider a version bad, and tell others; false if that is known, or no longer matters."""
        if not self._rollouts.withdraw(service, version, reason, now):
            return False
        rollout = self._rollouts.get(service)
        assert rollout is not None
        self._announce(rollout, FANOUT, asks=False)
        return True

    def tell_sound(self, rollout: Rollout) -> None:
        """Tell others that a version is to be completed: some are not told the evidence."""
        if not rollout.is_found_sound:
            rollout.is_found_sound = True
            self._announce(rollout, FANOUT, asks=False)

    def handle_datagram(self, note: RolloutNote, addr: Address) -> None:
        """Process what another gateway tells about a roll-out; answer it if it is behind."""
        now = clock.now()
        self._apply_finding(note, addr, now)
        elapsed_s = note["elapsed_ms"] / 1000
        rollout = self._rollouts.get(note["service"])
        if rollout is None or rollout.order.version != note["version"]:
            self._rollouts.note_announced(note["service"], note["version"], now)
            return
        if rollout.order.state != "ordered":
            return
        self._apply_step(rollout, note.get("step", 0))
        if note.get("sound", False):
            self.tell_sound(rollout)
        gain_s = elapsed_s - (now - rollout.started_at)
        if gain_s > 0:
            rollout.started_at -= gain_s
        if gain_s > MIN_GAIN_S:
            logger.info(
                "roll-out began earlier at another gateway",
                service=note["service"],
                version=note["version"],
                by_s=round(gain_s, 3),
                peer=addr[0],
            )
            self._announce(rollout, FANOUT, asks=False)
        elif note["asks"] and (-gain_s > MIN_GAIN_S or _lacks_finding(note, rollout)):
            self._datagrams.send(addr, PeerDatagram(rollout=_note(rollout, now, asks=False)))

    def _apply_finding(self, note: RolloutNote, addr: Address, now: float) -> None:
        """Withdraw a version that another gateway considers bad, and pass that on."""
        reason = note.get("bad", "")
        service, version = note["service"], note["version"]
        if reason and self.withdraw(service, version, reason, now):
            logger.warning(
                "version is considered bad elsewhere: {}",
                reason,
                service=service,
                version=version,
                peer=addr[0],
            )

    def _hears_fleet(self, rollout: Rollout, now: float) -> bool:
        return hears_fleet(self._peers, rollout.account.heard(now, HEARD_S), now)

    def _announce_growth(self, rollout: Rollout) -> None:
        now = clock.now()
        balance = rollout.account.balance(now, self._peers.fleet_size)
        logger.info(
            "share of the new version grows",
            service=rollout.order.service,
            version=rollout.order.version,
            step=rollout.reached_step,
            rollout_fraction=round(rollout.elapsed_fraction(now), 3),
            sent=balance.total,
            sent_trial=balance.trial,
            per_s=round(balance.per_s, 1),
            counted_over=balance.gateways,
        )
        self._announce(rollout, FANOUT, asks=False)

    def _apply_step(self, rollout: Rollout, step: int) -> None:
        """Take a step that another gateway has taken, and pass that on: sessions would move to and
        fro between gateways at different steps."""
        if rollout.reached_step < min(step, len(rollout.ramp.steps) - 1):
            rollout.reached_step = min(step, len(rollout.ramp.steps) - 1)
            self._announce(rollout, FANOUT, asks=False)

    def _announce(self, rollout: Rollout, count: int, asks: bool) -> None:
        # Those that this gateway passes over may be reached, and may not pass over it.
        names = list(self._peers.addrs)
        msg = PeerDatagram(rollout=_note(rollout, clock.now(), asks))
        for name in self._rng.sample(names, min(count, len(names))):
            self._datagrams.send(parse_address(self._peers.addrs[name]), msg)


def _lacks_finding(note: RolloutNote, rollout: Rollout) -> bool:
    """Whether a gateway does not know that the version is considered bad here."""
    return bool(rollout.withdrawal_reason) and not note.get("bad")


def _note(rollout: Rollout, now: float, asks: bool) -> RolloutNote:
    order = rollout.order
    note = RolloutNote(
        service=order.service,
        version=order.version,
        elapsed_ms=max(0.0, (now - rollout.started_at) * 1000),
        asks=asks,
        step=rollout.reached_step,
    )
    if rollout.withdrawal_reason:
        note["bad"] = rollout.withdrawal_reason
    elif rollout.is_found_sound:
        note["sound"] = True
    return note
