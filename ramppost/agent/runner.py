"""Runs admitted attempts at the upstream and keeps a copy of each bill until it is settled."""

from __future__ import annotations

from typing import Final

import curio
from loguru import logger

from ramppost import clock
from ramppost.agent.attempts import Attempt
from ramppost.agent.engine import (
    NotStarted,
    OutcomeUnknown,
    RunCompleted,
    RunFailed,
    cancel_run,
    run_engine,
)
from ramppost.agent.service import ServiceResponse, run_service
from ramppost.agent.state import Agent
from ramppost.policy.admission import LOWEST_PRIORITY, Queued, QueuedRequest, Rejected
from ramppost.policy.pace import Timing
from ramppost.policy.permissions import ModelVersion, denial_reason
from ramppost.policy.rollout import OutcomeCounts
from ramppost.schema.messages import BillLine, End, RunMsg

TOKENS_PER_PRICE_UNIT: Final = 1000
UPSTREAM_DOWN_RETRY_S: Final = 1.0


class TokenTimer:
    """Records when the tokens of a run arrive."""

    def __init__(self) -> None:
        self.began = clock.now()
        self.first = self.last = self.began
        self.tokens = 0

    def record_token(self, now: float) -> None:
        """Record a token that arrived at `now`."""
        self.first = self.first if self.tokens else now
        self.last = now
        self.tokens += 1

    def timing(self) -> Timing:
        """The time to the first token and the mean gap between tokens so far."""
        gaps = max(1, self.tokens - 1)
        return Timing(self.first - self.began, (self.last - self.first) / gaps)


def refusal_reason(agent: Agent, msg: RunMsg) -> str:
    """Why the configuration in force does not allow the request; empty if it does."""
    doc = agent.conf.doc
    if doc is None:
        return "not_ready"
    if msg["service"]:
        ws = next((w for w in doc["workspaces"] if w["name"] == msg["workspace"]), None)
        return "" if ws and msg["service"] in ws["services"] else "forbidden"
    return denial_reason(doc, msg["workspace"], ModelVersion(msg["model"], msg["version"]))


async def admit_or_queue(agent: Agent, item: Attempt, msg: RunMsg) -> None:
    """Give the attempt a slot or queue it, and start its task; refuse it if the queue is full."""
    now = clock.now()
    queued_request = QueuedRequest(item.attempt, msg["priority"], now + msg["deadline_ms"] / 1000)
    decision = agent.admission.request_slot(queued_request, now)
    if isinstance(decision, Rejected):
        await item.refuse("full", decision.retry_after_s)
        return
    if isinstance(decision, Queued):
        if decision.evicted is not None:
            await _evict(agent, decision.evicted)
    else:
        item.has_slot = True
        await item.slot_granted.set()
    item.task = await curio.spawn(_run, agent, item, msg, queued_request.deadline, daemon=True)


async def _evict(agent: Agent, name: str) -> None:
    """Refuse a queued attempt of lower priority that was evicted for another."""
    evicted_attempt = agent.attempts.get(name)
    if evicted_attempt is not None and evicted_attempt.task is not None:
        wait_s = agent.admission.retry_after(LOWEST_PRIORITY)
        await evicted_attempt.refuse("full", wait_s)
        await evicted_attempt.task.cancel(blocking=False)


async def _run(agent: Agent, item: Attempt, msg: RunMsg, deadline: float) -> None:
    if not await _wait_for_slot(agent, item, deadline):
        return
    started_at = clock.now()
    try:
        reason = "cancelled" if item.cancelled else refusal_reason(agent, msg)
        if reason:
            await item.refuse(reason)
        elif msg["service"]:
            await _run_service(agent, item, msg)
        else:
            await _run_model(agent, item, msg)
    finally:
        ran_s = clock.now() - started_at if item.end is not None else None
        next_request = agent.admission.release_slot(ran_s)
        if next_request is not None:
            await _grant_slot(agent, next_request)


