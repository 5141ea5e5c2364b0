"""Serves a request: admits it, finds an upstream that responds, and forwards the response.

A repeatable request is retried until the caller has been sent part of a response, limited by the
attempts of its route and by this gateway's share of the retry budget.  A stream that breaks off
is resumed after its last event, within the same response.
"""

from __future__ import annotations

import math
from typing import Final

import curio
from loguru import logger

from ramppost import clock
from ramppost.errors import Ran, Refusal, error_body, refusal
from ramppost.gateway.admit import admit, stale_refusal
from ramppost.gateway.aftermath import (
    handle_broken_response,
    handle_unframed_end,
    record_whole_answer,
)
from ramppost.gateway.attempt import Refused, Running, attempt, release
from ramppost.gateway.candidates import any_send_wait_s, send_wait_s
from ramppost.gateway.counts import EndedRequest
from ramppost.gateway.departures import retry_after_s
from ramppost.gateway.escalation import choose_larger_model, plan_models
from ramppost.gateway.forwarding import (
    Forwarded,
    forward_response,
    forward_stream,
    is_endless_body,
)
from ramppost.gateway.full import hold_while_full, note_refusal
from ramppost.gateway.inbound import JSON_TYPE, Reply
from ramppost.gateway.job import Job
from ramppost.gateway.links import Broken, NotSent
from ramppost.gateway.model import CallerRequest
from ramppost.gateway.models import ModelPlan
from ramppost.gateway.pick import pick, query_backlogs, select_service
from ramppost.gateway.room import refusal_without_room
from ramppost.gateway.session_version import end_session_request, learn_session
from ramppost.gateway.state import Gateway
from ramppost.platform.headers import Headers, refusal_headers
from ramppost.policy.fatal import EVIDENCE_WAIT_S, ObservedRun, evidence_level
from ramppost.policy.policydoc import INPUT_PRICE_RATIO
from ramppost.policy.slow_callers import Rank
from ramppost.wire.server import ClientDisconnected

MAX_CONNECT_FAILURES: Final = 4
"""Failed connections are not counted as retries, but they take time."""
REFUSED_EXCLUSION_S: Final = 1.0
"""How long an upstream is excluded after its box refused a connection: until the entry of an
upstream that has ended is removed, and briefly for one that only had too many connections."""
OVERLOAD_RETRY_S: Final = 0.4
"""Retry delay after a service refused a request; some of its responses have ended by then."""
MIN_TIMEOUT_S: Final = 0.01
MAX_SEND_WAIT_RATIO: Final = 0.1
"""Fraction of its objective for which a request may wait when no suitable upstream may be sent more
requests now.  The remainder is left for serving the request."""
MAX_UNPACED_ENDS: Final = 2
"""Upstreams that may end under a request before its attempts are spread over time.  Without that,
requests that crash engines before the response head crashed all eight of a fleet within 0.1 s."""
MAX_VERDICT_WAIT_S: Final = 1.0
"""Longer than the evidence of other gateways takes."""
VERDICT_POLL_S: Final = 0.05
MAX_RETRY_SPREAD_S: Final = 0.25
"""Callers that are refused at the same moment retry spread over this time."""


class StopEnded(curio.TaskCancelled):  # type: ignore[misc]
    """A planned stop ends while a request is still under way."""


