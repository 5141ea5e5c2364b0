"""A single attempt: sends a request to an upstream and waits for the head of its response.

A silent upstream is given up only if the request may be repeated and no bytes at all have arrived
from the upstream since: an engine that responds to other requests is alive and busy.
"""

from __future__ import annotations

import itertools
from typing import Final, NamedTuple, TypeGuard

import curio
from loguru import logger

from ramppost import clock
from ramppost.gateway import send_limits
from ramppost.gateway.fatal import Observed
from ramppost.gateway.job import Job
from ramppost.gateway.links import Broken, Exchange, NotSent, OutgoingRequest, open_exchange
from ramppost.gateway.load import InFlight
from ramppost.gateway.pick import DEFAULT_PLAIN_LATENCY_S, Selection, prompt_urgency
from ramppost.gateway.session_version import pin_session
from ramppost.gateway.state import Gateway
from ramppost.gateway.version_evidence import (
    MIN_USUAL_FIRST_S,
    AttemptTiming,
    ExpectedAnswer,
)
from ramppost.platform.headers import AnswerHead, SendOptions, upstream_head
from ramppost.policy.backlog import PendingPrompt
from ramppost.policy.homes import shared_part
from ramppost.policy.placement import leading_tokens
from ramppost.policy.plain import KNOWN_FULL_S
from ramppost.policy.speed import SLOWDOWN_PER_STREAM

TIMEOUT_OBJECTIVE_RATIO: Final = 0.4
"""Fraction of the objective after which a silent upstream is given up; leaves time for another."""
MIN_TIMEOUT_S: Final = 0.25
"""Several times the usual processing time of a plain service, whose objective may be tight."""
TIMEOUT_PREDICTION_FACTOR: Final = 3.0
"""Multiple of the predicted time to the first byte that is added, as engines queue in bursts."""
KEY_ID_CHARS: Final = 8
"""Leading characters of a request's id in the attempt keys sent to the keepers of backlogs."""

_attempt_numbers = itertools.count(1)


class Refused(NamedTuple):
    """The upstream reported that it did not run the request.

    `retry_after_s` is when it says that this request may be tried again; 0 if it says nothing of
    it, or asks for rest.  `wrong_upstream` is true if it is not the upstream or version that its
    entry names.
    """

    status: int
    retry_after_s: float
    wrong_upstream: bool = False


class Running(NamedTuple):
    """An attempt whose response head has arrived."""

    chosen: Selection
    model: str
    exchange: Exchange
    head: AnswerHead
    work: InFlight
    sent_at: float
    first_s: float
    timing: AttemptTiming
    key: str = ""
    """Identifies the attempt at the keeper of its engine, which was told that it has begun; empty
    for plain upstreams and error statuses."""


async def attempt(
    gw: Gateway, job: Job, chosen: Selection, model: str
) -> Running | Refused | NotSent | Broken:
    """Send the request, and log and count the outcome."""
    upstream = chosen.upstream
    job.tried_upstreams.add(upstream.key)
    job.last_upstream = upstream.key
    version_before = pin_session(gw, job, chosen.service.name, upstream.version)
    started_at = clock.now()
    work = gw.loads.in_flight(upstream.key)
    work.requests += 1
    work.pending += 1
    pending_prompt = _pending_prompt(gw, job, chosen, model, started_at)
    attempt_key = f"{job.req.attempt_id[:KEY_ID_CHARS]}-{next(_attempt_numbers)}"
    if pending_prompt is not None:
        gw.prefill_rates.record_sent(pending_prompt.read_s)
        gw.backlogs.record_sent(upstream, attempt_key, pending_prompt)
        _record_part_demand(gw, job, model, started_at)
    result: Running | Refused | NotSent | Broken = Broken("cancelled")
    try:
        result = await _send_and_wait(gw, job, chosen, model, work, pending_prompt)
        if _has_begun(result) and pending_prompt is not None:
            result = result._replace(key=attempt_key)
        if isinstance(result, (Refused, NotSent)):
            pin_session(gw, job, chosen.service.name, version_before)
        elif isinstance(result, Broken):
            job.answerless_upstreams.add(upstream.key)
        elif result.head.status >= 500:
            job.answerless_upstreams.add(upstream.key)
            job.failed_upstreams.add(upstream.key)
    finally:
        work.pending -= 1
        if pending_prompt is not None:
            gw.backlogs.record_done(upstream, attempt_key, _has_begun(result))
        if not isinstance(result, Running):
            work.requests -= 1
        _record_outcome(gw, job, chosen, model, result, clock.now() - started_at)
    return result


