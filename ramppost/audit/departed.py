"""Checks that no attempt is sent to an upstream that its gateway knows to be gone."""

from __future__ import annotations

from typing import Final, NamedTuple

from ramppost.audit.events import (
    AttemptEnded,
    Event,
    Presence,
    ProcessStarted,
    UpstreamSeen,
    UpstreamsListed,
)
from ramppost.audit.findings import Check, Finding, Findings

TIMING_TOLERANCE_S: Final = 0.1
"""An attempt is logged when it ends.  Its start is computed from the duration, to the millisecond,
and its upstream was chosen a moment before that."""
NO_ENTRY_USE_S: Final = 1.6
"""How long an upstream without an entry may be used as a last resort."""
CLOCK_SET_BACK_S: Final = 0.01
"""The lines of a process are in order, so a time that is earlier than the one before by more than
this means that the clock was set back."""


class _UpstreamState(NamedTuple):
    """The state of an upstream, and the time since which it is known."""

    since: float
    service: str
    presence: Presence


class _Upstreams:
    """The upstreams known to one process, according to its log."""

    def __init__(self) -> None:
        self.clock_set_back = False
        self._states: dict[str, _UpstreamState] = {}
        self._latest = float("-inf")
        self._listed_at = float("-inf")

    def record_time(self, at: float) -> None:
        """Records the time of a log line, to detect a clock that was set back."""
        if at < self._latest - CLOCK_SET_BACK_S:
            self.clock_set_back = True
        self._latest = at

    def reset(self, at: float) -> None:
        """Discards all states after a full listing, whose line does not say what has changed."""
        self._states.clear()
        self._listed_at = at

    def record_state(self, event: UpstreamSeen) -> None:
        """Records the state of an upstream.

        A repeated state keeps the time of the first.  An upstream that is leaving stays so when its
        entry is removed.
        """
        previous = self._states.get(event.upstream)
        service = event.service
        if previous is not None:
            already_out = previous.presence == "out" and event.presence == "no entry"
            if previous.presence == event.presence or already_out:
                return
            service = service or previous.service
        self._states[event.upstream] = _UpstreamState(event.at, service, event.presence)

    def gone_state(self, event: AttemptEnded) -> _UpstreamState | None:
        """Returns the state of the attempt's upstream if it was known to be gone at the start."""
        state = self._states.get(event.upstream)
        if state is None or state.presence == "there":
            return None
        return state if event.started_at > state.since + TIMING_TOLERANCE_S else None

    def was_last_resort(self, event: AttemptEnded, state: _UpstreamState) -> bool | None:
        """Returns whether all candidates of the attempt lacked an entry, and the one chosen had
        lacked it for no longer than allowed; None if the lines do not say."""
        if (
            state.presence == "out"
            or event.started_at > state.since + NO_ENTRY_USE_S + TIMING_TOLERANCE_S
        ):
            return False
        if event.candidates is None:
            return None
        without_entry = sum(
            other.presence == "no entry" and other.service in (state.service, "")
            for other in self._states.values()
        )
        if event.candidates <= without_entry:
            return True
        return None if self._listed_at > event.started_at - NO_ENTRY_USE_S else False


def departed_check() -> Check:
    """Returns the check that no attempt is sent to an upstream known to be leaving or gone.

    An upstream whose entry is gone may still be running, because an outage of the store removes
    entries too.  It may therefore be tried for a while, along with others without an entry, if its
    service has no other upstream.
    """
    name = "departed"
    programs: dict[str, _Upstreams] = {}

    def handle_event(event: Event) -> Findings:
        if isinstance(event, ProcessStarted):
            programs.pop(event.program, None)
        upstreams = programs.setdefault(event.program, _Upstreams())
        upstreams.record_time(event.at)
        if isinstance(event, UpstreamsListed):
            upstreams.reset(event.at)
        elif isinstance(event, UpstreamSeen):
            upstreams.record_state(event)
        elif isinstance(event, AttemptEnded):
            yield from check_attempt(upstreams, event)

    def check_attempt(upstreams: _Upstreams, event: AttemptEnded) -> Findings:
        state = upstreams.gone_state(event)
        # An attempt that was not sent has reached no upstream.
        if state is None or event.outcome == "not sent":
            return
        last_resort = upstreams.was_last_resort(event, state)
        if last_resort:
            return
        origin = (event.program, event.at, event.request)
        delay_s = event.started_at - state.since
        what = f"sent to {event.upstream} {delay_s:.2f} s after it was known to be leaving or gone"
        if upstreams.clock_set_back:
            yield Finding(name, "undecided", *origin, f"{what}, by a clock that was set back")
        elif last_resort is None:
            yield Finding(name, "undecided", *origin, f"{what}, perhaps as the last resort")
        else:
            yield Finding(name, "broken", *origin, what)

    promise = "no attempt goes to an upstream that is known to leave or to be gone"
    return Check(name, promise, handle_event, lambda: ())
