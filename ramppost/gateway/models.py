"""Determines the models for a request, their order, and whether a response is acceptable."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from ramppost.gateway.model import Route
from ramppost.policy.policydoc import select_models
from ramppost.policy.pressure import relaxed_threshold
from ramppost.policy.routing import DEFAULT_THRESHOLD, cascade_stops
from ramppost.schema.config import Policy


class ModelPlan(NamedTuple):
    """The models that may run a request, smallest first, and the policy that selected them.

    `models` holds a single empty name if the model named by the caller is used.
    """

    models: tuple[str, ...]
    policy: Policy


def adjusted_for_load(policy: Policy, shortage: float, read_s: float) -> Policy:
    """Convert a `learned` policy to a cascade with a threshold adjusted to the load.

    `read_s` is the time in seconds that the larger model takes to read the prompt.
    """
    if policy["kind"] != "learned":
        return policy
    threshold = relaxed_threshold(policy.get("threshold", DEFAULT_THRESHOLD), shortage, read_s)
    return Policy(name=policy["name"], kind="cascade", models=policy["models"], threshold=threshold)


def model_plan(route: Route, policy: Policy, any_model: bool, may_retry: bool) -> ModelPlan:
    """The models for a request by its policy.

    A request without a remaining retry goes directly to the largest model, because a second stage
    counts as a retry.  A stream that its caller resumes uses the cascade like any other: after all
    gateways were killed, the largest model for all streams would block the engines for seconds.
    """
    if not any_model or not route.models:
        return ModelPlan(("",), policy)
    models = select_models(policy, route.models)
    if not may_retry or route.attempts < 2:
        return ModelPlan(models[-1:], policy)
    return ModelPlan(models, policy)


def is_acceptable(plan: ModelPlan, model: str, confidence: float | None) -> bool:
    """Whether a response is accepted; `confidence` is 0 to 100, None if not reported."""
    is_largest = model == plan.models[-1]
    return is_largest or confidence is None or cascade_stops(plan.policy, confidence / 100)


def next_model(
    plan: ModelPlan, model: str, predict_first_s: Callable[[str], float | None], left_s: float
) -> str:
    """The model to try after one whose response is not acceptable; empty if there is none.

    This is the largest model that is predicted to start within the rest of the objective: a late
    response is worth little, and reading a long prompt delays other requests.  `predict_first_s`
    predicts the seconds to a model's first token, or None if no upstream serves the model.

    >>> plan = ModelPlan(("s", "m", "l"), Policy(name="p", kind="cascade", models=[]))
    >>> next_model(plan, "s", {"m": 0.3, "l": 2.0}.get, 1.2)
    'm'
    """
    larger = plan.models[plan.models.index(model) + 1 :]
    for candidate in reversed(larger):
        predicted_s = predict_first_s(candidate)
        if predicted_s is not None and predicted_s <= left_s:
            return candidate
    return ""