def _has_begun(result: Running | Refused | NotSent | Broken) -> TypeGuard[Running]:
    """Whether an engine has read the prompt; an error status may come before it does."""
    return isinstance(result, Running) and result.head.status < 400


async def release(gw: Gateway, running: Running, complete: bool, tokens: int = 0) -> None:
    """End an attempt; `complete` tells whether its response was read to the end.

    `tokens` is the number of tokens that its stream has generated since its first event.
    """
    running.work.requests -= 1
    running.timing.end(clock.now())
    if running.key:
        took_s = clock.now() - running.sent_at - running.first_s
        gw.backlogs.record_finish(running.chosen.upstream, running.key, tokens, took_s)
    if complete:
        await running.exchange.finish()
    else:
        await running.exchange.abort()


def _pending_prompt(
    gw: Gateway, job: Job, chosen: Selection, model: str, now: float
) -> PendingPrompt | None:
    """What other gateways are told about the prompt of a request; None if it has none."""
    prompt = job.req.prompt
    if chosen.service.engine is None or prompt is None:
        return None
    urgency = prompt_urgency(gw, job, chosen.prefill_s)
    factor = chosen.prefill_factor if gw.prefill_rates.is_known(model) else 0.0
    return PendingPrompt(
        now,
        chosen.prefill_s,
        urgency,
        model,
        prompt.part_names,
        job.workspace_name,
        factor,
    )


def _record_part_demand(gw: Gateway, job: Job, model: str, now: float) -> None:
    """Record the engine time that a prompt needs at an engine that holds its shared parts."""
    prompt = job.req.prompt
    if prompt is None:
        return
    shared_tokens = leading_tokens(prompt.parts, len(prompt.parts) - 1)
    own_s = gw.prefill_rates.rate_s(model) * max(0, prompt.tokens_in - shared_tokens)
    gw.part_demand.record(model, shared_part(prompt.parts), own_s, now)


async def _send_and_wait(
    gw: Gateway,
    job: Job,
    chosen: Selection,
    model: str,
    work: InFlight,
    pending_prompt: PendingPrompt | None,
) -> Running | Refused | NotSent | Broken:
    urgency = pending_prompt.level if pending_prompt is not None else None

    def compose() -> OutgoingRequest | NotSent:
        return _compose_request(gw, job, chosen, model, urgency)

    sent_at = clock.now()
    exchange = await open_exchange(gw.connections, chosen.upstream, compose)
    if isinstance(exchange, NotSent):
        return exchange
    timing = gw.evidence.begin(_expected_answer(gw, job, chosen, model, sent_at), sent_at)
    job.attempts += 1
    ran_before = job.may_have_run
    job.may_have_run = True
    if isinstance(exchange, Broken):
        timing.end(clock.now())
        return exchange
    handled = False
    try:
        observed = Observed(job.fingerprint, job.suspect_parts)
        with gw.fatal.abort_if_fatal(observed, exchange):
            head = await _read_head_in_time(gw, job, chosen, exchange)
        if isinstance(head, Broken):
            return head
        now = clock.now()
        if head.not_run:
            job.may_have_run = ran_before
            timing.discard()
            await exchange.abort()
            handled = True
            retry_after_s = 0.0 if head.rest_s else head.retry_after_s or 0.0
            return Refused(head.status, retry_after_s, head.wrong_upstream)
        handled = True
        timing.record_head(head.status, now)
        return Running(chosen, model, exchange, head, work, sent_at, now - sent_at, timing)
    finally:
        if not handled:
            timing.end(clock.now())
            await exchange.abort()


