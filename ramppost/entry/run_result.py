"""Results of obtaining a run: a running answer, a refusal, or a request to route again."""

from __future__ import annotations

from typing import Final, NamedTuple

from ramppost.entry.dispatch import NotRun, Outcome, Running, Unknown
from ramppost.errors import Refusal, refusal
from ramppost.policy.permissions import ModelVersion

MIN_RETRY_AFTER_S: Final = 0.5
NO_UPSTREAM_REASONS: Final = (
    "no_upstream",
    "unreachable",
    "upstream_down",
    "wrong_incarnation",
    "leaving",
)


class Reroute(NamedTuple):
    """A newer configuration no longer allows the version, so the request must be routed again."""

    reason: str


RunResult = Running | Refusal | Reroute


def with_request_id(run: Running, request_id: str) -> Running:
    """Set the request that a run belongs to, and return the run."""
    run.request_id = request_id
    return run


def refusal_for_outcome(outcome: Outcome, mv: ModelVersion) -> Refusal:
    """The refusal for a request whose last attempt did not lead to a running answer."""
    if isinstance(outcome, Unknown):
        return refusal("outcome_unknown", f"can't tell whether it ran: {outcome.reason}")
    assert isinstance(outcome, NotRun)
    wait_s = max(MIN_RETRY_AFTER_S, outcome.retry_after_s)
    if outcome.reason in NO_UPSTREAM_REASONS:
        return refusal(
            "no_upstream", f"no live upstream for {mv.text.strip('@') or 'service'}", wait_s
        )
    if outcome.reason in ("deadline", "cancelled"):
        return refusal("deadline", "deadline passed before it was begun", wait_s)
    return refusal("overloaded", f"no room at the upstreams: {outcome.reason}", wait_s)
