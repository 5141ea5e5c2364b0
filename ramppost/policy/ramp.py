"""How a version's share of a service's sessions grows during a roll-out, and who is on it.

Pure.  For the first half of the time a few sessions try the version, enough to find a
bad one while it may still be given little.  Then the share grows in steps, so that
faults that only load shows still appear at part of the traffic, and at the end every
session has moved and the former version runs nothing when it is told to stop.

A session's place is a hash, so every gateway puts it on the same side without talking.
One that ran on the former version lately is not moved in the first half.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from ramppost.policy.routing import hash_fraction


class RampStep(NamedTuple):
    """From this part of the roll-out's time on, this share of sessions is on the version."""

    start: float
    share: float


INITIAL_SHARE: Final = 0.06
"""Keeps a version that is bad for half the time far below a seventh of all requests."""
RAMP_STEPS: Final = (
    RampStep(0.0, 0.0),
    RampStep(0.1, INITIAL_SHARE),
    RampStep(0.5, 0.25),
    RampStep(0.6, 0.5),
    RampStep(0.68, 1.0),
)
"""Nothing moves until gateways have told each other which sessions are under way.  The later
steps are as short as a sequential test needs at some requests a second."""
ANNOUNCE_AT: Final = 0.06
"""Part of the time at which a gateway tells the sessions that ran on the former version."""
UNPIN_AT: Final = 0.5
COMPLETE_AT: Final = 0.92
"""Part of the time at which the former version is stopped: most answers have ended since
the last step, and the deadline is still far enough for a write that has to be repeated."""
MAX_PINS: Final = 20000


def share_at(part: float) -> float:
    """The version's share of sessions at a part of the roll-out's time.

    >>> share_at(0.0), share_at(0.1), share_at(0.55), share_at(0.9)
    (0.0, 0.06, 0.25, 1.0)
    """
    return [step.share for step in RAMP_STEPS if step.start <= max(0.0, part)][-1]


class SessionPin(NamedTuple):
    """The version a session ran on last, and when (steady clock)."""

    version: str
    at: float


class SessionPins:
    """Where sessions ran lately, the latest ones only."""

    def __init__(self, session_s: float) -> None:
        self.session_s = session_s
        self._pins: dict[tuple[str, str], SessionPin] = {}

    def record(self, service: str, session: str, version: str, now: float) -> None:
        """A request of a session was sent to a version."""
        if not session:
            return
        self._pins.pop((service, session), None)
        self._pins[service, session] = SessionPin(version, now)
        if len(self._pins) > MAX_PINS:
            del self._pins[next(iter(self._pins))]

    def pinned_version(self, service: str, session: str, now: float) -> str:
        """The version that a session in progress ran on, empty where there is none."""
        pin = self._pins.get((service, session))
        return pin.version if pin is not None and now - pin.at <= self.session_s else ""

    def sessions_to_announce(self, service: str, version: str, now: float) -> list[str]:
        """Sessions in progress elsewhere that would be among the first on a version."""
        return [
            session
            for (pinned_service, session), pin in self._pins.items()
            if pinned_service == service
            and pin.version != version
            and now - pin.at <= self.session_s
            and ramp_position(service, version, session) < INITIAL_SHARE
        ]


def ramp_position(service: str, version: str, who: str) -> float:
    """Where a session or request stands among all, 0 to 1: it moves when the share is above."""
    return hash_fraction("ramp", service, version, who)


def uses_new_version(service: str, version: str, who: str, part: float, pinned: str) -> bool:
    """Whether a session (or a request without one) goes to the version being rolled out.

    `pinned` is the version its session ran on lately, empty where it is not known.
    """
    if pinned == version:
        return True
    if pinned and part < UNPIN_AT:
        return False
    return ramp_position(service, version, who) < share_at(part)
