"""Selection of the policy, model and version that serve a request.

No I/O: randomness is passed in as a `random.Random`, and past ratings as a
`LearnedPolicyState`.  A policy is a closure that maps a request class and the allowed
models to the models to try, in order; a cascade lists the cheapest first.

The learned policy uses Thompson sampling to minimise cost subject to a target mean rating.
For each request it samples a rating of every model from the posterior for the class, and
selects the model with the highest `quality_price * rating - cost`, where cost is scaled by
the average answer length of the class.  The price of quality is a Lagrange multiplier: it
rises while ratings, which arrive late, are below the target and falls while they are above
it, so spending converges to the point where the target is just met.
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
QUALITY_PRICE_STEP: Final = 0.1
INITIAL_QUALITY_PRICE: Final = 5.0
MAX_QUALITY_PRICE: Final = 50.0
TARGET_MARGIN: Final = 0.005
DEFAULT_THRESHOLD: Final = 0.7
HASH_CACHE_SIZE: Final = 16384
"""Cache size of `hash_fraction`, which ranks gateways, engines and homes on every request."""


class RunningStats:
    """Count, sum and sum of squares of a stream of values."""

    def __init__(self) -> None:
        self.n = 0
        self.total = 0.0
        self.sum_squares = 0.0

    def add(self, value: float) -> None:
        """Add one value."""
        self.n += 1
        self.total += value
        self.sum_squares += value * value

    @property
    def mean(self) -> float:
        """The mean, or 0 if there are no values."""
        return self.total / self.n if self.n else 0.0

    @property
    def sd(self) -> float:
        """The population standard deviation, or 0 if there are fewer than two values."""
        if self.n < 2:
            return 0.0
        return math.sqrt(max(0.0, self.sum_squares / self.n - self.mean**2))


class LearnedPolicyState:
    """State of the learned policy: ratings by class and model, and the price of quality."""

    def __init__(self) -> None:
        self.arms: dict[tuple[str, str], RunningStats] = {}
        self.tokens: dict[str, RunningStats] = {}
        self.all_tokens = RunningStats()
        self.quality_price = INITIAL_QUALITY_PRICE

    def add_rating(self, class_name: str, model: str, score: float) -> None:
        """Add a rating of an answer by a model; ratings arrive some time after the answer."""
        self.arms.setdefault((class_name, model), RunningStats()).add(score)

    def update_quality_price(self, target: float, score: float) -> None:
        """Adjust the price of quality by the rating of an answer whose model the policy chose."""
        gap = target + TARGET_MARGIN - score
        self.quality_price = min(
            MAX_QUALITY_PRICE, max(0.0, self.quality_price + QUALITY_PRICE_STEP * gap)
        )

    def add_token_count(self, class_name: str, tokens: int) -> None:
        """Record the number of tokens in an answer of a class."""
        self.tokens.setdefault(class_name, RunningStats()).add(tokens)
        self.all_tokens.add(tokens)

    def relative_length(self, class_name: str) -> float:
        """Mean answer length of a class, relative to the mean over all classes."""
        class_tokens = self.tokens.get(class_name)
        if class_tokens is None or not self.all_tokens.mean:
            return 1.0
        return class_tokens.mean / self.all_tokens.mean

    def sample_rating(self, class_name: str, model: str, rng: random.Random) -> float:
        """Sample a mean rating from the posterior, which narrows as ratings are added."""
        arm = self.arms.get((class_name, model))
        if arm is None:
            return rng.gauss(PRIOR_MEAN, PRIOR_SD)
        posterior_mean = (PRIOR_MEAN + arm.total) / (1 + arm.n)
        return rng.gauss(posterior_mean, PRIOR_SD / (1 + arm.n) ** 0.5)


ModelOrder = Callable[[str, list[Model], LearnedPolicyState, random.Random], list[str]]


def fixed_order(policy: Policy) -> ModelOrder:
    """Try only the first allowed model of the policy."""

    def order(
        class_name: str, models: list[Model], learned: LearnedPolicyState, rng: random.Random
    ) -> list[str]:
        names = {m["model"] for m in models}
        return [name for name in policy["models"] if name in names][:1]

    return order


def cascade_order(policy: Policy) -> ModelOrder:
    """Try every allowed model of the policy, in the policy's order."""

    def order(
        class_name: str, models: list[Model], learned: LearnedPolicyState, rng: random.Random
    ) -> list[str]:
        names = {m["model"] for m in models}
        return [name for name in policy["models"] if name in names]

    return order


def learned_order(policy: Policy) -> ModelOrder:
    """Try the allowed model with the highest utility at the current price of quality."""

    def order(
        class_name: str, models: list[Model], learned: LearnedPolicyState, rng: random.Random
    ) -> list[str]:
        usable = [m for m in models if m["model"] in policy["models"]]
        if not usable:
            return []
        highest_price = max(m["price"] for m in usable) or 1.0

        def utility(model: Model) -> float:
            rating = learned.sample_rating(class_name, model["model"], rng)
            cost = model["price"] / highest_price * learned.relative_length(class_name)
            return learned.quality_price * rating - cost

        return [max(usable, key=utility)["model"]]

    return order


MODEL_ORDERS: Final[dict[str, Callable[[Policy], ModelOrder]]] = {
    "fixed": fixed_order,
    "cascade": cascade_order,
    "learned": learned_order,
}


@functools.lru_cache(maxsize=HASH_CACHE_SIZE)
def hash_fraction(*parts: str) -> float:
    """Hash the parts to a number in [0, 1) that is the same in every process."""
    digest = hashlib.blake2b("\0".join(parts).encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2**64


def policy_for(ws: Workspace, routing_key: str) -> str:
    """Policy that a session or request is assigned to, by the workspace's traffic shares.

    `routing_key` identifies the session, or the request if it has none.
    """
    remaining = hash_fraction("policy", ws["name"], routing_key) * sum(
        p["share"] for p in ws["policies"]
    )
    for split in ws["policies"]:
        remaining -= split["share"]
        if remaining < 0:
            return split["policy"]
    return ws["policies"][-1]["policy"] if ws["policies"] else ""


class PickedVersion(NamedTuple):
    """A version, and whether it is the trial version of a rollout."""

    mv: ModelVersion
    trial: bool


def pick_version(
    doc: ConfigDoc, model: str, routing_key: str, is_usable: Callable[[ModelVersion], bool]
) -> PickedVersion | None:
    """Choose the version of a model for a new session.

    While a rollout is running, its current share of sessions gets the trial version.
    `is_usable` returns whether a version is permitted, not paused on this entry, and
    served by at least one upstream.
    """
    model_entry = model_named(doc, model)
    if model_entry is None:
        return None
    rollout = running_rollout(doc, model)
    if rollout is not None:
        trial = ModelVersion(model, rollout["trial"])
        share = rollout["steps"][min(rollout["step"], len(rollout["steps"]) - 1)]
        on_trial = any(
            v["version"] == trial.version and v["state"] == "trial" for v in model_entry["versions"]
        )
        if (
            on_trial
            and hash_fraction("rollout", model, trial.version, routing_key) < share
            and is_usable(trial)
        ):
            return PickedVersion(trial, True)
    stable = [
        ModelVersion(model, v["version"]) for v in model_entry["versions"] if v["state"] == "stable"
    ]
    usable = [mv for mv in stable if is_usable(mv)]
    return PickedVersion(usable[-1], False) if usable else None


def cascade_stops(policy: Policy, confidence: float) -> bool:
    """Whether an answer with this confidence ends the cascade."""
    return confidence >= policy.get("threshold", DEFAULT_THRESHOLD)
