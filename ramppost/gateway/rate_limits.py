"""Tracks the request rates that upstreams name in their responses.

An upstream in need names in every response the rate that it accepts from all gateways together, for
as long as the limit applies.  A response without a rate ends the limit only if its request was sent
after the limit was last named, as responses on different connections may overtake each other.
"""

from __future__ import annotations

from typing import Final

from loguru import logger

from ramppost.gateway.model import Upstream

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


class RateLimits:
    """The limits that upstreams have named, by incarnation."""

    def __init__(self) -> None:
        self._limits: dict[str, _RateLimit] = {}

    def __len__(self) -> int:
        return len(self._limits)

    def per_s(self, upstream: Upstream) -> float | None:
        """The rate that an upstream accepts from all gateways, None if it is not limited."""
        limit = self._limits.get(upstream.key)
        return None if limit is None else limit.per_s

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
        limit.asked_at = max(limit.asked_at, sent_at)

    def _add(self, key: str, limit: _RateLimit) -> None:
        self._limits[key] = limit
        while len(self._limits) > MAX_LIMITS:
            del self._limits[next(iter(self._limits))]
