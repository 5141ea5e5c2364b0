"""How far an upstream is to be avoided for its failures, and how slow it is of late.

Pure.  There is no hard ejection: failures push an upstream back in the order of choice,
and the push fades with time, so that it gets a request now and then and returns once it
answers well.  However many upstreams fail, one of them is still chosen.
"""

from __future__ import annotations

import math
from typing import Final

FAILURE_HALF_LIFE_S: Final = 3.0
"""A crashed upstream's entry in the store goes after some seconds; until then it is tried
about that often."""
FAILURE_WEIGHT: Final = 0.3
LATENCY_WEIGHT: Final = 0.2
LATENCY_HALF_LIFE_S: Final = 4.0


class Suspicion:
    """Recent failures of an upstream, 0 to 1, and its usual latency in seconds."""

    def __init__(self) -> None:
        self._failure_rate = 0.0
        self._updated_at = 0.0
        self._latency_s = 0.0
        self._latency_at = float("-inf")

    def record_outcome(self, failed: bool, now: float) -> None:
        """Take in the outcome of a request.

        >>> seen = Suspicion()
        >>> seen.record_outcome(True, 10.0)
        >>> round(seen.failure_rate(10.0), 2), round(seen.failure_rate(13.0), 2)
        (0.3, 0.15)
        """
        level = self.failure_rate(now)
        self._failure_rate = level + FAILURE_WEIGHT * ((1.0 if failed else 0.0) - level)
        self._updated_at = now

    def failure_rate(self, now: float) -> float:
        """How far failures speak against it now, 0 to 1."""
        return self._failure_rate * math.exp2(
            -max(0.0, now - self._updated_at) / FAILURE_HALF_LIFE_S
        )

    def record_latency(self, seconds: float, now: float) -> None:
        """Take in how long an answer took."""
        known = self._latency_at > float("-inf")
        weight = LATENCY_WEIGHT if known else 1.0
        self._latency_s += weight * (seconds - self._latency_s)
        self._latency_at = now

    def latency_s(self, default_s: float, now: float) -> float:
        """Its latency, drawn towards the usual one of its pool as its own grows old."""
        if self._latency_at == float("-inf"):
            return default_s
        trust = math.exp2(-max(0.0, now - self._latency_at) / LATENCY_HALF_LIFE_S)
        return trust * self._latency_s + (1 - trust) * default_s
