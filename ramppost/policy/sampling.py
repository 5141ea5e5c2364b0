"""Chooses how many requests without a session try a new version before its share grows.

Pure.  A service with little traffic would see too few answers of each route at the first step's
share to find a version that is bad on one of them.  A bad version may get a number of requests in
addition to its share, however few there are in all; most of that number is divided equally among
the routes, as far as they have so many.  Requests with a session are not sampled: their sessions
stay on a version.

    rates = RequestRates()
    rates.record("prices", now)
    shares = sampling_shares(rates.all_per_s(now), exposure, part_of_slack=0.25, ramp, 16.0)
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Final, NamedTuple

from ramppost.policy.ramp import LAST_STEP_PART, Ramp

RATE_HALF_LIFE_S: Final = 10.0
MIN_OBSERVED_S: Final = 1.0
USED_PART: Final = 0.8
"""Part of the permitted exposure that is planned for; traffic may change."""
LATER_STEPS_PART: Final = LAST_STEP_PART + 0.15
"""Part of the permitted share that the later steps of the ramp take, with more traffic then."""
MAX_SAMPLING_SHARE: Final = 0.25
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


def sampling_shares(
    per_s_by_route: Mapping[str, float],
    exposure: Exposure,
    part_of_slack: float,
    ramp: Ramp,
    duration_s: float,
) -> dict[str, float]:
    """Share of each route's requests that try the new version before its share grows, at a gateway
    that may use so large a part of the slack.

    >>> from ramppost.policy.ramp import plan_ramp
    >>> ramp = plan_ramp(0.15, 16.0)
    >>> rates = {"often": 2.0, "seldom": 0.4}
    >>> shares = sampling_shares(rates, Exposure(0.15, 30.0), 0.25, ramp, 16.0)
    >>> {route: round(share, 2) for route, share in shares.items()}
    {'seldom': 0.25, 'often': 0.22}
    """
    initial = ramp.steps[1]
    expected = duration_s * sum(per_s_by_route.values())
    permitted = USED_PART * (exposure.share * expected + exposure.slack * part_of_slack)
    left = permitted - LATER_STEPS_PART * exposure.share * expected
    trial_s = (ramp.growth_at - initial.start) * duration_s
    shares: dict[str, float] = {}
    ascending = sorted(per_s_by_route.items(), key=lambda item: item[1])
    for done, (route, per_s) in enumerate(ascending):
        of_route = per_s * trial_s
        quota = max(0.0, left) / (len(ascending) - done)
        wanted = min(MAX_SAMPLING_SHARE, quota / of_route) if of_route else 0.0
        shares[route] = max(initial.share, wanted)
        left -= shares[route] * of_route
    return shares
