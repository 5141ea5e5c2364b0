"""An operator who carries out intents and tries again as the refusals say."""

from __future__ import annotations

import time
from typing import Any

import httpx

from ramppost import clock
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


def carried_out(cluster: Cluster, entry: str, **wish: Any) -> int:
    """Plan a wish, confirm it, and wait until it is in force everywhere; its revision."""
    plan = plan_for(cluster, entry, wish).json()
    done = confirm(cluster, entry, plan["plan_id"]).json()
    wait_revision(cluster, done["revision"])
    return int(done["revision"])


def document(cluster: Cluster, name: str) -> dict[str, Any]:
    """The configuration in force at a process."""
    return dict(cluster.http.get(cluster.internal(name) + "/x/config?rev=0", timeout=2).json())


def change_and_note(cluster: Cluster, until: float, **wish: Any) -> float:
    """Carry out a wish however often it takes; when it was accepted, 0 if never."""
    turn = 0
    while clock.now() < until:
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


def wait_revision(
    cluster: Cluster, rev: int, timeout: float = 20, hall: str | None = None
) -> list[str]:
    """Processes, all or of a hall, without a revision once they have it or the time is up."""
    deadline = clock.now() + timeout
    halls = [hall] if hall else cluster.plan.halls
    names = [n for h in halls for n in cluster.in_hall(h) if n in cluster.procs]
    while True:
        behind = [name for name in names if revision(cluster, name) < rev]
        if not behind or clock.now() > deadline:
            return behind
        time.sleep(0.05)


def reset(cluster: Cluster) -> None:
    """Put the first document in force again, as a higher revision."""
    held = cluster.http.get(f"{cluster.platform}/objects/config/current").json()
    doc = cluster.fleet.doc | {"revision": held["value"]["revision"] + 1, "plan_id": "reset"}
    head = {"if-match": str(held["version"])}
    cluster.http.put(f"{cluster.platform}/objects/config/current", json=doc, headers=head)
    wait_revision(cluster, doc["revision"])
