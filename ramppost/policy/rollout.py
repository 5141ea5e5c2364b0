"""Rollout guards: sequential tests of the trial version against the stable version.

No I/O.  Errors: Wald's sequential probability ratio test of the trial's error share.  The null
hypothesis is the stable version's share, the alternative the rollout's "max_error_share".  Slow
answers: the same test with `max_slow_share` (see `ramppost.policy.pace`).  Ratings: the same
test for a mean that is lower by `max_rating_drop`.  Each test may end a rollout after any
request, with the error rates `FALSE_ALARM_RATE` and `MISS_RATE`.
"""

from __future__ import annotations

import math
from typing import Final, Literal, NamedTuple

from ramppost.policy.permissions import ModelVersion, running_rollout
from ramppost.policy.routing import RunningStats
from ramppost.schema.config import ConfigDoc, Rollout

FALSE_ALARM_RATE: Final = 0.001
MISS_RATE: Final = 0.05
MIN_ERROR_SHARE: Final = 0.01
MIN_SLOW_SHARE: Final = 0.2
"""Higher than for errors because slow answers come in bursts, while the test assumes that they
are independent."""
DEFAULT_SLOW_SHARE: Final = 0.5
MIN_SD: Final = 0.1
MIN_STABLE_RATINGS: Final = 10
MAX_REVISIONS: Final = 64
LOG_LIKELIHOOD_BOUND: Final = math.log((1 - MISS_RATE) / FALSE_ALARM_RATE)


class OutcomeCounts(NamedTuple):
    """Counts of successful and failed requests; `slow` is the part of `ok` that was slow."""

    ok: int = 0
    bad: int = 0
    slow: int = 0


class CountKey(NamedTuple):
    """Key of a set of counts: a version, and the revision that started its rollout (0 for none)."""

    mv: ModelVersion
    since: int


def trial_count_key(rollout: Rollout) -> CountKey:
    """Key under which runs of a rollout's trial version are counted."""
    mv = ModelVersion(rollout["model"], rollout["trial"])
    return CountKey(mv, rollout.get("since_revision", 0))


def count_key_of(doc: ConfigDoc, mv: ModelVersion) -> CountKey:
    """Key under which a run of a version is counted, according to the configuration."""
    rollout = running_rollout(doc, mv.model)
    if rollout is None or rollout["trial"] != mv.version:
        return CountKey(mv, 0)
    return trial_count_key(rollout)


class Ratings:
    """Ratings of a version, by the revision that was in force when the request arrived."""

    def __init__(self) -> None:
        self.all = RunningStats()
        self._by_revision: dict[int, RunningStats] = {}

    def add(self, revision: int, score: float) -> None:
        """Add a rating; only the latest `MAX_REVISIONS` revisions are kept separately."""
        self.all.add(score)
        self._by_revision.setdefault(revision, RunningStats()).add(score)
        if len(self._by_revision) > MAX_REVISIONS:
            del self._by_revision[min(self._by_revision)]

    def since(self, revision: int) -> RunningStats:
        """Ratings of requests that arrived at the given revision or later."""
        total = RunningStats()
        for rated_revision, stats in self._by_revision.items():
            if rated_revision >= revision:
                total.n += stats.n
                total.total += stats.total
                total.sum_squares += stats.sum_squares
        return total


def add_counts(a: OutcomeCounts, b: OutcomeCounts) -> OutcomeCounts:
    """Sum of two sets of counts."""
    return OutcomeCounts(a.ok + b.ok, a.bad + b.bad, a.slow + b.slow)


def counts_since(current: OutcomeCounts, earlier: OutcomeCounts) -> OutcomeCounts:
    """Counts added after `earlier`, never below 0."""
    return OutcomeCounts(
        max(0, current.ok - earlier.ok),
        max(0, current.bad - earlier.bad),
        max(0, current.slow - earlier.slow),
    )


