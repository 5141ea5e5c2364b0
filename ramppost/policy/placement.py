"""Which upstream takes a request: the least predicted time to its first byte.

Pure.  For an engine, time is what lies ahead of the first token: what gateways sent there
before (`ramppost.policy.backlog`), what runs there, and reading that part of the request's
own prompt that the engine does not keep for the model.  The engine that rendezvous hashing
names the home of its shared parts goes first among equals, so that gateways agree on a home
without talking; a hall with engines enough has homes of its own.

A prompt that takes long to read holds up everything else on its engine, so such prompts
share one engine of several, which the others avoid a little: gateways agree on it by the
same hashing.

A gateway weighs a bounded number of engines, whatever their number (`select_candidates`), and what
depends on all of them is worked out once for a list of engines (`EnginePool`).
"""

from __future__ import annotations

import functools
import math
import random
from collections.abc import Mapping
from typing import Final, NamedTuple

from ramppost.policy.routing import hash_fraction

RUNNING_REQUEST_S: Final = 0.003
"""What a request that runs for others adds, seconds: it slows each step a little."""
CROSS_HALL_S: Final = 0.005
"""What the way to another hall adds, there and back, with the price of its bytes."""
CROSS_HALL_BYTE_S: Final = 10e-6
"""What a byte to or from another hall costs, seconds: 20 KB are worth waiting 0.2 s for.  Since
what is ahead of a prompt is known, a wait of tenths of a second makes few answers late, and
the bytes fell by a third to a half (from 0.053 to 0.032 of worth, where they are dear)."""
FAILURE_PENALTY_S: Final = 3.0
"""What constant failures add: more than any queue, so that only failing upstreams are worse."""
NOT_HOME_PENALTY_S: Final = 0.1
"""What speaks for the home of a prompt's shared parts: half of what a large request to another
hall is charged.  On a fleet of 32 gateways, of which none knows what the others have sent, the
price of bytes between halls fell by a quarter with a home in each hall."""
REPORT_HALF_LIFE_S: Final = 2.0
MIN_ENGINES_FOR_HALL_HOMES: Final = 4
"""Engines that a hall needs for homes of its own: with two, what is kept gives way too soon, and
the mean of two days with faults fell from 0.705 to 0.689 (four seeds of each)."""
SCORE_JITTER: Final = 0.05
"""Relative noise on scores, so that gateways with the same report don't all agree."""
LONG_PREFILL_S: Final = 1.2
"""A prompt that takes so long to read is kept apart; the usual one takes a tenth of it."""
LONG_PROMPT_ENGINE_PENALTY_S: Final = 0.1
"""What the engine for long prompts is avoided by, as a prompt may be on its way there."""
ENGINES_PER_LONG_PROMPT_ENGINE: Final = 6
MAX_CANDIDATES: Final = 24
"""Engines that are weighed for a prompt.  What a gateway knows of the others by itself tells
little: the best are asked about, and of these a choice of four is as good as one of six."""
MAX_LOCAL_CANDIDATES: Final = 16
"""Those of them that are of the own hall, where there are so many."""
HOME_CACHE_SIZE: Final = 4096
"""Homes of shared parts that are remembered: some times the subjects of a day."""
INITIAL_RATE_S: Final = 1 / 30000
"""Seconds to read a prompt token until a model's own rate is known."""
RATE_STEP: Final = 0.04
MIN_RATE_TOKENS: Final = 500
MIN_RATE_SAMPLES: Final = 5
"""Answers of a model after which the own rate is better than another gateway's word."""


class EngineView(NamedTuple):
    """What a gateway knows of an engine.

    `ahead_s` is the predicted time to read what goes before the prompt, `kept_tokens` what the
    engine keeps of the prompt.  `others_running` is by the engine's last report, and so is
    `others_waiting`, which is 0 where `ahead_s` counts the prompts of all gateways.  `failure_rate`
    is 0 for one that answers well, 1 for one that always fails.
    """

    id: str
    hall: str
    ahead_s: float
    kept_tokens: int
    others_running: int
    others_waiting: int
    reported_at: float
    failure_rate: float


