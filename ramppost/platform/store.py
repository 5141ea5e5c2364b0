"""Client of the platform's object store.

Every call returns a value: what was read, `Missing`, `Conflict` if a condition did not hold,
`HistoryExpired` if a watch started from a revision that is too old, or `Unavailable`.  After an
`Unavailable` write the object has to be read back, because the write may have been applied or
may still be applied later.

    snapshot = await list_kind(client, "config")
    changes = await watch(client, "config", snapshot.revision, 1.0)
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final, NamedTuple, NotRequired, TypedDict
from urllib.parse import quote, urlencode

import msgspec
from loguru import logger

from ramppost.platform import names
from ramppost.policy.position import Position
from ramppost.wire.client import CallFailed, Pool, Response, fetch
from ramppost.wire.codec import BadMessage, decode, encode
from ramppost.wire.digits import parse_digits
from ramppost.wire.nesting import decode_list, decode_value

CALL_TIMEOUT_S: Final = 1.0
"""Time limit for the start of a response.  The store responds within milliseconds, or a few hundred
when it is slow.  The rest of a response takes a time that depends on its size and the link."""
WATCH_SLACK_S: Final = 0.8
"""Time by which the start of a watch's response may exceed its wait, which allows for a slow
store."""
MAX_PAGES: Final = 1000


class StoredObject(NamedTuple):
    """An object of the store, with its `spec` and `status` as decoded JSON.

    A spec or status that is missing or can't be decoded is None; a status is missing before it is
    first written.  Only the name and position are known of an object that is not `whole`.
    """

    name: str
    revision: int
    spec: Any
    status: Any
    whole: bool = True
    era: int = 0
    """The era of the store in which it was read."""

    @property
    def position(self) -> Position:
        """The state of the object."""
        return Position(self.era, True, self.revision)


class Snapshot(NamedTuple):
    """All objects of a kind, and the state of the store when they were listed."""

    objects: list[StoredObject]
    revision: int
    era: int = 0
    settled: bool = True

    @property
    def position(self) -> Position:
        """The state of the store."""
        return Position(self.era, self.settled, self.revision)


class Change(NamedTuple):
    """A changed or removed object."""

    obj: StoredObject
    removed: bool


class Changes(NamedTuple):
    """The changes since a revision of the same era, and the state to continue from."""

    changes: list[Change]
    revision: int
    era: int = 0
    settled: bool = True

    @property
    def position(self) -> Position:
        """The state of the store after the changes."""
        return Position(self.era, self.settled, self.revision)


class HistoryExpired(NamedTuple):
    """The store no longer has the requested history; the caller has to list the objects again."""


class Missing(NamedTuple):
    """The object does not exist."""


class Conflict(NamedTuple):
    """The object has another revision, or already exists."""


class Unavailable(NamedTuple):
    """There was no usable response.

    `refused` means that the call had no effect: it was not sent, or the store rejected it.
    """

    reason: str
    refused: bool


class _Metadata(TypedDict):
    name: str
    revision: int


class _Object(TypedDict):
    """An object whose spec and status are decoded separately, because they may be invalid: anybody
    may have written them."""

    metadata: _Metadata
    spec: NotRequired[msgspec.Raw]
    status: NotRequired[msgspec.Raw]


class _List(TypedDict):
    items: list[msgspec.Raw]
    truncated: bool
    current_rev: int


class _Event(TypedDict):
    # msgspec 0.23 accepts raw values in fields of a TypedDict only if these are not required.
    object: NotRequired[msgspec.Raw]
    tombstone: bool


class _Watch(TypedDict):
    events: list[_Event]
    current_rev: int


class StoreClient:
    """The address of the store, the connection pool, the number of calls made, and the newest era
    that an answer has named; `on_era` is called with the era of each answer.
    """

    def __init__(
        self, addr: str, pool: Pool, on_era: Callable[[int], None] = lambda era: None
    ) -> None:
        self.addr = addr
        self.pool = pool
        self.calls = 0
        self.era = 0
        self.on_era = on_era


async def list_kind(
    client: StoreClient, kind: str, stale_ok: bool = False
) -> Snapshot | Unavailable:
    """Lists all objects of a kind, page by page; the revision is that of the first page.

    All pages are of one era.

    With `stale_ok` the list may be seconds old; such a call costs a tenth and does not count
    towards the store's rate limits.
    """
    objects: list[StoredObject] = []
    after, first_revision, first_era = "", None, 0
    for _ in range(MAX_PAGES):
        query = {"after": after} if after else {}
        if stale_ok:
            query["stale_ok"] = "1"
        path = f"/objects/{quote(kind)}" + (f"?{urlencode(query)}" if query else "")
        response = await _call(client, "GET", path)
        page = _decode_body(response, _List)
        if isinstance(page, Unavailable):
            return page
        era = _era(response)
        page_objects = [
            obj for item in page["items"] if (obj := _decode_item(kind, item, era)) is not None
        ]
        objects += page_objects
        if first_revision is None:
            first_revision, first_era = page["current_rev"], era
        if era != first_era:
            return Unavailable(
                f"the store came back from an older copy while {kind} was read", True
            )
        if not page["truncated"] or not page["items"]:
            return Snapshot(objects, first_revision, first_era)
        if not page_objects:
            return Unavailable(f"no name to go on from in {kind}", False)
        after = page_objects[-1].name
    return Unavailable(f"more than {MAX_PAGES} pages of {kind}", False)


async def watch(
    client: StoreClient,
    kind: str,
    since: int,
    wait_s: float,
    on_response_start: Callable[[], None] = lambda: None,
) -> Changes | HistoryExpired | Unavailable:
    """Returns the changes of a kind after a revision; waits up to `wait_s` seconds for the first.

    They are of use only if they are of the era of that revision.
    `on_response_start` is called at the start of the response; reading the rest has no fixed time
    limit, because it depends on the size.
    """
    query = urlencode({"watch": since, "wait_ms": int(wait_s * 1000)})
    path = f"/objects/{quote(kind)}?{query}"
    response = await _call(
        client, "GET", path, timeout_s=wait_s + WATCH_SLACK_S, on_response_start=on_response_start
    )
    if isinstance(response, Response) and response.status == 410:
        return HistoryExpired()
    body = _decode_body(response, _Watch)
    if isinstance(body, Unavailable):
        return body
    era = _era(response)
    changes = [
        Change(obj, event["tombstone"])
        for event in body["events"]
        if (obj := _decode_item(kind, event.get("object"), era)) is not None
    ]
    return Changes(changes, body["current_rev"], era)


async def read(client: StoreClient, kind: str, name: str) -> StoredObject | Missing | Unavailable:
    """Reads an object."""
    response = await _call(client, "GET", f"/objects/{quote(kind)}/{quote(name)}")
    if isinstance(response, Response) and response.status == 404:
        return Missing()
    body = _decode_body(response, _Object)
    return body if isinstance(body, Unavailable) else _stored_object(body, _era(response))


async def create(
    client: StoreClient, kind: str, name: str, spec: Any
) -> StoredObject | Conflict | Unavailable:
    """Creates an object; returns `Conflict` if the name is already in use."""
    body = encode({"metadata": {"name": name}, "spec": spec})
    return _write_result(await _call(client, "POST", f"/objects/{quote(kind)}", body))


async def replace(
    client: StoreClient, kind: str, name: str, found: Position, spec: Any
) -> StoredObject | Conflict | Unavailable:
    """Replaces the spec of an object if that is still in the state in which it was found."""
    body = encode({"metadata": {"name": name, "revision": found.revision}, "spec": spec})
    return await _write(client, f"/objects/{quote(kind)}/{quote(name)}", body, found)


async def put(
    client: StoreClient, kind: str, name: str, spec: Any
) -> StoredObject | Conflict | Unavailable:
    """Creates an object, or replaces its spec if that differs; returns `Conflict` if the object was
    changed or removed in the meantime."""
    created = await create(client, kind, name, spec)
    if not isinstance(created, Conflict):
        return created
    existing = await read(client, kind, name)
    if isinstance(existing, Missing):
        return created
    if isinstance(existing, Unavailable) or existing.spec == spec:
        return existing
    return await replace(client, kind, name, existing.position, spec)


async def set_status(
    client: StoreClient,
    kind: str,
    name: str,
    found: Position,
    status: Any,
    timeout_s: float = CALL_TIMEOUT_S,
) -> StoredObject | Conflict | Unavailable:
    """Replaces the status of an object if that is still in the state in which it was found."""
    body = encode({"metadata": {"name": name, "revision": found.revision}, "status": status})
    path = f"/objects/{quote(kind)}/{quote(name)}/status"
    return await _write(client, path, body, found, timeout_s)


async def _write(
    client: StoreClient,
    path: str,
    body: bytes,
    found: Position,
    timeout_s: float = CALL_TIMEOUT_S,
) -> StoredObject | Conflict | Unavailable:
    """Write under the condition in the body, which is worth something in its era only.

    A store that has come back since gives the revision out again.  A write that has met such a
    return under way gives `Conflict` as well: the caller has to look what is there.
    """
    if found.era < client.era:
        return Conflict()
    response = await _call(client, "PUT", path, body, timeout_s)
    if isinstance(response, Response) and _era(response) > found.era:
        return Conflict()
    return _write_result(response)


async def _call(
    client: StoreClient,
    method: str,
    path: str,
    body: bytes = b"",
    timeout_s: float = CALL_TIMEOUT_S,
    on_response_start: Callable[[], None] = lambda: None,
) -> Response | CallFailed:
    client.calls += 1
    headers = (("content-type", "application/json"),) if body else ()
    response = await fetch(
        client.pool, client.addr, method, path, body, timeout_s, headers, on_response_start
    )
    if isinstance(response, Response) and names.STORE_ERA in response.headers:
        client.era = max(client.era, _era(response))
        client.on_era(_era(response))
    return response


def _era(response: Response | CallFailed) -> int:
    """The era that an answer names; 0 for a store that names none."""
    text = response.headers.get(names.STORE_ERA, "") if isinstance(response, Response) else ""
    return parse_digits(text) or 0


def _write_result(response: Response | CallFailed) -> StoredObject | Conflict | Unavailable:
    if isinstance(response, Response) and response.status in (404, 409):
        return Conflict()
    body = _decode_body(response, _Object)
    return body if isinstance(body, Unavailable) else _stored_object(body, _era(response))


def _decode_body(response: Response | CallFailed, kind: type[Any]) -> Any:
    """Decodes the body of a successful response."""
    if isinstance(response, CallFailed):
        return Unavailable(response.reason, not response.sent)
    if response.status not in (200, 201):
        return Unavailable(f"status {response.status}", response.status in (429, 503))
    body = decode_list(response.body, kind)
    return Unavailable(body.reason, False) if isinstance(body, BadMessage) else body


def _decode_item(kind: str, raw: msgspec.Raw | None, era: int) -> StoredObject | None:
    """Decodes an object of a list or watch; None if it lacks a name or revision."""
    item = decode(bytes(raw or b"null"), _Object)
    if isinstance(item, BadMessage):
        logger.warning("object without name or revision passed over: {}", item.reason, kind=kind)
        return None
    return _stored_object(item, era)


def _stored_object(item: _Object, era: int) -> StoredObject:
    meta = item["metadata"]
    return StoredObject(
        meta["name"],
        meta["revision"],
        _decode_value(item.get("spec")),
        _decode_value(item.get("status")),
        era=era,
    )


def _decode_value(raw: msgspec.Raw | None) -> Any:
    """Decodes a value, without what is nested too deeply; None if it is missing or invalid, which
    its user logs."""
    value = decode_value(bytes(raw), Any) if raw is not None else None
    return None if isinstance(value, BadMessage) else value
