"""Takes a message between our processes from a request, or answers what is wrong with it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

from ramppost.wire.codec import BadMessage, decode, encode
from ramppost.wire.server import Reply, Request

T = TypeVar("T")


async def handle_message(
    req: Request, reply: Reply, kind: type[T], then: Callable[[T], Awaitable[None]]
) -> None:
    """Hand the body on as a message of this kind; 400 with the path of the fault if it is none."""
    msg = decode(req.body, kind)
    if isinstance(msg, BadMessage):
        await reply.send(400, encode({"error": msg.reason}))
    else:
        await then(msg)