async def serve(gw: Gateway, req: CallerRequest, reply: Reply, read_at: float) -> None:
    """Serve a request that was fully read at `read_at`.

    Raises ClientDisconnected to close the connection.
    """
    admitted = admit(gw, req)
    if isinstance(admitted, Refusal):
        await _send_refusal(gw, req, reply, admitted, read_at)
        return
    job = Job(req, admitted, read_at)
    if admitted.workspace is not None and not gw.freshness.is_fresh(read_at):
        gw.metrics.count("ramppost_requests_on_unconfirmed_keys_total")
    reply.buffer.rank = _buffer_rank(job)
    failure: Refusal | None = None
    is_answered = False
    task = await curio.current_task()
    gw.serving.add(task)
    try:
        async with curio.timeout_after(max(MIN_TIMEOUT_S, job.left_s(clock.now()))):
            failure = await _process(gw, job, reply)
            is_answered = True
            await reply.buffer.wait_until_sent()
    except curio.TaskTimeout:
        failure = failure or _timeout_refusal(job, reply)
    except StopEnded:
        failure = failure if is_answered else _stop_refusal(gw, job)
    except (ClientDisconnected, curio.CancelledError):
        outcome = "caller too slow" if reply.buffer.was_cut else "caller left"
        _record_end(gw, job, outcome, reply.status, read_at)
        raise
    finally:
        gw.serving.discard(task)
        end_session_request(gw, job)
        _record_call_time(gw, job, clock.now())
    gw.counts.record(_ended_record(job, failure is None, clock.now()))
    if failure is None:
        _record_end(gw, job, "served", reply.status, read_at)
    elif reply.started:
        _record_end(gw, job, f"broken off: {failure.message}", reply.status, read_at)
        raise ClientDisconnected
    else:
        await _send_refusal(gw, req, reply, failure, read_at, job.fingerprint)


async def refuse_by_head(gw: Gateway, req: CallerRequest, reply: Reply, read_at: float) -> bool:
    """Refuse a request of which only the head was read; false if it is admitted so far."""
    admitted = admit(gw, req)
    if not isinstance(admitted, Refusal):
        return False
    await _send_refusal(gw, req, reply, admitted, read_at, closes=True)
    return True


def _record_call_time(gw: Gateway, job: Job, now: float) -> None:
    """Record how long a call took; one whose caller has left may take at least as long."""
    if job.may_have_run and not job.route.streams:
        gw.call_times.record(job.route.name, now - job.read_at, now)


def _buffer_rank(job: Job) -> Rank:
    """How urgent a response is when buffers for slow callers must be freed."""
    return job.workspace_rank, job.route.priority


async def _process(gw: Gateway, job: Job, reply: Reply) -> Refusal | None:
    """Find an upstream that responds and forward its response; a refusal if there is none."""
    service = select_service(job)
    gw.rollouts.record_request(service, job.route.name, clock.now())
    await learn_session(gw, job, service)
    budget = gw.retry_budget_of(service)
    began_at = clock.now()
    budget.record_try(began_at)
    plan = plan_models(gw, job, budget.available(began_at) >= 1)
    model = plan.models[0]
    while True:
        result = await _try_upstreams(gw, job, service, model, reply)
        if isinstance(result, Refusal):
            return result
        larger = "" if reply.started else await _choose_or_release(gw, job, service, plan, result)
        if larger:
            await release(gw, result, False)
            model = larger
            job.tried_upstreams.clear()
            continue
        # A stream that breaks off is resumed with the same model.
        plan = plan._replace(models=(model,))
        broken = await _forward(gw, job, result, reply)
        if broken is None:
            return None
        if job.route.retry_mode == "never" or (reply.started and not job.route.resumable):
            return refusal("outcome_unknown", broken.reason)


async def _choose_or_release(
    gw: Gateway, job: Job, service: str, plan: ModelPlan, running: Running
) -> str:
    """The larger model to try instead of forwarding a response; ends the attempt if the caller
    leaves meanwhile."""
    try:
        return await choose_larger_model(gw, job, service, plan, running)
    except BaseException:
        await release(gw, running, False)
        raise


def _add_cost(job: Job, running: Running, tokens: float) -> None:
    """Add tokens to the cost of a request, at the model's price of output tokens."""
    engine = running.chosen.service.engine
    if engine is not None:
        job.cost += engine.prices.get(running.model, 0.0) * tokens / 1000


