"""Requests run at most once, are billed once, and "not run" is reported only when it is true."""

from __future__ import annotations

import time
import uuid

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from tests.faults import CASES, RequestThread
from tests.harness.cluster import Cluster
from tests.harness.oracle import Told, runs, runs_of, told, wait_bills, wait_runs_over

scenarios("features/once.feature")


class Case:
    """A keyed request and the replies to its callers."""

    def __init__(self) -> None:
        self.key = f"key-{uuid.uuid4()}"
        self.replies: list[Told] = []
        self.wrong_not_run = False


@pytest.fixture
def case() -> Case:
    return Case()


@given("a small fleet")
def small_fleet(cluster: Cluster) -> None:
    """Does nothing: the fixture starts the fleet."""


@when(parsers.parse('a keyed request meets "{fault}"'))
def send_during_fault(cluster: Cluster, case: Case, fault: str) -> None:
    case.replies = CASES[fault](cluster, case.key)
    case.wrong_not_run = any(w.ran == "no" for w in case.replies) and bool(
        runs_of(cluster, case.key)
    )


@when("its key is repeated through the other entry")
def repeated(cluster: Cluster, case: Case) -> None:
    case.replies += RequestThread(cluster, "entry-2", case.key, _tokens(cluster, case)).replies()


def _tokens(cluster: Cluster, case: Case) -> int:
    """Returns the token count of the first request, since a repeat must be the same request."""
    served = [reply for reply in case.replies if reply.served]
    return served[0].text.count("w") + 1 if served else 60


@then("it ran at most once")
def at_most_once(cluster: Cluster, case: Case) -> None:
    wait_runs_over(cluster)
    assert len(runs_of(cluster, case.key)) <= 1


@then("it was billed as often as it ended")
def billed(cluster: Cluster, case: Case) -> None:
    served = {reply.request_id for reply in case.replies if reply.served}
    assert len(served) <= 1
    bills = wait_bills(cluster, served)
    ran = {line["request_id"] for line in runs_of(cluster, case.key)}
    for request_id in ran | served:
        lines = len(bills.get(request_id, {}))
        assert lines == 1 if request_id in served else lines <= 1


@then('no "not run" was false')
def not_run_is_true(cluster: Cluster, case: Case) -> None:
    """Checks that nothing ran before a "not run", nor later without another reply saying so."""
    assert not case.wrong_not_run, case.replies
    if runs_of(cluster, case.key):
        assert any(reply.ran != "no" for reply in case.replies), case.replies


@then(parsers.parse('the last word was "{last}"'))
def last_word(case: Case, last: str) -> None:
    reply = case.replies[-1]
    assert (reply.code or "served") == last, case.replies


@when("all agents are frozen, a request is given up on, and they are thawed")
def frozen_agents(cluster: Cluster, case: Case) -> None:
    agents = list(cluster.fleet.agents)
    for name in agents:
        cluster.freeze(name)
    case.replies = [told("", cluster.chat("entry-1", tokens=3, ramppost_deadline_ms="700"))]
    for name in agents:
        cluster.thaw(name)
    time.sleep(1)
    wait_runs_over(cluster)


@then('no "not run" was false by request id')
def not_run_is_true_by_request_id(cluster: Cluster, case: Case) -> None:
    ran = {line["request_id"] for line in runs(cluster)}
    for reply in case.replies:
        assert reply.request_id and not reply.served
        assert reply.ran != "no" or reply.request_id not in ran, reply


@when(parsers.parse('a keyed request for "{model}" is sent through both entries in turn'))
def send_through_entries(cluster: Cluster, case: Case, model: str) -> None:
    for entry in cluster.entry_names * 2:
        case.replies.append(told(case.key, cluster.chat(entry, case.key, 5, model=model)))
