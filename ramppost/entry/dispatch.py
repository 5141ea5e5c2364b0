"""Gets an attempt running at an agent, or says truly what became of it.

`Running` is an answer being read.  `NotRun` is the agent's own word, or follows
from nothing having been sent.  Everything else is `Unknown` until the agent,
asked by attempt, reads it on or bars it; barred is "not run", for good.
"""

from __future__ import annotations

from typing import Final, NamedTuple

import curio
from loguru import logger

from ramppost import clock, ids
from ramppost.confsync import fetch
from ramppost.entry.job import Job, Trace
from ramppost.entry.state import Entry
from ramppost.entry.upstreams import Upstream
from ramppost.policy.bills import request_id_of
from ramppost.policy.permissions import ModelVersion
from ramppost.schema.messages import (
    AttachMsg,
    Candidate,
    Claim,
    Frame,
    Head,
    RunMsg,
)
from ramppost.wire.client import CallFailed, Stream, open_stream
from ramppost.wire.codec import BadMessage, decode, encode

HEAD_SLACK_S: Final = 0.5
ASK_TIMEOUT_S: Final = 1.0
RESOLVE_TRIES: Final = 3
RESOLVE_PAUSE_S: Final = 0.2
FRAME_TIMEOUT_S: Final = 35.0


class NotRun(NamedTuple):
    """It was not run and will not be."""

    reason: str
    retry_after_s: float


class Unknown(NamedTuple):
    """Nobody reachable can say whether it ran."""

    reason: str


class ReadFailure(NamedTuple):
    """An answer broke off."""

    reason: str


class Running:
    """An attempt whose answer is being read; `next_n` is the piece wanted next."""

    def __init__(
        self, stream: Stream, addr: str, head: Head, mv: ModelVersion, next_n: int
    ) -> None:
        self.stream = stream
        self.addr = addr
        self.agent = head["agent"]
        self.attempt = head["attempt"]
        self.mv = mv
        self.next_n = next_n
        self.request_id = ""
        self.up: Upstream | None = None
        self.claim: Claim | None = None


Outcome = Running | NotRun | Unknown


def run_msg(
    entry: Entry, ask: Job, mv: ModelVersion, agent: str, attempt: str, left_s: float
) -> RunMsg:
    """The message that asks an agent to run."""
    return RunMsg(
        entry=entry.name,
        agent=agent,
        request_id=request_id_of(attempt),
        attempt=attempt,
        rev=entry.conf.rev,
        workspace=ask.ws["name"],
        class_name=ask.cls["name"],
        priority=ask.cls["priority"],
        repeatable=ask.repeatable,
        model=mv.model,
        version=mv.version,
        service=ask.service,
        session=ask.session["session"] if ask.session else "",
        key=ask.key,
        deadline_ms=max(1, int(left_s * 1000)),
        path=ask.path,
        body=ask.body,
    )


async def send_run(entry: Entry, up: Upstream, msg: RunMsg, trace: Trace) -> Outcome:
    """Send an attempt to an agent and wait for its word, resolving a cut."""
    up.own_requests += 1
    out = await _send(entry, up, msg)
    if isinstance(out, Unknown):
        up.ejection.record_failure(clock.now())
        logger.bind(request=msg["request_id"]).warning("attempt in doubt: {}", out.reason)
        out = await resolve(entry, up.addr, msg["agent"], msg["attempt"], 0, _mv(msg))
    if isinstance(out, Running):
        out.up = up
        trace.running()
        return out
    up.own_requests -= 1
    if isinstance(out, Unknown):
        trace.doubt()
    return out


async def _send(entry: Entry, up: Upstream, msg: RunMsg) -> Outcome:
    timeout_s = msg["deadline_ms"] / 1000 + HEAD_SLACK_S
    stream = await open_stream(entry.pool, up.addr, "POST", "/a/run", encode(msg), timeout_s)
    if isinstance(stream, CallFailed):
        if stream.sent:
            return Unknown(stream.reason)
        up.ejection.record_failure(clock.now())
        return NotRun("unreachable", 0.0)
    return await _read_head(entry, stream, up.addr, msg["attempt"], 0, _mv(msg))


