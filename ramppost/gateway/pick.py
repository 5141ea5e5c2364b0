"""Selects the upstream of an attempt by the current knowledge of this gateway.

`query_backlogs` asks for the backlogs of the candidates and `pick` selects among them.  Without a
recent query, the selection relies on the requests that this gateway has sent itself.
"""

from __future__ import annotations

from typing import Final, NamedTuple, TypeGuard

from ramppost import clock
from ramppost.gateway.backlogs import EMPTY_ESTIMATE, BacklogEstimate, BacklogQuery
from ramppost.gateway.candidates import allowed_upstreams, candidates
from ramppost.gateway.job import BacklogSnapshot, Job
from ramppost.gateway.model import Prompt, Service, Upstream
from ramppost.gateway.pools import Candidates
from ramppost.gateway.send_limits import within_limits
from ramppost.gateway.state import Gateway
from ramppost.policy.homes import home_candidates, home_engines, home_group, shared_part
from ramppost.policy.placement import (
    EngineView,
    Placement,
    PlacementContext,
    PrefillWork,
    leading_tokens,
    rank_engines,
    select_candidates,
)
from ramppost.policy.plain import PlainUpstreamView, rank_plain_upstreams
from ramppost.policy.routing import hash_fraction
from ramppost.policy.speed import SpeedFigures
from ramppost.policy.urgency import MOST_URGENT_LEVEL, urgency_level

DEFAULT_PLAIN_LATENCY_S: Final = 0.03
"""Latency assumed for a plain upstream that has not responded yet."""
MAX_QUERIED_ENGINES: Final = 4
"""Maximum number of engines whose backlogs are queried for one prompt: the best by local knowledge
and at most three homes of its shared parts.  With six, worth was 0.004 to 0.007 lower on three days
of a fleet of 32 gateways (one run of each), and the cost of datagrams was half as much again."""
TYPICAL_HEAD_BYTES: Final = 700
"""Size of the heads of a request and its response together, measured on streams."""
TYPICAL_EVENT_BYTES: Final = 80
"""Size of a stream event of a few tokens, with its framing."""
SNAPSHOT_VALID_S: Final = 0.1
"""How long queried backlogs are used, as another gateway may send a long prompt at any moment."""


class Selection(NamedTuple):
    """A selected upstream and the values that the selection was based on, for the log.

    `predicted_first_s` is the predicted time to its first byte, `prefill_s` the time to read the
    prompt and `ahead_s` the time to read the prompts before it, all in seconds.  `complete` is true
    if `ahead_s` includes the prompts of all gateways.  `pace` is that of the upstream's host.
    """

    upstream: Upstream
    service: Service
    candidate_count: int
    own_requests: int
    reported_running: int
    report_age_s: float
    predicted_first_s: float
    prefill_s: float
    ahead_s: float
    kept_tokens: int
    complete: bool
    read_tokens: int
    prefill_factor: float
    speed: SpeedFigures
    pace: float


def select_service(job: Job) -> str:
    """Choose a service of the route by weight, the same one for all requests of a session."""
    targets = job.route.targets
    if len(targets) == 1:
        return targets[0].service
    position = hash_fraction("target", job.route.name, job.req.session or job.req.attempt_id)
    position *= sum(target.weight for target in targets)
    for target in targets:
        position -= target.weight
        if position < 0:
            return target.service
    return targets[-1].service


async def query_backlogs(gw: Gateway, job: Job, service_name: str, model: str) -> None:
    """Query the backlogs of the engines that may run a request.

    The snapshot that led to a larger model is reused for the first attempt with that model.
    """
    now = clock.now()
    service = gw.table.services.get(service_name) if gw.table is not None else None
    prompt = job.req.prompt
    if service is None or service.engine is None or prompt is None:
        return
    if not job.tried_upstreams and _is_recent(job.backlog_snapshot, model, now):
        return
    engines = engines_to_query(gw, job, service_name, model, now)
    query = _backlog_query(gw, job, model, prompt)
    job.backlog_snapshot = BacklogSnapshot(
        model, await gw.backlogs.ask(engines, query), clock.now()
    )


