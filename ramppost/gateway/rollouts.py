"""Tracks roll-outs of services: progress, assignment of sessions to versions, and health.

Every gateway measures the progress of a roll-out on its own steady clock; all count from when the
first one saw the order (`ramppost.gateway.rollout_news`).  Progress is also saved in the store, so
that a fleet that was ended as a whole continues from there instead of from the beginning.

A request of a session in progress stays on the session's version, whatever becomes of the attempt,
as does one of a session of which nothing is known for certain (`ramppost.gateway.session_news`).
Without an order, only versions in service are used.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, NamedTuple

from ramppost.bounded import drop_oldest
from ramppost.gateway.model import RolloutOrder, Upstream
from ramppost.policy.exposure import Exposure, ExposureAccount
from ramppost.policy.guard import Counts, EvidencePool, Source
from ramppost.policy.ramp import FIRST_GROWTH_STEP, UNPIN_AT, is_moved, plan_ramp
from ramppost.policy.sampling import RequestRates, sampling_shares, trial_budget

WITHDRAW_ALONE_RATIO: Final = 0.5
"""Part of the time in which a bad version must have been rolled back, for which sessions stay on a
version that is considered bad while the order's status does not say so."""
VERSION_LOST_S: Final = 5.0
"""How long requests of a session wait for a version without usable upstreams: entries that lapsed
are back within 2 s, and an upstream that crashed is out of use for 4 s."""
ANNOUNCED_S: Final = 5.0
"""How long a roll-out counts as under way that another gateway has told of; it is told of again
every second."""
MAX_ANNOUNCED: Final = 64
MAX_WAITING: Final = 64
"""Versions of a service whose waiting is remembered."""
SAMPLING_INTERVAL_S: Final = 0.5
MIN_RATE_PER_S: Final = 0.05
"""Requests per second of a service from which some are on their way to a new version."""
GROWTH_FACTOR: Final = 1.2
"""How much more traffic than now the share must bear to grow: sessions can't be moved back."""
DEFAULT_EXPOSURE: Final = Exposure(0.15, 30.0)
ORDER_WAIT_S: Final = 30.0
"""How long upstreams of another version wait for the order that brings it in.  Without one they are
used then, so that a service that is replaced without an order does not end up on its last ones."""


