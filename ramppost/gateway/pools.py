"""Caches data derived from lists of engines until the lists or the weights of engines change.

With 600 engines, hashing and sorting all of them would cost more than everything else that is done
for a request.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Final, NamedTuple

from ramppost import clock
from ramppost.gateway.model import Upstream
from ramppost.policy.homes import EnginePool, build_pool, quantized_weights

MAX_CACHED_LISTS: Final = 4
"""Lists cached per service: all upstreams, and both sides of a roll-out, are in use at once."""
WEIGHTS_VALID_S: Final = 5.0
"""How long weights are used before they are compared with new estimates.  A home that moves loses
its cached prompts, and comparing the weights of 600 engines costs as much as some requests."""

SpeedWeights = Callable[[Iterable[str]], Mapping[str, float]]
"""Estimates the weights of engines by key: 1 is an engine of usual speed, 2 one twice as fast.
Engines without an estimate are left out."""


def equal_weights(ids: Iterable[str]) -> Mapping[str, float]:
    """The weights of engines whose speeds do not differ."""
    return {}


class Candidates(NamedTuple):
    """A list of engines, the same engines by key, and the pool computed from them.

    The weights of the pool are compared with new estimates at `weights_until` (steady clock).
    """

    listed: list[Upstream]
    by_key: dict[str, Upstream]
    pool: EnginePool
    weights_until: float


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
        found = self._built(listed, by_key, self._weights(by_key, previous))
        cached.insert(0, found)
        del cached[MAX_CACHED_LISTS:]
        return found

    def _reweighted(self, found: Candidates) -> Candidates:
        """The candidates with weights by new estimates, with the same pool if none changed."""
        weights = self._weights(found.by_key, found.pool.weights)
        if weights == found.pool.weights:
            return found._replace(weights_until=clock.now() + WEIGHTS_VALID_S)
        return self._built(found.listed, found.by_key, weights)

    def _weights(
        self, by_key: Mapping[str, Upstream], previous: Mapping[str, float]
    ) -> dict[str, float]:
        estimates = self._speed_weights(by_key)
        return quantized_weights(by_key, estimates, previous) if estimates else {}

    def _built(
        self, listed: list[Upstream], by_key: dict[str, Upstream], weights: Mapping[str, float]
    ) -> Candidates:
        halls = {key: upstream.hall for key, upstream in by_key.items()}
        valid_until = clock.now() + WEIGHTS_VALID_S
        return Candidates(listed, by_key, build_pool(halls, weights), valid_until)
