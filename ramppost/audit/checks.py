"""Promises, each checked by its own over events of gateways.

Events of one process come in the order in which it wrote them; those of several may come in any
order.  A check tells what was broken, and what can't be decided from these lines and why.  It
remembers requests while they are open.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final, Literal, NamedTuple

from ramppost.audit.events import (
    Attempted,
    ConfigInForce,
    Ended,
    Event,
    FatalKnown,
    Started,
    UpstreamSeen,
    UpstreamsListed,
)

GONE_SLACK_S: Final = 0.1
"""An attempt is logged as it ends; that it began is worked out to the millisecond, and its upstream
was chosen a moment before."""
ENDED_KEPT: Final = 200_000
"""Requests that are remembered as ended: some minutes of hundreds of gateways."""
BACK_S: Final = 0.01
"""A process' lines are in order, so a time that is so much earlier means that its clock was set."""


class Finding(NamedTuple):
    """A promise that was broken, or can't be decided, at a process and a time of its clock."""

    check: str
    verdict: Literal["broken", "undecided"]
    program: str
    at: float
    request: str
    what: str


Findings = Iterable[Finding]


class Check(NamedTuple):
    """What it checks, in a line; what it does with an event, and with the end of all."""

    name: str
    promise: str
    take: Callable[[Event], Findings]
    end: Callable[[], Findings]


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


class _Known(NamedTuple):
    """Since when an upstream is known to be usable, or not to be."""

    at: float
    usable: bool


def gone_check() -> Check:
    """No attempt goes to an upstream that its gateway knows to leave or to be gone."""
    name = "departed"
    known: dict[str, dict[str, _Known]] = {}
    latest: dict[str, float] = {}
    set_back: set[str] = set()

    def take(event: Event) -> Findings:
        if isinstance(event, Started):
            for kept in (known, latest):
                kept.pop(event.program, None)
            set_back.discard(event.program)
        if event.at < latest.get(event.program, event.at) - BACK_S:
            set_back.add(event.program)
        latest[event.program] = event.at
        if isinstance(event, UpstreamsListed):
            # The line does not tell which are there again.
            known.pop(event.program, None)
        elif isinstance(event, UpstreamSeen):
            seen = known.setdefault(event.program, {})
            before = seen.get(event.upstream)
            # What is said again of one that leaves does not make it leave later.
            if before is None or before.usable != event.usable:
                seen[event.upstream] = _Known(event.at, event.usable)
        elif isinstance(event, Attempted):
            yield from attempt(event)

    def attempt(event: Attempted) -> Findings:
        # What did not leave went nowhere: one whose entry has lapsed is tried as a last resort.
        if event.fate == "not sent":
            return
        seen = known.get(event.program, {}).get(event.upstream)
        if seen is None or seen.usable or event.began_at <= seen.at + GONE_SLACK_S:
            return
        where = (event.program, event.at, event.request)
        since_s = event.began_at - seen.at
        what = f"sent to {event.upstream} {since_s:.2f} s after that was known to leave or be gone"
        if event.program in set_back:
            yield Finding(name, "undecided", *where, f"{what}, by a clock that was set back")
        else:
            yield Finding(name, "broken", *where, what)

    promise = "no attempt goes to an upstream that is known to leave or to be gone"
    return Check(name, promise, take, lambda: ())


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


def all_checks() -> list[Check]:
    """Each check, new."""
    return [config_check(), end_check(), gone_check(), fatal_check()]