class Rollout:
    """The roll-out of a service, as seen by this gateway."""

    def __init__(
        self, order: RolloutOrder, seen_at: float, exposure: Exposure = DEFAULT_EXPOSURE
    ) -> None:
        self.order = order
        self.seen_at = seen_at
        """When this gateway saw the order (steady clock)."""
        self.started_at = seen_at
        self.ramp = plan_ramp(exposure.share, order.duration_s)
        self.account = ExposureAccount(exposure, seen_at)
        """Requests sent to the service since the order, at all gateways that tell this one."""
        self.reached_step = FIRST_GROWTH_STEP - 1
        """The step of the ramp up to which the time alone decides; a later one is reached when the
        balance of requests bears it."""
        self.doubt = ""
        """Why it must not be completed on what is known now; empty if nothing speaks for that."""
        self.own_evidence: dict[Source, Counts] = {}
        """What this gateway has seen of attempts that have ended, at all versions."""
        self.evidence_started = False
        """Whether that includes what was known before."""
        self.pool = EvidencePool()
        """The evidence of all gateways, as far as they tell this one."""
        self.trial_upstreams = 1
        """Usable upstreams of the new version."""
        self.suspects: frozenset[str] = frozenset()
        """Upstreams of the new version that answer badly, by key: others are tried instead, so that
        it shows whether it is the version."""
        self._split: tuple[_SplitKey, VersionSplit] | None = None
        self.new_usable_at = seen_at
        self.old_usable_at = seen_at
        """When the versions last had usable upstreams (steady clock)."""
        self.is_found_sound = False
        """Whether a gateway that is told all evidence would complete the version."""
        self.most_at_once: dict[str, int] = {}
        """Most requests of this gateway that ran at once at one upstream, by version."""
        self.logged_decision = ""
        """What was last logged of how this gateway decides."""
        self.is_bad_after_all = False
        """Whether the version was found bad when it had been completed."""
        self.withdrawal_reason = ""
        """Why gateways consider the version bad; empty if they do not."""
        self.withdrawn_at = float("inf")
        """Since when this one knows (steady clock)."""
        self.sampling_shares: dict[str, float] = {}
        """Shares of requests without a session that try the version, by route."""
        self.sample_until = seen_at
        """When these are to be computed again (steady clock)."""
        self.tell_sessions_at = seen_at
        """When the keepers of sessions are to be told of them again (steady clock)."""
        self.end_tries = 0
        """How often this gateway has tried to write its end."""
        self.ended_in_era: int | None = None
        """The era in which the store last held its end; None while it has not ended."""
        self.write_end_at = float("inf")
        """When its end is to be written again, which the store has lost (steady clock)."""

    def elapsed_fraction(self, now: float) -> float:
        """Fraction of the roll-out's duration that has passed."""
        return (now - self.started_at) / max(0.001, self.order.duration_s)

    def share(self, now: float) -> float:
        """The new version's share of sessions."""
        due = self.ramp.step_at(self.elapsed_fraction(now))
        return self.ramp.steps[min(due, self.reached_step)].share

    @property
    def has_grown(self) -> bool:
        """Whether the share has grown beyond the first step."""
        return self.reached_step >= FIRST_GROWTH_STEP

    def may_grow(self, now: float, gateways: int) -> bool:
        """Whether the next step is due, nothing speaks against it, and the version may get as many
        requests as there will be, if it turns out to be bad."""
        fraction = self.elapsed_fraction(now)
        step = self.reached_step + 1
        if step >= len(self.ramp.steps) or fraction < self.ramp.steps[step].start or self.doubt:
            return False
        balance = self.account.balance(now, gateways)
        full_s = self.ramp.exposure_after(fraction, step) * self.order.duration_s
        return balance.bears(GROWTH_FACTOR * full_s)

    def split(self, usable: list[Upstream], in_service: list[Upstream], now: float) -> VersionSplit:
        """Split upstreams by version; returns the same list objects for the same input lists."""
        key = _SplitKey(usable, in_service, self.suspects)
        if self._split is None or not self._split[0].is_same(key):
            version = self.order.version
            all_new = [upstream for upstream in usable if upstream.version == version]
            new = [upstream for upstream in all_new if upstream.key not in self.suspects]
            old = [upstream for upstream in in_service if upstream.version != version]
            self._split = (key, VersionSplit(new or all_new, old))
            self.trial_upstreams = max(1, len(all_new))
        found = self._split[1]
        self.new_usable_at = now if found.new else self.new_usable_at
        self.old_usable_at = now if found.old else self.old_usable_at
        return found


class _SplitKey(NamedTuple):
    """What a split was made of."""

    usable: list[Upstream]
    in_service: list[Upstream]
    suspects: frozenset[str]

    def is_same(self, other: _SplitKey) -> bool:
        """Whether another split is of the same list objects."""
        return (
            self.usable is other.usable
            and self.in_service is other.in_service
            and self.suspects == other.suspects
        )


class VersionSplit(NamedTuple):
    """The upstreams of the new version and those of the versions in service."""

    new: list[Upstream]
    old: list[Upstream]


class Progress(NamedTuple):
    """The fraction of its duration that a version's roll-out has reached at a gateway, and when."""

    version: str
    fraction: float
    at: float


class AnnouncedRollout(NamedTuple):
    """The version of a roll-out that other gateways tell of, and until when that counts (steady
    clock)."""

    version: str
    until: float


class PlacedRequest(NamedTuple):
    """What a request's version depends on.

    `session` is empty if it has none.  `pinned` is the version that its session runs on, as far as
    that is known, and `is_new` tells that its session is known not to be in progress anywhere.
    `gives_up` tells that its session was not known before it, and that upstreams of the new version
    have answered it with errors.
    """

    id: str
    session: str = ""
    pinned: str = ""
    is_new: bool = False
    gives_up: bool = False
    route: str = ""


