"""Tells how slow an answer is, relative to what was to be expected of its request at that load.

Pure.  Whoever sends a request divides its time by what the request and the load let expect: the
prompts ahead and its own to be read, or the requests beside it.  What remains differs by route and
model, so a ratio is relative to the median of the versions in service (`UsualTimes`), and has one
of a few levels.  How often answers of the versions in service come to a level in the same time
tells how much an answer at that level says about another version (`level_weights`): in a burst
that slows all, it says little.

    times.record("first", 1.2)                  # of a version in service
    level = level_of(times.ratio("first", 7.0))
"""

from __future__ import annotations

import math
from bisect import bisect_right, insort
from collections import deque
from collections.abc import Sequence
from typing import Final, NamedTuple

LEVEL_RATIOS: Final = (1.5, 2.5, 4.0, 6.5)
"""Ratios from which an answer has the next level; the lowest is 0."""
SLOW_LEVEL: Final = 2
"""Level from which an answer counts as slow."""
LEVELS: Final = len(LEVEL_RATIOS) + 1
BAD_LEVELS: Final = (0.05, 0.10, 0.20, 0.25, 0.40)
"""How the slow answers of a bad version spread over the levels."""
PRIOR_TAILS: Final = (1.0, 0.2, 0.06, 0.025, 0.01)
"""Least share of a sound version's answers at each level or above, however few the versions in
service give: slow answers come in bursts, while the test assumes that they are independent."""
MOVED_TAILS: Final = (1.0, 0.6, 0.4, 0.2, 0.1)
"""The same at least for answers of a sound version to which all traffic has just moved: none of its
caches is warm, and prompts are read again beside the streams."""
PRIOR_WEIGHT: Final = 20.0
"""Number of answers that the prior counts as."""
ROUTE_PRIOR_WEIGHT: Final = 10.0
"""Number of answers that those of the service count as among those of a route, and these among
those of the last seconds."""
MIN_TAIL_STEP: Final = 0.002
"""Least probability of a level."""
MAX_MEDIAN_SAMPLES: Final = 61
MIN_MEDIAN_SAMPLES: Final = 5
MAX_GROUPS: Final = 256


def level_of(ratio: float) -> int:
    """Level of a ratio to the usual time.

    >>> [level_of(ratio) for ratio in (0.3, 1.5, 3.0, 5.0, 40.0)]
    [0, 1, 2, 3, 4]
    """
    return bisect_right(LEVEL_RATIOS, ratio)


class LevelWeights(NamedTuple):
    """Log likelihood ratios of a bad version against a sound one, by level.

    `ended` is for answers that have ended at a level, `reached` for those that run and have come to
    it so far.
    """

    ended: tuple[float, ...]
    reached: tuple[float, ...]


class _RunningMedian:
    """Median of the latest samples."""

    def __init__(self) -> None:
        self._latest: deque[float] = deque()
        self._sorted: list[float] = []

    def add(self, sample: float) -> None:
        self._latest.append(sample)
        insort(self._sorted, sample)
        if len(self._latest) > MAX_MEDIAN_SAMPLES:
            self._sorted.remove(self._latest.popleft())

    @property
    def value(self) -> float | None:
        """The median; None while there are too few samples."""
        count = len(self._sorted)
        return self._sorted[count // 2] if count >= MIN_MEDIAN_SAMPLES else None


class UsualTimes:
    """Usual times of the versions in service, by group.

    Samples are times divided by what was expected; `group` names the samples that are alike, such
    as those of a route and model.
    """

    def __init__(self) -> None:
        self._medians: dict[str, _RunningMedian] = {}

    def record(self, group: str, sample: float) -> None:
        """Add a sample to its group."""
        if group in self._medians or len(self._medians) < MAX_GROUPS:
            self._medians.setdefault(group, _RunningMedian()).add(sample)

    def ratio(self, group: str, sample: float) -> float | None:
        """A sample relative to the median of its group; None while that is not known.

        >>> times = UsualTimes()
        >>> for sample in (0.8, 1.0, 1.0, 1.2, 2.0): times.record("g", sample)
        >>> times.ratio("g", 4.0), times.ratio("other", 4.0)
        (4.0, None)
        """
        known = self._medians.get(group)
        median = known.value if known is not None else None
        return sample / median if median else None


def sound_tails(
    route_counts: Sequence[float], all_counts: Sequence[float], recent_counts: Sequence[float]
) -> list[float]:
    """Share of a sound version's answers at each level or above, given how many of the versions in
    service came to each: on the same route, on all, and on the same in the last seconds."""
    all_tails = _tails(all_counts, PRIOR_TAILS, PRIOR_WEIGHT)
    route_tails = _tails(route_counts, all_tails, ROUTE_PRIOR_WEIGHT)
    recent_tails = _tails(recent_counts, route_tails, ROUTE_PRIOR_WEIGHT)
    return [max(of) for of in zip(route_tails, recent_tails, PRIOR_TAILS, strict=True)]


def level_weights(tails: Sequence[float], slow_share: float) -> LevelWeights:
    """What answers say at each level, given the share of a sound version's at each or above;
    `slow_share` is the share of answers that a bad version slows.

    >>> nothing = (0.0,) * LEVELS
    >>> weights = level_weights(sound_tails(nothing, nothing, nothing), 0.35)
    >>> [round(weight, 1) for weight in weights.ended]
    [-0.4, -0.1, 1.0, 1.9, 2.7]
    """
    bad_tails = [sum(BAD_LEVELS[level:]) for level in range(LEVELS)]
    steps = [
        max(MIN_TAIL_STEP, tail - beyond)
        for tail, beyond in zip(tails, [*tails[1:], 0.0], strict=True)
    ]
    return LevelWeights(
        tuple(log_ratio(b, sound, slow_share) for b, sound in zip(BAD_LEVELS, steps, strict=True)),
        tuple(log_ratio(b, sound, slow_share) for b, sound in zip(bad_tails, tails, strict=True)),
    )


def _tails(counts: Sequence[float], prior: Sequence[float], prior_weight: float) -> list[float]:
    """Estimated share of answers at each level or above."""
    total = sum(counts) + prior_weight
    return [(sum(counts[level:]) + prior_weight * prior[level]) / total for level in range(LEVELS)]


def log_ratio(bad: float, sound: float, bad_share: float) -> float:
    """Log likelihood ratio of an answer of a version of which `bad_share` are bad answers, if a bad
    one is like it with probability `bad`, and one of a sound version with probability `sound`.

    >>> round(log_ratio(1.0, 0.01, 0.35), 1), round(log_ratio(0.0, 0.99, 0.35), 1)
    (3.6, -0.4)
    """
    return math.log((1 - bad_share) + bad_share * bad / sound)
