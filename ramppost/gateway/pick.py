"""Picks the upstream of an attempt from what the gateway knows now.

`query_backlogs` asks for the backlogs of the candidates and `pick` selects among them.  Without a
recent query, the selection relies on the requests that this gateway has sent itself.
"""

from __future__ import annotations

from typing import Final, NamedTuple, TypeGuard

from ramppost import clock
from ramppost.gateway.backlogs import NOTHING_KNOWN, Question, Told
from ramppost.gateway.job import BacklogSnapshot, Job
from ramppost.gateway.model import Prompt, Service, Upstream
from ramppost.gateway.pools import Candidates
from ramppost.gateway.state import Gateway
from ramppost.policy.placement import (
    EngineView,
    Placement,
    PlacementContext,
    PlainUpstreamView,
    PrefillWork,
    home_engine,
    leading_tokens,
    rank_engines,
    rank_plain_upstreams,
    select_candidates,
)
from ramppost.policy.routing import hash_fraction
from ramppost.policy.urgency import urgency_level

USUAL_PLAIN_S: Final = 0.03
"""What a plain upstream's latency is taken for until one has answered."""
MAX_QUERIED_ENGINES: Final = 4
"""Engines that are asked about for one prompt, where a service has more: the best by what is
known here, and the home of its shared parts.  With six, worth was 0.004 to 0.007 less on three
days of a fleet of 32 gateways (one run of each), and datagrams cost half as much again."""
HEAD_BYTES: Final = 700
"""Of the heads of a request and its answer, measured on streams."""
EVENT_BYTES: Final = 80
"""Of a stream's event of a few tokens with its framing."""
LOOK_GOOD_S: Final = 0.1
"""How long what was told of engines is used: a long prompt may be sent there at any moment."""


class Selection(NamedTuple):
    """An upstream, and what decided for it, for the log.

    `first_s` is the predicted time to its first byte, `prefill_s` that of reading the
    prompt, `ahead_s` that of what is read before it, all in seconds; `complete` tells whether
    that is by the word of all gateways.
    """

    upstream: Upstream
    service: Service
    candidates: int
    own: int
    reported: int
    report_age_s: float
    first_s: float
    prefill_s: float
    ahead_s: float
    kept_tokens: int
    complete: bool


def select_service(job: Job) -> str:
    """The service of a route with several: by weight, the same for all of a session."""
    targets = job.route.targets
    if len(targets) == 1:
        return targets[0].service
    place = hash_fraction("target", job.route.name, job.req.session or job.req.attempt_id)
    place *= sum(target.weight for target in targets)
    for target in targets:
        place -= target.weight
        if place < 0:
            return target.service
    return targets[-1].service


async def query_backlogs(gw: Gateway, job: Job, service_name: str, model: str) -> None:
    """Ask what the engines that may take a request have ahead of them.

    The look that decided for a larger model serves its first attempt, too.
    """
    now = clock.now()
    service = gw.table.services.get(service_name) if gw.table is not None else None
    prompt = job.req.prompt
    if service is None or service.engine is None or prompt is None:
        return
    if not job.tried_upstreams and _is_recent(job.backlog_snapshot, model, now):
        return
    engines = engines_to_query(gw, job, service_name, model, now)
    question = _question(gw, job, model, prompt)
    job.backlog_snapshot = BacklogSnapshot(
        model, await gw.backlogs.ask(engines, question), clock.now()
    )


def engines_to_query(
    gw: Gateway, job: Job, service_name: str, model: str, now: float
) -> list[Upstream]:
    """The engines whose backlogs are asked for before a prompt is placed: the most promising by
    what is known here, with the home of the shared parts."""
    fit = candidates(gw, job, service_name, now)
    prompt = job.req.prompt
    if prompt is None or len(fit) <= MAX_QUERIED_ENGINES:
        return fit
    found = gw.pools.of(service_name, fit)
    question = _question(gw, job, model, prompt)
    work = PrefillWork(model, prompt.parts, prompt.tokens_in)
    around = _around(gw, found, work)
    views = [
        _engine_view(gw, found.by_key[key], gw.backlogs.known(key, question, now), prompt, now)
        for key in select_candidates(found.pool, around.hall, around.home, gw.rng)
    ]
    best = [
        placed.id for placed in rank_engines(views, work, gw.prefill_rates, around, now, gw.rng)
    ]
    return [found.by_key[key] for key in {around.home, *best[: MAX_QUERIED_ENGINES - 1]} - {""}]


