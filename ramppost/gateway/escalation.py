"""Asks a larger model where an answer is not good enough for what it would cost the others."""

from __future__ import annotations

from loguru import logger

from ramppost import clock
from ramppost.gateway.attempt import Running
from ramppost.gateway.job import Job
from ramppost.gateway.models import (
    ModelPlan,
    adjusted_for_load,
    is_acceptable,
    model_plan,
    next_model,
)
from ramppost.gateway.pick import pick, query_backlogs
from ramppost.gateway.state import Gateway


def plan_models(gw: Gateway, job: Job, may_retry: bool) -> ModelPlan:
    """The models to ask, by the policy that the session or request falls to."""
    workspace = job.workspace.name if job.workspace is not None else ""
    policy = gw.policies.policy_for(workspace, job.req.session or job.req.attempt_id)
    plan = model_plan(job.route, policy, job.req.any_model, may_retry)
    if plan.models[0]:
        job.policy = policy["name"]
    return plan


async def choose_larger_model(
    gw: Gateway, job: Job, service: str, plan: ModelPlan, got: Running
) -> str:
    """The larger model to ask instead of passing an answer on; empty to pass it on."""
    if got.head.status >= 400 or is_acceptable(plan, got.model, got.head.confidence):
        return ""
    now = clock.now()
    if job.counted_attempts >= job.route.attempts or gw.retry_budget_of(service).available(now) < 1:
        return ""
    tried, job.tried_upstreams = job.tried_upstreams, set()
    await query_backlogs(gw, job, service, plan.models[-1])
    larger = _worth_asking(gw, job, service, plan, got)
    job.tried_upstreams = tried
    return larger


def _worth_asking(gw: Gateway, job: Job, service: str, plan: ModelPlan, got: Running) -> str:
    """The larger model that is asked under the load that there is; empty for none."""
    now = clock.now()
    largest = plan.models[-1]
    at_largest = pick(gw, job, service, largest, now)

    def first_s(model: str) -> float | None:
        chosen = at_largest if model == largest else pick(gw, job, service, model, now)
        return chosen.predicted_first_s if chosen is not None else None

    read_s = at_largest.prefill_s if at_largest is not None else 0.0
    least_wait_s = _least_wait_s(job)
    shortage = gw.pressure.shortage(now, least_wait_s)
    eased = plan._replace(policy=adjusted_for_load(plan.policy, shortage, read_s))
    enough = is_acceptable(eased, got.model, got.head.confidence)
    left_s = job.read_at + job.route.objective_s - now
    larger = "" if enough else next_model(plan, got.model, first_s, left_s)
    logger.info(
        "answer of {} {}",
        got.model,
        "good enough under this load" if enough else "not good enough",
        request=job.req.attempt_id,
        confidence=got.head.confidence,
        policy=plan.policy["name"],
        threshold=round(eased.policy.get("threshold", 0.0), 3),
        shortage=round(shortage, 3),
        least_wait_s=round(least_wait_s, 3),
        read_s=round(read_s, 3),
        next_model=larger,
    )
    return larger


def _least_wait_s(job: Job) -> float:
    """The least wait that the engines just asked about have told, seconds."""
    told = job.backlog_snapshot.backlogs.values() if job.backlog_snapshot is not None else ()
    return min((one.ahead_s for one in told), default=0.0)
