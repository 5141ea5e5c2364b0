"""Runs an admitted attempt at the upstream, and keeps a witness copy of its bill."""

from __future__ import annotations

from typing import Final

import curio
from loguru import logger

from ramppost import clock
from ramppost.agent.attempts import Attempt
from ramppost.agent.engine import Broke, Lost, NotBegun, Ran, cancel_run, run_engine
from ramppost.agent.service import Answered, run_service
from ramppost.agent.state import Agent
from ramppost.policy.admission import LOWEST_PRIORITY, Queued, QueuedRequest, Rejected
from ramppost.policy.pace import Timing
from ramppost.policy.permissions import ModelVersion, denial_reason
from ramppost.policy.rollout import OutcomeCounts
from ramppost.schema.messages import BillLine, End, RunMsg

TOKENS_PER_PRICE: Final = 1000
DOWN_RETRY_S: Final = 1.0


class Clock:
    """Times the tokens of a run."""

    def __init__(self) -> None:
        self.began = clock.now()
        self.first = self.last = self.began
        self.tokens = 0

    def token(self, now: float) -> None:
        """A token came."""
        self.first = self.first if self.tokens else now
        self.last = now
        self.tokens += 1

    def timing(self) -> Timing:
        """Of the run so far."""
        gaps = max(1, self.tokens - 1)
        return Timing(self.first - self.began, (self.last - self.first) / gaps)


def refusal_now(agent: Agent, msg: RunMsg) -> str:
    """Why this may not be run now by the configuration in force; empty where it may."""
    doc = agent.conf.doc
    if doc is None:
        return "not_ready"
    if msg["service"]:
        ws = next((w for w in doc["workspaces"] if w["name"] == msg["workspace"]), None)
        return "" if ws and msg["service"] in ws["services"] else "forbidden"
    return denial_reason(doc, msg["workspace"], ModelVersion(msg["model"], msg["version"]))


async def take_in(agent: Agent, item: Attempt, msg: RunMsg) -> None:
    """Give the attempt a slot or a place in line and start its task, or refuse it."""
    now = clock.now()
    who = QueuedRequest(item.attempt, msg["priority"], now + msg["deadline_ms"] / 1000)
    got = agent.admission.request_slot(who, now)
    if isinstance(got, Rejected):
        await item.refuse("full", got.retry_after_s)
        return
    if isinstance(got, Queued):
        if got.evicted is not None:
            await _put_out(agent, got.evicted)
    else:
        item.entered = True
        await item.turn.set()
    item.task = await curio.spawn(_run, agent, item, msg, who.deadline, daemon=True)


async def _put_out(agent: Agent, name: str) -> None:
    """Someone of lower priority has to leave the line."""
    other = agent.attempts.get(name)
    if other is not None and other.task is not None:
        wait_s = agent.admission.retry_after(LOWEST_PRIORITY)
        await other.refuse("full", wait_s)
        await other.task.cancel(blocking=False)


async def _run(agent: Agent, item: Attempt, msg: RunMsg, deadline: float) -> None:
    if not await _wait_turn(agent, item, deadline):
        return
    started = clock.now()
    try:
        reason = "cancelled" if item.cancelled else refusal_now(agent, msg)
        if reason:
            await item.refuse(reason)
        elif msg["service"]:
            await _run_service(agent, item, msg)
        else:
            await _run_model(agent, item, msg)
    finally:
        ran_s = clock.now() - started if item.end is not None else None
        follower = agent.admission.release_slot(ran_s)
        if follower is not None:
            await _enter(agent, follower)


async def _enter(agent: Agent, who: QueuedRequest) -> None:
    """Tell who waited that it has the slot now."""
    item = agent.attempts.get(who.name)
    if item is not None:
        item.entered = True
        await item.turn.set()


