"""Which upstream takes a request: the least predicted time to its first byte.

Pure.  For an engine, time is what lies ahead of the first token: what this gateway sent
that has not begun, what waits there for others, and reading that part of the request's
own prompt that the engine does not keep for the model.  A shared part is believed to be
kept where this gateway sent it lately, and with less certainty at the engine that
rendezvous hashing names its home, so that gateways agree on a home without talking.

A prompt that takes long to read holds up everything else on its engine, so such prompts
share one engine of several, which the others avoid a little: gateways agree on it by the
same hashing.
"""

from __future__ import annotations

import math
import random
from typing import Final, NamedTuple

from ramppost.policy.routing import unit

RUNNING_S: Final = 0.003
"""What a request that runs for others adds, seconds: it slows each step a little."""
OTHER_HALL_S: Final = 0.005
"""What the way to another hall adds, there and back, with the price of its bytes."""
FAILING_S: Final = 3.0
"""What constant failures add: more than any queue, so that only failing upstreams are worse."""
HOME_BELIEF: Final = 0.8
"""Probability that a shared part is kept at its home."""
REPORT_HALF_LIFE_S: Final = 2.0
KEPT_S: Final = 20.0
"""How long a part is believed to be kept where it was sent; engines drop the oldest."""
NOISE: Final = 0.05
"""Relative noise on scores, so that gateways with the same report don't all agree."""
MAX_PARTS: Final = 8192
LONG_PREFILL_S: Final = 1.2
"""A prompt that takes so long to read is kept apart; the usual one takes a tenth of it."""
LONG_BIAS_S: Final = 0.1
"""What the engine for long prompts is avoided by, as a prompt may be on its way there."""
ENGINES_A_LONG_ONE: Final = 6
FIRST_RATE_S: Final = 1 / 30000
"""Seconds to read a prompt token until a model's own rate is known."""
RATE_STEP: Final = 0.04
LEAST_RATE_TOKENS: Final = 500


class EngineView(NamedTuple):
    """What a gateway knows of an engine.

    `pending_s` is the predicted reading time of its own requests that have not begun;
    `others_running` and `others_waiting` are by the engine's last report.  `failing` is 0
    for one that answers well, 1 for one that always fails.
    """

    id: str
    hall: str
    pending_s: float
    others_running: int
    others_waiting: int
    reported_at: float
    failing: float


class PrefillRates:
    """Seconds that a model takes to read a prompt token: the median of what was seen."""

    def __init__(self) -> None:
        self._rates: dict[str, float] = {}
        self.usual_s = 0.05
        """Reading time of a usual request, for those that wait for others."""

    def rate_s(self, model: str) -> float:
        """Seconds a token."""
        return self._rates.get(model, FIRST_RATE_S)

    def saw(self, model: str, tokens: float, seconds: float) -> None:
        """A prompt of which so many tokens were not kept had its first token after that."""
        if tokens < LEAST_RATE_TOKENS:
            return
        rate = self.rate_s(model)
        longer = seconds / tokens > rate
        self._rates[model] = rate * (1 + RATE_STEP if longer else 1 - RATE_STEP)

    def sent(self, seconds: float) -> None:
        """A request with this predicted reading time was sent."""
        self.usual_s += RATE_STEP * (seconds - self.usual_s)


class KeptParts:
    """Which parts of prompts were sent to which engine for which model, and when."""

    def __init__(self) -> None:
        self._sent: dict[tuple[str, str, str], float] = {}

    def sent(self, engine: str, model: str, parts: tuple[tuple[str, int], ...], now: float) -> None:
        """A prompt with these parts has begun at an engine."""
        for name, _ in parts:
            self._sent.pop((engine, model, name), None)
            self._sent[engine, model, name] = now
        while len(self._sent) > MAX_PARTS:
            del self._sent[next(iter(self._sent))]

    def kept_tokens(
        self, engine: str, model: str, parts: tuple[tuple[str, int], ...], now: float
    ) -> int:
        """Tokens of a prompt's first parts that the engine is believed to keep."""
        total = 0
        for name, tokens in parts:
            at = self._sent.get((engine, model, name))
            if at is None or now - at > KEPT_S:
                break
            total += tokens
        return total


class Work(NamedTuple):
    """A prompt to be read by a model."""

    model: str
    parts: tuple[tuple[str, int], ...]
    tokens_in: int


class Placed(NamedTuple):
    """An engine, the predicted seconds to a first token there, and those of reading alone."""

    id: str
    first_s: float
    prefill_s: float


def home_tokens(engines: list[EngineView], work: Work) -> tuple[str, float]:
    """The home of a prompt's shared parts, and the tokens that it is believed to keep."""
    shared = work.parts[:-1]
    if not shared or not engines:
        return "", 0.0
    name = shared[-1][0]
    home = min(engines, key=lambda engine: unit("home", work.model, name, engine.id))
    return home.id, HOME_BELIEF * sum(tokens for _, tokens in shared)


def long_homes(engines: list[EngineView]) -> set[str]:
    """The engines that long prompts share; none where there are too few."""
    count = len(engines) // ENGINES_A_LONG_ONE
    ranked_ids = sorted((engine.id for engine in engines), key=lambda name: unit("long", name))
    return set(ranked_ids[:count])


def ranked(
    engines: list[EngineView],
    work: Work,
    kept: KeptParts,
    rates: PrefillRates,
    hall: str,
    now: float,
    rng: random.Random,
) -> list[Placed]:
    """Engines by predicted time to the first token, best first."""
    home, believed = home_tokens(engines, work)
    rate_s = rates.rate_s(work.model)
    apart = long_homes(engines)

    def place(engine: EngineView) -> Placed:
        known = kept.kept_tokens(engine.id, work.model, work.parts, now)
        saved = max(known, believed if engine.id == home else 0.0)
        prefill_s = rate_s * max(0.0, work.tokens_in - saved)
        fresh = math.exp2(-max(0.0, now - engine.reported_at) / REPORT_HALF_LIFE_S)
        others_s = engine.others_running * RUNNING_S + engine.others_waiting * rates.usual_s
        away_s = 0.0 if engine.hall == hall else OTHER_HALL_S
        ahead_s = engine.pending_s + fresh * others_s + away_s + prefill_s
        return Placed(engine.id, ahead_s, prefill_s)

    failing = {engine.id: engine.failing for engine in engines}

    def score(placed: Placed) -> float:
        cost_s = placed.first_s + _misplaced_s(placed, apart) + failing[placed.id] * FAILING_S
        return cost_s * rng.uniform(1 - NOISE, 1 + NOISE)

    return sorted((place(engine) for engine in engines), key=score)


def _misplaced_s(placed: Placed, apart: set[str]) -> float:
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
