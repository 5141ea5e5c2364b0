"""Checks that no gateway considers a configuration the newest while a newer one is in force.

A confirmation is dated by the time at which the gateway requested it.  Any configuration that
another gateway had in force before that time had already been written, so the confirmation must
have returned it.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from ramppost.audit.events import ConfigInForce, Event, ProcessStarted, RequestEnded
from ramppost.audit.findings import Check, Finding, Findings

DEFAULT_MAX_CLOCK_SKEW_S: Final = 5.0
"""Default for the largest difference between the clocks of two boxes."""
LOG_PRECISION_S: Final = 0.01
"""Ages are logged in whole milliseconds, and a line is written a moment after its event."""


class _Confirmation(NamedTuple):
    """The end of a request served by a configuration known to be the newest as of a time."""

    confirmed_at: float
    confirmed_config: ConfigInForce
    request: RequestEnded


class _FirstUse(NamedTuple):
    """The first time a configuration was in force at any process, by their clocks."""

    at: float
    config: ConfigInForce


def confirmed_check(max_clock_skew_s: float = DEFAULT_MAX_CLOCK_SKEW_S) -> Check:
    """Returns the check that no process considers a configuration the newest after a newer one was
    in force elsewhere; `max_clock_skew_s` is the largest assumed difference between clocks.

    Only the latest confirmation of each process and configuration is kept: if it is correct, so
    are all earlier ones.
    """
    name = "confirmed"
    in_force: dict[str, ConfigInForce] = {}
    first_uses: dict[int, _FirstUse] = {}
    confirmations: dict[tuple[str, int], _Confirmation] = {}

    def handle_event(event: Event) -> Findings:
        if isinstance(event, ProcessStarted):
            in_force.pop(event.program, None)
        elif isinstance(event, ConfigInForce):
            in_force[event.program] = event
            if event.version not in first_uses or event.at < first_uses[event.version].at:
                first_uses[event.version] = _FirstUse(event.at, event)
        elif isinstance(event, RequestEnded):
            record_confirmation(event)
        return ()

    def record_confirmation(event: RequestEnded) -> None:
        config = in_force.get(event.program)
        if config is None or event.confirmed_at is None:
            return
        key = (event.program, config.version)
        if key not in confirmations or event.confirmed_at > confirmations[key].confirmed_at:
            confirmations[key] = _Confirmation(event.confirmed_at, config, event)

    def finish() -> Findings:
        newer_uses = _earliest_newer_uses(first_uses)
        for latest in confirmations.values():
            newer = newer_uses.get(latest.confirmed_config.version)
            if newer is not None and latest.confirmed_at > newer.at + LOG_PRECISION_S:
                yield _finding(name, latest, newer, max_clock_skew_s)

    promise = "no process knows a configuration to be the newest after a newer one was in force"
    return Check(name, promise, handle_event, finish)


def _earliest_newer_uses(first_uses: dict[int, _FirstUse]) -> dict[int, _FirstUse]:
    """Maps each version to the earliest use of any newer one."""
    newer_uses: dict[int, _FirstUse] = {}
    earliest: _FirstUse | None = None
    for version in sorted(first_uses, reverse=True):
        if earliest is not None:
            newer_uses[version] = earliest
        if earliest is None or first_uses[version].at < earliest.at:
            earliest = first_uses[version]
    return newer_uses


def _finding(
    name: str, confirmation: _Confirmation, newer: _FirstUse, max_clock_skew_s: float
) -> Finding:
    delay_s = confirmation.confirmed_at - newer.at
    what = (
        f"version {confirmation.confirmed_config.version} was confirmed {delay_s:.2f} s after "
        f"version {newer.config.version} was in force at {newer.config.program}"
    )
    origin = (confirmation.request.program, confirmation.request.at, confirmation.request.request)
    if delay_s > max_clock_skew_s:
        return Finding(name, "broken", *origin, what)
    caveat = f"by clocks that may be {max_clock_skew_s:g} s apart"
    return Finding(name, "undecided", *origin, f"{what}, {caveat}")
