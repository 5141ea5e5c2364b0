"""How short engines are, and what that means for the choice of models.

Pure.  The larger model of a cascade reads a prompt many times as slowly as the smallest.
While requests wait at the engines, each answer that is asked of it makes others late, so
less confident answers of the smallest are taken; as the wait ends, the threshold goes back.
"""

from __future__ import annotations

import math
from typing import Final

HALF_LIFE_S: Final = 2.0
"""How long a wait counts: crises begin and end within seconds."""
STEP: Final = 0.1
"""Weight of one request's wait."""
CALM_WAIT_S: Final = 0.05
"""What a first token usually takes beyond reading its prompt on a calm day."""
SHORT_WAIT_S: Final = 0.4
"""A wait at which engines are short: a quarter of the tightest objective of a stream."""
RELIEF: Final = 0.25
"""What the threshold falls by when engines are short.  Answers rated just below it are right
more often than not."""


class Pressure:
    """The usual wait at the engines of late, beyond the reading of the own prompt."""

    def __init__(self) -> None:
        self._wait_s = 0.0
        self._at = float("-inf")

    def waited(self, seconds: float, now: float) -> None:
        """Take in the wait of a request that has begun."""
        level = self.wait_s(now)
        self._wait_s = level + STEP * (max(0.0, seconds) - level)
        self._at = now

    def wait_s(self, now: float) -> float:
        """The wait to be expected now: it fades while nothing is heard."""
        if self._at == float("-inf"):
            return 0.0
        return self._wait_s * math.exp2(-max(0.0, now - self._at) / HALF_LIFE_S)

    def shortage(self, now: float) -> float:
        """How short engines are: 0 on a calm day, 1 where requests wait long.

        >>> seen = Pressure()
        >>> for _ in range(100): seen.waited(0.4, 10.0)
        >>> round(seen.shortage(10.0), 2), round(seen.shortage(20.0), 2)
        (1.0, 0.0)
        """
        part = (self.wait_s(now) - CALM_WAIT_S) / (SHORT_WAIT_S - CALM_WAIT_S)
        return min(1.0, max(0.0, part))


def threshold_under(threshold: float, shortage: float) -> float:
    """The threshold of a cascade that gives way while engines are short.

    >>> threshold_under(0.55, 0.0), round(threshold_under(0.55, 1.0), 2)
    (0.55, 0.3)
    """
    return max(0.0, threshold - RELIEF * shortage)
