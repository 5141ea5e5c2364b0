"""Cost at the quality target: the policies on drawn ratings that come late.

No network: policies are pure.  Classes differ in how much the cheap model loses;
a rating comes `DELAY` requests late.  Baselines: always-best, always-cheapest,
random, round robin.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from ramppost.policy.routing import LearnedPolicyState, RunningStats, cascade_stops, learned_order
from ramppost.schema.config import Model, Policy

TARGET = 0.85
REQUESTS = 8000
DELAY = 200
SPREAD = 0.1
CONFIDENCE_NOISE = 0.05
TOKENS = {
    "page_lookup": 40,
    "suggestion": 12,
    "cooking_question": 250,
    "adaptation": 900,
    "tagging": 20,
}
SHARES = {
    "page_lookup": 30,
    "suggestion": 25,
    "cooking_question": 20,
    "adaptation": 5,
    "tagging": 20,
}
QUALITY = {
    ("page_lookup", "small"): 0.86,
    ("suggestion", "small"): 0.88,
    ("cooking_question", "small"): 0.78,
    ("adaptation", "small"): 0.55,
    ("tagging", "small"): 0.87,
}
BEST_QUALITY = 0.92
MODELS = [
    Model(model="small", price=0.2, versions=[]),
    Model(model="large", price=2.0, versions=[]),
]
LEARNED = Policy(name="learned", kind="learned", models=["small", "large"], target=TARGET)
CASCADE = Policy(name="cascade", kind="cascade", models=["small", "large"], threshold=0.75)


class Line(NamedTuple):
    """A policy's mean rating and cost a request."""

    policy: str
    quality: float
    cost: float


def _rating(class_name: str, model: str, rng: random.Random) -> float:
    mean = QUALITY.get((class_name, model), BEST_QUALITY)
    return min(1.0, max(0.0, rng.gauss(mean, SPREAD)))


def _price(class_name: str, model: str) -> float:
    price = 2.0 if model == "large" else 0.2
    return TOKENS[class_name] * price / 1000


Chooser = Callable[[str, int], str]


def run_single(
    name: str, choose: Chooser, late: Callable[[str, str, float], None], seed: int
) -> Line:
    """A policy that asks one model a request."""
    rng = random.Random(seed)
    quality, cost = RunningStats(), 0.0
    waiting: deque[tuple[str, str, float]] = deque()
    for number in range(REQUESTS):
        class_name = rng.choices(list(SHARES), list(SHARES.values()))[0]
        model = choose(class_name, number)
        score = _rating(class_name, model, rng)
        quality.add(score)
        cost += _price(class_name, model)
        waiting.append((class_name, model, score))
        if len(waiting) > DELAY:
            late(*waiting.popleft())
    return Line(name, quality.mean, cost / REQUESTS)


def run_cascade(seed: int) -> Line:
    """Cheapest first, by the engine's own confidence."""
    rng = random.Random(seed)
    quality, cost = RunningStats(), 0.0
    for _ in range(REQUESTS):
        class_name = rng.choices(list(SHARES), list(SHARES.values()))[0]
        score = _rating(class_name, "small", rng)
        cost += _price(class_name, "small")
        if not cascade_stops(CASCADE, score + rng.gauss(0, CONFIDENCE_NOISE)):
            score = _rating(class_name, "large", rng)
            cost += _price(class_name, "large")
        quality.add(score)
    return Line("cascade", quality.mean, cost / REQUESTS)


def run_learned(seed: int) -> Line:
    """The learned policy, steered by late ratings."""
    learned, rng = LearnedPolicyState(), random.Random(seed + 1)
    order = learned_order(LEARNED)

    def late(class_name: str, model: str, score: float) -> None:
        learned.add_rating(class_name, model, score)
        learned.update_quality_price(TARGET, score)

    def choose(class_name: str, number: int) -> str:
        learned.add_token_count(class_name, TOKENS[class_name])
        return order(class_name, MODELS, learned, rng)[0]

    return run_single("learned", choose, late, seed)


def table(seed: int) -> list[Line]:
    """All policies on the same requests."""
    rng = random.Random(seed + 2)

    def nothing(class_name: str, model: str, score: float) -> None:
        """Baselines learn nothing."""

    names = ["small", "large"]
    return [
        run_single("always-best", lambda c, n: "large", nothing, seed),
        run_single("always-cheapest", lambda c, n: "small", nothing, seed),
        run_single("random", lambda c, n: rng.choice(names), nothing, seed),
        run_single("round robin", lambda c, n: names[n % 2], nothing, seed),
        run_cascade(seed),
        run_learned(seed),
    ]