def engines_to_query(
    gw: Gateway, job: Job, service_name: str, model: str, now: float
) -> list[Upstream]:
    """The engines whose backlogs are queried before a prompt is placed: the best ones by local
    knowledge, and homes of its shared parts."""
    suitable = candidates(gw, job, service_name, now)
    prompt = job.req.prompt
    if prompt is None or len(suitable) <= MAX_QUERIED_ENGINES:
        return suitable
    candidate_list = gw.pools.candidates(service_name, suitable)
    query = _backlog_query(gw, job, model, prompt)
    work = PrefillWork(model, prompt.parts, prompt.tokens_in, 0, prompt.expected_tokens_out)
    context = _placement_context(gw, candidate_list, work, now)
    homes = home_candidates(context.homes, gw.rng)
    views = [
        _engine_view(
            gw, candidate_list.by_key[key], gw.backlogs.local_estimate(key, query, now), prompt, now
        )
        for key in select_candidates(candidate_list.pool, context.hall, homes, gw.rng)
    ]
    best = [
        placement.id
        for placement in rank_engines(views, work, gw.prefill_rates, context, now, gw.rng)
    ]
    return [
        candidate_list.by_key[key]
        for key in {*homes, *best[: MAX_QUERIED_ENGINES - max(1, len(homes))]}
    ]


def _placement_context(
    gw: Gateway, candidate_list: Candidates, work: PrefillWork, now: float
) -> PlacementContext:
    hall = gw.cfg["hall"]
    part = shared_part(work.parts)
    pool = candidate_list.pool
    group = home_group(pool, hall)
    gateways = gw.peers.fleet_size if group is pool.all_halls else gw.peers.hall_size(hall)
    count = gw.part_demand.home_count(part, work.model, now, gateways, len(group.ids))
    homes = home_engines(group, work.model, part, count)
    return PlacementContext(hall, homes, pool.long_prompt_ids, candidate_list.uneven)


def _is_recent(
    snapshot: BacklogSnapshot | None, model: str, now: float
) -> TypeGuard[BacklogSnapshot]:
    """Whether a snapshot is for this model and recent enough to select by."""
    return (
        snapshot is not None
        and snapshot.model == model
        and now - snapshot.taken_at < SNAPSHOT_VALID_S
    )


def pick(gw: Gateway, job: Job, service_name: str, model: str, now: float) -> Selection | None:
    """Select the best untried upstream; None if there is none."""
    assert gw.table is not None
    service = gw.table.services.get(service_name)
    if service is None:
        return None
    suitable = candidates(gw, job, service_name, now)
    if not suitable:
        return None
    prompt = job.req.prompt
    if service.engine is not None and prompt is not None:
        return _best_engine(gw, job, service, suitable, model, prompt, now)
    views = plain_views(gw, suitable, now)
    runs_once = job.route.retry_mode == "never"
    best_key = rank_plain_upstreams(views, gw.cfg["hall"], gw.rng, needs_slot=runs_once)[0]
    best = next(upstream for upstream in suitable if upstream.key == best_key)
    placement = Placement(best_key, DEFAULT_PLAIN_LATENCY_S, 0.0)
    return _selection(gw, service, best, len(suitable), placement, EMPTY_ESTIMATE, 0, now)


def selectable_views(
    gw: Gateway, job: Job, service: Service, now: float
) -> list[PlainUpstreamView]:
    """The upstreams, of all versions, that a request may be sent to now or once they have a slot.

    These are the untried ones and those that have refused the request as full.
    """
    tried = job.tried_upstreams - job.full_upstreams
    allowed = [u for u in allowed_upstreams(gw, job, service.name, now) if u.key not in tried]
    return plain_views(gw, within_limits(gw, service, allowed, now), now)


def prompt_urgency(gw: Gateway, job: Job, prefill_s: float) -> int:
    """The urgency level of a prompt that takes `prefill_s` seconds to read."""
    if job.raised:
        return MOST_URGENT_LEVEL
    return urgency_level(job.workspace_rank, job.route.priority, prefill_s)


def _transfer_bytes(job: Job, service: Service, prompt: Prompt) -> int:
    """Estimated size of a request and its response in bytes."""
    assert service.engine is not None
    events = prompt.max_tokens_out // max(1, service.engine.tokens_per_event)
    return len(job.req.body) + TYPICAL_HEAD_BYTES + events * TYPICAL_EVENT_BYTES


def _backlog_query(gw: Gateway, job: Job, model: str, prompt: Prompt) -> BacklogQuery:
    prefill_s = gw.prefill_rates.rate_s(model) * prompt.tokens_in
    return BacklogQuery(prompt_urgency(gw, job, prefill_s), model, prompt.part_names)


