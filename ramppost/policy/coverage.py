"""Tells how much of a fleet's evidence a gateway has, and so what it may decide for the fleet.

Pure.  Which gateways there are is what the store lists.  Whom this one has heard lately is another
thing: a gateway that is cut off hears nobody, and can't tell that from being the last that runs.
Only one part of a partitioned fleet can hold a majority of the listed gateways, so what a gateway
decides by evidence that seems complete, it may decide only if it hears a majority.  Others need
evidence of their own that is strong by itself (`ramppost.policy.guard`).  Gateways that have
announced a planned stop don't count.

    found = coverage(peers, rollout.account.heard(now, HEARD_S), now)
    if found.has_majority: ...
"""

from __future__ import annotations

from collections.abc import Set
from typing import Final, NamedTuple

from ramppost.policy.relays import Peers

HEARD_S: Final = 2.5
"""How long a gateway counts as heard that has told its evidence: it does so every second, and one
datagram in a row may be lost."""


class Coverage(NamedTuple):
    """Numbers of gateways that are listed, and of those that are heard; both with this one, and 0
    listed while the list has not been read."""

    listed: int
    heard: int

    @property
    def has_majority(self) -> bool:
        """Whether a majority is heard.

        >>> Coverage(3, 2).has_majority, Coverage(4, 2).has_majority, Coverage(0, 1).has_majority
        (True, False, False)
        """
        return 0 < self.listed < 2 * self.heard

    def extrapolate(self, count: float) -> float:
        """What all listed gateways have seen, if each has seen as much as those that are heard.

        >>> Coverage(3, 1).extrapolate(40)
        120.0
        """
        return count * max(self.listed, self.heard) / self.heard


def coverage(peers: Peers, heard: Set[str], now: float) -> Coverage:
    """How many of the gateways that should run have been heard."""
    if not peers.fleet_size:
        return Coverage(0, 1)
    others = peers.addrs.keys() - peers.stopping(now)
    return Coverage(1 + len(others), 1 + len(others & heard))


def hears_fleet(peers: Peers, heard: Set[str], now: float) -> bool:
    """Whether gateways send this one their evidence, and a majority of them is heard."""
    return peers.has_all_evidence(now) and coverage(peers, heard, now).has_majority