def _expected_answer(
    gw: Gateway, job: Job, chosen: Selection, model: str, now: float
) -> ExpectedAnswer:
    """What is expected of an attempt at the usual speed, given the load of its upstream."""
    upstream = chosen.upstream
    pace = chosen.pace
    if chosen.service.engine is None:
        report = gw.loads.last_report(upstream.key)
        others = max(0, report.running + report.waiting - report.own)
        excess = others + chosen.own_requests + 1 - max(1, report.slots or upstream.slots)
        first_s = pace * (1 + max(0, excess) / max(1, upstream.slots))
        gap = 0.0
    else:
        usual_prefill_s = chosen.prefill_s / chosen.prefill_factor
        queue_s = max(0.0, chosen.predicted_first_s - chosen.prefill_s)
        first_s = pace * (queue_s + usual_prefill_s + MIN_USUAL_FIRST_S)
        gap = pace * (1 + SLOWDOWN_PER_STREAM * max(chosen.speed.running, chosen.own_requests))
    return ExpectedAnswer(
        chosen.service.name,
        job.route.name,
        model,
        upstream.key,
        upstream.version,
        first_s,
        gap,
        timed=not gw.warmups.is_warming_up(upstream, now),
    )


def _compose_request(
    gw: Gateway, job: Job, chosen: Selection, model: str, urgency: int | None
) -> OutgoingRequest | NotSent:
    """The request to send, or the reason why it must not be sent any more.

    The clock is read again here, because a box may have been suspended or a process frozen while
    the connection was established.
    """
    now = clock.now()
    if job.workspace is not None and not gw.freshness.may_start(now):
        return NotSent("not sent: the confirmation of its key grew old on the way", withheld=True)
    if job.left_s(now) <= 0:
        return NotSent("not sent: its time passed on the way", withheld=True)
    if gw.fatal.is_fatal(job.fingerprint, job.suspect_parts):
        return NotSent("not sent: it was found to end upstreams on the way", withheld=True)
    if gw.members.is_evacuated(chosen.upstream):
        return NotSent("not sent: its data hall was evacuated on the way", withheld=True)
    if gw.members.has_left(chosen.upstream, now):
        return NotSent("not sent: the upstream said meanwhile that it is leaving", withheld=True)
    if send_limits.wait_s(gw, chosen.service, chosen.upstream, now) > 0:
        return NotSent("not sent: the upstream was sent enough meanwhile", withheld=True)
    send_limits.record_sent(gw, chosen.service, chosen.upstream, now)
    routing = SendOptions(
        chosen.upstream,
        job.left_s(now),
        job.workspace,
        urgency,
        model,
        job.last_event_id,
    )
    req = job.req
    headers = upstream_head(req, routing, bool(req.body) or req.method in ("POST", "PUT", "PATCH"))
    return OutgoingRequest(req.method, req.target, headers, req.body, req.attempt_id)


async def _read_head_in_time(
    gw: Gateway, job: Job, chosen: Selection, exchange: Exchange
) -> AnswerHead | Broken:
    """Read the response head; Broken if the upstream is silent and another may be tried."""
    if job.route.retry_mode == "never" or job.counted_attempts >= job.route.attempts:
        return await exchange.read_head()
    objective_part_s = TIMEOUT_OBJECTIVE_RATIO * job.route.objective_s
    timeout_s = (
        max(MIN_TIMEOUT_S, objective_part_s) + TIMEOUT_PREDICTION_FACTOR * chosen.predicted_first_s
    )
    silent_since = exchange.sent_at
    while True:
        try:
            head: AnswerHead | Broken = await curio.timeout_after(timeout_s, exchange.read_head())
            return head
        except curio.TaskTimeout:
            last_received_at = gw.connections.last_received_at.get(
                chosen.upstream.key, float("-inf")
            )
            has_budget = gw.retry_budget_of(chosen.service.name).available(clock.now()) >= 1
            if last_received_at < silent_since and has_budget and chosen.candidate_count > 1:
                return Broken(f"silent for {timeout_s:.2f} s")
            silent_since = clock.now()


def _record_prefill(gw: Gateway, chosen: Selection, model: str, first_s: float) -> None:
    """Record how fast a model processed a prompt, and how long the prompt was queued."""
    now = clock.now()
    predicted_queue_s = chosen.predicted_first_s - chosen.prefill_s
    gw.pressure.record_wait(first_s - chosen.prefill_s, now)
    gw.prefill_rates.observe(model, chosen.read_tokens, max(0.0, first_s - predicted_queue_s))


