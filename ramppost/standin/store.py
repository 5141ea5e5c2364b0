"""Stand-in for the users' object store: lists with pages, watches, conditional writes.

It speaks what `ramppost.platform.store` does, and takes faults by `POST /_fault`.
`POST /_put/KIND/NAME` writes a spec without a condition, as the operator does; `GET
/_log` tells all changes; `POST /_forget` drops the history.  `POST /_return?to=REVISION` or
`?age_s=SECONDS` lets it come back from the copy that it held then: what was written since is gone,
revisions go on from there, and the era in the header of all its answers rises by one.
"""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any, Final, NamedTuple

import curio
from loguru import logger

from ramppost import clock
from ramppost.platform import names
from ramppost.schema.settings import StoreStandinSettings
from ramppost.standin.faults import Faults, with_faults
from ramppost.standin.platform import Bucket
from ramppost.wire.codec import encode
from ramppost.wire.server import (
    JSON_TYPE,
    ClientDisconnected,
    Reply,
    Request,
    listen,
    serve,
)

PAGE: Final = 500
MAX_WAIT_S: Final = 30.0
LISTING_PARTS: Final = 1
OBJECT_PARTS: Final = 2
STATUS_PARTS: Final = 3


class Happened(NamedTuple):
    """A change: when, of what kind, at which revision, and whether it was a removal."""

    at: float
    kind: str
    revision: int
    obj: dict[str, Any]
    removed: bool


class Objects:
    """Objects by kind and name, and the changes that led there."""

    def __init__(self, history_s: float) -> None:
        self.history_s = history_s
        self.era = 0
        self.revision = 0
        self.forgotten = 0
        self.by_kind: dict[str, dict[str, dict[str, Any]]] = {}
        self.history: list[Happened] = []
        self.changed = curio.Condition()

    def kind(self, kind: str) -> dict[str, dict[str, Any]]:
        """Objects of a kind by name."""
        return self.by_kind.setdefault(kind, {})

    async def write(self, kind: str, name: str, **parts: Any) -> dict[str, Any]:
        """Make an object or replace parts of it; the same again changes nothing."""
        held = self.kind(kind).get(name)
        before = held or {"metadata": {"name": name}, "spec": None, "status": None}
        after = {**before, **parts}
        if held is not None and after == held:
            return held
        self.revision += 1
        made = before["metadata"].get("create_revision", self.revision)
        after["metadata"] = {
            "name": name,
            "revision": self.revision,
            "create_revision": made,
            "finalizers": [],
            "deleting": False,
        }
        self.kind(kind)[name] = after
        await self._record(kind, after, False)
        return after

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        held = self.kind(kind).pop(name, None)
        if held is not None:
            self.revision += 1
            await self._record(kind, held, True)

    async def _record(self, kind: str, obj: dict[str, Any], removed: bool) -> None:
        self.history.append(Happened(time.time(), kind, self.revision, obj, removed))
        async with self.changed:
            await self.changed.notify_all()

    async def come_back(self, revision: int) -> None:
        """Go back to the state at a revision, in a new era."""
        self.history = [h for h in self.history if h.revision <= revision]
        self.by_kind = {}
        for happened in self.history:
            name = happened.obj["metadata"]["name"]
            if happened.removed:
                self.kind(happened.kind).pop(name, None)
            else:
                self.kind(happened.kind)[name] = happened.obj
        self.revision = revision
        self.forgotten = min(self.forgotten, revision)
        self.era += 1
        async with self.changed:
            await self.changed.notify_all()

    def revision_at(self, at: float) -> int:
        """The revision that it had at a time of day; at least that of its first object."""
        return max([1, *(h.revision for h in self.history if h.at <= at)])

    def since(self, kind: str, revision: int) -> list[Happened] | None:
        """Changes of a kind after a revision; None where that history is gone."""
        if revision > self.revision:
            return None
        oldest = time.time() - self.history_s
        gone = [h.revision for h in self.history if h.at < oldest]
        if revision < max([self.forgotten, *gone[-1:]]):
            return None
        return [h for h in self.history if h.kind == kind and h.revision > revision]


async def run(cfg: StoreStandinSettings) -> None:
    """Serve until cancelled."""
    objects = Objects(cfg.get("history_s", 20))
    spec = json.loads(Path(cfg["seed"]).read_text(encoding="utf-8"))
    await objects.write(names.CONFIG_KIND, names.CONFIG_NAME, spec=spec)
    reads = Bucket(cfg.get("reads_per_s", 2000))
    writes = Bucket(cfg.get("writes_per_s", 400))

    async def handle(req: Request, reply: Reply) -> None:
        if req.path.startswith("/_"):
            await _inspect(objects, req, reply)
        elif not (reads if req.method == "GET" else writes).take():
            await reply.send(429, b'{"error":"rate"}')
        else:
            await _objects(objects, req, reply)

    async def handle_with_era(req: Request, reply: Reply) -> None:
        await handle(req, _NamingEra(reply, objects))

    where = cfg["listen"]
    logger.info("store stand-in on {}:{}", where["host"], where["port"])
    await serve(listen(where["host"], where["port"]), with_faults(Faults(), handle_with_era))


