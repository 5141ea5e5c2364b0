"""Tracks the request rates that upstreams name in their responses, and keeps to this gateway's
share of them.

An upstream in need names in every response the rate that it accepts from all gateways together, for
as long as the limit applies.  A response without a rate ends the limit only if its request was sent
after the limit was last named, as responses on different connections may overtake each other.  How
the rate is divided is in `ramppost.policy.rate_limit`; `ramppost.gateway.limit_news` tells other
gateways.
"""

from __future__ import annotations

from typing import Final

from loguru import logger

from ramppost.gateway.model import Upstream
from ramppost.policy.rate_limit import NO_SHARE, RateBucket, RateShare, share_of_rate
from ramppost.policy.relays import Peers

MAX_LIMITS: Final = 4096
"""Maximum number of upstream incarnations whose limits are kept.  A limit outlives the entry of its
upstream, which may only have expired while the store was unavailable."""


class _RateLimit:
    """A limit that an upstream has named; times on the steady clock.

    `asked_at` is when the request was sent whose response named it, `named_at` when the latest
    response that named a limit arrived.
    """

    def __init__(self, per_s: float, asked_at: float, now: float) -> None:
        self.per_s = per_s
        self.asked_at = asked_at
        self.named_at = now
        self.bucket = RateBucket(now)
        self.shared_by = -1
        """Version of the gateway list by which the share was computed; -1 if it is to be computed
        anew."""


class RateLimits:
    """The limits that upstreams have named, by incarnation."""

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._limits: dict[str, _RateLimit] = {}

    def __len__(self) -> int:
        return len(self._limits)

    def per_s(self, upstream: Upstream) -> float | None:
        """The rate that an upstream accepts from all gateways, None if it is not limited."""
        limit = self._limits.get(upstream.key)
        return None if limit is None else limit.per_s

    def wait_s(self, upstream: Upstream, now: float) -> float:
        """Seconds until a request may be sent; infinite if this gateway has no share."""
        limit = self._limits.get(upstream.key)
        if limit is None:
            return 0.0
        self._update_share(upstream.key, limit, now)
        return limit.bucket.wait_s(now)

    def record_sent(self, upstream: Upstream, now: float) -> None:
        """Count a request that is being sent."""
        limit = self._limits.get(upstream.key)
        if limit is not None:
            limit.bucket.take(now)

    def record_response(
        self, upstream: Upstream, per_s: float | None, sent_at: float, now: float
    ) -> None:
        """Record the rate that a response names, None if it names none."""
        limit = self._limits.get(upstream.key)
        if per_s is None:
            if limit is not None and sent_at > limit.named_at:
                del self._limits[upstream.key]
                logger.info("upstream limits its rate no more", upstream=upstream.id)
            return
        if limit is None:
            self._add(upstream.key, _RateLimit(per_s, sent_at, now))
            logger.info("upstream limits its rate", upstream=upstream.id, per_s=per_s)
            return
        limit.named_at = now
        if sent_at >= limit.asked_at and per_s != limit.per_s:
            logger.info("upstream limits its rate", upstream=upstream.id, per_s=per_s)
            limit.per_s = per_s
            limit.shared_by = -1
        limit.asked_at = max(limit.asked_at, sent_at)

    def _update_share(self, key: str, limit: _RateLimit, now: float) -> None:
        if limit.shared_by == self._peers.changes and self._peers.fleet_size:
            return
        limit.shared_by = self._peers.changes
        limit.bucket.set_share(self._share(key, limit.per_s), now)

    def _share(self, key: str, per_s: float) -> RateShare:
        if not self._peers.fleet_size:
            return NO_SHARE
        gateways = [self._peers.own, *self._peers.addrs]
        return share_of_rate(self._peers.own, key, gateways, per_s)

    def _add(self, key: str, limit: _RateLimit) -> None:
        self._limits[key] = limit
        while len(self._limits) > MAX_LIMITS:
            del self._limits[next(iter(self._limits))]
