"""Limits at an entry or gateway: tokens and concurrency of a workspace, and the retry budget.

Pure: the clock is an argument.
"""

from __future__ import annotations

from collections import deque
from typing import Final

RETRY_SHARE: Final = 0.07
RETRY_BURST: Final = 2.0
MIN_WAIT_S: Final = 0.5
SLOT_FRACTION: Final = 0.05
"""Part of a budget's window that is counted as one: so much longer a retry is remembered."""
SHARED_FRACTION: Final = 0.85
"""Part of the allowed retries that gateways share: the rest is for retries counted late, and for
gateways that have come and that the others do not know of yet."""
MIN_SHARING_GATEWAYS: Final = 16
"""A small fleet may double within seconds, while each gateway still counts the former ones."""
UNKNOWN_FLEET_SLACK: Final = 1.0
"""Slack of a gateway that does not know its fleet yet: so that it can try one again.  The slack of
deployments is 1.8 for each of their gateways and some 50, from 4 gateways to 68."""


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

    def record_try(self) -> None:
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


def slack_per_gateway(slack: float, gateways: int) -> float:
    """A gateway's part of the slack that a service's retries have, in a fleet of so many; 0 for
    one that is not known yet.

    With a sixteenth for each whatever the size, 68 gateways had 4.3 times the slack.

    >>> slack_per_gateway(58, 6), round(slack_per_gateway(176, 68), 2), slack_per_gateway(176, 0)
    (3.08125, 2.2, 1.0)
    """
    if gateways == 0:
        return UNKNOWN_FLEET_SLACK
    return slack * SHARED_FRACTION / max(MIN_SHARING_GATEWAYS, gateways)


class WindowBudget:
    """Retries by what a window of time holds: a share of its first tries, and some slack.

    Unlike a bucket it lets a gateway whose upstreams crash spend at once what it has not
    used in the window, so that streams by the dozen can be taken up elsewhere.  Retries
    are never more than `share` of the tries of the last `window_s` seconds and `slack`.

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
        """When each slot of time ends, and the tries and retries in it."""

    def record_try(self, now: float) -> None:
        """A request was tried for the first time."""
        self._count(now, 1, 0)

    def available(self, now: float) -> float:
        """Retries that may follow at once."""
        # Tries and retries of a slot are forgotten together, when its end has left the window.
        while self._slots and self._slots[0][0] <= now - self.window_s:
            self._slots.popleft()
        tries = sum(slot[1] for slot in self._slots)
        retries = sum(slot[2] for slot in self._slots)
        return self.share * tries + self.slack - retries

    def take(self, now: float) -> bool:
        """Whether one more retry is within the budget."""
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
