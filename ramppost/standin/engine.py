"""Stand-in for a model engine.

It streams made-up tokens in the OpenAI form, runs a number of requests at once
and lets the rest wait by priority.  A run goes on when its reader is gone; it
can be read again from any token and cancelled.  `GET /_log` tells what ran, and `POST /_host`
sets the speed and pace of its work (`HostChange`).
"""

from __future__ import annotations

import heapq
import itertools
import random
import time
from typing import Any, Final, Literal, NotRequired, TypedDict

import curio
from loguru import logger

from ramppost.schema.settings import EngineStandinSettings, StandinModel
from ramppost.standin.faults import Faults, with_faults
from ramppost.standin.host import Host, HostChange
from ramppost.wire.codec import BadMessage, decode, encode
from ramppost.wire.server import Reply, Request, listen, serve

LOAD_LAG_S: Final = 0.5
DEFAULT_TOKENS: Final = 16
QUALITY_SPREAD: Final = 0.1
CONFIDENCE_NOISE: Final = 0.05
SSE: Final = "text/event-stream"


class Run(TypedDict):
    """A line of `/_log`."""

    at: float
    request_id: str
    attempt: str
    idempotency_key: str
    model: str
    version: str
    workspace: str
    session: str
    priority: int
    state: Literal["running", "done", "cancelled", "failed"]


class RunBody(TypedDict):
    """What a caller of the engine sends."""

    model: str
    messages: list[Any]
    max_tokens: NotRequired[int | None]


class AttemptBody(TypedDict):
    """Names a run to cancel."""

    attempt: str


class OrderBody(TypedDict):
    """A fenced order."""

    fence: int
    action: Literal["load", "unload"]
    model: str
    version: str


class Order(TypedDict):
    """A line of `/_orders`."""

    at: float
    fence: int
    action: str
    name: str
    status: int


class Work:
    """A run and what it has produced."""

    def __init__(self, run: Run) -> None:
        self.run = run
        self.tokens: list[str] = []
        self.confidence = 0.0
        self.more = curio.Event()

    async def wake(self) -> None:
        """Wake all readers."""
        more, self.more = self.more, curio.Event()
        await more.set()


class Engine:
    """State of the engine."""

    def __init__(self, cfg: EngineStandinSettings) -> None:
        self.slots = cfg["slots"]
        self.checks_fences = cfg.get("checks_fences", False)
        known = {f"{m['model']}@{m['version']}": m for m in cfg["models"]}
        self.models = {name: m for name, m in known.items() if m.get("loaded", True)}
        self.store = known
        self.load_s = cfg.get("load_s", 0.5)
        self.loading = ""
        self.orders: list[Order] = []
        self.fence = 0
        self.running = 0
        self.waiting: list[tuple[int, int, curio.Event]] = []
        self.order = itertools.count()
        self.log: list[Run] = []
        self.works: dict[str, Work] = {}
        self.faults = Faults()
        self.host = Host()
        self.rng = random.Random(7)
        self.reported = 0

    async def enter(self, priority: int) -> None:
        """Wait for a slot."""
        if self.running < self.slots:
            self.running += 1
            return
        turn = curio.Event()
        heapq.heappush(self.waiting, (priority, next(self.order), turn))
        await turn.wait()

    async def leave(self) -> None:
        """Give a slot to the next in line."""
        if self.waiting:
            _, _, turn = heapq.heappop(self.waiting)
            await turn.set()
        else:
            self.running -= 1


async def run(cfg: EngineStandinSettings) -> None:
    """Serve until cancelled."""
    engine = Engine(cfg)

    async def handle(req: Request, reply: Reply) -> None:
        if req.path == "/v1/chat/completions":
            await _complete(engine, req, reply)
        elif req.path == "/v1/models":
            await reply.send(200, encode(list(engine.models)))
        elif req.path.startswith("/v1/runs/"):
            await _resume(engine, req, reply)
        elif req.path == "/v1/cancel":
            await _cancel(engine, req, reply)
        elif req.path == "/load":
            await reply.send(200, encode(_load(engine)))
        elif req.path == "/order":
            await _order(engine, req, reply)
        elif req.path == "/_orders":
            await reply.send(200, encode(engine.orders))
        elif req.path == "/_host":
            await _change_host(engine, req, reply)
        elif req.path == "/_log":
            await reply.send(200, encode(engine.log))
        else:
            await reply.send(404, b'{"error":"no such path"}')

    await curio.spawn(_report_load, engine, daemon=True)
    where = cfg["listen"]
    logger.info("engine stand-in on {}:{}", where["host"], where["port"])
    await serve(listen(where["host"], where["port"]), with_faults(engine.faults, handle))


async def _report_load(engine: Engine) -> None:
    while True:
        await curio.sleep(LOAD_LAG_S)
        engine.reported = engine.running + len(engine.waiting)


def _load(engine: Engine) -> dict[str, int]:
    """The answer to `/load`; the pace is included only where it is set."""
    load = {"running": engine.reported, "slots": engine.slots}
    pace_pct = engine.host.pace_pct
    return load if pace_pct is None else {**load, "pace_pct": pace_pct}


async def _change_host(engine: Engine, req: Request, reply: Reply) -> None:
    change = decode(req.body, HostChange)
    if isinstance(change, BadMessage):
        await reply.send(400, encode({"error": change.reason}))
        return
    engine.host.change(change)
    await reply.send(200, b"{}")


