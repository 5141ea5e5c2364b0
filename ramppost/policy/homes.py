"""Homes of shared prompt parts, and the engines for long prompts.

Pure.  Both are assigned by weighted rendezvous hashing, so that gateways agree on them without
communication, and a change of one engine or of its weight moves only the parts that it must.  A
hall with enough engines has its own homes.

A part has one home, or more while its prompts need more than half of an engine's time
(`PartDemand`).  The homes of a part are the first engines of one ranking, so gateways whose
estimates differ disagree only on the last homes.

    pool = build_pool({"a": "north", "b": "north", "c": "south"}, {"a": 2.0})
    demand.record("model", "part", 0.14, now)
    engines = home_group(pool, "north")
    count = demand.home_count("part", "model", now, gateways, len(engines.ids))
    homes = home_engines(engines, "model", "part", count)
"""

from __future__ import annotations

import functools
import math
import random
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from ramppost.bounded import drop_oldest
from ramppost.policy.routing import hash_fraction

MIN_ENGINES_FOR_HALL_HOMES: Final = 4
"""Number of engines from which a hall has its own homes.  With two, cached prefixes are evicted too
early: the mean score of two days with faults fell from 0.705 to 0.689 (four seeds of each)."""
ENGINES_PER_LONG_PROMPT_ENGINE: Final = 6
HOME_CACHE_SIZE: Final = 4096
"""Cached homes of shared prefixes: several times the number of topics in a day."""
WEIGHT_STEP: Final = 0.25
WEIGHT_KEEP_STEPS: Final = 0.75
"""Distance from an estimate, in steps, within which an engine keeps its weight.  An estimate that
fluctuates around the middle of two steps does not move homes back and forth."""
MIN_WEIGHT: Final = 0.25
MAX_WEIGHT: Final = 4.0
MAX_FRACTION: Final = 1 - 2**-53
"""Largest fraction below 1: a hash close to 1 is rounded to 1, which has no finite score."""
DEMAND_HALF_LIFE_S: Final = 4.0
DEMAND_MEAN_AGE_S: Final = DEMAND_HALF_LIFE_S / math.log(2)
"""Age that the samples would have on average at a constant rate.  A sum that decays with the
half-life, divided by it, is the rate per second."""
ADD_HOME_DEMAND: Final = 0.5
"""Engines' worth of prefill for each home above which a home is added."""
REMOVE_HOME_DEMAND: Final = 0.3
"""Engines' worth of prefill for each of the remaining homes below which a home is removed."""
MIN_SAMPLES: Final = 3.0
"""Recent prompts, each weighted by its age, that a gateway must have sent before it adds homes: at
least four in quick succession.  In a fleet of 400, the demand estimated from one prompt of 0.14 s
is that of ten engines, and three such prompts may come from one caller's connection."""
ENGINES_PER_HOME: Final = 8
"""A part has at most one home for this many engines, and at least one, because each home evicts
other parts from its cache."""
MAX_DEMAND_PARTS: Final = 1024
"""Maximum number of parts whose demand is tracked: those that were used last."""
MAX_RANKED_HOME_CANDIDATES: Final = 2
"""How many homes are always evaluated for a prompt; one of the others is drawn at random."""


class HomeGroup:
    """Engines that share the parts of their prompts; the weights that are missing are 1.

    The hash is computed once, because a group is a key of the cache of homes on every request.
    """

    def __init__(self, ids: tuple[str, ...], weights: Mapping[str, float]) -> None:
        self.ids = ids
        self.weights = {id: weights[id] for id in ids if weights.get(id, 1.0) != 1.0}
        self._hash = hash((ids, frozenset(self.weights.items())))

    def __hash__(self) -> int:
        return self._hash

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, HomeGroup):
            return NotImplemented
        return self.ids == other.ids and self.weights == other.weights


class EnginePool(NamedTuple):
    """Ids of the engines that may take a prompt, in total, by hall, and for long prompts.

    `all_halls` are all engines as one group, `hall_groups` those of each hall that has enough
    engines for homes of its own, and `weights` the weights other than 1.
    """

    ids: tuple[str, ...]
    by_hall: dict[str, tuple[str, ...]]
    long_prompt_ids: frozenset[str]
    all_halls: HomeGroup
    hall_groups: dict[str, HomeGroup]
    weights: dict[str, float]


