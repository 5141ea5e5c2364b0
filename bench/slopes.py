"""`make slopes`: what one more of each thing costs, by the processes' own accounting.

Costs over the wire come from real processes, as the difference of two levels in
one run.  Costs within a process are timed in this one.  Writes `docs/slopes.json`.
"""

from __future__ import annotations

import argparse
import json
import random
import statistics
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import curio
import httpx
from loguru import logger

from ramppost import clock
from ramppost.confsync import ConfigState
from ramppost.policy.choice import AgentView, rank_agents
from ramppost.policy.claims import Shard
from ramppost.policy.permissions import workspace_by_token
from ramppost.policy.session import SessionPayload, mint_token, verify_session_token
from ramppost.schema.config import ConfigDoc
from ramppost.schema.messages import Claim, ClaimSegment, StatusMsg, Usage
from ramppost.schema.settings import Box
from ramppost.standin.fleet import MESOB, FleetPlan, build
from ramppost.wire.client import Pool, call
from ramppost.wire.codec import decode, encode
from tests.harness.cluster import Cluster

IDLE_S = 15.0
SETTLE_S = 4.0
CALLS = 1000
REQUESTS = 400
FEW_TOKENS = 4
MANY_TOKENS = 36
LANES = 4
REPEATS = 5
OUT = Path(__file__).parents[1] / "docs" / "slopes.json"
FAST = [m | {"token_ms": 0.5} for m in MESOB.engine_models]
PLAN = MESOB._replace(
    base_port=0, entries=1, services=1, slots=64, engine_models=FAST, workspaces=["mesob", "cooks"]
)


class Slope(NamedTuple):
    """One line: a name, a figure, its unit, and how it was had."""

    name: str
    value: float
    unit: str
    how: str


class Spent(NamedTuple):
    """What a process used between two looks."""

    cpu_s: float
    wire_bytes: float
    calls: float
    seconds: float


class Watch:
    """Looks at the usage of processes of a fleet."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.at = clock.now()
        self.then = self._look()

    def _look(self) -> dict[str, Usage]:
        names = [*self.cluster.fleet.entries, *self.cluster.fleet.agents]
        return {
            n: self.cluster.http.get(self.cluster.internal(n) + "/x/usage").json() for n in names
        }

    def spent(self) -> dict[str, Spent]:
        """Since the last look."""
        now, then, seconds = self._look(), self.then, clock.now() - self.at
        self.then, self.at = now, clock.now()
        return {name: _spent(now[name], then[name], seconds) for name in now}


def _spent(now: Usage, then: Usage, seconds: float) -> Spent:
    wire = now["bytes_in"] + now["bytes_out"] - then["bytes_in"] - then["bytes_out"]
    calls = now["platform_calls"] - then["platform_calls"]
    return Spent(now["cpu_s"] - then["cpu_s"], wire, calls, seconds)


def started(folder: str, plan: FleetPlan) -> Cluster:
    """A fleet with limits out of the way and agents that poll as in production."""
    cluster = Cluster(Path(folder), plan, agent={"witness_s": 60}, entry={"subset": 64})
    for ws in cluster.fleet.doc["workspaces"]:
        ws.update(concurrency=10000, tokens_per_s=1e9, burst_tokens=1e9)
    cluster.rewrite()
    return cluster.start()


async def _closed(addr: str, count: int, tokens: int, keyed: bool, token: str) -> None:
    """Send requests in a few lanes, each after the other."""
    pool = Pool()

    async def lane(number: int) -> None:
        for turn in range(count // LANES):
            body = {
                "model": "large",
                "max_tokens": tokens,
                "stream": True,
                "messages": [{"role": "user", "content": f"{number} {turn}"}],
            }
            head = [("authorization", f"Bearer {token}"), ("content-type", "application/json")]
            if keyed:
                head.append(("idempotency-key", f"{time.monotonic_ns()}-{number}-{turn}"))
            path = "/v1/chat/completions"
            got = await call(pool, addr, "POST", path, encode(body), 30.0, tuple(head))
            assert getattr(got, "status", 0) == 200, got

    async with curio.TaskGroup() as group:
        for number in range(LANES):
            await group.spawn(lane, number)


def requests(cluster: Cluster, watch: Watch, tokens: int, keyed: bool) -> dict[str, Spent]:
    """What the processes spend on a number of requests."""
    watch.spent()
    addr = cluster.url("entry-1").removeprefix("http://")
    curio.run(_closed, addr, REQUESTS, tokens, keyed, "mesob-dev")
    time.sleep(1.0)
    return watch.spent()


def wire_slopes() -> list[Slope]:
    """Costs that cross processes."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = started(folder, PLAN._replace(engines=1))
        try:
            time.sleep(SETTLE_S)
            watch = Watch(cluster)
            time.sleep(IDLE_S)
            idle = _idle_slopes(watch.spent())
            calls = _call_slopes(cluster, watch)
        finally:
            cluster.stop()
    with tempfile.TemporaryDirectory() as folder:
        cluster = started(folder, PLAN._replace(engines=3))
        try:
            return [*idle, *calls, *_request_slopes(cluster, Watch(cluster))]
        finally:
            cluster.stop()


