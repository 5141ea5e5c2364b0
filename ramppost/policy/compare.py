"""Comparison of policies by cost and answer quality.

No I/O.  Quality is the mean rating where answers are rated; on a gateway it is the mean of the
confidence that the forwarded answers reported for themselves.
"""

from __future__ import annotations

from typing import Final

from ramppost.policy.routing import RunningStats
from ramppost.schema.messages import PolicyReport

Z_95: Final = 1.96
"""Half the width of a 95% confidence interval, in standard errors."""


class PolicyStats:
    """Request counts, cost and ratings of a policy."""

    def __init__(self) -> None:
        self.requests = 0
        self.refused = 0
        self.cost = 0.0
        self.trial_requests = 0
        self.ratings = RunningStats()


def policy_report(name: str, stats: PolicyStats) -> PolicyReport:
    """Build the report of a policy, with a 95% confidence interval of its quality."""
    mean, n = stats.ratings.mean, stats.ratings.n
    half_width = Z_95 * stats.ratings.sd / n**0.5 if n else 0.0
    return PolicyReport(
        policy=name,
        requests=stats.requests,
        refused=stats.refused,
        cost=stats.cost,
        rated=n,
        quality=mean,
        quality_low=mean - half_width,
        quality_high=mean + half_width,
        trial_requests=stats.trial_requests,
    )
