"""Sinks that write an answer to the caller: as JSON, as an event stream, or as service response."""

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
FINISH_REASONS: Final = {"done": "stop", "cancelled": "stop"}


class Sink(Protocol):
    """Receives an answer chunk by chunk."""

    started: bool

    async def begin(
        self, request_id: str, mv: ModelVersion, session_token: str, stream_token: str
    ) -> None:
        """Start the answer."""

    async def send_chunk(self, n: int, text: str) -> None:
        """Add a chunk of the answer; `n` is its number."""

    async def end(self, end: End) -> None:
        """Complete the answer."""

    async def fail(self, ref: Refusal) -> None:
        """Report that the answer can't be completed."""


def _headers(request_id: str, mv: ModelVersion, session_token: str) -> tuple[tuple[str, str], ...]:
    headers: tuple[tuple[str, str], ...] = (("x-request-id", request_id),)
    if mv.model:
        headers += (("ramppost-model", mv.text), ("ramppost-session", session_token))
    return headers


class BufferingSink:
    """Buffers an answer and sends it as one chat completion or as response of a plain service."""

    def __init__(self, reply: Reply, service: bool) -> None:
        self._reply = reply
        self._service = service
        self._chunks: list[str] = []
        self._response_headers: tuple[tuple[str, str], ...] = ()
        self._request_id = ""
        self._model = ""
        self.started = False

    async def begin(
        self, request_id: str, mv: ModelVersion, session_token: str, stream_token: str
    ) -> None:
        """Store the response headers; chunks of an earlier attempt are discarded."""
        self._chunks = []
        self._request_id, self._model = request_id, mv.text
        self._response_headers = _headers(request_id, mv, session_token)

    async def send_chunk(self, n: int, text: str) -> None:
        """Buffer a chunk."""
        self._chunks.append(text)

    async def end(self, end: End) -> None:
        """Send the response."""
        self.started = True
        text = "".join(self._chunks)
        if self._service:
            await self._reply.send(
                end["status"], text.encode(), end["content_type"], self._response_headers
            )
            return
        message = {"role": "assistant", "content": text}
        body = {
            "id": self._request_id,
            "object": "chat.completion",
            "created": int(time.time()),
            "model": self._model,
            "choices": [
                {"index": 0, "message": message, "finish_reason": FINISH_REASONS[end["state"]]}
            ],
            "usage": usage(end),
        }
        await self._reply.send(200, encode(body), headers=self._response_headers)

    async def fail(self, ref: Refusal) -> None:
        """Send the refusal instead of the answer."""
        await send_refusal(self._reply, ref)


class StreamSink:
    """Forwards an answer as server-sent events, whose ids let the caller resume the stream."""

    def __init__(self, reply: Reply, include_usage: bool) -> None:
        self._reply = reply
        self._include_usage = include_usage
        self._common_fields: dict[str, Any] = {}
        self._next_event_id = 0
        self.started = False

    async def begin(
        self, request_id: str, mv: ModelVersion, session_token: str, stream_token: str
    ) -> None:
        """Send the response headers."""
        self.started = True
        self._common_fields = {
            "id": request_id,
            "object": "chat.completion.chunk",
            "created": int(time.time()),
            "model": mv.text,
        }
        headers = (*_headers(request_id, mv, session_token), (STREAM_HEADER, stream_token))
        await self._reply.start(200, SSE, headers)

    async def send_chunk(self, n: int, text: str) -> None:
        """Send a chunk as an event."""
        self._next_event_id = n + 1
        delta = {"role": "assistant", "content": text} if n == 0 else {"content": text}
        await self._send_event(n, [{"index": 0, "delta": delta, "finish_reason": None}])

    async def end(self, end: End) -> None:
        """Send the finish reason, the usage if requested, and `[DONE]`."""
        choice = {"index": 0, "delta": {}, "finish_reason": FINISH_REASONS[end["state"]]}
        await self._send_event(self._next_event_id, [choice])
        if self._include_usage:
            last = self._common_fields | {"choices": [], "usage": usage(end)}
            await self._reply.write(b"data: " + encode(last) + b"\n\n")
        await self._reply.write(b"data: [DONE]\n\n")
        await self._reply.end()

    async def fail(self, ref: Refusal) -> None:
        """Send an error event; the stream ends without `[DONE]`."""
        await self._reply.write(b"data: " + error_body(ref) + b"\n\n")
        await self._reply.end()

    async def _send_event(self, n: int, choices: list[Any]) -> None:
        event = b"id: %d\ndata: " % n
        await self._reply.write(
            event + encode(self._common_fields | {"choices": choices}) + b"\n\n"
        )


def usage(end: End) -> dict[str, int]:
    """Token usage in the format of the OpenAI API."""
    tokens_in, tokens_out = end["tokens_in"], end["tokens_out"]
    return {
        "prompt_tokens": tokens_in,
        "completion_tokens": tokens_out,
        "total_tokens": tokens_in + tokens_out,
    }


async def send_refusal(reply: Reply, ref: Refusal, request_id: str = "") -> None:
    """Send a refusal as a response of its own, with `Retry-After` if it has a retry time."""
    headers = retry_headers(ref)
    if request_id:
        headers += (("x-request-id", request_id),)
    await reply.send(ref.status, error_body(ref), headers=headers)
