"""Configuration, withdrawal and permissions under faults."""

from __future__ import annotations

import contextlib
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import httpx
from pytest_bdd import given, parsers, scenarios, then, when

from tests.harness.cluster import Cluster
from tests.harness.operator import confirm, plan_for, reset, revision, wait_revision
from tests.harness.oracle import runs, told

scenarios("features/config.feature")

MAX_IN_FORCE_S = 8.0
OBSERVATION_S = 2.0


class Watcher:
    """Loads both entries and records the revisions of each process in order."""

    def __init__(self, cluster: Cluster, model: str) -> None:
        self.cluster = cluster
        self.model = model
        self.on = True
        self.seen: dict[str, list[int]] = {}
        self.accepted_at = 0.0
        self.replies: list[httpx.Response] = []
        self.wanted = 0
        self.plan: dict[str, Any] = {}
        names = [*cluster.fleet.entries, *cluster.fleet.agents]
        jobs = [(self._load, name) for name in cluster.entry_names]
        jobs += [(self._poll_revision, name) for name in names]
        self.threads = [threading.Thread(target=job, args=(name,)) for job, name in jobs]
        for thread in self.threads:
            thread.start()

    def _load(self, entry: str) -> None:
        while self.on:
            with contextlib.suppress(httpx.HTTPError, OSError):
                self.cluster.chat(entry, tokens=3, model=self.model, timeout=5)
            time.sleep(0.03)

    def _poll_revision(self, name: str) -> None:
        while self.on:
            rev = revision(self.cluster, name)
            if rev:
                self.seen.setdefault(name, []).append(rev)
            time.sleep(0.05)

    def stop(self) -> None:
        self.on = False
        for thread in self.threads:
            thread.join()


@given(parsers.parse('a small fleet under a steady load on "{model}"'), target_fixture="watcher")
def loaded(cluster: Cluster, model: str) -> Iterator[Watcher]:
    reset(cluster)
    watcher = Watcher(cluster, model)
    time.sleep(0.3)
    yield watcher
    watcher.stop()
    cluster.heal()
    reset(cluster)


def cut(*names: str) -> Callable[[Cluster], None]:
    def act(cluster: Cluster) -> None:
        for name in names:
            cluster.platform_proxy[name].set("cut")

    return act


def no_fault(cluster: Cluster) -> None:
    """Injects no fault."""


def hang_watches(cluster: Cluster) -> None:
    cluster.fault("platform", mode="slow", path="/watch", seconds=60)
    for proxy in cluster.platform_proxy.values():
        proxy.set("cut")
        proxy.set("pass")


def platform_down(cluster: Cluster) -> None:
    cluster.fault("platform", mode="down")


def restart_in_outage(name: str) -> Callable[[Cluster], None]:
    def act(cluster: Cluster) -> None:
        cluster.kill(name)
        cluster.fault("platform", mode="down")
        cluster.spawn(name)

    return act


BEFORE: dict[str, Callable[[Cluster], None]] = {
    "entry-1 is cut from the platform": cut("entry-1"),
    "agent-1 is cut from the platform": cut("agent-1"),
    "entry-1 and all agents are cut from it": cut("entry-1", "agent-1", "agent-2", "agent-3"),
    "the watch of every process hangs": hang_watches,
}
AFTER: dict[str, Callable[[Cluster], None]] = {
    "the platform goes down right after": platform_down,
    "entry-1 is born in an outage": restart_in_outage("entry-1"),
    "agent-1 is born in an outage": restart_in_outage("agent-1"),
}


def make_plan(cluster: Cluster, entry: str, **intent: Any) -> dict[str, Any]:
    got = plan_for(cluster, entry, intent)
    assert got.status_code == 200, got.text
    plan: dict[str, Any] = got.json()
    return plan


def carry_out(cluster: Cluster, watcher: Watcher, fault: str, **intent: Any) -> None:
    BEFORE.get(fault, no_fault)(cluster)
    plan = make_plan(cluster, "entry-2", **intent)
    got = confirm(cluster, "entry-2", plan["plan_id"])
    watcher.accepted_at = time.time()
    assert got.status_code == 200, got.text
    watcher.wanted = got.json()["revision"]
    AFTER.get(fault, no_fault)(cluster)


