"""Promises, each checked by its own over events of gateways.

Events of one process come in the order in which it wrote them; those of several may come in any
order.  A check tells what was broken, and what can't be decided from these lines and why.  It
remembers requests while they are open.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from ramppost.audit.confirmed import confirmed_check
from ramppost.audit.departed import GONE_SLACK_S, gone_check
from ramppost.audit.evacuated import evacuation_check
from ramppost.audit.events import (
    Attempted,
    ConfigInForce,
    Ended,
    Event,
    FatalKnown,
    Started,
)
from ramppost.audit.findings import Check, Finding, Findings

ENDED_KEPT: Final = 200_000
"""Requests that are remembered as ended: some minutes of hundreds of gateways."""


def config_check() -> Check:
    """A process never goes back to an older configuration."""
    name = "configuration"
    held: dict[str, ConfigInForce] = {}

    def take(event: Event) -> Findings:
        if isinstance(event, Started):
            held.pop(event.program, None)
        if not isinstance(event, ConfigInForce):
            return
        last = held.get(event.program)
        held[event.program] = event
        # The line of a start may be lost; the first configuration after it has none before.
        if last is None or event.before is None:
            return
        where = (event.program, event.at, "")
        if event.revision <= last.revision:
            what = f"revision {event.revision} in force after {last.revision}"
            yield Finding(name, "broken", *where, what)
        elif event.before != last.version:
            what = f"version {event.before} was in force in between: lines are missing"
            yield Finding(name, "undecided", *where, what)

    promise = "a process never puts an older configuration in force"
    return Check(name, promise, take, lambda: ())


class _Open(NamedTuple):
    """A request that has no end yet, and what became of its attempts."""

    last: Attempted
    fates: tuple[str, ...]


def end_check() -> Check:
    """A request has one end, and none that says "not run" after an attempt that may have run."""
    name = "one end"
    open_requests: dict[tuple[str, str], _Open] = {}
    ended: dict[str, str] = {}

    def take(event: Event) -> Findings:
        if isinstance(event, Started):
            yield from lost(event.program)
        elif isinstance(event, Attempted):
            key = (event.program, event.request)
            before = open_requests[key].fates if key in open_requests else ()
            open_requests[key] = _Open(event, (*before, event.fate))
        elif isinstance(event, Ended):
            yield from end_of(event)

    def end_of(event: Ended) -> Findings:
        found = open_requests.pop((event.program, event.request), None)
        fates = found.fates if found is not None else ()
        where = (event.program, event.at, event.request)
        if event.request in ended:
            yield Finding(name, "broken", *where, f"an end at {ended[event.request]} before")
            return
        ended[event.request] = event.program
        if len(ended) > ENDED_KEPT:
            del ended[next(iter(ended))]
        if event.attempts is not None and event.attempts > len(fates):
            what = f"{len(fates)} of {event.attempts} attempts are in the logs"
            yield Finding(name, "undecided", *where, what)
        if event.ran != "no":
            return
        if "answered" in fates or "unknown" in fates:
            yield Finding(name, "broken", *where, f"told not run; attempts: {', '.join(fates)}")
        elif "cancelled" in fates:
            what = "told not run; an attempt was given up, before or after it was sent"
            yield Finding(name, "undecided", *where, what)

    def lost(program: str) -> Findings:
        for key in [key for key in open_requests if key[0] == program]:
            last = open_requests.pop(key).last
            what = "no end in the logs: its process ended, or lines are missing"
            yield Finding(name, "undecided", program, last.at, last.request, what)

    def end() -> Findings:
        for program in sorted({program for program, _ in open_requests}):
            yield from lost(program)

    promise = 'a request has one end, which says "not run" only where nothing may have run'
    return Check(name, promise, take, end)


def fatal_check() -> Check:
    """No attempt is made of a request that its gateway knows to end upstreams."""
    name = "fatal"
    known: dict[str, dict[str, float]] = {}

    def take(event: Event) -> Findings:
        if isinstance(event, Started):
            known.pop(event.program, None)
        elif isinstance(event, FatalKnown):
            learn(event)
        elif isinstance(event, Attempted):
            yield from attempt(event)

    def learn(event: FatalKnown) -> None:
        held = known.setdefault(event.program, {})
        if event.fatal:
            held.setdefault(event.fingerprint, event.at)
        elif event.fingerprint:
            held.pop(event.fingerprint, None)
        else:
            held.clear()

    def attempt(event: Attempted) -> Findings:
        since = known.get(event.program, {}).get(event.fingerprint)
        if since is None or event.began_at <= since + GONE_SLACK_S:
            return
        since_s = event.began_at - since
        what = f"sent to {event.upstream} {since_s:.2f} s after it was known to be fatal"
        yield Finding(name, "broken", event.program, event.at, event.request, what)

    promise = "no attempt is made of a request that is known to end upstreams"
    return Check(name, promise, take, lambda: ())


def all_checks(max_clock_skew_s: float) -> list[Check]:
    """Each check, new; `max_clock_skew_s` is how far the clocks of boxes may be apart."""
    return [
        config_check(),
        confirmed_check(max_clock_skew_s),
        end_check(),
        gone_check(),
        evacuation_check(),
        fatal_check(),
    ]