def _idle_slopes(spent: dict[str, Spent]) -> list[Slope]:
    """What processes spend on their own: peers, watch, polls, box list, ratings, claim logs."""
    lines: list[Slope] = []
    for role, what in (
        ("entry", "idle entry, 2 agents that ask it, home of all claim shards"),
        ("agent", "idle agent before one entry"),
    ):
        one = spent[f"{role}-1"]
        how = f"{what}, {IDLE_S:g} s"
        lines += [
            Slope(f"{role}_idle_cpu", one.cpu_s / one.seconds, "core", how),
            Slope(f"{role}_idle_bytes", one.wire_bytes / one.seconds, "B/s", how),
        ]
    rate = spent["entry-1"].calls / spent["entry-1"].seconds
    return [*lines, Slope("entry_idle_calls", rate, "object API calls/s", f"{IDLE_S:g} s")]


def _call_slopes(cluster: Cluster, watch: Watch) -> list[Slope]:
    """What one more call between processes costs, at the caller and at the one asked."""
    addr = cluster.fleet.agents["agent-1"]["advertise"]
    body = encode(StatusMsg(entry="bench:0#0", rev=0))

    async def ask() -> None:
        pool = Pool()
        for _ in range(CALLS):
            got = await call(pool, addr, "POST", "/a/status", body, 5.0)
            assert getattr(got, "status", 0) == 200, got

    watch.spent()
    before = time.process_time()
    curio.run(ask)
    caller = (time.process_time() - before) / CALLS
    asked = watch.spent()["agent-1"]
    idle = f"{CALLS} questions after each other, of an idle agent"
    return [
        Slope("call_cpu", caller * 1e6, "µs per call, at the caller", idle),
        Slope("serve_cpu", asked.cpu_s / CALLS * 1e6, "µs per call, at the one asked", idle),
        Slope("call_bytes", asked.wire_bytes / CALLS, "B per call, both ways", idle),
    ]


def _request_slopes(cluster: Cluster, watch: Watch) -> list[Slope]:
    requests(cluster, watch, FEW_TOKENS, False)
    short = requests(cluster, watch, FEW_TOKENS, False)
    long = requests(cluster, watch, MANY_TOKENS, False)
    writes = cluster.http.get(f"{cluster.platform}/_counts").json()["writes"]
    keyed = requests(cluster, watch, FEW_TOKENS, True)
    ledger = cluster.http.get(f"{cluster.platform}/objects", params={"prefix": "ledger/"}).json()
    claims = cluster.http.get(f"{cluster.platform}/objects", params={"prefix": "claims/"}).json()
    writes = cluster.http.get(f"{cluster.platform}/_counts").json()["writes"] - writes
    lines: list[Slope] = []
    how = f"{REQUESTS} streamed requests of {FEW_TOKENS} and {MANY_TOKENS} tokens, {LANES} at once"
    for role in ("entry", "agent"):
        a, b = _sum(short, role), _sum(long, role)
        frame = (b.cpu_s - a.cpu_s) / REQUESTS / (MANY_TOKENS - FEW_TOKENS)
        wire = (b.wire_bytes - a.wire_bytes) / REQUESTS / (MANY_TOKENS - FEW_TOKENS)
        lines += [
            Slope(f"{role}_frame_cpu", frame * 1e6, "µs per token frame", how),
            Slope(f"{role}_frame_bytes", wire, "B per token frame", how),
            Slope(
                f"{role}_request_cpu",
                (a.cpu_s / REQUESTS - FEW_TOKENS * frame) * 1e6,
                "µs per request",
                how,
            ),
            Slope(
                f"{role}_request_bytes",
                a.wire_bytes / REQUESTS - FEW_TOKENS * wire,
                "B per request",
                how,
            ),
        ]
    a, b = _sum(short, "entry"), _sum(keyed, "entry")
    cost = (b.cpu_s - a.cpu_s) / REQUESTS * 1e6
    how = f"{REQUESTS} keyed against {REQUESTS} plain requests"
    batches = [item["value"]["lines"] for item in ledger["items"]]
    segments = [item["value"]["claims"] for item in claims["items"]]
    ends = [item["value"]["ends"] for item in claims["items"]]
    return [
        *lines,
        Slope("claim_cpu", cost, "µs per keyed request, claim and its end", how),
        Slope("claim_writes", writes / REQUESTS, "writes per keyed request, bills included", how),
        Slope("claim_record", _mean_size(segments), "B per claim in the platform", "as stored"),
        Slope("end_record", _mean_size(ends), "B per claim's end in the platform", "as stored"),
        Slope("bill_record", _mean_size(batches), "B per bill line in the platform", "as stored"),
        Slope("entry_rss", _rss(cluster, "entry-1"), "MB", "after the requests"),
        Slope("agent_rss", _rss(cluster, "agent-1"), "MB", "after the requests"),
    ]