def split_cap(cap: int, entries: int, rank: int) -> int:
    """An entry's part of a cap on requests; the parts of all entries add up to the cap.

    `rank` is the entry's rank among the entries, from 0.

    >>> [split_cap(11, 3, rank) for rank in range(3)]
    [4, 4, 3]
    """
    quotient, remainder = divmod(cap, entries)
    return quotient + (rank < remainder)


class Verdict(NamedTuple):
    """The action to take on a rollout, and the reason for it."""

    action: Literal["wait", "advance", "finish", "withdraw"]
    reason: str


def _share(hits: int, others: int) -> float:
    return hits / (hits + others) if hits else 0.0


def _accepts_higher_share(hits: int, others: int, baseline: float, bad_share: float) -> bool:
    """Whether the test accepts a share of `bad_share` over `baseline`, given the two counts.

    The alternative is at least twice the baseline; if that reaches 1, the test never accepts it.
    """
    alternative = max(bad_share, 2 * baseline)
    if alternative >= 1:
        return False
    log_likelihood_ratio = hits * math.log(alternative / baseline) + others * math.log(
        (1 - alternative) / (1 - baseline)
    )
    return log_likelihood_ratio > LOG_LIKELIHOOD_BOUND


def errors_too_high(stable: OutcomeCounts, trial: OutcomeCounts, max_share: float) -> bool:
    """Whether the test accepts `max_share` over the stable version's share of errors.

    >>> errors_too_high(OutcomeCounts(1000, 2), OutcomeCounts(3, 4), 0.2)
    True
    """
    baseline = max(MIN_ERROR_SHARE, _share(stable.bad, stable.ok))
    return _accepts_higher_share(trial.bad, trial.ok, baseline, max_share)


def too_slow(stable: OutcomeCounts, trial: OutcomeCounts, max_share: float) -> bool:
    """Whether the test accepts `max_share` over the stable version's share of slow answers."""
    baseline = max(MIN_SLOW_SHARE, _share(stable.slow, stable.ok - stable.slow))
    return _accepts_higher_share(trial.slow, trial.ok - trial.slow, baseline, max_share)


def ratings_too_low(stable: RunningStats, trial: RunningStats, max_drop: float) -> bool:
    """Whether the test accepts that the trial's mean rating is lower by `max_drop`."""
    if stable.n < MIN_STABLE_RATINGS or trial.n < 2 or max_drop <= 0:
        return False
    sd = max(MIN_SD, stable.sd)
    shortfall = trial.n * (stable.mean - max_drop / 2) - trial.total
    return max_drop / sd**2 * shortfall > LOG_LIKELIHOOD_BOUND


def evaluate_rollout(
    rollout: Rollout,
    stable: OutcomeCounts,
    trial: OutcomeCounts,
    stable_ratings: RunningStats,
    trial_ratings: RunningStats,
    step_age_s: float,
    step_requests: int,
) -> Verdict:
    """Decide the next action of a rollout.

    `step_age_s` and `step_requests` are the age of the current step and the trial's requests in it.
    """
    if errors_too_high(stable, trial, rollout["max_error_share"]):
        return Verdict("withdraw", f"{trial.bad} of {trial.ok + trial.bad} requests failed")
    if too_slow(stable, trial, rollout.get("max_slow_share", DEFAULT_SLOW_SHARE)):
        return Verdict("withdraw", f"{trial.slow} of {trial.ok} answers were slow")
    if ratings_too_low(stable_ratings, trial_ratings, rollout["max_rating_drop"]):
        change = f"{trial_ratings.mean:.2f} after {stable_ratings.mean:.2f}"
        return Verdict("withdraw", f"mean rating {change} on {trial_ratings.n} answers")
    if step_age_s < rollout["step_s"] or step_requests < rollout.get("min_requests", 20):
        return Verdict("wait", "step is not over")
    if rollout["step"] + 1 < len(rollout["steps"]):
        return Verdict("advance", "step passed its guards")
    return Verdict("finish", "last step passed its guards")
