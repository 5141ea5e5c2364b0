"""Evaluates a version during its rollout by the answers that one gateway forwards.

No I/O.  The sequential tests are those of `ramppost.policy.rollout`.  A version is withdrawn
only if more than one of its upstreams gave bad answers, or if it has just one upstream: bad
answers from a single upstream among several are evidence against that upstream.
"""

from __future__ import annotations

from typing import Final

from ramppost.policy.rollout import OutcomeCounts, errors_too_high, too_slow

MAX_ERROR_SHARE: Final = 0.25
"""Error share of the test's alternative hypothesis; bad versions fail a third or more."""
MAX_SLOW_SHARE: Final = 0.5
MIN_BAD_ANSWERS: Final = 2
MIN_BAD_UPSTREAMS: Final = 2


class AnswerTally:
    """Outcome counts of one version of a service, and its upstreams that gave bad answers."""

    def __init__(self) -> None:
        self.counts = OutcomeCounts()
        self.bad_upstreams: set[str] = set()

    def add(self, upstream: str, bad: bool, slow: bool) -> None:
        """Count one answer."""
        ok, failed, slow_ok = self.counts
        if bad:
            self.counts = OutcomeCounts(ok, failed + 1, slow_ok)
        else:
            self.counts = OutcomeCounts(ok + 1, failed, slow_ok + slow)
        if bad or slow:
            self.bad_upstreams.add(upstream)


def withdrawal_reason(stable: AnswerTally, trial: AnswerTally, trial_upstreams: int) -> str:
    """Why the trial version must be withdrawn; empty while the evidence is not sufficient."""
    counts = trial.counts
    if len(trial.bad_upstreams) < min(MIN_BAD_UPSTREAMS, max(1, trial_upstreams)):
        return ""
    if counts.bad >= MIN_BAD_ANSWERS and errors_too_high(stable.counts, counts, MAX_ERROR_SHARE):
        return f"{counts.bad} of {counts.ok + counts.bad} answers failed"
    if counts.slow >= MIN_BAD_ANSWERS and too_slow(stable.counts, counts, MAX_SLOW_SHARE):
        return f"{counts.slow} of {counts.ok} answers were slow"
    return ""