def _mean_size(groups: list[list[Any]]) -> float:
    flat = [len(encode(item)) for group in groups for item in group]
    return statistics.mean(flat) if flat else 0.0


def _rss(cluster: Cluster, name: str) -> float:
    got = httpx.get(cluster.internal(name) + "/x/usage").json()
    return float(got["rss_bytes"]) / 1e6


def _sum(spent: dict[str, Spent], role: str) -> Spent:
    found = [s for name, s in spent.items() if name.startswith(role)]
    return Spent(sum(s.cpu_s for s in found), sum(s.wire_bytes for s in found), 0, found[0].seconds)


def timed(act: Callable[[], Any], count: int) -> float:
    """Microseconds of CPU for one call, the best of some rounds."""
    rounds = []
    for _ in range(REPEATS):
        before = time.process_time()
        for _ in range(count):
            act()
        rounds.append((time.process_time() - before) / count * 1e6)
    return min(rounds)


def doc_of(workspaces: int) -> ConfigDoc:
    """A configuration document with so many workspaces."""
    names = [f"ws-{i}" for i in range(workspaces)]
    return build(MESOB._replace(workspaces=names)).doc


def process_slopes() -> list[Slope]:
    """Costs within a process."""
    how = f"in this process, best of {REPEATS} rounds"
    doc = doc_of(10)
    keys = doc["session_keys"]
    session = SessionPayload(kind="session", session="s", workspace="w", model="m", version="v")
    token = mint_token(keys, session)
    small, large = doc_of(10), doc_of(210)
    raw_small, raw_large = encode(small), encode(large)
    adopt_small = timed(lambda: ConfigState().adopt(decode_doc(raw_small), "x"), 20)
    adopt_large = timed(lambda: ConfigState().adopt(decode_doc(raw_large), "x"), 20)
    rng = random.Random(1)
    seen = [AgentView(f"10.0.0.{i}:1", "bole", 1, 2, 0.0, 8) for i in range(26)]
    return [
        Slope("session_cpu", timed(lambda: mint_token(keys, session), 500), "µs to mint", how),
        Slope(
            "session_check",
            timed(lambda: verify_session_token(keys, token, "w"), 500),
            "µs to check",
            how,
        ),
        Slope(
            "config_entry_bytes", (len(raw_large) - len(raw_small)) / 200, "B per workspace", how
        ),
        Slope("config_base_bytes", len(raw_small), "B with 10 workspaces", how),
        Slope(
            "config_entry_cpu", (adopt_large - adopt_small) / 200, "µs to adopt, per workspace", how
        ),
        Slope(
            "choice_cpu",
            timed(lambda: rank_agents(seen, 1.0, "bole", "p", rng), 200),
            "µs of 26",
            how,
        ),
        Slope(
            "token_cpu",
            timed(lambda: workspace_by_token(large, "nobody"), 200),
            "µs, 210 workspaces",
            how,
        ),
        Slope("box_bytes", box_bytes(), "B per line of the box list", how),
        Slope("claim_memory", claim_memory(), "B per claim held", "tracemalloc, 5,000 claims"),
    ]


def decode_doc(raw: bytes) -> ConfigDoc:
    """A document from its bytes."""
    found = decode(raw, ConfigDoc)
    assert isinstance(found, dict)
    return found


def box_bytes() -> float:
    """Size of a line of the box list."""
    box = Box(
        name="agent-123",
        addr="10.20.30.40:20100",
        hall="quilicura",
        role="agent",
        pool="model-serving",
        state="live",
    )
    return len(encode(box)) + 1


def claim_memory() -> float:
    """Bytes that a claim takes in a shard's state."""
    count = 5000
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    shard = Shard()
    for number in range(count):
        raw = encode(ClaimSegment(seq=number, nonces=["n"], claims=[claim(number)], ends=[]))
        segment = decode(raw, ClaimSegment)
        assert isinstance(segment, dict)
        shard.add_closed_segment(segment, 0.0)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used / count


def claim(number: int) -> Claim:
    """A claim as they are."""
    agent = "10.20.30.40:20100"
    return Claim(
        key=f"{number:032x}",
        nonce="0123456789ab",
        generation=0,
        stage=0,
        request_id=f"req-{number:020x}",
        entry="10.20.30.41:20011#0123456789ab",
        candidates=[{"addr": agent, "agent": f"{agent}#0123456789ab.{i}"} for i in range(3)],
        model="large",
        version="v1",
        at_s=1796213704,
        state="open",
        body="0123456789abcdef",
    )


def main() -> None:
    """Measure, print, and write the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=Path, default=OUT)
    args = parser.parse_args()
    logger.remove()
    lines = [*wire_slopes(), *process_slopes()]
    print("| slope | value | unit | how |\n|---|---|---|---|")
    for line in lines:
        print(f"| {line.name} | {line.value:.6g} | {line.unit} | {line.how} |")
    table = {"command": "make slopes", "slopes": [line._asdict() for line in lines]}
    args.out.write_text(json.dumps(table, indent=1, ensure_ascii=False) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
