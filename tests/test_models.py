"""Which models answer, and how the choice gives way while engines are short."""

from __future__ import annotations

from typing import Any

import pytest

from ramppost.gateway.model import Route, Target
from ramppost.gateway.models import (
    ModelPlan,
    adjusted_for_load,
    is_acceptable,
    model_plan,
    next_model,
)
from ramppost.policy.policydoc import (
    DEFAULT_POLICY,
    PlatformCatalog,
    effective_policy,
    empty_doc,
    select_models,
    to_config,
)
from ramppost.policy.pressure import TYPICAL_READ_S, Pressure
from ramppost.schema.config import Policy, PolicyShare, WorkspacePolicies

NOW = 1000.0


PLAN = ModelPlan(("s", "m", "l"), DEFAULT_POLICY)


@pytest.mark.parametrize(
    ("model", "confidence", "taken"),
    [("s", 90, True), ("s", 20, False), ("s", None, True), ("m", 20, False), ("l", 20, True)],
)
def test_when_an_answer_is_taken(model: str, confidence: float | None, taken: bool) -> None:
    assert is_acceptable(PLAN, model, confidence) is taken


@pytest.mark.parametrize(
    ("predicted", "left_s", "chosen"),
    [
        ({"m": 0.1, "l": 0.3}, 1.0, "l"),
        ({"m": 0.3, "l": 2.0}, 1.0, "m"),
        ({"m": 1.3, "l": 2.0}, 1.0, ""),
        ({"m": 0.3}, 1.0, "m"),
        ({}, 1.0, ""),
    ],
)
def test_the_largest_model_that_is_in_time(
    predicted: dict[str, float], left_s: float, chosen: str
) -> None:
    assert next_model(PLAN, "s", predicted.get, left_s) == chosen


CASCADE_ROUTE = Route(
    name="r",
    host="h",
    prefix="/",
    streams=True,
    retry_mode="any",
    resumable=True,
    timeout_s=25.0,
    objective_s=3.0,
    gap_objective_s=1.2,
    attempts=3,
    priority=0,
    anonymous=False,
    models=("s", "m", "l"),
    targets=(Target("lm", 1.0),),
)


@pytest.mark.parametrize(
    ("any_model", "may_retry", "attempts", "models"),
    [
        (True, True, 3, ("s", "m", "l")),
        (True, False, 3, ("l",)),
        (True, True, 1, ("l",)),
        (False, True, 3, ("",)),
    ],
)
def test_which_models_may_answer(
    any_model: bool, may_retry: bool, attempts: int, models: tuple[str, ...]
) -> None:
    route = CASCADE_ROUTE._replace(attempts=attempts)
    assert model_plan(route, DEFAULT_POLICY, any_model, may_retry).models == models


@pytest.mark.parametrize(
    ("kind", "named", "models"),
    [
        ("fixed", ["largest"], ("l",)),
        ("fixed", ["m", "l"], ("m",)),
        ("cascade", ["smallest", "largest"], ("s", "l")),
        ("cascade", ["smallest", "s"], ("s",)),
        ("cascade", ["gone", "m"], ("m",)),
        ("cascade", ["gone"], ("s", "m", "l")),
        ("cascade", [], ("s", "m", "l")),
    ],
)
def test_the_models_that_a_policy_names(
    kind: Any, named: list[str], models: tuple[str, ...]
) -> None:
    assert select_models(Policy(name="p", kind=kind, models=named), ("s", "m", "l")) == models


def test_a_workspace_shares_its_sessions_among_its_policies() -> None:
    doc = empty_doc([])
    doc["policies"] = [Policy(name="best", kind="fixed", models=["largest"])]
    shares = [PolicyShare(policy="best", share=0.25), PolicyShare(policy="default", share=0.75)]
    doc["workspaces"] = [WorkspacePolicies(name="kitchen", policies=shares)]
    known = to_config(doc, 3, PlatformCatalog({"s": 0.1, "l": 1.0}, ["kitchen", "toll"]))
    chosen = [effective_policy(known, "kitchen", f"session-{i}")["name"] for i in range(4000)]
    assert 0.22 < chosen.count("best") / len(chosen) < 0.28
    assert {effective_policy(known, "toll", f"session-{i}")["name"] for i in range(50)} == {
        "default"
    }


@pytest.mark.parametrize(
    ("kind", "shortage", "read_s", "threshold"),
    [
        ("learned", 0.0, TYPICAL_READ_S, 0.5),
        ("learned", 0.5, TYPICAL_READ_S, 0.375),
        ("learned", 1.0, TYPICAL_READ_S, 0.25),
        ("learned", 1.0, TYPICAL_READ_S / 2, 0.375),
        ("learned", 1.0, 0.0, 0.5),
        ("learned", 0.0, 9.0, 0.5),
        ("cascade", 1.0, TYPICAL_READ_S, 0.5),
        ("cascade", 1.0, 9.0, 0.5),
    ],
)
def test_a_learned_threshold_gives_way_while_engines_are_short(
    kind: Any, shortage: float, read_s: float, threshold: float
) -> None:
    policy = Policy(name="p", kind=kind, models=[], threshold=0.5)
    assert adjusted_for_load(policy, shortage, read_s).get("threshold") == pytest.approx(threshold)


def test_engines_are_short_while_requests_wait_and_soon_no_more() -> None:
    pressure = Pressure()
    assert pressure.shortage(NOW) == 0.0
    for i in range(30):
        pressure.record_wait(0.02, NOW + i / 10)
    assert pressure.shortage(NOW + 3) == 0.0
    for i in range(30):
        pressure.record_wait(1.5, NOW + 3 + i / 30)
    assert pressure.shortage(NOW + 4) == 1.0
    for i in range(50):
        pressure.record_wait(0.02, NOW + 4 + i / 10)
    assert pressure.shortage(NOW + 9) == 0.0
