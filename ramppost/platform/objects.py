"""Client of the platform's object API.

Every call returns a value: what was read or written, `Conflict` if a condition did not
hold, or `Unavailable` if the platform gave no usable response.  In the last case a write
may have taken effect, and the object has to be read back.  A token bucket limits the calls
of a process, so that it can't exhaust the platform's rate limits.
"""

from __future__ import annotations

from typing import Any, Final, Generic, NamedTuple, NotRequired, TypedDict, TypeVar
from urllib.parse import quote, urlencode

import msgspec
from loguru import logger

from ramppost import clock
from ramppost.wire.client import CallFailed, Pool, call, fetch
from ramppost.wire.codec import BadMessage, decode, encode
from ramppost.wire.nesting import decode_list, decode_value

T = TypeVar("T")

CALL_TIMEOUT_S: Final = 2.0
WATCH_SLACK_S: Final = 3.0
CALLS_PER_S: Final = 50.0
BURST_CALLS: Final = 200.0


class Found(NamedTuple, Generic[T]):
    """A value and its version."""

    version: int
    value: T


class Absent(NamedTuple):
    """The key does not exist."""


class Conflict(NamedTuple):
    """The condition of a write did not hold: the key exists, or has another version."""


class Written(NamedTuple):
    """The write took effect, and gave the object this version."""

    version: int


class Unavailable(NamedTuple):
    """There was no usable response; a write may have taken effect unless `sent` is false.

    `rate_limited` tells whether the platform's rate limit or the budget of this process was
    exceeded.
    """

    reason: str
    sent: bool
    rate_limited: bool = False


class Item(TypedDict):
    """An object in a listing; the value is None if it can't be read."""

    key: str
    version: int
    value: Any


class Listing(TypedDict):
    """Objects, and the version of the store when they were listed."""

    version: int
    items: list[Item]


class _Stored(TypedDict):
    """An object whose value is decoded separately, because anybody may have written it."""

    key: str
    version: int
    value: NotRequired[msgspec.Raw]


class _Page(TypedDict):
    version: int
    items: list[_Stored]


class _WrittenBody(TypedDict):
    version: int


class Client:
    """A client of the object API at one address."""

    def __init__(self, addr: str, pool: Pool) -> None:
        self.addr = addr
        self.pool = pool
        self.calls = 0
        self._tokens = BURST_CALLS
        self._refilled_at = clock.now()

    def take_call(self) -> bool:
        """Takes a call from the budget of this process; returns whether one was left."""
        now = clock.now()
        self._tokens = min(BURST_CALLS, self._tokens + (now - self._refilled_at) * CALLS_PER_S)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        self.calls += 1
        return True


OVER_BUDGET: Final = Unavailable("budget of object API calls used up", False, True)
STATUS_TOO_MANY_REQUESTS: Final = 429


async def get(client: Client, key: str, kind: type[T]) -> Found[T] | Absent | Unavailable:
    """Reads and validates one object."""
    if not client.take_call():
        return OVER_BUDGET
    path = f"/objects/{quote(key)}"
    response = await fetch(client.pool, client.addr, "GET", path, timeout_s=CALL_TIMEOUT_S)
    if isinstance(response, CallFailed):
        return Unavailable(response.reason, response.sent)
    if response.status == 404:
        return Absent()
    item = (
        decode(response.body, _Stored)
        if response.status == 200
        else BadMessage(f"status {response.status}")
    )
    if isinstance(item, BadMessage):
        return Unavailable(item.reason, True)
    value = decode_value(_raw(item), kind)
    if isinstance(value, BadMessage):
        return Unavailable(f"{key}: {value.reason}", True)
    return Found(item["version"], value)


async def put(
    client: Client, key: str, value: Any, expected_version: int | None
) -> Written | Conflict | Unavailable:
    """Writes an object if it has `expected_version`, or, if that is None, if it does not exist."""
    if not client.take_call():
        return OVER_BUDGET
    condition = (
        ("if-none-match", "*") if expected_version is None else ("if-match", str(expected_version))
    )
    path = f"/objects/{quote(key)}"
    response = await fetch(
        client.pool, client.addr, "PUT", path, encode(value), CALL_TIMEOUT_S, (condition,)
    )
    if isinstance(response, CallFailed):
        return Unavailable(response.reason, response.sent)
    if response.status == 412:
        return Conflict()
    body = (
        decode(response.body, _WrittenBody)
        if response.status == 200
        else BadMessage(f"status {response.status}")
    )
    if isinstance(body, BadMessage):
        rate_limited = response.status == STATUS_TOO_MANY_REQUESTS
        return Unavailable(
            body.reason, response.status not in (STATUS_TOO_MANY_REQUESTS, 503), rate_limited
        )
    return Written(body["version"])


async def delete(client: Client, key: str) -> Written | Unavailable:
    """Deletes an object."""
    if not client.take_call():
        return OVER_BUDGET
    path = f"/objects/{quote(key)}"
    response = await call(client.pool, client.addr, "DELETE", path, timeout_s=CALL_TIMEOUT_S)
    if isinstance(response, CallFailed):
        return Unavailable(response.reason, response.sent)
    return Written(0) if response.status == 200 else Unavailable(f"status {response.status}", True)


async def list_objects(client: Client, prefix: str, after: str = "") -> Listing | Unavailable:
    """Returns one page of the objects with a key prefix, in order of keys, after a key."""
    query = urlencode({"prefix": prefix, "after": after})
    return await _list(client, f"/objects?{query}", CALL_TIMEOUT_S)


async def watch(client: Client, prefix: str, since: int, wait_s: float) -> Listing | Unavailable:
    """Waits up to `wait_s` seconds for objects with a key prefix that are newer than `since`."""
    query = urlencode({"prefix": prefix, "since": since, "wait_s": wait_s})
    return await _list(client, f"/watch?{query}", wait_s + WATCH_SLACK_S)


async def _list(client: Client, path: str, timeout_s: float) -> Listing | Unavailable:
    if not client.take_call():
        return OVER_BUDGET
    response = await fetch(client.pool, client.addr, "GET", path, timeout_s=timeout_s)
    if isinstance(response, CallFailed):
        return Unavailable(response.reason, response.sent)
    if response.status != 200:
        return Unavailable(f"status {response.status}", True)
    page = decode_list(response.body, _Page)
    if isinstance(page, BadMessage):
        return Unavailable(page.reason, True)
    return Listing(version=page["version"], items=[_item(stored) for stored in page["items"]])


def _raw(stored: _Stored) -> bytes:
    """The value of an object as JSON."""
    return bytes(stored.get("value", b"null"))


def _item(stored: _Stored) -> Item:
    value: Any = decode_value(_raw(stored), Any)
    if isinstance(value, BadMessage):
        logger.warning("value can't be read: {}", value.reason, key=stored["key"])
        value = None
    return Item(key=stored["key"], version=stored["version"], value=value)
