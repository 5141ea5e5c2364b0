"""Estimates how long a call may take, so that a stopping gateway takes none that it can't answer.

Pure.  A call that is cut when the process ends may have run, and one that may run only once can't
be sent again; one that is refused at once is repeated at another gateway.  The time limit of a
call says little, as it is often many times what the call takes, so the longest of the last calls on
its route counts; where none is known, the limit does.

    times = CallTimes()
    times.record("checkout", 0.4, now)
    times.expected_s("checkout", 30.0, now)   # 0.5
"""

from __future__ import annotations

from typing import Final

PERIOD_S: Final = 60.0
"""A route's longest call counts until the end of the next period."""
MARGIN: Final = 1.25
"""Multiple of the longest call so far that the next may take."""
MAX_ROUTES: Final = 4096
"""Routes for which calls are kept; a configuration may add them by hundreds."""


class CallTimes:
    """The longest calls of each route in this period and the one before."""

    def __init__(self) -> None:
        self._began_at = float("-inf")
        self._current: dict[str, float] = {}
        self._previous: dict[str, float] = {}

    def record(self, route: str, took_s: float, now: float) -> None:
        """Record how long a call took that an upstream has run."""
        self._turn_over(now)
        if route in self._current or len(self._current) < MAX_ROUTES:
            self._current[route] = max(took_s, self._current.get(route, 0.0))

    def expected_s(self, route: str, limit_s: float, now: float) -> float:
        """The longest that a call with a time limit is expected to take, in seconds.

        >>> times = CallTimes()
        >>> times.expected_s("a", 30.0, 0.0)
        30.0
        >>> times.record("a", 2.0, 1.0)
        >>> times.expected_s("a", 30.0, 2.0), times.expected_s("a", 1.0, 2.0)
        (2.5, 1.0)
        >>> times.expected_s("a", 30.0, 200.0)
        30.0
        """
        self._turn_over(now)
        known = [times[route] for times in (self._current, self._previous) if route in times]
        return min(limit_s, MARGIN * max(known)) if known else limit_s

    def _turn_over(self, now: float) -> None:
        if now - self._began_at < PERIOD_S:
            return
        is_next = now - self._began_at < 2 * PERIOD_S
        self._previous = self._current if is_next else {}
        self._current = {}
        self._began_at = now
