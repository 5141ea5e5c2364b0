"""What choices among engines need of a whole list of them, kept until the list changes.

With 600 engines, hashing and sorting all of them for each request would cost more than all else
that is done for it.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from ramppost.gateway.model import Upstream
from ramppost.policy.placement import EnginePool, build_pool

MAX_CACHED_LISTS: Final = 4
"""Lists of a service that are in use at once: all, and both sides of a roll-out."""


class Candidates(NamedTuple):
    """A list of engines, the same by key, and what is worked out of it."""

    listed: list[Upstream]
    by_key: dict[str, Upstream]
    pool: EnginePool


class Pools:
    """The lists of each service that were asked for last."""

    def __init__(self) -> None:
        self._cache: dict[str, list[Candidates]] = {}

    def candidates(self, service: str, listed: list[Upstream]) -> Candidates:
        """The candidates of a list, which must not be changed afterwards."""
        kept = self._cache.setdefault(service, [])
        for found in kept:
            if found.listed is listed:
                return found
        by_key = {upstream.key: upstream for upstream in listed}
        halls = {key: upstream.hall for key, upstream in by_key.items()}
        found = Candidates(listed, by_key, build_pool(halls))
        kept.insert(0, found)
        del kept[MAX_CACHED_LISTS:]
        return found
