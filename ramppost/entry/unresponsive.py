"""Entries that gave no answer, which are not asked for a while."""

from __future__ import annotations

from typing import Final

from ramppost import clock

SHUN_S: Final = 3.0


class UnresponsiveEntries:
    """Addresses that are passed over now."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def add(self, addr: str) -> None:
        """It gave no answer just now."""
        self._until[addr] = clock.now() + SHUN_S

    def __contains__(self, addr: str) -> bool:
        return clock.now() <= self._until.get(addr, 0.0)
