"""Picks the upstream of an attempt from what the gateway knows now."""

from __future__ import annotations

from typing import NamedTuple

from ramppost.gateway.job import Job
from ramppost.gateway.model import Service, Upstream
from ramppost.gateway.state import Gateway
from ramppost.policy.placement import EngineView, PlainView, plain_ranked, ranked
from ramppost.policy.routing import unit

USUAL_PLAIN_S = 0.03
"""What a plain upstream's latency is taken for until one has answered."""


class Chosen(NamedTuple):
    """An upstream, and what decided for it, for the log."""

    upstream: Upstream
    service: Service
    candidates: int
    own: int
    reported: int
    report_age_s: float


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


def pick(gw: Gateway, job: Job, service_name: str, now: float) -> Chosen | None:
    """The best upstream that was not tried yet; None where there is none."""
    assert gw.table is not None
    service = gw.table.services.get(service_name)
    if service is None:
        return None
    usable = gw.members.usable(service_name, now)
    side = gw.rollouts.side(service_name, usable, job.req.attempt_id, job.req.session, now)
    for group in (side.preferred, side.others):
        untried = [upstream for upstream in group if upstream.id not in job.tried]
        if untried:
            return _best(gw, job, service, untried, now)
    return None


def _best(gw: Gateway, job: Job, service: Service, untried: list[Upstream], now: float) -> Chosen:
    by_id = {upstream.id: upstream for upstream in untried}
    prompt = job.req.prompt
    if service.engine is not None and prompt is not None:
        engines = [_engine_view(gw, upstream, now) for upstream in untried]
        order = ranked(
            engines, prompt.parts, prompt.tokens_in, gw.kept, gw.cfg["hall"], now, gw.rng
        )
    else:
        order = plain_ranked(_plain_views(gw, untried, now), gw.cfg["hall"], gw.rng)
    best = by_id[order[0]]
    report = gw.loads.reported(best.id)
    own = gw.loads.own(best.id).requests
    return Chosen(best, service, len(untried), own, report.running, now - report.at)


def _engine_view(gw: Gateway, upstream: Upstream, now: float) -> EngineView:
    own = gw.loads.own(upstream.id)
    report = gw.loads.reported(upstream.id)
    others = max(0, report.running - own.requests)
    failing = gw.suspicion_of(upstream.id).failing(now)
    return EngineView(
        upstream.id, upstream.hall, own.pending_tokens, others, report.waiting, report.at, failing
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
