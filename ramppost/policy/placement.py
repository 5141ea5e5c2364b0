"""Chooses the upstream with the lowest predicted time to the first byte of a request.

Pure.  For an engine, the prediction is the time to first token: the prompts that gateways sent
there before (`ramppost.policy.backlog`), the requests that run there, and the prefill of the part
of the request's prompt that the engine has not cached for the model.  Among equal engines, a home
of the prompt's shared prefix is preferred (`ramppost.policy.homes`).

A prompt with a long prefill delays all other requests on its engine.  Such prompts therefore share
a fraction of the engines, which have a small penalty for other prompts.

A gateway evaluates a bounded number of engines, regardless of the pool size (`select_candidates`),
and computes what depends on the whole pool once for each list of engines (`EnginePool`).
"""

from __future__ import annotations

import math
import random
from typing import Final, NamedTuple

from ramppost.policy.homes import EnginePool
from ramppost.policy.speed import UNKNOWN_SPEED, SpeedFigures, typical_token_s

RUNNING_REQUEST_DELAY_S: Final = 0.003
"""Predicted delay for each running request of other gateways, which slows each decoding step."""
CROSS_HALL_PENALTY_S: Final = 0.005
"""Penalty for another hall: the round trip, in addition to the charge for its bytes."""
CROSS_HALL_BYTE_PENALTY_S: Final = 10e-6
"""Penalty for each byte to or from another hall: 20 KB are worth a wait of 0.2 s.  Because the
queue ahead of a prompt is known, waits of tenths of a second make few answers late, and the cost of
traffic between halls fell by a third to a half (from 0.053 to 0.032 of the score where that traffic
is expensive)."""
FAILURE_PENALTY_S: Final = 3.0
"""Penalty for a failure rate of 1: longer than any queue, so only failing upstreams rank lower."""
NOT_HOME_PENALTY_S: Final = 0.1
"""Penalty for engines other than the homes of a prompt's shared prefix: half of the penalty for a
large request to another hall.  In a fleet of 32 gateways that don't know each other's requests, the
cost of traffic between halls fell by a quarter with a home in each hall."""
REPORT_HALF_LIFE_S: Final = 2.0
SCORE_JITTER: Final = 0.05
"""Relative noise on scores, so that gateways with the same report choose different engines."""
LONG_PREFILL_S: Final = 1.2
"""Prefill time from which a prompt counts as long; a typical prompt takes a tenth of it."""
LONG_PROMPT_ENGINE_PENALTY_S: Final = 0.1
"""Penalty for other prompts on an engine for long ones, because one may be on its way there."""
MAX_CANDIDATES: Final = 24
"""Maximum number of engines evaluated for a prompt.  A gateway's own estimates are rough, so it
queries the keepers of the best engines; choosing among four of these is as good as among six."""
MAX_LOCAL_CANDIDATES: Final = 16
"""How many of these are in the gateway's own hall, if it has that many."""
DECODE_WEIGHT: Final = 0.25
"""Weight of a second until the last token against one until the first."""
STREAM_DELAY_WEIGHT: Final = 0.1
"""Weight of a second by which a prompt delays each stream that runs at its engine."""
MAX_STREAMS_COST_S: Final = 2.0
"""Below the penalty for an engine that fails, however long the answer may become."""
INITIAL_RATE_S: Final = 1 / 30000
"""Seconds of prefill for each prompt token until the model's rate is known."""
RATE_STEP: Final = 0.04
MIN_RATE_TOKENS: Final = 500
MIN_RATE_SAMPLES: Final = 5
"""Number of samples from which a gateway's own rate of a model is preferred to a peer's."""


class EngineView(NamedTuple):
    """What a gateway knows about an engine.

    `ahead_s` is the predicted prefill time of the prompts that are served first, `kept_tokens` the
    number of prompt tokens in the engine's cache.  `others_running` and `others_waiting` come from
    the engine's last report; the latter is 0 if `ahead_s` includes the prompts of all gateways.
    `failure_rate` is 0 if all requests succeed and 1 if all fail.
    """

    id: str
    hall: str
    ahead_s: float
    kept_tokens: int
    others_running: int
    others_waiting: int
    reported_at: float
    failure_rate: float
    speed: SpeedFigures = UNKNOWN_SPEED


