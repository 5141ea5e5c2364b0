"""Load of upstreams: this gateway's own requests, and what upstreams report."""

from __future__ import annotations

from typing import NamedTuple


class Reported(NamedTuple):
    """An upstream's last report: requests running and waiting, at a time."""

    running: int
    waiting: int
    at: float


NEVER = Reported(0, 0, float("-inf"))


class OwnWork:
    """What this gateway has under way at an upstream."""

    def __init__(self) -> None:
        self.requests = 0
        self.pending = 0
        """Those of them that have not begun to answer."""


class Loads:
    """Load by upstream, each start by itself."""

    def __init__(self) -> None:
        self._own: dict[str, OwnWork] = {}
        self._reported: dict[str, Reported] = {}

    def own(self, upstream_key: str) -> OwnWork:
        """What is under way there."""
        return self._own.setdefault(upstream_key, OwnWork())

    def reported(self, upstream_key: str) -> Reported:
        """What it last said."""
        return self._reported.get(upstream_key, NEVER)

    def report(self, upstream_key: str, running: int, waiting: int, now: float) -> None:
        """It said this with an answer."""
        self._reported[upstream_key] = Reported(running, waiting, now)

    def forget(self, upstream_key: str) -> None:
        """It has left; work still under way keeps its own count."""
        self._reported.pop(upstream_key, None)
        if upstream_key in self._own and not self._own[upstream_key].requests:
            del self._own[upstream_key]
