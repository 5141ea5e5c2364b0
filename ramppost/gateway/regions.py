"""Restricts requests to upstreams in the home regions of their route and workspace.

If both name home regions, an upstream must be in a home region of each.  An upstream in a hall
whose region is unknown is in no home region.  Gateways send request bodies only to upstreams, so
no body passes through a gateway in another region.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final, NamedTuple

from ramppost.gateway.model import Upstream

MAX_CACHED_LISTS: Final = 16
"""Filtered lists that are cached, over all services and combinations of home regions."""


class _Filtered(NamedTuple):
    """A list of upstreams, the home regions it was filtered by, and the result."""

    listed: list[Upstream]
    home_regions: tuple[tuple[str, ...], ...]
    matching: list[Upstream]


class Regions:
    """Regions of data halls, and a cache of lists filtered by home region, newest first."""

    def __init__(self, region_by_hall: Mapping[str, str]) -> None:
        self._region_by_hall = region_by_hall
        self._cache: list[_Filtered] = []

    def filter_upstreams(
        self, listed: list[Upstream], *home_regions: tuple[str, ...]
    ) -> list[Upstream]:
        """Upstreams whose region is in each non-empty set of home regions.

        Returns `listed` itself if all sets are empty.  While a result is cached, the same list
        object is returned for the same input, so that caches keyed by list identity stay valid.
        """
        required = tuple(allowed for allowed in home_regions if allowed)
        if not required:
            return listed
        for cached in self._cache:
            if cached.listed is listed and cached.home_regions == required:
                return cached.matching
        matching = [
            upstream
            for upstream in listed
            if all(self._region_by_hall.get(upstream.hall, "") in allowed for allowed in required)
        ]
        self._cache.insert(0, _Filtered(listed, required, matching))
        del self._cache[MAX_CACHED_LISTS:]
        return matching