async def _wait_turn(agent: Agent, item: Attempt, deadline: float) -> bool:
    """Wait for a slot; false if the deadline came first or it was cancelled."""
    left = max(0.0, deadline - clock.now())
    try:
        await curio.timeout_after(left, item.turn.wait())
    except curio.TaskTimeout:
        if item.entered:
            return True
        agent.admission.remove(item.attempt)
        wait_s = agent.admission.retry_after(LOWEST_PRIORITY)
        await item.refuse("deadline", wait_s)
        return False
    return True


async def _run_model(agent: Agent, item: Attempt, msg: RunMsg) -> None:
    mv = ModelVersion(msg["model"], msg["version"])
    upstream = agent.cfg["upstream"]
    exact = upstream.get("exact_stream", False)
    pace = Clock()

    async def add(text: str) -> None:
        pace.token(clock.now())
        await item.add(text)

    out = await run_engine(agent.pool, upstream["addr"], msg, exact, item.admit, add)
    if isinstance(out, NotBegun):
        await item.refuse("upstream_down", DOWN_RETRY_S)
        return
    if isinstance(out, Broke | Lost):
        agent.count(mv, OutcomeCounts(bad=1))
        logger.warning("attempt {} failed: {}", item.attempt, out.reason)
        await item.admit()
        state = "lost" if isinstance(out, Lost) else "failed"
        await item.finish(_end(state, out.reason, tokens_out=len(item.frames)))
        return
    agent.count(mv, OutcomeCounts(ok=1, slow=int(agent.slow(mv, pace.timing()))))
    state = "cancelled" if item.cancelled or out.finish == "cancelled" else "done"
    cost = out.tokens_out * agent.price(msg["model"]) / TOKENS_PER_PRICE
    _keep_bill(agent, item, msg, out.tokens_out, cost)
    await item.finish(_ended(state, out, cost))


async def _run_service(agent: Agent, item: Attempt, msg: RunMsg) -> None:
    out = await run_service(agent.pool, agent.cfg["upstream"]["addr"], msg)
    if isinstance(out, NotBegun):
        await item.refuse("upstream_down", DOWN_RETRY_S)
        return
    await item.admit()
    if isinstance(out, Broke | Lost):
        await item.finish(_end("lost" if isinstance(out, Lost) else "failed", out.reason))
        return
    assert isinstance(out, Answered)
    _keep_bill(agent, item, msg, 0, 0.0)
    await item.add(out.body)
    await item.finish(_end("done", "", status=out.status, content_type=out.content_type))


def _keep_bill(agent: Agent, item: Attempt, msg: RunMsg, tokens: int, cost: float) -> None:
    """Keep the bill until the entry says that it is in the ledger."""
    line = BillLine(
        request_id=msg["request_id"],
        attempt=msg["attempt"],
        workspace=msg["workspace"],
        model=msg["model"],
        version=msg["version"],
        tokens=tokens,
        cost=cost,
    )
    agent.witness[item.attempt] = (clock.now(), line)


def _end(
    state: str,
    reason: str,
    status: int = 200,
    content_type: str = "application/json",
    tokens_out: int = 0,
) -> End:
    assert state in ("done", "failed", "lost", "cancelled")
    return End(
        state=state,  # type: ignore[typeddict-item]
        reason=reason,
        status=status,
        content_type=content_type,
        tokens_in=0,
        tokens_out=tokens_out,
        cost=0.0,
        confidence=0.0,
    )


def _ended(state: str, out: Ran, cost: float) -> End:
    end = _end(state, out.finish, tokens_out=out.tokens_out)
    end["tokens_in"] = out.tokens_in
    end["cost"] = cost
    end["confidence"] = out.confidence
    return end


async def cancel(agent: Agent, item: Attempt) -> None:
    """Nobody wants an attempt any more: out of the line, or stopped at the engine."""
    if item.over_at or item.cancelled:
        return
    item.cancelled = True
    if item.state == "waiting" and not item.entered:
        agent.admission.remove(item.attempt)
        await item.refuse("cancelled")
        if item.task is not None:
            await item.task.cancel(blocking=False)
    elif agent.cfg["upstream"]["kind"] == "engine":
        await cancel_run(agent.pool, agent.cfg["upstream"]["addr"], item.attempt)
