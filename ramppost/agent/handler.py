"""HTTP handler of an agent; requests reach its upstream only through it.

`/a/run` admits an attempt, or answers `not_run` if it was certainly not run.  `/a/attach`
resumes the answer of an attempt from any frame, or records a tombstone for an attempt that was
never admitted.  `/a/settled` discards the copies of bills that the entry has filed, and
`/a/status` reports the state, the load and the outcome counts.
"""

from __future__ import annotations

from typing import Literal

from ramppost import clock, ids
from ramppost.agent.attempts import Attempt
from ramppost.agent.runner import admit_or_queue, refusal_reason
from ramppost.agent.state import Agent
from ramppost.confsync import CONFIG_PATH, fetch_config
from ramppost.schema.messages import (
    AgentStatus,
    AttachMsg,
    Frame,
    Head,
    RunMsg,
    SettledMsg,
    StatusMsg,
)
from ramppost.usage import USAGE_PATH, usage
from ramppost.wire.codec import encode, encode_line
from ramppost.wire.digits import parse_digits
from ramppost.wire.messages import handle_message
from ramppost.wire.server import Handler, Reply, Request

NDJSON = "application/x-ndjson"
HeadOutcome = Literal["admitted", "not_run", "unknown"]


def agent_handler(agent: Agent) -> Handler:
    """Return the handler of an agent's listener."""

    async def handle(req: Request, reply: Reply) -> None:
        if req.path == "/a/run":
            await handle_message(req, reply, RunMsg, lambda msg: _handle_run(agent, msg, reply))
        elif req.path == "/a/attach":
            await handle_message(
                req, reply, AttachMsg, lambda msg: _handle_attach(agent, msg, reply)
            )
        elif req.path == "/a/settled":
            await handle_message(
                req, reply, SettledMsg, lambda msg: _handle_settled(agent, msg, reply)
            )
        elif req.path == "/a/status":
            await handle_message(
                req, reply, StatusMsg, lambda msg: _handle_status(agent, msg, reply)
            )
        elif req.path == CONFIG_PATH:
            await send_config(agent.conf.encoded, agent.conf.rev, req, reply)
        elif req.path == USAGE_PATH:
            await reply.send(200, encode(usage(agent.client, (agent.meter,))))
        elif req.path in ("/healthz", "/readyz"):
            ready = agent.conf.doc is not None and agent.upstream_up and not agent.leaving
            await reply.send(200 if ready or req.path == "/healthz" else 503, b"{}")
        else:
            await reply.send(404, b'{"error":"no such path"}')

    return handle


async def send_config(raw: bytes, rev: int, req: Request, reply: Reply) -> None:
    """Send the configuration if it is newer than the revision in the query, else status 304."""
    known_rev = parse_digits(req.query.get("rev", "0"))
    if known_rev is not None and known_rev < rev:
        await reply.send(200, raw)
    else:
        await reply.send(304, b"")


async def _fetch_newer_config(agent: Agent, sender: str, rev: int) -> None:
    if rev > agent.conf.rev:
        await fetch_config(agent.conf, agent.pool, ids.address(sender))


async def _handle_run(agent: Agent, msg: RunMsg, reply: Reply) -> None:
    await _fetch_newer_config(agent, msg["entry"], msg["rev"])
    item = agent.attempts.get(msg["attempt"])
    if item is None:
        if not agent.accepts_ticket(msg["agent"]):
            await _send_head(agent, msg["attempt"], "not_run", "wrong_incarnation", reply)
            return
        if msg["rev"] > agent.conf.rev:
            await _send_head(agent, msg["attempt"], "not_run", "behind", reply)
            return
        item = agent.attempts.add(msg)
        reason = "leaving" if agent.leaving else refusal_reason(agent, msg)
        if reason:
            await item.refuse(reason)
        else:
            await admit_or_queue(agent, item, msg)
    await _send_attempt(agent, item, 0, reply)


