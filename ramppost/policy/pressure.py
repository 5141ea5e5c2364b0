"""How short engines are, and what that means for the choice of models.

Pure.  The larger model of a cascade reads a prompt many times as slowly as the smallest.
While requests wait at the engines, each answer that is asked of it makes others late, so
less confident answers of the smallest are taken, first of all where the larger model would read
for long; as the wait ends, the threshold goes back.

Engines are as short as the wait of late says, or that at the best engine just asked about: a
gateway of a large fleet has few answers a second, and would notice after six seconds by these
alone.
"""

from __future__ import annotations

import math
from typing import Final

HALF_LIFE_S: Final = 2.0
"""How long a wait counts: crises begin and end within seconds."""
WAIT_WEIGHT: Final = 0.1
"""Weight of one request's wait."""
BASELINE_WAIT_S: Final = 0.05
"""What a first token usually takes beyond reading its prompt on a calm day."""
SHORTAGE_WAIT_S: Final = 0.4
"""A wait at which engines are short: a quarter of the tightest objective of a stream."""
THRESHOLD_RELIEF: Final = 0.25
"""What the threshold falls by when engines are short, for a prompt of usual length.  Answers rated
just below it are right more often than not."""
TYPICAL_READ_S: Final = 0.8
"""What a larger model takes to read such a prompt."""
MAX_RELIEF_FACTOR: Final = 2.0
"""How much further the threshold falls for longer ones, at most: whoever reads for 1.6 s makes
several others late.  On a day that loses all gateways and a third of the engines callers got 0.794
of what they asked for, 0.788 with 1.5 and 0.781 with the same relief for all lengths (one run of
each); on one that loses fewer 0.840, 0.845 and 0.849, for a tenth less of the models' price."""


class Pressure:
    """The usual wait at the engines of late, beyond the reading of the own prompt."""

    def __init__(self) -> None:
        self._wait_s = 0.0
        self._updated_at = float("-inf")

    def record_wait(self, seconds: float, now: float) -> None:
        """Take in the wait of a request that has begun."""
        average_s = self.wait_s(now)
        self._wait_s = average_s + WAIT_WEIGHT * (max(0.0, seconds) - average_s)
        self._updated_at = now

    def wait_s(self, now: float) -> float:
        """The wait to be expected now: it fades while nothing is heard."""
        if self._updated_at == float("-inf"):
            return 0.0
        return self._wait_s * math.exp2(-max(0.0, now - self._updated_at) / HALF_LIFE_S)

    def shortage(self, now: float, reported_wait_s: float = 0.0) -> float:
        """How short engines are: 0 on a calm day, 1 where requests wait long, of late or by the
        least wait that was just told.

        >>> pressure = Pressure()
        >>> for _ in range(100): pressure.record_wait(0.4, 10.0)
        >>> round(pressure.shortage(10.0), 2), round(pressure.shortage(20.0), 2)
        (1.0, 0.0)
        >>> [Pressure().shortage(10.0, reported_wait_s=wait_s) for wait_s in (0.05, 1.0)]
        [0.0, 1.0]
        """
        wait_s = max(self.wait_s(now), reported_wait_s)
        excess = (wait_s - BASELINE_WAIT_S) / (SHORTAGE_WAIT_S - BASELINE_WAIT_S)
        return min(1.0, max(0.0, excess))


def relaxed_threshold(threshold: float, shortage: float, read_s: float) -> float:
    """The threshold of a cascade that gives way while engines are short, for a prompt that the
    larger model takes `read_s` seconds to read.

    >>> [round(relaxed_threshold(0.55, 1.0, read_s), 2) for read_s in (0.0, 0.4, 0.8, 3.0)]
    [0.55, 0.43, 0.3, 0.05]
    """
    length_factor = min(MAX_RELIEF_FACTOR, read_s / TYPICAL_READ_S)
    return max(0.0, threshold - THRESHOLD_RELIEF * shortage * length_factor)
