"""From a request and a version to a running answer, or a refusal.

Without a key, several agents are tried as long as each says "not run", or the
request may be repeated.  With a key, see `ramppost.entry.keyed`.
"""

from __future__ import annotations

from typing import Final

from ramppost import clock
from ramppost.entry.dispatch import NotRun, Outcome, Running, Unknown, run_msg, send_run
from ramppost.entry.job import Job
from ramppost.entry.keyed import start_keyed_run
from ramppost.entry.start_result import LEAST_RETRY_S, Reroute, StartResult, own, refused
from ramppost.entry.state import Entry
from ramppost.errors import refusal
from ramppost.policy.bills import attempt_id
from ramppost.policy.permissions import ModelVersion

MAX_TRIES: Final = 3
FREE_RETRIES: Final = ("leaving", "wrong_incarnation", "behind", "unreachable")


async def start_run(
    entry: Entry, ask: Job, mv: ModelVersion, stage: int, turn: int, deadline: float
) -> StartResult:
    """An answer running for this request, by a version.

    `stage` counts within a cascade; `turn` is the first number free for attempts.
    """
    entry.retry_budget.record_try()
    if ask.key:
        return await start_keyed_run(entry, ask, mv, stage, deadline)
    ups = entry.upstreams.ranked_agents(mv, ask.service, ask.prefix)
    out: Outcome = NotRun("no_upstream", LEAST_RETRY_S)
    for number, up in enumerate(ups[:MAX_TRIES]):
        if number and not _may_retry(entry, out):
            break
        left_s = deadline - clock.now()
        if left_s <= 0:
            return refusal("deadline", "deadline passed before it was begun", LEAST_RETRY_S)
        attempt = attempt_id(ask.request_id, stage, turn + number)
        out = await send_run(
            entry, up, run_msg(entry, ask, mv, up.ticket, attempt, left_s), ask.trace
        )
        if isinstance(out, Running):
            return own(out, ask.request_id)
        if isinstance(out, Unknown) and not ask.repeatable:
            break
        if isinstance(out, NotRun) and out.reason in ("withdrawn", "forbidden"):
            return Reroute(out.reason)
    return refused(out, mv)


def _may_retry(entry: Entry, out: Outcome) -> bool:
    """A retry that costs the upstreams nothing is free; others go by the budget."""
    if isinstance(out, NotRun) and out.reason in FREE_RETRIES:
        return True
    if not entry.retry_budget.take():
        return False
    entry.stats.retries_total.inc({})
    return True
