"""Stand-in for the platform: object API, box list and rating service.

The object API keeps values by key with a version that rises with each write,
takes conditional writes (`If-None-Match: *`, `If-Match: VERSION`) and waiting
watches, and refuses calls above its rates.  `GET /_log` tells all writes.
"""

from __future__ import annotations

import hashlib
import re
import time
from pathlib import Path
from typing import Any, Final, TypedDict

import curio
import json5
import msgspec
from loguru import logger

from ramppost import clock
from ramppost.schema.config import ConfigDoc
from ramppost.schema.messages import Rating
from ramppost.schema.settings import Box, PlatformStandinSettings
from ramppost.standin.faults import Faults, with_faults
from ramppost.wire.codec import BadMessage, decode, encode
from ramppost.wire.server import Reply, Request, listen, serve

MAX_VALUE: Final = 1_000_000
MAX_WATCH_S: Final = 30.0
LIST_LIMIT: Final = 1000
CONFIG_KEY: Final = "config/current"
QUALITY_MARK: Final = re.compile(r"~q([0-9.]+)")


class Object(TypedDict):
    """A stored object."""

    key: str
    version: int
    value: Any


class Write(TypedDict):
    """A line of `/_log`."""

    at: float
    key: str
    version: int
    deleted: bool


class Rated(TypedDict):
    """An answer handed in for rating."""

    request_id: str
    model: str
    version: str
    class_name: str
    text: str