async def resolve(
    entry: Entry, addr: str, agent: str, attempt: str, from_n: int, mv: ModelVersion
) -> Outcome:
    """Read an attempt on from a piece, or have it barred."""
    out: Outcome = Unknown("not asked")
    for _ in range(RESOLVE_TRIES):
        out = await attach(entry, addr, agent, attempt, from_n, mv, tombstone=True)
        if not isinstance(out, Unknown) or out.reason in (
            "replaced",
            "forgotten",
            "answer_dropped",
        ):
            return out
        await curio.sleep(RESOLVE_PAUSE_S)
    return out


async def attach(
    entry: Entry,
    addr: str,
    agent: str,
    attempt: str,
    from_n: int,
    mv: ModelVersion,
    tombstone: bool,
) -> Outcome:
    """Ask an agent for an attempt once."""
    msg = AttachMsg(
        entry=entry.name,
        agent=agent,
        attempt=attempt,
        rev=entry.conf.rev,
        from_frame=from_n,
        tombstone=tombstone,
    )
    stream = await open_stream(entry.pool, addr, "POST", "/a/attach", encode(msg), ASK_TIMEOUT_S)
    if isinstance(stream, CallFailed):
        return Unknown(stream.reason)
    return await _read_head(entry, stream, addr, attempt, from_n, mv)


async def _read_head(
    entry: Entry, stream: Stream, addr: str, attempt: str, from_n: int, mv: ModelVersion
) -> Outcome:
    """The agent's word from the first line of a reply."""
    try:
        line = await curio.timeout_after(ASK_TIMEOUT_S, stream.read_line())
    except (OSError, curio.TaskTimeout) as exc:
        await stream.close()
        return Unknown(f"{addr}: no head: {exc}")
    head = decode(line, Head) if stream.status == 200 else BadMessage(f"status {stream.status}")
    if (
        isinstance(head, BadMessage)
        or head["attempt"] != attempt
        or ids.address(head["agent"]) != addr
    ):
        await stream.close()
        return Unknown(f"{addr}: reply is not of this attempt")
    await _heard(entry, addr, head)
    if head["outcome"] == "admitted":
        return Running(stream, addr, head, mv, from_n)
    await stream.drain()
    await stream.close()
    if head["outcome"] == "not_run":
        return NotRun(head["reason"], head["retry_after_s"])
    return Unknown(head["reason"])


async def _heard(entry: Entry, addr: str, head: Head) -> None:
    up = entry.upstreams.by_addr.get(addr)
    if up is not None:
        entry.upstreams.record_head(up, head)
    if head["rev"] > entry.conf.rev:
        await fetch(entry.conf, entry.pool, addr)


async def read_frame(run: Running) -> Frame | ReadFailure:
    """The next piece of an answer; one that is not its own or out of turn is a cut."""
    try:
        line = await curio.timeout_after(FRAME_TIMEOUT_S, run.stream.read_line())
    except (OSError, curio.TaskTimeout) as exc:
        return ReadFailure(str(exc) or "no piece in time")
    frame = decode(line, Frame)
    if isinstance(frame, BadMessage):
        return ReadFailure(frame.reason)
    if frame["attempt"] != run.attempt or frame["n"] != run.next_n:
        return ReadFailure("piece of another answer or out of turn")
    if "end" not in frame:
        run.next_n += 1
    return frame


async def read_on(entry: Entry, run: Running) -> Frame | Unknown:
    """The next piece, reading the answer on over a fresh connection where it is cut."""
    for _ in range(RESOLVE_TRIES):
        frame = await read_frame(run)
        if not isinstance(frame, ReadFailure):
            return frame
        await run.stream.close()
        logger.bind(request=run.request_id).info("answer cut: {}", frame.reason)
        out = await resolve(entry, run.addr, run.agent, run.attempt, run.next_n, run.mv)
        if not isinstance(out, Running):
            return Unknown(out.reason)
        run.stream = out.stream
    return Unknown("answer cut again and again")


async def finish(run: Running) -> None:
    """Done with reading, at the end or before."""
    if run.up is not None:
        run.up.own_requests -= 1
        run.up = None
    await run.stream.close()


def candidate(up: Upstream) -> Candidate:
    """An agent as a claim names it."""
    return Candidate(addr=up.addr, agent=up.ticket)


def _mv(msg: RunMsg) -> ModelVersion:
    return ModelVersion(msg["model"], msg["version"])
