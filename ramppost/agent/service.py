"""Adapter of a plain service: one call, one whole answer."""

from __future__ import annotations

from typing import Final, NamedTuple

from ramppost.agent.engine import Broke, Lost, NotBegun, headers_of
from ramppost.schema.messages import RunMsg
from ramppost.wire.client import CallFailed, Pool, call

CALL_TIMEOUT_S: Final = 60.0


class Answered(NamedTuple):
    """The service's answer."""

    status: int
    content_type: str
    body: str


async def run_service(pool: Pool, addr: str, msg: RunMsg) -> Answered | NotBegun | Lost | Broke:
    """Call the service; the body of its answer must be text."""
    method, _, path = msg["path"].partition(" ")
    body = msg["body"].encode()
    got = await call(pool, addr, method, path, body, CALL_TIMEOUT_S, headers_of(msg))
    if isinstance(got, CallFailed):
        return Lost(got.reason) if got.sent else NotBegun(got.reason)
    kind = got.headers.get("content-type", "application/octet-stream")
    try:
        return Answered(got.status, kind, got.body.decode())
    except UnicodeDecodeError:
        return Broke("service answered with something other than text")


async def service_up(pool: Pool, addr: str) -> bool:
    """Whether the service answers at all."""
    got = await call(pool, addr, "GET", "/load", timeout_s=2.0)
    return not isinstance(got, CallFailed)
