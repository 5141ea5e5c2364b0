"""Roll-outs of services: how far each is, who is on the new version, what speaks against it.

Every gateway keeps its own steady clock of each roll-out from when it saw the order.
How far one had come is kept in the store, so that a gateway that starts in the middle
goes on from there instead of from the beginning.
"""

from __future__ import annotations

from typing import NamedTuple

from ramppost.gateway.model import RolloutOrder, Upstream
from ramppost.policy.guard import AnswerTally, withdrawal_reason
from ramppost.policy.ramp import UNPIN_AT, SessionPins, uses_new_version


class Rollout:
    """A roll-out under way."""

    def __init__(self, order: RolloutOrder, seen_at: float) -> None:
        self.order = order
        self.started_at = seen_at
        self.stable = AnswerTally()
        self.trial = AnswerTally()
        self.trial_upstreams = 1
        self._split: tuple[list[Upstream], VersionSplit] | None = None
        self.old_version_sessions: set[str] = set()
        """Sessions that ran on the former version as the roll-out began, at any gateway."""
        self.sessions_published = False
        """Whether this gateway has told those of its own."""
        self.sessions_read = False
        """Whether it has read those of others."""
        self.withdrawal_reason = ""
        """Why this gateway holds the version to be bad, empty while it does not."""

    def elapsed_fraction(self, now: float) -> float:
        """Part of its time that has passed."""
        return (now - self.started_at) / max(0.001, self.order.duration_s)

    def split(self, usable: list[Upstream]) -> VersionSplit:
        """Upstreams by version; the same lists for the same list."""
        if self._split is None or self._split[0] is not usable:
            version = self.order.version
            new = [upstream for upstream in usable if upstream.version == version]
            old = [upstream for upstream in usable if upstream.version != version]
            self._split = (usable, VersionSplit(new, old))
        return self._split[1]


class VersionSplit(NamedTuple):
    """The upstreams of the new version, and those of others."""

    new: list[Upstream]
    old: list[Upstream]


class Progress(NamedTuple):
    """The part of its time that a version's roll-out had reached somewhere, at a time."""

    version: str
    fraction: float
    at: float


class EligibleUpstreams(NamedTuple):
    """Which upstreams may take a request, those to be preferred first."""

    preferred: list[Upstream]
    fallback: list[Upstream]


class Rollouts:
    """The newest order of each service, and where sessions ran."""

    def __init__(self, session_s: float) -> None:
        self.pins = SessionPins(session_s)
        self._by_service: dict[str, Rollout] = {}
        self._progress: dict[str, Progress] = {}

    def update(self, order: RolloutOrder, now: float) -> bool:
        """An order or its state; true if it is new."""
        known = self._by_service.get(order.service)
        if known is not None and known.order.version == order.version:
            if order.revision >= known.order.revision:
                known.order = order
            return False
        self._by_service[order.service] = Rollout(order, now)
        self._apply_progress(order.service, now)
        return True

    def remove(self, service: str) -> None:
        """The order is gone."""
        self._by_service.pop(service, None)

    def get(self, service: str) -> Rollout | None:
        """The newest order of a service."""
        return self._by_service.get(service)

    def all(self) -> list[Rollout]:
        """Every order known."""
        return list(self._by_service.values())

    def update_progress(self, service: str, version: str, part: float, now: float) -> None:
        """Some gateway had come this far with a version; its order may not be known yet."""
        self._progress[service] = Progress(version, part, now)
        self._apply_progress(service, now)

    def reported_fraction(self, order: RolloutOrder) -> float:
        """How far some gateway has told to have come with an order; -1 where none has."""
        told = self._progress.get(order.service)
        return told.fraction if told is not None and told.version == order.version else -1.0

    def _apply_progress(self, service: str, now: float) -> None:
        """Be no further back than what was told."""
        found, told = self._by_service.get(service), self._progress.get(service)
        if found is None or told is None or told.version != found.order.version:
            return
        began_at = told.at - told.fraction * found.order.duration_s
        found.started_at = min(found.started_at, began_at)

    def eligible_upstreams(
        self, service: str, usable: list[Upstream], who: str, session: str, now: float
    ) -> EligibleUpstreams:
        """The upstreams that may take a request of a session."""
        found = self._by_service.get(service)
        if found is None:
            return EligibleUpstreams(usable, [])
        version = found.order.version
        new, old = found.split(usable)
        found.trial_upstreams = max(1, len(new))
        if found.withdrawal_reason or found.order.state == "rolled_back":
            return EligibleUpstreams(old, [])
        if found.order.state == "completed":
            return EligibleUpstreams(new, []) if new else EligibleUpstreams(old, [])
        pinned = self.pins.pinned_version(service, session, now) if session else ""
        part = found.elapsed_fraction(now)
        held = part < UNPIN_AT and session in found.old_version_sessions and pinned != version
        if new and not held and uses_new_version(service, version, session or who, part, pinned):
            return EligibleUpstreams(new, old)
        return EligibleUpstreams(old, new if part >= UNPIN_AT else [])

    def record_answer(self, service: str, upstream: Upstream, bad: bool, slow: bool) -> str:
        """Take in an answer; gives why the version has to be withdrawn, if it newly has to."""
        found = self._by_service.get(service)
        if found is None or found.order.state != "ordered" or found.withdrawal_reason:
            return ""
        trial = upstream.version == found.order.version
        (found.trial if trial else found.stable).add(upstream.key, bad, slow)
        found.withdrawal_reason = withdrawal_reason(
            found.stable, found.trial, found.trial_upstreams
        )
        return found.withdrawal_reason
