"""Tracks entries that did not answer, so that they are not called for a short time."""

from __future__ import annotations

from typing import Final

from ramppost import clock

EXCLUSION_S: Final = 3.0


class UnresponsiveEntries:
    """Addresses of entries that are excluded from calls for `EXCLUSION_S` after a failure."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def add(self, addr: str) -> None:
        """Exclude an entry that has just failed to answer."""
        self._until[addr] = clock.now() + EXCLUSION_S

    def __contains__(self, addr: str) -> bool:
        return clock.now() <= self._until.get(addr, 0.0)
