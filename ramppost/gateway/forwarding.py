"""Forwards an upstream's response to the caller.

Streams are forwarded event by event as they arrive.  Any other response is buffered completely
before it is sent, so that it can still be retried if it breaks off; a large one is forwarded as it
arrives.

The upstream is read on while the caller pauses, until the caller's buffer is full.  A response
counts as forwarded when it was read completely: what the caller has not taken then is sent later,
and the upstream is free.  Buffered events count as forwarded, too, so a stream is resumed after
them.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

import curio

from ramppost import clock
from ramppost.gateway.attempt import Running
from ramppost.gateway.caller_buffer import Assembly
from ramppost.gateway.endings import RECHECK_DELAY_S
from ramppost.gateway.events import Event, EventSplitter
from ramppost.gateway.inbound import Reply
from ramppost.gateway.job import Job
from ramppost.gateway.links import BodyEnd, Broken
from ramppost.gateway.state import Gateway
from ramppost.platform.headers import Headers
from ramppost.policy.fatal import ObservedRun
from ramppost.wire.digits import parse_digits

STALL_GAP_FACTOR: Final = 3.0
"""Multiple of a stream's allowed gap after which the stream is resumed at another upstream."""
MIN_LEFT_UNREAD_S: Final = 1.0
"""An upstream that was not read for this time may abort its response for that reason."""

EVENT_READ_BYTES: Final = 4096
"""As much of a stream as is split into events before others have their turn."""
EVENTS_SLACK: Final = 64
"""Events that a stream may have besides those of its tokens."""
MAX_LEFT_AT_DEADLINE_S: Final = 0.05
MAX_BODY_AFTER_HEAD_S: Final = 1.0
"""How long after its head a body that is cut off at the deadline must have gone on, while its
caller took it, to count against its upstream."""

CUT_BY_CRASH: Final = Broken("unframed answer ended with its upstream", by_peer=True)

ReadChunk = Callable[[], Awaitable[bytes | BodyEnd | Broken]]
"""Reads the next chunk of a response from its upstream."""


class Forwarded(NamedTuple):
    """A response that was read completely and sent or buffered.

    `first_s` and `last_s` are the seconds from sending the request to its first and last byte.  If
    it is not `framed`, it can't be told from one that was cut short by the end of its upstream.
    """

    first_s: float
    last_s: float
    events: int
    framed: bool


class _Reader:
    """Reads chunks of a response while its caller's buffer has room."""

    def __init__(self, reply: Reply, read_chunk: ReadChunk) -> None:
        self._buffer = reply.buffer
        self._read_chunk = read_chunk
        self._longest_pause_s = 0.0

    async def read_chunk(self) -> bytes | BodyEnd | Broken:
        """Read the next chunk, first waiting for room in the buffer."""
        if self._buffer.is_full:
            pause_s = await self._buffer.wait_for_room()
            self._longest_pause_s = max(self._longest_pause_s, pause_s)
        chunk = await self._read_chunk()
        if self._longest_pause_s < MIN_LEFT_UNREAD_S:
            return chunk
        if isinstance(chunk, Broken):
            return chunk._replace(left_unread=True)
        if isinstance(chunk, BodyEnd) and not chunk.framed:
            # Without a length, the end of an aborted response looks like that of a complete one.
            return Broken("unframed answer closed while unread", by_peer=True, left_unread=True)
        return chunk


async def _cut_by_crash(gw: Gateway, running: Running, end: BodyEnd, delay_s: float) -> bool:
    """Whether an answer without a length ended because its upstream did.

    `delay_s` is the time to wait first, up to `RECHECK_DELAY_S`.
    """
    if end.framed:
        return False
    await curio.sleep(delay_s)
    return await gw.upstream_probes.probe(running.chosen.upstream) == "ended"


async def forward_response(
    gw: Gateway, running: Running, reply: Reply, run: ObservedRun
) -> Forwarded | Broken:
    """Forward a response that is not a stream.  `run` records each chunk that arrives."""
    body = reply.buffer.assembly
    try:
        return await _forward_assembled(gw, running, reply, run, body)
    finally:
        body.take()


async def _forward_assembled(
    gw: Gateway, running: Running, reply: Reply, run: ObservedRun, body: Assembly
) -> Forwarded | Broken:
    reader = _Reader(reply, running.exchange.read_chunk)
    while True:
        chunk = await reader.read_chunk()
        if isinstance(chunk, Broken):
            return chunk
        if isinstance(chunk, BodyEnd):
            if await _cut_by_crash(gw, running, chunk, 0.0):
                return CUT_BY_CRASH
            break
        run.record_piece(clock.now())
        if reply.started:
            await reply.write(chunk)
            continue
        body.add(chunk)
        if body.is_too_large:
            await reply.start(running.head.status, running.head.headers, body.take())
    if reply.started:
        await reply.end()
    else:
        await reply.send(running.head.status, running.head.headers, body.take())
    return Forwarded(running.first_s, clock.now() - running.sent_at, 0, chunk.framed)


