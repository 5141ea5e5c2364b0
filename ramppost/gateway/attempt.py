"""One attempt: send a request to an upstream and wait for the head of its answer.

An upstream that is silent is given up only where the request may run again, and only
if nothing at all came from it since: an engine that answers others is alive and busy.
"""

from __future__ import annotations

import itertools
from typing import Final, NamedTuple

import curio
from loguru import logger

from ramppost import clock
from ramppost.gateway.job import Job
from ramppost.gateway.links import Broken, Exchange, NotSent, OutgoingRequest, open_exchange
from ramppost.gateway.load import OwnWork
from ramppost.gateway.pick import Selection, prompt_urgency
from ramppost.gateway.state import Gateway
from ramppost.platform.headers import AnswerHead, Send, upstream_head
from ramppost.policy.backlog import PendingPrompt

PATIENCE_OF_OBJECTIVE: Final = 0.4
"""Part of the objective after which a silent upstream is given up: time for another is left."""
LEAST_PATIENCE_S: Final = 0.25
"""Several times the usual work of a plain service, whose objective may be tight."""
PATIENCE_OF_PREDICTED: Final = 3.0
"""Times the predicted time to a first byte that are waited beside: engines queue in bursts."""


KEY_CHARS: Final = 8
"""Of a request's id, in the name of an attempt that keepers of backlogs are told."""

_numbers = itertools.count(1)


class Refused(NamedTuple):
    """The upstream said that it did not run the request; `wrong_upstream` where it is not the one
    that its entry names, or not of the version."""

    status: int
    retry_after_s: float
    wrong_upstream: bool = False


class Running(NamedTuple):
    """An attempt that is being answered."""

    chosen: Selection
    model: str
    exchange: Exchange
    head: AnswerHead
    work: OwnWork
    sent_at: float
    first_s: float


async def attempt(
    gw: Gateway, job: Job, chosen: Selection, model: str
) -> Running | Refused | NotSent | Broken:
    """Send the request; the outcome is logged and counted."""
    upstream = chosen.upstream
    job.tried_upstreams.add(upstream.key)
    now = clock.now()
    work = gw.loads.own(upstream.key)
    work.requests += 1
    work.pending += 1
    reading = _reading(gw, job, chosen, model, now)
    key = f"{job.req.attempt_id[:KEY_CHARS]}-{next(_numbers)}"
    if reading is not None:
        gw.prefill_rates.record_sent(reading.read_s)
        gw.backlogs.sent(upstream, key, reading)
    got: Running | Refused | NotSent | Broken = Broken("cancelled")
    try:
        got = await _send_and_wait(gw, job, chosen, model, work, reading)
    finally:
        work.pending -= 1
        if reading is not None:
            gw.backlogs.over(upstream, key, isinstance(got, Running))
        if not isinstance(got, Running):
            work.requests -= 1
        _record_outcome(gw, job, chosen, model, got, clock.now() - now)
    return got


async def release(running: Running, whole: bool) -> None:
    """The attempt is over; `whole` where its answer was read to the end."""
    running.work.requests -= 1
    if whole:
        await running.exchange.finish()
    else:
        await running.exchange.abort()


def _reading(
    gw: Gateway, job: Job, chosen: Selection, model: str, now: float
) -> PendingPrompt | None:
    """What other gateways are told of a prompt that is sent; None where there is none."""
    prompt = job.req.prompt
    if chosen.service.engine is None or prompt is None:
        return None
    urgency = prompt_urgency(gw, job, chosen.prefill_s)
    return PendingPrompt(now, chosen.prefill_s, urgency, model, prompt.part_names)


async def _send_and_wait(
    gw: Gateway,
    job: Job,
    chosen: Selection,
    model: str,
    work: OwnWork,
    reading: PendingPrompt | None,
) -> Running | Refused | NotSent | Broken:
    urgency = reading.level if reading is not None else None

    def compose() -> OutgoingRequest | NotSent:
        return _compose_request(gw, job, chosen, model, urgency)

    sent_at = clock.now()
    opened = await open_exchange(gw.links, chosen.upstream, compose)
    if isinstance(opened, NotSent):
        return opened
    job.attempts += 1
    ran_before = job.may_have_run
    job.may_have_run = True
    if isinstance(opened, Broken):
        return opened
    kept = False
    try:
        with gw.fatal.waiting(job.fingerprint, opened):
            head = await _head_in_time(gw, job, chosen, opened)
        if isinstance(head, Broken):
            return head
        now = clock.now()
        if head.running is not None:
            gw.loads.report(chosen.upstream.key, head.running, head.waiting or 0, now)
        if head.not_run:
            job.may_have_run = ran_before
            await opened.abort()
            kept = True
            return Refused(head.status, head.retry_after_s or 0.0, head.wrong_upstream)
        kept = True
        return Running(chosen, model, opened, head, work, sent_at, now - sent_at)
    finally:
        if not kept:
            await opened.abort()


