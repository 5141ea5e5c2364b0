"""What a bad version may get, and how many requests there are.  Pure."""

from __future__ import annotations

import math
from typing import Final, NamedTuple

RATE_HALF_LIFE_S: Final = 10.0
MIN_OBSERVED_S: Final = 1.0
MAX_ROUTES: Final = 1024


class Exposure(NamedTuple):
    """What a bad version may get: a share of the requests of its service, and `slack` more."""

    share: float
    slack: float


class _Rate(NamedTuple):
    weight: float
    at: float


class RequestRates:
    """Requests per second of each route of a service at one gateway."""

    def __init__(self) -> None:
        self._by_route: dict[str, _Rate] = {}
        self._since: float | None = None

    def record(self, route: str, now: float) -> None:
        """Count a request."""
        if self._since is None:
            self._since = now
        if route in self._by_route or len(self._by_route) < MAX_ROUTES:
            self._by_route[route] = _Rate(self._weight(route, now) + 1, now)

    def per_s(self, route: str, now: float) -> float:
        """The rate of a route.

        >>> rates = RequestRates()
        >>> for number in range(4000): rates.record("a", number / 20)
        >>> round(rates.per_s("a", 200.0)), rates.per_s("b", 200.0)
        (20, 0.0)
        """
        since = now if self._since is None else self._since
        observed = 1 - math.exp2(-max(MIN_OBSERVED_S, now - since) / RATE_HALF_LIFE_S)
        return self._weight(route, now) * math.log(2) / RATE_HALF_LIFE_S / observed

    def all_per_s(self, now: float) -> dict[str, float]:
        """The rates of all routes."""
        return {route: self.per_s(route, now) for route in self._by_route}

    def _weight(self, route: str, now: float) -> float:
        weight, at = self._by_route.get(route, _Rate(0.0, now))
        return weight * math.exp2(-max(0.0, now - at) / RATE_HALF_LIFE_S)
