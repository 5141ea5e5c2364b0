"""Client of a model engine with an OpenAI-compatible API.

`run_engine` reports the start of a run, passes on each piece of text, and returns the token usage
at the end.  With status 400, 404 or 429 the engine states that it did not run the request; after
any other failure once the request was sent, the run may have started.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple, TypedDict

import curio

from ramppost.policy.orders import LoadOrder
from ramppost.schema.messages import RunMsg
from ramppost.wire.client import (
    MAX_SHORT_BODY_BYTES,
    CallFailed,
    Pool,
    Response,
    call,
    open_stream,
)
from ramppost.wire.codec import BadMessage, decode, encode
from ramppost.wire.digits import parse_digits
from ramppost.wire.nesting import is_deep

NOT_RUN_STATUSES: Final = (400, 404, 429)
EVENT_PREFIX: Final = b"data: "
END_OF_STREAM: Final = b"[DONE]"
CALL_TIMEOUT_S: Final = 2.0
TOKEN_TIMEOUT_S: Final = 30.0
MAX_RETRY_DIGITS: Final = 5
"""Seconds of a day; a longer time is taken for none."""
MAX_TOKENS: Final = 10**9
"""More than any answer has; more can't be billed."""
MAX_TEXT_CHARS: Final = 8 * 1024 * 1024
"""More than any answer has; the text of a run is kept for those who read it again."""


class Delta(TypedDict, total=False):
    """The part of a message that a chunk adds."""

    content: str | None


class Choice(TypedDict, total=False):
    """One of the choices of a chunk; only the first is used."""

    delta: Delta
    finish_reason: str | None


class Usage(TypedDict):
    """Token counts of a completion."""

    prompt_tokens: int
    completion_tokens: int


class Chunk(TypedDict, total=False):
    """A chunk of a streamed completion."""

    id: str
    choices: list[Choice]
    usage: Usage | None
    confidence: float


class RunCompleted(NamedTuple):
    """The run completed."""

    finish: str
    tokens_in: int
    tokens_out: int
    confidence: float


class NotStarted(NamedTuple):
    """The upstream did not run the request."""

    reason: str


class OutcomeUnknown(NamedTuple):
    """The request was sent but no response came, so the run may or may not have happened."""

    reason: str


class RunFailed(NamedTuple):
    """The run started and failed, or its answer is invalid."""

    reason: str


OnStart = Callable[[], Awaitable[None]]
OnText = Callable[[str], Awaitable[None]]


def _request_body(msg: RunMsg) -> bytes | BadMessage:
    """The caller's body with the model version to run, and with streaming turned on."""
    text = msg["body"].encode()
    if is_deep(text):
        return BadMessage("the body is nested too deeply")
    body: dict[str, Any] | BadMessage = decode(text, dict[str, Any])
    if isinstance(body, BadMessage):
        return body
    body["model"] = f"{msg['model']}@{msg['version']}"
    body["stream"] = True
    return encode(body)


def request_headers(msg: RunMsg) -> tuple[tuple[str, str], ...]:
    """The request headers for an upstream."""
    return (
        ("content-type", "application/json"),
        ("x-request-id", msg["request_id"]),
        ("x-attempt", msg["attempt"]),
        ("x-workspace", msg["workspace"]),
        ("x-session", msg["session"]),
        ("x-priority", str(msg["priority"])),
        ("idempotency-key", msg["key"]),
    )


