"""Policies side by side: what each cost and how good its answers were.

Pure.  Quality is the mean of ratings where answers are rated, and at a gateway the mean of
the confidence that the answers that were passed on told of themselves.
"""

from __future__ import annotations

from typing import Final

from ramppost.policy.routing import RunningStats
from ramppost.schema.messages import PolicyReport

Z95: Final = 1.96
"""Half of a 95% interval, in standard errors."""


class PolicyStats:
    """Counts of a policy."""

    def __init__(self) -> None:
        self.requests = 0
        self.refused = 0
        self.cost = 0.0
        self.trial = 0
        self.ratings = RunningStats()


def policy_report(name: str, count: PolicyStats) -> PolicyReport:
    """What a report says of a policy, with a 95% interval of its quality."""
    mean, n = count.ratings.mean, count.ratings.n
    half = Z95 * count.ratings.sd / n**0.5 if n else 0.0
    return PolicyReport(
        policy=name,
        requests=count.requests,
        refused=count.refused,
        cost=count.cost,
        rated=n,
        quality=mean,
        quality_low=mean - half,
        quality_high=mean + half,
        trial_requests=count.trial,
    )
