"""Checks that a gateway sends no attempt to a data hall whose evacuation it has logged."""

from __future__ import annotations

from ramppost.audit.departed import CLOCK_SET_BACK_S, TIMING_TOLERANCE_S
from ramppost.audit.events import AttemptEnded, Event, HallEvacuation, ProcessStarted
from ramppost.audit.findings import Check, Finding, Findings


class _EvacuatedHalls:
    """Evacuated data halls known to one process, according to its log."""

    def __init__(self) -> None:
        self.evacuated_at: dict[str, float] = {}
        self.clock_set_back = False
        self._latest = float("-inf")

    def record_time(self, at: float) -> None:
        """Records the time of a log line, to detect a clock that was set back."""
        if at < self._latest - CLOCK_SET_BACK_S:
            self.clock_set_back = True
        self._latest = at


def evacuation_check() -> Check:
    """Returns the check of attempts against the evacuations that their process has logged.

    Attempts that were not sent are ignored.  Repeated starts keep the time of the first.
    """
    name = "evacuated"
    programs: dict[str, _EvacuatedHalls] = {}

    def handle_event(event: Event) -> Findings:
        if isinstance(event, ProcessStarted):
            programs.pop(event.program, None)
        halls = programs.setdefault(event.program, _EvacuatedHalls())
        halls.record_time(event.at)
        if isinstance(event, HallEvacuation):
            if event.evacuated:
                halls.evacuated_at.setdefault(event.hall, event.at)
            else:
                halls.evacuated_at.pop(event.hall, None)
        elif isinstance(event, AttemptEnded):
            yield from check_attempt(halls, event)

    def check_attempt(halls: _EvacuatedHalls, event: AttemptEnded) -> Findings:
        evacuated_at = halls.evacuated_at.get(event.hall)
        if (
            evacuated_at is None
            or event.outcome == "not sent"
            or event.started_at <= evacuated_at + TIMING_TOLERANCE_S
        ):
            return
        origin = (event.program, event.at, event.request)
        delay_s = event.started_at - evacuated_at
        what = f"sent to {event.upstream} {delay_s:.2f} s after {event.hall} was evacuated"
        if halls.clock_set_back:
            yield Finding(name, "undecided", *origin, f"{what}, by a clock that was set back")
        else:
            yield Finding(name, "broken", *origin, what)

    promise = "no attempt goes to a data hall that is known to be evacuated"
    return Check(name, promise, handle_event, lambda: ())
