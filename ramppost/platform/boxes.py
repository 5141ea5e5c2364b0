"""Adapter of the platform's box list, which lags."""

from __future__ import annotations

from typing import Final

from ramppost.platform.objects import Unavailable
from ramppost.schema.settings import Box
from ramppost.wire.client import CallFailed, Pool, call
from ramppost.wire.codec import BadMessage, decode

CALL_TIMEOUT_S: Final = 2.0


async def box_list(pool: Pool, addr: str) -> list[Box] | Unavailable:
    """Boxes that the platform holds to be live or leaving."""
    got = await call(pool, addr, "GET", "/boxes", timeout_s=CALL_TIMEOUT_S)
    if isinstance(got, CallFailed):
        return Unavailable(got.reason, got.sent)
    found = decode(got.body, list[Box]) if got.status == 200 else BadMessage(f"status {got.status}")
    return Unavailable(found.reason, True) if isinstance(found, BadMessage) else found