async def _grant_slot(agent: Agent, queued_request: QueuedRequest) -> None:
    """Give the freed slot to a queued attempt and wake its task."""
    item = agent.attempts.get(queued_request.name)
    if item is not None:
        item.has_slot = True
        await item.slot_granted.set()


async def _wait_for_slot(agent: Agent, item: Attempt, deadline: float) -> bool:
    """Wait for a slot; false if the deadline passed first, in which case the attempt is refused."""
    remaining_s = max(0.0, deadline - clock.now())
    try:
        await curio.timeout_after(remaining_s, item.slot_granted.wait())
    except curio.TaskTimeout:
        if item.has_slot:
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
    timer = TokenTimer()

    async def add(text: str) -> None:
        timer.record_token(clock.now())
        await item.add_frame(text)

    result = await run_engine(agent.pool, upstream["addr"], msg, exact, item.admit, add)
    if isinstance(result, NotStarted):
        await item.refuse("upstream_down", UPSTREAM_DOWN_RETRY_S)
        return
    if isinstance(result, RunFailed | OutcomeUnknown):
        agent.record_outcome(mv, OutcomeCounts(bad=1))
        logger.warning("attempt {} failed: {}", item.attempt, result.reason)
        await item.admit()
        state = "lost" if isinstance(result, OutcomeUnknown) else "failed"
        await item.finish(_end_message(state, result.reason, tokens_out=len(item.frames)))
        return
    agent.record_outcome(mv, OutcomeCounts(ok=1, slow=int(agent.is_slow(mv, timer.timing()))))
    state = "cancelled" if item.cancelled or result.finish == "cancelled" else "done"
    cost = result.tokens_out * agent.price(msg["model"]) / TOKENS_PER_PRICE_UNIT
    _keep_bill(agent, item, msg, result.tokens_out, cost)
    await item.finish(_completed_end(state, result, cost))


async def _run_service(agent: Agent, item: Attempt, msg: RunMsg) -> None:
    result = await run_service(agent.pool, agent.cfg["upstream"]["addr"], msg)
    if isinstance(result, NotStarted):
        await item.refuse("upstream_down", UPSTREAM_DOWN_RETRY_S)
        return
    await item.admit()
    if isinstance(result, RunFailed | OutcomeUnknown):
        await item.finish(
            _end_message("lost" if isinstance(result, OutcomeUnknown) else "failed", result.reason)
        )
        return
    assert isinstance(result, ServiceResponse)
    _keep_bill(agent, item, msg, 0, 0.0)
    await item.add_frame(result.body)
    await item.finish(
        _end_message("done", "", status=result.status, content_type=result.content_type)
    )


def _keep_bill(agent: Agent, item: Attempt, msg: RunMsg, tokens: int, cost: float) -> None:
    """Keep a copy of the bill until the entry reports that it is in the ledger."""
    line = BillLine(
        request_id=msg["request_id"],
        attempt=msg["attempt"],
        workspace=msg["workspace"],
        model=msg["model"],
        version=msg["version"],
        tokens=tokens,
        cost=cost,
    )
    agent.unsettled_bills[item.attempt] = (clock.now(), line)


def _end_message(
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


def _completed_end(state: str, result: RunCompleted, cost: float) -> End:
    end = _end_message(state, result.finish, tokens_out=result.tokens_out)
    end["tokens_in"] = result.tokens_in
    end["cost"] = cost
    end["confidence"] = result.confidence
    return end


async def cancel_attempt(agent: Agent, item: Attempt) -> None:
    """Cancel an attempt that nobody reads any more.

    It is removed from the queue, or the engine is asked to cancel its run.
    """
    if item.ended_at or item.cancelled:
        return
    item.cancelled = True
    if item.state == "waiting" and not item.has_slot:
        agent.admission.remove(item.attempt)
        await item.refuse("cancelled")
        if item.task is not None:
            await item.task.cancel(blocking=False)
    elif agent.cfg["upstream"]["kind"] == "engine":
        await cancel_run(agent.pool, agent.cfg["upstream"]["addr"], item.attempt)
