"""Error budget burn rates: how fast a class of a workspace uses up its error budget.

No I/O, and the current time is an argument.  A burn rate of 1 uses the budget up exactly at
the end of the period.  The fast window detects sudden faults, the slow window gradual ones.
"""

from __future__ import annotations

from collections import deque
from typing import Final, NamedTuple

from ramppost.schema.messages import ClassReport

BUCKET_WIDTH_S: Final = 10.0
FAST_WINDOW_S: Final = 300.0
SLOW_WINDOW_S: Final = 3600.0


class OutcomeWindow:
    """Good and bad requests of the last hour, in buckets of ten seconds.

    `good` and `bad` are the totals of all requests counted.
    """

    def __init__(self) -> None:
        self._buckets: deque[tuple[float, int, int]] = deque()
        self.good = 0
        self.bad = 0

    def add(self, good: bool, now: float) -> None:
        """Count one request."""
        start = now - now % BUCKET_WIDTH_S
        if not self._buckets or self._buckets[-1][0] != start:
            self._buckets.append((start, 0, 0))
        at, good_count, bad_count = self._buckets[-1]
        self._buckets[-1] = (at, good_count + good, bad_count + (not good))
        self.good += good
        self.bad += not good
        while self._buckets and self._buckets[0][0] < now - SLOW_WINDOW_S:
            self._buckets.popleft()

    def bad_share(self, span_s: float, now: float) -> float:
        """Share of bad requests in the last `span_s` seconds."""
        recent = [(g, b) for at, g, b in self._buckets if at >= now - span_s]
        total = sum(g + b for g, b in recent)
        return sum(b for _, b in recent) / total if total else 0.0


def burn_rate(bad_share: float, objective: float) -> float:
    """Ratio of the bad share to the bad share that the objective allows.

    >>> burn_rate(0.02, 0.99)
    2.0
    """
    return round(bad_share / max(1e-9, 1 - objective), 6)


def budget_left(good: int, bad: int, objective: float) -> float:
    """Share of the error budget that is left; negative if it is overspent."""
    allowed_bad = (good + bad) * (1 - objective)
    return 1 - bad / allowed_bad if allowed_bad else 1.0


class WorkspaceClass(NamedTuple):
    """A class of requests of a workspace."""

    workspace: str
    name: str


def class_report(
    workspace_class: WorkspaceClass,
    window: OutcomeWindow,
    objective: float,
    now: float,
    p50_ms: float,
    p99_ms: float,
) -> ClassReport:
    """Build the report of a class; `objective` is the share of requests that must be good."""
    return ClassReport(
        workspace=workspace_class.workspace,
        class_name=workspace_class.name,
        good=window.good,
        bad=window.bad,
        fast_burn=burn_rate(window.bad_share(FAST_WINDOW_S, now), objective),
        slow_burn=burn_rate(window.bad_share(SLOW_WINDOW_S, now), objective),
        budget_left=budget_left(window.good, window.bad, objective),
        p50_ms=p50_ms,
        p99_ms=p99_ms,
    )
