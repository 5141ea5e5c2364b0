"""Client of the platform's object store.

Every outcome is a value: what was read, `Missing`, `Conflict` where a condition did
not hold, `HistoryExpired` where a watch asked too far back, or `Unavailable`.  After an
`Unavailable` write the object has to be read back, for the write may have been done or
may still be done later.

    snapshot = await list_kind(client, "config")
    changes = await watch(client, "config", snapshot.revision, 1.0)
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final, NamedTuple, NotRequired, TypedDict
from urllib.parse import quote, urlencode

import msgspec
from loguru import logger

from ramppost.wire.client import Answer, CallFailed, Pool, fetch
from ramppost.wire.codec import BadMessage, decode, encode

CALL_TIMEOUT_S: Final = 1.0
"""Seconds until an answer begins; the store answers in milliseconds, or a few hundred when it
is slow.  How long the rest takes depends on its size and the link."""
WATCH_SLACK_S: Final = 0.8
"""Seconds the beginning of a watch's answer may be late; the margin is that of a slow store."""
MAX_PAGES: Final = 1000


class StoredObject(NamedTuple):
    """An object; `spec` and `status` are decoded JSON, `status` None before the first write.

    A spec or status that is missing or can't be read is None.  An object that is not `whole` is
    known by name and revision only.
    """

    name: str
    revision: int
    spec: Any
    status: Any
    whole: bool = True


class Snapshot(NamedTuple):
    """All objects of a kind, and the store's revision when they were listed."""

    objects: list[StoredObject]
    revision: int


class Change(NamedTuple):
    """An object that changed, or that was removed."""

    obj: StoredObject
    removed: bool


class Changes(NamedTuple):
    """What changed since a revision, and the revision to go on from."""

    changes: list[Change]
    revision: int


class HistoryExpired(NamedTuple):
    """The store no longer has the history asked for: list again."""


class Missing(NamedTuple):
    """No such object."""


class Conflict(NamedTuple):
    """The object has another revision, or is there already."""


class Unavailable(NamedTuple):
    """No usable answer; `refused` where the store said that nothing was done."""

    reason: str
    refused: bool


class _Metadata(TypedDict):
    name: str
    revision: int


class _Object(TypedDict):
    """An object whose spec and status are decoded by themselves: anybody may have written them."""

    metadata: _Metadata
    spec: NotRequired[msgspec.Raw]
    status: NotRequired[msgspec.Raw]


class _List(TypedDict):
    items: list[msgspec.Raw]
    truncated: bool
    current_rev: int


class _Event(TypedDict):
    # msgspec 0.23 takes raw values in fields of a TypedDict only where these are not required.
    object: NotRequired[msgspec.Raw]
    tombstone: bool


class _Watch(TypedDict):
    events: list[_Event]
    current_rev: int


class StoreClient:
    """The store's address, the connections to it, and how many calls went out."""

    def __init__(self, addr: str, pool: Pool) -> None:
        self.addr = addr
        self.pool = pool
        self.calls = 0


async def list_kind(
    client: StoreClient, kind: str, stale_ok: bool = False
) -> Snapshot | Unavailable:
    """All objects of a kind, page by page; the revision is that of the first page.

    With `stale_ok` it may be seconds old: a tenth of the price, and outside the store's rates.
    """
    objects: list[StoredObject] = []
    after, first_revision = "", None
    for _ in range(MAX_PAGES):
        query = {"after": after} if after else {}
        if stale_ok:
            query["stale_ok"] = "1"
        path = f"/objects/{quote(kind)}" + (f"?{urlencode(query)}" if query else "")
        got = await _call(client, "GET", path)
        page = _body(got, _List)
        if isinstance(page, Unavailable):
            return page
        found = [obj for item in page["items"] if (obj := _item(kind, item)) is not None]
        objects += found
        if first_revision is None:
            first_revision = page["current_rev"]
        if not page["truncated"] or not page["items"]:
            return Snapshot(objects, first_revision)
        if not found:
            return Unavailable(f"no name to go on from in {kind}", False)
        after = found[-1].name
    return Unavailable(f"more than {MAX_PAGES} pages of {kind}", False)


