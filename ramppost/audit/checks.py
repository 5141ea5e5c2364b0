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
    Presence,
    Started,
    UpstreamSeen,
    UpstreamsListed,
)

GONE_SLACK_S: Final = 0.1
"""An attempt is logged as it ends; that it began is worked out to the millisecond, and its upstream
was chosen a moment before."""
NO_ENTRY_S: Final = 1.6
"""So long an upstream without an entry may be tried as the last resort."""
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
    """Since when an upstream is known to be as it is."""

    at: float
    service: str
    presence: Presence


class _Upstreams:
    """Upstreams as one process knows them, by its lines."""

    def __init__(self) -> None:
        self.set_back = False
        self._known: dict[str, _Known] = {}
        self._latest = float("-inf")
        self._listed_at = float("-inf")

    def at(self, now: float) -> None:
        """A line was written then."""
        if now < self._latest - BACK_S:
            self.set_back = True
        self._latest = now

    def listed(self, now: float) -> None:
        """All were listed.  The line does not tell which are there again, or gone."""
        self._known.clear()
        self._listed_at = now

    def saw(self, event: UpstreamSeen) -> None:
        """What is said again of one that leaves does not make it leave later, nor does the end of
        its entry make it one that may be there."""
        before = self._known.get(event.upstream)
        service = event.service
        if before is not None:
            out_already = before.presence == "out" and event.presence == "no entry"
            if before.presence == event.presence or out_already:
                return
            service = service or before.service
        self._known[event.upstream] = _Known(event.at, service, event.presence)

    def gone(self, event: Attempted) -> _Known | None:
        """Since when the upstream of an attempt was known to be gone; None where it was not."""
        seen = self._known.get(event.upstream)
        if seen is None or seen.presence == "there":
            return None
        return seen if event.began_at > seen.at + GONE_SLACK_S else None

    def was_last_resort(self, event: Attempted, seen: _Known) -> bool | None:
        """Whether an upstream without an entry was chosen among such ones alone, and in time;
        None where the lines do not tell."""
        if seen.presence == "out" or event.began_at > seen.at + NO_ENTRY_S + GONE_SLACK_S:
            return False
        if event.candidates is None:
            return None
        without = sum(
            known.presence == "no entry" and known.service in (seen.service, "")
            for known in self._known.values()
        )
        if event.candidates <= without:
            return True
        return None if self._listed_at > event.began_at - NO_ENTRY_S else False


def gone_check() -> Check:
    """No attempt goes to an upstream that its gateway knows to leave or to be gone.

    One whose entry is gone may be there still, for an outage of the store's takes entries away,
    too.  So it may be tried for a while, among others of its kind, where its service has no other.
    """
    name = "departed"
    programs: dict[str, _Upstreams] = {}

    def take(event: Event) -> Findings:
        if isinstance(event, Started):
            programs.pop(event.program, None)
        upstreams = programs.setdefault(event.program, _Upstreams())
        upstreams.at(event.at)
        if isinstance(event, UpstreamsListed):
            upstreams.listed(event.at)
        elif isinstance(event, UpstreamSeen):
            upstreams.saw(event)
        elif isinstance(event, Attempted):
            yield from attempt(upstreams, event)

    def attempt(upstreams: _Upstreams, event: Attempted) -> Findings:
        seen = upstreams.gone(event)
        # What did not leave went nowhere.
        if seen is None or event.fate == "not sent":
            return
        last_resort = upstreams.was_last_resort(event, seen)
        if last_resort:
            return
        where = (event.program, event.at, event.request)
        since_s = event.began_at - seen.at
        what = f"sent to {event.upstream} {since_s:.2f} s after that was known to leave or be gone"
        if upstreams.set_back:
            yield Finding(name, "undecided", *where, f"{what}, by a clock that was set back")
        elif last_resort is None:
            yield Finding(name, "undecided", *where, f"{what}, perhaps as the last resort")
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
