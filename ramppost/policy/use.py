"""Sums the prefill time that each workspace has recently sent to an engine.

Pure.  The keeper of an engine knows the prompts of all gateways, so its sums are those of the
fleet.

    use = RecentUse()
    use.record("kitchen", 0.4, NOW)
    use.by_workspace(NOW + 1)            # {"kitchen": 0.4}
    use.by_workspace(NOW + 3)            # {}
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from typing import Final

USE_WINDOW_S: Final = 2.0
"""How far back use is counted, which is the unit of `WorkspaceUse` in messages."""
MAX_RECORDS: Final = 2048
"""Maximum number of prompts counted: several times what an engine prefills in the window."""
MAX_REPORTED: Final = 8
"""Maximum number of workspaces in a message."""


class RecentUse:
    """The prompts of the last `USE_WINDOW_S` seconds."""

    def __init__(self) -> None:
        self._records: deque[tuple[float, str, float]] = deque(maxlen=MAX_RECORDS)

    def record(self, workspace: str, read_s: float, now: float) -> None:
        """Add a prompt with its predicted prefill time."""
        self._drop_expired(now)
        self._records.append((now, workspace, read_s))

    def by_workspace(self, now: float) -> dict[str, float]:
        """Seconds of prefill by workspace."""
        self._drop_expired(now)
        return total_use((workspace, read_s) for _, workspace, read_s in self._records)

    def _drop_expired(self, now: float) -> None:
        while self._records and now - self._records[0][0] > USE_WINDOW_S:
            self._records.popleft()


def total_use(parts: Iterable[tuple[str, float]]) -> dict[str, float]:
    """Seconds by workspace.

    >>> total_use([("a", 0.5), ("b", 0.25), ("a", 0.5)])
    {'a': 1.0, 'b': 0.25}
    """
    totals: dict[str, float] = {}
    for workspace, read_s in parts:
        totals[workspace] = totals.get(workspace, 0.0) + read_s
    return totals


def highest_use(totals: Iterable[Mapping[str, float]]) -> list[tuple[str, float]]:
    """The workspaces with the highest use of several engines together, highest first.

    >>> highest_use([{"a": 0.5, "b": 0.2}, {"b": 0.6}])
    [('b', 0.8), ('a', 0.5)]
    """
    sums = total_use(part for by_workspace in totals for part in by_workspace.items())
    return sorted(sums.items(), key=lambda item: -item[1])[:MAX_REPORTED]
