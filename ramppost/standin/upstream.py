"""Stand-in for an upstream of the users' platform: keeps its entry, runs, streams.

A request that tells tokens is answered with a stream of events, any other with a small
body.  `event_bytes` in its query pads the events.  `GET /_log` tells its runs and `GET /_arrivals`
all requests that arrived, `POST /_behave` sets a `Behaviour`, `POST /_notices` its `Notices`,
`POST /_host` the speed and pace of its work (`HostChange`), and `POST /_leave` makes its entry say
that it is leaving.
"""

from __future__ import annotations

import os
import secrets
import time
from collections.abc import Callable
from typing import Final, NotRequired, TypedDict

import curio
from loguru import logger

from ramppost import clock
from ramppost.platform import names
from ramppost.platform.documents import DRAINING
from ramppost.platform.store import StoreClient, put
from ramppost.schema.settings import UpstreamStandinSettings
from ramppost.standin.host import Host, HostChange
from ramppost.wire.client import Pool
from ramppost.wire.codec import BadMessage, decode, encode
from ramppost.wire.server import ClientDisconnected, Reply, Request, listen, serve

HEARTBEAT_S: Final = 0.4
DEFAULT_CONFIDENCE: Final = 90
DEFAULT_EVENTS: Final = 5
SIGNATURE: Final = "signature"
END_AFTER_S: Final = 0.05
"""From the head of an answer to the end of the process, for a request that ends it."""


class Behaviour(TypedDict):
    """How it answers from now on: events of a stream, after how many it breaks off, the
    confidence it tells (for all models, or by model), a status instead of an answer, a refusal,
    silence, an answer lost after the run, a time to work and between events, a body whose run
    ends the process just after its head, answers without length and chunks that end with their
    connection, or a warm-up time from now on and the number of requests
    per second that ends the process during it."""

    events: NotRequired[int]
    cut_after: NotRequired[int]
    confidence: NotRequired[int]
    confidences: NotRequired[dict[str, int]]
    status: NotRequired[int]
    refuse: NotRequired[bool]
    hang: NotRequired[bool]
    lose: NotRequired[bool]
    work_ms: NotRequired[int]
    event_ms: NotRequired[int]
    ends_on: NotRequired[str]
    unframed: NotRequired[bool]
    warmup_ms: NotRequired[int]
    too_many: NotRequired[int]


class Notices(TypedDict):
    """What it tells of itself in all its answers, however it behaves: the requests per second that
    it accepts from all gateways together, that it is leaving, or the seconds of rest that it asks
    of each gateway that it turns away, which it does with every request; None ends one of them."""

    limit_per_s: NotRequired[float | None]
    leaving: NotRequired[bool | None]
    rest_s: NotRequired[float | None]


class Arrival(TypedDict):
    """A request that arrived, as `/_arrivals` tells it.

    Times of day, and `born`, the start of the upstream, in milliseconds since 1970.  `answered_at`
    is 0 while it has no answer.  `limited` tells whether a limit was in force as it arrived, which
    `limit_per_s` was.  The answer named a limit (`told_limit`), said that the upstream is leaving
    (`told_leaving`) and asked for so much rest (`told_rest_s`, 0 for none).  A request that is
    `mistaken` was meant for another upstream.
    """

    upstream: str
    born: int
    gateway: str
    attempt_id: str
    at: float
    answered_at: float
    limited: bool
    limit_per_s: float
    told_limit: bool
    told_leaving: bool
    told_rest_s: float
    mistaken: bool


class RunLine(TypedDict):
    """A run, as `/_log` tells it."""

    upstream: str
    at: float
    attempt_id: str
    model: str
    workspace: str
    key_seen: bool
    priority: str
    left_ms: int
    after_event: str
    target: str
    body: str
    state: str


class _Upstream:
    def __init__(self, cfg: UpstreamStandinSettings) -> None:
        self.cfg = cfg
        self.how = Behaviour()
        self.notices = Notices()
        self.host = Host()
        self.runs: list[RunLine] = []
        self.arrivals: list[Arrival] = []
        self.running = 0
        self.leaving = False
        self.warmup_until = 0.0
        """End of the warm-up (steady clock)."""
        self.born = int(time.time() * 1000)


async def run(cfg: UpstreamStandinSettings) -> None:
    """Serve until cancelled."""
    up = _Upstream(cfg)

    async def handle(req: Request, reply: Reply) -> None:
        if req.path.startswith("/_"):
            await _inspect(up, req, reply)
        else:
            await _answer(up, req, reply)

    where = cfg["listen"]
    await curio.spawn(_keep_entry, up, daemon=True)
    logger.info("upstream stand-in {} on {}:{}", cfg["id"], where["host"], where["port"])
    await serve(listen(where["host"], where["port"]), handle)


