"""Judges a version during its roll-out by the answers that one gateway forwards.

Pure.  The sequential tests are those of `ramppost.policy.rollout`.  A version is only
held to be bad where more than one of its upstreams gave bad answers, unless it has just
one: a single faulty upstream speaks against that upstream.
"""

from __future__ import annotations

from typing import Final

from ramppost.policy.rollout import OutcomeCounts, errors_too_high, too_slow

MAX_ERROR_SHARE: Final = 0.25
"""Error share that the test takes for bad; bad versions fail a third or more."""
MAX_SLOW_SHARE: Final = 0.5
LEAST_BAD: Final = 2
LEAST_UPSTREAMS: Final = 2


class AnswerTally:
    """Answers of one version of a service, by upstream."""

    def __init__(self) -> None:
        self.counts = OutcomeCounts()
        self.bad_upstreams: set[str] = set()

    def add(self, upstream: str, bad: bool, slow: bool) -> None:
        """Take in an answer."""
        ok, failed, late = self.counts
        if bad:
            self.counts = OutcomeCounts(ok, failed + 1, late)
        else:
            self.counts = OutcomeCounts(ok + 1, failed, late + slow)
        if bad or slow:
            self.bad_upstreams.add(upstream)


def withdrawal_reason(stable: AnswerTally, trial: AnswerTally, trial_upstreams: int) -> str:
    """Why the trial has to be withdrawn, empty while nothing speaks against it enough."""
    counts = trial.counts
    if len(trial.bad_upstreams) < min(LEAST_UPSTREAMS, max(1, trial_upstreams)):
        return ""
    if counts.bad >= LEAST_BAD and errors_too_high(stable.counts, counts, MAX_ERROR_SHARE):
        return f"{counts.bad} of {counts.ok + counts.bad} answers failed"
    if counts.slow >= LEAST_BAD and too_slow(stable.counts, counts, MAX_SLOW_SHARE):
        return f"{counts.slow} of {counts.ok} answers were slow"
    return ""
