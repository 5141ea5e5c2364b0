"""Ramp of a rollout: the new version's share of sessions over time, and which sessions use it.

No I/O.  During the first half of the rollout a few sessions use the new version, enough to
detect a bad one while its permitted share of requests is still small.  After that the share
grows in steps, so that faults that appear only under load still appear at a part of the
traffic.  At the end every session has moved, and the former version runs nothing when it is
told to stop.

A session's position in the ramp is a hash, so all gateways assign it to the same version
without communicating.  A session in progress on the former version is not moved in the first half
(`ramppost.policy.session_pins`).
"""

from __future__ import annotations

from typing import Final, NamedTuple

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
"""No session moves until the gateways have told each other when the roll-out began.  The later
steps are as short as the sequential tests allow at a few requests per second."""
UNPIN_AT: Final = 0.5
"""Fraction of the rollout's time before which sessions stay on the former version."""
COMPLETE_AT: Final = 0.92
"""Fraction of the rollout's time at which the former version is stopped: most answers have ended
since the last step, and enough time is left before the deadline to repeat a failed write."""


def share_at(progress: float) -> float:
    """The new version's share of sessions after a fraction of the rollout's time.

    >>> share_at(0.0), share_at(0.1), share_at(0.55), share_at(0.9)
    (0.0, 0.06, 0.25, 1.0)
    """
    return [step.share for step in RAMP_STEPS if step.start <= max(0.0, progress)][-1]


def ramp_position(service: str, routing_key: str) -> float:
    """Position of a session or request in the ramp, 0 to 1; it moves once the share exceeds it.

    It does not depend on the version, so that a gateway knows before any order which sessions the
    first step would move.
    """
    return hash_fraction("ramp", service, routing_key)


def is_early(service: str, routing_key: str) -> bool:
    """Whether the first step of a rollout moves a session or request."""
    return ramp_position(service, routing_key) < INITIAL_SHARE


def is_moved(service: str, routing_key: str, progress: float) -> bool:
    """Whether a session (or a request without one) uses the version being rolled out by now, if it
    is not in progress on another one."""
    return ramp_position(service, routing_key) < share_at(progress)
