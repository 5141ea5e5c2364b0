"""Checks that no attempt goes to an upstream that its gateway knows to be gone."""

from __future__ import annotations

from typing import Final, NamedTuple

from ramppost.audit.events import (
    Attempted,
    Event,
    Presence,
    Started,
    UpstreamSeen,
    UpstreamsListed,
)
from ramppost.audit.findings import Check, Finding, Findings

GONE_SLACK_S: Final = 0.1
"""An attempt is logged as it ends; that it began is worked out to the millisecond, and its upstream
was chosen a moment before."""
NO_ENTRY_S: Final = 1.6
"""So long an upstream without an entry may be tried as the last resort."""
BACK_S: Final = 0.01
"""A process' lines are in order, so a time that is so much earlier means that its clock was set."""


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
