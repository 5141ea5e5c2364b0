"""Statistics for operators: per policy, and per class of workspace and route.

They are kept in memory only and are lost when the process ends.
"""

from __future__ import annotations

import time
from typing import Final, NamedTuple

from ramppost.gateway.metrics import BUCKETS_S, Histogram
from ramppost.policy.burn import OutcomeWindow, WorkspaceClass, class_report
from ramppost.policy.compare import PolicyStats, policy_report
from ramppost.schema.messages import Report

OBJECTIVE_SHARE: Final = 0.99
"""Share of requests that must meet their route's objective; the platform does not configure one."""
MAX_CLASSES: Final = 4096
"""Maximum number of classes: workspaces times routes, which a configuration may add by hundreds."""


class EndedRequest(NamedTuple):
    """A request that has ended.

    `took_s` is the time to the head of its response, or to its end; `policy` is empty if the caller
    named a model; `confidence` is 0 to 100.
    """

    workspace: str
    route: str
    served: bool
    took_s: float
    objective_s: float
    policy: str
    cost: float
    confidence: float | None


class ClassCount:
    """Statistics of a class."""

    def __init__(self) -> None:
        self.window = OutcomeWindow()
        self.response_times = Histogram()


class Counts:
    """All statistics of this gateway."""

    def __init__(self) -> None:
        self.policies: dict[str, PolicyStats] = {}
        self.classes: dict[WorkspaceClass, ClassCount] = {}

    def record(self, req: EndedRequest) -> None:
        """Count a request that has ended."""
        cls = self._count_for(req)
        cls.window.add(req.served and req.took_s <= req.objective_s, time.time())
        if req.served:
            cls.response_times.observe(req.took_s)
        if not req.policy:
            return
        count = self.policies.setdefault(req.policy, PolicyStats())
        count.requests += 1
        count.refused += not req.served
        count.cost += req.cost
        if req.served and req.confidence is not None:
            count.ratings.add(req.confidence / 100)

    def report(self, name: str) -> Report:
        """The statistics as reported to operators."""
        now = time.time()
        return Report(
            entry=name,
            policies=[policy_report(policy, count) for policy, count in self.policies.items()],
            classes=[
                class_report(
                    cls,
                    count.window,
                    OBJECTIVE_SHARE,
                    now,
                    percentile_ms(count.response_times, 0.5),
                    percentile_ms(count.response_times, 0.99),
                )
                for cls, count in self.classes.items()
            ],
        )

    def _count_for(self, req: EndedRequest) -> ClassCount:
        cls = WorkspaceClass(req.workspace, req.route)
        if cls not in self.classes and len(self.classes) >= MAX_CLASSES:
            cls = WorkspaceClass("", "others")
        return self.classes.setdefault(cls, ClassCount())


def percentile_ms(histogram: Histogram, quantile: float) -> float:
    """Upper bound of the bucket that contains the given quantile, in milliseconds.

    >>> histogram = Histogram()
    >>> for seconds in (0.02, 0.02, 0.3): histogram.observe(seconds)
    >>> percentile_ms(histogram, 0.5), percentile_ms(histogram, 0.99)
    (25.0, 400.0)
    """
    target = quantile * sum(histogram.counts)
    cumulative = 0
    for bound_s, count in zip(BUCKETS_S, histogram.counts, strict=False):
        cumulative += count
        if cumulative >= target:
            return bound_s * 1000
    return BUCKETS_S[-1] * 1000
