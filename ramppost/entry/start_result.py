"""What comes of trying to get a request running: an answer, a refusal, or choose again."""

from __future__ import annotations

from typing import Final, NamedTuple

from ramppost.entry.dispatch import NotRun, Outcome, Running, Unknown
from ramppost.errors import Refusal, refusal
from ramppost.policy.permissions import ModelVersion

LEAST_RETRY_S: Final = 0.5
NOBODY: Final = ("no_upstream", "unreachable", "upstream_down", "wrong_incarnation", "leaving")


class Reroute(NamedTuple):
    """The version may not be used any more by a newer configuration: choose again."""

    reason: str


StartResult = Running | Refusal | Reroute


def own(run: Running, request_id: str) -> Running:
    """A running answer as that of a request."""
    run.request_id = request_id
    return run


def refused(out: Outcome, mv: ModelVersion) -> Refusal:
    """The final word on a request that no agent runs."""
    if isinstance(out, Unknown):
        return refusal("outcome_unknown", f"can't tell whether it ran: {out.reason}")
    assert isinstance(out, NotRun)
    wait_s = max(LEAST_RETRY_S, out.retry_after_s)
    if out.reason in NOBODY:
        return refusal(
            "no_upstream", f"no live upstream for {mv.text.strip('@') or 'service'}", wait_s
        )
    if out.reason in ("deadline", "cancelled"):
        return refusal("deadline", "deadline passed before it was begun", wait_s)
    return refusal("overloaded", f"no room at the upstreams: {out.reason}", wait_s)
