"""Checks that no roll-out moves a session in progress, over all gateways.

A session's requests may be served by any gateway, so lines of several processes are compared, by
their clocks.  What is kept are the requests of sessions while a roll-out of their service is under
way, and the last one of each session at each process before that.
"""

from __future__ import annotations

import itertools
from collections import defaultdict
from typing import Final, NamedTuple

from ramppost.audit.events import (
    AttemptEnded,
    Event,
    ProcessStarted,
    RequestEnded,
    RolloutSeen,
)
from ramppost.audit.findings import Check, Finding, Findings
from ramppost.bounded import drop_oldest

FIRST_HALF: Final = 0.5
"""Fraction of a roll-out's time in which a session in progress is not moved to the new version."""
RAN: Final = ("answered", "unknown")
MAX_REQUESTS: Final = 200_000
"""Requests that are kept, of each kind."""

SessionName = tuple[str, str]
"""A service, and the hash that names a session in log lines."""


class _Request(NamedTuple):
    """A request of a session, with the version of its last attempt that may have run.

    `rollout` is the version that was being rolled out, empty if none was, and `fraction` the part
    of its time that had passed.
    """

    program: str
    id: str
    started_at: float
    ended_at: float
    version: str
    rollout: str
    fraction: float


class _Requests:
    """The requests that are compared, by session."""

    def __init__(self) -> None:
        self.during: dict[tuple[SessionName, str, str], _Request] = {}
        self._before: dict[tuple[SessionName, str], _Request] = {}

    def add(self, session: SessionName, request: _Request) -> None:
        """Add a request that has ended."""
        if not request.rollout:
            self._before.pop((session, request.program), None)
            self._before[session, request.program] = request
            drop_oldest(self._before, MAX_REQUESTS)
            return
        before = self._before.pop((session, request.program), None)
        for kept in (before, request):
            if kept is not None:
                self.during[session, kept.program, kept.id] = kept
        drop_oldest(self.during, MAX_REQUESTS)

    def by_session(self) -> dict[SessionName, list[_Request]]:
        """The requests of sessions that had any during a roll-out, by the time of their start."""
        found: dict[SessionName, list[_Request]] = defaultdict(list)
        for (session, _, _), request in self.during.items():
            found[session].append(request)
        for (session, _), request in self._before.items():
            if session in found:
                found[session].append(request)
        return {name: sorted(found[name], key=lambda r: r.started_at) for name in sorted(found)}


def session_check(max_clock_skew_s: float) -> Check:
    """Returns the check that a session in progress is not moved to a version in the first half of
    its roll-out, nor back from it unless it was rolled back."""
    name = "sessions"
    open_attempts: dict[tuple[str, str], AttemptEnded] = {}
    requests = _Requests()
    rolled_back: set[tuple[str, str]] = set()
    session_s = float("inf")

    def handle_event(event: Event) -> Findings:
        nonlocal session_s
        if isinstance(event, ProcessStarted) and event.session_s is not None:
            session_s = min(session_s, event.session_s)
        elif isinstance(event, RolloutSeen) and event.state == "rolled_back":
            rolled_back.add((event.service, event.version))
        elif isinstance(event, AttemptEnded) and event.session and event.outcome in RAN:
            open_attempts[event.program, event.request] = event
            drop_oldest(open_attempts, MAX_REQUESTS)
        elif isinstance(event, RequestEnded):
            attempt = open_attempts.pop((event.program, event.request), None)
            if attempt is not None:
                requests.add((attempt.service, attempt.session), _request(attempt, event.at))
        return ()

    def finish() -> Findings:
        if session_s == float("inf"):
            return
        for (service, _), found in requests.by_session().items():
            for before, after in itertools.pairwise(found):
                if _is_move(before, after) and (service, after.rollout) not in rolled_back:
                    yield from judge(before, after)

    def judge(before: _Request, after: _Request) -> Findings:
        skew_s = 0.0 if before.program == after.program else max_clock_skew_s
        gap_s = after.started_at - before.ended_at
        if gap_s < -skew_s or gap_s >= session_s + skew_s:
            return
        decided = skew_s <= gap_s < session_s - skew_s
        what = (
            f"on {after.version} {gap_s:.2f} s after {before.id} on {before.version} "
            f"at {before.program}, at {after.fraction:.2f} of the roll-out to {after.rollout}"
        )
        origin = (after.program, after.started_at, after.id)
        yield Finding(name, "broken" if decided else "undecided", *origin, what)

    promise = "a roll-out moves no session in progress in its first half, and none back"
    return Check(name, promise, handle_event, finish)


def _request(attempt: AttemptEnded, ended_at: float) -> _Request:
    return _Request(
        attempt.program,
        attempt.request,
        attempt.started_at,
        ended_at,
        attempt.version,
        attempt.rollout,
        attempt.rollout_fraction,
    )


def _is_move(before: _Request, after: _Request) -> bool:
    """Whether the later request is on a version that its session must not have been moved to."""
    if not after.rollout or before.version == after.version:
        return False
    if after.version == after.rollout:
        return after.fraction < FIRST_HALF
    return before.version == after.rollout
