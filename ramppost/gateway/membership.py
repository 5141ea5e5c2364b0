"""Which upstreams there are, by their own entries in the store.

An entry that is removed while the store works well means that its upstream has left.
One that is removed around an outage may only have lapsed, because its upstream could
not renew it: such an upstream is kept for a grace and dropped if it has not come back.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from ramppost.gateway.model import Upstream

LAPSE_GRACE_S: Final = 1.7
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

    def put(self, upstream: Upstream) -> bool:
        """An entry was written; true if it is new or differs from what was known."""
        known = self._members.get(upstream.id)
        self._members[upstream.id] = Member(upstream, None)
        return known is None or known.upstream != upstream or known.drop_at is not None

    def remove(self, upstream_id: str, now: float, lapsing: bool) -> bool:
        """An entry is gone; `lapsing` where it may come back.  True if it was known."""
        known = self._members.get(upstream_id)
        if known is None:
            return False
        if not lapsing or known.upstream.leaving:
            del self._members[upstream_id]
        elif known.drop_at is None:
            self._members[upstream_id] = Member(known.upstream, now + LAPSE_GRACE_S)
        return True

    def replace_all(self, listed: list[Upstream], now: float, lapsing: bool) -> None:
        """The entries are exactly these."""
        there = {upstream.id for upstream in listed}
        for missing in [name for name in self._members if name not in there]:
            self.remove(missing, now, lapsing)
        for upstream in listed:
            self.put(upstream)

    def sweep(self, now: float) -> list[Upstream]:
        """Drop those whose grace has passed; gives them."""
        gone = [m.upstream for m in self._members.values() if m.drop_at and m.drop_at <= now]
        for upstream in gone:
            del self._members[upstream.id]
        return gone

    def all(self) -> list[Upstream]:
        """Every upstream, leaving ones too."""
        return [member.upstream for member in self._members.values()]

    def usable(self, service: str, now: float) -> list[Upstream]:
        """Upstreams of a service that take new work."""
        return [
            member.upstream
            for member in self._members.values()
            if member.upstream.service == service
            and not member.upstream.leaving
            and (member.drop_at is None or now < member.drop_at)
        ]

    def __contains__(self, upstream_id: str) -> bool:
        return upstream_id in self._members
