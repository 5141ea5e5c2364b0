"""Caches data derived from lists of engines until the lists or the weights of engines change.

With 600 engines, hashing and sorting all of them would cost more than everything else that is done
for a request.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from typing import Final, NamedTuple

from ramppost import clock
from ramppost.gateway.model import Upstream
from ramppost.policy.homes import EnginePool, build_pool, quantized_weights

MAX_CACHED_LISTS: Final = 4
"""Lists cached per service: all upstreams, and both sides of a roll-out, are in use at once."""
WEIGHTS_VALID_S: Final = 1.0
"""How long weights are used before they are compared with new estimates, which costs as much as a
request where there are 600 engines."""

SpeedWeights = Callable[[Collection[str], bool], Mapping[str, float]]
"""Estimates the weights of engines by key: 1 is an engine of usual speed, 2 one twice as fast.
Engines without an estimate are left out; none has one if their speeds do not differ.  The second
argument tells whether they did before."""


def equal_weights(ids: Collection[str], were_uneven: bool) -> Mapping[str, float]:
    """The weights of engines whose speeds do not differ."""
    return {}


class Candidates(NamedTuple):
    """A list of engines, the same engines by key, and the pool computed from them.

    The weights of the pool are compared with new estimates at `weights_until` (steady clock).
    `uneven` tells that the engines are known to differ in speed.
    """

    listed: list[Upstream]
    by_key: dict[str, Upstream]
    pool: EnginePool
    weights_until: float
    uneven: bool


class Pools:
    """The most recently added lists of each service."""

    def __init__(self, speed_weights: SpeedWeights = equal_weights) -> None:
        self._speed_weights = speed_weights
        self._cache: dict[str, list[Candidates]] = {}

    def candidates(self, service: str, listed: list[Upstream]) -> Candidates:
        """The candidates for a list; the caller must not modify the list afterwards."""
        cached = self._cache.setdefault(service, [])
        for position, found in enumerate(cached):
            if found.listed is listed:
                if clock.now() >= found.weights_until:
                    cached[position] = found = self._reweighted(found)
                return found
        by_key = {upstream.key: upstream for upstream in listed}
        # Another list of the service has most of these engines, and they keep their weights.
        previous = cached[0].pool.weights if cached else {}
        estimates = self._speed_weights(by_key, bool(cached and cached[0].uneven))
        found = _built(listed, by_key, estimates, previous)
        cached.insert(0, found)
        del cached[MAX_CACHED_LISTS:]
        return found

    def _reweighted(self, found: Candidates) -> Candidates:
        """The candidates with weights by new estimates, with the same pool if none changed."""
        estimates = self._speed_weights(found.by_key, found.uneven)
        if quantized_weights(found.by_key, estimates, found.pool.weights) != found.pool.weights:
            return _built(found.listed, found.by_key, estimates, found.pool.weights)
        return found._replace(weights_until=clock.now() + WEIGHTS_VALID_S, uneven=bool(estimates))


def _built(
    listed: list[Upstream],
    by_key: dict[str, Upstream],
    estimates: Mapping[str, float],
    previous: Mapping[str, float],
) -> Candidates:
    halls = {key: upstream.hall for key, upstream in by_key.items()}
    pool = build_pool(halls, quantized_weights(by_key, estimates, previous))
    valid_until = clock.now() + WEIGHTS_VALID_S
    return Candidates(listed, by_key, pool, valid_until, bool(estimates))