async def watch(
    client: StoreClient,
    kind: str,
    since: int,
    wait_s: float,
    begun: Callable[[], None] = lambda: None,
) -> Changes | HistoryExpired | Unavailable:
    """Changes of a kind after a revision; waits up to `wait_s` seconds for the first.

    `begun` is called once the answer has begun; the rest may take as long as its size asks.
    """
    query = urlencode({"watch": since, "wait_ms": int(wait_s * 1000)})
    path = f"/objects/{quote(kind)}?{query}"
    got = await _call(client, "GET", path, timeout_s=wait_s + WATCH_SLACK_S, begun=begun)
    if isinstance(got, Answer) and got.status == 410:
        return HistoryExpired()
    body = _body(got, _Watch)
    if isinstance(body, Unavailable):
        return body
    changes = [
        Change(obj, event["tombstone"])
        for event in body["events"]
        if (obj := _item(kind, event.get("object"))) is not None
    ]
    return Changes(changes, body["current_rev"])


async def read(client: StoreClient, kind: str, name: str) -> StoredObject | Missing | Unavailable:
    """One object."""
    got = await _call(client, "GET", f"/objects/{quote(kind)}/{quote(name)}")
    if isinstance(got, Answer) and got.status == 404:
        return Missing()
    body = _body(got, _Object)
    return body if isinstance(body, Unavailable) else _stored(body)


async def create(
    client: StoreClient, kind: str, name: str, spec: Any
) -> StoredObject | Conflict | Unavailable:
    """Make an object; `Conflict` where one of this name is there already."""
    body = encode({"metadata": {"name": name}, "spec": spec})
    return _written(await _call(client, "POST", f"/objects/{quote(kind)}", body))


async def replace(
    client: StoreClient, kind: str, name: str, revision: int, spec: Any
) -> StoredObject | Conflict | Unavailable:
    """Replace an object's spec if it has this revision."""
    body = encode({"metadata": {"name": name, "revision": revision}, "spec": spec})
    return _written(await _call(client, "PUT", f"/objects/{quote(kind)}/{quote(name)}", body))


async def put(
    client: StoreClient, kind: str, name: str, spec: Any
) -> StoredObject | Conflict | Unavailable:
    """Make an object, or replace its spec where it has another; `Conflict` if it changed or
    went meanwhile."""
    got = await create(client, kind, name, spec)
    if not isinstance(got, Conflict):
        return got
    held = await read(client, kind, name)
    if isinstance(held, Missing):
        return got
    if isinstance(held, Unavailable) or held.spec == spec:
        return held
    return await replace(client, kind, name, held.revision, spec)


async def set_status(
    client: StoreClient, kind: str, name: str, revision: int, status: Any
) -> StoredObject | Conflict | Unavailable:
    """Replace an object's status if it has this revision."""
    body = encode({"metadata": {"name": name, "revision": revision}, "status": status})
    path = f"/objects/{quote(kind)}/{quote(name)}/status"
    return _written(await _call(client, "PUT", path, body))


async def _call(
    client: StoreClient,
    method: str,
    path: str,
    body: bytes = b"",
    timeout_s: float = CALL_TIMEOUT_S,
    begun: Callable[[], None] = lambda: None,
) -> Answer | CallFailed:
    client.calls += 1
    head = (("content-type", "application/json"),) if body else ()
    return await fetch(client.pool, client.addr, method, path, body, timeout_s, head, begun)


def _written(got: Answer | CallFailed) -> StoredObject | Conflict | Unavailable:
    if isinstance(got, Answer) and got.status in (404, 409):
        return Conflict()
    body = _body(got, _Object)
    return body if isinstance(body, Unavailable) else _stored(body)


def _body(got: Answer | CallFailed, kind: type[Any]) -> Any:
    """The decoded body of a successful answer."""
    if isinstance(got, CallFailed):
        return Unavailable(got.reason, not got.sent)
    if got.status not in (200, 201):
        return Unavailable(f"status {got.status}", got.status in (429, 503))
    body = decode(got.body, kind)
    return Unavailable(body.reason, False) if isinstance(body, BadMessage) else body


def _item(kind: str, raw: msgspec.Raw | None) -> StoredObject | None:
    """An object of a list or watch; None for one without a name and revision."""
    item = decode(bytes(raw or b"null"), _Object)
    if isinstance(item, BadMessage):
        logger.warning("object without name or revision passed over: {}", item.reason, kind=kind)
        return None
    return _stored(item)


def _stored(item: _Object) -> StoredObject:
    meta = item["metadata"]
    return StoredObject(
        meta["name"], meta["revision"], _value(item.get("spec")), _value(item.get("status"))
    )


def _value(raw: msgspec.Raw | None) -> Any:
    """A decoded value; None where it is missing or can't be read, which its reader logs."""
    value = decode(bytes(raw), Any) if raw is not None else None
    return None if isinstance(value, BadMessage) else value
