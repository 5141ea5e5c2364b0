"""Which gateway keeps the backlog of an engine, so that the words of all gateways meet there.

Pure.  All gateways rank the names that are listed in the store by the same hash, so they
agree without talking.  Whoever asks one keeper tells one gateway instead of all, so a
request costs a few datagrams whatever the size of the fleet.  The keeper stands in the
engine's own data hall: halls that lose each other go on with their own engines.
"""

from __future__ import annotations

from collections.abc import Mapping

from ramppost.policy.routing import hash_fraction


def keeper_of(engine: str, hall: str, halls: Mapping[str, str], silent: frozenset[str]) -> str:
    """The gateway that keeps an engine's backlog; empty where nobody can.

    `halls` gives the data hall of each gateway, `silent` those that did not answer lately.

    >>> halls = {"g1": "north", "g2": "south", "g3": "south"}
    >>> keeper_of("e", "north", halls, frozenset())
    'g1'
    >>> keeper_of("e", "north", halls, frozenset({"g1"})) in ("g2", "g3")
    True
    """
    there = [name for name in halls if name not in silent]
    near = [name for name in there if halls[name] == hall]
    return min(near or there, key=lambda name: hash_fraction("keeper", engine, name), default="")