def _entry(up: _Upstream) -> dict[str, object]:
    cfg = up.cfg
    return {
        "service": cfg["service"],
        "addr": f"{cfg['listen']['host']}:{cfg['listen']['port']}",
        "zone": cfg["hall"],
        "version": cfg["version"],
        "slots": cfg["slots"],
        "state": DRAINING if up.leaving else "ready",
        "born": up.born,
        "cold_left_ms": max(0, round((up.warmup_until - clock.now()) * 1000)),
    }


async def _keep_entry(up: _Upstream) -> None:
    """Keep the entry in the store as it should be."""
    client = StoreClient(up.cfg["store"], Pool())
    while True:
        await put(client, names.UPSTREAM_KIND, up.cfg["id"], _entry(up))
        await curio.sleep(HEARTBEAT_S)


HeadersNow = Callable[[], tuple[tuple[str, str], ...]]
"""The headers that every answer has, by the state as it is sent."""


def _arrive(up: _Upstream, attempt_id: str, gateway: str, mistaken: bool) -> HeadersNow:
    """Log the arrival of a request; gives what to call as its answer is sent."""
    arrival = Arrival(
        upstream=up.cfg["id"],
        born=up.born,
        gateway=gateway,
        attempt_id=attempt_id,
        at=time.time(),
        answered_at=0.0,
        limited="limit_per_s" in up.notices,
        limit_per_s=up.notices.get("limit_per_s") or 0.0,
        told_limit=False,
        told_leaving=False,
        told_rest_s=0.0,
        mistaken=mistaken,
    )
    up.arrivals.append(arrival)

    def headers_now() -> tuple[tuple[str, str], ...]:
        arrival["answered_at"] = time.time()
        found = [
            (names.ATTEMPT_ID.decode(), attempt_id),
            (names.LOAD.decode(), _load_text(up)),
        ]
        limit_per_s, rest_s = up.notices.get("limit_per_s"), up.notices.get("rest_s")
        if limit_per_s is not None:
            arrival["told_limit"] = True
            found.append((names.RATE_LIMIT.decode(), str(limit_per_s)))
        if up.notices.get("leaving"):
            arrival["told_leaving"] = True
            found.append((names.LEAVING.decode(), "1"))
        if rest_s is not None:
            arrival["told_rest_s"] = rest_s
            found.append(("Retry-After", str(rest_s)))
        return tuple(found)

    return headers_now


def _load_text(up: _Upstream) -> str:
    """The value of the load header; the pace is included only where it is set."""
    text = f"{up.running},0,{up.cfg['slots']}"
    return text if up.host.pace_pct is None else f"{text},{up.host.pace_pct}"


async def _answer(up: _Upstream, req: Request, reply: Reply) -> None:
    heads = {name.encode(): value for name, value in req.headers.items()}
    attempt_id = heads.get(names.ATTEMPT_ID, "")
    mistaken = heads.get(names.EXPECTED_UPSTREAM, up.cfg["id"]) != up.cfg["id"]
    headers_now = _arrive(up, attempt_id, reply.peer_host, mistaken)
    if mistaken:
        own = (names.INSTANCE_ID.decode(), up.cfg["id"])
        await reply.send(names.STATUS_WRONG_UPSTREAM, b"", headers=(*headers_now(), own))
        return
    if up.how.get("refuse") or "rest_s" in up.notices or up.running >= up.cfg["slots"]:
        await reply.send(503, b"", headers=(*headers_now(), (names.NOT_RUN.decode(), "1")))
        return
    line = _run_line(up.cfg["id"], req, heads, attempt_id)
    up.runs.append(line)
    _end_if_overloaded(up)
    up.running += 1
    try:
        await _run(up, req, reply, heads, headers_now)
        line["state"] = "done"
    except (ClientDisconnected, curio.CancelledError):
        line["state"] = "cut"
        raise
    finally:
        up.running -= 1


def _end_if_overloaded(up: _Upstream) -> None:
    too_many = up.how.get("too_many", 0)
    if not too_many or clock.now() >= up.warmup_until:
        return
    last_second = [line for line in up.runs[-too_many:] if line["at"] > time.time() - 1]
    if len(last_second) >= too_many:
        os._exit(1)


def _run_line(upstream_id: str, req: Request, heads: dict[bytes, str], attempt_id: str) -> RunLine:
    return RunLine(
        upstream=upstream_id,
        at=time.time(),
        attempt_id=attempt_id,
        model=heads.get(names.MODEL, ""),
        workspace=heads.get(names.WORKSPACE, ""),
        key_seen=names.API_KEY in heads,
        priority=heads.get(names.PRIORITY, ""),
        left_ms=int(heads.get(names.DEADLINE_MS, "0")),
        after_event=heads.get(names.LAST_EVENT_ID, ""),
        target=f"{req.method} {req.path}",
        body=req.body.decode("latin-1"),
        state="running",
    )


