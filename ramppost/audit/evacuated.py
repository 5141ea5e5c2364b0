"""Checks that a gateway sends no attempt to a data hall whose evacuation it has logged."""

from __future__ import annotations

from ramppost.audit.departed import BACK_S, GONE_SLACK_S
from ramppost.audit.events import Attempted, Event, HallEvacuation, Started
from ramppost.audit.findings import Check, Finding, Findings


class _EvacuatedHalls:
    """Evacuated data halls known to one process, according to its log."""

    def __init__(self) -> None:
        self.evacuated_at: dict[str, float] = {}
        self.set_back = False
        self._latest = float("-inf")

    def at(self, now: float) -> None:
        """Records the time of a log line, to detect a clock that was set back."""
        if now < self._latest - BACK_S:
            self.set_back = True
        self._latest = now


def evacuation_check() -> Check:
    """Returns the check of attempts against the evacuations that their process has logged.

    Attempts that were not sent are ignored.  Repeated starts keep the time of the first.
    """
    name = "evacuated"
    programs: dict[str, _EvacuatedHalls] = {}

    def take(event: Event) -> Findings:
        if isinstance(event, Started):
            programs.pop(event.program, None)
        halls = programs.setdefault(event.program, _EvacuatedHalls())
        halls.at(event.at)
        if isinstance(event, HallEvacuation):
            if event.evacuated:
                halls.evacuated_at.setdefault(event.hall, event.at)
            else:
                halls.evacuated_at.pop(event.hall, None)
        elif isinstance(event, Attempted):
            yield from attempt(halls, event)

    def attempt(halls: _EvacuatedHalls, event: Attempted) -> Findings:
        evacuated_at = halls.evacuated_at.get(event.hall)
        if (
            evacuated_at is None
            or event.fate == "not sent"
            or event.began_at <= evacuated_at + GONE_SLACK_S
        ):
            return
        where = (event.program, event.at, event.request)
        after_s = event.began_at - evacuated_at
        what = f"sent to {event.upstream} {after_s:.2f} s after {event.hall} was evacuated"
        if halls.set_back:
            yield Finding(name, "undecided", *where, f"{what}, by a clock that was set back")
        else:
            yield Finding(name, "broken", *where, what)

    promise = "no attempt goes to a data hall that is known to be evacuated"
    return Check(name, promise, take, lambda: ())
