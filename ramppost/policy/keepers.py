"""Assigns each engine a keeper: the gateway that tracks the engine's backlog for all gateways.
Each session has two, which know the version that it runs on.

Pure.  All gateways rank the gateways listed in the store by the same hash, so they agree without
communication.  They exchange messages with the keeper instead of with each other, so a request
costs a few datagrams regardless of the fleet size.  The keeper is in the engine's own data hall, so
that partitioned halls continue with their own engines.
"""

from __future__ import annotations

import itertools
from bisect import bisect_left
from collections.abc import Container, Iterable, Mapping
from typing import Final, NamedTuple

from ramppost.policy.routing import hash_fraction

MAX_MISSED_REPLIES: Final = 2
"""Consecutive unanswered queries after which a keeper is excluded.  One miss is not enough, because
links occasionally lose a datagram."""
KEEPER_EXCLUSION_S: Final = 2.0
"""How long a keeper that did not answer is excluded."""
MAX_KEEPERS_CONSIDERED: Final = 16
"""Gateways after the first keeper among which one of another data hall is looked for."""


def keeper_of(engine: str, hall: str, halls: Mapping[str, str], silent: frozenset[str]) -> str:
    """The keeper of an engine, or "" if there is none.

    `halls` gives the data hall of each gateway; `silent` are those that recently did not respond.

    >>> halls = {"g1": "north", "g2": "south", "g3": "south"}
    >>> keeper_of("e", "north", halls, frozenset())
    'g1'
    >>> keeper_of("e", "north", halls, frozenset({"g1"})) in ("g2", "g3")
    True
    """
    live = [name for name in halls if name not in silent]
    local = [name for name in live if halls[name] == hall]
    return min(local or live, key=lambda name: hash_fraction("keeper", engine, name), default="")


class SilentKeepers:
    """The keepers that have not answered a gateway's queries lately; times on the steady clock.

    >>> silent = SilentKeepers()
    >>> silent.record_reply("g1", False, 0.0), silent.record_reply("g1", False, 0.1)
    (False, True)
    >>> silent.names(1.0), silent.names(3.0)
    (frozenset({'g1'}), frozenset())
    """

    def __init__(self) -> None:
        self._silent_until: dict[str, float] = {}
        self._missed_replies: dict[str, int] = {}
        """Consecutive unanswered queries, by keeper."""

    def names(self, now: float) -> frozenset[str]:
        """The excluded keepers."""
        return frozenset(name for name, until in self._silent_until.items() if until > now)

    def record_reply(self, keeper: str, answered: bool, now: float) -> bool:
        """Record whether a keeper answered in time; true if it is excluded from now on."""
        if answered:
            self._missed_replies.pop(keeper, None)
            return False
        self._missed_replies[keeper] = self._missed_replies.get(keeper, 0) + 1
        if self._missed_replies[keeper] < MAX_MISSED_REPLIES:
            return False
        self._silent_until[keeper] = now + KEEPER_EXCLUSION_S
        return True


class SessionRing(NamedTuple):
    """Gateways in the order of their hashes."""

    hashes: list[float]
    names: list[str]


def session_ring(names: Iterable[str]) -> SessionRing:
    """The ring on which the keepers of sessions are found."""
    points = sorted((hash_fraction("session-keeper", name), name) for name in names)
    return SessionRing([point for point, _ in points], [name for _, name in points])


def session_keepers(
    label: str, ring: SessionRing, halls: Mapping[str, str], unavailable: Container[str]
) -> list[str]:
    """The gateways that keep a session's version: two, of different data halls where there are.

    They follow the session's hash on the ring, so that a gateway that comes or goes changes the
    keepers of few sessions, and finding them takes the same time in a fleet of any size.

    >>> ring = session_ring(["g1", "g2", "g3"])
    >>> halls = {"g1": "north", "g2": "north", "g3": "south"}
    >>> keepers = session_keepers("s", ring, halls, ())
    >>> len(keepers), "g3" in keepers
    (2, True)
    >>> session_keepers("s", ring, halls, {"g3"}) == sorted(["g1", "g2"], key=ring.names.index)
    True
    """
    start = bisect_left(ring.hashes, hash_fraction("session", label))
    order = itertools.chain(range(start, len(ring.names)), range(start))
    available = (ring.names[index] for index in order if ring.names[index] not in unavailable)
    first = next(available, "")
    if not first:
        return []
    second = ""
    for name in itertools.islice(available, MAX_KEEPERS_CONSIDERED):
        second = second or name
        if halls.get(name) != halls.get(first):
            return [first, name]
    return [first, second] if second else [first]
