"""Obtains a run of a request with a model version, or a refusal.

Without an idempotency key, several agents are tried in turn, as long as each reports that the
attempt did not run or the request is repeatable. With a key, see `ramppost.entry.keyed`.
"""

from __future__ import annotations

from typing import Final

from ramppost import clock
from ramppost.entry.dispatch import NotRun, Outcome, Running, Unknown, make_run_msg, send_run
from ramppost.entry.job import Job
from ramppost.entry.keyed import obtain_keyed_run
from ramppost.entry.run_result import (
    MIN_RETRY_AFTER_S,
    Reroute,
    RunResult,
    refusal_for_outcome,
    with_request_id,
)
from ramppost.entry.state import Entry
from ramppost.errors import refusal
from ramppost.policy.bills import attempt_id
from ramppost.policy.permissions import ModelVersion

MAX_UPSTREAM_TRIES: Final = 3
FREE_RETRY_REASONS: Final = ("leaving", "wrong_incarnation", "behind", "unreachable")


async def obtain_run(
    entry: Entry, job: Job, mv: ModelVersion, stage: int, first_attempt_number: int, deadline: float
) -> RunResult:
    """Obtain a run of a request with a version.

    `stage` is the index in the cascade; `first_attempt_number` is the first unused attempt number.
    """
    entry.retry_budget.record_try()
    if job.key:
        return await obtain_keyed_run(entry, job, mv, stage, deadline)
    upstreams = entry.upstreams.ranked_agents(mv, job.service, job.prefix)
    outcome: Outcome = NotRun("no_upstream", MIN_RETRY_AFTER_S)
    for number, upstream in enumerate(upstreams[:MAX_UPSTREAM_TRIES]):
        if number and not _may_retry(entry, outcome):
            break
        remaining_s = deadline - clock.now()
        if remaining_s <= 0:
            return refusal("deadline", "deadline passed before it was begun", MIN_RETRY_AFTER_S)
        attempt = attempt_id(job.request_id, stage, first_attempt_number + number)
        outcome = await send_run(
            entry,
            upstream,
            make_run_msg(entry, job, mv, upstream.ticket, attempt, remaining_s),
            job.execution,
        )
        if isinstance(outcome, Running):
            return with_request_id(outcome, job.request_id)
        if isinstance(outcome, Unknown) and not job.repeatable:
            break
        if isinstance(outcome, NotRun) and outcome.reason in ("withdrawn", "forbidden"):
            return Reroute(outcome.reason)
    return refusal_for_outcome(outcome, mv)


def _may_retry(entry: Entry, outcome: Outcome) -> bool:
    """Whether another agent may be tried; takes a retry from the budget unless it is free.

    A retry is free if the last attempt caused no work at an upstream.
    """
    if isinstance(outcome, NotRun) and outcome.reason in FREE_RETRY_REASONS:
        return True
    if not entry.retry_budget.take():
        return False
    entry.stats.retries_total.inc({})
    return True