class PrefillRates:
    """Seconds that a model takes to read a prompt token: the median of what was seen.

    The first answers move it far, so that a gateway that has just started predicts well after
    three of them; meanwhile it takes what another has learned (`accept_peer_rate`).
    """

    def __init__(self) -> None:
        self._rates: dict[str, float] = {}
        self._sample_counts: dict[str, int] = {}
        self.typical_prefill_s = 0.05
        """Reading time of a usual request, for those that wait for others."""

    def rate_s(self, model: str) -> float:
        """Seconds a token."""
        return self._rates.get(model, INITIAL_RATE_S)

    def own_rate_s(self, model: str) -> float:
        """Seconds a token by own answers, 0 where there are too few."""
        return self.rate_s(model) if self._sample_counts.get(model, 0) >= MIN_RATE_SAMPLES else 0.0

    def observe(self, model: str, tokens: float, seconds: float) -> None:
        """A prompt of which so many tokens were not kept had its first token after that.

        >>> rates = PrefillRates()
        >>> for _ in range(5): rates.observe("m", 10000, 0.8)
        >>> 7e-5 < rates.rate_s("m") < 9e-5
        True
        """
        if tokens < MIN_RATE_TOKENS:
            return
        seen = self._sample_counts[model] = self._sample_counts.get(model, 0) + 1
        step = max(RATE_STEP, 1 / (1 + seen))
        rate = self.rate_s(model)
        longer = seconds / tokens > rate
        self._rates[model] = rate * (1 + step if longer else 1 / (1 + step))

    def accept_peer_rate(self, model: str, rate_s: float) -> None:
        """Another gateway has learned this rate; taken until there are own answers enough."""
        if rate_s > 0 and self._sample_counts.get(model, 0) < MIN_RATE_SAMPLES:
            self._rates[model] = rate_s

    def record_sent(self, seconds: float) -> None:
        """A request with this predicted reading time was sent."""
        self.typical_prefill_s += RATE_STEP * (seconds - self.typical_prefill_s)


class PrefillWork(NamedTuple):
    """A prompt to be read by a model; `size` is that of request and answer, bytes."""

    model: str
    parts: tuple[tuple[str, int], ...]
    tokens_in: int
    size: int = 0


class Placement(NamedTuple):
    """An engine, the predicted seconds to a first token there, and those of reading alone."""

    id: str
    first_token_s: float
    prefill_s: float


class EnginePool(NamedTuple):
    """Engines that may take a prompt: their ids, all and by hall, and those for long prompts."""

    ids: tuple[str, ...]
    by_hall: dict[str, tuple[str, ...]]
    long_prompt_ids: frozenset[str]


def build_pool(halls: Mapping[str, str]) -> EnginePool:
    """A pool of engines, given the hall of each id.

    >>> build_pool({"a": "here", "b": "there"}).by_hall
    {'here': ('a',), 'there': ('b',)}
    """
    near: dict[str, list[str]] = {}
    for id, hall in halls.items():
        near.setdefault(hall, []).append(id)
    by_hall = {hall: tuple(ids) for hall, ids in near.items()}
    return EnginePool(tuple(halls), by_hall, long_prompt_engines(tuple(halls)))


def home_engine(pool: EnginePool, work: PrefillWork, hall: str) -> str:
    """The home of a prompt's shared parts: in the hall, where that has engines enough, else one
    for all halls; empty for a prompt that shares nothing."""
    shared = work.parts[:-1]
    if not shared:
        return ""
    near = pool.by_hall.get(hall, ())
    ids = near if len(near) >= MIN_ENGINES_FOR_HALL_HOMES else pool.ids
    return _hashed_home(ids, work.model, shared[-1][0])


@functools.lru_cache(maxsize=HOME_CACHE_SIZE)
def _hashed_home(ids: tuple[str, ...], model: str, part: str) -> str:
    return min(ids, key=lambda id: hash_fraction("home", model, part, id), default="")