async def forward_stream(
    gw: Gateway, job: Job, running: Running, reply: Reply, run: ObservedRun
) -> Forwarded | Broken:
    """Forward the events of a stream; Broken if it stops before its end.

    `run` records each chunk that arrives.
    """
    splitter = EventSplitter()
    most_events = _most_events(job, running)
    forwarded = 0
    event_begun_at: float | None = None
    reader = _Reader(reply, lambda: _read_chunk_in_time(gw, job, running))
    while True:
        chunk = await reader.read_chunk()
        if isinstance(chunk, Broken):
            return chunk
        if isinstance(chunk, BodyEnd):
            if splitter.remainder:
                return Broken("stream ended within an event", by_peer=True)
            # All events are sent by then; the caller only learns later that there are no more.
            if await _cut_by_crash(gw, running, chunk, RECHECK_DELAY_S):
                return CUT_BY_CRASH
            break
        now = clock.now()
        run.record_piece(now)
        events, broken = _events_in_order(job, splitter.feed(chunk))
        if events or event_begun_at is None:
            event_begun_at = now if splitter.remainder else None
        in_event_s = 0.0 if event_begun_at is None else now - event_begun_at
        is_overdue = in_event_s > STALL_GAP_FACTOR * job.route.gap_objective_s
        if splitter.is_endless or (is_overdue and not reply.buffer.was_full):
            broken = Broken("event without end", by_peer=True)
        elif forwarded + len(events) > most_events:
            broken = Broken("stream without end", by_peer=True)
        if events:
            await _write_events(running, reply, b"".join(event.raw for event in events))
            forwarded += len(events)
            running.timing.record_events(len(events), clock.now())
            job.forwarded_events += len(events)
        if broken is not None:
            return broken
    if not reply.started:
        await reply.send(running.head.status, running.head.headers, b"")
    else:
        await reply.end()
    return Forwarded(running.first_s, clock.now() - running.sent_at, forwarded, chunk.framed)


def is_endless_body(running: Running, reply: Reply, left_s: float) -> bool:
    """Whether a body that was cut off seems to have no end: the deadline has come long after its
    head, and its caller did not hold it up for so long."""
    since_head_s = clock.now() - running.sent_at - running.first_s
    sending_s = since_head_s - reply.buffer.waited_s
    return left_s <= MAX_LEFT_AT_DEADLINE_S and sending_s > MAX_BODY_AFTER_HEAD_S


def _most_events(job: Job, running: Running) -> float:
    """Events from which a stream is taken for one without end."""
    engine, prompt = running.chosen.service.engine, job.req.prompt
    if engine is None or prompt is None:
        return float("inf")
    # An event holds one token at least.
    return EVENTS_SLACK + prompt.max_tokens_out


def _events_in_order(job: Job, events: list[Event]) -> tuple[list[Event], Broken | None]:
    """The events before a gap in their ids, and what is wrong with the next.

    Those before a gap are forwarded, because the stream is resumed after them.
    """
    valid: list[Event] = []
    for event in events:
        if not _is_next_event(job, event):
            return valid, Broken(f"event {event.id!r} after {job.last_event_id!r}")
        if event.id:
            job.last_event_id = event.id
        valid.append(event)
    return valid, None


async def _write_events(running: Running, reply: Reply, data: bytes) -> None:
    if reply.started:
        await reply.write(data)
    else:
        await reply.start(running.head.status, without_content_length(running.head.headers), data)


def without_content_length(headers: Headers) -> Headers:
    """Headers for a response that may be resumed from another upstream."""
    return tuple(item for item in headers if item[0] != b"content-length")


def _is_next_event(job: Job, event: Event) -> bool:
    """Whether an event is the next in order; ids increase by one.

    An id that is no number follows none that is; an event without an id may stand anywhere.
    """
    last = parse_digits(job.last_event_id)
    if last is None or not event.id:
        return True
    return parse_digits(event.id) == last + 1


async def _read_chunk_in_time(gw: Gateway, job: Job, running: Running) -> bytes | BodyEnd | Broken:
    """Read the next chunk; Broken if nothing at all arrives from the upstream."""
    timeout_s = STALL_GAP_FACTOR * job.route.gap_objective_s
    while True:
        silent_since = clock.now()
        try:
            chunk: bytes | BodyEnd | Broken = await curio.timeout_after(
                timeout_s, running.exchange.read_chunk(EVENT_READ_BYTES)
            )
            return chunk
        except curio.TaskTimeout:
            upstream_key = running.chosen.upstream.key
            if gw.connections.last_received_at.get(upstream_key, float("-inf")) < silent_since:
                return Broken(f"silent for {timeout_s:.1f} s within its stream")
