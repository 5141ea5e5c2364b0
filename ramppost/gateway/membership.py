"""Which upstreams there are, by their own entries in the store.

An entry that is removed means that its upstream has left, or that it could not renew the
entry because the store was away; then it is back soon.  Which of the two can't be told
when it happens.  So an upstream whose entry is gone is used only where its service has
no other, and dropped after a grace if the entry has not come back.

The entry of an upstream that has ended stays for some seconds.  Where that is found out otherwise,
it is not used at all meanwhile, since its box refuses every connection.

An upstream may start again under its id.  Then it is another one: `take_gone` gives the start
that is over, so that nothing known of it is held against the new one.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from ramppost.gateway.model import Upstream

EXPIRY_GRACE_S: Final = 1.6
"""Entries that lapsed in an outage are back about 2 s after it, and an upstream that was
removed for good must get nothing after 2 s: the margin is for the way to it."""


ENDED_EXCLUSION_S: Final = 4.0
"""The entry of one that has ended goes after three of its heartbeats, of 1.2 s and less."""


class Member(NamedTuple):
    """An upstream, when it is dropped if its entry stays away, and until when it is not used since
    it was found to have ended (steady clock)."""

    upstream: Upstream
    drop_at: float | None
    excluded_until: float = float("-inf")


class Members:
    """The upstreams known now, by id."""

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}
        self._ended_incarnations: list[Upstream] = []
        self._evacuated_halls: frozenset[str] = frozenset()
        self._usable_cache: dict[str, list[Upstream]] = {}
        """Upstreams of a service that take new work and have entries, until the next change."""

    def put(self, upstream: Upstream) -> bool:
        """An entry was written; true if it is new or differs from what was known."""
        known = self._members.get(upstream.id)
        ended_until = float("-inf")
        if known is not None and known.upstream.key == upstream.key:
            ended_until = known.excluded_until
        elif known is not None:
            self._ended_incarnations.append(known.upstream)
        self._set(Member(upstream, None, ended_until))
        return known is None or known.upstream != upstream or known.drop_at is not None

    def remove(self, upstream_id: str, now: float) -> bool:
        """An entry is gone.  True if it was known."""
        known = self._members.get(upstream_id)
        if known is None:
            return False
        if known.upstream.draining:
            self.drop(upstream_id)
        elif known.drop_at is None:
            self._set(known._replace(drop_at=now + EXPIRY_GRACE_S))
        return True

    def mark_ended(self, upstream_key: str, now: float, for_s: float = ENDED_EXCLUSION_S) -> None:
        """The start of an upstream was found to be over, whatever its entry says."""
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

    def drop(self, upstream_id: str) -> bool:
        """An upstream must not be used any more.  True if it was known."""
        known = self._members.pop(upstream_id, None)
        if known is None:
            return False
        self._ended_incarnations.append(known.upstream)
        self._usable_cache.clear()
        return True

    def take_ended_incarnations(self) -> list[Upstream]:
        """The starts of upstreams that are over since this was last called."""
        gone, self._ended_incarnations = self._ended_incarnations, []
        return gone

    def replace_all(self, listed: list[Upstream], now: float) -> None:
        """The entries are exactly these."""
        there = {upstream.id for upstream in listed}
        for missing in [name for name in self._members if name not in there]:
            self.remove(missing, now)
        for upstream in listed:
            self.put(upstream)

    def drop_expired(self, now: float) -> list[Upstream]:
        """Drop those whose grace has passed; gives them.  Any that were found to have ended and are
        listed still are used again in time."""
        if any(0.0 < m.excluded_until <= now for m in self._members.values()):
            self._clear_exclusions(now)
        gone = [m.upstream for m in self._members.values() if m.drop_at and m.drop_at <= now]
        for upstream in gone:
            self.drop(upstream.id)
        return gone

    def all(self) -> list[Upstream]:
        """Every upstream, leaving ones too."""
        return [member.upstream for member in self._members.values()]

    def usable(self, service: str, now: float) -> list[Upstream]:
        """Upstreams of a service that take new work; those without an entry as a last resort."""
        listed = self._usable_cache.get(service)
        if listed is None:
            listed = self._usable_cache[service] = [
                m.upstream for m in self._available(service, now) if m.drop_at is None
            ]
        if listed:
            return listed
        working = self._available(service, now)
        return [m.upstream for m in working if m.drop_at is not None and now < m.drop_at]

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