async def run_engine(
    pool: Pool, addr: str, msg: RunMsg, exact: bool, on_start: OnStart, on_text: OnText
) -> RunCompleted | NotStarted | OutcomeUnknown | RunFailed:
    """Run an attempt at the engine; `exact` is the value of the setting `exact_stream`."""
    path = "/v1/chat/completions"
    body = _request_body(msg)
    if isinstance(body, BadMessage):
        return NotStarted(f"request not sent: {body.reason}")
    stream = await open_stream(
        pool, addr, "POST", path, body, TOKEN_TIMEOUT_S, request_headers(msg)
    )
    if isinstance(stream, CallFailed):
        return OutcomeUnknown(stream.reason) if stream.sent else NotStarted(stream.reason)
    try:
        if stream.status in NOT_RUN_STATUSES:
            return NotStarted(f"engine answered {stream.status}")
        if stream.status != 200:
            return RunFailed(f"engine answered {stream.status}")
        await on_start()
        completed = RunCompleted("", 0, 0, 0.0)
        chunk_count = char_count = 0
        while True:
            line = await curio.timeout_after(TOKEN_TIMEOUT_S, stream.read_line())
            if line == EVENT_PREFIX + END_OF_STREAM:
                return (
                    completed
                    if completed.finish
                    else RunFailed("engine ended without a finish reason")
                )
            if not line.startswith(EVENT_PREFIX):
                return RunFailed("engine's stream was cut")
            chunk = decode(line[len(EVENT_PREFIX) :], Chunk)
            if isinstance(chunk, BadMessage):
                return RunFailed(f"engine sent a malformed chunk: {chunk.reason}")
            if exact and chunk.get("id") != msg["attempt"]:
                return RunFailed("chunk of another answer")
            text, finish = _text_and_finish(chunk)
            if text:
                chunk_count += 1
                char_count += len(text)
                if char_count > MAX_TEXT_CHARS:
                    return RunFailed("answer without end")
                await on_text(text)
            if finish:
                completed = _completed_run(finish, chunk, chunk_count)
                if not _is_billable(completed):
                    return RunFailed("engine sent impossible token counts")
                if exact and completed.tokens_out != chunk_count:
                    return RunFailed(f"{chunk_count} chunks of {completed.tokens_out} arrived")
    except OSError as exc:
        return RunFailed(f"engine's stream was cut: {exc}")
    except curio.TaskTimeout:
        return RunFailed(f"no token in {TOKEN_TIMEOUT_S:g} s")
    finally:
        await stream.close()


def _text_and_finish(chunk: Chunk) -> tuple[str, str]:
    choices = chunk.get("choices") or [Choice()]
    delta = choices[0].get("delta") or Delta()
    return delta.get("content") or "", choices[0].get("finish_reason") or ""


def _completed_run(finish: str, chunk: Chunk, chunk_count: int) -> RunCompleted:
    usage = chunk.get("usage") or Usage(prompt_tokens=0, completion_tokens=chunk_count)
    return RunCompleted(
        finish, usage["prompt_tokens"], usage["completion_tokens"], chunk.get("confidence", 0.0)
    )


def _is_billable(completed: RunCompleted) -> bool:
    return 0 <= completed.tokens_in <= MAX_TOKENS and 0 <= completed.tokens_out <= MAX_TOKENS


async def cancel_run(pool: Pool, addr: str, attempt: str) -> None:
    """Ask the engine to cancel a run."""
    await _call(pool, addr, "POST", "/v1/cancel", encode({"attempt": attempt}))


class OrderAccepted(NamedTuple):
    """The engine accepted an order; a version appears among its versions once it is loaded."""


class OrderRefused(NamedTuple):
    """The engine rejected an order or did not respond; orders can be sent again safely."""

    reason: str
    retry_after_s: float


class OrderBody(TypedDict):
    """The body of an order, with its fencing token."""

    fence: int
    action: str
    model: str
    version: str


async def send_load_order(pool: Pool, addr: str, order: LoadOrder) -> OrderAccepted | OrderRefused:
    """Send an engine the order to load a version."""
    body = OrderBody(
        fence=order.fence, action="load", model=order.mv.model, version=order.mv.version
    )
    response = await _call(pool, addr, "POST", "/order", encode(body))
    if isinstance(response, CallFailed):
        return OrderRefused(response.reason, 0.0)
    if response.status == 200:
        return OrderAccepted()
    retry_after_s = parse_digits(response.headers.get("retry-after", ""), MAX_RETRY_DIGITS) or 0
    return OrderRefused(f"engine answered {response.status}", float(retry_after_s))


async def fetch_versions(pool: Pool, addr: str) -> list[str] | None:
    """The versions that an engine serves, as `model@version`; None if it does not respond."""
    response = await _call(pool, addr, "GET", "/v1/models")
    if isinstance(response, CallFailed) or response.status != 200:
        return None
    versions = decode(response.body, list[str])
    return None if isinstance(versions, BadMessage) else versions


async def _call(
    pool: Pool, addr: str, method: str, path: str, body: bytes = b""
) -> Response | CallFailed:
    """Make a call that an engine answers soon and briefly."""
    return await call(
        pool, addr, method, path, body, CALL_TIMEOUT_S, max_body_bytes=MAX_SHORT_BODY_BYTES
    )