def select_candidates(pool: EnginePool, hall: str, home: str, rng: random.Random) -> set[str]:
    """Ids of the engines that are weighed for a prompt: all where they are few, else the home,
    some of the own hall, and some of any.

    With all of 600 engines a choice took 22 ms of processor time, fifteen times one of 40.

    >>> pool = build_pool({f"e{n}": "here" if n % 2 else "there" for n in range(100)})
    >>> found = select_candidates(pool, "here", "e0", random.Random(1))
    >>> len(found), "e0" in found, sum(int(id[1:]) % 2 for id in found) >= MAX_LOCAL_CANDIDATES
    (24, True, True)
    """
    if len(pool.ids) <= MAX_CANDIDATES:
        return set(pool.ids)
    near = pool.by_hall.get(hall, ())
    found = {home} - {""} | set(rng.sample(near, min(MAX_LOCAL_CANDIDATES, len(near))))
    while len(found) < MAX_CANDIDATES:
        found.add(rng.choice(pool.ids))
    return found


def leading_tokens(parts: tuple[tuple[str, int], ...], count: int) -> int:
    """Tokens of a prompt's first parts.

    >>> leading_tokens((("aa", 800), ("bb", 400)), 1)
    800
    """
    return sum(tokens for _, tokens in parts[:count])


def long_prompt_engines(ids: tuple[str, ...]) -> frozenset[str]:
    """The engines that long prompts share; none where there are too few."""
    count = len(ids) // ENGINES_PER_LONG_PROMPT_ENGINE
    return frozenset(sorted(ids, key=lambda name: hash_fraction("long", name))[:count])


class PlacementContext(NamedTuple):
    """Where a prompt stands: its gateway's hall, the home of its shared parts, and the engines
    that long prompts share."""

    hall: str
    home: str
    long_prompt_ids: frozenset[str]


def rank_engines(
    engines: list[EngineView],
    work: PrefillWork,
    rates: PrefillRates,
    around: PlacementContext,
    now: float,
    rng: random.Random,
) -> list[Placement]:
    """Engines by predicted time to the first token, best first."""
    hall, home, long_prompt_ids = around
    rate_s = rates.rate_s(work.model)

    def place(engine: EngineView) -> Placement:
        prefill_s = rate_s * max(0, work.tokens_in - engine.kept_tokens)
        fresh = math.exp2(-max(0.0, now - engine.reported_at) / REPORT_HALF_LIFE_S)
        others_s = (
            engine.others_running * RUNNING_REQUEST_S
            + engine.others_waiting * rates.typical_prefill_s
        )
        return Placement(engine.id, engine.ahead_s + fresh * others_s + prefill_s, prefill_s)

    by_id = {engine.id: engine for engine in engines}

    def score(placed: Placement) -> float:
        engine = by_id[placed.id]
        cost_s = (
            placed.first_token_s
            + _long_prompt_penalty_s(placed, long_prompt_ids)
            + engine.failure_rate * FAILURE_PENALTY_S
        )
        cost_s += 0.0 if engine.hall == hall else CROSS_HALL_S + CROSS_HALL_BYTE_S * work.size
        cost_s += 0.0 if engine.id == home else NOT_HOME_PENALTY_S
        return cost_s * rng.uniform(1 - SCORE_JITTER, 1 + SCORE_JITTER)

    return sorted((place(engine) for engine in engines), key=score)


def _long_prompt_penalty_s(placed: Placement, long_prompt_ids: frozenset[str]) -> float:
    """What speaks against an engine because long prompts are kept apart, seconds."""
    if not long_prompt_ids:
        return 0.0
    if placed.prefill_s > LONG_PREFILL_S:
        return 0.0 if placed.id in long_prompt_ids else LONG_PREFILL_S
    return LONG_PROMPT_ENGINE_PENALTY_S if placed.id in long_prompt_ids else 0.0


class PlainUpstreamView(NamedTuple):
    """What a gateway knows of a plain upstream; `load` is its requests for each slot."""

    id: str
    hall: str
    load: float
    latency_s: float
    failure_rate: float


def rank_plain_upstreams(
    views: list[PlainUpstreamView], hall: str, rng: random.Random
) -> list[str]:
    """Plain upstreams by predicted time to answer, best first."""

    def score(view: PlainUpstreamView) -> float:
        away_s = 0.0 if view.hall == hall else CROSS_HALL_S
        expected_s = (
            view.latency_s * (1 + view.load) + away_s + view.failure_rate * FAILURE_PENALTY_S
        )
        return expected_s * rng.uniform(1 - SCORE_JITTER, 1 + SCORE_JITTER)

    return [view.id for view in sorted(views, key=score)]
