"""Guards of a roll-out: sequential tests of the trial version against the stable one.

Pure.  Errors: Wald's sequential probability ratio test of the trial's error share,
"as the stable one's" against "as high as `max_error_share`".  Slow answers: the
same with `max_slow_share` (see `ramppost.policy.pace`).  Ratings: the same test for
a mean that has fallen by `max_rating_drop`.  Each may end a roll-out after any
request, at the error rates named below.
"""

from __future__ import annotations

import math
from typing import Final, Literal, NamedTuple

from ramppost.policy.permissions import ModelVersion, running_rollout
from ramppost.policy.routing import RunningStats
from ramppost.schema.config import ConfigDoc, Rollout

FALSE_ALARM: Final = 0.001
MISSED: Final = 0.05
LEAST_ERROR_SHARE: Final = 0.01
LEAST_SLOW_SHARE: Final = 0.2
"""Higher than for errors: slowness comes in bursts, which the test takes for independent."""
DEFAULT_SLOW_SHARE: Final = 0.5
LEAST_SD: Final = 0.1
LEAST_STABLE_RATINGS: Final = 10
KEPT_REVISIONS: Final = 64
BOUND: Final = math.log((1 - MISSED) / FALSE_ALARM)


class OutcomeCounts(NamedTuple):
    """Requests that ended well and badly; `slow` is how many of the good were slow."""

    ok: int = 0
    bad: int = 0
    slow: int = 0


class CountKey(NamedTuple):
    """What counts are of: a version, in the roll-out that a revision began, 0 for none."""

    mv: ModelVersion
    since: int


def trial_count_key(rollout: Rollout) -> CountKey:
    """What the runs of a roll-out's trial count for."""
    mv = ModelVersion(rollout["model"], rollout["trial"])
    return CountKey(mv, rollout.get("since_revision", 0))


def count_key_of(doc: ConfigDoc, mv: ModelVersion) -> CountKey:
    """What a run of a version counts for by a configuration."""
    rollout = running_rollout(doc, mv.model)
    if rollout is None or rollout["trial"] != mv.version:
        return CountKey(mv, 0)
    return trial_count_key(rollout)


class Ratings:
    """Ratings of a version by the revision in force when the request came in."""

    def __init__(self) -> None:
        self.all = RunningStats()
        self._by_revision: dict[int, RunningStats] = {}

    def add(self, revision: int, score: float) -> None:
        """Take in one; of many revisions the oldest are forgotten."""
        self.all.add(score)
        self._by_revision.setdefault(revision, RunningStats()).add(score)
        if len(self._by_revision) > KEPT_REVISIONS:
            del self._by_revision[min(self._by_revision)]

    def since(self, revision: int) -> RunningStats:
        """Those of requests that came in at a revision or later."""
        total = RunningStats()
        for known, mean in self._by_revision.items():
            if known >= revision:
                total.n += mean.n
                total.total += mean.total
                total.sum_squares += mean.sum_squares
        return total


def add_counts(a: OutcomeCounts, b: OutcomeCounts) -> OutcomeCounts:
    """Both together."""
    return OutcomeCounts(a.ok + b.ok, a.bad + b.bad, a.slow + b.slow)


def counts_since(now: OutcomeCounts, then: OutcomeCounts) -> OutcomeCounts:
    """What came after `then`."""
    return OutcomeCounts(
        max(0, now.ok - then.ok), max(0, now.bad - then.bad), max(0, now.slow - then.slow)
    )


def split_cap(cap: int, entries: int, rank: int) -> int:
    """An entry's part of a cap on requests, so that all parts add up to it; ranks count from 0.

    >>> [split_cap(11, 3, rank) for rank in range(3)]
    [4, 4, 3]
    """
    whole, rest = divmod(cap, entries)
    return whole + (rank < rest)


class Verdict(NamedTuple):
    """What is to be done with a roll-out, and why."""

    action: Literal["wait", "advance", "finish", "withdraw"]
    reason: str


def _share(part: int, rest: int) -> float:
    return part / (part + rest) if part else 0.0


def _speaks_for(part: int, rest: int, usual: float, bad: float) -> bool:
    """Whether `part` of `part + rest` speaks for a share of `bad` rather than `usual`."""
    high = max(bad, 2 * usual)
    if high >= 1:
        return False
    ratio = part * math.log(high / usual) + rest * math.log((1 - high) / (1 - usual))
    return ratio > BOUND


def errors_too_high(stable: OutcomeCounts, trial: OutcomeCounts, max_share: float) -> bool:
    """Whether the trial's errors speak for `max_share` rather than the stable share.

    >>> errors_too_high(OutcomeCounts(1000, 2), OutcomeCounts(3, 4), 0.2)
    True
    """
    usual = max(LEAST_ERROR_SHARE, _share(stable.bad, stable.ok))
    return _speaks_for(trial.bad, trial.ok, usual, max_share)


def too_slow(stable: OutcomeCounts, trial: OutcomeCounts, max_share: float) -> bool:
    """Whether the trial's slow answers speak for `max_share` rather than the stable share."""
    usual = max(LEAST_SLOW_SHARE, _share(stable.slow, stable.ok - stable.slow))
    return _speaks_for(trial.slow, trial.ok - trial.slow, usual, max_share)


def ratings_too_low(stable: RunningStats, trial: RunningStats, max_drop: float) -> bool:
    """Whether the trial's ratings speak for a mean lower by `max_drop`."""
    if stable.n < LEAST_STABLE_RATINGS or trial.n < 2 or max_drop <= 0:
        return False
    sd = max(LEAST_SD, stable.sd)
    lost = trial.n * (stable.mean - max_drop / 2) - trial.total
    return max_drop / sd**2 * lost > BOUND


def evaluate_rollout(
    rollout: Rollout,
    stable: OutcomeCounts,
    trial: OutcomeCounts,
    stable_ratings: RunningStats,
    trial_ratings: RunningStats,
    step_age_s: float,
    step_requests: int,
) -> Verdict:
    """What to do now; `step_requests` counts the trial's requests in this step."""
    if errors_too_high(stable, trial, rollout["max_error_share"]):
        return Verdict("withdraw", f"{trial.bad} of {trial.ok + trial.bad} requests failed")
    if too_slow(stable, trial, rollout.get("max_slow_share", DEFAULT_SLOW_SHARE)):
        return Verdict("withdraw", f"{trial.slow} of {trial.ok} answers were slow")
    if ratings_too_low(stable_ratings, trial_ratings, rollout["max_rating_drop"]):
        fell = f"{trial_ratings.mean:.2f} after {stable_ratings.mean:.2f}"
        return Verdict("withdraw", f"mean rating {fell} on {trial_ratings.n} answers")
    if step_age_s < rollout["step_s"] or step_requests < rollout.get("min_requests", 20):
        return Verdict("wait", "step is not over")
    if rollout["step"] + 1 < len(rollout["steps"]):
        return Verdict("advance", "step passed its guards")
    return Verdict("finish", "last step passed its guards")