def _reread_tokens(job: Job, chosen: Selection, model: str) -> int:
    """Tokens of a prompt's shared parts that were prefilled although another engine held them.

    An engine holds a part if its keeper was told of a prompt with the part within the last seconds
    (`ramppost.policy.backlog`).  The count is an estimate in two respects: it is too low where only
    engines that were not queried for this prompt hold the part, and too high where an engine has
    evicted the part early or a notification about it was lost.
    """
    snapshot = job.backlog_snapshot
    prompt = job.req.prompt
    if snapshot is None or snapshot.model != model or prompt is None:
        return 0
    shared_parts = prompt.parts[:-1]
    held = max((known.cached_parts for known in snapshot.backlogs.values()), default=0)
    return max(0, leading_tokens(shared_parts, held) - chosen.kept_tokens)


def _record_latency(gw: Gateway, chosen: Selection, took_s: float, now: float) -> None:
    """Record the latency of a plain upstream at the usual pace.

    A response of an upstream that has requests waiting may have waited itself; it only confirms
    the latency that is known.
    """
    key = chosen.upstream.key
    health = gw.suspicion_of(key)
    report = gw.loads.last_report(key)
    if report.waiting and now - report.at <= KNOWN_FULL_S:
        latency_s = health.latency_s(DEFAULT_PLAIN_LATENCY_S, now)
    else:
        latency_s = took_s / gw.loads.pace(key, now)
    health.record_latency(latency_s, now)


def _record_outcome(
    gw: Gateway,
    job: Job,
    chosen: Selection,
    model: str,
    result: Running | Refused | NotSent | Broken,
    took_s: float,
) -> None:
    """Log and count an attempt, and record what it shows about the upstream."""
    now = clock.now()
    if isinstance(result, Running):
        outcome = f"status {result.head.status}"
        failed = result.head.status >= 500
        if result.head.status < 500 and job.req.prompt is not None:
            _record_prefill(gw, chosen, model, result.first_s)
            reread_tokens = _reread_tokens(job, chosen, model)
            if reread_tokens:
                gw.metrics.count("ramppost_shared_tokens_reread_total", by=reread_tokens)
        if chosen.service.engine is None:
            _record_latency(gw, chosen, took_s, now)
    elif isinstance(result, Refused):
        outcome = f"refused with {result.status}"
        # An entry may outlive its upstream until it expires.  Such an upstream was taken for idle
        # and attracted 606 attempts of 3,400 requests.
        failed = result.wrong_upstream
    else:
        outcome = result.reason
        failed = not (isinstance(result, NotSent) and result.withheld)
        if failed and outcome != "cancelled":
            gw.assume_warming_up(chosen.upstream, now)
    if outcome != "cancelled":
        gw.suspicion_of(chosen.upstream.key).record_outcome(failed, now)
    gw.metrics.count("ramppost_attempts_total", outcome=type(result).__name__.lower())
    logger.info(
        "attempt {}: {}",
        job.attempts,
        outcome,
        request=job.req.attempt_id,
        fingerprint=job.fingerprint,
        parts=job.logged_parts,
        upstream=chosen.upstream.id,
        hall=chosen.upstream.hall,
        service=chosen.service.name,
        version=chosen.upstream.version,
        version_reason=job.version_reason,
        session=job.session_label,
        rollout=gw.rollouts.version_under_way(chosen.service.name),
        rollout_fraction=gw.rollouts.logged_fraction(chosen.service.name, now),
        model=model,
        confidence=result.head.confidence if isinstance(result, Running) else None,
        after_event=job.last_event_id,
        candidates=chosen.candidate_count,
        own=chosen.own_requests,
        reported=chosen.reported_running,
        report_age_s=round(min(chosen.report_age_s, 999.0), 3),
        predicted_s=round(chosen.predicted_first_s, 4),
        read_s=round(chosen.prefill_s, 4),
        ahead_s=round(chosen.ahead_s, 4),
        kept_tokens=chosen.kept_tokens,
        all_known=chosen.complete,
        speed=chosen.speed.prefill,
        token_ms=round(chosen.speed.token_s * 1000, 2),
        streams=chosen.speed.running,
        leaving=gw.members.is_leaving(chosen.upstream),
        rest_left_s=round(gw.rests.wait_s(chosen.upstream, now), 3),
        limit_per_s=gw.rate_limits.per_s(chosen.upstream),
        took_s=round(took_s, 4),
        pace=round(chosen.pace, 2),
    )
