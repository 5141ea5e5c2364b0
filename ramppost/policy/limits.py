"""Rate limits of an entry or gateway: tokens of a workspace, and retry budgets.

Pure: the current time is an argument.
"""

from __future__ import annotations

from collections import deque
from typing import Final

RETRY_SHARE: Final = 0.07
RETRY_BURST: Final = 2.0
MIN_WAIT_S: Final = 0.5
SLOT_FRACTION: Final = 0.05
"""Length of a counting slot as a fraction of the window; a retry counts for up to this much longer
than the window."""
SHARED_FRACTION: Final = 0.85
"""Fraction of the allowed retries that is divided among the gateways.  The rest covers retries that
are counted late and new gateways that the others don't know of yet."""
MIN_SHARING_GATEWAYS: Final = 16
"""Minimum divisor of the slack: a small fleet may double within seconds, while each gateway still
uses the previous size."""
UNKNOWN_FLEET_SLACK: Final = 1.0
"""Slack of a gateway that doesn't know its fleet yet, which allows one retry.  Deployments of 4 to
68 gateways have a slack of about 50 plus 1.8 for each gateway."""


class TokenBucket:
    """Limits the generated tokens of a workspace.

    The tokens that a request will use are not known in advance, so a request is admitted
    while the bucket is above zero and charged when it ends.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = burst
        self._refilled_at = now

    def wait_s(self, now: float) -> float:
        """Seconds until a request is admitted; 0 if it is admitted now."""
        self._refill(now)
        if self.level > 0:
            return 0.0
        if self.rate <= 0:
            return 60.0
        return max(MIN_WAIT_S, -self.level / self.rate)

    def charge(self, tokens: int, now: float) -> None:
        """Deduct the tokens that a request has used."""
        self._refill(now)
        self.level -= tokens

    def _refill(self, now: float) -> None:
        self.level = min(self.burst, self.level + (now - self._refilled_at) * self.rate)
        self._refilled_at = now


class RetryBudget:
    """Limits retries to a share of first tries, so that they can't amplify an outage.

    Each first try adds `share` to the budget, up to `burst`, so that the retries in any window
    are at most `share` of its first tries plus `burst`.
    """

    def __init__(self, share: float = RETRY_SHARE, burst: float = RETRY_BURST) -> None:
        self.share = share
        self.burst = burst
        self.balance = burst
        self.tries = 0
        self.retries = 0

    def record_try(self) -> None:
        """Record the first try of a request."""
        self.tries += 1
        self.balance = min(self.burst, self.balance + self.share)

    def take(self) -> bool:
        """Take one retry from the budget; false if the budget is exhausted."""
        if self.balance < 1:
            return False
        self.balance -= 1
        self.retries += 1
        return True


def slack_per_gateway(slack: float, gateways: int) -> float:
    """A gateway's part of the slack of a service's retry budget; `gateways` is the fleet size, or 0
    if it is not known yet.

    When each gateway had a sixteenth regardless of the fleet size, 68 gateways together had 4.3
    times the slack.

    >>> slack_per_gateway(58, 6), round(slack_per_gateway(176, 68), 2), slack_per_gateway(176, 0)
    (3.08125, 2.2, 1.0)
    """
    if gateways == 0:
        return UNKNOWN_FLEET_SLACK
    return slack * SHARED_FRACTION / max(MIN_SHARING_GATEWAYS, gateways)


class WindowBudget:
    """Limits retries in a sliding window to a share of its first tries plus a constant slack.

    Unlike with `RetryBudget`, a gateway whose upstreams crash may use the unspent budget of the
    whole window at once, so that dozens of streams can be resumed on other upstreams.  Retries
    never exceed `share` of the first tries of the last `window_s` seconds plus `slack`.

    >>> budget = WindowBudget(0.5, 10.0, 1.0)
    >>> for _ in range(4): budget.record_try(100.0)
    >>> budget.available(101.0), budget.available(111.0)
    (3.0, 1.0)
    """

    def __init__(self, share: float, window_s: float, slack: float) -> None:
        self.share = share
        self.window_s = window_s
        self.slack = slack
        self._slots: deque[tuple[float, int, int]] = deque()
        """End time, first tries and retries of each slot."""

    def record_try(self, now: float) -> None:
        """Record the first try of a request."""
        self._count(now, 1, 0)

    def available(self, now: float) -> float:
        """Number of retries that may be made now."""
        # The tries and retries of a slot expire together, when its end leaves the window.
        while self._slots and self._slots[0][0] <= now - self.window_s:
            self._slots.popleft()
        tries = sum(slot[1] for slot in self._slots)
        retries = sum(slot[2] for slot in self._slots)
        return self.share * tries + self.slack - retries

    def take(self, now: float) -> bool:
        """Take one retry from the budget; false if the budget is exhausted."""
        if self.available(now) < 1:
            return False
        self._count(now, 0, 1)
        return True

    def _count(self, now: float, tries: int, retries: int) -> None:
        slot_s = self.window_s * SLOT_FRACTION
        if not self._slots or now >= self._slots[-1][0]:
            self._slots.append((now + slot_s, 0, 0))
        ends, tried, retried = self._slots[-1]
        self._slots[-1] = (ends, tried + tries, retried + retries)