def build_pool(halls: Mapping[str, str], weights: Mapping[str, float] = {}) -> EnginePool:
    """Build a pool from the hall of each engine id and the weights that are not 1.

    >>> build_pool({"a": "here", "b": "there"}).by_hall
    {'here': ('a',), 'there': ('b',)}
    """
    id_lists: dict[str, list[str]] = {}
    for id, hall in halls.items():
        id_lists.setdefault(hall, []).append(id)
    by_hall = {hall: tuple(ids) for hall, ids in id_lists.items()}
    all_halls = HomeGroup(tuple(halls), weights)
    hall_groups = {
        hall: HomeGroup(ids, weights)
        for hall, ids in by_hall.items()
        if len(ids) >= MIN_ENGINES_FOR_HALL_HOMES
    }
    return EnginePool(
        all_halls.ids,
        by_hall,
        long_prompt_engines(all_halls.ids, weights),
        all_halls,
        hall_groups,
        all_halls.weights,
    )


def quantized_weights(
    ids: Iterable[str], estimates: Mapping[str, float], previous: Mapping[str, float] = {}
) -> dict[str, float]:
    """Weights in steps of a quarter, without those that are 1.

    An engine keeps its previous weight while that is near its estimate; without an estimate, its
    weight is 1.

    >>> quantized_weights("abc", {"a": 1.87, "b": 0.6, "c": 1.1})
    {'a': 1.75, 'b': 0.5}
    >>> quantized_weights("ab", {"a": 1.89, "b": 1.99}, {"a": 1.75, "b": 1.75})
    {'a': 1.75, 'b': 2.0}
    """
    weights = {}
    for id in ids:
        estimate = estimates.get(id, 1.0)
        weight = previous.get(id, 1.0)
        if abs(estimate - weight) > WEIGHT_KEEP_STEPS * WEIGHT_STEP or id not in estimates:
            nearest = round(estimate / WEIGHT_STEP) * WEIGHT_STEP
            weight = min(MAX_WEIGHT, max(MIN_WEIGHT, nearest))
        if weight != 1.0:
            weights[id] = weight
    return weights


def ranked_homes(
    ids: tuple[str, ...], key: tuple[str, str], weights: Mapping[str, float]
) -> tuple[str, ...]:
    """All engines in the order in which they become homes of a model and part.

    >>> ids = tuple(f"e{n}" for n in range(6))
    >>> firsts = [ranked_homes(ids, ("m", f"p{n}"), {"e0": 2.0})[0] for n in range(7000)]
    >>> 1.8 < firsts.count("e0") / firsts.count("e1") < 2.2
    True
    """
    return _ranked(ids, ("home", *key), weights)


def long_prompt_engines(ids: tuple[str, ...], weights: Mapping[str, float] = {}) -> frozenset[str]:
    """The engines for long prompts; empty if the pool is too small."""
    count = len(ids) // ENGINES_PER_LONG_PROMPT_ENGINE
    return frozenset(_ranked(ids, ("long",), weights)[:count])


def home_group(pool: EnginePool, hall: str) -> HomeGroup:
    """The engines of a hall if it has enough of them for its own homes, else those of all halls."""
    return pool.hall_groups.get(hall, pool.all_halls)


def home_engines(group: HomeGroup, model: str, part: str, count: int = 1) -> tuple[str, ...]:
    """The homes of a shared part, the most preferred first; none if `part` is empty.

    >>> group = HomeGroup(("a", "b", "c"), {})
    >>> home_engines(group, "m", "p", 2)[:1] == home_engines(group, "m", "p")
    True
    """
    return _first_homes(group, model, part, count) if part else ()


def home_candidates(homes: tuple[str, ...], rng: random.Random) -> tuple[str, ...]:
    """The homes to evaluate for a prompt: the first ones, and one of the others at random.

    >>> home_candidates(("a", "b", "c"), random.Random(1))
    ('a', 'b', 'c')
    """
    first = homes[:MAX_RANKED_HOME_CANDIDATES]
    others = homes[MAX_RANKED_HOME_CANDIDATES:]
    return (*first, rng.choice(others)) if others else first


