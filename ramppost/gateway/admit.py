"""Which route and workspace a request belongs to, or why it is refused."""

from __future__ import annotations

from typing import Final, NamedTuple

from ramppost import clock
from ramppost.errors import Refusal, refusal
from ramppost.gateway.departures import retry_after_s
from ramppost.gateway.model import CallerRequest, Route, RoutingTable, Workspace
from ramppost.gateway.state import Gateway

STALE_RETRY_S: Final = 0.5
"""Another gateway may still reach the store, and this one tries twice a second."""


class Admitted(NamedTuple):
    """A request's route, and its workspace where it gave a key that is in force."""

    route: Route
    workspace: Workspace | None


def admit(gw: Gateway, req: CallerRequest) -> Admitted | Refusal:
    """Find the route and check the key by the configuration in force.

    While that may no longer be the newest, nothing is refused for good by it: a route
    or key that it lacks may have been added since.
    """
    table = gw.table
    if table is None or not (gw.members_listed and gw.evacuations_known):
        return refusal("not_ready", "no configuration yet", STALE_RETRY_S)
    now = clock.now()
    fresh = _is_in_force(gw, now)
    route = find_route(table, req.host, req.target)
    if route is None:
        return _final(fresh, "not_found", f"no route for {req.target.partition('?')[0]}")
    if gw.refusal_scope == "all" or (gw.refusal_scope == "streams" and route.streams):
        return refusal("leaving", "this gateway is stopping", retry_after_s(gw))
    if table.keys is None:
        return Admitted(route, None)
    workspace = table.keys.get(req.key) if req.key else None
    if workspace is None and not route.anonymous:
        return _final(fresh, "unauthorized", "unknown key" if req.key else "no key")
    if workspace is not None and not gw.freshness.may_start(now):
        return stale_refusal()
    return Admitted(route, workspace)


def _is_in_force(gw: Gateway, now: float) -> bool:
    """Whether the configuration here is known to hold all that must be in force by now.

    Without the second bound a route that had to be served after 2 s was refused with 404 for
    up to 4.7 s by a gateway that had lost its relay and the store.
    """
    allowed_s = gw.cfg["timing"]["config_apply_ms"] / 1000
    return gw.freshness.is_fresh(now) and gw.freshness.age(now) < allowed_s


def find_route(table: RoutingTable, host: str, target: str) -> Route | None:
    """The route of a host with the longest prefix of the path."""
    path = target.partition("?")[0]
    for route in table.routes.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def _final(fresh: bool, code: str, message: str) -> Refusal:
    return refusal(code, message) if fresh else stale_refusal()


def stale_refusal() -> Refusal:
    """The refusal of a request with a key that may have been taken away meanwhile."""
    return refusal("not_ready", "the configuration may not be the newest", STALE_RETRY_S)
