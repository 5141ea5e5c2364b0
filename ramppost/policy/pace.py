"""Classifies answers of a trial version as slow, relative to the model's stable version.

Pure.  For each model, an agent keeps the recent average time to first token and
between tokens of the stable version at its own upstream.  An answer is slow if
either took twice as long.  Therefore the guard needs no thresholds from the
operator, and load, which slows both versions, doesn't count against the trial.
"""

from __future__ import annotations

from typing import Final, NamedTuple

SLOW_FACTOR: Final = 2.0
FIRST_TOKEN_SLACK_S: Final = 0.05
TOKEN_GAP_SLACK_S: Final = 0.005
MIN_WEIGHT: Final = 0.1
MIN_SAMPLES: Final = 10


class Timing(NamedTuple):
    """Time to first token, and average time between tokens, in seconds."""

    first_token_s: float
    token_gap_s: float


class TimingBaseline:
    """The stable version's average timing, exponentially weighted."""

    def __init__(self) -> None:
        self.samples = 0
        self.average = Timing(0.0, 0.0)

    def record(self, timing: Timing) -> None:
        """Add an answer of the stable version to the average."""
        self.samples += 1
        weight = max(MIN_WEIGHT, 1 / self.samples)
        first_token_s = self.average.first_token_s + weight * (
            timing.first_token_s - self.average.first_token_s
        )
        self.average = Timing(
            first_token_s,
            self.average.token_gap_s + weight * (timing.token_gap_s - self.average.token_gap_s),
        )

    def is_slow(self, timing: Timing) -> bool:
        """Whether an answer was slow; false until there are enough samples.

        >>> baseline = TimingBaseline()
        >>> for _ in range(10): baseline.record(Timing(0.2, 0.03))
        >>> baseline.is_slow(Timing(0.3, 0.04)), baseline.is_slow(Timing(0.3, 0.08))
        (False, True)
        """
        if self.samples < MIN_SAMPLES:
            return False
        first_token_is_slow = (
            timing.first_token_s > SLOW_FACTOR * self.average.first_token_s + FIRST_TOKEN_SLACK_S
        )
        return (
            first_token_is_slow
            or timing.token_gap_s > SLOW_FACTOR * self.average.token_gap_s + TOKEN_GAP_SLACK_S
        )
