"""Divides the request rate that an upstream accepts from all gateways together.

Pure.  An upstream in need names one rate for the whole fleet.  Gateways don't see each other's
requests and may be partitioned, so each has a fixed share that depends only on the gateways listed
in the store.  A share is a rate and a burst: at low rates a gateway of a large fleet would wait for
minutes before it may send at all, and then all might send at once.  So a limited number of bursts
goes to the gateways that rendezvous hashing ranks first for the upstream, with a rate for each, and
the other gateways send nothing there.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Final, NamedTuple

from ramppost.policy.shares import part_of, ranked

SHARE_KEY: Final = "rate-limit"
MIN_RATE_PER_S: Final = 0.5
"""Rate at which all gateways together still ask an upstream that accepts fewer or none, because
only its responses tell when the limit ends."""
BASE_BURSTS: Final = 3
BURSTS_PER_RATE: Final = 1.5
"""Bursts of a fleet for each request per second.  With the requests at the rate itself, 4 s hold at
most 5.5 times the rate plus three requests; the rest of what an upstream tolerates covers requests
that arrive closer together than they were sent, and gateways that are added or removed."""


class RateShare(NamedTuple):
    """A gateway's share: requests per second, and the most that it may send at once."""

    per_s: float
    burst: int


NO_SHARE: Final = RateShare(0.0, 0)


def fleet_bursts(limit_per_s: float) -> int:
    """The most requests that a fleet may send at once to an upstream with this limit."""
    return BASE_BURSTS + int(BURSTS_PER_RATE * limit_per_s)


def holders(upstream: str, gateways: Collection[str], limit_per_s: float) -> list[str]:
    """The gateways that may send to an upstream with this limit."""
    return ranked(gateways, SHARE_KEY, upstream)[: fleet_bursts(limit_per_s)]


def share_of_rate(
    gateway: str, upstream: str, gateways: Collection[str], limit_per_s: float
) -> RateShare:
    """A gateway's share of the rate that an upstream accepts from all.

    >>> fleet = [f"g{number}" for number in range(400)]
    >>> shares = [share_of_rate(name, "u", fleet, 2.0) for name in fleet]
    >>> sum(share.burst for share in shares), round(sum(share.per_s for share in shares), 9)
    (6, 2.0)
    >>> share_of_rate("g1", "u", ["g1"], 2.0)
    RateShare(per_s=2.0, burst=6)
    """
    bursts = fleet_bursts(limit_per_s)
    burst = part_of(bursts, gateway, gateways, SHARE_KEY, upstream)
    return RateShare(max(MIN_RATE_PER_S, limit_per_s) * burst / bursts, burst)


class RateBucket:
    """Token bucket of the requests to an upstream (seconds on any steady clock).

    It starts without a whole request: a gateway that gains a share does not know what its last
    holder has sent.  `start`, in [0, 1), is the part of a request that it starts with.  Drawn at
    random, it spreads the first requests of the gateways that were told of a limit together, so
    that one of them soon learns of its end.
    """

    def __init__(self, now: float, start: float = 0.0) -> None:
        self._share = NO_SHARE
        self._tokens = start
        self._refilled_at = now

    def set_share(self, share: RateShare, now: float) -> None:
        """Change the share; tokens that the new burst does not allow are lost."""
        self._refill(now)
        self._share = share
        self._tokens = min(self._tokens, float(share.burst))

    def wait_s(self, now: float) -> float:
        """Seconds until a request may be sent; infinite without a share.

        >>> bucket = RateBucket(10.0)
        >>> bucket.wait_s(10.0)
        inf
        >>> bucket.set_share(RateShare(2.0, 3), 10.0)
        >>> bucket.wait_s(10.0), bucket.wait_s(10.5)
        (0.5, 0.0)
        """
        if self._share.burst <= 0:
            return float("inf")
        self._refill(now)
        return max(0.0, (1.0 - self._tokens) / self._share.per_s)

    def take(self, now: float) -> None:
        """Record a sent request."""
        self._refill(now)
        self._tokens = max(0.0, self._tokens - 1.0)

    def _refill(self, now: float) -> None:
        if self._share.burst > 0:
            gained = max(0.0, now - self._refilled_at) * self._share.per_s
            self._tokens = min(float(self._share.burst), self._tokens + gained)
        self._refilled_at = now
