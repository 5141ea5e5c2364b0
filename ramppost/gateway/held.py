"""Requests that a gateway holds until an upstream of their service has a free slot."""

from __future__ import annotations

import bisect
import itertools
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple


class HeldEntry(NamedTuple):
    """A held request; entries are served in ascending order.

    The ranks are those of the workspace and the route, 0 being the most urgent, and `deadline` is
    on the steady clock.
    """

    workspace_rank: int
    route_rank: int
    deadline: float
    number: int


class HeldRequests:
    """The held requests of each service, in the order in which they are served."""

    def __init__(self) -> None:
        self._entries: dict[str, list[HeldEntry]] = {}
        self._numbers = itertools.count()

    @contextmanager
    def hold(
        self, service: str, workspace_rank: int, route_rank: int, deadline: float
    ) -> Iterator[HeldEntry]:
        """Hold a request of a service within the context.

        >>> held = HeldRequests()
        >>> with held.hold("web", 0, 1, 5.0) as first, held.hold("web", 0, 0, 9.0) as urgent:
        ...     held.ahead("web", first), held.ahead("web", urgent)
        (1, 0)
        """
        entry = HeldEntry(workspace_rank, route_rank, deadline, next(self._numbers))
        bisect.insort(self._entries.setdefault(service, []), entry)
        try:
            yield entry
        finally:
            entries = self._entries[service]
            entries.remove(entry)
            if not entries:
                del self._entries[service]

    def ahead(self, service: str, entry: HeldEntry) -> int:
        """How many held requests are served before this one."""
        return bisect.bisect_left(self._entries[service], entry)
