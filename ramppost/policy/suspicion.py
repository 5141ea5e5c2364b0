"""Tracks the recent failure rate and latency of an upstream.

Pure.  Upstreams are not ejected.  Instead, failures lower an upstream's rank, and this penalty
decays with time, so that a failing upstream still gets occasional requests and recovers once it
answers them.  Even if all upstreams fail, one of them is chosen.
"""

from __future__ import annotations

import math
from typing import Final

FAILURE_HALF_LIFE_S: Final = 3.0
"""A crashed upstream's entry is removed from the store after some seconds; until then the upstream
is tried about once in this time."""
FAILURE_WEIGHT: Final = 0.3
LATENCY_WEIGHT: Final = 0.2
LATENCY_HALF_LIFE_S: Final = 4.0


class UpstreamHealth:
    """Recent failure rate of an upstream, 0 to 1, and its average latency in seconds."""

    def __init__(self) -> None:
        self._failure_average = 0.0
        self._updated_at = 0.0
        self._latency_s = 0.0
        self._latency_at = float("-inf")

    def record_outcome(self, failed: bool, now: float) -> None:
        """Add the outcome of a request to the failure rate.

        >>> health = UpstreamHealth()
        >>> health.record_outcome(True, 10.0)
        >>> round(health.failure_rate(10.0), 2), round(health.failure_rate(13.0), 2)
        (0.3, 0.15)
        """
        average = self.failure_rate(now)
        self._failure_average = average + FAILURE_WEIGHT * ((1.0 if failed else 0.0) - average)
        self._updated_at = now

    def failure_rate(self, now: float) -> float:
        """The failure rate, 0 to 1, which decays while no outcomes are recorded."""
        return self._failure_average * math.exp2(
            -max(0.0, now - self._updated_at) / FAILURE_HALF_LIFE_S
        )

    def record_latency(self, seconds: float, now: float) -> None:
        """Add the latency of an answer to the average."""
        has_latency = self._latency_at > float("-inf")
        weight = LATENCY_WEIGHT if has_latency else 1.0
        self._latency_s += weight * (seconds - self._latency_s)
        self._latency_at = now

    def latency_s(self, default_s: float, now: float) -> float:
        """The average latency, which approaches `default_s` as the last sample ages."""
        if self._latency_at == float("-inf"):
            return default_s
        own_weight = math.exp2(-max(0.0, now - self._latency_at) / LATENCY_HALF_LIFE_S)
        return own_weight * self._latency_s + (1 - own_weight) * default_s