async def _complete(engine: Engine, req: Request, reply: Reply) -> None:
    body = decode(req.body, RunBody)
    if isinstance(body, BadMessage):
        await reply.send(400, encode({"error": body.reason}))
        return
    spec = engine.models.get(body["model"])
    if spec is None:
        await reply.send(404, b'{"error":"no such model version"}')
        return
    run_line = _run_line(req, spec)
    engine.log.append(run_line)
    work = Work(run_line)
    engine.works[run_line["attempt"]] = work
    if engine.faults.for_version("errors", spec["model"], spec["version"]):
        run_line["state"] = "failed"
        await reply.send(500, b'{"error":"engine failed"}')
        return
    count = body.get("max_tokens") or DEFAULT_TOKENS
    await curio.spawn(_produce, engine, work, spec, count, daemon=True)
    await _stream(work, 0, reply)


def _run_line(req: Request, spec: StandinModel) -> Run:
    head = req.headers
    return Run(
        at=time.time(),
        request_id=head.get("x-request-id", ""),
        attempt=head.get("x-attempt", ""),
        idempotency_key=head.get("idempotency-key", ""),
        model=spec["model"],
        version=spec["version"],
        workspace=head.get("x-workspace", ""),
        session=head.get("x-session", ""),
        priority=int(head.get("x-priority", "5")),
        state="running",
    )


async def _produce(engine: Engine, work: Work, spec: StandinModel, count: int) -> None:
    await engine.enter(work.run["priority"])
    try:
        slow = engine.faults.for_version("slow_tokens", spec["model"], spec["version"])
        token_s = spec["token_ms"] / 1000 + (slow.get("seconds", 0.1) if slow else 0)
        poor = engine.faults.for_version("poor", spec["model"], spec["version"])
        mean = spec["quality"] * (poor.get("factor", 0.3) if poor else 1)
        quality = min(1.0, max(0.0, engine.rng.gauss(mean, QUALITY_SPREAD)))
        work.confidence = min(1.0, max(0.0, quality + engine.rng.gauss(0, CONFIDENCE_NOISE)))
        for index in range(count):
            await curio.sleep(engine.host.work_s(token_s))
            if work.run["state"] == "cancelled":
                break
            last = index == count - 1
            work.tokens.append(f"~q{quality:.3f}" if last else f"w{index} ")
            await work.wake()
        if work.run["state"] == "running":
            work.run["state"] = "done"
        await work.wake()
    finally:
        await engine.leave()


async def _stream(work: Work, start: int, reply: Reply) -> None:
    await reply.start(200, SSE)
    sent = start
    while True:
        more = work.more
        while sent < len(work.tokens):
            piece = {
                "id": work.run["attempt"],
                "choices": [{"index": 0, "delta": {"content": work.tokens[sent]}}],
            }
            sent += 1
            await reply.write(b"data: " + encode(piece) + b"\n\n")
        if work.run["state"] != "running":
            break
        await more.wait()
    finish = "stop" if work.run["state"] == "done" else "cancelled"
    usage = {"prompt_tokens": 8, "completion_tokens": len(work.tokens)}
    choice = {"index": 0, "delta": {}, "finish_reason": finish}
    final: dict[str, Any] = {"id": work.run["attempt"], "choices": [choice], "usage": usage}
    final["confidence"] = work.confidence
    await reply.write(b"data: " + encode(final) + b"\n\ndata: [DONE]\n\n")
    await reply.end()


async def _resume(engine: Engine, req: Request, reply: Reply) -> None:
    work = engine.works.get(req.path.removeprefix("/v1/runs/"))
    if work is None:
        await reply.send(404, b'{"error":"no such run"}')
        return
    await _stream(work, int(req.query.get("from", "0")), reply)


async def _cancel(engine: Engine, req: Request, reply: Reply) -> None:
    body = decode(req.body, AttemptBody)
    work = None if isinstance(body, BadMessage) else engine.works.get(body["attempt"])
    if work is not None and work.run["state"] == "running":
        work.run["state"] = "cancelled"
        await work.wake()
    await reply.send(200, b"{}")


async def _order(engine: Engine, req: Request, reply: Reply) -> None:
    order = decode(req.body, OrderBody)
    if isinstance(order, BadMessage):
        await reply.send(400, encode({"error": order.reason}))
        return
    name = f"{order['model']}@{order['version']}"
    status = _order_status(engine, order, name)
    line = Order(
        at=time.time(), fence=order["fence"], action=order["action"], name=name, status=status
    )
    engine.orders.append(line)
    if status != 200:
        await reply.send(status, b'{"error":"not taken"}', headers=(("retry-after", "1"),))
        return
    engine.fence = max(engine.fence, order["fence"])
    if order["action"] == "load":
        engine.loading = name
        await curio.spawn(_load_model, engine, name, daemon=True)
    else:
        engine.models.pop(name, None)
    await reply.send(200, b"{}")


def _order_status(engine: Engine, order: OrderBody, name: str) -> int:
    """200 for an order that is taken, 409 for an old fence, 503 while the store is busy."""
    if engine.checks_fences and order["fence"] < engine.fence:
        return 409
    if name not in engine.store:
        return 404
    return 503 if engine.loading else 200


async def _load_model(engine: Engine, name: str) -> None:
    """Load a version's weights."""
    await curio.sleep(engine.load_s)
    engine.models[name] = engine.store[name]
    engine.loading = ""
