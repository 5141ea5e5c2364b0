"""Serves one request: admit it, find an upstream that answers, pass the answer on.

A request that may run again is tried again, within its route's attempts and the
gateway's part of the retry budget, as long as its caller has seen nothing of an answer.
A stream that breaks off is taken up after its last event, inside the same answer.
"""

from __future__ import annotations

from typing import Final

import curio
from loguru import logger

from ramppost import clock
from ramppost.errors import Ran, Refusal, error_body, refusal
from ramppost.gateway.admit import admit, stale_refusal
from ramppost.gateway.aftermath import handle_broken_response, handle_unframed_end
from ramppost.gateway.attempt import Refused, Running, attempt, release
from ramppost.gateway.counts import Ended
from ramppost.gateway.escalation import choose_larger_model, plan_models
from ramppost.gateway.forwarding import Forwarded, forward_response, forward_stream
from ramppost.gateway.inbound import JSON_TYPE, Reply
from ramppost.gateway.job import Job
from ramppost.gateway.links import Broken, NotSent
from ramppost.gateway.model import CallerRequest
from ramppost.gateway.pick import pick, query_backlogs, select_service, warmup_wait_s
from ramppost.gateway.rollout_duty import judge_answer
from ramppost.gateway.state import Gateway
from ramppost.platform.headers import Headers, refusal_headers
from ramppost.policy.fatal import ObservedRun, evidence_level
from ramppost.policy.policydoc import INPUT_PRICE_RATIO
from ramppost.wire.server import Gone

MAX_CONNECT_FAILURES: Final = 4
"""Upstreams that can't be reached cost no retry, but time."""
REFUSED_S: Final = 1.0
"""How long an upstream is left out whose box refuses connections: until its entry goes, if it has
ended, and not for long, if it only had too many."""
NO_ROOM_RETRY_S: Final = 0.4
"""When to come back to a service that refused: some answers have ended by then."""
LEAST_LEFT_S: Final = 0.01
WARMUP_WAIT_OF_OBJECTIVE: Final = 0.1
"""Fraction of its objective for which a request may wait when all suitable upstreams are warming
up.  The remainder is left for serving the request."""


async def serve(gw: Gateway, req: CallerRequest, reply: Reply, read_at: float) -> None:
    """Serve a request that was read whole at `read_at`; raises Gone to close the connection."""
    admitted = admit(gw, req)
    if isinstance(admitted, Refusal):
        await _refuse(gw, req, reply, admitted, read_at)
        return
    job = Job(req, admitted, read_at)
    if admitted.workspace is not None and not gw.freshness.holds(read_at):
        gw.metrics.count("ramppost_requests_on_unconfirmed_keys_total")
    failed: Refusal | None = None
    try:
        async with curio.timeout_after(max(LEAST_LEFT_S, job.left_s(clock.now()))):
            failed = await _answer(gw, job, reply)
    except curio.TaskTimeout:
        failed = _time_is_up(job)
    except (Gone, curio.CancelledError):
        _note_end(gw, job, "caller left", reply.status, read_at)
        raise
    gw.counts.ended(_ended(job, failed is None, clock.now()))
    if failed is None:
        _note_end(gw, job, "served", reply.status, read_at)
    elif reply.started:
        _note_end(gw, job, f"broken off: {failed.message}", reply.status, read_at)
        raise Gone
    else:
        await _refuse(gw, req, reply, failed, read_at, job.fingerprint)


async def _answer(gw: Gateway, job: Job, reply: Reply) -> Refusal | None:
    """Find who answers and pass it on; a refusal where nobody did."""
    service = select_service(job)
    budget = gw.retry_budget_of(service)
    began_at = clock.now()
    budget.record_try(began_at)
    plan = plan_models(gw, job, budget.available(began_at) >= 1)
    model = plan.models[0]
    while True:
        got = await _try_upstreams(gw, job, service, model, reply)
        if isinstance(got, Refusal):
            return got
        larger = "" if reply.started else await choose_larger_model(gw, job, service, plan, got)
        if larger:
            await release(got, False)
            model = larger
            job.tried_upstreams.clear()
            continue
        # A stream that breaks off goes on with the model that began it.
        plan = plan._replace(models=(model,))
        failed = await _pass(gw, job, got, reply)
        if failed is None:
            return None
        if job.route.repeat == "never" or (reply.started and not job.route.resumable):
            return refusal("outcome_unknown", failed.reason)


