"""Open-loop load: requests begin at their own times, however slow the answers are."""

from __future__ import annotations

import random
from typing import NamedTuple

import curio
import msgspec

from ramppost import clock
from ramppost.wire.client import CallFailed, Pool, open_stream

TIMEOUT_S = 30.0


class Flow(NamedTuple):
    """A stream of requests of one class: `rate` a second for `seconds`."""

    class_name: str
    rate: float
    seconds: float
    tokens: int
    model: str = "large"
    workspace: str = "mesob"
    deadline_ms: int = 0


class Result(NamedTuple):
    """How one request went; times in seconds from its due time, status 0 where cut."""

    class_name: str
    status: int
    first_s: float
    whole_s: float
    model: str


def send_all(addrs: list[str], flows: list[Flow], seed: int) -> list[Result]:
    """Send all flows from this process; all results."""
    results: list[Result] = curio.run(run_flows, addrs, flows, seed)
    return results


async def run_flows(addrs: list[str], flows: list[Flow], seed: int) -> list[Result]:
    """Send all flows at once; all results."""
    pool = Pool()
    results: list[Result] = []
    async with curio.TaskGroup() as group:
        for number, flow in enumerate(flows):
            await group.spawn(_flow, pool, addrs, flow, random.Random(seed + number), results)
    return results


async def _flow(
    pool: Pool, addrs: list[str], flow: Flow, rng: random.Random, results: list[Result]
) -> None:
    due = clock.now()
    end = due + flow.seconds
    async with curio.TaskGroup() as group:
        while True:
            due += rng.expovariate(flow.rate)
            if due > end:
                return
            await curio.sleep(max(0.0, due - clock.now()))
            await group.spawn(_one, pool, rng.choice(addrs), flow, rng.random(), due, results)


async def _one(
    pool: Pool, addr: str, flow: Flow, salt: float, due: float, results: list[Result]
) -> None:
    body = {
        "model": flow.model,
        "max_tokens": flow.tokens,
        "stream": True,
        "messages": [{"role": "user", "content": f"question {salt}"}],
    }
    head = (
        ("authorization", f"Bearer {flow.workspace}-dev"),
        ("content-type", "application/json"),
        ("ramppost-class", flow.class_name),
    )
    if flow.deadline_ms:
        head = (*head, ("ramppost-deadline-ms", str(flow.deadline_ms)))
    data = msgspec.json.encode(body)
    got = await open_stream(pool, addr, "POST", "/v1/chat/completions", data, TIMEOUT_S, head)
    if isinstance(got, CallFailed):
        results.append(Result(flow.class_name, 0, 0.0, 0.0, ""))
        return
    first_s, ended = 0.0, False
    try:
        while line := await got.read_line():
            if line.startswith(b"data: ") and not first_s:
                first_s = clock.now() - due
            ended = ended or line == b"data: [DONE]"
    except OSError:
        ended = False
    await got.close()
    status = got.status if ended or got.status != 200 else 0
    model = got.headers.get("ramppost-model", "")
    results.append(Result(flow.class_name, status, first_s, clock.now() - due, model))


def percentile(values: list[float], share: float) -> float:
    """The value below which a share lies, 0 where there is none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0
