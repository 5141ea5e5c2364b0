"""Measures the shortage of engines and lowers the threshold of model cascades accordingly.

Pure.  The larger model of a cascade processes a prompt many times as slowly as the smallest.
While requests queue at the engines, each use of the larger model makes other answers late.  Less
confident answers of the smallest model are therefore accepted, primarily if the larger model's
prefill would take long; the threshold recovers when the queues shrink.

The shortage is derived from the longer of two waits: the recent average, and the wait at the best
engine that was just queried.  A gateway of a large fleet has few answers per second, and would take
six seconds to detect a shortage by these alone.
"""

from __future__ import annotations

import math
from typing import Final

HALF_LIFE_S: Final = 2.0
"""Half-life of the average wait; overloads begin and end within seconds."""
WAIT_WEIGHT: Final = 0.1
"""Weight of one request's wait in the average."""
BASELINE_WAIT_S: Final = 0.05
"""Typical time to first token beyond the prefill without overload."""
SHORTAGE_WAIT_S: Final = 0.4
"""Wait at which the shortage is 1: a quarter of the tightest latency objective of a stream."""
THRESHOLD_RELIEF: Final = 0.25
"""Reduction of the threshold at a shortage of 1 for a prompt of typical length.  Answers rated just
below the threshold are correct more often than not."""
TYPICAL_READ_S: Final = 0.8
"""Prefill time of such a prompt by a larger model."""
MAX_RELIEF_FACTOR: Final = 2.0
"""Maximum factor of the reduction for longer prompts: a prefill of 1.6 s makes several other
answers late.  On a day that loses all gateways and a third of the engines, callers got 0.794 of
what they asked for, against 0.788 with a factor of 1.5 and 0.781 with the same reduction for all
lengths (one run of each).  On a day with fewer losses it was 0.840, against 0.845 and 0.849, and
the models cost a tenth less."""


class Pressure:
    """The recent average wait at the engines, excluding the prefill of the request itself."""

    def __init__(self) -> None:
        self._wait_s = 0.0
        self._updated_at = float("-inf")

    def record_wait(self, seconds: float, now: float) -> None:
        """Add the wait of a request that has its first token to the average."""
        average_s = self.wait_s(now)
        self._wait_s = average_s + WAIT_WEIGHT * (max(0.0, seconds) - average_s)
        self._updated_at = now

    def wait_s(self, now: float) -> float:
        """The expected wait, which decays while no waits are recorded."""
        if self._updated_at == float("-inf"):
            return 0.0
        return self._wait_s * math.exp2(-max(0.0, now - self._updated_at) / HALF_LIFE_S)

    def shortage(self, now: float, reported_wait_s: float = 0.0) -> float:
        """The shortage of engines, from 0 for no queues to 1 for long waits.

        It is based on the recent average or, if longer, `reported_wait_s`, the shortest wait that
        the queried engines have.

        >>> pressure = Pressure()
        >>> for _ in range(100): pressure.record_wait(0.4, 10.0)
        >>> round(pressure.shortage(10.0), 2), round(pressure.shortage(20.0), 2)
        (1.0, 0.0)
        >>> Pressure().shortage(10.0, reported_wait_s=0.05)
        0.0
        >>> Pressure().shortage(10.0, reported_wait_s=1.0)
        1.0
        """
        wait_s = max(self.wait_s(now), reported_wait_s)
        excess = (wait_s - BASELINE_WAIT_S) / (SHORTAGE_WAIT_S - BASELINE_WAIT_S)
        return min(1.0, max(0.0, excess))


def relaxed_threshold(threshold: float, shortage: float, read_s: float) -> float:
    """The threshold of a cascade, reduced by the shortage of engines, for a prompt whose prefill by
    the larger model takes `read_s` seconds.

    >>> [round(relaxed_threshold(0.55, 1.0, read_s), 2) for read_s in (0.0, 0.4, 0.8, 3.0)]
    [0.55, 0.43, 0.3, 0.05]
    """
    length_factor = min(MAX_RELIEF_FACTOR, read_s / TYPICAL_READ_S)
    return max(0.0, threshold - THRESHOLD_RELIEF * shortage * length_factor)