def _charge(job: Job, running: Running, tokens: float) -> None:
    """Add what a model has read or made to the cost of its request, in tokens made."""
    engine = running.chosen.service.engine
    if engine is not None:
        job.cost += engine.prices.get(running.model, 0.0) * tokens / 1000


async def _try_upstreams(
    gw: Gateway, job: Job, service: str, model: str, reply: Reply
) -> Running | Refusal:
    """Try upstreams until one answers, or until there is no reason to go on."""
    failures = 0
    last = refusal("no_upstream", f"no upstream of {service} can be asked", NO_ROOM_RETRY_S)
    while True:
        if gw.fatal.is_fatal(job.fingerprint):
            return _fatal(job)
        await query_backlogs(gw, job, service, model)
        # After all that may take time: a process that was frozen finds its confirmation old here.
        now = clock.now()
        if job.workspace is not None and not gw.freshness.may_start(now):
            return _final(job, stale_refusal())
        chosen = pick(gw, job, service, model, now)
        wait_s = warmup_wait_s(gw, job, service, now) if chosen is None else None
        if wait_s:
            if now + wait_s < job.read_at + WARMUP_WAIT_OF_OBJECTIVE * job.route.objective_s:
                await curio.sleep(wait_s)
                continue
            return _final(job, _warming_up_refusal(gw, wait_s))
        if chosen is None or not _may_send(gw, job, service):
            return _final(job, last)
        got = await attempt(gw, job, chosen, model)
        if isinstance(got, Running):
            if job.req.prompt is not None:
                _charge(job, got, INPUT_PRICE_RATIO * job.req.prompt.tokens_in)
            if not _worth_another(gw, job, service, got, reply):
                return got
            await release(got, False)
            job.failed_versions.add(got.chosen.upstream.version)
            last = refusal("upstream_failed", f"upstream answered {got.head.status}")
        elif isinstance(got, Refused):
            last = refusal(
                "overloaded", "upstreams have no room", got.retry_after_s or NO_ROOM_RETRY_S
            )
        elif isinstance(got, NotSent):
            failures += 1
            if got.refused:
                gw.members.ended(chosen.upstream.key, clock.now(), REFUSED_S)
            last = refusal("no_upstream", got.reason, NO_ROOM_RETRY_S)
            if failures >= MAX_CONNECT_FAILURES:
                return _final(job, last)
        else:
            await handle_broken_response(gw, job, chosen.upstream, got, evidence_level(None, 0))
            last = refusal("outcome_unknown", got.reason)
            if job.route.repeat == "never":
                return last


def _warming_up_refusal(gw: Gateway, wait_s: float) -> Refusal:
    """Refusal for when the warm-up limit of every suitable upstream is reached.

    Callers are told to retry once this gateway may send again, or earlier at a randomized time, as
    another gateway may have capacity left.
    """
    spread_s = NO_ROOM_RETRY_S + gw.rng.random()
    return refusal("overloaded", "upstreams are warming up", min(wait_s, spread_s))


def _may_send(gw: Gateway, job: Job, service: str) -> bool:
    """Whether one more upstream may be asked, by the route's attempts and the budget."""
    if job.attempts == 0:
        return True
    if job.counted_attempts >= job.route.attempts:
        return False
    return gw.retry_budget_of(service).take(clock.now())


def _worth_another(gw: Gateway, job: Job, service: str, got: Running, reply: Reply) -> bool:
    """Whether a failure that an upstream answered is not passed on but tried again."""
    if got.head.status < 500 and not reply.started:
        return False
    if got.head.status < 400:
        return False
    judge_answer(gw, got, bad=got.head.status >= 500)
    if reply.started:
        return True
    if job.route.repeat == "never" or job.counted_attempts >= job.route.attempts:
        return False
    now = clock.now()
    enough = gw.retry_budget_of(service).available(now) >= 1
    return enough and pick(gw, job, service, got.model, now) is not None


def _final(job: Job, last: Refusal) -> Refusal:
    """The refusal, which says "not run" only where that is so."""
    if job.may_have_run and last.ran == "no":
        return refusal("outcome_unknown", last.message)
    return last