@when(parsers.parse('"{name}" is withdrawn while "{fault}"'))
def withdrawn(cluster: Cluster, watcher: Watcher, name: str, fault: str) -> None:
    model, _, version = name.partition("@")
    carry_out(cluster, watcher, fault, kind="withdraw", model=model, version=version)


@when(parsers.parse('workspace "{ws}" loses "{model}" while "{fault}"'))
def loses(cluster: Cluster, watcher: Watcher, ws: str, model: str, fault: str) -> None:
    allow = [m for m in ("small", "large") if m != model]
    carry_out(cluster, watcher, fault, kind="permissions", workspace=ws, allow=allow)


@then("within 8 seconds no upstream begins a request on it")
def none_begun(cluster: Cluster, watcher: Watcher) -> None:
    wait_revision(cluster, watcher.wanted, MAX_IN_FORCE_S)
    time.sleep(OBSERVATION_S)
    begun = [line["at"] for line in runs(cluster) if line["model"] == watcher.model]
    last = max(begun) - watcher.accepted_at
    print(f"last run began {last:.2f} s after the change was accepted")
    assert begun and last < MAX_IN_FORCE_S


@then("every process that runs has the new revision")
def all_have(cluster: Cluster, watcher: Watcher) -> None:
    assert wait_revision(cluster, watcher.wanted, 1) == []


@then("no process ever went back to a lower revision")
def never_back(watcher: Watcher) -> None:
    for name, seen in watcher.seen.items():
        assert seen == sorted(seen), (name, seen)


@then(parsers.parse('its requests are refused with "{code}" and ran "{ran}"'))
def refused(cluster: Cluster, watcher: Watcher, code: str, ran: str) -> None:
    for name in cluster.entry_names:
        reply = told("", cluster.chat(name, model=watcher.model))
        assert (reply.code, reply.ran) == (code, ran)


@when("the platform is put back to an older document")
def put_back(cluster: Cluster, watcher: Watcher) -> None:
    held = cluster.http.get(f"{cluster.platform}/objects/config/current").json()
    old = cluster.fleet.doc | {"revision": 1, "plan_id": "older"}
    head = {"if-match": str(held["version"])}
    cluster.http.put(f"{cluster.platform}/objects/config/current", json=old, headers=head)
    time.sleep(OBSERVATION_S)
    again = cluster.http.get(f"{cluster.platform}/objects/config/current").json()
    head = {"if-match": str(again["version"])}
    cluster.http.put(f"{cluster.platform}/objects/config/current", json=held["value"], headers=head)


@when("two operators confirm plans for the same revision at both entries")
def race(cluster: Cluster, watcher: Watcher) -> None:
    plans = [
        make_plan(cluster, "entry-1", kind="limits", workspace="mesob", concurrency=150),
        make_plan(cluster, "entry-2", kind="limits", workspace="mesob", concurrency=160),
    ]
    threads = [
        threading.Thread(
            target=lambda e, p: watcher.replies.append(confirm(cluster, e, p["plan_id"])),
            args=pair,
        )
        for pair in zip(cluster.entry_names, plans, strict=True)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@then(parsers.parse('one is in force and the other is told "{code}"'))
def one_wins(watcher: Watcher, code: str) -> None:
    replies = sorted(watcher.replies, key=lambda r: r.status_code)
    assert [r.status_code for r in replies] == [200, 409]
    assert replies[1].json()["error"]["code"] == code


@when("the platform loses its replies while a plan is confirmed")
def lost_confirm(cluster: Cluster, watcher: Watcher) -> None:
    plan = make_plan(cluster, "entry-1", kind="limits", workspace="mesob", concurrency=170)
    watcher.plan = plan
    watcher.wanted = plan["revision"] + 1
    cluster.fault("platform", mode="lost_reply", path="/objects/config", method="PUT")
    watcher.replies.append(confirm(cluster, "entry-1", plan["plan_id"]))
    cluster.fault("platform", mode="none")


@then("confirming again answers the same revision")
def again(cluster: Cluster, watcher: Watcher) -> None:
    for entry in ("entry-2", "entry-1"):
        got = confirm(cluster, entry, watcher.plan["plan_id"])
        assert got.status_code == 200 and got.json()["revision"] == watcher.wanted


@then("the revision rose by one")
def rose_by_one(cluster: Cluster, watcher: Watcher) -> None:
    assert wait_revision(cluster, watcher.wanted) == []
    assert revision(cluster, "entry-1") == watcher.wanted
