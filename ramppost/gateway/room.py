"""Refuses requests that engines have no room for, before they are sent to any.

The decision is that of `ramppost.policy.fair_admission`, by the replies of keepers to the query
that precedes an attempt.  Nothing waits here: engines order waiting prompts by urgency, so a prompt
that waits at an engine is overtaken by more urgent ones of all gateways, and at a gateway only by
those of the same gateway.

Requests that have been sent to an upstream and resumed streams are never refused here.
"""

from __future__ import annotations

import time
from collections.abc import Mapping
from typing import Final

from loguru import logger

from ramppost.errors import Refusal, refusal
from ramppost.gateway.backlogs import BacklogEstimate
from ramppost.gateway.job import BacklogSnapshot, Job
from ramppost.gateway.model import Prompt
from ramppost.gateway.pick import prompt_urgency
from ramppost.gateway.state import Gateway
from ramppost.policy.fair_admission import AdmissionRequest, FairAdmission, Reject
from ramppost.policy.placement import leading_tokens
from ramppost.policy.room import NO_USE, Shortage
from ramppost.policy.urgency import SHORT_READ_S
from ramppost.schema.settings import AdmissionSettings

MESSAGES: Final = {
    "deadline": "no engine can begin the answer before its deadline",
    "share": "engines are short and the workspace is above its share",
}
"""Messages of refusals by reason."""
MAX_LABELLED_WORKSPACES: Final = 32
"""Maximum number of workspaces with metrics of their own; further ones are counted together."""
OTHER_WORKSPACES: Final = "others"


def refusal_without_room(
    gw: Gateway, job: Job, service: str, model: str, now: float
) -> Refusal | None:
    """The refusal of a request that is not to be sent now; None if it is admitted."""
    prompt, snapshot = job.req.prompt, job.backlog_snapshot
    settings = gw.cfg.get("admission", {})
    if prompt is None or snapshot is None or not settings.get("enabled", True):
        return None
    if job.admission_decided or job.attempts or job.may_have_run or job.req.last_event_id:
        return None
    prefill_s = gw.prefill_rates.rate_s(model) * prompt.tokens_in
    level = prompt_urgency(gw, job, prefill_s)
    request = AdmissionRequest(
        workspace=job.workspace_name,
        rank=job.workspace_rank,
        short_prompt=prefill_s < SHORT_READ_S,
        fingerprint=job.fingerprint,
        objective_s=job.route.objective_s,
        left_s=job.left_s(now),
        first_token_s=_least_first_token_s(gw, model, prompt, snapshot.backlogs),
    )
    shares = settings.get("fair_shares", False)
    shortage = _observe_shortage(gw, service, level, snapshot, now) if shares else None
    rules = FairAdmission(_weights(settings))
    decision = rules.decide(
        request,
        shortage,
        gw.room.use(service, now) if shortage is not None else NO_USE,
        gw.workspace_ranks.of(gw.table),
        time.time(),
        gw.rng,
    )
    if isinstance(decision, Reject):
        return _record_refusal(gw, job, service, level, decision, now)
    job.admission_decided = True
    job.raised = decision.raised
    gw.metrics.count("ramppost_requests_admitted_total", service=service)
    return None


def _observe_shortage(
    gw: Gateway, service: str, level: int, snapshot: BacklogSnapshot, now: float
) -> Shortage | None:
    """The shortage of engines with the waits of a query that was just answered."""
    waits = [estimate.ahead_s for estimate in snapshot.backlogs.values() if estimate.complete]
    gw.room.observe(service, level, waits, snapshot.taken_at)
    shortage = gw.room.shortage(service, level, now)
    if shortage is not None:
        gw.metrics.observe("ramppost_engine_shortage_seconds", shortage.wait_s, service=service)
    return shortage


def _least_first_token_s(
    gw: Gateway, model: str, prompt: Prompt, estimates: Mapping[str, BacklogEstimate]
) -> float | None:
    """The least predicted time to the first token; None unless all figures are complete."""
    if not estimates or not all(estimate.complete for estimate in estimates.values()):
        return None
    rate_s = gw.prefill_rates.rate_s(model)
    return min(
        estimate.ahead_s
        + rate_s * max(0, prompt.tokens_in - leading_tokens(prompt.parts, estimate.cached_parts))
        for estimate in estimates.values()
    )


def _weights(settings: AdmissionSettings) -> dict[str, float]:
    """The configured weights; others than positive ones, which a start does not check, are ignored.

    >>> _weights({"weights": {"kitchen": 2, "toll": 0}})
    {'kitchen': 2}
    """
    weights = settings.get("weights", {})
    return {workspace: weight for workspace, weight in weights.items() if weight > 0}


def _record_refusal(
    gw: Gateway, job: Job, service: str, level: int, rejected: Reject, now: float
) -> Refusal:
    """Log and count a refusal."""
    request, shortage, share, fair_share, admitted_ratio = rejected.inputs
    first_token_s = request.first_token_s
    gw.metrics.count(
        "ramppost_admission_refusals_total",
        reason=rejected.reason,
        rank=str(request.rank),
        workspace=_workspace_label(gw, request.workspace),
    )
    logger.info(
        "no room at engines: {}",
        rejected.reason,
        request=job.req.attempt_id,
        fingerprint=job.fingerprint,
        service=service,
        workspace=request.workspace,
        rank=request.rank,
        level=level,
        first_token_s=round(first_token_s, 3) if first_token_s is not None else None,
        left_s=round(request.left_s, 3),
        median_wait_s=round(shortage.wait_s, 3) if shortage is not None else None,
        short_from_s=round(request.short_from_s, 3),
        short_for_s=round(max(0.0, now - shortage.since), 3) if shortage is not None else None,
        samples=shortage.samples if shortage is not None else 0,
        sample_age_s=round(shortage.age_s, 3) if shortage is not None else None,
        share=round(share, 3),
        fair_share=round(fair_share, 3),
        admitted_ratio=round(admitted_ratio, 3),
        retry_after_s=round(rejected.retry_after_s, 2),
    )
    return refusal("overloaded", MESSAGES[rejected.reason], rejected.retry_after_s)


def _workspace_label(gw: Gateway, workspace: str) -> str:
    """The label of a workspace in metrics, which is its name for a bounded number of them."""
    labels = gw.refused_workspaces
    if workspace not in labels and len(labels) >= MAX_LABELLED_WORKSPACES:
        return OTHER_WORKSPACES
    labels.add(workspace)
    return workspace
