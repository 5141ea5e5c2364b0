"""Which policy, which model, which version answers a request.

Pure: randomness comes in as a `random.Random`, ratings as `LearnedPolicyState`.  A policy is
a closure from class and allowed models to the models to try in order, cheapest
first for a cascade.

The learned policy minimises cost subject to a mean rating: for each request it
draws a plausible rating of every model from what is known of it for the class,
and takes the model with the best `price_of_quality * rating - cost`, where cost
counts the usual length of the class's answers.  The price
of quality rises while ratings, which come late, fall short of the target, and
sinks while they exceed it, so spending settles where the target is just met.
"""

from __future__ import annotations

import functools
import hashlib
import math
import random
from collections.abc import Callable
from typing import Final, NamedTuple

from ramppost.policy.permissions import ModelVersion, model_named, running_rollout
from ramppost.schema.config import ConfigDoc, Model, Policy, Workspace

PRIOR_SD: Final = 0.35
PRIOR_MEAN: Final = 0.6
STEP: Final = 0.1
START_PRICE: Final = 5.0
MAX_PRICE: Final = 50.0
MARGIN: Final = 0.005
DEFAULT_THRESHOLD: Final = 0.7
HASH_CACHE_SIZE: Final = 16384
"""Cached results of `hash_fraction`; gateways, engines and homes are ranked for each request."""


class RunningStats:
    """A running mean with its count and sum of squares."""

    def __init__(self) -> None:
        self.n = 0
        self.total = 0.0
        self.sum_squares = 0.0

    def add(self, value: float) -> None:
        """Take in one value."""
        self.n += 1
        self.total += value
        self.sum_squares += value * value

    @property
    def mean(self) -> float:
        """The mean, 0 where there is nothing."""
        return self.total / self.n if self.n else 0.0

    @property
    def sd(self) -> float:
        """The standard deviation, 0 where there is nothing."""
        if self.n < 2:
            return 0.0
        return math.sqrt(max(0.0, self.sum_squares / self.n - self.mean**2))


class LearnedPolicyState:
    """What ratings have told of each model by class, and the price of quality."""

    def __init__(self) -> None:
        self.arms: dict[tuple[str, str], RunningStats] = {}
        self.tokens: dict[str, RunningStats] = {}
        self.all_tokens = RunningStats()
        self.quality_price = START_PRICE

    def add_rating(self, class_name: str, model: str, score: float) -> None:
        """Take in a late rating of an answer by a model."""
        self.arms.setdefault((class_name, model), RunningStats()).add(score)

    def update_quality_price(self, target: float, score: float) -> None:
        """Move the price of quality by a rating of an answer that the policy chose."""
        gap = target + MARGIN - score
        self.quality_price = min(MAX_PRICE, max(0.0, self.quality_price + STEP * gap))

    def add_token_count(self, class_name: str, tokens: int) -> None:
        """Take in how many tokens an answer of a class had."""
        self.tokens.setdefault(class_name, RunningStats()).add(tokens)
        self.all_tokens.add(tokens)

    def relative_length(self, class_name: str) -> float:
        """Usual length of a class's answers, in that of all answers."""
        known = self.tokens.get(class_name)
        if known is None or not self.all_tokens.mean:
            return 1.0
        return known.mean / self.all_tokens.mean

    def sample_rating(self, class_name: str, model: str, rng: random.Random) -> float:
        """A plausible mean rating: wide while little is known, narrow later."""
        arm = self.arms.get((class_name, model))
        if arm is None:
            return rng.gauss(PRIOR_MEAN, PRIOR_SD)
        known = (PRIOR_MEAN + arm.total) / (1 + arm.n)
        return rng.gauss(known, PRIOR_SD / (1 + arm.n) ** 0.5)


ModelOrder = Callable[[str, list[Model], LearnedPolicyState, random.Random], list[str]]


def fixed_order(policy: Policy) -> ModelOrder:
    """The first model of the policy that is allowed."""

    def order(
        class_name: str, models: list[Model], learned: LearnedPolicyState, rng: random.Random
    ) -> list[str]:
        names = {m["model"] for m in models}
        return [name for name in policy["models"] if name in names][:1]

    return order


def cascade_order(policy: Policy) -> ModelOrder:
    """Every allowed model of the policy, in its order."""

    def order(
        class_name: str, models: list[Model], learned: LearnedPolicyState, rng: random.Random
    ) -> list[str]:
        names = {m["model"] for m in models}
        return [name for name in policy["models"] if name in names]

    return order


def learned_order(policy: Policy) -> ModelOrder:
    """The allowed model that is best at the present price of quality."""

    def order(
        class_name: str, models: list[Model], learned: LearnedPolicyState, rng: random.Random
    ) -> list[str]:
        usable = [m for m in models if m["model"] in policy["models"]]
        if not usable:
            return []
        dearest = max(m["price"] for m in usable) or 1.0

        def worth(model: Model) -> float:
            rating = learned.sample_rating(class_name, model["model"], rng)
            cost = model["price"] / dearest * learned.relative_length(class_name)
            return learned.quality_price * rating - cost

        return [max(usable, key=worth)["model"]]

    return order


MODEL_ORDERS: Final[dict[str, Callable[[Policy], ModelOrder]]] = {
    "fixed": fixed_order,
    "cascade": cascade_order,
    "learned": learned_order,
}


@functools.lru_cache(maxsize=HASH_CACHE_SIZE)
def hash_fraction(*parts: str) -> float:
    """A number in [0, 1) that depends on nothing but the parts."""
    digest = hashlib.blake2b("\0".join(parts).encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2**64


def policy_for(ws: Workspace, who: str) -> str:
    """The policy whose share of the workspace this session or request falls in."""
    place = hash_fraction("policy", ws["name"], who) * sum(p["share"] for p in ws["policies"])
    for part in ws["policies"]:
        place -= part["share"]
        if place < 0:
            return part["policy"]
    return ws["policies"][-1]["policy"] if ws["policies"] else ""


class PickedVersion(NamedTuple):
    """A version, and whether it is on trial."""

    mv: ModelVersion
    trial: bool


def pick_version(
    doc: ConfigDoc, model: str, who: str, may: Callable[[ModelVersion], bool]
) -> PickedVersion | None:
    """The version of a model for a new session: the trial for the roll-out's share of them.

    `may` tells whether a version may be used here: permitted, not paused on
    this entry, served by someone.
    """
    found = model_named(doc, model)
    if found is None:
        return None
    rollout = running_rollout(doc, model)
    if rollout is not None:
        trial = ModelVersion(model, rollout["trial"])
        share = rollout["steps"][min(rollout["step"], len(rollout["steps"]) - 1)]
        on_trial = any(
            v["version"] == trial.version and v["state"] == "trial" for v in found["versions"]
        )
        if on_trial and hash_fraction("rollout", model, trial.version, who) < share and may(trial):
            return PickedVersion(trial, True)
    stable = [
        ModelVersion(model, v["version"]) for v in found["versions"] if v["state"] == "stable"
    ]
    usable = [mv for mv in stable if may(mv)]
    return PickedVersion(usable[-1], False) if usable else None


def cascade_stops(policy: Policy, confidence: float) -> bool:
    """Whether an answer of this confidence is good enough to stop a cascade."""
    return confidence >= policy.get("threshold", DEFAULT_THRESHOLD)
