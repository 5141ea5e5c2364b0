"""Adapter of the rating service: hands in answers, reads ratings that come late."""

from __future__ import annotations

from typing import Final, TypedDict

from ramppost.platform.objects import Unavailable
from ramppost.schema.messages import Rating
from ramppost.wire.client import CallFailed, Pool, call, fetch
from ramppost.wire.codec import BadMessage, decode, encode

CALL_TIMEOUT_S: Final = 2.0


class AnswerToRate(TypedDict):
    """An answer to be rated."""

    request_id: str
    model: str
    version: str
    class_name: str
    text: str


async def submit_answers(pool: Pool, addr: str, answers: list[AnswerToRate]) -> bool:
    """Hand in answers; false if they have to be dropped or tried again."""
    got = await call(pool, addr, "POST", "/ratings", encode(answers), CALL_TIMEOUT_S)
    return not isinstance(got, CallFailed) and got.status == 200


async def ratings_after(pool: Pool, addr: str, seq: int) -> list[Rating] | Unavailable:
    """Ratings with a higher number than `seq`."""
    got = await fetch(pool, addr, "GET", f"/ratings?after={seq}", timeout_s=CALL_TIMEOUT_S)
    if isinstance(got, CallFailed):
        return Unavailable(got.reason, got.sent)
    found = (
        decode(got.body, list[Rating]) if got.status == 200 else BadMessage(f"status {got.status}")
    )
    return Unavailable(found.reason, True) if isinstance(found, BadMessage) else found
