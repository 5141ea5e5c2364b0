"""Which upstream takes a request: the least predicted time to its first byte.

Pure.  For an engine, time is what lies ahead of the first token: what gateways sent there
before (`ramppost.policy.backlog`), what runs there, and reading that part of the request's
own prompt that the engine does not keep for the model.  The engine that rendezvous hashing
names the home of its shared parts goes first among equals, so that gateways agree on a home
without talking; a hall with engines enough has homes of its own.

A prompt that takes long to read holds up everything else on its engine, so such prompts
share one engine of several, which the others avoid a little: gateways agree on it by the
same hashing.

A gateway weighs a bounded number of engines, whatever their number (`narrowed`), and what
depends on all of them is worked out once for a list of engines (`Pool`).
"""

from __future__ import annotations

import functools
import math
import random
from collections.abc import Mapping
from typing import Final, NamedTuple

from ramppost.policy.routing import unit

RUNNING_S: Final = 0.003
"""What a request that runs for others adds, seconds: it slows each step a little."""
OTHER_HALL_S: Final = 0.005
"""What the way to another hall adds, there and back, with the price of its bytes."""
BYTE_S: Final = 10e-6
"""What a byte to or from another hall costs, seconds: 20 KB are worth waiting 0.2 s for.  Since
what is ahead of a prompt is known, a wait of tenths of a second makes few answers late, and
the bytes fell by a third to a half (from 0.053 to 0.032 of worth, where they are dear)."""
FAILING_S: Final = 3.0
"""What constant failures add: more than any queue, so that only failing upstreams are worse."""
HOME_BIAS_S: Final = 0.1
"""What speaks for the home of a prompt's shared parts: half of what a large request to another
hall is charged.  On a fleet of 32 gateways, of which none knows what the others have sent, the
price of bytes between halls fell by a quarter with a home in each hall."""
REPORT_HALF_LIFE_S: Final = 2.0
HALL_HOMES_FROM: Final = 4
"""Engines that a hall needs for homes of its own: with two, what is kept gives way too soon, and
the mean of two days with faults fell from 0.705 to 0.689 (four seeds of each)."""
NOISE: Final = 0.05
"""Relative noise on scores, so that gateways with the same report don't all agree."""
LONG_PREFILL_S: Final = 1.2
"""A prompt that takes so long to read is kept apart; the usual one takes a tenth of it."""
LONG_BIAS_S: Final = 0.1
"""What the engine for long prompts is avoided by, as a prompt may be on its way there."""
ENGINES_A_LONG_ONE: Final = 6
MOST_WEIGHED: Final = 24
"""Engines that are weighed for a prompt.  What a gateway knows of the others by itself tells
little: the best are asked about, and of these a choice of four is as good as one of six."""
MOST_NEAR: Final = 16
"""Those of them that are of the own hall, where there are so many."""
HOMES_KEPT: Final = 4096
"""Homes of shared parts that are remembered: some times the subjects of a day."""
FIRST_RATE_S: Final = 1 / 30000
"""Seconds to read a prompt token until a model's own rate is known."""
RATE_STEP: Final = 0.04
LEAST_RATE_TOKENS: Final = 500
ENOUGH_SEEN: Final = 5
"""Answers of a model after which the own rate is better than another gateway's word."""


class EngineView(NamedTuple):
    """What a gateway knows of an engine.

    `ahead_s` is the predicted time to read what goes before the prompt, `kept_tokens` what the
    engine keeps of the prompt.  `others_running` is by the engine's last report, and so is
    `others_waiting`, which is 0 where `ahead_s` counts the prompts of all gateways.  `failing`
    is 0 for one that answers well, 1 for one that always fails.
    """

    id: str
    hall: str
    ahead_s: float
    kept_tokens: int
    others_running: int
    others_waiting: int
    reported_at: float
    failing: float


class PrefillRates:
    """Seconds that a model takes to read a prompt token: the median of what was seen.

    The first answers move it far, so that a gateway that has just started predicts well after
    three of them; meanwhile it takes what another has learned (`heard`).
    """

    def __init__(self) -> None:
        self._rates: dict[str, float] = {}
        self._seen: dict[str, int] = {}
        self.usual_s = 0.05
        """Reading time of a usual request, for those that wait for others."""

    def rate_s(self, model: str) -> float:
        """Seconds a token."""
        return self._rates.get(model, FIRST_RATE_S)

    def learned_s(self, model: str) -> float:
        """Seconds a token by own answers, 0 where there are too few."""
        return self.rate_s(model) if self._seen.get(model, 0) >= ENOUGH_SEEN else 0.0

    def saw(self, model: str, tokens: float, seconds: float) -> None:
        """A prompt of which so many tokens were not kept had its first token after that.

        >>> rates = PrefillRates()
        >>> for _ in range(5): rates.saw("m", 10000, 0.8)
        >>> 7e-5 < rates.rate_s("m") < 9e-5
        True
        """
        if tokens < LEAST_RATE_TOKENS:
            return
        seen = self._seen[model] = self._seen.get(model, 0) + 1
        step = max(RATE_STEP, 1 / (1 + seen))
        rate = self.rate_s(model)
        longer = seconds / tokens > rate
        self._rates[model] = rate * (1 + step if longer else 1 / (1 + step))

    def heard(self, model: str, rate_s: float) -> None:
        """Another gateway has learned this rate; taken until there are own answers enough."""
        if rate_s > 0 and self._seen.get(model, 0) < ENOUGH_SEEN:
            self._rates[model] = rate_s

    def sent(self, seconds: float) -> None:
        """A request with this predicted reading time was sent."""
        self.usual_s += RATE_STEP * (seconds - self.usual_s)


