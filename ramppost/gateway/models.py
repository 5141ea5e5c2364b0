"""Which models answer a request, in which order, and when an answer is good enough."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from ramppost.gateway.model import Route
from ramppost.policy.policydoc import select_models
from ramppost.policy.pressure import relaxed_threshold
from ramppost.policy.routing import DEFAULT_THRESHOLD, cascade_stops
from ramppost.schema.config import Policy


class ModelPlan(NamedTuple):
    """Models that may answer, the smallest first, by a policy.

    `models` holds one empty name where the caller's own model stands.
    """

    models: tuple[str, ...]
    policy: Policy


def adjusted_for_load(policy: Policy, shortage: float, read_s: float) -> Policy:
    """A `learned` policy as a cascade with the threshold that the load allows for a prompt that
    the larger model takes `read_s` seconds to read."""
    if policy["kind"] != "learned":
        return policy
    threshold = relaxed_threshold(policy.get("threshold", DEFAULT_THRESHOLD), shortage, read_s)
    return Policy(name=policy["name"], kind="cascade", models=policy["models"], threshold=threshold)


def model_plan(route: Route, policy: Policy, any_model: bool, may_retry: bool) -> ModelPlan:
    """The models for a request by its policy.

    One that there is no retry left for goes straight to the largest: a second stage counts
    as a retry.  A stream that its caller takes up again goes through the cascade like any
    other: after all gateways were killed, largest models for all streams would hold the
    engines up for seconds.
    """
    if not any_model or not route.models:
        return ModelPlan(("",), policy)
    models = select_models(policy, route.models)
    if not may_retry or route.attempts < 2:
        return ModelPlan(models[-1:], policy)
    return ModelPlan(models, policy)


def is_acceptable(plan: ModelPlan, model: str, confidence: float | None) -> bool:
    """Whether an answer is taken; `confidence` is 0 to 100, None where not told."""
    last = model == plan.models[-1]
    return last or confidence is None or cascade_stops(plan.policy, confidence / 100)


def next_model(
    plan: ModelPlan, model: str, first_s: Callable[[str], float | None], left_s: float
) -> str:
    """The model to ask after one whose answer is not good enough; empty where none is.

    The largest that is predicted to begin within what is left of the objective: an answer
    that comes late earns little, and a long prompt holds up others while it is read.
    `first_s` predicts the seconds to a model's first token, None where nobody serves it.

    >>> plan = ModelPlan(("s", "m", "l"), Policy(name="p", kind="cascade", models=[]))
    >>> next_model(plan, "s", {"m": 0.3, "l": 2.0}.get, 1.2)
    'm'
    """
    larger = plan.models[plan.models.index(model) + 1 :]
    for candidate in reversed(larger):
        predicted_s = first_s(candidate)
        if predicted_s is not None and predicted_s <= left_s:
            return candidate
    return ""
