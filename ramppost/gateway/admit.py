"""Determines the route and workspace of a request, or why it is refused."""

from __future__ import annotations

from typing import Final, NamedTuple

from ramppost import clock
from ramppost.errors import Refusal, refusal
from ramppost.gateway.departures import retry_after_s
from ramppost.gateway.model import CallerRequest, Route, RoutingTable, Workspace
from ramppost.gateway.state import Gateway

STALE_RETRY_S: Final = 0.5
"""Another gateway may still reach the store, and this one retries it twice a second."""


class Admitted(NamedTuple):
    """The route of a request, and its workspace if the request carries a valid key."""

    route: Route
    workspace: Workspace | None


def admit(gw: Gateway, req: CallerRequest) -> Admitted | Refusal:
    """Find the route and check the key by the current configuration.

    While a newer configuration may exist, no request is refused permanently, because a missing
    route or key may have been added since.
    """
    table = gw.table
    if table is None or not (gw.members_listed and gw.evacuations_known):
        return refusal("not_ready", "no configuration yet", STALE_RETRY_S)
    now = clock.now()
    is_current = _is_config_current(gw, now)
    route = find_route(table, req.host, req.target)
    if route is None:
        return _refusal_if_current(
            is_current, "not_found", f"no route for {req.target.partition('?')[0]}"
        )
    if _may_outlast_stop(gw, route, req, now):
        return refusal("leaving", "this gateway is stopping", retry_after_s(gw))
    if table.keys is None:
        return Admitted(route, None)
    workspace = table.keys.get(req.key) if req.key else None
    if workspace is None and (req.key or not route.anonymous):
        return _refusal_if_current(
            is_current, "unauthorized", "unknown key" if req.key else "no key"
        )
    if workspace is not None and not gw.freshness.may_start(now):
        return stale_refusal()
    return Admitted(route, workspace)


def _may_outlast_stop(gw: Gateway, route: Route, req: CallerRequest, now: float) -> bool:
    """Whether a planned stop may end before the answer of a request."""
    if gw.refusal_scope == "all" or (gw.refusal_scope == "streams" and route.streams):
        return True
    if route.streams or not gw.draining:
        return False
    limit_s = min(req.deadline_s, route.timeout_s)
    return now + gw.call_times.expected_s(route.name, limit_s, now) > gw.stop_ends_at


def _is_config_current(gw: Gateway, now: float) -> bool:
    """Whether the configuration is known to include every change that must be in force by now.

    Without the limit on its age, a gateway that had lost its relay and the store refused a route
    with 404 for up to 4.7 s that had to be served after 2 s.
    """
    allowed_s = gw.cfg["timing"]["config_apply_ms"] / 1000
    return gw.freshness.is_fresh(now) and gw.freshness.age(now) < allowed_s


def find_route(table: RoutingTable, host: str, target: str) -> Route | None:
    """The route of a host with the longest matching path prefix."""
    path = target.partition("?")[0]
    for route in table.routes.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def _refusal_if_current(is_current: bool, code: str, message: str) -> Refusal:
    return refusal(code, message) if is_current else stale_refusal()


def stale_refusal() -> Refusal:
    """The refusal of a request while the configuration may be outdated: its key may be revoked."""
    return refusal("not_ready", "the configuration may not be the newest", STALE_RETRY_S)