async def _try_upstreams(
    gw: Gateway, job: Job, service: str, model: str, reply: Reply
) -> Running | Refusal:
    """Try upstreams until one responds or no further attempt is allowed."""
    connect_failures = 0
    last_refusal = refusal(
        "no_upstream", f"no upstream of {service} can be asked", OVERLOAD_RETRY_S
    )
    while True:
        await _wait_for_verdict(gw, job, reply)
        if gw.fatal.is_fatal(job.fingerprint, job.suspect_parts):
            return _fatal_refusal(gw, job)
        await query_backlogs(gw, job, service, model)
        if not reply.started and _has_attempt_left(gw, job, service):
            no_slot = await hold_while_full(gw, job, service)
            if no_slot is not None:
                return _final_refusal(job, no_slot)
        # Read the clock after every step that may take time, so that a process that was frozen
        # notices here that its confirmation is too old.
        now = clock.now()
        if job.workspace is not None and not gw.freshness.may_start(now):
            return _final_refusal(job, stale_refusal())
        no_room = refusal_without_room(gw, job, service, model, now)
        if no_room is not None:
            return no_room
        chosen = pick(gw, job, service, model, now)
        wait_s = send_wait_s(gw, job, service, now) if chosen is None else None
        if wait_s:
            if now + wait_s < _latest_send_at(job, reply, now):
                await curio.sleep(wait_s)
                continue
            return _final_refusal(job, _send_limit_refusal(gw, wait_s))
        if chosen is None or not _may_attempt(gw, job, service):
            return _final_refusal(job, last_refusal)
        result = await attempt(gw, job, chosen, model)
        if isinstance(result, Running):
            if job.req.prompt is not None:
                _add_cost(job, result, INPUT_PRICE_RATIO * job.req.prompt.tokens_in)
            if not _should_retry_status(gw, job, service, result, reply):
                return result
            await release(gw, result, False)
            job.failed_versions.add(result.chosen.upstream.version)
            last_refusal = refusal("upstream_failed", f"upstream answered {result.head.status}")
        elif isinstance(result, Refused):
            if not result.wrong_upstream:
                note_refusal(gw, job, chosen.upstream)
            last_refusal = _overload_refusal(gw, job, service, result)
        elif isinstance(result, NotSent):
            connect_failures += 1
            if result.withheld:
                # It may be tried again as soon as what spoke against it no longer does.
                job.tried_upstreams.discard(chosen.upstream.key)
            if result.refused:
                gw.members.mark_ended(chosen.upstream.key, clock.now(), REFUSED_EXCLUSION_S)
            last_refusal = refusal("no_upstream", result.reason, OVERLOAD_RETRY_S)
            if connect_failures >= MAX_CONNECT_FAILURES:
                return _final_refusal(job, last_refusal)
        else:
            await handle_broken_response(gw, job, chosen.upstream, result, evidence_level(None, 0))
            last_refusal = refusal("outcome_unknown", result.reason)
            if job.route.retry_mode == "never":
                return last_refusal


async def _wait_for_verdict(gw: Gateway, job: Job, reply: Reply) -> None:
    """Hold a request while a verdict on the parts of its prompt is imminent, and one under which
    upstreams have ended before it is sent to yet another."""
    now = clock.now()
    paused = job.upstream_ends >= MAX_UNPACED_ENDS and not reply.started
    if paused and gw.fatal.may_be_fatal(job.fingerprint, job.suspect_parts):
        await curio.sleep(max(0.0, job.upstream_ended_at + EVIDENCE_WAIT_S - now))
    give_up_at = now + MAX_VERDICT_WAIT_S
    while gw.fatal.is_pending(job.suspect_parts) and clock.now() < give_up_at:
        await curio.sleep(VERDICT_POLL_S)


def _overload_refusal(gw: Gateway, job: Job, service: str, refused: Refused) -> Refusal:
    """The refusal of a request that upstreams have refused.

    Callers are told to retry as soon as any upstream may be asked again, or when the last one has
    said for this request.
    """
    wait_s = any_send_wait_s(gw, job, service, clock.now())
    retry_s = refused.retry_after_s or OVERLOAD_RETRY_S
    if 0 < wait_s < float("inf"):
        retry_s = wait_s
    return refusal("overloaded", "upstreams have no room", retry_s)


def _latest_send_at(job: Job, reply: Reply, now: float) -> float:
    """Until when a request may wait for an upstream that may be sent one more.

    A stream under way may wait as long as its events may pause.
    """
    if reply.started:
        return now + job.route.gap_objective_s
    return job.read_at + MAX_SEND_WAIT_RATIO * job.route.objective_s


