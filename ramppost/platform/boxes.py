"""Adapter for the platform's list of boxes, which may be out of date."""

from __future__ import annotations

from typing import Final, NamedTuple

from ramppost.platform.objects import Unavailable
from ramppost.schema.settings import Box
from ramppost.wire.client import CallFailed, Pool, fetch
from ramppost.wire.codec import BadMessage, decode

CALL_TIMEOUT_S: Final = 2.0


class BoxList(NamedTuple):
    """The boxes that the platform considers live or leaving, and the list's entity tag."""

    boxes: list[Box]
    etag: str


class Unchanged(NamedTuple):
    """The list has not changed."""


async def fetch_boxes(pool: Pool, addr: str, known_etag: str) -> BoxList | Unchanged | Unavailable:
    """Fetches the list of boxes if its entity tag differs from `known_etag`."""
    headers = (("if-none-match", known_etag),) if known_etag else ()
    response = await fetch(pool, addr, "GET", "/boxes", b"", CALL_TIMEOUT_S, headers)
    if isinstance(response, CallFailed):
        return Unavailable(response.reason, response.sent)
    if response.status == 304:
        return Unchanged()
    boxes = (
        decode(response.body, list[Box])
        if response.status == 200
        else BadMessage(f"status {response.status}")
    )
    if isinstance(boxes, BadMessage):
        return Unavailable(boxes.reason, True)
    return BoxList(boxes, response.headers.get("etag", ""))
