"""Sessions stay on the model version that they started with."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

from pytest_bdd import given, parsers, scenarios, then, when

from ramppost import clock
from tests.harness.cluster import Cluster
from tests.harness.operator import confirm
from tests.harness.oracle import Told, told, wait_runs_over
from tests.test_config import make_plan, reset, revision, wait_revision

scenarios("features/sessions.feature")


class HeldSession:
    """A session and the reply to its last request."""

    def __init__(self, token: str) -> None:
        self.token = token
        self.reply: Told | None = None


@given(parsers.parse('a small fleet with a session on "{name}"'), target_fixture="held")
def session(cluster: Cluster, name: str) -> Iterator[HeldSession]:
    reset(cluster)
    got = cluster.chat("entry-1", model=name)
    assert got.status_code == 200
    yield HeldSession(got.headers["ramppost-session"])
    reset(cluster)


def change(cluster: Cluster, **intent: Any) -> None:
    plan = make_plan(cluster, "entry-1", **intent)
    got = confirm(cluster, "entry-1", plan["plan_id"])
    assert got.status_code == 200, got.text
    assert wait_revision(cluster, got.json()["revision"]) == []


def roll_out(cluster: Cluster) -> None:
    intent = {"steps": [0.5, 1.0], "step_s": 0.3, "min_requests": 0}
    change(cluster, kind="rollout", model="large", version="v2", **intent)
    deadline = clock.now() + 20
    while cluster.chat("entry-1").headers.get("ramppost-model") != "large@v2":
        assert clock.now() < deadline
    rev = revision(cluster, "entry-1")
    wait_revision(cluster, rev)


def restart(*names: str) -> Callable[[Cluster], None]:
    def act(cluster: Cluster) -> None:
        for name in names:
            assert cluster.stop_planned(name) == 0
            cluster.spawn(name)
        cluster.wait_ready()

    return act


def rotate(cluster: Cluster) -> None:
    change(cluster, kind="rotate_session_key")


CHANGES: dict[str, Callable[[Cluster], None]] = {
    "nothing": lambda cluster: None,
    "a roll-out of large@v2 to its end": roll_out,
    "a restart of both entries": restart("entry-1", "entry-2"),
    "a restart of all agents": restart("agent-1", "agent-2", "agent-3"),
    "a rotation of the session key": rotate,
}


@when(parsers.parse('"{name}" happens'))
def happens(cluster: Cluster, held: HeldSession, name: str) -> None:
    CHANGES[name](cluster)


@then(parsers.parse('{n:d} further requests of the session at both entries run on "{name}"'))
def keep(cluster: Cluster, held: HeldSession, n: int, name: str) -> None:
    for number in range(n):
        entry = cluster.entry_names[number % 2]
        got = cluster.chat(entry, tokens=2, ramppost_session=held.token)
        assert got.status_code == 200, got.text
        assert got.headers["ramppost-model"] == name
    wait_runs_over(cluster)


def dropped(cluster: Cluster, token: str) -> str:
    rotate(cluster)
    rotate(cluster)
    return token


def withdrawn(cluster: Cluster, token: str) -> str:
    change(cluster, kind="withdraw", model="large", version="v1")
    return token


def foreign(cluster: Cluster, token: str) -> str:
    return cluster.chat("entry-2", token="toll-dev").headers["ramppost-session"]


BAD_TOKENS: dict[str, Callable[[Cluster, str], str]] = {
    "forged": lambda cluster, token: token[:-2] + ("AA" if token[-2:] != "AA" else "BB"),
    "cut short": lambda cluster, token: token[: len(token) // 2],
    "of another workspace": foreign,
    "of a key dropped since": dropped,
    "of a version withdrawn since": withdrawn,
    "for another model": lambda cluster, token: token,
}


@when(parsers.parse('a request brings a token that is "{kind}"'))
def brings(cluster: Cluster, held: HeldSession, kind: str) -> None:
    token = BAD_TOKENS[kind](cluster, held.token)
    model = "small" if kind == "for another model" else "large"
    held.reply = told("", cluster.chat("entry-2", model=model, ramppost_session=token))


@then(parsers.parse('it is refused with "{code}" and ran "{ran}"'))
def refused(held: HeldSession, code: str, ran: str) -> None:
    assert held.reply is not None
    assert (held.reply.code, held.reply.ran) == (code, ran)
