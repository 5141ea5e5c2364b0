"""Caches data derived from lists of engines until the lists change.

With 600 engines, hashing and sorting all of them would cost more than everything else that is done
for a request.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from ramppost.gateway.model import Upstream
from ramppost.policy.placement import EnginePool, build_pool

MAX_CACHED_LISTS: Final = 4
"""Lists cached per service: all upstreams, and both sides of a roll-out, are in use at once."""


class Candidates(NamedTuple):
    """A list of engines, the same engines by key, and the pool computed from them."""

    listed: list[Upstream]
    by_key: dict[str, Upstream]
    pool: EnginePool


class Pools:
    """The most recently added lists of each service."""

    def __init__(self) -> None:
        self._cache: dict[str, list[Candidates]] = {}

    def candidates(self, service: str, listed: list[Upstream]) -> Candidates:
        """The candidates for a list; the caller must not modify the list afterwards."""
        cached = self._cache.setdefault(service, [])
        for found in cached:
            if found.listed is listed:
                return found
        by_key = {upstream.key: upstream for upstream in listed}
        halls = {key: upstream.hall for key, upstream in by_key.items()}
        found = Candidates(listed, by_key, build_pool(halls))
        cached.insert(0, found)
        del cached[MAX_CACHED_LISTS:]
        return found
