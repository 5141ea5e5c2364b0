"""Roll-outs and their guards, with real processes."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator
from typing import Any

import httpx
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from ramppost import clock
from tests.harness.cluster import Cluster
from tests.harness.operator import carried_out, document, reset
from tests.harness.oracle import runs, wait_runs_over

scenarios("features/rollouts.feature")

FAULTS: dict[str, dict[str, Any]] = {
    "fails half its runs": {"mode": "errors", "share": 0.5},
    "answers slowly": {"mode": "slow_tokens", "seconds": 0.04},
    "is rated worse": {"mode": "poor", "factor": 0.8},
}
TRIAL = {"model": "large", "version": "v2"}
TOKENS = 5
CALLERS = 6
WARM_REQUESTS = 40
MORE_REQUESTS = 20


class Traffic:
    """Starts new sessions through both entries until stopped."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.on = True
        self.statuses: list[int] = []
        self.threads = [threading.Thread(target=self._call, args=(i,)) for i in range(CALLERS)]
        for thread in self.threads:
            thread.start()

    def _call(self, number: int) -> None:
        turn = number
        while self.on:
            turn += 1
            entry = self.cluster.entry_names[turn % len(self.cluster.entry_names)]
            try:
                self.statuses.append(self.cluster.chat(entry, tokens=TOKENS).status_code)
            except httpx.HTTPError:
                time.sleep(0.1)

    def wait(self, count: int) -> None:
        """Waits until this many more requests are answered."""
        wanted = len(self.statuses) + count
        deadline = clock.now() + 30
        while len(self.statuses) < wanted:
            assert clock.now() < deadline
            time.sleep(0.02)

    def stop(self) -> None:
        self.on = False
        for thread in self.threads:
            thread.join()


def trial_runs(cluster: Cluster) -> list[dict[str, Any]]:
    """Returns the runs of the trial version."""
    return [line for line in runs(cluster) if line["version"] == TRIAL["version"]]


def last_rollout(cluster: Cluster) -> dict[str, Any]:
    """Returns the last roll-out in the configuration in force at entry-1."""
    found = document(cluster, "entry-1")["rollouts"]
    return found[-1] if found else {"state": "none"}


def wait_for_state(cluster: Cluster, state: str, seconds: float) -> dict[str, Any]:
    """Waits until the last roll-out has a state and returns it."""
    deadline = clock.now() + seconds
    while (found := last_rollout(cluster))["state"] != state:
        assert clock.now() < deadline, (found["state"], found.get("note"))
        time.sleep(0.1)
    return found


@given('a small fleet with "large@v1" in use', target_fixture="traffic")
def in_use(cluster: Cluster) -> Iterator[Traffic]:
    reset(cluster)
    wait_runs_over(cluster)
    traffic = Traffic(cluster)
    traffic.wait(WARM_REQUESTS)
    yield traffic
    traffic.stop()


@pytest.fixture
def before(cluster: Cluster) -> int:
    """Returns the number of runs of the trial version before the scenario."""
    return len(trial_runs(cluster))


@when(parsers.parse('"large@v2" is rolled out and "{fault}"'))
def rolled_out_bad(cluster: Cluster, before: int, fault: str) -> None:
    for engine in cluster.fleet.engines:
        cluster.fault(engine, **TRIAL, **FAULTS[fault])
    intent = {"steps": [0.3, 1.0], "step_s": 60, "min_requests": 1000}
    carried_out(cluster, "entry-1", kind="rollout", **TRIAL, **intent)


@then(
    parsers.parse('it is withdrawn by itself within {seconds:d} seconds because of its "{guard}"')
)
def withdrawn(cluster: Cluster, seconds: int, guard: str) -> None:
    assert guard in wait_for_state(cluster, "withdrawn", seconds)["note"]


@then(parsers.parse("at most {n:d} requests reached it, and nothing new does"))
def exposure_is_bounded(cluster: Cluster, traffic: Traffic, before: int, n: int) -> None:
    traffic.wait(MORE_REQUESTS)
    reached = len(trial_runs(cluster))
    traffic.wait(MORE_REQUESTS)
    assert len(trial_runs(cluster)) == reached
    assert 0 < reached - before <= n


@when(
    parsers.parse('"large@v2" is rolled out to all with at most {n:d} requests exposed'),
    target_fixture="stopped",
)
def rolled_out_capped(cluster: Cluster, traffic: Traffic, before: int, n: int) -> Traffic:
    traffic.stop()
    intent = {"steps": [1.0], "step_s": 600, "max_exposed": n}
    carried_out(cluster, "entry-1", kind="rollout", **TRIAL, **intent)
    return traffic


@then(
    parsers.parse(
        "of {count:d} requests through both entries at most {n:d} reach it, and all are served"
    )
)
def capped(cluster: Cluster, before: int, count: int, n: int) -> None:
    got = [cluster.chat(cluster.entry_names[i % 2], tokens=2) for i in range(count)]
    assert {answer.status_code for answer in got} == {200}
    assert 0 < len(trial_runs(cluster)) - before <= n


@when('"large@v2" is rolled out and all entries are killed and started again')
def interrupted(cluster: Cluster, traffic: Traffic) -> None:
    intent = {"steps": [0.5, 1.0], "step_s": 3, "min_requests": 5}
    carried_out(cluster, "entry-1", kind="rollout", **TRIAL, **intent)
    traffic.wait(MORE_REQUESTS)
    for name in cluster.entry_names:
        cluster.kill(name)
    for name in cluster.entry_names:
        cluster.spawn(name)
    cluster.wait_ready()


@then("the roll-out goes on to its end")
def goes_on(cluster: Cluster) -> None:
    wait_for_state(cluster, "done", 40)
