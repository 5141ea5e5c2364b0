"""Load of upstreams: this gateway's own requests, and what upstreams report."""

from __future__ import annotations

from typing import NamedTuple


class LoadReport(NamedTuple):
    """An upstream's last report: requests running and waiting, at a time."""

    running: int
    waiting: int
    at: float


NO_REPORT = LoadReport(0, 0, float("-inf"))


class InFlight:
    """What this gateway has under way at an upstream."""

    def __init__(self) -> None:
        self.requests = 0
        self.pending = 0
        """Those of them that have not begun to answer."""


class Loads:
    """Load by upstream, each start by itself."""

    def __init__(self) -> None:
        self._in_flight: dict[str, InFlight] = {}
        self._reports: dict[str, LoadReport] = {}

    def in_flight(self, upstream_key: str) -> InFlight:
        """What is under way there."""
        return self._in_flight.setdefault(upstream_key, InFlight())

    def last_report(self, upstream_key: str) -> LoadReport:
        """What it last said."""
        return self._reports.get(upstream_key, NO_REPORT)

    def record_report(self, upstream_key: str, running: int, waiting: int, now: float) -> None:
        """It said this with an answer."""
        self._reports[upstream_key] = LoadReport(running, waiting, now)

    def forget(self, upstream_key: str) -> None:
        """It has left; work still under way keeps its own count."""
        self._reports.pop(upstream_key, None)
        if upstream_key in self._in_flight and not self._in_flight[upstream_key].requests:
            del self._in_flight[upstream_key]
