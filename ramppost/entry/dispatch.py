"""Sends an attempt to an agent and determines its outcome.

`Running` means that the agent admitted the attempt and its answer is being read. `NotRun` means
that the agent reported that the attempt did not run, or that nothing was sent. Any other result is
`Unknown` until the agent is asked about the attempt. It then either continues the answer or sets a
tombstone for the attempt, after which the attempt can never run and its outcome is `NotRun`.
"""

from __future__ import annotations

from typing import Final, NamedTuple

import curio
from loguru import logger

from ramppost import clock, ids
from ramppost.confsync import fetch_config
from ramppost.entry.job import ExecutionRecord, Job
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

HEAD_TIMEOUT_MARGIN_S: Final = 0.5
AGENT_REPLY_TIMEOUT_S: Final = 1.0
MAX_RESOLVE_TRIES: Final = 3
RESOLVE_RETRY_DELAY_S: Final = 0.2
FRAME_TIMEOUT_S: Final = 35.0


class NotRun(NamedTuple):
    """The attempt has not run and never will."""

    reason: str
    retry_after_s: float


class Unknown(NamedTuple):
    """It can't be determined whether the attempt ran."""

    reason: str


class ReadFailure(NamedTuple):
    """The next frame of an answer could not be read or was invalid."""

    reason: str


class Running:
    """An attempt whose answer is being read; `expected_n` is the number of the next frame."""

    def __init__(
        self, stream: Stream, addr: str, head: Head, mv: ModelVersion, expected_n: int
    ) -> None:
        self.stream = stream
        self.addr = addr
        self.agent = head["agent"]
        self.attempt = head["attempt"]
        self.mv = mv
        self.expected_n = expected_n
        self.request_id = ""
        self.upstream: Upstream | None = None
        self.claim: Claim | None = None


Outcome = Running | NotRun | Unknown


def make_run_msg(
    entry: Entry, job: Job, mv: ModelVersion, agent: str, attempt: str, remaining_s: float
) -> RunMsg:
    """The message that asks an agent to run an attempt."""
    return RunMsg(
        entry=entry.name,
        agent=agent,
        request_id=request_id_of(attempt),
        attempt=attempt,
        rev=entry.conf.rev,
        workspace=job.workspace["name"],
        class_name=job.work_class["name"],
        priority=job.work_class["priority"],
        repeatable=job.repeatable,
        model=mv.model,
        version=mv.version,
        service=job.service,
        session=job.session["session"] if job.session else "",
        key=job.key,
        deadline_ms=max(1, int(remaining_s * 1000)),
        path=job.path,
        body=job.body,
    )


async def send_run(
    entry: Entry, upstream: Upstream, msg: RunMsg, execution: ExecutionRecord
) -> Outcome:
    """Send an attempt to an agent and wait for its outcome.

    If the connection fails after the message was sent, the outcome is resolved with the agent.
    """
    upstream.own_requests += 1
    outcome = await _send(entry, upstream, msg)
    if isinstance(outcome, Unknown):
        upstream.ejection.record_failure(clock.now())
        logger.bind(request=msg["request_id"]).warning(
            "outcome of the attempt unknown, asking its agent: {}", outcome.reason
        )
        outcome = await resolve(
            entry, upstream.addr, msg["agent"], msg["attempt"], 0, _requested_version(msg)
        )
    if isinstance(outcome, Running):
        outcome.upstream = upstream
        execution.record_admitted()
        return outcome
    upstream.own_requests -= 1
    if isinstance(outcome, Unknown):
        execution.record_unknown()
    return outcome


async def _send(entry: Entry, upstream: Upstream, msg: RunMsg) -> Outcome:
    timeout_s = msg["deadline_ms"] / 1000 + HEAD_TIMEOUT_MARGIN_S
    stream = await open_stream(entry.pool, upstream.addr, "POST", "/a/run", encode(msg), timeout_s)
    if isinstance(stream, CallFailed):
        if stream.sent:
            return Unknown(stream.reason)
        upstream.ejection.record_failure(clock.now())
        return NotRun("unreachable", 0.0)
    return await _read_head(
        entry, stream, upstream.addr, msg["attempt"], 0, _requested_version(msg)
    )


