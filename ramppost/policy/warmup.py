"""Divides the request rate limit of an upstream that is warming up among the gateways.

Pure.  An upstream that is warming up fails if all gateways together exceed its limit, for example
when a data hall returns with idle upstreams and every gateway predicts the shortest time there.
Gateways don't see each other's requests and may be partitioned, so each has a fixed share that
depends only on the gateways listed in the store: the limit is divided evenly, and the remainder
goes to the gateways that rendezvous hashing ranks first for the upstream.  With more gateways than
requests per second, a gateway has a share of some upstreams only.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from typing import Final

from ramppost.policy.shares import part_of

WINDOW_S: Final = 1.1
"""Longer than a second, because requests sent a second apart may arrive closer together."""


def share_of(gateway: str, upstream: str, gateways: Collection[str], limit_per_s: float) -> int:
    """A gateway's share of the `limit_per_s` requests that all may send to an upstream.

    >>> fleet = [f"g{n}" for n in range(29)]
    >>> sum(share_of(name, "u", fleet, 14.0) for name in fleet)
    14
    >>> share_of("g1", "u", ["g1", "g2"], 14.0), share_of("g3", "u", ["g1", "g2"], 14.0)
    (7, 0)
    """
    return part_of(max(1, int(limit_per_s)), gateway, gateways, "warm-up", upstream)


class SentWindow:
    """Sliding window of the requests sent to an upstream (seconds on any steady clock)."""

    def __init__(self) -> None:
        self._sent: deque[float] = deque()

    def sent(self, now: float) -> None:
        """Record a sent request."""
        self._drop_old(now)
        self._sent.append(now)

    def wait_s(self, share: int, now: float) -> float:
        """Seconds until another request may be sent; infinite if `share` is 0.

        >>> window = SentWindow()
        >>> window.sent(10.0)
        >>> window.wait_s(2, 10.0), round(window.wait_s(1, 10.5), 3), window.wait_s(0, 20.0)
        (0.0, 0.6, inf)
        """
        if share <= 0:
            return float("inf")
        self._drop_old(now)
        if len(self._sent) < share:
            return 0.0
        return self._sent[-share] + WINDOW_S - now

    def _drop_old(self, now: float) -> None:
        while self._sent and self._sent[0] <= now - WINDOW_S:
            self._sent.popleft()
