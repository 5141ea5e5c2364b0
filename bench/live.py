"""Benches over real processes: priorities, overload, bad versions, retries.

Each compares within one run; the baseline is the same fleet with the mechanism
set so that it does nothing: "no limits" is one priority, an endless queue and no
deadline told to the router; "none" is guards that never trip.
"""

from __future__ import annotations

import copy
import multiprocessing
import tempfile
from pathlib import Path
from typing import Any, NamedTuple

from bench.openloop import Flow, Result, percentile, send_all
from ramppost import clock
from ramppost.standin.fleet import TOLL_CLASSES, FleetPlan, StandinModel
from tests.harness.cluster import Cluster
from tests.harness.operator import change_and_note
from tests.harness.oracle import runs, wait_runs_over

SLOTS = 8
ENGINES = 2
TOKENS = 24
TOKEN_MS = 15.0
CAPACITY = ENGINES * SLOTS / (TOKENS * TOKEN_MS / 1000)
BATCH_CAPACITY = CAPACITY * (SLOTS - SLOTS // 4) / SLOTS
DEADLINE_MS = 1500
MODELS = [
    StandinModel(model="small", version="v1", quality=0.62, token_ms=4),
    StandinModel(model="large", version="v1", quality=0.9, token_ms=TOKEN_MS),
    StandinModel(model="large", version="v2", quality=0.92, token_ms=TOKEN_MS),
]
PLAN = FleetPlan(
    base_port=0,
    halls=["quilicura", "maipu"],
    entries=2,
    engines=ENGINES,
    services=1,
    engine_pool="model-serving",
    service_name="clearing",
    workspaces=["mesob", "toll"],
    classes=TOLL_CLASSES,
    slots=SLOTS,
    engine_models=MODELS,
)


class Flood(NamedTuple):
    """Urgent requests alone and under a batch flood; milliseconds."""

    name: str
    alone_p50: float
    alone_p99: float
    flood_p50: float
    flood_p99: float
    alone_first_p99: float
    flood_first_p99: float
    served: float

    @property
    def ratio(self) -> float:
        """p99 of the whole answer under the flood in that alone."""
        return self.flood_p99 / self.alone_p99


class Goodput(NamedTuple):
    """Answers a second within their deadline, by overload."""

    name: str
    per_s: dict[int, float]


class Exposure(NamedTuple):
    """Requests that reached a bad version, and how long it was in use."""

    name: str
    requests: int
    seconds: float


class Retries(NamedTuple):
    """Runs at the engines in requests asked, while one engine fails half its runs."""

    asked: int
    runs: int
    served: int


def fleet(folder: Path, flat: bool = False, endless: bool = False) -> Cluster:
    """A started fleet; `flat` has one priority, `endless` a queue without end."""
    classes = copy.deepcopy(TOLL_CLASSES)
    for cls in classes:
        cls["priority"] = 5 if flat else cls["priority"]
    changes: dict[str, Any] = {"agent": {"queue": 100000}} if endless else {}
    cluster = Cluster(folder, PLAN._replace(classes=classes), **changes)
    for ws in cluster.fleet.doc["workspaces"]:
        ws.update(concurrency=100000, tokens_per_s=1e9, burst_tokens=1e9)
    cluster.rewrite()
    return cluster.start()


def addrs(cluster: Cluster) -> list[str]:
    """Where callers send."""
    return [cluster.url(name).removeprefix("http://") for name in cluster.entry_names]


def send(cluster: Cluster, flows: list[Flow], seed: int) -> list[Result]:
    """Run flows to their end, each in a process of its own, so that none slows another."""
    jobs = [(addrs(cluster), [flow], seed + number) for number, flow in enumerate(flows)]
    with multiprocessing.get_context("spawn").Pool(len(jobs)) as pool:
        return [line for lines in pool.starmap(send_all, jobs) for line in lines]


def flood(name: str, seed: int, seconds: float, flat: bool, endless: bool) -> Flood:
    """Disputes at a fifth of capacity, alone and under four times the capacity in batch."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = fleet(Path(folder), flat, endless)
        try:
            urgent = Flow("dispute", CAPACITY * 0.2, seconds, TOKENS, deadline_ms=10000)
            batch = Flow("night_batch", BATCH_CAPACITY, seconds, TOKENS, deadline_ms=10000)
            send(cluster, [urgent._replace(seconds=2)], seed + 50)
            alone = send(cluster, [urgent], seed)
            both = send(cluster, [urgent, batch, batch, batch, batch], seed)
        finally:
            cluster.stop()
    flooded = [r for r in both if r.class_name == "dispute"]
    alone = [r for r in alone if r.status == 200]
    heard = [r for r in flooded if r.status == 200]
    return Flood(
        name,
        *(_ms([r.whole_s for r in alone], p) for p in (0.5, 0.99)),
        *(_ms([r.whole_s for r in heard], p) for p in (0.5, 0.99)),
        _ms([r.first_s for r in alone], 0.99),
        _ms([r.first_s for r in heard], 0.99),
        sum(r.status == 200 for r in flooded) / len(flooded),
    )


def _ms(values: list[float], share: float) -> float:
    return percentile(values, share) * 1000


def goodput(name: str, seed: int, seconds: float, endless: bool) -> Goodput:
    """Answers within the deadline at one, two and four times the capacity."""
    per_s: dict[int, float] = {}
    with tempfile.TemporaryDirectory() as folder:
        cluster = fleet(Path(folder), flat=True, endless=endless)
        try:
            for times in (1, 2, 4):
                rate = BATCH_CAPACITY * times
                told_ms = 60000 if endless else DEADLINE_MS
                part = Flow("plate_note", rate / 2, seconds, TOKENS, deadline_ms=told_ms)
                got = send(cluster, [part, part], seed)
                limit_s = DEADLINE_MS / 1000 + TOKENS * TOKEN_MS / 1000
                good = [r for r in got if r.status == 200 and r.whole_s <= limit_s]
                per_s[times] = len(good) / seconds
                wait_runs_over(cluster)
        finally:
            cluster.stop()
    return Goodput(name, per_s)


def exposure(name: str, seed: int, seconds: float, fault: dict[str, Any], guards: bool) -> Exposure:
    """A roll-out of a version that is bad from its start."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = fleet(Path(folder))
        try:
            for engine in cluster.fleet.engines:
                cluster.fault(engine, model="large", version="v2", **fault)
            wish: dict[str, Any] = {"model": "large", "version": "v2", "steps": [0.1, 0.5, 1.0]}
            wish |= {"step_s": 4, "min_requests": 20}
            wish |= {} if guards else {"max_error_share": 1.0, "max_rating_drop": 0.0}
            flow = Flow("agent_reply", CAPACITY * 0.4, 4, TOKENS)
            send(cluster, [flow], seed)
            assert change_and_note(cluster, clock.now() + 10, kind="rollout", **wish)
            send(cluster, [flow._replace(seconds=seconds)], seed + 1)
            wait_runs_over(cluster)
            seen = [line["at"] for line in runs(cluster) if line["version"] == "v2"]
        finally:
            cluster.stop()
    return Exposure(name, len(seen), max(seen) - min(seen) if seen else 0.0)


def retries(seed: int, seconds: float) -> Retries:
    """Both engines fail half their runs: retries must not double the load."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = fleet(Path(folder))
        try:
            wait_runs_over(cluster)
            before = len(runs(cluster))
            for engine in cluster.fleet.engines:
                cluster.fault(engine, mode="errors", model="large", share=0.5)
            got = send(cluster, [Flow("plate_note", CAPACITY * 0.4, seconds, TOKENS)], seed)
            wait_runs_over(cluster)
            ran = len(runs(cluster)) - before
        finally:
            cluster.stop()
    return Retries(len(got), ran, sum(1 for r in got if r.status == 200))