async def _handle_attach(agent: Agent, msg: AttachMsg, reply: Reply) -> None:
    await _fetch_newer_config(agent, msg["entry"], msg["rev"])
    item = agent.attempts.get(msg["attempt"])
    if item is not None:
        await _send_attempt(agent, item, msg["from_frame"], reply)
    elif ids.parse_ticket(msg["agent"]).incarnation != agent.name:
        await _send_head(agent, msg["attempt"], "unknown", "replaced", reply)
    elif not agent.accepts_ticket(msg["agent"]):
        await _send_head(agent, msg["attempt"], "unknown", "forgotten", reply)
    elif msg["tombstone"]:
        item = await agent.attempts.add_tombstone(msg["attempt"], "tombstoned")
        await _send_attempt(agent, item, 0, reply)
    else:
        await _send_head(agent, msg["attempt"], "unknown", "not_seen", reply)


async def _send_attempt(agent: Agent, item: Attempt, start: int, reply: Reply) -> None:
    """Send the head once the outcome is known, then the frames from `start` on, then the end."""
    item.readers += 1
    try:
        await item.wait_for(-1)
        if item.state == "not_run":
            wait_s = item.retry_after_s
            await _send_head(agent, item.attempt, "not_run", item.reason, reply, wait_s)
            return
        if item.frames_dropped:
            await _send_head(agent, item.attempt, "unknown", "answer_dropped", reply)
            return
        await reply.start(200, NDJSON)
        await reply.write(encode_line(_head(agent, item.attempt, "admitted", "")))
        await _send_frames(item, start, reply)
        await reply.end()
    finally:
        item.readers -= 1
        item.last_read_at = clock.now()


async def _send_frames(item: Attempt, start: int, reply: Reply) -> None:
    sent = start
    while True:
        await item.wait_for(sent)
        lines = b""
        for number in range(sent, len(item.frames)):
            lines += encode_line(Frame(attempt=item.attempt, n=number, text=item.frames[number]))
        sent = max(sent, len(item.frames))
        if item.end is not None:
            last = Frame(attempt=item.attempt, n=len(item.frames), text="", end=item.end)
            await reply.write(lines + encode_line(last))
            return
        if lines:
            await reply.write(lines)


def _head(
    agent: Agent, attempt: str, outcome: HeadOutcome, reason: str, retry_after_s: float = 0.0
) -> Head:
    return Head(
        agent=agent.ticket,
        attempt=attempt,
        rev=agent.conf.rev,
        outcome=outcome,
        reason=reason,
        retry_after_s=retry_after_s,
        load=agent.load(),
        counts=agent.outcome_counts(),
    )


async def _send_head(
    agent: Agent,
    attempt: str,
    outcome: HeadOutcome,
    reason: str,
    reply: Reply,
    retry_after_s: float = 0.0,
) -> None:
    head = _head(agent, attempt, outcome, reason, retry_after_s)
    await reply.send(200, encode_line(head), NDJSON)


async def _handle_settled(agent: Agent, msg: SettledMsg, reply: Reply) -> None:
    for attempt in msg["attempts"]:
        agent.unsettled_bills.pop(attempt, None)
    await reply.send(200, b"{}")


async def _handle_status(agent: Agent, msg: StatusMsg, reply: Reply) -> None:
    await _fetch_newer_config(agent, msg["entry"], msg["rev"])
    state: Literal["live", "leaving", "down"] = "live" if agent.upstream_up else "down"
    status = AgentStatus(
        agent=agent.ticket,
        name=agent.cfg["name"],
        hall=agent.cfg["hall"],
        rev=agent.conf.rev,
        state="leaving" if agent.leaving else state,
        kind=agent.cfg["upstream"]["kind"],
        service=agent.cfg["upstream"].get("service", ""),
        versions=agent.versions,
        load=agent.load(),
        counts=agent.outcome_counts(),
    )
    await reply.send(200, encode(status))