def _send_limit_refusal(gw: Gateway, wait_s: float) -> Refusal:
    """The refusal of a request when no suitable upstream may be sent more requests now.

    Callers are told to retry once this gateway may send again.  If it has no share of any upstream,
    they retry at a randomized time, as another gateway may have one.
    """
    spread_s = gw.rng.random()
    if wait_s == float("inf"):
        retry_s = OVERLOAD_RETRY_S + spread_s
    else:
        retry_s = wait_s + MAX_RETRY_SPREAD_S * spread_s
    return refusal("overloaded", "upstreams accept no more requests now", retry_s)


def _may_attempt(gw: Gateway, job: Job, service: str) -> bool:
    """Whether the route's attempts and the retry budget allow one more attempt."""
    if job.attempts == 0:
        return True
    if job.counted_attempts >= job.route.attempts:
        return False
    return gw.retry_budget_of(service).take(clock.now())


def _has_attempt_left(gw: Gateway, job: Job, service: str) -> bool:
    """Whether `_may_attempt` would allow one more attempt; takes nothing from the budget."""
    if job.attempts == 0:
        return True
    has_budget = gw.retry_budget_of(service).available(clock.now()) >= 1
    return has_budget and job.counted_attempts < job.route.attempts


def _should_retry_status(
    gw: Gateway, job: Job, service: str, running: Running, reply: Reply
) -> bool:
    """Whether to retry instead of forwarding the error status that an upstream returned."""
    if running.head.status < 500 and not reply.started:
        return False
    if running.head.status < 400:
        return False
    if reply.started:
        return True
    if job.route.retry_mode == "never" or job.counted_attempts >= job.route.attempts:
        return False
    now = clock.now()
    has_budget = gw.retry_budget_of(service).available(now) >= 1
    return has_budget and pick(gw, job, service, running.model, now) is not None


def _final_refusal(job: Job, last_refusal: Refusal) -> Refusal:
    """The last refusal, unless it says "not run" and the request may have run."""
    if job.may_have_run and last_refusal.ran == "no":
        return refusal("outcome_unknown", last_refusal.message)
    return last_refusal


async def _forward(gw: Gateway, job: Job, running: Running, reply: Reply) -> Broken | None:
    """Forward a response; returns the failure if it broke off."""
    complete = False
    job.confidence = running.head.confidence
    head_at = running.sent_at + running.first_s
    job.head_at = job.head_at or head_at
    events_before = job.forwarded_events
    upstream = running.chosen.upstream

    def record_survival() -> None:
        if running.head.status < 400:
            gw.fatal.record_survival(upstream.key, upstream.version, job.suspect_parts, head_at)

    run = ObservedRun(head_at, record_survival)
    try:
        if job.route.streams and running.head.status < 400:
            result = await forward_stream(gw, job, running, reply, run)
        else:
            result = await forward_response(gw, running, reply, run)
        complete = isinstance(result, Forwarded)
    except curio.CancelledError:
        if not job.route.streams and is_endless_body(running, reply, job.left_s(clock.now())):
            gw.suspicion_of(upstream.key).record_outcome(True, clock.now())
            logger.info(
                "body without end at the deadline",
                request=job.req.attempt_id,
                upstream=upstream.id,
                bytes=running.exchange.body_bytes,
            )
        raise
    finally:
        engine = running.chosen.service.engine
        tokens = 0
        if engine is not None:
            events = job.forwarded_events - events_before
            _add_cost(job, running, events * engine.tokens_per_event)
            # The first event arrives with the head.  A stream whose upstream had to wait for the
            # caller says nothing about its engine.
            is_sample = complete and not reply.buffer.was_full
            tokens = max(0, events - 1) * engine.tokens_per_event if is_sample else 0
        if reply.buffer.was_full:
            running.timing.ignore_gaps()
        await release(gw, running, complete, tokens)
    if isinstance(result, Broken):
        now = clock.now()
        if not result.left_unread:
            gw.suspicion_of(running.chosen.upstream.key).record_outcome(True, now)
        events_there = job.forwarded_events - events_before
        logger.info(
            "answer broke off: {}",
            result.reason,
            request=job.req.attempt_id,
            fingerprint=job.fingerprint,
            parts=job.logged_parts,
            upstream=running.chosen.upstream.id,
            after_event=job.last_event_id,
            events_there=events_there,
            since_head_s=round(now - head_at, 4),
            lived_s=round(run.lived_s, 4),
            left_unread=result.left_unread,
        )
        evidence = evidence_level(run.lived_s, events_there)
        await handle_broken_response(gw, job, running.chosen.upstream, result, evidence)
        return result
    if result.framed:
        record_whole_answer(gw, job, running)
    else:
        evidence = evidence_level(run.lived_s, result.events)
        await curio.spawn(handle_unframed_end, gw, job, running, evidence, daemon=True)
    return None