class EligibleUpstreams(NamedTuple):
    """The upstreams that may receive a request; those in `preferred` are considered first.

    `reason` tells, for the log, why their version is preferred; it is empty without a roll-out.
    """

    preferred: list[Upstream]
    fallback: list[Upstream]
    reason: str = ""


def _apply_state(rollout: Rollout, found: RolloutOrder) -> None:
    """Apply an order as found in the store; an end is kept that a store which has come back since
    has lost."""
    if found.state != "ordered":
        rollout.ended_in_era = found.era
        rollout.suspects = frozenset()
    elif rollout.ended_in_era is not None and found.era > rollout.ended_in_era:
        found = found._replace(state=rollout.order.state)
    rollout.order = found


def _hold(
    side: list[Upstream], other: list[Upstream], last_usable_at: float, now: float, reason: str
) -> EligibleUpstreams:
    """Only the upstreams of one side, unless it has had none for a while."""
    if side or now - last_usable_at < VERSION_LOST_S:
        return EligibleUpstreams(side, [], reason)
    return EligibleUpstreams(other, [], "fallback")


class _InService:
    """The versions of a service that are in service, and when others were first seen (steady
    clock)."""

    def __init__(self, versions: set[str]) -> None:
        self.versions = versions
        self.first_seen: dict[str, float] = {}
        self.cached: tuple[list[Upstream], str, float, list[Upstream]] | None = None
        """The upstreams in service among those usable beside a target, and until when that
        holds."""

    def update(self, present: set[str], now: float) -> float:
        """Take versions into service that have waited for an order for long enough; returns when
        the next one will have."""
        for version in present - self.versions:
            self.first_seen.setdefault(version, now)
        drop_oldest(self.first_seen, MAX_WAITING)
        self.versions |= {v for v, seen in self.first_seen.items() if now - seen >= ORDER_WAIT_S}
        left = [seen for v, seen in self.first_seen.items() if v not in self.versions]
        return min(left, default=float("inf")) + ORDER_WAIT_S