def _best_engine(
    gw: Gateway,
    job: Job,
    service: Service,
    suitable: list[Upstream],
    model: str,
    prompt: Prompt,
    now: float,
) -> Selection:
    work = PrefillWork(
        model,
        prompt.parts,
        prompt.tokens_in,
        _transfer_bytes(job, service, prompt),
        prompt.expected_tokens_out,
    )
    candidate_list = gw.pools.candidates(service.name, suitable)
    context = _placement_context(gw, candidate_list, work, now)
    backlogs = _candidate_backlogs(
        gw, job, candidate_list, context, _backlog_query(gw, job, model, prompt), now
    )
    engines = [
        _engine_view(gw, candidate_list.by_key[k], backlogs[k], prompt, now) for k in backlogs
    ]
    best = rank_engines(engines, work, gw.prefill_rates, context, now, gw.rng)[0]
    cached_tokens = leading_tokens(prompt.parts, backlogs[best.id].cached_parts)
    return _selection(
        gw,
        service,
        candidate_list.by_key[best.id],
        len(suitable),
        best,
        backlogs[best.id],
        cached_tokens,
        now,
    )


def _candidate_backlogs(
    gw: Gateway,
    job: Job,
    candidate_list: Candidates,
    context: PlacementContext,
    query: BacklogQuery,
    now: float,
) -> dict[str, BacklogEstimate]:
    """Backlogs of candidates from a recent query, or from local knowledge if there was none."""
    snapshot = job.backlog_snapshot
    if _is_recent(snapshot, query.model, now):
        queried = {
            key: queried
            for key, queried in snapshot.backlogs.items()
            if key in candidate_list.by_key
        }
        if queried:
            return queried
    homes = home_candidates(context.homes, gw.rng)
    considered = select_candidates(candidate_list.pool, context.hall, homes, gw.rng)
    return {key: gw.backlogs.local_estimate(key, query, now) for key in considered}


def _selection(
    gw: Gateway,
    service: Service,
    best: Upstream,
    candidate_count: int,
    placement: Placement,
    backlog: BacklogEstimate,
    cached_tokens: int,
    now: float,
) -> Selection:
    report = gw.loads.last_report(best.key)
    return Selection(
        upstream=best,
        service=service,
        candidate_count=candidate_count,
        own_requests=gw.loads.in_flight(best.key).requests,
        reported_running=report.running,
        report_age_s=now - report.at,
        predicted_first_s=placement.first_token_s,
        prefill_s=placement.prefill_s,
        ahead_s=backlog.ahead_s,
        kept_tokens=cached_tokens,
        complete=backlog.complete,
        read_tokens=placement.read_tokens,
        prefill_factor=placement.prefill_factor,
        speed=backlog.speed,
        pace=gw.loads.pace(best.key, now),
    )


def _engine_view(
    gw: Gateway, upstream: Upstream, backlog: BacklogEstimate, prompt: Prompt, now: float
) -> EngineView:
    own = gw.loads.in_flight(upstream.key)
    report = gw.loads.last_report(upstream.key)
    return EngineView(
        id=upstream.key,
        hall=upstream.hall,
        ahead_s=backlog.ahead_s,
        kept_tokens=leading_tokens(prompt.parts, backlog.cached_parts),
        others_running=max(0, report.running - (own.requests - own.pending)),
        others_waiting=0 if backlog.complete else max(0, report.waiting - own.pending),
        reported_at=report.at,
        failure_rate=gw.suspicion_of(upstream.key).failure_rate(now),
        speed=backlog.speed,
    )


def plain_views(gw: Gateway, upstreams: list[Upstream], now: float) -> list[PlainUpstreamView]:
    """What is known about upstreams, apart from the prompts that engines have."""
    views = []
    for upstream in upstreams:
        suspicion = gw.suspicion_of(upstream.key)
        own_requests = gw.loads.in_flight(upstream.key).requests
        report = gw.loads.last_report(upstream.key)
        view = PlainUpstreamView(
            upstream.key,
            upstream.hall,
            own_requests / max(1, upstream.slots),
            suspicion.latency_s(DEFAULT_PLAIN_LATENCY_S, now),
            suspicion.failure_rate(now),
            gw.loads.pace(upstream.key, now),
            max(0, report.running + report.waiting - report.own),
            own_requests,
            max(1, report.slots or upstream.slots),
            now - report.at,
        )
        views.append(view)
    return views