async def resolve(
    entry: Entry, addr: str, agent: str, attempt: str, first_n: int, mv: ModelVersion
) -> Outcome:
    """Continue an attempt's answer from a frame, or have the agent set a tombstone for it.

    Tries again while the agent does not give a definite reply.
    """
    outcome: Outcome = Unknown("not asked")
    for _ in range(MAX_RESOLVE_TRIES):
        outcome = await attach(entry, addr, agent, attempt, first_n, mv, tombstone=True)
        if not isinstance(outcome, Unknown) or outcome.reason in (
            "replaced",
            "forgotten",
            "answer_dropped",
        ):
            return outcome
        await curio.sleep(RESOLVE_RETRY_DELAY_S)
    return outcome


async def attach(
    entry: Entry,
    addr: str,
    agent: str,
    attempt: str,
    first_n: int,
    mv: ModelVersion,
    tombstone: bool,
) -> Outcome:
    """Ask an agent once to continue an attempt's answer from a frame.

    If `tombstone` is set and the agent never admitted the attempt, it sets a tombstone for it.
    """
    msg = AttachMsg(
        entry=entry.name,
        agent=agent,
        attempt=attempt,
        rev=entry.conf.rev,
        from_frame=first_n,
        tombstone=tombstone,
    )
    stream = await open_stream(
        entry.pool, addr, "POST", "/a/attach", encode(msg), AGENT_REPLY_TIMEOUT_S
    )
    if isinstance(stream, CallFailed):
        return Unknown(stream.reason)
    return await _read_head(entry, stream, addr, attempt, first_n, mv)


async def _read_head(
    entry: Entry, stream: Stream, addr: str, attempt: str, first_n: int, mv: ModelVersion
) -> Outcome:
    """Determine an attempt's outcome from the head, the first line of the agent's reply."""
    try:
        line = await curio.timeout_after(AGENT_REPLY_TIMEOUT_S, stream.read_line())
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
    await _record_head(entry, addr, head)
    if head["outcome"] == "admitted":
        return Running(stream, addr, head, mv, first_n)
    await stream.drain()
    await stream.close()
    if head["outcome"] == "not_run":
        return NotRun(head["reason"], head["retry_after_s"])
    return Unknown(head["reason"])


async def _record_head(entry: Entry, addr: str, head: Head) -> None:
    """Update the agent's state from a head, and fetch the configuration if the agent's is newer."""
    upstream = entry.upstreams.by_addr.get(addr)
    if upstream is not None:
        entry.upstreams.record_head(upstream, head)
    if head["rev"] > entry.conf.rev:
        await fetch_config(entry.conf, entry.pool, addr)


async def read_frame(run: Running) -> Frame | ReadFailure:
    """Read the next frame of an answer.

    A frame of another attempt, or one out of sequence, is a failure.
    """
    try:
        line = await curio.timeout_after(FRAME_TIMEOUT_S, run.stream.read_line())
    except (OSError, curio.TaskTimeout) as exc:
        return ReadFailure(str(exc) or "no frame within the time limit")
    frame = decode(line, Frame)
    if isinstance(frame, BadMessage):
        return ReadFailure(frame.reason)
    if frame["attempt"] != run.attempt or frame["n"] != run.expected_n:
        return ReadFailure("frame of another attempt or out of sequence")
    if "end" not in frame:
        run.expected_n += 1
    return frame


async def read_frame_resuming(entry: Entry, run: Running) -> Frame | Unknown:
    """Read the next frame, and continue on a new connection if reading fails."""
    for _ in range(MAX_RESOLVE_TRIES):
        frame = await read_frame(run)
        if not isinstance(frame, ReadFailure):
            return frame
        await run.stream.close()
        logger.bind(request=run.request_id).info(
            "reading the answer failed, resuming it on a new connection: {}", frame.reason
        )
        outcome = await resolve(entry, run.addr, run.agent, run.attempt, run.expected_n, run.mv)
        if not isinstance(outcome, Running):
            return Unknown(outcome.reason)
        run.stream = outcome.stream
    return Unknown("answer cut again and again")


async def release_run(run: Running) -> None:
    """Close the stream of a run, whether its answer was read to the end or not.

    The run no longer counts as a request of this entry at its upstream.
    """
    if run.upstream is not None:
        run.upstream.own_requests -= 1
        run.upstream = None
    await run.stream.close()


def make_candidate(upstream: Upstream) -> Candidate:
    """The reference to an agent that a claim holds."""
    return Candidate(addr=upstream.addr, agent=upstream.ticket)


def _requested_version(msg: RunMsg) -> ModelVersion:
    return ModelVersion(msg["model"], msg["version"])