class PrefillRates:
    """Prefill seconds per prompt token of each model: a running estimate of the median.

    The first samples have a large weight, so that a gateway predicts well after three of them.
    Until then, a newly started gateway uses the rate of a peer (`accept_peer_rate`).
    """

    def __init__(self) -> None:
        self._rates: dict[str, float] = {}
        self._sample_counts: dict[str, int] = {}
        self._peer_models: set[str] = set()
        """Models whose rate was accepted from a peer."""
        self.typical_prefill_s = 0.05
        """Average prefill time of a request, used for waiting requests of other gateways."""

    def rate_s(self, model: str) -> float:
        """Seconds per token."""
        return self._rates.get(model, INITIAL_RATE_S)

    def is_known(self, model: str) -> bool:
        """Whether the rate was measured by this gateway or a peer.

        >>> PrefillRates().is_known("m")
        False
        """
        return model in self._peer_models or self.own_rate_s(model) > 0

    def own_rate_s(self, model: str) -> float:
        """Seconds per token measured by this gateway; 0 if there are too few samples."""
        return self.rate_s(model) if self._sample_counts.get(model, 0) >= MIN_RATE_SAMPLES else 0.0

    def observe(self, model: str, tokens: float, seconds: float) -> None:
        """Record a prefill of `tokens` tokens that were not cached, which took `seconds`.

        >>> rates = PrefillRates()
        >>> for _ in range(5): rates.observe("m", 10000, 0.8)
        >>> 7e-5 < rates.rate_s("m") < 9e-5
        True
        """
        if tokens < MIN_RATE_TOKENS:
            return
        samples = self._sample_counts[model] = self._sample_counts.get(model, 0) + 1
        step = max(RATE_STEP, 1 / (1 + samples))
        rate = self.rate_s(model)
        longer = seconds / tokens > rate
        self._rates[model] = rate * (1 + step if longer else 1 / (1 + step))

    def accept_peer_rate(self, model: str, rate_s: float) -> None:
        """Use a rate measured by another gateway unless this one has enough samples."""
        if rate_s > 0 and self._sample_counts.get(model, 0) < MIN_RATE_SAMPLES:
            self._rates[model] = rate_s
            self._peer_models.add(model)

    def record_sent(self, seconds: float) -> None:
        """Record a sent request with its predicted prefill time."""
        self.typical_prefill_s += RATE_STEP * (seconds - self.typical_prefill_s)


class PrefillWork(NamedTuple):
    """A prompt for a model.

    `size` is the total size of the request and its answer in bytes, and `tokens_out` the number of
    tokens that the answer is expected to have.
    """

    model: str
    parts: tuple[tuple[str, int], ...]
    tokens_in: int
    size: int = 0
    tokens_out: float = 0.0


class Placement(NamedTuple):
    """An engine with the predicted time to first token and the part of it that is prefill.

    `read_tokens` is the number of prompt tokens that it has not cached, and `prefill_factor` the
    factor for its speed that `prefill_s` contains.
    """

    id: str
    first_token_s: float
    prefill_s: float
    read_tokens: int = 0
    prefill_factor: float = 1.0

    @property
    def usual_prefill_s(self) -> float:
        """Prefill time at the usual speed."""
        return self.prefill_s / self.prefill_factor


def select_candidates(
    pool: EnginePool, hall: str, homes: tuple[str, ...], rng: random.Random
) -> set[str]:
    """Ids of the engines to evaluate for a prompt.

    A small pool is evaluated whole; otherwise the homes, random engines of the gateway's hall,
    and random engines of any hall.  Evaluating 600 engines took 22 ms of CPU time for each request,
    fifteen times as long as 40.

    >>> from ramppost.policy.homes import build_pool
    >>> pool = build_pool({f"e{n}": "here" if n % 2 else "there" for n in range(100)})
    >>> candidates = select_candidates(pool, "here", ("e0",), random.Random(1))
    >>> len(candidates), "e0" in candidates
    (24, True)
    >>> sum(int(id[1:]) % 2 for id in candidates) >= MAX_LOCAL_CANDIDATES
    True
    """
    if len(pool.ids) <= MAX_CANDIDATES:
        return set(pool.ids)
    local_ids = pool.by_hall.get(hall, ())
    candidates = set(homes) | set(rng.sample(local_ids, min(MAX_LOCAL_CANDIDATES, len(local_ids))))
    while len(candidates) < MAX_CANDIDATES:
        candidates.add(rng.choice(pool.ids))
    return candidates


