"""Ramp of a rollout: the new version's share of sessions over time, and which sessions use it.

No I/O.  During the first half of the rollout a few sessions use the new version, enough to
detect a bad one while its permitted share of requests is still small.  After that the share
grows in steps, so that faults that appear only under load still appear at a part of the
traffic.  At the end every session has moved, and the former version runs nothing when it is
told to stop.

A session's position in the ramp is a hash, so all gateways assign it to the same version
without communicating.  A session that recently ran on the former version is not moved in the
first half.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from ramppost.bounded import drop_oldest
from ramppost.policy.routing import hash_fraction


class RampStep(NamedTuple):
    """From the fraction `start` of the rollout's time, `share` of sessions use the new version."""

    start: float
    share: float


INITIAL_SHARE: Final = 0.06
"""Keeps a version that is bad during half of the rollout far below a seventh of all requests."""
RAMP_STEPS: Final = (
    RampStep(0.0, 0.0),
    RampStep(0.1, INITIAL_SHARE),
    RampStep(0.5, 0.25),
    RampStep(0.6, 0.5),
    RampStep(0.68, 1.0),
)
"""No session moves until the gateways have told each other which sessions are in progress.  The
later steps are as short as the sequential tests allow at a few requests per second."""
ANNOUNCE_AT: Final = 0.06
"""Fraction of the rollout's time at which a gateway announces the sessions that ran on the
former version."""
UNPIN_AT: Final = 0.5
"""Fraction of the rollout's time before which sessions stay on the former version."""
COMPLETE_AT: Final = 0.92
"""Fraction of the rollout's time at which the former version is stopped: most answers have ended
since the last step, and enough time is left before the deadline to repeat a failed write."""
MAX_PINS: Final = 20000


def share_at(progress: float) -> float:
    """The new version's share of sessions after a fraction of the rollout's time.

    >>> share_at(0.0), share_at(0.1), share_at(0.55), share_at(0.9)
    (0.0, 0.06, 0.25, 1.0)
    """
    return [step.share for step in RAMP_STEPS if step.start <= max(0.0, progress)][-1]


class SessionPin(NamedTuple):
    """The version a session last ran on, and when (steady clock)."""

    version: str
    at: float


class SessionPins:
    """The versions that the most recently active sessions ran on."""

    def __init__(self, session_s: float) -> None:
        self.session_s = session_s
        self._pins: dict[tuple[str, str], SessionPin] = {}

    def record(self, service: str, session: str, version: str, now: float) -> None:
        """Record that a request of a session was sent to a version."""
        if not session:
            return
        self._pins.pop((service, session), None)
        self._pins[service, session] = SessionPin(version, now)
        drop_oldest(self._pins, MAX_PINS)

    def pinned_version(self, service: str, session: str, now: float) -> str:
        """The version that a session in progress ran on; empty if the session is not known."""
        pin = self._pins.get((service, session))
        return pin.version if pin is not None and now - pin.at <= self.session_s else ""

    def sessions_to_announce(self, service: str, version: str, now: float) -> list[str]:
        """Sessions in progress on other versions that the first step would move to a version."""
        return [
            session
            for (pinned_service, session), pin in self._pins.items()
            if pinned_service == service
            and pin.version != version
            and now - pin.at <= self.session_s
            and ramp_position(service, version, session) < INITIAL_SHARE
        ]


def ramp_position(service: str, version: str, routing_key: str) -> float:
    """Position of a session or request in the ramp, 0 to 1; it moves once the share exceeds it."""
    return hash_fraction("ramp", service, version, routing_key)


def uses_new_version(
    service: str, version: str, routing_key: str, progress: float, pinned: str
) -> bool:
    """Whether a session (or a request without one) uses the version being rolled out.

    `pinned` is the version its session recently ran on; empty if it is not known.
    """
    if pinned == version:
        return True
    if pinned and progress < UNPIN_AT:
        return False
    return ramp_position(service, version, routing_key) < share_at(progress)
