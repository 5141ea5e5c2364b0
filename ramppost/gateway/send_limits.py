"""Whether an upstream may be sent a request now, by all that limits it: its warm-up, the rate that
it names and the rest that it asks for."""

from __future__ import annotations

from collections.abc import Iterable

from ramppost.gateway.model import Service, Upstream
from ramppost.gateway.state import Gateway


def wait_s(gw: Gateway, service: Service, upstream: Upstream, now: float) -> float:
    """Seconds until an upstream may be sent a request; infinite if this gateway has no share."""
    return max(
        gw.warmups.wait_s(service, upstream, now),
        gw.rate_limits.wait_s(upstream, now),
        gw.rests.wait_s(upstream, now),
    )


def within_limits(
    gw: Gateway, service: Service, upstreams: list[Upstream], now: float
) -> list[Upstream]:
    """Upstreams that may be sent a request now; the same list object if that is all of them."""
    any_resting = gw.rests.any_resting(now)
    if not (any_resting or gw.warmups.any_limited(service, now) or gw.rate_limits):
        return upstreams
    free = [upstream for upstream in upstreams if wait_s(gw, service, upstream, now) <= 0]
    return upstreams if len(free) == len(upstreams) else free


def least_wait_s(gw: Gateway, service: Service, upstreams: Iterable[Upstream], now: float) -> float:
    """Seconds until any of the upstreams may be sent a request."""
    return min((wait_s(gw, service, u, now) for u in upstreams), default=float("inf"))


def record_sent(gw: Gateway, service: Service, upstream: Upstream, now: float) -> None:
    """Count a request that is being sent, whether or not a limit applies yet."""
    gw.warmups.record_sent(service, upstream, now)
    gw.rate_limits.record_sent(upstream, now)