def shared_part(parts: tuple[tuple[str, int], ...]) -> str:
    """The name of the last part that a prompt shares with others, or "" if it shares none.

    >>> shared_part((("aa", 800), ("bb", 400), ("own", 90)))
    'bb'
    """
    return parts[-2][0] if len(parts) > 1 else ""


class _Demand:
    """Decayed sums of the prompts of a part at the time `at`, and its current number of homes."""

    __slots__ = ("at", "homes", "prefill_s", "samples")

    def __init__(self, at: float) -> None:
        self.at = at
        self.prefill_s = 0.0
        self.samples = 0.0
        self.homes = 1


class PartDemand:
    """Estimates the engine time that the prompts of a shared part need in the whole fleet.

    The estimate is the demand at this gateway times the number of gateways.  A home is added or
    removed only if the demand is beyond the threshold by more than its standard error, as the
    prompts of a single gateway are few in a large fleet.
    """

    def __init__(self) -> None:
        self._parts: dict[tuple[str, str], _Demand] = {}

    def record(self, model: str, part: str, prefill_s: float, now: float) -> None:
        """Record a prompt that this gateway sends.

        `prefill_s` is its prefill time in seconds at an engine that holds the shared part.
        """
        if not part:
            return
        demand = self._parts.pop((model, part), None) or _Demand(now)
        decay = _decay(now - demand.at)
        demand.prefill_s = demand.prefill_s * decay + prefill_s
        demand.samples = demand.samples * decay + 1
        demand.at = now
        self._parts[model, part] = demand
        drop_oldest(self._parts, MAX_DEMAND_PARTS)

    def home_count(self, part: str, model: str, now: float, gateways: int, engines: int) -> int:
        """The number of homes of a part among `engines` engines that `gateways` gateways use.

        >>> demand = PartDemand()
        >>> demand.home_count("p", "m", 0.0, 4, 40)
        1
        >>> for n in range(40): demand.record("m", "p", 0.1, n / 10)
        >>> demand.home_count("p", "m", 4.0, 4, 40), demand.home_count("p", "m", 30.0, 4, 40)
        (4, 1)
        """
        demand = self._parts.get((model, part))
        if demand is None:
            return 1
        decay = _decay(now - demand.at)
        samples = demand.samples * decay
        engines_needed = gateways * demand.prefill_s * decay / DEMAND_MEAN_AGE_S
        # A decayed sum of samples has half of their number as its variance.
        relative_error = 1 / math.sqrt(2 * samples) if samples > 0 else 0.0
        least = engines_needed * (1 - relative_error) if samples >= MIN_SAMPLES else 0.0
        most = engines_needed * (1 + relative_error)
        max_homes = max(1, engines // ENGINES_PER_HOME)
        while demand.homes < max_homes and least > ADD_HOME_DEMAND * demand.homes:
            demand.homes += 1
        while demand.homes > 1 and most < REMOVE_HOME_DEMAND * (demand.homes - 1):
            demand.homes -= 1
        return min(demand.homes, max_homes)


def _decay(age_s: float) -> float:
    return math.exp2(-max(0.0, age_s) / DEMAND_HALF_LIFE_S)


def _ranked(
    ids: tuple[str, ...], key: tuple[str, ...], weights: Mapping[str, float]
) -> tuple[str, ...]:
    """Ids by weighted rendezvous hashing.

    The score of an id is exponentially distributed with its weight as the rate, so the lowest is
    that of an id with a probability in proportion to its weight.
    """
    if not weights:
        return tuple(sorted(ids, key=lambda id: hash_fraction(*key, id)))

    def score(id: str) -> float:
        fraction = min(hash_fraction(*key, id), MAX_FRACTION)
        return -math.log1p(-fraction) / weights.get(id, 1.0)

    return tuple(sorted(ids, key=score))


@functools.lru_cache(maxsize=HOME_CACHE_SIZE)
def _first_homes(group: HomeGroup, model: str, part: str, count: int) -> tuple[str, ...]:
    return ranked_homes(group.ids, (model, part), group.weights)[:count]
