"""Chooses how many requests without a session try a new version before its share grows.

Pure.  A service with little traffic would see too few answers of each route at the first step's
share to find a version that is bad on one of them.  A bad version may get a number of requests in
addition to its share, however few there are in all (`ramppost.policy.exposure`).  What the later
steps don't need of that is spent evenly over the time, as a version may turn bad late, and is
divided among the routes by how much their answers tell: a route on which the versions in service
fail half of the time, or never answer, tells nothing.  Requests with a session are not sampled:
their sessions stay on a version.

    rates = RequestRates()
    rates.record("prices", now)
    budget = trial_budget(balance, ramp, 16.0, fraction=0.2)
    shares = sampling_shares(rates.all_per_s(now), {"prices": 1.0}, budget, least=0.06)
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Final, NamedTuple

from ramppost.policy.exposure import Balance
from ramppost.policy.ramp import FIRST_GROWTH_STEP, Ramp

RATE_HALF_LIFE_S: Final = 10.0
MIN_OBSERVED_S: Final = 1.0
LATER_STEPS_FACTOR: Final = 1.5
"""How much more traffic than now the later steps are prepared for."""
MIN_SPENT_S: Final = 2.0
UNKNOWN_VALUE: Final = 0.5
"""How much an answer may tell of a route that has had too few requests to know."""
UNKNOWN_REQUESTS: Final = 8.0
MAX_SAMPLING_SHARE: Final = 0.75
MAX_ROUTES: Final = 1024


class TrialBudget(NamedTuple):
    """How many requests of a gateway may try the new version, and in how many seconds; `gateways`
    is how many have as many."""

    requests: float
    within_s: float
    gateways: int = 1


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


def trial_budget(balance: Balance, ramp: Ramp, duration_s: float, fraction: float) -> TrialBudget:
    """What a gateway may spend now, after a fraction of the roll-out's time.

    >>> from ramppost.policy.exposure import Balance, Exposure
    >>> from ramppost.policy.ramp import plan_ramp
    >>> balance = Balance(Exposure(0.15, 30.0), trial=0, total=32, per_s=10.0, gateways=4)
    >>> found = trial_budget(balance, plan_ramp(0.15, 16.0), 16.0, fraction=0.2)
    >>> round(found.requests, 1), round(found.within_s, 1)
    (7.3, 11.1)
    """
    mean_per_s = balance.total / max(MIN_OBSERVED_S, fraction * duration_s)
    later = ramp.exposure_after(ramp.growth_at, FIRST_GROWTH_STEP)
    left = balance.left(mean_per_s * (1 - fraction) * duration_s)
    left -= LATER_STEPS_FACTOR * mean_per_s * later * duration_s
    until_growth_s = (ramp.growth_at - fraction) * duration_s
    within_s = max(MIN_SPENT_S, until_growth_s)
    return TrialBudget(max(0.0, left) / balance.gateways, within_s, balance.gateways)


def sampling_shares(
    per_s_by_route: Mapping[str, float],
    value_by_route: Mapping[str, float],
    budget: TrialBudget,
    least: float,
) -> dict[str, float]:
    """Share of each route's requests that try the new version, at least the first step's share;
    `value_by_route` is how much an answer of a route tells, 0 to 1.

    >>> rates = {"often": 2.0, "seldom": 0.4, "silent": 1.0}
    >>> values = {"often": 1.0, "seldom": 1.0}
    >>> shares = sampling_shares(rates, values, TrialBudget(4.0, 4.0), least=0.06)
    >>> {route: round(share, 2) for route, share in shares.items()}
    {'seldom': 0.75, 'silent': 0.06, 'often': 0.32}
    """
    left = budget.requests
    shares: dict[str, float] = {}
    ascending = sorted(per_s_by_route.items(), key=lambda item: item[1])
    value_of = {
        route: value_by_route.get(route, _unknown_value(per_s * budget.gateways))
        for route, per_s in ascending
    }
    values = sum(value_of.values())
    for route, per_s in ascending:
        of_route = per_s * budget.within_s
        value = value_of[route]
        quota = max(0.0, left) * value / values if values > 0 else 0.0
        wanted = min(MAX_SAMPLING_SHARE, quota / of_route) if of_route else 0.0
        shares[route] = max(least, wanted)
        left -= shares[route] * of_route
        values -= value
    return shares


def _unknown_value(per_s: float) -> float:
    """What a route is worth of which too few answers are known: nothing if it has had requests."""
    return UNKNOWN_VALUE if per_s * RATE_HALF_LIFE_S < UNKNOWN_REQUESTS else 0.0
