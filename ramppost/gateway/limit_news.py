"""Exchanges news with other gateways on upstreams that limit their request rate.

A gateway without a share of an upstream's rate sends nothing there, so it would neither learn of
the limit before it has sent too much, nor of its end.  Whoever is told by an upstream that its
limit has come, changed or ended tells all others once; a gateway that an upstream has told nothing
for a while asks one that has a share.  Datagrams may be lost: the next question brings the answer.
"""

from __future__ import annotations

import random
from typing import Final

import curio

from ramppost import clock
from ramppost.bounded import drop_oldest
from ramppost.gateway.datagrams import Address, Datagrams
from ramppost.gateway.early import parse_address
from ramppost.gateway.rate_limits import MAX_ADDRESSES, RateLimits
from ramppost.policy.rate_limit import holders
from ramppost.policy.relays import Peers
from ramppost.schema.messages import LimitAsk, LimitNote, PeerDatagram

ANNOUNCE_INTERVAL_S: Final = 1.0
ASK_INTERVAL_S: Final = 1.0
ASK_AFTER_S: Final = 1.0
"""A limit is asked about when its upstream has told this gateway nothing for so long."""
MAX_ASKED: Final = 20
"""Upstreams that are asked about at once; more take turns by chance."""


class LimitNews:
    """Sends and receives news on rate limits."""

    def __init__(self, peers: Peers, datagrams: Datagrams, limits: RateLimits) -> None:
        self._peers = peers
        self._datagrams = datagrams
        self._limits = limits
        self._rng = random.Random()
        self._announced_at: dict[str, float] = {}
        limits.on_change = self.announce

    def announce(self, upstream_addr: str) -> None:
        """Tell all other gateways what an upstream has just told this one.

        An upstream whose limit comes and goes is not announced each time: those that were not told
        ask.
        """
        now = clock.now()
        note = self._note(upstream_addr, now)
        last = self._announced_at.get(upstream_addr, float("-inf"))
        if note is None or now < last + ANNOUNCE_INTERVAL_S:
            return
        self._announced_at[upstream_addr] = now
        drop_oldest(self._announced_at, MAX_ADDRESSES)
        for addr in self._peers.addrs.values():
            self._datagrams.send(parse_address(addr), PeerDatagram(limit=note))

    async def ask_others(self) -> None:
        """Ask other gateways about limits that were not heard of for a while, until cancelled."""
        while True:
            await curio.sleep(ASK_INTERVAL_S)
            self.ask_once()

    def ask_once(self) -> None:
        """Ask other gateways about limits that were not heard of for a while."""
        for peer, upstreams in self._questions(clock.now()).items():
            ask = PeerDatagram(limit_ask=LimitAsk(upstreams=upstreams))
            self._datagrams.send(parse_address(self._peers.addrs[peer]), ask)

    def handle_datagram(self, msg: PeerDatagram, addr: Address) -> None:
        """Process news, or answer a question, of another gateway."""
        now = clock.now()
        if "limit" in msg:
            note = msg["limit"]
            asked_at = now - note["asked_ms"] / 1000
            self._limits.record_news(note["upstream"], note.get("per_s"), asked_at, now)
        if "limit_ask" in msg:
            for upstream_addr in msg["limit_ask"]["upstreams"][:MAX_ASKED]:
                answer = self._note(upstream_addr, now)
                if answer is not None:
                    self._datagrams.send(addr, PeerDatagram(limit=answer))

    def _note(self, upstream_addr: str, now: float) -> LimitNote | None:
        """What is known of an upstream's limit; None if it has told nothing."""
        known = self._limits.last_told(upstream_addr)
        if known is None:
            return None
        note = LimitNote(upstream=upstream_addr, asked_ms=max(0.0, (now - known.asked_at) * 1000))
        if known.per_s is not None:
            note["per_s"] = known.per_s
        return note

    def _questions(self, now: float) -> dict[str, list[str]]:
        """The addresses of upstreams to ask about, by the name of the gateway to ask."""
        unheard = self._limits.not_heard_of_since(now - ASK_AFTER_S)
        gateways = self._peers.names
        questions: dict[str, list[str]] = {}
        for upstream_addr, per_s in self._rng.sample(unheard, min(MAX_ASKED, len(unheard))):
            others = set(holders(upstream_addr, gateways, per_s)) - {self._peers.own}
            if others:
                peer = self._rng.choice(sorted(others))
                questions.setdefault(peer, []).append(upstream_addr)
        return questions
