"""An operator who carries out intents and tries again as the refusals say."""

from __future__ import annotations

import time
from typing import Any

import httpx

from ramppost.standin.fleet import OPERATOR_TOKEN
from tests.harness.cluster import Cluster

HEAD = {"authorization": f"Bearer {OPERATOR_TOKEN}"}
PAUSE_S = 0.3


def plan_for(cluster: Cluster, entry: str, wish: dict[str, Any]) -> httpx.Response:
    """Ask for a plan."""
    return cluster.http.post(cluster.url(entry) + "/v1/intents", json=wish, headers=HEAD)


def confirm(cluster: Cluster, entry: str, plan_id: str) -> httpx.Response:
    """Confirm a plan."""
    return cluster.http.post(f"{cluster.url(entry)}/v1/plans/{plan_id}/confirm", headers=HEAD)


def change_and_note(cluster: Cluster, until: float, **wish: Any) -> float:
    """Carry out a wish however often it takes; when it was accepted, 0 if never."""
    turn = 0
    while time.monotonic() < until:
        entry = cluster.entry_names[turn % len(cluster.entry_names)]
        turn += 1
        try:
            plan = plan_for(cluster, entry, wish)
            if plan.status_code == 200:
                done = confirm(cluster, entry, plan.json()["plan_id"])
                if done.status_code == 200:
                    return time.time()
        except httpx.HTTPError:
            pass
        time.sleep(PAUSE_S)
    return 0.0


def revision(cluster: Cluster, name: str) -> int:
    """Revision in force at a process, 0 where it does not answer."""
    try:
        got = cluster.http.get(cluster.internal(name) + "/x/config?rev=0", timeout=1)
        return int(got.json()["revision"])
    except (httpx.HTTPError, ValueError):
        return 0


def wait_revision(cluster: Cluster, rev: int, timeout: float = 20) -> list[str]:
    """Processes without a revision once all have it, or at the end of the time."""
    deadline = time.monotonic() + timeout
    names = [n for n in (*cluster.fleet.entries, *cluster.fleet.agents) if n in cluster.procs]
    while True:
        behind = [name for name in names if revision(cluster, name) < rev]
        if not behind or time.monotonic() > deadline:
            return behind
        time.sleep(0.05)
