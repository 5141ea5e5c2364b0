"""Escalates to a larger model if a response is not acceptable under the current load."""

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
    """Plan the models to try, by the policy that applies to the session or request."""
    policy = gw.policies.policy_for(job.workspace_name, job.req.session or job.req.attempt_id)
    plan = model_plan(job.route, policy, job.req.any_model, may_retry)
    if plan.models[0]:
        job.policy = policy["name"]
    return plan


async def choose_larger_model(
    gw: Gateway, job: Job, service: str, plan: ModelPlan, running: Running
) -> str:
    """The larger model to try instead of forwarding a response; empty to forward it."""
    if running.head.status >= 400 or is_acceptable(plan, running.model, running.head.confidence):
        return ""
    now = clock.now()
    if job.counted_attempts >= job.route.attempts or gw.retry_budget_of(service).available(now) < 1:
        return ""
    tried, job.tried_upstreams = job.tried_upstreams, set()
    await query_backlogs(gw, job, service, plan.models[-1])
    larger = _model_under_load(gw, job, service, plan, running)
    job.tried_upstreams = tried
    return larger


def _model_under_load(
    gw: Gateway, job: Job, service: str, plan: ModelPlan, running: Running
) -> str:
    """The larger model to try under the current load; empty for none."""
    now = clock.now()
    largest = plan.models[-1]
    largest_selection = pick(gw, job, service, largest, now)

    def first_s(model: str) -> float | None:
        chosen = largest_selection if model == largest else pick(gw, job, service, model, now)
        return chosen.predicted_first_s if chosen is not None else None

    read_s = largest_selection.prefill_s if largest_selection is not None else 0.0
    least_wait_s = _least_wait_s(job)
    shortage = gw.pressure.shortage(now, least_wait_s)
    adjusted_plan = plan._replace(policy=adjusted_for_load(plan.policy, shortage, read_s))
    acceptable = is_acceptable(adjusted_plan, running.model, running.head.confidence)
    objective_left_s = job.read_at + job.route.objective_s - now
    larger = "" if acceptable else next_model(plan, running.model, first_s, objective_left_s)
    logger.info(
        "answer of {} {}",
        running.model,
        "good enough under this load" if acceptable else "not good enough",
        request=job.req.attempt_id,
        confidence=running.head.confidence,
        policy=plan.policy["name"],
        threshold=round(adjusted_plan.policy.get("threshold", 0.0), 3),
        shortage=round(shortage, 3),
        least_wait_s=round(least_wait_s, 3),
        read_s=round(read_s, 3),
        next_model=larger,
    )
    return larger


def _least_wait_s(job: Job) -> float:
    """The shortest wait among the engines queried last, in seconds."""
    backlogs = job.backlog_snapshot.backlogs.values() if job.backlog_snapshot is not None else ()
    return min((backlog.ahead_s for backlog in backlogs), default=0.0)