class Bucket:
    """A token bucket of one second's burst."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._left = rate
        self._at = clock.now()

    def take(self) -> bool:
        """Take one token if there is one."""
        now = clock.now()
        self._left = min(self._rate, self._left + (now - self._at) * self._rate)
        self._at = now
        if self._left < 1:
            return False
        self._left -= 1
        return True


class Store:
    """Everything the stand-in keeps."""

    def __init__(self, boxes: list[Box]) -> None:
        self.version = 0
        self.objects: dict[str, Object] = {}
        self.log: list[Write] = []
        self.changed = curio.Condition()
        self.boxes = boxes
        self.ratings: list[tuple[float, Rating]] = []
        self.reads = 0
        self.writes = 0

    async def put(self, key: str, value: Any) -> Object:
        """Write without a condition."""
        self.version += 1
        item = Object(key=key, version=self.version, value=value)
        self.objects[key] = item
        self.log.append(Write(at=time.time(), key=key, version=self.version, deleted=False))
        await self._notify()
        return item

    async def delete(self, key: str) -> None:
        """Remove a key."""
        if self.objects.pop(key, None) is not None:
            self.version += 1
            self.log.append(Write(at=time.time(), key=key, version=self.version, deleted=True))
            await self._notify()

    async def _notify(self) -> None:
        async with self.changed:
            await self.changed.notify_all()

    def listing(self, prefix: str, after: str, since: int) -> list[Object]:
        """Objects below a prefix, after a key and newer than a version."""
        keys = sorted(k for k in self.objects if k.startswith(prefix) and k > after)
        found = [self.objects[k] for k in keys]
        return [item for item in found if item["version"] > since][:LIST_LIMIT]


async def run(cfg: PlatformStandinSettings) -> None:
    """Serve until cancelled."""
    store = Store(list(cfg["boxes"]))
    doc = json5.loads(Path(cfg["seed"]).read_text(encoding="utf-8"))
    await store.put(CONFIG_KEY, msgspec.convert(doc, ConfigDoc))
    reads = Bucket(cfg.get("reads_per_s", 2000))
    writes = Bucket(cfg.get("writes_per_s", 100))
    delay_s = cfg.get("rating_delay_s", 1.0)

    async def handle(req: Request, reply: Reply) -> None:
        if req.path.startswith("/_"):
            await _inspect(store, req, reply)
            return
        is_read = req.method == "GET"
        store.reads += is_read
        store.writes += not is_read
        if not (reads if is_read else writes).take():
            await reply.send(429, b'{"error":"rate"}', headers=(("retry-after", "1"),))
        elif req.path.startswith("/objects"):
            await _objects(store, req, reply)
        elif req.path == "/watch":
            await _watch(store, req, reply)
        elif req.path == "/boxes":
            await _boxes(store, req, reply)
        elif req.path == "/ratings":
            await _ratings(store, delay_s, req, reply)
        else:
            await reply.send(404, b'{"error":"no such path"}')

    where = cfg["listen"]
    logger.info("platform stand-in on {}:{}", where["host"], where["port"])
    await serve(listen(where["host"], where["port"]), with_faults(Faults(), handle))


async def _boxes(store: Store, req: Request, reply: Reply) -> None:
    body = encode(store.boxes)
    tag = hashlib.sha256(body).hexdigest()[:16]
    if req.headers.get("if-none-match") == tag:
        await reply.send(304, b"")
    else:
        await reply.send(200, body, headers=(("etag", tag),))


async def _objects(store: Store, req: Request, reply: Reply) -> None:
    key = req.path.removeprefix("/objects").removeprefix("/")
    if req.method == "GET" and not key:
        query = req.query
        items = store.listing(query.get("prefix", ""), query.get("after", ""), 0)
        await reply.send(200, encode({"version": store.version, "items": items}))
        return
    held = store.objects.get(key)
    if req.method == "GET":
        await reply.send(200 if held else 404, encode(held))
    elif req.method == "DELETE":
        await store.delete(key)
        await reply.send(200, b"{}")
    else:
        await _put(store, key, held, req, reply)


async def _put(store: Store, key: str, held: Object | None, req: Request, reply: Reply) -> None:
    if len(req.body) > MAX_VALUE:
        await reply.send(413, b'{"error":"value too large"}')
        return
    wanted = req.headers.get("if-match")
    create = req.headers.get("if-none-match") == "*"
    if (create and held) or (wanted is not None and wanted != str(held["version"] if held else 0)):
        await reply.send(412, encode(held))
        return
    item = await store.put(key, msgspec.json.decode(req.body))
    await reply.send(200, encode({"version": item["version"]}))


async def _watch(store: Store, req: Request, reply: Reply) -> None:
    prefix = req.query.get("prefix", "")
    since = int(req.query.get("since", "0"))
    wait_s = min(MAX_WATCH_S, float(req.query.get("wait_s", MAX_WATCH_S)))
    deadline = clock.now() + wait_s
    while not (items := store.listing(prefix, "", since)):
        left = deadline - clock.now()
        if left <= 0:
            break
        async with curio.ignore_after(left), store.changed:
            await store.changed.wait()
    await reply.send(200, encode({"version": store.version, "items": items}))


async def _ratings(store: Store, delay_s: float, req: Request, reply: Reply) -> None:
    now = clock.now()
    if req.method == "GET":
        after = int(req.query.get("after", "0"))
        ready = [r for due, r in store.ratings[after:] if due <= now]
        await reply.send(200, encode(ready[:LIST_LIMIT]))
        return
    answers = decode(req.body, list[Rated])
    if isinstance(answers, BadMessage):
        await reply.send(400, encode({"error": answers.reason}))
        return
    for answer in answers:
        mark = QUALITY_MARK.search(answer["text"])
        rating = Rating(
            seq=len(store.ratings) + 1,
            request_id=answer["request_id"],
            model=answer["model"],
            version=answer["version"],
            class_name=answer["class_name"],
            score=float(mark.group(1)) if mark else 0.5,
        )
        store.ratings.append((now + delay_s, rating))
    await reply.send(200, b"{}")


async def _inspect(store: Store, req: Request, reply: Reply) -> None:
    if req.path == "/_log":
        await reply.send(200, encode(store.log))
    elif req.path == "/_counts":
        await reply.send(200, encode({"reads": store.reads, "writes": store.writes}))
    elif req.path == "/_boxes":
        boxes = decode(req.body, list[Box])
        if not isinstance(boxes, BadMessage):
            store.boxes = boxes
        await reply.send(200, encode(store.boxes))
    else:
        await reply.send(404, b'{"error":"no such path"}')
