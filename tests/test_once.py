"""At most once, true "not run", billed once."""

from __future__ import annotations

import time
import uuid

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from tests.faults import CASES, Caller
from tests.harness.cluster import Cluster
from tests.harness.oracle import Told, runs, runs_of, told, wait_bills, wait_runs_over

scenarios("features/once.feature")


class Case:
    """A keyed request and what callers heard of it."""

    def __init__(self) -> None:
        self.key = f"key-{uuid.uuid4()}"
        self.heard: list[Told] = []
        self.false_not_run = False


@pytest.fixture
def case() -> Case:
    return Case()


@given("a small fleet")
def small_fleet(cluster: Cluster) -> None:
    """The fixture starts it."""


@when(parsers.parse('a keyed request meets "{fault}"'))
def meets(cluster: Cluster, case: Case, fault: str) -> None:
    case.heard = CASES[fault](cluster, case.key)
    case.false_not_run = any(w.ran == "no" for w in case.heard) and bool(runs_of(cluster, case.key))


@when("its key is repeated through the other entry")
def repeated(cluster: Cluster, case: Case) -> None:
    case.heard += Caller(cluster, "entry-2", case.key, _tokens(cluster, case)).heard()


def _tokens(cluster: Cluster, case: Case) -> int:
    """As many as the first request asked for: a repeat is the same request."""
    whole = [word for word in case.heard if word.served]
    return whole[0].text.count("w") + 1 if whole else 60


@then("it ran at most once")
def at_most_once(cluster: Cluster, case: Case) -> None:
    wait_runs_over(cluster)
    assert len(runs_of(cluster, case.key)) <= 1


@then("it was billed as often as it ended")
def billed(cluster: Cluster, case: Case) -> None:
    served = {word.request_id for word in case.heard if word.served}
    assert len(served) <= 1
    bills = wait_bills(cluster, served)
    ran = {line["request_id"] for line in runs_of(cluster, case.key)}
    for request_id in ran | served:
        lines = len(bills.get(request_id, {}))
        assert lines == 1 if request_id in served else lines <= 1


@then('no "not run" was false')
def refusals_true(cluster: Cluster, case: Case) -> None:
    """Nothing may have run by the time a "not run" was heard, nor later without being told."""
    assert not case.false_not_run, case.heard
    if runs_of(cluster, case.key):
        assert any(word.ran != "no" for word in case.heard), case.heard


@then(parsers.parse('the last word was "{last}"'))
def last_word(case: Case, last: str) -> None:
    word = case.heard[-1]
    assert (word.code or "served") == last, case.heard


@when("all agents are frozen, a request is given up on, and they are thawed")
def frozen_agents(cluster: Cluster, case: Case) -> None:
    agents = list(cluster.fleet.agents)
    for name in agents:
        cluster.freeze(name)
    case.heard = [told("", cluster.chat("entry-1", tokens=3, ramppost_deadline_ms="700"))]
    for name in agents:
        cluster.thaw(name)
    time.sleep(1)
    wait_runs_over(cluster)


@then('no "not run" was false by request id')
def true_by_id(cluster: Cluster, case: Case) -> None:
    ran = {line["request_id"] for line in runs(cluster)}
    for word in case.heard:
        assert word.request_id and not word.served
        assert word.ran != "no" or word.request_id not in ran, word


@when(parsers.parse('a keyed request for "{model}" is sent through both entries in turn'))
def keyed_auto(cluster: Cluster, case: Case, model: str) -> None:
    for entry in cluster.entry_names * 2:
        case.heard.append(told(case.key, cluster.chat(entry, case.key, 5, model=model)))
