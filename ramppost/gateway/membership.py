"""Which upstreams there are, by their own entries in the store.

An entry that is removed means that its upstream has left, or that it could not renew the
entry because the store was away; then it is back soon.  Which of the two can't be told
when it happens.  So an upstream whose entry is gone is used only where its service has
no other, and dropped after a grace if the entry has not come back.

An upstream may start again under its id.  Then it is another one: `take_gone` gives the start
that is over, so that nothing known of it is held against the new one.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from ramppost.gateway.model import Upstream

LAPSE_GRACE_S: Final = 1.6
"""Entries that lapsed in an outage are back about 2 s after it, and an upstream that was
removed for good must get nothing after 2 s: the margin is for the way to it."""


class Member(NamedTuple):
    """An upstream, and when it is dropped if its entry stays away (steady clock)."""

    upstream: Upstream
    drop_at: float | None


class Members:
    """The upstreams known now, by id."""

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}
        self._gone: list[Upstream] = []
        self._listed: dict[str, list[Upstream]] = {}
        """Upstreams of a service that take new work and have entries, until the next change."""

    def put(self, upstream: Upstream) -> bool:
        """An entry was written; true if it is new or differs from what was known."""
        known = self._members.get(upstream.id)
        if known is not None and known.upstream.key != upstream.key:
            self._gone.append(known.upstream)
        self._set(Member(upstream, None))
        return known is None or known.upstream != upstream or known.drop_at is not None

    def remove(self, upstream_id: str, now: float) -> bool:
        """An entry is gone.  True if it was known."""
        known = self._members.get(upstream_id)
        if known is None:
            return False
        if known.upstream.leaving:
            self.drop(upstream_id)
        elif known.drop_at is None:
            self._set(Member(known.upstream, now + LAPSE_GRACE_S))
        return True

    def drop(self, upstream_id: str) -> bool:
        """An upstream must not be used any more.  True if it was known."""
        known = self._members.pop(upstream_id, None)
        if known is None:
            return False
        self._gone.append(known.upstream)
        self._listed.clear()
        return True

    def take_gone(self) -> list[Upstream]:
        """The starts of upstreams that are over since this was last called."""
        gone, self._gone = self._gone, []
        return gone

    def replace_all(self, listed: list[Upstream], now: float) -> None:
        """The entries are exactly these."""
        there = {upstream.id for upstream in listed}
        for missing in [name for name in self._members if name not in there]:
            self.remove(missing, now)
        for upstream in listed:
            self.put(upstream)

    def sweep(self, now: float) -> list[Upstream]:
        """Drop those whose grace has passed; gives them."""
        gone = [m.upstream for m in self._members.values() if m.drop_at and m.drop_at <= now]
        for upstream in gone:
            self.drop(upstream.id)
        return gone

    def all(self) -> list[Upstream]:
        """Every upstream, leaving ones too."""
        return [member.upstream for member in self._members.values()]

    def usable(self, service: str, now: float) -> list[Upstream]:
        """Upstreams of a service that take new work; those without an entry as a last resort."""
        listed = self._listed.get(service)
        if listed is None:
            listed = self._listed[service] = [
                m.upstream for m in self._working(service) if m.drop_at is None
            ]
        if listed:
            return listed
        return [
            m.upstream for m in self._working(service) if m.drop_at is not None and now < m.drop_at
        ]

    def _working(self, service: str) -> list[Member]:
        return [
            member
            for member in self._members.values()
            if member.upstream.service == service and not member.upstream.leaving
        ]

    def _set(self, member: Member) -> None:
        self._members[member.upstream.id] = member
        self._listed.clear()

    def __contains__(self, upstream_id: str) -> bool:
        return upstream_id in self._members
