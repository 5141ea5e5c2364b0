"""Adapter of a model engine that speaks the OpenAI form.

`run_engine` tells whether the run began, hands on each piece of text, and ends
with usage.  Statuses 400, 404 and 429 are the engine's word that it did not run;
any other failure after the request was sent counts as begun.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple, TypedDict, cast

import curio
import msgspec

from ramppost.policy.orders import LoadOrder
from ramppost.schema.messages import RunMsg
from ramppost.wire.client import CallFailed, Pool, call, open_stream
from ramppost.wire.codec import BadMessage, decode, encode

NOT_RUN_STATUSES: Final = (400, 404, 429)
DATA: Final = b"data: "
DONE: Final = b"[DONE]"
CALL_TIMEOUT_S: Final = 2.0
TOKEN_TIMEOUT_S: Final = 30.0


class Delta(TypedDict, total=False):
    """A piece of a message."""

    content: str | None


class Choice(TypedDict, total=False):
    """A choice of a chunk."""

    delta: Delta
    finish_reason: str | None


class Usage(TypedDict):
    """Tokens used."""

    prompt_tokens: int
    completion_tokens: int


class Chunk(TypedDict, total=False):
    """A chunk of a streamed completion."""

    id: str
    choices: list[Choice]
    usage: Usage | None
    confidence: float


class Ran(NamedTuple):
    """The run came to its end."""

    finish: str
    tokens_in: int
    tokens_out: int
    confidence: float


class NotBegun(NamedTuple):
    """The engine did not run it."""

    reason: str


class Lost(NamedTuple):
    """The upstream was asked and gave no answer; nobody knows whether it ran."""

    reason: str


class Broke(NamedTuple):
    """The run began and failed."""

    reason: str


Begun = Callable[[], Awaitable[None]]
OnText = Callable[[str], Awaitable[None]]


def engine_body(msg: RunMsg) -> bytes:
    """The caller's body with the version to run, always streamed."""
    body = cast("dict[str, Any]", msgspec.json.decode(msg["body"]))
    body["model"] = f"{msg['model']}@{msg['version']}"
    body["stream"] = True
    return encode(body)


def headers_of(msg: RunMsg) -> tuple[tuple[str, str], ...]:
    """What the upstream is told about a request."""
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
    pool: Pool, addr: str, msg: RunMsg, exact: bool, begun: Begun, on_text: OnText
) -> Ran | NotBegun | Lost | Broke:
    """Run an attempt at the engine; `exact` as the setting `exact_stream` says."""
    path = "/v1/chat/completions"
    stream = await open_stream(
        pool, addr, "POST", path, engine_body(msg), TOKEN_TIMEOUT_S, headers_of(msg)
    )
    if isinstance(stream, CallFailed):
        return Lost(stream.reason) if stream.sent else NotBegun(stream.reason)
    try:
        if stream.status in NOT_RUN_STATUSES:
            return NotBegun(f"engine answered {stream.status}")
        if stream.status != 200:
            return Broke(f"engine answered {stream.status}")
        await begun()
        ran = Ran("", 0, 0, 0.0)
        count = 0
        while True:
            line = await curio.timeout_after(TOKEN_TIMEOUT_S, stream.read_line())
            if line == DATA + DONE:
                return ran if ran.finish else Broke("engine ended without a finish reason")
            if not line.startswith(DATA):
                return Broke("engine's stream was cut")
            chunk = decode(line[len(DATA) :], Chunk)
            if isinstance(chunk, BadMessage):
                return Broke(f"engine sent a malformed chunk: {chunk.reason}")
            if exact and chunk.get("id") != msg["attempt"]:
                return Broke("chunk of another answer")
            text, finish = _text(chunk)
            if text:
                count += 1
                await on_text(text)
            if finish:
                ran = _ran(finish, chunk, count)
                if exact and ran.tokens_out != count:
                    return Broke(f"{count} chunks of {ran.tokens_out} arrived")
    except OSError as exc:
        return Broke(f"engine's stream was cut: {exc}")
    except curio.TaskTimeout:
        return Broke(f"no token in {TOKEN_TIMEOUT_S:g} s")
    finally:
        await stream.close()


def _text(chunk: Chunk) -> tuple[str, str]:
    choices = chunk.get("choices") or [Choice()]
    delta = choices[0].get("delta") or Delta()
    return delta.get("content") or "", choices[0].get("finish_reason") or ""


def _ran(finish: str, chunk: Chunk, count: int) -> Ran:
    usage = chunk.get("usage") or Usage(prompt_tokens=0, completion_tokens=count)
    return Ran(
        finish, usage["prompt_tokens"], usage["completion_tokens"], chunk.get("confidence", 0.0)
    )


async def cancel_run(pool: Pool, addr: str, attempt: str) -> None:
    """Ask the engine to stop a run."""
    await call(pool, addr, "POST", "/v1/cancel", encode({"attempt": attempt}), CALL_TIMEOUT_S)


class Ordered(NamedTuple):
    """The engine took an order; what it loads shows in its versions once it is done."""


class OrderRefused(NamedTuple):
    """The engine did not take an order, or gave no answer; orders may be given again."""

    reason: str
    retry_after_s: float


class OrderBody(TypedDict):
    """A fenced order as the engine takes it."""

    fence: int
    action: str
    model: str
    version: str


async def order_load(pool: Pool, addr: str, order: LoadOrder) -> Ordered | OrderRefused:
    """Order an engine to load a version."""
    body = OrderBody(
        fence=order.fence, action="load", model=order.mv.model, version=order.mv.version
    )
    got = await call(pool, addr, "POST", "/order", encode(body), CALL_TIMEOUT_S)
    if isinstance(got, CallFailed):
        return OrderRefused(got.reason, 0.0)
    if got.status == 200:
        return Ordered()
    wait = got.headers.get("retry-after", "")
    return OrderRefused(f"engine answered {got.status}", float(wait) if wait.isdigit() else 0.0)


async def versions_of(pool: Pool, addr: str) -> list[str] | None:
    """The versions an engine serves, `model@version`; None where it does not answer."""
    got = await call(pool, addr, "GET", "/v1/models", timeout_s=CALL_TIMEOUT_S)
    if isinstance(got, CallFailed) or got.status != 200:
        return None
    found = decode(got.body, list[str])
    return None if isinstance(found, BadMessage) else found
