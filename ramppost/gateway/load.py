"""Load of upstreams: this gateway's requests in flight, and the load that upstreams report."""

from __future__ import annotations

from typing import NamedTuple


class LoadReport(NamedTuple):
    """The last load reported by an upstream: running and waiting requests, and when."""

    running: int
    waiting: int
    at: float


NO_REPORT = LoadReport(0, 0, float("-inf"))


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

    def in_flight(self, upstream_key: str) -> InFlight:
        """This gateway's requests in flight at the upstream."""
        return self._in_flight.setdefault(upstream_key, InFlight())

    def last_report(self, upstream_key: str) -> LoadReport:
        """The upstream's last report, or `NO_REPORT`."""
        return self._reports.get(upstream_key, NO_REPORT)

    def record_report(self, upstream_key: str, running: int, waiting: int, now: float) -> None:
        """Record the load that the upstream reported with a response."""
        self._reports[upstream_key] = LoadReport(running, waiting, now)

    def forget(self, upstream_key: str) -> None:
        """Drop the state of an upstream that has left, but keep the count of requests in flight."""
        self._reports.pop(upstream_key, None)
        if upstream_key in self._in_flight and not self._in_flight[upstream_key].requests:
            del self._in_flight[upstream_key]
