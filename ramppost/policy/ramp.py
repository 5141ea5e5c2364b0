"""Ramp of a rollout: the new version's share of sessions over time, and which sessions use it.

No I/O.  A version may become bad late, or only under full load, so no evidence on its answers can
vouch for it.  Therefore the whole ramp fits into the share of requests that a bad version may get:
a few sessions use the new version for most of the time, enough to find a version that is bad
throughout, and the others move shortly before the end.  At the end every session has moved, and
the former version runs nothing when it is told to stop.

A session's position in the ramp is a hash, so that gateways at the same step assign it to the same
version.  Steps are due by the time; those after the first wait until the requests that count bear
them (`ramppost.policy.exposure`), and the gateway that takes one first tells the others.  A session
in progress on the former version is not moved in the first half (`ramppost.policy.session_pins`).

    ramp = plan_ramp(exposure_share=0.15, duration_s=16.0)
    is_moved("chat", "session-1", ramp.share_at(0.5))
"""

from __future__ import annotations

from typing import Final, NamedTuple

from ramppost.policy.routing import hash_fraction

MAX_INITIAL_SHARE: Final = 0.06
"""Largest share of sessions that the first step moves."""
FIRST_STEP_AT: Final = 0.1
"""No session moves until the gateways have told each other when the roll-out began."""
UNPIN_AT: Final = 0.5
"""Fraction of the rollout's time before which sessions stay on the former version."""
INITIAL_PART: Final = 0.4
"""Part of the permitted exposure that the first step may take."""
HALF_STEP_PART: Final = 0.7
HALF_STEP_SHARE: Final = 0.2
"""The step before the last moves this share of sessions, when the rest of the rollout's time is
`HALF_STEP_PART` of the permitted exposure."""
LAST_STEP_PART: Final = 0.5
"""The last step comes when the rest of the time is this part of the permitted exposure."""
EARLIEST_HALF_STEP: Final = 0.6
EARLIEST_LAST_STEP: Final = 0.68
END_MARGIN_RATIO: Final = 0.025
MIN_END_MARGIN_S: Final = 1.0
"""Time before the deadline at which the former version is stopped: gateways may see an order half
a second after it was written, spread their writes, and repeat one that failed."""
FIRST_GROWTH_STEP: Final = 2
"""The first step after that which a few sessions take for most of the time."""
LEAST_LAST_STEP_PART: Final = 0.4
"""Part of the time after the last step that is left before the former version is stopped, where a
rollout is so short that the margin would take more."""


class RampStep(NamedTuple):
    """From the fraction `start` of the rollout's time, `share` of sessions use the new version."""

    start: float
    share: float


class Ramp(NamedTuple):
    """The steps of a rollout, and the fraction of its time at which the former version stops."""

    steps: tuple[RampStep, ...]
    complete_at: float

    def share_at(self, progress: float) -> float:
        """The new version's share of sessions after a fraction of the rollout's time.

        >>> ramp = plan_ramp(0.15, 16.0)
        >>> [ramp.share_at(progress) for progress in (0.0, 0.1, 0.85, 0.9, 0.93)]
        [0.0, 0.06, 0.06, 0.2, 1.0]
        """
        return self.steps[self.step_at(progress)].share

    def step_at(self, progress: float) -> int:
        """The step that is due after a fraction of the rollout's time."""
        return sum(step.start <= max(0.0, progress) for step in self.steps) - 1

    def exposure_after(self, progress: float, step: int) -> float:
        """What the new version gets from a step on, which is taken after a fraction of the time, as
        the part of the time in which it would get all requests.

        >>> plan_ramp(0.15, 16.0).exposure_after(0.95, 3)
        0.05
        """
        ends = [later.start for later in self.steps[step + 1 :]] + [1.0]
        starts = [progress, *ends[:-1]]
        lasting = [
            max(0.0, end - max(start, progress)) for start, end in zip(starts, ends, strict=True)
        ]
        return round(
            sum(part * of.share for part, of in zip(lasting, self.steps[step:], strict=True)), 9
        )

    @property
    def growth_at(self) -> float:
        """Fraction of the time at which the share grows beyond the first step."""
        return self.steps[FIRST_GROWTH_STEP].start


def plan_ramp(exposure_share: float, duration_s: float) -> Ramp:
    """The ramp of a rollout in which a bad version may get so large a share of the requests."""
    last_at = max(EARLIEST_LAST_STEP, 1 - LAST_STEP_PART * exposure_share)
    half_at = max(EARLIEST_HALF_STEP, 1 - HALF_STEP_PART * exposure_share)
    margin = max(END_MARGIN_RATIO, MIN_END_MARGIN_S / max(MIN_END_MARGIN_S, duration_s))
    return Ramp(
        (
            RampStep(0.0, 0.0),
            RampStep(FIRST_STEP_AT, min(MAX_INITIAL_SHARE, INITIAL_PART * exposure_share)),
            RampStep(half_at, HALF_STEP_SHARE),
            RampStep(last_at, 1.0),
        ),
        max(last_at + LEAST_LAST_STEP_PART * (1 - last_at), 1 - margin),
    )


def ramp_position(service: str, routing_key: str) -> float:
    """Position of a session or request in the ramp, 0 to 1; it moves once the share exceeds it.

    It does not depend on the version, so that a gateway knows before any order which sessions the
    first step would move.
    """
    return hash_fraction("ramp", service, routing_key)


def is_early(service: str, routing_key: str) -> bool:
    """Whether the first step of a rollout may move a session or request."""
    return ramp_position(service, routing_key) < MAX_INITIAL_SHARE


def is_moved(service: str, routing_key: str, share: float) -> bool:
    """Whether a session (or a request without one) uses the version being rolled out at a share, if
    it is not in progress on another one."""
    return ramp_position(service, routing_key) < share