def _fatal_refusal(gw: Gateway, job: Job) -> Refusal:
    """The refusal of a request that ends upstreams, or that holds parts that do.

    It carries no retry delay, as the request would be refused again.
    """
    ran: Ran = "unknown" if job.may_have_run else "no"
    parts = " and ".join(gw.fatal.find_fatal_parts(job.suspect_parts))
    cause = f"to write an answer on {parts}" if parts else "to run it"
    return refusal("fatal_request", f"upstreams end when they begin {cause}", ran=ran)


def _timeout_refusal(job: Job, reply: Reply) -> Refusal:
    if reply.buffer.size:
        return refusal("deadline", "the caller did not read the rest in time", ran="unknown")
    if job.may_have_run:
        return refusal("deadline", "the time limit passed while it was running", ran="unknown")
    return refusal("overloaded", "the time limit passed before it was begun", OVERLOAD_RETRY_S)


def _stop_refusal(gw: Gateway, job: Job) -> Refusal:
    if job.may_have_run:
        return refusal("outcome_unknown", "this gateway stopped before the answer", ran="unknown")
    return refusal("leaving", "this gateway is stopping", retry_after_s(gw))


def _retry_after_value(retry_after_s: float) -> bytes:
    """A time as callers are told it, never shorter than it is.

    >>> _retry_after_value(0.003), _retry_after_value(1.5)
    (b'0.01', b'1.50')
    """
    hundredths = math.ceil(round(retry_after_s * 100, 6))
    return f"{hundredths / 100:.2f}".encode()


async def _send_refusal(
    gw: Gateway,
    req: CallerRequest,
    reply: Reply,
    refused: Refusal,
    read_at: float,
    fingerprint: str = "",
    closes: bool = False,
) -> None:
    """Send a refusal as the response; `fingerprint` is empty if the request was not admitted.

    `closes` tells the caller that the connection is closed after it.
    """
    headers: Headers = (JSON_TYPE, *refusal_headers(req.attempt_id))
    if closes and not gw.draining:
        headers = (*headers, (b"connection", b"close"))
    if refused.retry_after_s and refused.ran == "no":
        headers = (*headers, (b"retry-after", _retry_after_value(refused.retry_after_s)))
    held_s = clock.now() - read_at
    gw.metrics.count("ramppost_refusals_total", code=refused.code)
    logger.info(
        "refused: {}",
        refused.message,
        request=req.attempt_id,
        fingerprint=fingerprint,
        code=refused.code,
        status=refused.status,
        ran=refused.ran,
        held_s=round(held_s, 4),
        config_age_s=_config_age_s(gw),
        config=gw.table.version if gw.table else None,
    )
    await reply.send(refused.status, headers, error_body(refused))


def _ended_record(job: Job, served: bool, now: float) -> EndedRequest:
    """The values of a request that the operators' reports count."""
    return EndedRequest(
        workspace=job.workspace_name,
        route=job.route.name,
        served=served,
        took_s=(now if job.head_at is None else job.head_at) - job.read_at,
        objective_s=job.route.objective_s,
        policy=job.policy,
        cost=job.cost,
        confidence=job.confidence,
    )


def _record_end(gw: Gateway, job: Job, outcome: str, status: int, read_at: float) -> None:
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
        workspace=job.workspace_name,
        status=status,
        attempts=job.attempts,
        events=job.last_event_id,
        policy=job.policy,
        cost=round(job.cost, 5),
        took_s=round(took_s, 4),
        config_age_s=_config_age_s(gw),
    )


def _config_age_s(gw: Gateway) -> float:
    """For the log: seconds since the configuration was known to be the newest, at most 999."""
    return round(min(gw.freshness.age(clock.now()), 999.0), 3)
