"""Passes an upstream's answer on to the caller.

Streams go event by event as they come.  A whole answer is read first, so that one that
breaks off can still be asked for again; a large one is passed on while it comes.
"""

from __future__ import annotations

from typing import Final, NamedTuple

import curio

from ramppost import clock
from ramppost.gateway.attempt import Running
from ramppost.gateway.events import Event, EventSplitter
from ramppost.gateway.inbound import Reply
from ramppost.gateway.job import Job
from ramppost.gateway.links import BodyEnd, Broken
from ramppost.gateway.state import Gateway
from ramppost.platform.headers import Headers
from ramppost.policy.fatal import ObservedRun

HELD_BYTES: Final = 262144
"""A whole answer up to this size is read before it is passed on."""
STALL_GAPS: Final = 3.0
"""A stream that pauses so many times its allowed gap is taken up elsewhere."""


class Forwarded(NamedTuple):
    """The answer was passed on whole; seconds from sending to its first and last byte.

    Where it is not `framed`, an upstream that ended within it would have looked the same.
    """

    first_s: float
    last_s: float
    events: int
    framed: bool


async def forward_response(
    running: Running, reply: Reply, course: ObservedRun
) -> Forwarded | Broken:
    """Pass on an answer that is not a stream.  `course` is told of each piece that comes."""
    body = bytearray()
    while True:
        piece = await running.exchange.read_chunk()
        if isinstance(piece, Broken):
            return piece
        if isinstance(piece, BodyEnd):
            break
        course.record_piece(clock.now())
        if reply.started:
            await reply.write(piece)
            continue
        body += piece
        if len(body) > HELD_BYTES:
            await reply.start(running.head.status, running.head.headers, bytes(body))
    if reply.started:
        await reply.end()
    else:
        await reply.send(running.head.status, running.head.headers, bytes(body))
    return Forwarded(running.first_s, clock.now() - running.sent_at, 0, piece.framed)


async def forward_stream(
    gw: Gateway, job: Job, running: Running, reply: Reply, course: ObservedRun
) -> Forwarded | Broken:
    """Pass on a stream's events; Broken where it stops before its end.  `course` is told of each
    piece that comes."""
    splitter = EventSplitter()
    passed = 0
    while True:
        piece = await _piece_in_time(gw, job, running)
        if isinstance(piece, Broken):
            return piece
        if isinstance(piece, BodyEnd):
            if splitter.remainder:
                return Broken("stream ended within an event", by_peer=True)
            break
        course.record_piece(clock.now())
        events = splitter.feed(piece)
        for event in events:
            if not _follows(job, event):
                return Broken(f"event {event.id!r} after {job.last_event_id!r}")
            if event.id:
                job.last_event_id = event.id
        if events:
            await _write_events(running, reply, b"".join(event.raw for event in events))
            passed += len(events)
            job.forwarded_events += len(events)
    if not reply.started:
        await reply.send(running.head.status, running.head.headers, b"")
    else:
        await reply.end()
    return Forwarded(running.first_s, clock.now() - running.sent_at, passed, piece.framed)


async def _write_events(running: Running, reply: Reply, data: bytes) -> None:
    if reply.started:
        await reply.write(data)
    else:
        await reply.start(running.head.status, without_content_length(running.head.headers), data)


def without_content_length(headers: Headers) -> Headers:
    """Headers for an answer that may go on from another upstream."""
    return tuple(item for item in headers if item[0] != b"content-length")


def _follows(job: Job, event: Event) -> bool:
    """Whether an event is the next one; ids rise by one."""
    if not event.id.isdigit() or not job.last_event_id.isdigit():
        return True
    return int(event.id) == int(job.last_event_id) + 1


async def _piece_in_time(gw: Gateway, job: Job, running: Running) -> bytes | BodyEnd | Broken:
    """The next bytes; Broken where the upstream has gone silent altogether."""
    limit_s = STALL_GAPS * job.route.gap_objective_s
    while True:
        since = clock.now()
        try:
            got: bytes | BodyEnd | Broken = await curio.timeout_after(
                limit_s, running.exchange.read_chunk()
            )
            return got
        except curio.TaskTimeout:
            upstream_key = running.chosen.upstream.key
            if gw.links.last_received_at.get(upstream_key, float("-inf")) < since:
                return Broken(f"silent for {limit_s:.1f} s within its stream")
