"""Holds or refuses requests while all plain upstreams of their service are known to be full."""

from __future__ import annotations

import curio

from ramppost import clock
from ramppost.errors import Refusal, refusal
from ramppost.gateway.held import HeldEntry
from ramppost.gateway.job import Job
from ramppost.gateway.model import Service, Upstream
from ramppost.gateway.pick import plain_views, selectable_views
from ramppost.gateway.state import Gateway
from ramppost.policy.plain import (
    KNOWN_FULL_S,
    HeldRequest,
    Hold,
    Reject,
    Send,
    decide_full,
)


async def hold_while_full(gw: Gateway, job: Job, service_name: str) -> Refusal | None:
    """Hold a request until a slot is likely to be free; the refusal if none will be in time.

    Upstreams that refused it as full may be tried again after it was held.
    """
    service = gw.table.services.get(service_name) if gw.table is not None else None
    if service is None or service.engine is not None:
        return None
    if clock.now() - gw.loads.full_reported_at > KNOWN_FULL_S:
        return None
    with gw.held.hold(service_name, job.workspace_rank, job.route.priority, job.deadline) as entry:
        return await _hold(gw, job, service, entry)


def note_refusal(gw: Gateway, job: Job, upstream: Upstream) -> None:
    """Note for a refused request whether the upstream that refused it is full."""
    if plain_views(gw, [upstream], clock.now())[0].known_full:
        job.full_upstreams.add(upstream.key)


async def _hold(gw: Gateway, job: Job, service: Service, entry: HeldEntry) -> Refusal | None:
    while True:
        decision = _decide(gw, job, service, entry)
        if isinstance(decision, Send):
            return None
        if isinstance(decision, Reject):
            gw.metrics.count("ramppost_full_refusals_total", service=service.name)
            message = f"all upstreams are full: {decision.reason}"
            return refusal("overloaded", message, decision.retry_after_s)
        gw.metrics.count("ramppost_full_holds_total", service=service.name)
        await curio.sleep(decision.seconds)
        job.tried_upstreams -= job.full_upstreams
        job.full_upstreams.clear()
        if gw.held.ahead(service.name, entry) == 0:
            return None


def _decide(gw: Gateway, job: Job, service: Service, entry: HeldEntry) -> Send | Hold | Reject:
    now = clock.now()
    held_s = now - job.read_at
    request = HeldRequest(
        objective_s=job.route.objective_s,
        objective_left_s=job.route.objective_s - held_s,
        deadline_left_s=job.left_s(now),
        held_s=held_s,
        ahead=gw.held.ahead(service.name, entry),
        refused=bool(job.full_upstreams),
    )
    return decide_full(selectable_views(gw, job, service, now), request, gw.rng)
