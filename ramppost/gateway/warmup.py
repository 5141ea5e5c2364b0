"""Tracks upstreams that are warming up and limits the requests that this gateway sends them.

An upstream's entry reports its remaining warm-up time.  An upstream is also assumed to be warming
up after the evacuation of its data hall has ended and after a failed attempt to reach it, because
its entry may not be up to date yet.  The limit applies to all gateways together
(`ramppost.policy.warmup`).
"""

from __future__ import annotations

from loguru import logger

from ramppost.gateway.model import Service, Upstream
from ramppost.policy.relays import Peers
from ramppost.policy.warmup import SentWindow, share_of


class WarmUps:
    """Warm-up ends of upstreams and recently sent requests; times on the steady clock."""

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._until: dict[str, float] = {}
        self._windows: dict[str, SentWindow] = {}
        self._shares: dict[str, int] = {}
        self._shares_key = (-1, 0.0)
        """Version of the gateway list and limit for which `_shares` was computed."""

    def record_entry(self, upstream: Upstream, left_s: float, now: float) -> None:
        """Record the remaining warm-up time from an upstream's entry."""
        if left_s <= 0:
            return
        if not self.is_warming_up(upstream, now):
            logger.info("upstream is warming up", upstream=upstream.id, left_s=round(left_s, 3))
        self.assume_warming_up(upstream, left_s, now)

    def assume_warming_up(self, upstream: Upstream, duration_s: float, now: float) -> None:
        """Treat an upstream as warming up for at least the given time."""
        if duration_s > 0:
            until = max(self._until.get(upstream.key, 0.0), now + duration_s)
            self._until[upstream.key] = until

    def is_warming_up(self, upstream: Upstream, now: float) -> bool:
        """Whether an upstream is known or assumed to be warming up."""
        return self._until.get(upstream.key, 0.0) > now

    def wait_s(self, service: Service, upstream: Upstream, now: float) -> float:
        """Seconds until a request may be sent; infinite if this gateway has no share."""
        if service.warmup_per_s <= 0 or not self.is_warming_up(upstream, now):
            return 0.0
        window = self._windows.get(upstream.key)
        share = self._share(upstream, service.warmup_per_s)
        return (window or SentWindow()).wait_s(share, now)

    def any_limited(self, service: Service, now: float) -> bool:
        """Whether the warm-up limit of a service may apply to any upstream now."""
        return service.warmup_per_s > 0 and self._any_warming_up(now)

    def record_sent(self, service: Service, upstream: Upstream, now: float) -> None:
        """Count a request, including before the upstream is known to be warming up."""
        if service.warmup_per_s > 0:
            self._windows.setdefault(upstream.key, SentWindow()).sent(now)

    def forget(self, upstream_key: str) -> None:
        """Drop the state of an upstream that has left or restarted."""
        self._until.pop(upstream_key, None)
        self._windows.pop(upstream_key, None)
        self._shares.pop(upstream_key, None)

    def _any_warming_up(self, now: float) -> bool:
        for key in [key for key, until in self._until.items() if until <= now]:
            del self._until[key]
        return bool(self._until)

    def _share(self, upstream: Upstream, per_s: float) -> int:
        if not self._peers.fleet_size:
            return 0
        if self._shares_key != (self._peers.changes, per_s):
            self._shares_key = (self._peers.changes, per_s)
            self._shares.clear()
        if upstream.key not in self._shares:
            share = share_of(self._peers.own, upstream.key, self._peers.names, per_s)
            self._shares[upstream.key] = share
        return self._shares[upstream.key]
