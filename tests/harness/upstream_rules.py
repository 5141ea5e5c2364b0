"""What gateways owe to an upstream that tells them of itself, checked from what arrived there."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Final, NamedTuple

Arrivals = list[dict[str, Any]]
"""As the stand-in tells them at `/_arrivals`."""

LIMIT_WINDOW_S: Final = 4.0
LIMIT_FACTOR: Final = 1.5
LIMIT_EXTRA: Final = 5
MAX_DURING_REST: Final = 2
PASSING_S: Final = 0.5
"""From an answer that tells a gateway something until it must act on it."""


class Excuse(NamedTuple):
    """A gateway that was killed, stopped, suspended or cut off, by its address; times of day."""

    gateway: str
    since: float
    until: float


def over_limit(arrivals: Arrivals, excuses: Iterable[Excuse] = ()) -> list[str]:
    """Spans of 4 s in which an upstream got more than 1.5 times what its limit allows, and 5, from
    gateways that it had told by half a second before.

    Where the limit changes within such a span, the highest counts.  A gateway counts again after an
    excuse once it was told anew.
    """
    found = []
    by_start: dict[tuple[str, int], Arrivals] = {}
    for arrival in arrivals:
        by_start.setdefault((arrival["upstream"], arrival["born"]), []).append(arrival)
    for (upstream, _), here in by_start.items():
        counted = _from_told_gateways(sorted(here, key=lambda a: float(a["at"])), list(excuses))
        most = max((_excess(counted, i) for i in range(len(counted))), default=(0.0, 0, 0.0))
        if most[0] > 0:
            found.append(
                f"{upstream}: {most[1]} requests in {LIMIT_WINDOW_S:g} s, limit {most[2]:g}/s"
            )
    return found


def after_leaving(arrivals: Arrivals, leave_s: float, excuses: Iterable[Excuse] = ()) -> list[str]:
    """Requests that an upstream got from a gateway more than `leave_s`, and half a second, after it
    had answered that gateway that it is leaving."""
    found = []
    telling = [a for a in arrivals if a["told_leaving"] and a["answered_at"]]
    for arrival in arrivals:
        told = [
            before
            for before in telling
            if _same_start(before, arrival)
            and _holds(before, arrival, leave_s + PASSING_S, list(excuses))
        ]
        if told and not arrival["mistaken"]:
            late_s = arrival["at"] - min(before["answered_at"] for before in told)
            found.append(f"{arrival['upstream']}: sent {arrival['attempt_id']} {late_s:.2f} s late")
    return found


def during_rest(arrivals: Arrivals, excuses: Iterable[Excuse] = ()) -> list[str]:
    """Gateways that sent an upstream more than two requests between half a second after it had
    asked them for rest and the end of that time."""
    found = []
    for before in arrivals:
        if not before["told_rest_s"] or not before["answered_at"]:
            continue
        ends_at = before["answered_at"] + before["told_rest_s"]
        sent = [
            arrival
            for arrival in arrivals
            if before["answered_at"] < arrival["at"] < ends_at
            and _same_start(before, arrival)
            and _holds(before, arrival, PASSING_S, list(excuses))
        ]
        if len(sent) > MAX_DURING_REST:
            found.append(f"{before['upstream']}: {len(sent)} requests from {before['gateway']}")
    return sorted(set(found))


def _excess(counted: Arrivals, first: int) -> tuple[float, int, float]:
    """What arrived beyond what is allowed in the span that begins with an arrival, how many
    requests arrived, and the limit."""
    began = counted[first]["at"]
    span = [a for a in counted[first:] if a["at"] < began + LIMIT_WINDOW_S]
    limit = max(a["limit_per_s"] for a in span)
    allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * limit + LIMIT_EXTRA
    return len(span) - allowed, len(span), limit


def _from_told_gateways(here: Arrivals, excuses: list[Excuse]) -> Arrivals:
    """Arrivals under a limit from gateways that were told of a limit in force without a break
    since."""
    counted = []
    for i, arrival in enumerate(here):
        if not arrival["limited"]:
            continue
        episode = _episode(here, i)
        if any(_told(before, arrival, excuses) for before in episode):
            counted.append(arrival)
    return counted


def _episode(here: Arrivals, i: int) -> Arrivals:
    """The arrivals before one, back to where the upstream began to limit its rate."""
    begin = i
    while begin > 0 and here[begin - 1]["limited"]:
        begin -= 1
    return here[begin:i]


def _told(before: dict[str, Any], arrival: dict[str, Any], excuses: list[Excuse]) -> bool:
    if not before["told_limit"] or not before["answered_at"]:
        return False
    return _holds(before, arrival, PASSING_S, excuses)


def _same_start(one: dict[str, Any], other: dict[str, Any]) -> bool:
    return (one["upstream"], one["born"]) == (other["upstream"], other["born"])


def _holds(
    before: dict[str, Any], arrival: dict[str, Any], after_s: float, excuses: list[Excuse]
) -> bool:
    """Whether an answer had told the gateway of an arrival something so long before, and nothing
    excuses the gateway since."""
    told_at = before["answered_at"]
    if before["gateway"] != arrival["gateway"] or told_at > arrival["at"] - after_s:
        return False
    return not any(
        excuse.gateway == arrival["gateway"]
        and excuse.since <= arrival["at"]
        and excuse.until >= told_at
        for excuse in excuses
    )