async def _pass(gw: Gateway, job: Job, running: Running, reply: Reply) -> Broken | None:
    """Pass an answer on; gives why it broke off."""
    whole = False
    job.confidence = running.head.confidence
    head_at = running.sent_at + running.first_s
    job.head_at = job.head_at or head_at
    events_before = job.forwarded_events
    course = ObservedRun(head_at)
    try:
        if job.route.streams and running.head.status < 400:
            got = await forward_stream(gw, job, running, reply, course)
        else:
            got = await forward_response(running, reply, course)
        whole = isinstance(got, Forwarded)
    finally:
        await release(running, whole)
        engine = running.chosen.service.engine
        if engine is not None:
            _charge(job, running, (job.forwarded_events - events_before) * engine.tokens_per_event)
    if isinstance(got, Broken):
        now = clock.now()
        gw.suspicion_of(running.chosen.upstream.key).record_outcome(True, now)
        events_there = job.forwarded_events - events_before
        logger.info(
            "answer broke off: {}",
            got.reason,
            request=job.req.attempt_id,
            fingerprint=job.fingerprint,
            upstream=running.chosen.upstream.id,
            after_event=job.last_event_id,
            events_there=events_there,
            since_head_s=round(now - head_at, 4),
            lived_s=round(course.lived_s, 4),
        )
        sign = evidence_level(course.lived_s, events_there)
        await handle_broken_response(gw, job, running.chosen.upstream, got, sign)
        return got
    if got.framed:
        gw.fatal.answered(job.fingerprint, running.head.status)
    else:
        sign = evidence_level(course.lived_s, got.events)
        await curio.spawn(handle_unframed_end, gw, job, running, sign, daemon=True)
    judge_answer(gw, running, bad=running.head.status >= 500, passed=got)
    return None


def _fatal(job: Job) -> Refusal:
    """The refusal of a request that ends upstreams.  There is no time to come back: it would be
    refused again."""
    ran: Ran = "unknown" if job.may_have_run else "no"
    return refusal("fatal_request", "upstreams end when they begin to run it", ran=ran)


def _time_is_up(job: Job) -> Refusal:
    if job.may_have_run:
        return refusal("deadline", "the time limit passed while it was running", ran="unknown")
    return refusal("overloaded", "the time limit passed before it was begun", NO_ROOM_RETRY_S)


async def _refuse(
    gw: Gateway,
    req: CallerRequest,
    reply: Reply,
    ref: Refusal,
    read_at: float,
    fingerprint: str = "",
) -> None:
    """Send a final answer of our own; `fingerprint` is empty where the request was not let in."""
    headers: Headers = (JSON_TYPE, *refusal_headers(req.attempt_id))
    if ref.retry_after_s and ref.ran == "no":
        headers = (*headers, (b"retry-after", f"{ref.retry_after_s:.2f}".encode()))
    held_s = clock.now() - read_at
    gw.metrics.count("ramppost_refusals_total", code=ref.code)
    logger.info(
        "refused: {}",
        ref.message,
        request=req.attempt_id,
        fingerprint=fingerprint,
        code=ref.code,
        status=ref.status,
        ran=ref.ran,
        held_s=round(held_s, 4),
        config_age_s=_config_age_s(gw),
        config=gw.table.version if gw.table else None,
    )
    await reply.send(ref.status, headers, error_body(ref))


def _ended(job: Job, served: bool, now: float) -> Ended:
    """What is counted of a request for the operators' reports."""
    return Ended(
        workspace=job.workspace.name if job.workspace is not None else "",
        route=job.route.name,
        served=served,
        took_s=(now if job.head_at is None else job.head_at) - job.read_at,
        objective_s=job.route.objective_s,
        policy=job.policy,
        cost=job.cost,
        confidence=job.confidence,
    )


def _note_end(gw: Gateway, job: Job, outcome: str, status: int, read_at: float) -> None:
    took_s = clock.now() - read_at
    result = outcome.partition(":")[0]
    gw.metrics.count("ramppost_requests_total", route=job.route.name, outcome=result)
    gw.metrics.observe("ramppost_request_seconds", took_s, route=job.route.name)
    logger.info(
        "{}",
        outcome,
        request=job.req.attempt_id,
        fingerprint=job.fingerprint,
        route=job.route.name,
        workspace=job.workspace.name if job.workspace else "",
        status=status,
        attempts=job.attempts,
        events=job.last_event_id,
        policy=job.policy,
        cost=round(job.cost, 5),
        took_s=round(took_s, 4),
        config_age_s=_config_age_s(gw),
    )


def _config_age_s(gw: Gateway) -> float:
    """For the log: how long ago the configuration was known to be the newest, 999 at most."""
    return round(min(gw.freshness.age(clock.now()), 999.0), 3)
