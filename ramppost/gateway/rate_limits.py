"""Tracks the request rates that upstreams name in their responses, and keeps to this gateway's
share of them.

An upstream in need names in every response the rate that it accepts from all gateways together, for
as long as the limit applies.  A response without a rate ends the limit only if its request was sent
after the limit was last named, as responses on different connections may overtake each other.  A
limit applies to an address, since requests to an earlier upstream there arrive at the one that has
the address now.  How the rate is divided is in `ramppost.policy.rate_limit`, and
`ramppost.gateway.limit_news` exchanges news with other gateways.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final, NamedTuple

from loguru import logger

from ramppost.bounded import drop_oldest
from ramppost.gateway.model import Upstream
from ramppost.policy.rate_limit import NO_SHARE, RateBucket, RateShare, share_of_rate
from ramppost.policy.relays import Peers

MAX_ADDRESSES: Final = 4096
"""Maximum number of addresses that are remembered.  A limit outlives the entry of its upstream,
which may only have expired while the store was unavailable."""
NEWS_MARGIN_S: Final = 0.2
"""How much later than a limit was named here a request must have been sent for news of its response
to end the limit: covers the transit time of the news."""


class Told(NamedTuple):
    """What an upstream told last: its limit, None for none, and when the request was sent whose
    response told so (steady clock)."""

    per_s: float | None
    asked_at: float


class _RateLimit:
    """A limit that an upstream has named; times on the steady clock.

    `asked_at` is when the request was sent whose response named it, `named_at` when the latest
    response that named a limit arrived.
    """

    def __init__(self, per_s: float, asked_at: float, now: float, start: float) -> None:
        self.per_s = per_s
        self.asked_at = asked_at
        self.named_at = now
        self.bucket = RateBucket(now, start)
        self.shared_by = -1
        """Version of the gateway list by which the share was computed; -1 if it is to be computed
        anew."""


def _ignore_change(addr: str) -> None:
    """Tell nobody."""


class RateLimits:
    """The limits that upstreams have named, by address."""

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._rng = random.Random()
        self._limits: dict[str, _RateLimit] = {}
        self._unlimited_asked_at: dict[str, float] = {}
        """When the latest request was sent whose response named no limit."""
        self.on_change: Callable[[str], None] = _ignore_change
        """Called when a response, and not another gateway's news, has changed a limit."""

    def __len__(self) -> int:
        return len(self._limits)

    def per_s(self, upstream: Upstream) -> float | None:
        """The rate that an upstream accepts from all gateways, None if it is not limited."""
        limit = self._limits.get(upstream.addr)
        return None if limit is None else limit.per_s

    def wait_s(self, upstream: Upstream, now: float) -> float:
        """Seconds until a request may be sent; infinite if this gateway has no share."""
        limit = self._limits.get(upstream.addr)
        if limit is None:
            return 0.0
        self._update_share(upstream.addr, limit, now)
        return limit.bucket.wait_s(now)

    def record_sent(self, upstream: Upstream, now: float) -> None:
        """Count a request that is being sent."""
        limit = self._limits.get(upstream.addr)
        if limit is not None:
            limit.bucket.take(now)

    def record_response(
        self, upstream: Upstream, per_s: float | None, sent_at: float, now: float
    ) -> None:
        """Record the rate that a response names, None if it names none."""
        addr = upstream.addr
        if per_s is None:
            self._record_unlimited(addr, sent_at)
            changed = self._end(addr, sent_at)
        else:
            changed = self._name(addr, per_s, sent_at, now)
        if changed:
            self.on_change(addr)

    def record_news(self, addr: str, per_s: float | None, asked_at: float, now: float) -> None:
        """Record what an upstream has told another gateway."""
        if per_s is None:
            self._record_unlimited(addr, asked_at - NEWS_MARGIN_S)
            self._end(addr, asked_at - NEWS_MARGIN_S)
            return
        if per_s < 0:
            return
        limit = self._limits.get(addr)
        known_at = self._unlimited_asked_at.get(addr, float("-inf"))
        if asked_at > (known_at if limit is None else limit.asked_at):
            self._name(addr, per_s, asked_at, now)

    def last_told(self, addr: str) -> Told | None:
        """What an upstream told last; None if it has told nothing, or it is not known when."""
        limit = self._limits.get(addr)
        if limit is not None:
            told = Told(limit.per_s, limit.asked_at)
        else:
            told = Told(None, self._unlimited_asked_at.get(addr, float("-inf")))
        return told if told.asked_at > float("-inf") else None

    def not_heard_of_since(self, since: float) -> list[tuple[str, float]]:
        """Addresses and limits of the upstreams that have told nothing since then."""
        return [
            (addr, limit.per_s) for addr, limit in self._limits.items() if limit.named_at < since
        ]

    def _name(self, addr: str, per_s: float, asked_at: float, now: float) -> bool:
        """Put a limit in force that an upstream has named; returns whether that changes it."""
        limit = self._limits.get(addr)
        if limit is None:
            limit = self._limits[addr] = _RateLimit(per_s, asked_at, now, self._rng.random())
            drop_oldest(self._limits, MAX_ADDRESSES)
            changed = True
        else:
            changed = asked_at >= limit.asked_at and per_s != limit.per_s
        if changed:
            logger.info("upstream limits its rate", addr=addr, per_s=per_s)
            limit.per_s = per_s
            limit.shared_by = -1
        limit.asked_at = max(limit.asked_at, asked_at)
        limit.named_at = now
        return changed

    def _end(self, addr: str, asked_at: float) -> bool:
        """End a limit if a request sent then was answered without it; returns whether it has."""
        limit = self._limits.get(addr)
        if limit is None or asked_at <= limit.named_at:
            return False
        del self._limits[addr]
        logger.info("upstream limits its rate no more", addr=addr)
        return True

    def _record_unlimited(self, addr: str, sent_at: float) -> None:
        latest = max(sent_at, self._unlimited_asked_at.pop(addr, float("-inf")))
        self._unlimited_asked_at[addr] = latest
        drop_oldest(self._unlimited_asked_at, MAX_ADDRESSES)

    def _update_share(self, addr: str, limit: _RateLimit, now: float) -> None:
        if limit.shared_by == self._peers.changes and self._peers.fleet_size:
            return
        limit.shared_by = self._peers.changes
        limit.bucket.set_share(self._share(addr, limit.per_s), now)

    def _share(self, addr: str, per_s: float) -> RateShare:
        if not self._peers.fleet_size:
            return NO_SHARE
        return share_of_rate(self._peers.own, addr, self._peers.names, per_s)
