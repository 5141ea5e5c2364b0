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


class Running:
    """A roll-out under way."""

    def __init__(self, order: RolloutOrder, seen_at: float) -> None:
        self.order = order
        self.began_at = seen_at
        self.stable = AnswerTally()
        self.trial = AnswerTally()
        self.trial_upstreams = 1
        self._sides: tuple[list[Upstream], Sides] | None = None
        self.held: set[str] = set()
        """Sessions that ran on the former version as the roll-out began, at any gateway."""
        self.told = False
        """Whether this gateway has told those of its own."""
        self.heard = False
        """Whether it has read those of others."""
        self.withdrawn = ""
        """Why this gateway holds the version to be bad, empty while it does not."""

    def part(self, now: float) -> float:
        """Part of its time that has passed."""
        return (now - self.began_at) / max(0.001, self.order.duration_s)

    def sides(self, usable: list[Upstream]) -> Sides:
        """Upstreams by version; the same lists for the same list."""
        if self._sides is None or self._sides[0] is not usable:
            version = self.order.version
            new = [upstream for upstream in usable if upstream.version == version]
            old = [upstream for upstream in usable if upstream.version != version]
            self._sides = (usable, Sides(new, old))
        return self._sides[1]


class Sides(NamedTuple):
    """The upstreams of the new version, and those of others."""

    new: list[Upstream]
    old: list[Upstream]


class Progress(NamedTuple):
    """The part of its time that a version's roll-out had reached somewhere, at a time."""

    version: str
    part: float
    at: float


class Side(NamedTuple):
    """Which upstreams may take a request, those to be preferred first."""

    preferred: list[Upstream]
    others: list[Upstream]


class Rollouts:
    """The newest order of each service, and where sessions ran."""

    def __init__(self, session_s: float) -> None:
        self.pins = SessionPins(session_s)
        self._by_service: dict[str, Running] = {}
        self._progress: dict[str, Progress] = {}

    def seen(self, order: RolloutOrder, now: float) -> bool:
        """An order or its state; true if it is new."""
        known = self._by_service.get(order.service)
        if known is not None and known.order.version == order.version:
            if order.revision >= known.order.revision:
                known.order = order
            return False
        self._by_service[order.service] = Running(order, now)
        self._catch_up(order.service, now)
        return True

    def removed(self, service: str) -> None:
        """The order is gone."""
        self._by_service.pop(service, None)

    def of(self, service: str) -> Running | None:
        """The newest order of a service."""
        return self._by_service.get(service)

    def all(self) -> list[Running]:
        """Every order known."""
        return list(self._by_service.values())

    def progress_seen(self, service: str, version: str, part: float, now: float) -> None:
        """Some gateway had come this far with a version; its order may not be known yet."""
        self._progress[service] = Progress(version, part, now)
        self._catch_up(service, now)

    def known_part(self, order: RolloutOrder) -> float:
        """How far some gateway has told to have come with an order; -1 where none has."""
        told = self._progress.get(order.service)
        return told.part if told is not None and told.version == order.version else -1.0

    def _catch_up(self, service: str, now: float) -> None:
        """Be no further back than what was told."""
        found, told = self._by_service.get(service), self._progress.get(service)
        if found is None or told is None or told.version != found.order.version:
            return
        began_at = told.at - told.part * found.order.duration_s
        found.began_at = min(found.began_at, began_at)

    def side(
        self, service: str, usable: list[Upstream], who: str, session: str, now: float
    ) -> Side:
        """The upstreams that may take a request of a session."""
        found = self._by_service.get(service)
        if found is None:
            return Side(usable, [])
        version = found.order.version
        new, old = found.sides(usable)
        found.trial_upstreams = max(1, len(new))
        if found.withdrawn or found.order.state == "rolled_back":
            return Side(old, [])
        if found.order.state == "completed":
            return Side(new, []) if new else Side(old, [])
        pinned = self.pins.pinned_version(service, session, now) if session else ""
        part = found.part(now)
        held = part < UNPIN_AT and session in found.held and pinned != version
        if new and not held and uses_new_version(service, version, session or who, part, pinned):
            return Side(new, old)
        return Side(old, new if part >= UNPIN_AT else [])

    def judge(self, service: str, upstream: Upstream, bad: bool, slow: bool) -> str:
        """Take in an answer; gives why the version has to be withdrawn, if it newly has to."""
        found = self._by_service.get(service)
        if found is None or found.order.state != "ordered" or found.withdrawn:
            return ""
        trial = upstream.version == found.order.version
        (found.trial if trial else found.stable).add(upstream.key, bad, slow)
        found.withdrawn = withdrawal_reason(found.stable, found.trial, found.trial_upstreams)
        return found.withdrawn
