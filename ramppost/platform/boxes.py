"""Adapter of the platform's box list, which lags."""

from __future__ import annotations

from typing import Final, NamedTuple

from ramppost.platform.objects import Unavailable
from ramppost.schema.settings import Box
from ramppost.wire.client import CallFailed, Pool, fetch
from ramppost.wire.codec import BadMessage, decode

CALL_TIMEOUT_S: Final = 2.0


class BoxList(NamedTuple):
    """Boxes that the platform holds to be live or leaving, and the list's entity tag."""

    boxes: list[Box]
    etag: str


class Unchanged(NamedTuple):
    """The list is as it was."""


async def fetch_boxes(pool: Pool, addr: str, seen: str) -> BoxList | Unchanged | Unavailable:
    """The box list, sent only if its tag is another than the one seen."""
    head = (("if-none-match", seen),) if seen else ()
    got = await fetch(pool, addr, "GET", "/boxes", b"", CALL_TIMEOUT_S, head)
    if isinstance(got, CallFailed):
        return Unavailable(got.reason, got.sent)
    if got.status == 304:
        return Unchanged()
    found = decode(got.body, list[Box]) if got.status == 200 else BadMessage(f"status {got.status}")
    if isinstance(found, BadMessage):
        return Unavailable(found.reason, True)
    return BoxList(found, got.headers.get("etag", ""))