async def _run(
    up: _Upstream,
    req: Request,
    reply: Reply,
    heads: dict[bytes, str],
    headers_now: HeadersNow,
) -> None:
    if up.how.get("hang"):
        await curio.sleep(float("inf"))
    await curio.sleep(up.host.work_s(up.how.get("work_ms", up.cfg["work_ms"]) / 1000))
    is_fatal = _is_fatal(up, req, heads)
    if is_fatal and up.cfg.get("ends_before_head"):
        os._exit(1)
    if up.how.get("lose"):
        raise ClientDisconnected
    head = (*headers_now(), (names.SIGNATURE.decode(), f"{SIGNATURE}.{up.cfg['id']}"))
    status = up.how.get("status", 200)
    if names.TOKEN_COUNTS not in heads or status != 200:
        body = {"upstream": up.cfg["id"], "nonce": secrets.token_hex(4), "echo": req.path}
        if up.how.get("unframed"):
            await reply.send_raw(_unframed_head(status, head) + encode(body))
            raise ClientDisconnected
        await reply.send(status, encode(body), headers=head)
        return
    model = heads.get(names.MODEL, "")
    own = up.how.get("confidences", {}).get(model, up.how.get("confidence", DEFAULT_CONFIDENCE))
    confidence = (names.CONFIDENCE.decode(), str(own))
    write = reply.write
    if up.how.get("unframed"):
        write = reply.send_raw
        await write(_unframed_head(200, (*head, confidence)))
    else:
        await reply.start(200, "text/event-stream", (*head, confidence))
    if is_fatal:
        await curio.sleep(END_AFTER_S)
        os._exit(1)
    padding = b"x" * int(req.query.get("event_bytes", "0"))
    begin = int(heads.get(names.LAST_EVENT_ID, "0") or "0")
    for number in range(begin + 1, up.how.get("events", DEFAULT_EVENTS) + 1):
        if number > up.how.get("cut_after", number):
            await write(b"id: %d\ndata: tor" % number)
            raise ClientDisconnected
        await write(b"id: %d\ndata: piece %d%s\n\n" % (number, number, padding))
        event_s = up.how.get("event_ms", up.cfg.get("event_ms", 10)) / 1000
        await curio.sleep(up.host.work_s(event_s))
    if up.how.get("unframed"):
        raise ClientDisconnected
    await reply.end()


def _unframed_head(status: int, headers: tuple[tuple[str, str], ...]) -> bytes:
    """The head of an answer that has neither a length nor chunks."""
    lines = [f"HTTP/1.1 {status} Unframed", *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join([*lines, "", ""]).encode()


def _is_fatal(up: _Upstream, req: Request, heads: dict[bytes, str]) -> bool:
    """Whether running a request ends the process."""
    shared_parts = [part.partition(":")[0] for part in heads.get(names.PROMPT_PARTS, "").split(",")]
    return (
        up.how.get("ends_on", up.cfg.get("ends_on")) == req.body.decode("latin-1")
        or up.cfg.get("ends_on_part") in shared_parts[:-1]
    )


def _without_ended(told: Notices, change: Notices) -> Notices:
    """What it tells after a change."""
    found = Notices(**{**told, **change})
    if found.get("limit_per_s") is None:
        found.pop("limit_per_s", None)
    if found.get("rest_s") is None:
        found.pop("rest_s", None)
    return found


async def _inspect(up: _Upstream, req: Request, reply: Reply) -> None:
    """Calls of tests and trials."""
    if req.path == "/_behave":
        how = decode(req.body, Behaviour)
        if isinstance(how, BadMessage):
            await reply.send(400, encode({"error": how.reason}))
            return
        up.how = how
        if "warmup_ms" in how:
            up.warmup_until = clock.now() + how["warmup_ms"] / 1000
    elif req.path == "/_notices":
        notices = decode(req.body, Notices)
        if isinstance(notices, BadMessage):
            await reply.send(400, encode({"error": notices.reason}))
            return
        up.notices = _without_ended(up.notices, notices)
    elif req.path == "/_host":
        host_change = decode(req.body, HostChange)
        if isinstance(host_change, BadMessage):
            await reply.send(400, encode({"error": host_change.reason}))
            return
        up.host.change(host_change)
    elif req.path == "/_leave":
        up.leaving = True
    await reply.send(200, encode(up.arrivals if req.path == "/_arrivals" else up.runs))
