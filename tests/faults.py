"""Fault cases by name: each sends a keyed request into a fault and tells what callers heard.

A case that kills an entry hears nothing of the request sent through it.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

import httpx

from ramppost import clock
from ramppost.entry.keyed import CLAIM_RETRY_AFTER_S
from tests.harness.cluster import Cluster
from tests.harness.operator import carried_out
from tests.harness.oracle import Told, runs_of, told

LONG = 60
STEP_S = 0.4
Case = Callable[[Cluster, str], list[Told]]


class Caller:
    """A request under way in a thread."""

    def __init__(self, cluster: Cluster, entry: str, key: str, tokens: int = LONG) -> None:
        self.told: Told | None = None
        self._args = (cluster, entry, key, tokens)
        self._thread = threading.Thread(target=self._send)
        self._thread.start()

    def _send(self) -> None:
        cluster, entry, key, tokens = self._args
        try:
            self.told = told(key, cluster.chat(entry, key, tokens))
        except httpx.HTTPError:
            self.told = None

    def heard(self) -> list[Told]:
        """What it was told, if it was told anything."""
        self._thread.join(60)
        return [self.told] if self.told else []


def nothing(cluster: Cluster, key: str) -> list[Told]:
    return Caller(cluster, "entry-1", key).heard()


def race(cluster: Cluster, key: str) -> list[Told]:
    callers = [Caller(cluster, name, key) for name in ("entry-1", "entry-2") * 3]
    return [word for caller in callers for word in caller.heard()]


def wait_runs(cluster: Cluster, key: str) -> None:
    """Wait until an engine runs the key."""
    deadline = clock.now() + 5
    while not runs_of(cluster, key) and clock.now() < deadline:
        time.sleep(0.02)


def kill_before_claim(cluster: Cluster, key: str) -> list[Told]:
    cluster.platform_proxy["entry-1"].set("freeze")
    caller = Caller(cluster, "entry-1", key)
    time.sleep(STEP_S)
    cluster.kill("entry-1")
    cluster.platform_proxy["entry-1"].set("pass")
    return caller.heard()


def hold_dispatch(cluster: Cluster, key: str) -> Caller:
    """A request whose claim is taken and whose dispatch hangs on its way."""
    for proxy in cluster.agent_proxy.values():
        proxy.set("freeze")
    caller = Caller(cluster, "entry-1", key)
    time.sleep(STEP_S)
    return caller


def release(cluster: Cluster) -> None:
    for proxy in cluster.agent_proxy.values():
        proxy.set("pass")


def kill_after_claim(cluster: Cluster, key: str) -> list[Told]:
    caller = hold_dispatch(cluster, key)
    cluster.kill("entry-1")
    release(cluster)
    return caller.heard()


def kill_mid_stream(cluster: Cluster, key: str) -> list[Told]:
    caller = Caller(cluster, "entry-1", key)
    wait_runs(cluster, key)
    cluster.kill("entry-1")
    return caller.heard()


def kill_before_bill(cluster: Cluster, key: str) -> list[Told]:
    cluster.platform_proxy["entry-1"].set("pass")
    caller = Caller(cluster, "entry-1", key, 5)
    wait_runs(cluster, key)
    cluster.platform_proxy["entry-1"].set("cut")
    heard = caller.heard()
    cluster.kill("entry-1")
    return heard


def freeze_after_claim(cluster: Cluster, key: str) -> list[Told]:
    caller = hold_dispatch(cluster, key)
    cluster.freeze("entry-1")
    release(cluster)
    second = Caller(cluster, "entry-2", key)
    heard = second.heard()
    cluster.thaw("entry-1")
    return heard + caller.heard()


def late_dispatch(cluster: Cluster, key: str) -> list[Told]:
    caller = hold_dispatch(cluster, key)
    time.sleep(2)
    release(cluster)
    return caller.heard()


def lose_dispatch_reply(cluster: Cluster, key: str) -> list[Told]:
    for name in cluster.fleet.engines:
        cluster.agent_proxy[name.replace("engine", "agent")].set("lose_reply")
    caller = Caller(cluster, "entry-1", key)
    wait_runs(cluster, key)
    time.sleep(0.1)
    release(cluster)
    return caller.heard()


def agent_running(cluster: Cluster, key: str) -> str:
    """The agent whose engine runs a key."""
    for name in cluster.fleet.engines:
        log = cluster.http.get(cluster.internal(name) + "/_log").json()
        if any(line["idempotency_key"] == key for line in log):
            return name.replace("engine", "agent")
    raise AssertionError("nobody runs it")


def kill_agent(cluster: Cluster, key: str) -> list[Told]:
    caller = Caller(cluster, "entry-1", key)
    wait_runs(cluster, key)
    cluster.kill(agent_running(cluster, key))
    return caller.heard()


def freeze_agent(cluster: Cluster, key: str) -> list[Told]:
    caller = Caller(cluster, "entry-1", key)
    wait_runs(cluster, key)
    name = agent_running(cluster, key)
    cluster.freeze(name)
    time.sleep(2)
    cluster.thaw(name)
    return caller.heard()


def replace_agent_mid_run(cluster: Cluster, key: str) -> list[Told]:
    caller = Caller(cluster, "entry-1", key)
    wait_runs(cluster, key)
    name = agent_running(cluster, key)
    cluster.kill(name)
    cluster.spawn(name)
    heard = caller.heard()
    cluster.wait_ready()
    return heard


def replace_agent_after(cluster: Cluster, key: str) -> list[Told]:
    heard = nothing(cluster, key)
    name = agent_running(cluster, key)
    time.sleep(1)
    cluster.stop_planned(name)
    cluster.spawn(name)
    cluster.wait_ready()
    return heard


def lose_claim_reply(cluster: Cluster, key: str) -> list[Told]:
    cluster.fault("platform", mode="lost_reply", path="/objects/claims", method="PUT", share=0.7)
    return nothing(cluster, key)


def down_before(cluster: Cluster, key: str) -> list[Told]:
    cluster.fault("platform", mode="down")
    heard = nothing(cluster, key)
    assert heard[0].code == "claim_unavailable" and heard[0].ran == "no"
    cluster.fault("platform", mode="none")
    return heard


def down_during(cluster: Cluster, key: str) -> list[Told]:
    caller = Caller(cluster, "entry-1", key)
    wait_runs(cluster, key)
    cluster.fault("platform", mode="down")
    heard = caller.heard()
    time.sleep(0.5)
    cluster.fault("platform", mode="none")
    return heard


def down_after(cluster: Cluster, key: str) -> list[Told]:
    heard = nothing(cluster, key)
    cluster.fault("platform", mode="down")
    time.sleep(1)
    second = Caller(cluster, "entry-1", key).heard()
    cluster.fault("platform", mode="none")
    return heard + second


def down_until_repeats(cluster: Cluster, key: str) -> list[Told]:
    """The platform goes down mid-run; the key is repeated in the outage through both entries."""
    caller = Caller(cluster, "entry-1", key)
    wait_runs(cluster, key)
    cluster.fault("platform", mode="down")
    heard = caller.heard()
    repeats = [Caller(cluster, name, key) for name in cluster.entry_names]
    heard += [word for repeat in repeats for word in repeat.heard()]
    cluster.fault("platform", mode="none")
    return heard


def entries_replaced_in_outage(cluster: Cluster, key: str) -> list[Told]:
    """All entries are replaced while the platform is down; what their memory held is gone."""
    heard = nothing(cluster, key)
    cluster.fault("platform", mode="down")
    for name in cluster.entry_names:
        cluster.kill(name)
        cluster.spawn(name)
    cluster.wait_ready()
    for name in cluster.entry_names:
        heard += Caller(cluster, name, key).heard()
    assert [word.ran for word in heard[1:]] == ["unknown"] * 2, heard
    cluster.fault("platform", mode="none")
    time.sleep(CLAIM_RETRY_AFTER_S)
    return heard


def refused_by_limits(cluster: Cluster, key: str) -> list[Told]:
    """The workspace may run nothing more when its key, and one never used, are repeated."""
    heard = nothing(cluster, key)
    limits = {"kind": "limits", "workspace": "mesob"}
    carried_out(cluster, "entry-1", **limits, concurrency=0)
    heard += Caller(cluster, "entry-2", key).heard()
    fresh = Caller(cluster, "entry-2", f"{key}-unused").heard()
    assert (fresh[0].code, fresh[0].ran) == ("limited", "no"), fresh
    assert (heard[-1].code, heard[-1].ran) == ("limited", "yes"), heard
    carried_out(cluster, "entry-1", **limits, concurrency=1000)
    return heard


def engine_fails(cluster: Cluster, key: str) -> list[Told]:
    for name in cluster.fleet.engines:
        cluster.fault(name, mode="errors", model="large")
    return nothing(cluster, key)


def engine_down(cluster: Cluster, key: str) -> list[Told]:
    cluster.kill("engine-1")
    cluster.upstream_proxy["agent-1"].set("refuse")
    heard = nothing(cluster, key)
    cluster.heal()
    return heard


def engine_cut(cluster: Cluster, key: str) -> list[Told]:
    for name in cluster.fleet.engines:
        cluster.upstream_proxy[name.replace("engine", "agent")].set("lose_reply")
    return nothing(cluster, key)


CASES: dict[str, Case] = {
    "nothing": nothing,
    "race at both entries": race,
    "entry killed before its claim": kill_before_claim,
    "entry killed after its claim": kill_after_claim,
    "entry killed mid-stream": kill_mid_stream,
    "entry killed before the bill": kill_before_bill,
    "entry frozen after its claim, thawed": freeze_after_claim,
    "dispatch frozen on its way, thawed late": late_dispatch,
    "reply to the dispatch lost": lose_dispatch_reply,
    "agent killed mid-stream": kill_agent,
    "agent frozen mid-stream, thawed": freeze_agent,
    "agent replaced while its engine ran on": replace_agent_mid_run,
    "agent replaced after the answer": replace_agent_after,
    "reply to the claim lost": lose_claim_reply,
    "platform down before": down_before,
    "platform down during": down_during,
    "platform down after, until the repeat": down_after,
    "platform down during, until repeats": down_until_repeats,
    "entries replaced in an outage": entries_replaced_in_outage,
    "limits, at the repeat": refused_by_limits,
    "engine fails": engine_fails,
    "engine down": engine_down,
    "engine's replies lost": engine_cut,
}
