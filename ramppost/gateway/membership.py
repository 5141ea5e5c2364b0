"""Tracks the known upstreams by their entries in the store.

An entry disappears either because its upstream has left or because the upstream could not renew
it while the store was unavailable; in the second case the entry returns soon.  The two cases can't
be distinguished when the entry disappears.  Therefore an upstream without an entry is used only if
its service has no other upstream, and is dropped if the entry does not return within a grace
period.

The entry of an upstream that has ended remains for some seconds.  If the end is detected by other
means, the upstream is excluded during that time, because its box refuses every connection.

An upstream may restart under the same id and is then a new incarnation.
`take_ended_incarnations` returns the previous one, so that the caller can discard its state and
the new incarnation is not affected by it.

A response of an upstream may say that it is leaving before its entry does, which is late while the
store is unavailable.  That holds for the incarnation whatever its entry says, also when the entry
disappears and returns.

When the store comes back from an older copy, it may lack entries of upstreams that live, which are
used as before while their entries may still return, and hold entries of upstreams that are gone,
which are not used until the store would have removed them.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from loguru import logger

from ramppost.bounded import drop_oldest
from ramppost.gateway.model import Upstream

EXPIRY_GRACE_S: Final = 1.6
"""Entries that expired during a store outage return about 2 s after it.  An upstream that was
removed for good must receive nothing after 2 s; the difference allows for the transit time of a
request."""


ENDED_EXCLUSION_S: Final = 4.0
"""The entry of an ended upstream expires after three heartbeats, which are at most 1.2 s apart."""


MAX_GONE: Final = 4096
"""Maximum number of incarnations that are remembered as gone."""


MAX_LEAVING: Final = 4096
"""Maximum number of incarnations that are remembered as leaving."""


class Member(NamedTuple):
    """An upstream and its state; times on the steady clock.

    `drop_at` is when it is dropped unless its entry returns, None while it has an entry.  It is not
    used until `excluded_until` because it was found to have ended.  `lost` tells that the store
    lacks its entry only because it came back from an older copy.
    """

    upstream: Upstream
    drop_at: float | None
    excluded_until: float = float("-inf")
    lost: bool = False


class LeavingId(NamedTuple):
    """What an upstream has said of which the id alone was known: until when it may be used as a
    last resort (steady clock), and when it said so (seconds since 1970)."""

    last_use_at: float
    said_at: float


class Members:
    """The currently known upstreams, by id."""

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}
        self._ended_incarnations: list[Upstream] = []
        self._new_incarnations: list[Upstream] = []
        self._evacuated_halls: frozenset[str] = frozenset()
        self._leaving: dict[str, float] = {}
        """Until when incarnations that say that they are leaving may be used as a last resort."""
        self._leaving_ids: dict[str, LeavingId] = {}
        """Upstreams that have said that they are leaving, by id: an entry that is late may name an
        earlier start than the one that said so."""
        self._gone: dict[str, bool] = {}
        """Incarnations that were dropped, and whether they had said that they were leaving."""
        self._usable_cache: dict[str, list[Upstream]] = {}
        """Upstreams with entries that accept new requests, by service; cleared on every change."""

    def put(self, upstream: Upstream) -> bool:
        """Apply a written entry; returns whether it is new or differs from the known one."""
        known = self._members.get(upstream.id)
        excluded_until = float("-inf")
        if known is not None and known.upstream.key == upstream.key:
            excluded_until = known.excluded_until
        elif known is not None:
            self._ended_incarnations.append(known.upstream)
        if known is None or known.upstream.key != upstream.key:
            self._new_incarnations.append(upstream)
            self._apply_leaving_id(upstream)
        self._gone.pop(upstream.key, None)
        self._set(Member(upstream, None, excluded_until))
        return known is None or known.upstream != upstream or known.drop_at is not None

    def remove(self, upstream_id: str, now: float, lost: bool = False) -> bool:
        """Apply the removal of an entry, or that the store has `lost` it; returns whether the
        upstream was known."""
        known = self._members.get(upstream_id)
        if known is None:
            return False
        if known.upstream.draining:
            self.drop(upstream_id)
        elif known.drop_at is None:
            self._set(known._replace(drop_at=now + EXPIRY_GRACE_S, lost=lost))
        return True

    def mark_ended(self, upstream_key: str, now: float, for_s: float = ENDED_EXCLUSION_S) -> None:
        """Exclude an incarnation that was found to have ended, even if its entry still exists."""
        for member in list(self._members.values()):
            if member.upstream.key == upstream_key:
                until = max(member.excluded_until, now + for_s)
                self._set(member._replace(excluded_until=until))

    def set_evacuated_halls(self, halls: frozenset[str]) -> None:
        """Replace the evacuated data halls; their upstreams are not used, even as a last resort."""
        self._evacuated_halls = halls
        self._usable_cache.clear()

    def is_evacuated(self, upstream: Upstream) -> bool:
        """Whether the upstream is in an evacuated data hall."""
        return upstream.hall in self._evacuated_halls

    def mark_leaving(self, upstream: Upstream, last_use_at: float, said_at: float) -> None:
        """Record that an upstream's own response says, at a time of day, that it is leaving.

        It is used until `last_use_at` only if its service has no other upstream, and then no more.
        """
        if upstream.key in self._leaving:
            return
        self._leaving_ids.pop(upstream.id, None)
        self._leaving_ids[upstream.id] = LeavingId(last_use_at, said_at)
        drop_oldest(self._leaving_ids, MAX_LEAVING)
        self._mark_incarnation(upstream, last_use_at)

    def _mark_incarnation(self, upstream: Upstream, last_use_at: float) -> None:
        self._leaving[upstream.key] = last_use_at
        drop_oldest(self._leaving, MAX_LEAVING)
        self._usable_cache.clear()
        logger.info("upstream says that it is leaving", upstream=upstream.id)

    def mark_leaving_by_id(self, upstream_id: str, last_use_at: float, said_at: float) -> None:
        """Record that a response to a request for another upstream says that this one is leaving.

        It took over the other one's address, and its own entry may not be known yet.
        """
        self._leaving_ids.setdefault(upstream_id, LeavingId(last_use_at, said_at))
        drop_oldest(self._leaving_ids, MAX_LEAVING)
        known = self._members.get(upstream_id)
        if known is not None:
            self._apply_leaving_id(known.upstream)

    def _apply_leaving_id(self, upstream: Upstream) -> None:
        """Mark an incarnation as leaving that has said so; a later start has not."""
        leaving = self._leaving_ids.get(upstream.id)
        if leaving is not None and upstream.had_started(leaving.said_at):
            self._mark_incarnation(upstream, leaving.last_use_at)

    def is_leaving(self, upstream: Upstream) -> bool:
        """Whether a response of the upstream has said that it is leaving."""
        return upstream.key in self._leaving

    def has_left(self, upstream: Upstream, now: float) -> bool:
        """Whether an upstream that is leaving must not be used any more, even as a last resort."""
        return self._leaving.get(upstream.key, float("inf")) <= now

    def drop(self, upstream_id: str) -> bool:
        """Stop using an upstream; returns whether it was known."""
        known = self._members.pop(upstream_id, None)
        if known is None:
            return False
        self._ended_incarnations.append(known.upstream)
        self._gone[known.upstream.key] = known.upstream.draining
        drop_oldest(self._gone, MAX_GONE)
        self._usable_cache.clear()
        return True

    def take_ended_incarnations(self) -> list[Upstream]:
        """Return the incarnations that have ended since the previous call."""
        ended, self._ended_incarnations = self._ended_incarnations, []
        return ended

    def take_new_incarnations(self) -> list[Upstream]:
        """Return the incarnations that have become known since the previous call."""
        new, self._new_incarnations = self._new_incarnations, []
        return new

    def replace_all(self, listed: list[Upstream], now: float, returned: bool = False) -> None:
        """Replace all entries with the listed ones; `returned` tells that the store has come back
        from an older copy since the last list."""
        listed_ids = {upstream.id for upstream in listed}
        for missing in [name for name in self._members if name not in listed_ids]:
            self.remove(missing, now, lost=returned)
        for upstream in listed:
            said_leaving = self._gone.get(upstream.key) if returned else None
            self.put(upstream)
            if said_leaving is not None:
                self._exclude_returned(upstream, said_leaving, now)

    def _exclude_returned(self, upstream: Upstream, said_leaving: bool, now: float) -> None:
        """Don't use an upstream that was dropped and whose entry an older copy still holds."""
        if said_leaving:
            self._leaving.setdefault(upstream.key, float("-inf"))
        self.mark_ended(upstream.key, now)

    def drop_expired(self, now: float) -> list[Upstream]:
        """Drop and return the upstreams whose grace period has passed.

        Upstreams that were excluded as ended and still have an entry become usable again once
        their exclusion has expired.
        """
        if any(0.0 < m.excluded_until <= now for m in self._members.values()):
            self._clear_exclusions(now)
        expired = [m.upstream for m in self._members.values() if m.drop_at and m.drop_at <= now]
        for upstream in expired:
            self.drop(upstream.id)
        return expired

    def all(self) -> list[Upstream]:
        """All known upstreams, including draining ones."""
        return [member.upstream for member in self._members.values()]

    def usable(self, service: str, now: float) -> list[Upstream]:
        """Upstreams that accept new requests; those that are leaving or have no entry only as a
        last resort."""
        listed = self._usable_cache.get(service)
        if listed is None:
            listed = self._usable_cache[service] = [
                m.upstream
                for m in self._available(service, now)
                if (m.drop_at is None or m.lost) and not self.is_leaving(m.upstream)
            ]
        if listed:
            return listed
        return [
            m.upstream
            for m in self._available(service, now)
            if (m.drop_at is None or now < m.drop_at) and not self.has_left(m.upstream, now)
        ]

    def _available(self, service: str, now: float) -> list[Member]:
        return [
            member
            for member in self._members.values()
            if member.upstream.service == service
            and not member.upstream.draining
            and not self.is_evacuated(member.upstream)
            and member.excluded_until <= now
        ]

    def _clear_exclusions(self, now: float) -> None:
        for name, member in self._members.items():
            if member.excluded_until <= now:
                self._members[name] = member._replace(excluded_until=float("-inf"))
        self._usable_cache.clear()

    def _set(self, member: Member) -> None:
        self._members[member.upstream.id] = member
        self._usable_cache.clear()

    def __contains__(self, upstream_id: str) -> bool:
        return upstream_id in self._members
