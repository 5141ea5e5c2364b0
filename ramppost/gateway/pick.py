"""Picks the upstream of an attempt from what the gateway knows now."""

from __future__ import annotations

from typing import NamedTuple

from ramppost.gateway.job import Job
from ramppost.gateway.model import Service, Upstream
from ramppost.gateway.state import Gateway
from ramppost.policy.placement import (
    EngineView,
    Placed,
    PlainView,
    Work,
    plain_ranked,
    ranked,
)
from ramppost.policy.routing import unit

USUAL_PLAIN_S = 0.03
"""What a plain upstream's latency is taken for until one has answered."""


class Chosen(NamedTuple):
    """An upstream, and what decided for it, for the log.

    `first_s` is the predicted time to its first byte, `prefill_s` that of reading the
    prompt, both in seconds.
    """

    upstream: Upstream
    service: Service
    candidates: int
    own: int
    reported: int
    report_age_s: float
    first_s: float
    prefill_s: float


def service_of(job: Job) -> str:
    """The service of a route with several: by weight, the same for all of a session."""
    targets = job.route.targets
    if len(targets) == 1:
        return targets[0].service
    place = unit("target", job.route.name, job.req.session or job.req.attempt_id)
    place *= sum(target.weight for target in targets)
    for target in targets:
        place -= target.weight
        if place < 0:
            return target.service
    return targets[-1].service


def pick(gw: Gateway, job: Job, service_name: str, model: str, now: float) -> Chosen | None:
    """The best upstream that was not tried yet; None where there is none.

    One of a version that has failed this request is taken only where no other is left: a
    version that is being rolled out may be bad at all its upstreams.
    """
    assert gw.table is not None
    service = gw.table.services.get(service_name)
    if service is None:
        return None
    usable = gw.members.usable(service_name, now)
    side = gw.rollouts.side(service_name, usable, job.req.attempt_id, job.req.session, now)
    for avoided in (job.failed_versions, set()):
        for group in (side.preferred, side.others):
            fit = [u for u in group if u.id not in job.tried and u.version not in avoided]
            if fit:
                return _best(gw, job, service, fit, model, now)
    return None


def _best(
    gw: Gateway, job: Job, service: Service, untried: list[Upstream], model: str, now: float
) -> Chosen:
    by_id = {upstream.id: upstream for upstream in untried}
    prompt = job.req.prompt
    if service.engine is not None and prompt is not None:
        engines = [_engine_view(gw, upstream, now) for upstream in untried]
        work = Work(model, prompt.parts, prompt.tokens_in)
        found = ranked(engines, work, gw.kept, gw.rates, gw.cfg["hall"], now, gw.rng)[0]
    else:
        name = plain_ranked(_plain_views(gw, untried, now), gw.cfg["hall"], gw.rng)[0]
        found = Placed(name, USUAL_PLAIN_S, 0.0)
    best = by_id[found.id]
    report = gw.loads.reported(best.id)
    return Chosen(
        best,
        service,
        len(untried),
        gw.loads.own(best.id).requests,
        report.running,
        now - report.at,
        found.first_s,
        found.prefill_s,
    )


def _engine_view(gw: Gateway, upstream: Upstream, now: float) -> EngineView:
    own = gw.loads.own(upstream.id)
    report = gw.loads.reported(upstream.id)
    return EngineView(
        upstream.id,
        upstream.hall,
        own.pending_s,
        max(0, report.running - (own.requests - own.pending)),
        max(0, report.waiting - own.pending),
        report.at,
        gw.suspicion_of(upstream.id).failing(now),
    )


def _plain_views(gw: Gateway, upstreams: list[Upstream], now: float) -> list[PlainView]:
    views = []
    for upstream in upstreams:
        seen = gw.suspicion_of(upstream.id)
        load = gw.loads.own(upstream.id).requests / max(1, upstream.slots)
        view = PlainView(
            upstream.id, upstream.hall, load, seen.latency_s(USUAL_PLAIN_S, now), seen.failing(now)
        )
        views.append(view)
    return views
