"""Policies at gateways, by the operators' commands against real processes."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections.abc import Iterator
from typing import Any

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from tests.harness.gateways import HOST, STREAM, Deployment

scenarios("features/gateway_policies.feature")

ENGINES = ("lm-1", "lm-2")
GATEWAYS = ("gateway-1", "gateway-2")
TOKEN = "operator-token"
REQUESTS = 24
"""Of so many sessions, both halves of a comparison get some at each gateway (all but surely)."""


@pytest.fixture
def site(tmp_path: Any) -> Iterator[Deployment]:
    found = Deployment(tmp_path)
    yield found
    found.stop()


class Operated:
    """A deployment, what its operator was told, and runs before the last requests."""

    def __init__(self, site: Deployment) -> None:
        self.site = site
        self.before: dict[str, int] = {}
        self.last: subprocess.CompletedProcess[str] | None = None
        self.told: list[subprocess.CompletedProcess[str]] = []

    def cli(self, *args: str, token: str = TOKEN) -> subprocess.CompletedProcess[str]:
        """Run a command against the first gateway."""
        entry = self.site.internal_addr(GATEWAYS[0])
        command = [sys.executable, "-m", "ramppost", *args, "--entry", entry]
        return self._run(command, token)

    def init(self) -> subprocess.CompletedProcess[str]:
        """Write the first document."""
        store = f"{HOST}:{self.site.port('store')}"
        args = ["policy", "init", "--store", store, "--token", TOKEN]
        return self._run([sys.executable, "-m", "ramppost", *args], TOKEN)

    def _run(self, command: list[str], token: str) -> subprocess.CompletedProcess[str]:
        env = {**os.environ, "RAMPPOST_TOKEN": token}
        return subprocess.run(
            command, capture_output=True, text=True, timeout=60, env=env, check=False
        )

    def plan(self, *wish: str) -> str:
        """Plan a wish; the plan's id."""
        got = self.cli("plan", *wish, "--json")
        assert got.returncode == 0, got
        return str(json.loads(got.stdout)["plan_id"])

    def carry_out(self, *wish: str) -> None:
        """Plan a wish and confirm it everywhere."""
        got = self.cli("confirm", self.plan(*wish), "--wait")
        assert got.returncode == 0 and "in force everywhere" in got.stdout, got

    def report(self) -> dict[str, dict[str, Any]]:
        """What `policy compare` tells, by policy."""
        lines = json.loads(self.cli("policy", "compare", "--json").stdout)
        return {line["policy"]: line for line in lines}

    def models(self) -> set[str]:
        """Models that ran since the last requests began."""
        runs = [r for e in ENGINES for r in self.site.runs(e)[self.before[e] :]]
        return {run["model"] for run in runs}


@given(
    "two gateways before engines whose large model is better and ten times as dear",
    target_fixture="seen",
)
def deployment(site: Deployment) -> Operated:
    for name in ENGINES:
        site.behave(name, confidences={"small": 70, "middle": 80, "large": 99})
    return Operated(site)


@given("an operator")
def operator(seen: Operated) -> None:
    assert seen.init().returncode == 0
    seen.site.until(lambda: "revision" in seen.cli("status").stdout, 10)
    seen.site.until(lambda: all(seen.site.peers_known(name) for name in GATEWAYS), 10)


@when("requests are made")
def requests(seen: Operated) -> None:
    seen.before = {name: len(seen.site.runs(name)) for name in ENGINES}
    for name in GATEWAYS:
        for _ in range(REQUESTS):
            assert seen.site.call(name, STREAM).status == 200


@when("the operator defines best as the largest model and gives it half of the kitchen's sessions")
def compare(seen: Operated) -> None:
    seen.carry_out("cascade", "--policy", "best", "--models", "largest")
    seen.carry_out("compare", "--workspace", "kitchen", "--split", "best=0.5,default=0.5")


@when("the operator ends the comparison with best")
def end(seen: Operated) -> None:
    seen.carry_out("end-compare", "--workspace", "kitchen", "--policy", "best")


@when("the operator plans that the kitchen uses best")
def planned(seen: Operated) -> None:
    seen.carry_out("cascade", "--policy", "best", "--models", "largest")
    seen.plan("compare", "--workspace", "kitchen", "--split", "best=1")


@when("the operator makes two plans and confirms the first one twice and then the second")
def two_plans(seen: Operated) -> None:
    first = seen.plan("cascade", "--policy", "a", "--models", "small")
    second = seen.plan("cascade", "--policy", "b", "--models", "large")
    seen.told = [seen.cli("confirm", plan) for plan in (first, first, second)]


@when("the operator confirms a plan while the store loses its answers")
def lost_answer(seen: Operated) -> None:
    plan = seen.plan("cascade", "--policy", "a", "--models", "small")
    seen.site.fault("store", mode="lost_reply", method="PUT")
    seen.told = [seen.cli("confirm", plan)]
    seen.site.fault("store", mode="none")
    seen.told.append(seen.cli("confirm", plan, "--wait"))


@when(parsers.re("(?P<who>a stranger|the operator) plans (?P<wish>.+ --.+)"))
def plans(seen: Operated, who: str, wish: str) -> None:
    token = TOKEN if who == "the operator" else "unknown"
    seen.last = seen.cli("plan", *wish.split(), token=token)


@when("the first document is written again")
def again(seen: Operated) -> None:
    seen.last = seen.init()


@then("each gateway serves both policies")
def both(seen: Operated) -> None:
    for name in GATEWAYS:
        served = {line.get("policy") for line in seen.site.lines(name) if line.get("policy")}
        assert {"default", "best"} <= served, name


@then("the report tells that best is better and dearer than default")
def better(seen: Operated) -> None:
    report = seen.report()
    best, default = report["best"], report["default"]
    assert best["quality_low"] > default["quality_high"]
    best_each = best["cost"] / best["requests"]
    assert best_each > 5 * default["cost"] / default["requests"]


@then("only the largest model has run since")
def only_largest(seen: Operated) -> None:
    assert seen.models() == {"large"}


@then("the report tells of default alone")
def default_alone(seen: Operated) -> None:
    assert set(seen.report()) == {"default"}


@then("both confirmations of the first tell one revision and the second is refused as stale_plan")
def stale(seen: Operated) -> None:
    first, repeated, second = seen.told
    assert first.returncode == 0 and first.stdout == repeated.stdout
    assert second.returncode == 1 and "stale_plan" in second.stderr


@then("confirming it again tells its revision, and it is in force")
def found_again(seen: Operated) -> None:
    assert seen.told[-1].returncode == 0 and "in force everywhere" in seen.told[-1].stdout


@then(parsers.parse("it is refused as {code}"))
def refused(seen: Operated, code: str) -> None:
    assert seen.last is not None
    assert seen.last.returncode == 1 and code in seen.last.stderr, seen.last


@then("that is refused")
def not_again(seen: Operated) -> None:
    assert seen.last is not None
    assert seen.last.returncode == 1 and "there is one already" in seen.last.stderr


@then("the burn report tells the kitchen's stream route with nothing bad")
def burn(seen: Operated) -> None:
    reports = json.loads(seen.cli("report", "burn", "--json").stdout)
    assert len(reports) == len(GATEWAYS)
    for report in reports:
        lines = {(c["workspace"], c["class_name"]): c for c in report["classes"]}
        line = lines["kitchen", "stream"]
        assert line["good"] >= REQUESTS and line["bad"] == 0 and line["p99_ms"] > 0