class Rollouts:
    """The newest roll-out of each service, and the versions in service."""

    def __init__(
        self,
        rollback_s: float = 5.0,
        exposure: Exposure = DEFAULT_EXPOSURE,
        fleet_size: Callable[[], int] = lambda: 1,
    ) -> None:
        self.rollback_s = rollback_s
        """Time in which a bad version must have been rolled back."""
        self.exposure = exposure
        """What a bad version may get; roll-outs keep what was in force when they were ordered."""
        self._fleet_size = fleet_size
        self._rates: dict[str, RequestRates] = {}
        """Rates of requests by service."""
        self.on_order: Callable[[Rollout], None] = lambda rollout: None
        """Called with each new roll-out that is under way."""
        self.on_growth: Callable[[Rollout], None] = lambda rollout: None
        """Called with a roll-out whose share of the new version grows here first."""
        self.hears_fleet: Callable[[Rollout, float], bool] = lambda rollout, now: True
        """Whether this gateway knows enough of what the others know to decide for them."""
        self._by_service: dict[str, Rollout] = {}
        self._progress: dict[str, Progress] = {}
        self._in_service: dict[str, _InService] = {}
        """The versions in service, by service."""
        self._announced: dict[str, AnnouncedRollout] = {}
        """Roll-outs of which other gateways have told before their orders were seen."""

    def update(self, order: RolloutOrder, now: float) -> bool:
        """Apply an order or a change of its state; returns whether the order is new."""
        known = self._by_service.get(order.service)
        if known is not None and known.order.version == order.version:
            if order.position >= known.order.position:
                _apply_state(known, order)
            self._note_completed(known)
            return False
        rollout = self._by_service[order.service] = Rollout(order, now, self.exposure)
        _apply_state(rollout, order)
        self._announced.pop(order.service, None)
        self._apply_progress(order.service, now)
        self._note_completed(rollout)
        if order.state == "ordered":
            self.on_order(rollout)
        return True

    def _note_completed(self, rollout: Rollout) -> None:
        if rollout.order.state == "completed":
            self._in_service[rollout.order.service] = _InService({rollout.order.version})

    def note_announced(self, service: str, version: str, now: float) -> None:
        """Record that a roll-out is under way whose order this gateway has not seen."""
        self._announced[service] = AnnouncedRollout(version, now + ANNOUNCED_S)
        drop_oldest(self._announced, MAX_ANNOUNCED)

    def announced_version(self, service: str, now: float) -> str:
        """The version of such a roll-out; empty if none is known."""
        found = self._announced.get(service)
        return found.version if found is not None and now < found.until else ""

    def remove(self, service: str) -> None:
        """Apply the removal of a service's order."""
        self._by_service.pop(service, None)

    def get(self, service: str) -> Rollout | None:
        """The newest roll-out of a service."""
        return self._by_service.get(service)

    def all(self) -> list[Rollout]:
        """All known roll-outs."""
        return list(self._by_service.values())

    def version_under_way(self, service: str) -> str:
        """The version that a service is being moved to; empty if none is."""
        rollout = self._by_service.get(service)
        return rollout.order.version if rollout and rollout.order.state == "ordered" else ""

    def logged_fraction(self, service: str, now: float) -> float | None:
        """For the log: the elapsed fraction of a service's roll-out; None if none is under way."""
        if not self.version_under_way(service):
            return None
        return round(self._by_service[service].elapsed_fraction(now), 3)

    def depends_on_session(self, service: str, now: float) -> bool:
        """Whether the version of a request depends on what its session has run on elsewhere."""
        rollout = self._by_service.get(service)
        if rollout is None or rollout.order.state != "ordered":
            return bool(self.announced_version(service, now))
        return rollout.elapsed_fraction(now) < UNPIN_AT

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
        self, service: str, usable: list[Upstream], req: PlacedRequest, now: float
    ) -> EligibleUpstreams:
        """The upstreams that may receive a request."""
        rollout = self._by_service.get(service)
        if rollout is None:
            return self._without_order(service, usable, req, now)
        version = rollout.order.version
        in_service = self._upstreams_in_service(service, usable, version, now)
        new, old = rollout.split(usable, in_service, now)
        if rollout.order.state == "rolled_back":
            return EligibleUpstreams(old, [], "withdrawn")
        if rollout.order.state == "completed" and req.session:
            return _hold(new, old, rollout.new_usable_at, now, "completed")
        if rollout.order.state == "completed":
            return EligibleUpstreams(new or old, [], "completed")
        if rollout.withdrawal_reason and not self._waits_for_withdrawal(rollout, req, now):
            return EligibleUpstreams(old, [], "withdrawn")
        fraction = rollout.elapsed_fraction(now)
        self._grow(rollout, now)
        if req.pinned == version and req.gives_up and old:
            return EligibleUpstreams(old, [], "fallback")
        if req.pinned == version:
            return _hold(new, old, rollout.new_usable_at, now, "session")
        if req.pinned and fraction < UNPIN_AT:
            return _hold(old, new, rollout.old_usable_at, now, "session")
        if not is_moved(service, req.session or req.id, self._share(rollout, req, now)):
            if req.session:
                return _hold(old, new, rollout.old_usable_at, now, "step")
            is_over = rollout.has_grown or fraction >= 1
            return EligibleUpstreams(old, new if is_over else [], "step")
        if req.session and fraction < UNPIN_AT and not req.is_new:
            return _hold(old, new, rollout.old_usable_at, now, "unknown")
        if req.session and not req.is_new:
            # Other gateways may have moved it.
            return _hold(new, old, rollout.new_usable_at, now, "step")
        if not new:
            return EligibleUpstreams(old, [], "step")
        return EligibleUpstreams(new, old, "step")

    def record_request(self, service: str, route: str, now: float) -> None:
        """Count a request, whatever becomes of it."""
        self._rates.setdefault(service, RequestRates()).record(route, now)

    def has_requests(self, service: str, now: float) -> bool:
        """Whether this gateway has lately had requests for a service."""
        rates = self._rates.get(service)
        return rates is not None and sum(rates.all_per_s(now).values()) > MIN_RATE_PER_S

    def _grow(self, rollout: Rollout, now: float) -> None:
        """Take the next step of the ramp once it is due and the balance bears it."""
        if rollout.may_grow(now, self._fleet_size()) and self.hears_fleet(rollout, now):
            rollout.reached_step += 1
            self.on_growth(rollout)

    def _share(self, rollout: Rollout, req: PlacedRequest, now: float) -> float:
        """The new version's share of requests that are like this one."""
        share = rollout.share(now)
        if req.session or not share:
            return share
        balance = rollout.account.balance(now, self._fleet_size())
        fraction = rollout.elapsed_fraction(now)
        after_end_s = (1 - rollout.ramp.complete_at) * rollout.order.duration_s
        if not balance.bears(after_end_s):
            return 0.0
        rates = self._rates.get(rollout.order.service)
        if rollout.has_grown or rates is None:
            return share
        if now >= rollout.sample_until:
            rollout.sample_until = now + SAMPLING_INTERVAL_S
            rollout.sampling_shares = sampling_shares(
                rates.all_per_s(now),
                rollout.pool.value_by_route(),
                trial_budget(balance, rollout.ramp, rollout.order.duration_s, fraction),
                share,
            )
        return rollout.sampling_shares.get(req.route, share)

    def _waits_for_withdrawal(self, rollout: Rollout, req: PlacedRequest, now: float) -> bool:
        """Whether a request stays on a version that is considered bad: its session runs there, and
        the order may yet be found to have ended otherwise."""
        until = rollout.withdrawn_at + WITHDRAW_ALONE_RATIO * self.rollback_s
        return req.pinned == rollout.order.version and now < until

    def _without_order(
        self, service: str, usable: list[Upstream], req: PlacedRequest, now: float
    ) -> EligibleUpstreams:
        """The upstreams of the versions in service, as no order brings another one in.

        A session that other gateways have moved by an order that is not known here stays moved.
        """
        announced = self.announced_version(service, now)
        if req.pinned and req.pinned == announced:
            moved = [upstream for upstream in usable if upstream.version == req.pinned]
            if moved:
                return EligibleUpstreams(moved, [], "session")
        return EligibleUpstreams(self._upstreams_in_service(service, usable, announced, now), [])

    def _upstreams_in_service(
        self, service: str, usable: list[Upstream], target: str, now: float
    ) -> list[Upstream]:
        """The upstreams of the versions in service; returns the same list object for the same
        input list.

        In service are the versions that were there first, what an order has brought in, and what
        has waited for an order for long.  Where they have no usable upstream, any is used, those
        of the `target` of a roll-out last.
        """
        state = self._in_service.get(service)
        cached = state.cached if state is not None else None
        if cached is not None and cached[0] is usable and cached[1] == target and now < cached[2]:
            return cached[3]
        present = {upstream.version for upstream in usable} - {target}
        if state is None:
            if not present:
                return usable
            state = self._in_service[service] = _InService(set(present))
        until = state.update(present, now)
        found = [upstream for upstream in usable if upstream.version in state.versions]
        found = found or [upstream for upstream in usable if upstream.version != target] or usable
        found = usable if len(found) == len(usable) else found
        state.cached = (usable, target, until, found)
        return found

    def withdraw(self, service: str, version: str, reason: str, now: float) -> bool:
        """Record that a version is considered bad; false if that is known, or no longer matters."""
        rollout = self._by_service.get(service)
        if rollout is None or rollout.order.version != version:
            return False
        if rollout.order.state != "ordered" or rollout.withdrawal_reason:
            return False
        rollout.withdrawal_reason = reason
        rollout.withdrawn_at = now
        return True
