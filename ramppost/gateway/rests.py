"""Tracks the upstreams that have turned this gateway away and asked for rest.

An upstream that refuses a request may say for how long it wants no more from this gateway.  Later
responses, also to requests sent before, don't shorten that time.  A rest applies to an address,
since requests to an earlier upstream there arrive at the one that has the address now, and ends
when another upstream takes the address over.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from loguru import logger

from ramppost.bounded import drop_oldest
from ramppost.gateway.model import Upstream

MAX_RESTS: Final = 4096
"""Maximum number of addresses whose rests are remembered."""


class _Rest(NamedTuple):
    """A rest that an incarnation has asked for, until a time on the steady clock.

    `said_at` is when it last asked (seconds since 1970).
    """

    upstream: Upstream
    until: float
    said_at: float


class Rests:
    """Rests by address."""

    def __init__(self) -> None:
        self._rests: dict[str, _Rest] = {}

    def any_resting(self, now: float) -> bool:
        """Whether any upstream rests now; drops the rests that have ended."""
        for addr in [addr for addr, rest in self._rests.items() if rest.until <= now]:
            del self._rests[addr]
        return bool(self._rests)

    def wait_s(self, upstream: Upstream, now: float) -> float:
        """Seconds of rest left."""
        rest = self._rests.get(upstream.addr)
        return 0.0 if rest is None else max(0.0, rest.until - now)

    def record_refusal(self, upstream: Upstream, rest_s: float, now: float, said_at: float) -> None:
        """Record that an upstream has refused a request at a time of day and asks for rest."""
        if self.wait_s(upstream, now) <= 0:
            logger.info("upstream asks for rest", upstream=upstream.id, rest_s=rest_s)
        until = now + max(rest_s, self.wait_s(upstream, now))
        self._rests.pop(upstream.addr, None)
        self._rests[upstream.addr] = _Rest(upstream, until, said_at)
        drop_oldest(self._rests, MAX_RESTS)

    def record_start(self, upstream: Upstream) -> None:
        """End the rest at the address of an incarnation that was not known before.

        It stays if the incarnation has asked for it itself, before its entry was known.
        """
        rest = self._rests.get(upstream.addr)
        if rest is None or rest.upstream.key == upstream.key:
            return
        if rest.upstream.id == upstream.id and upstream.had_started(rest.said_at):
            return
        del self._rests[upstream.addr]
