"""Where an answer goes: whole JSON, an event stream, or a plain service's answer."""

from __future__ import annotations

import time
from typing import Any, Final, Protocol

from ramppost.errors import Refusal, error_body, retry_headers
from ramppost.policy.permissions import ModelVersion
from ramppost.schema.messages import End
from ramppost.wire.codec import encode
from ramppost.wire.server import Reply

SSE: Final = "text/event-stream"
STREAM_HEADER: Final = "ramppost-stream"
FINISHES: Final = {"done": "stop", "cancelled": "stop"}


class Sink(Protocol):
    """Takes an answer piece by piece."""

    started: bool

    async def begin(self, request_id: str, mv: ModelVersion, session: str, place: str) -> None:
        """The answer begins."""

    async def piece(self, n: int, text: str) -> None:
        """A piece of it."""

    async def end(self, end: End) -> None:
        """It is whole."""

    async def fail(self, ref: Refusal) -> None:
        """It breaks off."""


def _headers(request_id: str, mv: ModelVersion, session: str) -> tuple[tuple[str, str], ...]:
    head: tuple[tuple[str, str], ...] = (("x-request-id", request_id),)
    if mv.model:
        head += (("ramppost-model", mv.text), ("ramppost-session", session))
    return head


class WholeSink:
    """Collects an answer and sends it whole, as chat completion or as a service's answer."""

    def __init__(self, reply: Reply, service: bool) -> None:
        self._reply = reply
        self._service = service
        self._pieces: list[str] = []
        self._head: tuple[tuple[str, str], ...] = ()
        self._id = ""
        self._model = ""
        self.started = False

    async def begin(self, request_id: str, mv: ModelVersion, session: str, place: str) -> None:
        """Remember what the head will say; pieces of a former try are dropped."""
        self._pieces = []
        self._id, self._model = request_id, mv.text
        self._head = _headers(request_id, mv, session)

    async def piece(self, n: int, text: str) -> None:
        """Remember a piece."""
        self._pieces.append(text)

    async def end(self, end: End) -> None:
        """Send all."""
        self.started = True
        text = "".join(self._pieces)
        if self._service:
            await self._reply.send(end["status"], text.encode(), end["content_type"], self._head)
            return
        message = {"role": "assistant", "content": text}
        body = {
            "id": self._id,
            "object": "chat.completion",
            "created": int(time.time()),
            "model": self._model,
            "choices": [{"index": 0, "message": message, "finish_reason": FINISHES[end["state"]]}],
            "usage": usage(end),
        }
        await self._reply.send(200, encode(body), headers=self._head)

    async def fail(self, ref: Refusal) -> None:
        """Send the refusal in place of the answer."""
        await send_refusal(self._reply, ref)


class StreamSink:
    """Passes an answer on as server-sent events, numbered so that it can be read on."""

    def __init__(self, reply: Reply, include_usage: bool) -> None:
        self._reply = reply
        self._include_usage = include_usage
        self._base: dict[str, Any] = {}
        self._n = 0
        self.started = False

    async def begin(self, request_id: str, mv: ModelVersion, session: str, place: str) -> None:
        """Send the head."""
        self.started = True
        self._base = {
            "id": request_id,
            "object": "chat.completion.chunk",
            "created": int(time.time()),
            "model": mv.text,
        }
        head = (*_headers(request_id, mv, session), (STREAM_HEADER, place))
        await self._reply.start(200, SSE, head)

    async def piece(self, n: int, text: str) -> None:
        """Send an event."""
        self._n = n + 1
        delta = {"role": "assistant", "content": text} if n == 0 else {"content": text}
        await self._event(n, [{"index": 0, "delta": delta, "finish_reason": None}])

    async def end(self, end: End) -> None:
        """Send the last events."""
        choice = {"index": 0, "delta": {}, "finish_reason": FINISHES[end["state"]]}
        await self._event(self._n, [choice])
        if self._include_usage:
            last = self._base | {"choices": [], "usage": usage(end)}
            await self._reply.write(b"data: " + encode(last) + b"\n\n")
        await self._reply.write(b"data: [DONE]\n\n")
        await self._reply.end()

    async def fail(self, ref: Refusal) -> None:
        """Send an error event; the stream ends without `[DONE]`."""
        await self._reply.write(b"data: " + error_body(ref) + b"\n\n")
        await self._reply.end()

    async def _event(self, n: int, choices: list[Any]) -> None:
        event = b"id: %d\ndata: " % n
        await self._reply.write(event + encode(self._base | {"choices": choices}) + b"\n\n")


def usage(end: End) -> dict[str, int]:
    """Usage in the OpenAI form."""
    tokens_in, tokens_out = end["tokens_in"], end["tokens_out"]
    return {
        "prompt_tokens": tokens_in,
        "completion_tokens": tokens_out,
        "total_tokens": tokens_in + tokens_out,
    }


async def send_refusal(reply: Reply, ref: Refusal, request_id: str = "") -> None:
    """Send a refusal at once, with when to come back."""
    head = retry_headers(ref)
    if request_id:
        head += (("x-request-id", request_id),)
    await reply.send(ref.status, error_body(ref), headers=head)
