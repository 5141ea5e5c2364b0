"""Limits at an entry: tokens and concurrency of a workspace, and the retry budget.

Pure: the clock is an argument.
"""

from __future__ import annotations

from typing import Final

RETRY_SHARE: Final = 0.07
RETRY_BURST: Final = 2.0
MIN_WAIT_S: Final = 0.5


class TokenBucket:
    """Generated tokens of a workspace.  What a request will use is not known before,
    so a request is let in while the bucket is above zero and charged when it ends."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = burst
        self._at = now

    def wait_s(self, now: float) -> float:
        """Seconds until a request may go, 0 for now."""
        self._refill(now)
        if self.level > 0:
            return 0.0
        if self.rate <= 0:
            return 60.0
        return max(MIN_WAIT_S, -self.level / self.rate)

    def charge(self, tokens: int, now: float) -> None:
        """Take what a request has used."""
        self._refill(now)
        self.level -= tokens

    def _refill(self, now: float) -> None:
        self.level = min(self.burst, self.level + (now - self._at) * self.rate)
        self._at = now


class RetryBudget:
    """Retries may be a share of first tries, so that they can't amplify an outage.

    `share` is what each first try adds, `burst` the most that is saved up, so that any
    window holds at most `share` of its first tries and `burst` more.
    """

    def __init__(self, share: float = RETRY_SHARE, burst: float = RETRY_BURST) -> None:
        self.share = share
        self.burst = burst
        self.left = burst
        self.tries = 0
        self.retries = 0

    def tried(self) -> None:
        """A request was tried for the first time."""
        self.tries += 1
        self.left = min(self.burst, self.left + self.share)

    def take(self) -> bool:
        """Whether one more retry is within the budget."""
        if self.left < 1:
            return False
        self.left -= 1
        self.retries += 1
        return True