def leading_tokens(parts: tuple[tuple[str, int], ...], count: int) -> int:
    """Total tokens of a prompt's first `count` parts.

    >>> leading_tokens((("aa", 800), ("bb", 400)), 1)
    800
    """
    return sum(tokens for _, tokens in parts[:count])


class PlacementContext(NamedTuple):
    """The gateway's hall, the homes of a prompt's shared prefix, and the long prompt engines.

    `uneven` tells that the engines differ in speed, so that their speeds are considered.
    """

    hall: str
    homes: tuple[str, ...]
    long_prompt_ids: frozenset[str]
    uneven: bool = False


def rank_engines(
    engines: list[EngineView],
    work: PrefillWork,
    rates: PrefillRates,
    context: PlacementContext,
    now: float,
    rng: random.Random,
) -> list[Placement]:
    """Rank engines by predicted time to first token plus penalties, best first."""
    hall, homes, long_prompt_ids, uneven = context
    rate_s = rates.rate_s(work.model)

    def place(engine: EngineView) -> Placement:
        read_tokens = max(0, work.tokens_in - engine.kept_tokens)
        factor = engine.speed.prefill_factor if uneven else 1.0
        prefill_s = rate_s * read_tokens * factor
        report_weight = math.exp2(-max(0.0, now - engine.reported_at) / REPORT_HALF_LIFE_S)
        others_s = (
            engine.others_running * RUNNING_REQUEST_DELAY_S
            + engine.others_waiting * rates.typical_prefill_s
        )
        return Placement(
            engine.id,
            engine.ahead_s + report_weight * others_s + prefill_s,
            prefill_s,
            read_tokens,
            factor,
        )

    token_s = typical_token_s([engine.speed for engine in engines]) if uneven else 0.0
    views_by_id = {engine.id: engine for engine in engines}

    def score_s(placement: Placement) -> float:
        engine = views_by_id[placement.id]
        cost_s = (
            placement.first_token_s
            + _long_prompt_penalty_s(placement, long_prompt_ids)
            + engine.failure_rate * FAILURE_PENALTY_S
        )
        cost_s += (
            0.0
            if engine.hall == hall
            else CROSS_HALL_PENALTY_S + CROSS_HALL_BYTE_PENALTY_S * work.size
        )
        if uneven:
            # An engine without finished streams would attract all others until one finishes.
            cost_s += _streams_cost_s(engine.speed.or_typical(token_s), work, placement)
        cost_s += 0.0 if engine.id in homes else NOT_HOME_PENALTY_S
        return cost_s * rng.uniform(1 - SCORE_JITTER, 1 + SCORE_JITTER)

    return sorted((place(engine) for engine in engines), key=score_s)


def _streams_cost_s(speed: SpeedFigures, work: PrefillWork, placement: Placement) -> float:
    """Penalty in seconds for a long stream and for delaying the streams that run at an engine."""
    decode_s = work.tokens_out * speed.token_s
    delay_s = speed.running * placement.prefill_s
    return min(MAX_STREAMS_COST_S, DECODE_WEIGHT * decode_s + STREAM_DELAY_WEIGHT * delay_s)


def _long_prompt_penalty_s(placement: Placement, long_prompt_ids: frozenset[str]) -> float:
    """Penalty in seconds that separates long prompts from others."""
    if not long_prompt_ids:
        return 0.0
    if placement.usual_prefill_s > LONG_PREFILL_S:
        return 0.0 if placement.id in long_prompt_ids else LONG_PREFILL_S
    return LONG_PROMPT_ENGINE_PENALTY_S if placement.id in long_prompt_ids else 0.0
