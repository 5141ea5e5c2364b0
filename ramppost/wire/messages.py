"""Decodes the internal message in a request body, or rejects the request as malformed."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

from ramppost.wire.codec import BadMessage, decode, encode
from ramppost.wire.server import Reply, Request

T = TypeVar("T")


async def handle_message(
    req: Request, reply: Reply, message_type: type[T], handle: Callable[[T], Awaitable[None]]
) -> None:
    """Call `handle` with the decoded body; send 400 with the path of the error if it is invalid."""
    msg = decode(req.body, message_type)
    if isinstance(msg, BadMessage):
        await reply.send(400, encode({"error": msg.reason}))
    else:
        await handle(msg)
