"""Client of an upstream that is a plain HTTP service, called once for a complete response."""

from __future__ import annotations

from typing import Final, NamedTuple

from ramppost.agent.engine import NotStarted, OutcomeUnknown, RunFailed, request_headers
from ramppost.schema.messages import RunMsg
from ramppost.wire.client import MAX_SHORT_BODY_BYTES, CallFailed, Pool, call

CALL_TIMEOUT_S: Final = 60.0


class ServiceResponse(NamedTuple):
    """The response of the service."""

    status: int
    content_type: str
    body: str


async def run_service(
    pool: Pool, addr: str, msg: RunMsg
) -> ServiceResponse | NotStarted | OutcomeUnknown | RunFailed:
    """Call the service; the body of its response must be UTF-8 text."""
    method, _, path = msg["path"].partition(" ")
    body = msg["body"].encode()
    got = await call(pool, addr, method, path, body, CALL_TIMEOUT_S, request_headers(msg))
    if isinstance(got, CallFailed):
        return OutcomeUnknown(got.reason) if got.sent else NotStarted(got.reason)
    content_type = got.headers.get("content-type", "application/octet-stream")
    try:
        return ServiceResponse(got.status, content_type, got.body.decode())
    except UnicodeDecodeError:
        return RunFailed("service answered with something other than text")


async def is_service_up(pool: Pool, addr: str) -> bool:
    """Whether the service responds, with any status."""
    got = await call(pool, addr, "GET", "/load", timeout_s=2.0, max_body_bytes=MAX_SHORT_BODY_BYTES)
    return not isinstance(got, CallFailed)
