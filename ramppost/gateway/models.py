"""Which models answer a request, in which order, and when an answer is good enough."""

from __future__ import annotations

from typing import Final, NamedTuple

from ramppost.gateway.model import Route
from ramppost.policy.routing import cascade_stops
from ramppost.schema.config import Policy

DEFAULT_POLICY: Final = Policy(name="default", kind="cascade", models=[], threshold=0.6)
"""A cascade over a route's smallest and largest model.  Gains are flat between thresholds of
0.5 and 0.7 (trial with one run each)."""


class ModelPlan(NamedTuple):
    """Models to try in order, empty names where the caller's own stands, and the policy."""

    stages: tuple[str, ...]
    policy: Policy


def model_plan(route: Route, any_model: bool, resumes: bool, may_retry: bool) -> ModelPlan:
    """The models for a request.

    A stream that is taken up again goes straight to the largest, and so does one that
    there is no retry left for: a cascade's second stage counts as a retry.
    """
    if not any_model or not route.models:
        return ModelPlan(("",), DEFAULT_POLICY)
    if resumes or not may_retry or route.attempts < 2 or len(route.models) == 1:
        return ModelPlan((route.models[-1],), DEFAULT_POLICY)
    return ModelPlan((route.models[0], route.models[-1]), DEFAULT_POLICY)


def good_enough(plan: ModelPlan, stage: int, confidence: float | None) -> bool:
    """Whether a stage's answer is taken; `confidence` is 0 to 100, None where not told."""
    last = stage == len(plan.stages) - 1
    return last or confidence is None or cascade_stops(plan.policy, confidence / 100)
