"""Fenced orders to engines."""

from __future__ import annotations

import os
import time
from collections.abc import Iterator
from typing import Any

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from ramppost import clock
from ramppost.agent.orders import REORDER_DELAY_S
from ramppost.policy.orders import LoadOrder, orders_due
from ramppost.policy.permissions import ModelVersion
from ramppost.standin.fleet import ENGINE_MODELS, MESOB, config_doc
from tests.conftest import SMALL_FLEET
from tests.harness.cluster import Cluster
from tests.harness.operator import carried_out, confirm, plan_for, reset
from tests.harness.oracle import runs

scenarios("features/orders.feature")

TRIAL = {"model": "large", "version": "v2"}
TRIAL_NAME = "large@v2"
STABLE_VERSION, TRIAL_VERSION = ModelVersion("large", "v1"), ModelVersion("large", "v2")
DUE_CASES: list[tuple[str, str, set[ModelVersion], list[LoadOrder]]] = [
    ("running, not loaded", "running", {STABLE_VERSION}, [LoadOrder(1, TRIAL_VERSION)]),
    ("running, loaded", "running", {STABLE_VERSION, TRIAL_VERSION}, []),
    ("running, of a model that is not served", "running", {ModelVersion("small", "v1")}, []),
    ("withdrawn", "withdrawn", {STABLE_VERSION}, []),
]


@pytest.mark.parametrize(
    ("name", "state", "served", "due"), DUE_CASES, ids=[c[0] for c in DUE_CASES]
)
def test_orders_due(name: str, state: str, served: set[ModelVersion], due: list[LoadOrder]) -> None:
    doc = config_doc(MESOB)
    doc["rollouts"] = [
        {
            "model": "large", "stable": "v1", "trial": "v2", "steps": [1.0], "step": 0,
            "step_s": 1, "state": state, "max_error_share": 0.2, "max_rating_drop": 0.1,
        }  # type: ignore[typeddict-item]
    ]  # fmt: skip
    assert orders_due(doc, served) == due


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    """Starts a small fleet whose engines load the trial version only when ordered to."""
    models = [m | {"loaded": m["version"] != TRIAL["version"]} for m in ENGINE_MODELS]
    plan = SMALL_FLEET._replace(engine_models=models)
    ablate = os.environ.get("RAMPPOST_ABLATE", "")
    cluster = Cluster(tmp_path_factory.mktemp("fleet"), plan, ablate)
    for name in cluster.fleet.engines:
        cluster.settings[name].update(load_s=0.3, checks_fences=name == "engine-1")
    cluster.rewrite()
    yield cluster.start()
    cluster.stop()


@given(parsers.parse('a small fleet whose engines have not loaded "{version}"'))
def not_loaded(cluster: Cluster) -> None:
    """Restarts the engines, so that the version is not loaded."""
    reset(cluster)
    for name in cluster.fleet.engines:
        cluster.kill(name)
        cluster.spawn(name)
    cluster.heal()
    deadline = clock.now() + 10
    while any(TRIAL_NAME in line["versions"] for line in agent_statuses(cluster)):
        assert clock.now() < deadline
        time.sleep(0.1)


def agent_statuses(cluster: Cluster) -> list[dict[str, Any]]:
    """Returns the status of each engine's agent."""
    names = [n.replace("engine", "agent") for n in cluster.fleet.engines]
    return [cluster.agent_status(name) for name in names]


def orders(cluster: Cluster, engine: str) -> list[dict[str, Any]]:
    """Returns the orders that an engine received."""
    return list(cluster.http.get(cluster.internal(engine) + "/_orders").json())


@when('"large@v2" is rolled out', target_fixture="revision")
def rolled_out(cluster: Cluster) -> int:
    return carried_out(cluster, "entry-1", kind="rollout", **TRIAL, steps=[1.0], step_s=600)


@when(
    '"large@v2" is rolled out while engine-1 gives no answer, and refuses orders later',
    target_fixture="revision",
)
def rolled_out_unreached(cluster: Cluster) -> int:
    cluster.upstream_proxy["agent-1"].set("cut")
    revision = rolled_out(cluster)
    time.sleep(1)
    cluster.fault("engine-1", mode="down", path="/order")
    cluster.upstream_proxy["agent-1"].set("pass")
    time.sleep(2)
    cluster.fault("engine-1", mode="none")
    return revision


@then(
    parsers.parse(
        "every engine has it within {seconds:d} seconds, "
        "by one order taken under the roll-out's revision"
    )
)
def loaded(cluster: Cluster, revision: int, seconds: int) -> None:
    deadline = clock.now() + seconds
    while not all(TRIAL_NAME in line["versions"] for line in agent_statuses(cluster)):
        assert clock.now() < deadline
        time.sleep(0.1)
    for engine in cluster.fleet.engines:
        taken = [o for o in orders(cluster, engine) if o["status"] == 200]
        assert [(o["fence"], o["name"]) for o in taken] == [(revision, TRIAL_NAME)]


@then("requests reach it")
def reached(cluster: Cluster) -> None:
    deadline = clock.now() + 10
    while not any(line["version"] == "v2" for line in runs(cluster)):
        assert clock.now() < deadline
        cluster.chat("entry-1", tokens=2)


@when('agent-1 is paused with an order to give, and "large@v2" is withdrawn meanwhile')
def paused(cluster: Cluster) -> None:
    cluster.upstream_proxy["agent-1"].set("cut")
    rolled_out(cluster)
    time.sleep(3)
    cluster.freeze("agent-1")
    time.sleep(7)
    for name in cluster.entry_names:
        cluster.entry_proxy[name].part({cluster.hall_ip(cluster.plan.halls[0])})
    cluster.platform_proxy["agent-1"].set("cut")
    plan = plan_for(cluster, "entry-2", {"kind": "withdraw", **TRIAL}).json()
    assert confirm(cluster, "entry-2", plan["plan_id"]).status_code == 200


@then("agent-1 gives no order when it wakes, until it has heard of the withdrawal")
def no_order(cluster: Cluster) -> None:
    cluster.upstream_proxy["agent-1"].set("pass")
    cluster.thaw("agent-1")
    time.sleep(REORDER_DELAY_S + 1.5)
    assert orders(cluster, "engine-1") == []
    cluster.heal()
    time.sleep(REORDER_DELAY_S)
    assert orders(cluster, "engine-1") == []
