"""Fault cases by name: each sends a keyed request during a fault and returns the callers' replies.

A case that kills an entry gets no reply to the request sent through that entry.
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

LONG_ANSWER_TOKENS = 60
FAULT_DELAY_S = 0.4
FaultCase = Callable[[Cluster, str], list[Told]]


class RequestThread:
    """Sends a request in a thread of its own."""

    def __init__(
        self, cluster: Cluster, entry: str, key: str, tokens: int = LONG_ANSWER_TOKENS
    ) -> None:
        self.reply: Told | None = None
        self._args = (cluster, entry, key, tokens)
        self._thread = threading.Thread(target=self._send)
        self._thread.start()

    def _send(self) -> None:
        cluster, entry, key, tokens = self._args
        try:
            self.reply = told(key, cluster.chat(entry, key, tokens))
        except httpx.HTTPError:
            self.reply = None

    def replies(self) -> list[Told]:
        """Waits for the request to end and returns its reply, if any."""
        self._thread.join(60)
        return [self.reply] if self.reply else []


def no_fault(cluster: Cluster, key: str) -> list[Told]:
    return RequestThread(cluster, "entry-1", key).replies()


def race_at_both_entries(cluster: Cluster, key: str) -> list[Told]:
    callers = [RequestThread(cluster, name, key) for name in ("entry-1", "entry-2") * 3]
    return [reply for caller in callers for reply in caller.replies()]


def wait_until_running(cluster: Cluster, key: str) -> None:
    """Waits until an engine runs the request with this key."""
    deadline = clock.now() + 5
    while not runs_of(cluster, key) and clock.now() < deadline:
        time.sleep(0.02)


def kill_before_claim(cluster: Cluster, key: str) -> list[Told]:
    cluster.platform_proxy["entry-1"].set("freeze")
    caller = RequestThread(cluster, "entry-1", key)
    time.sleep(FAULT_DELAY_S)
    cluster.kill("entry-1")
    cluster.platform_proxy["entry-1"].set("pass")
    return caller.replies()


def hold_dispatch(cluster: Cluster, key: str) -> RequestThread:
    """Sends a request whose claim is granted and whose dispatch is held up on the agent link."""
    for proxy in cluster.agent_proxy.values():
        proxy.set("freeze")
    caller = RequestThread(cluster, "entry-1", key)
    time.sleep(FAULT_DELAY_S)
    return caller


def unfreeze_agent_links(cluster: Cluster) -> None:
    for proxy in cluster.agent_proxy.values():
        proxy.set("pass")


def kill_after_claim(cluster: Cluster, key: str) -> list[Told]:
    caller = hold_dispatch(cluster, key)
    cluster.kill("entry-1")
    unfreeze_agent_links(cluster)
    return caller.replies()


def kill_mid_stream(cluster: Cluster, key: str) -> list[Told]:
    caller = RequestThread(cluster, "entry-1", key)
    wait_until_running(cluster, key)
    cluster.kill("entry-1")
    return caller.replies()


def kill_before_bill(cluster: Cluster, key: str) -> list[Told]:
    cluster.platform_proxy["entry-1"].set("pass")
    caller = RequestThread(cluster, "entry-1", key, 5)
    wait_until_running(cluster, key)
    cluster.platform_proxy["entry-1"].set("cut")
    replies = caller.replies()
    cluster.kill("entry-1")
    return replies


def freeze_after_claim(cluster: Cluster, key: str) -> list[Told]:
    caller = hold_dispatch(cluster, key)
    cluster.freeze("entry-1")
    unfreeze_agent_links(cluster)
    second = RequestThread(cluster, "entry-2", key)
    replies = second.replies()
    cluster.thaw("entry-1")
    return replies + caller.replies()


def late_dispatch(cluster: Cluster, key: str) -> list[Told]:
    caller = hold_dispatch(cluster, key)
    time.sleep(2)
    unfreeze_agent_links(cluster)
    return caller.replies()


def lose_dispatch_reply(cluster: Cluster, key: str) -> list[Told]:
    for name in cluster.fleet.engines:
        cluster.agent_proxy[name.replace("engine", "agent")].set("lose_reply")
    caller = RequestThread(cluster, "entry-1", key)
    wait_until_running(cluster, key)
    time.sleep(0.1)
    unfreeze_agent_links(cluster)
    return caller.replies()


def agent_running(cluster: Cluster, key: str) -> str:
    """Returns the agent whose engine runs the request with this key."""
    for name in cluster.fleet.engines:
        log = cluster.http.get(cluster.internal(name) + "/_log").json()
        if any(line["idempotency_key"] == key for line in log):
            return name.replace("engine", "agent")
    raise AssertionError("no engine runs the request")


def kill_agent(cluster: Cluster, key: str) -> list[Told]:
    caller = RequestThread(cluster, "entry-1", key)
    wait_until_running(cluster, key)
    cluster.kill(agent_running(cluster, key))
    return caller.replies()


def freeze_agent(cluster: Cluster, key: str) -> list[Told]:
    caller = RequestThread(cluster, "entry-1", key)
    wait_until_running(cluster, key)
    name = agent_running(cluster, key)
    cluster.freeze(name)
    time.sleep(2)
    cluster.thaw(name)
    return caller.replies()


def replace_agent_mid_run(cluster: Cluster, key: str) -> list[Told]:
    caller = RequestThread(cluster, "entry-1", key)
    wait_until_running(cluster, key)
    name = agent_running(cluster, key)
    cluster.kill(name)
    cluster.spawn(name)
    replies = caller.replies()
    cluster.wait_ready()
    return replies


def replace_agent_after(cluster: Cluster, key: str) -> list[Told]:
    replies = no_fault(cluster, key)
    name = agent_running(cluster, key)
    time.sleep(1)
    cluster.stop_planned(name)
    cluster.spawn(name)
    cluster.wait_ready()
    return replies


def lose_claim_reply(cluster: Cluster, key: str) -> list[Told]:
    cluster.fault("platform", mode="lost_reply", path="/objects/claims", method="PUT", share=0.7)
    return no_fault(cluster, key)


def platform_down_before(cluster: Cluster, key: str) -> list[Told]:
    cluster.fault("platform", mode="down")
    replies = no_fault(cluster, key)
    assert replies[0].code == "claim_unavailable" and replies[0].ran == "no"
    cluster.fault("platform", mode="none")
    return replies


def platform_down_during(cluster: Cluster, key: str) -> list[Told]:
    caller = RequestThread(cluster, "entry-1", key)
    wait_until_running(cluster, key)
    cluster.fault("platform", mode="down")
    replies = caller.replies()
    time.sleep(0.5)
    cluster.fault("platform", mode="none")
    return replies


def platform_down_after(cluster: Cluster, key: str) -> list[Told]:
    replies = no_fault(cluster, key)
    cluster.fault("platform", mode="down")
    time.sleep(1)
    second = RequestThread(cluster, "entry-1", key).replies()
    cluster.fault("platform", mode="none")
    return replies + second


def platform_down_until_repeats(cluster: Cluster, key: str) -> list[Told]:
    """Stops the platform during the run and repeats the key through both entries in the outage."""
    caller = RequestThread(cluster, "entry-1", key)
    wait_until_running(cluster, key)
    cluster.fault("platform", mode="down")
    replies = caller.replies()
    repeats = [RequestThread(cluster, name, key) for name in cluster.entry_names]
    replies += [reply for repeat in repeats for reply in repeat.replies()]
    cluster.fault("platform", mode="none")
    return replies


def entries_replaced_in_outage(cluster: Cluster, key: str) -> list[Told]:
    """Replaces all entries while the platform is down, which loses their in-memory state."""
    replies = no_fault(cluster, key)
    cluster.fault("platform", mode="down")
    for name in cluster.entry_names:
        cluster.kill(name)
        cluster.spawn(name)
    cluster.wait_ready()
    for name in cluster.entry_names:
        replies += RequestThread(cluster, name, key).replies()
    assert [reply.ran for reply in replies[1:]] == ["unknown"] * 2, replies
    cluster.fault("platform", mode="none")
    time.sleep(CLAIM_RETRY_AFTER_S)
    return replies


def repeat_at_zero_concurrency(cluster: Cluster, key: str) -> list[Told]:
    """Repeats a used key, and sends an unused one, when the workspace's concurrency limit is 0."""
    replies = no_fault(cluster, key)
    limits = {"kind": "limits", "workspace": "mesob"}
    carried_out(cluster, "entry-1", **limits, concurrency=0)
    replies += RequestThread(cluster, "entry-2", key).replies()
    fresh = RequestThread(cluster, "entry-2", f"{key}-unused").replies()
    assert (fresh[0].code, fresh[0].ran) == ("limited", "no"), fresh
    assert (replies[-1].code, replies[-1].ran) == ("limited", "yes"), replies
    carried_out(cluster, "entry-1", **limits, concurrency=1000)
    return replies


def engine_fails(cluster: Cluster, key: str) -> list[Told]:
    for name in cluster.fleet.engines:
        cluster.fault(name, mode="errors", model="large")
    return no_fault(cluster, key)


def engine_down(cluster: Cluster, key: str) -> list[Told]:
    cluster.kill("engine-1")
    cluster.upstream_proxy["agent-1"].set("refuse")
    replies = no_fault(cluster, key)
    cluster.heal()
    return replies


def lose_engine_replies(cluster: Cluster, key: str) -> list[Told]:
    for name in cluster.fleet.engines:
        cluster.upstream_proxy[name.replace("engine", "agent")].set("lose_reply")
    return no_fault(cluster, key)


CASES: dict[str, FaultCase] = {
    "nothing": no_fault,
    "race at both entries": race_at_both_entries,
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
    "platform down before": platform_down_before,
    "platform down during": platform_down_during,
    "platform down after, until the repeat": platform_down_after,
    "platform down during, until repeats": platform_down_until_repeats,
    "entries replaced in an outage": entries_replaced_in_outage,
    "limits, at the repeat": repeat_at_zero_concurrency,
    "engine fails": engine_fails,
    "engine down": engine_down,
    "engine's replies lost": lose_engine_replies,
}
