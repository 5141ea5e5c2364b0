"""Tracks roll-outs of services: progress, assignment of sessions to versions, and health.

Every gateway measures the progress of a roll-out on its own steady clock, from when it saw the
order.  Progress is also saved in the store, so that a gateway that starts in the middle of a
roll-out continues from there instead of from the beginning.
"""

from __future__ import annotations

from typing import NamedTuple

from ramppost.gateway.model import RolloutOrder, Upstream
from ramppost.policy.guard import AnswerTally, withdrawal_reason
from ramppost.policy.ramp import UNPIN_AT, SessionPins, uses_new_version


class Rollout:
    """The roll-out of a service, as seen by this gateway."""

    def __init__(self, order: RolloutOrder, seen_at: float) -> None:
        self.order = order
        self.started_at = seen_at
        self.stable = AnswerTally()
        self.trial = AnswerTally()
        self.trial_upstreams = 1
        self._split: tuple[list[Upstream], VersionSplit] | None = None
        self.old_version_sessions: set[str] = set()
        """Sessions that ran on the old version at any gateway when the roll-out began."""
        self.sessions_published_in: int | None = None
        """The era of the store in which this gateway has published its own such sessions last."""
        self.sessions_read = False
        """Whether it has read those of the other gateways."""
        self.withdrawal_reason = ""
        """Why this gateway considers the version bad; empty if it does not."""
        self.write_end_at = float("inf")
        """When its end is to be written again, which the store has lost (steady clock)."""

    def elapsed_fraction(self, now: float) -> float:
        """Fraction of the roll-out's duration that has passed."""
        return (now - self.started_at) / max(0.001, self.order.duration_s)

    def split(self, usable: list[Upstream]) -> VersionSplit:
        """Split upstreams by version; returns the same list objects for the same input list."""
        if self._split is None or self._split[0] is not usable:
            version = self.order.version
            new = [upstream for upstream in usable if upstream.version == version]
            old = [upstream for upstream in usable if upstream.version != version]
            self._split = (usable, VersionSplit(new, old))
        return self._split[1]


class VersionSplit(NamedTuple):
    """The upstreams of the new version and those of any other version."""

    new: list[Upstream]
    old: list[Upstream]


class Progress(NamedTuple):
    """The fraction of its duration that a version's roll-out has reached at a gateway, and when."""

    version: str
    fraction: float
    at: float


class EligibleUpstreams(NamedTuple):
    """The upstreams that may receive a request; those in `preferred` are considered first.

    `reason` tells, for the log, why their version is preferred; it is empty without a roll-out.
    """

    preferred: list[Upstream]
    fallback: list[Upstream]
    reason: str = ""


def _with_known_end(found: RolloutOrder, known: RolloutOrder) -> RolloutOrder:
    """An order as found in the store; its end is kept if a store that came back has lost that."""
    if found.era > known.era and found.state == "ordered":
        return found._replace(state=known.state)
    return found


class Rollouts:
    """The newest roll-out of each service, and the version of each recent session."""

    def __init__(self, session_s: float) -> None:
        self.pins = SessionPins(session_s)
        self._by_service: dict[str, Rollout] = {}
        self._progress: dict[str, Progress] = {}

    def update(self, order: RolloutOrder, now: float) -> bool:
        """Apply an order or a change of its state; returns whether the order is new."""
        known = self._by_service.get(order.service)
        if known is not None and known.order.version == order.version:
            if order.position >= known.order.position:
                known.order = _with_known_end(order, known.order)
            return False
        self._by_service[order.service] = Rollout(order, now)
        self._apply_progress(order.service, now)
        return True

    def remove(self, service: str) -> None:
        """Apply the removal of a service's order."""
        self._by_service.pop(service, None)

    def get(self, service: str) -> Rollout | None:
        """The newest roll-out of a service."""
        return self._by_service.get(service)

    def all(self) -> list[Rollout]:
        """All known roll-outs."""
        return list(self._by_service.values())

    def logged_fraction(self, service: str, now: float) -> float | None:
        """For the log: the elapsed fraction of a service's roll-out; None if none is under way."""
        rollout = self._by_service.get(service)
        if rollout is None or rollout.order.state != "ordered":
            return None
        return round(rollout.elapsed_fraction(now), 3)

    def update_progress(self, service: str, version: str, fraction: float, now: float) -> None:
        """Apply progress reported by some gateway; the order itself may not be known yet."""
        self._progress[service] = Progress(version, fraction, now)
        self._apply_progress(service, now)

    def forget_progress(self) -> None:
        """Forget what gateways have reported, since the store has been listed anew."""
        self._progress.clear()

    def reported_fraction(self, order: RolloutOrder) -> float:
        """The fraction of an order's duration last reported by any gateway; -1 if none has."""
        reported = self._progress.get(order.service)
        return (
            reported.fraction
            if reported is not None and reported.version == order.version
            else -1.0
        )

    def _apply_progress(self, service: str, now: float) -> None:
        """Advance the roll-out to the reported progress if it is behind."""
        rollout, reported = self._by_service.get(service), self._progress.get(service)
        if rollout is None or reported is None or reported.version != rollout.order.version:
            return
        started_at = reported.at - reported.fraction * rollout.order.duration_s
        rollout.started_at = min(rollout.started_at, started_at)

    def eligible_upstreams(
        self, service: str, usable: list[Upstream], request_id: str, session: str, now: float
    ) -> EligibleUpstreams:
        """The upstreams that may receive a request of a session."""
        rollout = self._by_service.get(service)
        if rollout is None:
            return EligibleUpstreams(usable, [])
        version = rollout.order.version
        new, old = rollout.split(usable)
        rollout.trial_upstreams = max(1, len(new))
        if rollout.withdrawal_reason or rollout.order.state == "rolled_back":
            return EligibleUpstreams(old, [], "withdrawn")
        if rollout.order.state == "completed":
            return EligibleUpstreams(new or old, [], "completed")
        pinned = self.pins.pinned_version(service, session, now) if session else ""
        fraction = rollout.elapsed_fraction(now)
        keeps_old = (
            fraction < UNPIN_AT and session in rollout.old_version_sessions and pinned != version
        )
        if (
            new
            and not keeps_old
            and uses_new_version(service, version, session or request_id, fraction, pinned)
        ):
            return EligibleUpstreams(new, old, "session" if pinned else "step")
        reason = "session" if pinned or keeps_old else "step"
        return EligibleUpstreams(old, new if fraction >= UNPIN_AT else [], reason)

    def record_answer(self, service: str, upstream: Upstream, bad: bool, slow: bool) -> str:
        """Record an answer; returns the reason if it causes a withdrawal, else ""."""
        rollout = self._by_service.get(service)
        if rollout is None or rollout.order.state != "ordered" or rollout.withdrawal_reason:
            return ""
        trial = upstream.version == rollout.order.version
        (rollout.trial if trial else rollout.stable).add(upstream.key, bad, slow)
        rollout.withdrawal_reason = withdrawal_reason(
            rollout.stable, rollout.trial, rollout.trial_upstreams
        )
        return rollout.withdrawal_reason
