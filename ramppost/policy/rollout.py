"""Guards of a roll-out: sequential tests of the trial version against the stable one.

Pure.  Errors: Wald's sequential probability ratio test of the trial's error share,
"as the stable one's" against "as high as `max_error_share`".  Ratings: the same
test for a mean that has fallen by `max_rating_drop`.  Either may end a roll-out
after any request, at the error rates named below.
"""

from __future__ import annotations

import math
from typing import Final, Literal, NamedTuple

from ramppost.policy.routing import Mean
from ramppost.schema.config import Rollout

FALSE_ALARM: Final = 0.001
MISSED: Final = 0.05
LEAST_ERROR_SHARE: Final = 0.01
LEAST_SD: Final = 0.1
LEAST_STABLE_RATINGS: Final = 10
BOUND: Final = math.log((1 - MISSED) / FALSE_ALARM)


class Counts(NamedTuple):
    """Requests that ended well and badly."""

    ok: int = 0
    bad: int = 0

    @property
    def share(self) -> float:
        """Share of bad ones."""
        total = self.ok + self.bad
        return self.bad / total if total else 0.0


def plus(a: Counts, b: Counts) -> Counts:
    """Both together."""
    return Counts(a.ok + b.ok, a.bad + b.bad)


def since(now: Counts, then: Counts) -> Counts:
    """What came after `then`."""
    return Counts(max(0, now.ok - then.ok), max(0, now.bad - then.bad))


class Verdict(NamedTuple):
    """What is to be done with a roll-out, and why."""

    action: Literal["wait", "advance", "finish", "withdraw"]
    reason: str


def errors_too_high(stable: Counts, trial: Counts, max_share: float) -> bool:
    """Whether the trial's errors speak for `max_share` rather than the stable share.

    >>> errors_too_high(Counts(1000, 2), Counts(3, 4), 0.2)
    True
    """
    p0 = max(LEAST_ERROR_SHARE, stable.share)
    p1 = max(max_share, 2 * p0)
    if p1 >= 1:
        return False
    ratio = trial.bad * math.log(p1 / p0) + trial.ok * math.log((1 - p1) / (1 - p0))
    return ratio > BOUND


def ratings_too_low(stable: Mean, trial: Mean, max_drop: float) -> bool:
    """Whether the trial's ratings speak for a mean lower by `max_drop`."""
    if stable.n < LEAST_STABLE_RATINGS or trial.n < 2 or max_drop <= 0:
        return False
    sd = max(LEAST_SD, stable.sd)
    lost = trial.n * (stable.mean - max_drop / 2) - trial.total
    return max_drop / sd**2 * lost > BOUND


def judge(
    rollout: Rollout,
    stable: Counts,
    trial: Counts,
    stable_ratings: Mean,
    trial_ratings: Mean,
    step_age_s: float,
    step_requests: int,
) -> Verdict:
    """What to do now; `step_requests` counts the trial's requests in this step."""
    if errors_too_high(stable, trial, rollout["max_error_share"]):
        return Verdict("withdraw", f"{trial.bad} of {trial.ok + trial.bad} requests failed")
    if ratings_too_low(stable_ratings, trial_ratings, rollout["max_rating_drop"]):
        fell = f"{trial_ratings.mean:.2f} after {stable_ratings.mean:.2f}"
        return Verdict("withdraw", f"mean rating {fell} on {trial_ratings.n} answers")
    if step_age_s < rollout["step_s"] or step_requests < rollout.get("min_requests", 20):
        return Verdict("wait", "step is not over")
    if rollout["step"] + 1 < len(rollout["steps"]):
        return Verdict("advance", "step passed its guards")
    return Verdict("finish", "last step passed its guards")
