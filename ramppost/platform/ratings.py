"""Adapter for the rating service, which rates submitted answers after a delay."""

from __future__ import annotations

from typing import Final, TypedDict

from ramppost.platform.objects import Unavailable
from ramppost.schema.messages import Rating
from ramppost.wire.client import CallFailed, Pool, call, fetch
from ramppost.wire.codec import BadMessage, decode, encode

CALL_TIMEOUT_S: Final = 2.0


class AnswerToRate(TypedDict):
    """An answer that is submitted for a rating."""

    request_id: str
    model: str
    version: str
    class_name: str
    text: str


async def submit_answers(pool: Pool, addr: str, answers: list[AnswerToRate]) -> bool:
    """Submits answers; returns false if the caller has to retry or drop them."""
    response = await call(pool, addr, "POST", "/ratings", encode(answers), CALL_TIMEOUT_S)
    return not isinstance(response, CallFailed) and response.status == 200


async def ratings_after(pool: Pool, addr: str, seq: int) -> list[Rating] | Unavailable:
    """Returns the ratings whose sequence number is higher than `seq`."""
    response = await fetch(pool, addr, "GET", f"/ratings?after={seq}", timeout_s=CALL_TIMEOUT_S)
    if isinstance(response, CallFailed):
        return Unavailable(response.reason, response.sent)
    ratings = (
        decode(response.body, list[Rating])
        if response.status == 200
        else BadMessage(f"status {response.status}")
    )
    return Unavailable(ratings.reason, True) if isinstance(ratings, BadMessage) else ratings