def _around(gw: Gateway, found: Candidates, work: PrefillWork) -> PlacementContext:
    hall = gw.cfg["hall"]
    return PlacementContext(hall, home_engine(found.pool, work, hall), found.pool.long_prompt_ids)


def _is_recent(
    snapshot: BacklogSnapshot | None, model: str, now: float
) -> TypeGuard[BacklogSnapshot]:
    """Whether a look was for this model, and is recent enough to choose by."""
    return (
        snapshot is not None and snapshot.model == model and now - snapshot.taken_at < LOOK_GOOD_S
    )


def candidates(gw: Gateway, job: Job, service_name: str, now: float) -> list[Upstream]:
    """Suitable upstreams, except those for which this gateway has used up its warm-up share."""
    fit = _suitable(gw, job, service_name, now)
    service = gw.table.services.get(service_name) if gw.table is not None else None
    return fit if service is None else gw.warmups.within_limit(service, fit, now)


def warmup_wait_s(gw: Gateway, job: Job, service_name: str, now: float) -> float | None:
    """Seconds until a suitable upstream may be sent a request under the warm-up limit.

    Infinite if this gateway has no share of any of them, None if no upstream is suitable.
    """
    fit = _suitable(gw, job, service_name, now)
    service = gw.table.services.get(service_name) if gw.table is not None else None
    if service is None or not fit:
        return None
    return gw.warmups.least_wait_s(service, fit, now)


def _suitable(gw: Gateway, job: Job, service_name: str, now: float) -> list[Upstream]:
    """Upstreams that were not tried yet, of the version that the request is to run on.

    One of a version that has failed this request is taken only where no other is left: a
    version that is being rolled out may be bad at all its upstreams.  Warm-up limits are not
    considered here: falling back to another version would change a session's version.
    """
    listed = gw.members.usable(service_name, now)
    workspace_regions = job.workspace.home_regions if job.workspace is not None else ()
    usable = gw.regions.filter_upstreams(listed, job.route.home_regions, workspace_regions)
    side = gw.rollouts.side(service_name, usable, job.req.attempt_id, job.req.session, now)
    for avoided in (job.failed_versions, set()):
        for group in (side.preferred, side.others):
            fit = _untried(group, job.tried_upstreams, avoided)
            if fit:
                return fit
    return []


def _untried(group: list[Upstream], tried: set[str], avoided: set[str]) -> list[Upstream]:
    """Those of a group that were not tried, of versions not to be avoided; the group itself where
    that is all, so that what was worked out for it is found again."""
    if not tried and not avoided:
        return group
    return [u for u in group if u.key not in tried and u.version not in avoided]


def pick(gw: Gateway, job: Job, service_name: str, model: str, now: float) -> Selection | None:
    """The best upstream that was not tried yet; None where there is none."""
    assert gw.table is not None
    service = gw.table.services.get(service_name)
    if service is None:
        return None
    fit = candidates(gw, job, service_name, now)
    if not fit:
        return None
    prompt = job.req.prompt
    if service.engine is not None and prompt is not None:
        return _best_engine(gw, job, service, fit, model, prompt, now)
    name = rank_plain_upstreams(_plain_views(gw, fit, now), gw.cfg["hall"], gw.rng)[0]
    best = next(upstream for upstream in fit if upstream.key == name)
    placed = Placement(name, USUAL_PLAIN_S, 0.0)
    return _chosen(gw, service, best, len(fit), placed, NOTHING_KNOWN, 0, now)


