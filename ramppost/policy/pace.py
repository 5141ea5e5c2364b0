"""Which answers of a version are slow, by the pace of the model's stable version.

Pure.  Each agent keeps, for each model, how long the stable version lately took
to the first token and between tokens at its own upstream, and calls an answer
slow that took twice as long in either.  So the guard needs no figure from the
operator, and load, which slows both versions, does not speak against the trial.
"""

from __future__ import annotations

from typing import Final, NamedTuple

SLOW_FACTOR: Final = 2.0
FIRST_SLACK_S: Final = 0.05
GAP_SLACK_S: Final = 0.005
WEIGHT: Final = 0.1
LEAST_NOTED: Final = 10


class Timing(NamedTuple):
    """Seconds to the first token, and from one token to the next on average."""

    first_s: float
    gap_s: float


class Pace:
    """The stable version's usual timing."""

    def __init__(self) -> None:
        self.noted = 0
        self.usual = Timing(0.0, 0.0)

    def note(self, seen: Timing) -> None:
        """Take in an answer of the stable version."""
        self.noted += 1
        weight = max(WEIGHT, 1 / self.noted)
        first_s = self.usual.first_s + weight * (seen.first_s - self.usual.first_s)
        self.usual = Timing(first_s, self.usual.gap_s + weight * (seen.gap_s - self.usual.gap_s))

    def slow(self, seen: Timing) -> bool:
        """Whether an answer was slow; never before the usual timing is known.

        >>> pace = Pace()
        >>> for _ in range(10): pace.note(Timing(0.2, 0.03))
        >>> pace.slow(Timing(0.3, 0.04)), pace.slow(Timing(0.3, 0.08))
        (False, True)
        """
        if self.noted < LEAST_NOTED:
            return False
        late = seen.first_s > SLOW_FACTOR * self.usual.first_s + FIRST_SLACK_S
        return late or seen.gap_s > SLOW_FACTOR * self.usual.gap_s + GAP_SLACK_S
