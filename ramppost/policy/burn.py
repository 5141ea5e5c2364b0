"""Service-level burn: how fast a class of a workspace uses up its error budget.

Pure: the clock is an argument.  Burn 1 uses the budget up exactly at the end of
the period; the fast window tells of a sudden fault, the slow one of a creeping.
"""

from __future__ import annotations

from collections import deque
from typing import Final, NamedTuple

from ramppost.schema.messages import ClassReport

BUCKET_S: Final = 10.0
FAST_S: Final = 300.0
SLOW_S: Final = 3600.0


class OutcomeWindow:
    """Good and bad requests of the last hour, in buckets of ten seconds."""

    def __init__(self) -> None:
        self._buckets: deque[tuple[float, int, int]] = deque()
        self.good = 0
        self.bad = 0

    def add(self, good: bool, now: float) -> None:
        """Count one request."""
        start = now - now % BUCKET_S
        if not self._buckets or self._buckets[-1][0] != start:
            self._buckets.append((start, 0, 0))
        at, goods, bads = self._buckets[-1]
        self._buckets[-1] = (at, goods + good, bads + (not good))
        self.good += good
        self.bad += not good
        while self._buckets and self._buckets[0][0] < now - SLOW_S:
            self._buckets.popleft()

    def bad_share(self, span_s: float, now: float) -> float:
        """Share of bad requests in the last seconds."""
        inside = [(g, b) for at, g, b in self._buckets if at >= now - span_s]
        total = sum(g + b for g, b in inside)
        return sum(b for _, b in inside) / total if total else 0.0


def burn_rate(bad_share: float, objective: float) -> float:
    """Bad share over the share that the objective leaves.

    >>> burn_rate(0.02, 0.99)
    2.0
    """
    return round(bad_share / max(1e-9, 1 - objective), 6)


def budget_left(good: int, bad: int, objective: float) -> float:
    """Share of the error budget not used yet; below zero when overdrawn."""
    allowed = (good + bad) * (1 - objective)
    return 1 - bad / allowed if allowed else 1.0


class WorkspaceClass(NamedTuple):
    """A class of requests of a workspace."""

    workspace: str
    name: str


def class_report(
    cls: WorkspaceClass,
    window: OutcomeWindow,
    share: float,
    now: float,
    p50_ms: float,
    p99_ms: float,
) -> ClassReport:
    """What a report says of a class; `share` is the part of requests that must be good."""
    return ClassReport(
        workspace=cls.workspace,
        class_name=cls.name,
        good=window.good,
        bad=window.bad,
        fast_burn=burn_rate(window.bad_share(FAST_S, now), share),
        slow_burn=burn_rate(window.bad_share(SLOW_S, now), share),
        budget_left=budget_left(window.good, window.bad, share),
        p50_ms=p50_ms,
        p99_ms=p99_ms,
    )