def _compose_request(
    gw: Gateway, job: Job, chosen: Selection, model: str, urgency: int | None
) -> OutgoingRequest | NotSent:
    """What is sent, with the time that is left now: a box may have been suspended, or a process
    frozen, while the connection was made."""
    now = clock.now()
    if job.workspace is not None and not gw.freshness.may_start(now):
        return NotSent("not sent: the confirmation of its key grew old on the way", withheld=True)
    if job.left_s(now) <= 0:
        return NotSent("not sent: its time passed on the way", withheld=True)
    if gw.members.is_evacuated(chosen.upstream):
        return NotSent("not sent: its data hall was evacuated on the way", withheld=True)
    if gw.warmups.wait_s(chosen.service, chosen.upstream, now) > 0:
        return NotSent("not sent: warming up, and sent enough meanwhile", withheld=True)
    gw.warmups.sent(chosen.service, chosen.upstream, now)
    send = Send(
        chosen.upstream,
        job.left_s(now),
        job.workspace,
        urgency,
        model,
        job.last_event_id,
    )
    req = job.req
    headers = upstream_head(req, send, bool(req.body) or req.method in ("POST", "PUT", "PATCH"))
    return OutgoingRequest(req.method, req.target, headers, req.body, req.attempt_id)


async def _head_in_time(
    gw: Gateway, job: Job, chosen: Selection, exchange: Exchange
) -> AnswerHead | Broken:
    """The head; Broken for an upstream that stays silent where another may be asked."""
    if job.route.repeat == "never" or job.counted_attempts >= job.route.attempts:
        return await exchange.read_head()
    part_s = PATIENCE_OF_OBJECTIVE * job.route.objective_s
    patience_s = max(LEAST_PATIENCE_S, part_s) + PATIENCE_OF_PREDICTED * chosen.predicted_first_s
    since = exchange.sent_at
    while True:
        try:
            got: AnswerHead | Broken = await curio.timeout_after(patience_s, exchange.read_head())
            return got
        except curio.TaskTimeout:
            heard_at = gw.links.last_received_at.get(chosen.upstream.key, float("-inf"))
            affordable = gw.retry_budget_of(chosen.service.name).available(clock.now()) >= 1
            if heard_at < since and affordable and chosen.candidate_count > 1:
                return Broken(f"silent for {patience_s:.2f} s")
            since = clock.now()


def _learn_engine(gw: Gateway, chosen: Selection, model: str, first_s: float) -> None:
    """Remember how fast a model read, and how long its prompt waited."""
    now = clock.now()
    read = chosen.prefill_s / gw.prefill_rates.rate_s(model)
    queued_s = chosen.predicted_first_s - chosen.prefill_s
    gw.pressure.record_wait(first_s - chosen.prefill_s, now)
    gw.prefill_rates.observe(model, read, max(0.0, first_s - queued_s))


def _record_outcome(
    gw: Gateway,
    job: Job,
    chosen: Selection,
    model: str,
    got: Running | Refused | NotSent | Broken,
    took_s: float,
) -> None:
    """Log and count an attempt, and remember what it says of the upstream."""
    now = clock.now()
    if isinstance(got, Running):
        outcome = f"status {got.head.status}"
        failed = got.head.status >= 500
        if got.head.status < 500 and job.req.prompt is not None:
            _learn_engine(gw, chosen, model, got.first_s)
        if chosen.service.engine is None:
            gw.suspicion_of(chosen.upstream.key).record_latency(took_s, now)
    elif isinstance(got, Refused):
        outcome = f"refused with {got.status}"
        # An entry may name an upstream that is no more until it lapses: taken for an idle one, it
        # drew 606 attempts of 3,400 requests.
        failed = got.wrong_upstream
    else:
        outcome = got.reason
        failed = not (isinstance(got, NotSent) and got.withheld)
        if failed and outcome != "cancelled":
            gw.assume_warming_up(chosen.upstream, now)
    if outcome != "cancelled":
        gw.suspicion_of(chosen.upstream.key).record_outcome(failed, now)
    if job.req.session:
        version = chosen.upstream.version
        gw.rollouts.pins.record(chosen.service.name, job.req.session, version, now)
    gw.metrics.count("ramppost_attempts_total", outcome=type(got).__name__.lower())
    logger.info(
        "attempt {}: {}",
        job.attempts,
        outcome,
        request=job.req.attempt_id,
        fingerprint=job.fingerprint,
        upstream=chosen.upstream.id,
        hall=chosen.upstream.hall,
        version=chosen.upstream.version,
        model=model,
        confidence=got.head.confidence if isinstance(got, Running) else None,
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
        took_s=round(took_s, 4),
    )