def level(gw: Gateway, job: Job, read_s: float) -> int:
    """How urgent a prompt is that takes so long to read."""
    rank = job.workspace.priority if job.workspace is not None else 0
    return urgency_level(rank, job.route.priority, read_s)


def _size(job: Job, service: Service, prompt: Prompt) -> int:
    """Bytes of a request and its answer, as far as they can be known before."""
    assert service.engine is not None
    events = prompt.max_tokens_out // max(1, service.engine.tokens_per_event)
    return len(job.req.body) + HEAD_BYTES + events * EVENT_BYTES


def _question(gw: Gateway, job: Job, model: str, prompt: Prompt) -> Question:
    read_s = gw.prefill_rates.rate_s(model) * prompt.tokens_in
    return Question(level(gw, job, read_s), model, prompt.part_names)


def _best_engine(
    gw: Gateway,
    job: Job,
    service: Service,
    fit: list[Upstream],
    model: str,
    prompt: Prompt,
    now: float,
) -> Selection:
    work = PrefillWork(model, prompt.parts, prompt.tokens_in, _size(job, service, prompt))
    among = gw.pools.of(service.name, fit)
    around = _around(gw, among, work)
    told = _told(gw, job, among, around, _question(gw, job, model, prompt), now)
    engines = [_engine_view(gw, among.by_key[k], told[k], prompt, now) for k in told]
    found = rank_engines(engines, work, gw.prefill_rates, around, now, gw.rng)[0]
    kept = leading_tokens(prompt.parts, told[found.id].kept)
    return _chosen(gw, service, among.by_key[found.id], len(fit), found, told[found.id], kept, now)


def _told(
    gw: Gateway,
    job: Job,
    among: Candidates,
    around: PlacementContext,
    question: Question,
    now: float,
) -> dict[str, Told]:
    """What was told of candidates a moment ago; what is known here where nobody was asked."""
    snapshot = job.backlog_snapshot
    if _is_recent(snapshot, question.model, now):
        told = {key: told for key, told in snapshot.backlogs.items() if key in among.by_key}
        if told:
            return told
    weighed = select_candidates(among.pool, around.hall, around.home, gw.rng)
    return {key: gw.backlogs.known(key, question, now) for key in weighed}


def _chosen(
    gw: Gateway,
    service: Service,
    best: Upstream,
    candidates: int,
    placed: Placement,
    told: Told,
    kept_tokens: int,
    now: float,
) -> Selection:
    report = gw.loads.reported(best.key)
    return Selection(
        upstream=best,
        service=service,
        candidates=candidates,
        own=gw.loads.own(best.key).requests,
        reported=report.running,
        report_age_s=now - report.at,
        first_s=placed.first_token_s,
        prefill_s=placed.prefill_s,
        ahead_s=told.ahead_s,
        kept_tokens=kept_tokens,
        complete=told.complete,
    )


def _engine_view(
    gw: Gateway, upstream: Upstream, told: Told, prompt: Prompt, now: float
) -> EngineView:
    own = gw.loads.own(upstream.key)
    report = gw.loads.reported(upstream.key)
    return EngineView(
        id=upstream.key,
        hall=upstream.hall,
        ahead_s=told.ahead_s,
        kept_tokens=leading_tokens(prompt.parts, told.kept),
        others_running=max(0, report.running - (own.requests - own.pending)),
        others_waiting=0 if told.complete else max(0, report.waiting - own.pending),
        reported_at=report.at,
        failure_rate=gw.suspicion_of(upstream.key).failure_rate(now),
    )


def _plain_views(gw: Gateway, upstreams: list[Upstream], now: float) -> list[PlainUpstreamView]:
    views = []
    for upstream in upstreams:
        seen = gw.suspicion_of(upstream.key)
        load = gw.loads.own(upstream.key).requests / max(1, upstream.slots)
        view = PlainUpstreamView(
            upstream.key,
            upstream.hall,
            load,
            seen.latency_s(USUAL_PLAIN_S, now),
            seen.failure_rate(now),
        )
        views.append(view)
    return views