class _NamingEra(Reply):
    """An answer that names the era of the store as it is sent."""

    def __init__(self, reply: Reply, objects: Objects) -> None:
        self._reply = reply
        self._objects = objects
        self.started = False

    async def send(
        self,
        status: int,
        body: bytes,
        content_type: str = JSON_TYPE,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        self.started = True
        era = (names.STORE_ERA.title(), str(self._objects.era))
        await self._reply.send(status, body, content_type, (*headers, era))


async def _objects(objects: Objects, req: Request, reply: Reply) -> None:
    parts = req.path.strip("/").split("/")[1:]
    if not parts:
        await reply.send(404, b'{"error":"no kind"}')
    elif req.method == "GET" and len(parts) == LISTING_PARTS:
        await _list_or_watch(objects, parts[0], req, reply)
    elif req.method == "GET":
        held = objects.kind(parts[0]).get(parts[1])
        await reply.send(200 if held else 404, encode(held))
    elif req.method == "DELETE":
        await objects.remove(parts[0], parts[1])
        await reply.send(200, b"{}")
    else:
        await _write(objects, parts, req, reply)


async def _list_or_watch(objects: Objects, kind: str, req: Request, reply: Reply) -> None:
    if "watch" in req.query:
        await _watch(objects, kind, req, reply)
        return
    after = req.query.get("after", "")
    found = [name for name in sorted(objects.kind(kind)) if name > after]
    items = [objects.kind(kind)[name] for name in found[:PAGE]]
    body = {"items": items, "truncated": len(found) > PAGE, "current_rev": objects.revision}
    await reply.send(200, encode(body))


async def _watch(objects: Objects, kind: str, req: Request, reply: Reply) -> None:
    since, era = int(req.query["watch"]), objects.era
    wait_s = min(MAX_WAIT_S, int(req.query.get("wait_ms", "0")) / 1000)
    deadline = clock.now() + wait_s
    while (found := objects.since(kind, since)) == []:
        left = deadline - clock.now()
        if left <= 0:
            break
        async with curio.ignore_after(left), objects.changed:
            await objects.changed.wait()
        if objects.era != era:
            raise ClientDisconnected
    if found is None:
        await reply.send(410, b'{"error":"history is gone"}')
        return
    events = [{"object": h.obj, "tombstone": h.removed} for h in found]
    await reply.send(200, encode({"events": events, "current_rev": objects.revision}))


async def _write(objects: Objects, parts: list[str], req: Request, reply: Reply) -> None:
    """POST makes, PUT replaces the spec, PUT on `/status` the status."""
    body = json.loads(req.body)
    kind = parts[0]
    name = parts[1] if len(parts) >= OBJECT_PARTS else body["metadata"]["name"]
    held = objects.kind(kind).get(name)
    if req.method == "POST":
        if held is not None:
            await reply.send(409, encode(held))
            return
        await reply.send(200, encode(await objects.write(kind, name, spec=body.get("spec"))))
        return
    if held is None:
        await reply.send(404, b'{"error":"no such object"}')
        return
    wanted = body.get("metadata", {}).get("revision")
    if wanted is not None and wanted != held["metadata"]["revision"]:
        await reply.send(409, encode(held))
        return
    part = "status" if len(parts) == STATUS_PARTS else "spec"
    await reply.send(200, encode(await objects.write(kind, name, **{part: body.get(part)})))


async def _inspect(objects: Objects, req: Request, reply: Reply) -> None:
    """Calls of tests and trials."""
    parts = req.path.strip("/").split("/")
    if parts[0] == "_put":
        await reply.send(
            200, encode(await objects.write(parts[1], parts[2], spec=json.loads(req.body)))
        )
    elif parts[0] == "_forget":
        objects.forgotten = objects.revision
        await reply.send(200, b"{}")
    elif parts[0] == "_return":
        age_s = float(req.query.get("age_s", "0"))
        await objects.come_back(
            int(req.query.get("to", "0")) or objects.revision_at(time.time() - age_s)
        )
        await reply.send(200, encode({"revision": objects.revision}))
    elif parts[0] == "_log":
        await reply.send(200, encode(objects.history))
    else:
        await reply.send(404, b'{"error":"no such path"}')
