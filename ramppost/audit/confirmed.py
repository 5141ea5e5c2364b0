"""Checks that no gateway takes a configuration for the newest while a newer one is in force.

A gateway dates its confirmation by when it was asked for.  What another had in force before that
had been written before, so a confirmation must have shown it.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from ramppost.audit.events import ConfigInForce, Ended, Event, Started
from ramppost.audit.findings import Check, Finding, Findings

DEFAULT_MAX_CLOCK_SKEW_S: Final = 5.0
"""How far the clocks of boxes may be apart, unless operators know better."""
ROUNDED_S: Final = 0.01
"""An age is told in whole milliseconds, and a line is written a moment after what it tells."""


class _Claim(NamedTuple):
    """A request was served by a configuration that was known to be the newest as of a time."""

    confirmed_at: float
    by: ConfigInForce
    ended: Ended


class _First(NamedTuple):
    """A configuration, and who had it in force first, by the clocks."""

    at: float
    config: ConfigInForce


def confirmed_check(max_clock_skew_s: float = DEFAULT_MAX_CLOCK_SKEW_S) -> Check:
    """No process knows a configuration to be the newest when a newer one has been in force
    elsewhere; `max_clock_skew_s` is how far clocks may be apart.

    Of a process and a configuration the latest confirmation is remembered: if that is sound, so are
    those before.
    """
    name = "confirmed"
    in_force: dict[str, ConfigInForce] = {}
    first: dict[int, _First] = {}
    claims: dict[tuple[str, int], _Claim] = {}

    def take(event: Event) -> Findings:
        if isinstance(event, Started):
            in_force.pop(event.program, None)
        elif isinstance(event, ConfigInForce):
            in_force[event.program] = event
            if event.revision not in first or event.at < first[event.revision].at:
                first[event.revision] = _First(event.at, event)
        elif isinstance(event, Ended):
            claim(event)
        return ()

    def claim(event: Ended) -> None:
        by = in_force.get(event.program)
        if by is None or event.confirmed_at is None:
            return
        key = (event.program, by.revision)
        if key not in claims or event.confirmed_at > claims[key].confirmed_at:
            claims[key] = _Claim(event.confirmed_at, by, event)

    def end() -> Findings:
        newer = _earliest_newer(first)
        for latest in claims.values():
            found = newer.get(latest.by.revision)
            if found is not None and latest.confirmed_at > found.at + ROUNDED_S:
                yield _finding(name, latest, found, max_clock_skew_s)

    promise = "no process knows a configuration to be the newest after a newer one was in force"
    return Check(name, promise, take, end)


def _earliest_newer(first: dict[int, _First]) -> dict[int, _First]:
    """For each revision the newer one that was in force first."""
    found: dict[int, _First] = {}
    earliest: _First | None = None
    for revision in sorted(first, reverse=True):
        if earliest is not None:
            found[revision] = earliest
        if earliest is None or first[revision].at < earliest.at:
            earliest = first[revision]
    return found


def _finding(name: str, claim: _Claim, newer: _First, max_clock_skew_s: float) -> Finding:
    since_s = claim.confirmed_at - newer.at
    what = (
        f"version {claim.by.version} was confirmed {since_s:.2f} s after version "
        f"{newer.config.version} was in force at {newer.config.program}"
    )
    where = (claim.ended.program, claim.ended.at, claim.ended.request)
    if since_s > max_clock_skew_s:
        return Finding(name, "broken", *where, what)
    apart = f"by clocks that may be {max_clock_skew_s:g} s apart"
    return Finding(name, "undecided", *where, f"{what}, {apart}")
