"""Load of upstreams: this gateway's requests in flight, and the load that upstreams report.

A report also says at what pace the host of the upstream works: how long work takes there relative
to the usual time.
"""

from __future__ import annotations

import math
from typing import Final, NamedTuple

PACE_HALF_LIFE_S: Final = 0.3
"""Half of the 0.6 s for which a shared host typically keeps its pace."""
MIN_PACE: Final = 0.5
MAX_PACE: Final = 3.0
"""Bounds of the pace used, so that no single report changes a decision by much."""


class ReportFields(NamedTuple):
    """The figures of one report; None for those that it does not contain.

    `refused` is whether it came with a refusal, which does not count the refused request.
    """

    running: int | None
    waiting: int | None
    slots: int | None = None
    pace: float | None = None
    refused: bool = False


class LoadReport(NamedTuple):
    """The last figures reported by an upstream.

    `at` is when it reported its running and waiting requests, and `pace_at` when its host's pace,
    both on the steady clock; minus infinity if never.  `slots` is None if it has reported none.
    `own` is how many of the requests were this gateway's.
    """

    running: int
    waiting: int
    at: float
    slots: int | None
    pace: float
    pace_at: float
    own: int = 0


NO_REPORT: Final = LoadReport(0, 0, float("-inf"), None, 1.0, float("-inf"))


class InFlight:
    """This gateway's requests in flight at an upstream."""

    def __init__(self) -> None:
        self.requests = 0
        self.pending = 0
        """Requests among them whose response has not started."""


class Loads:
    """Load by upstream key, so that each incarnation of an upstream has its own."""

    def __init__(self) -> None:
        self._in_flight: dict[str, InFlight] = {}
        self._reports: dict[str, LoadReport] = {}
        self.full_reported_at = float("-inf")
        """When an upstream last reported that it has no free slot (steady clock)."""

    def in_flight(self, upstream_key: str) -> InFlight:
        """This gateway's requests in flight at the upstream."""
        return self._in_flight.setdefault(upstream_key, InFlight())

    def last_report(self, upstream_key: str) -> LoadReport:
        """The upstream's last report, or `NO_REPORT`."""
        return self._reports.get(upstream_key, NO_REPORT)

    def record_report(self, upstream_key: str, fields: ReportFields, now: float) -> None:
        """Record what the upstream reported with a response; missing figures change nothing.

        >>> loads = Loads()
        >>> loads.record_report("u", ReportFields(3, 1, 6), 10.0)
        >>> loads.record_report("u", ReportFields(None, None, None, 2.5), 11.0)
        >>> loads.last_report("u")
        LoadReport(running=3, waiting=1, at=10.0, slots=6, pace=2.5, pace_at=11.0, own=0)
        """
        report = self.last_report(upstream_key)
        if fields.running is not None:
            own = max(0, self.in_flight(upstream_key).requests - fields.refused)
            report = report._replace(
                running=fields.running, waiting=fields.waiting or 0, at=now, own=own
            )
        if fields.slots is not None:
            report = report._replace(slots=fields.slots)
        if fields.pace is not None:
            report = report._replace(pace=fields.pace, pace_at=now)
        if report is not NO_REPORT:
            self._reports[upstream_key] = report
        if report.at == now and report.slots and report.running + report.waiting >= report.slots:
            self.full_reported_at = now

    def pace(self, upstream_key: str, now: float) -> float:
        """How long work takes on the upstream's host relative to the usual time.

        The last reported pace, bounded, approaches 1 with age.

        >>> loads = Loads()
        >>> loads.record_report("u", ReportFields(3, 1, 6, 2.5), 10.0)
        >>> loads.pace("u", 10.0), round(loads.pace("u", 10.3), 2), loads.pace("other", 10.0)
        (2.5, 1.75, 1.0)
        """
        report = self.last_report(upstream_key)
        weight = math.exp2(-max(0.0, now - report.pace_at) / PACE_HALF_LIFE_S)
        return 1.0 + weight * (min(MAX_PACE, max(MIN_PACE, report.pace)) - 1.0)

    def forget(self, upstream_key: str) -> None:
        """Drop the state of an upstream that has left, but keep the count of requests in flight."""
        self._reports.pop(upstream_key, None)
        if upstream_key in self._in_flight and not self._in_flight[upstream_key].requests:
            del self._in_flight[upstream_key]