class Work(NamedTuple):
    """A prompt to be read by a model; `size` is that of request and answer, bytes."""

    model: str
    parts: tuple[tuple[str, int], ...]
    tokens_in: int
    size: int = 0


class Placed(NamedTuple):
    """An engine, the predicted seconds to a first token there, and those of reading alone."""

    id: str
    first_s: float
    prefill_s: float


class Pool(NamedTuple):
    """Engines that may take a prompt: their ids, all and by hall, and those for long prompts."""

    ids: tuple[str, ...]
    by_hall: dict[str, tuple[str, ...]]
    apart: frozenset[str]


def pool_of(halls: Mapping[str, str]) -> Pool:
    """A pool of engines, given the hall of each id.

    >>> pool_of({"a": "here", "b": "there"}).by_hall
    {'here': ('a',), 'there': ('b',)}
    """
    near: dict[str, list[str]] = {}
    for id, hall in halls.items():
        near.setdefault(hall, []).append(id)
    by_hall = {hall: tuple(ids) for hall, ids in near.items()}
    return Pool(tuple(halls), by_hall, long_homes(tuple(halls)))


def home_of(pool: Pool, work: Work, hall: str) -> str:
    """The home of a prompt's shared parts: in the hall, where that has engines enough, else one
    for all halls; empty for a prompt that shares nothing."""
    shared = work.parts[:-1]
    if not shared:
        return ""
    near = pool.by_hall.get(hall, ())
    ids = near if len(near) >= HALL_HOMES_FROM else pool.ids
    return _home(ids, work.model, shared[-1][0])


@functools.lru_cache(maxsize=HOMES_KEPT)
def _home(ids: tuple[str, ...], model: str, part: str) -> str:
    return min(ids, key=lambda id: unit("home", model, part, id), default="")


def narrowed(pool: Pool, hall: str, home: str, rng: random.Random) -> set[str]:
    """Ids of the engines that are weighed for a prompt: all where they are few, else the home,
    some of the own hall, and some of any.

    With all of 600 engines a choice took 22 ms of processor time, fifteen times one of 40.

    >>> pool = pool_of({f"e{n}": "here" if n % 2 else "there" for n in range(100)})
    >>> found = narrowed(pool, "here", "e0", random.Random(1))
    >>> len(found), "e0" in found, sum(int(id[1:]) % 2 for id in found) >= MOST_NEAR
    (24, True, True)
    """
    if len(pool.ids) <= MOST_WEIGHED:
        return set(pool.ids)
    near = pool.by_hall.get(hall, ())
    found = {home} - {""} | set(rng.sample(near, min(MOST_NEAR, len(near))))
    while len(found) < MOST_WEIGHED:
        found.add(rng.choice(pool.ids))
    return found


def tokens_of(parts: tuple[tuple[str, int], ...], count: int) -> int:
    """Tokens of a prompt's first parts.

    >>> tokens_of((("aa", 800), ("bb", 400)), 1)
    800
    """
    return sum(tokens for _, tokens in parts[:count])


def long_homes(ids: tuple[str, ...]) -> frozenset[str]:
    """The engines that long prompts share; none where there are too few."""
    count = len(ids) // ENGINES_A_LONG_ONE
    return frozenset(sorted(ids, key=lambda name: unit("long", name))[:count])


class Around(NamedTuple):
    """Where a prompt stands: its gateway's hall, the home of its shared parts, and the engines
    that long prompts share."""

    hall: str
    home: str
    apart: frozenset[str]


def ranked(
    engines: list[EngineView],
    work: Work,
    rates: PrefillRates,
    around: Around,
    now: float,
    rng: random.Random,
) -> list[Placed]:
    """Engines by predicted time to the first token, best first."""
    hall, home, apart = around
    rate_s = rates.rate_s(work.model)

    def place(engine: EngineView) -> Placed:
        prefill_s = rate_s * max(0, work.tokens_in - engine.kept_tokens)
        fresh = math.exp2(-max(0.0, now - engine.reported_at) / REPORT_HALF_LIFE_S)
        others_s = engine.others_running * RUNNING_S + engine.others_waiting * rates.usual_s
        return Placed(engine.id, engine.ahead_s + fresh * others_s + prefill_s, prefill_s)

    by_id = {engine.id: engine for engine in engines}

    def score(placed: Placed) -> float:
        engine = by_id[placed.id]
        cost_s = placed.first_s + _misplaced_s(placed, apart) + engine.failing * FAILING_S
        cost_s += 0.0 if engine.hall == hall else OTHER_HALL_S + BYTE_S * work.size
        cost_s += 0.0 if engine.id == home else HOME_BIAS_S
        return cost_s * rng.uniform(1 - NOISE, 1 + NOISE)

    return sorted((place(engine) for engine in engines), key=score)


def _misplaced_s(placed: Placed, apart: frozenset[str]) -> float:
    """What speaks against an engine because long prompts are kept apart, seconds."""
    if not apart:
        return 0.0
    if placed.prefill_s > LONG_PREFILL_S:
        return 0.0 if placed.id in apart else LONG_PREFILL_S
    return LONG_BIAS_S if placed.id in apart else 0.0


class PlainView(NamedTuple):
    """What a gateway knows of a plain upstream; `load` is its requests for each slot."""

    id: str
    hall: str
    load: float
    latency_s: float
    failing: float


def plain_ranked(views: list[PlainView], hall: str, rng: random.Random) -> list[str]:
    """Plain upstreams by predicted time to answer, best first."""

    def score(view: PlainView) -> float:
        away_s = 0.0 if view.hall == hall else OTHER_HALL_S
        expected_s = view.latency_s * (1 + view.load) + away_s + view.failing * FAILING_S
        return expected_s * rng.uniform(1 - NOISE, 1 + NOISE)

    return [view.id for view in sorted(views, key=score)]
