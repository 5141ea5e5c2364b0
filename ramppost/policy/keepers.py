"""Assigns each engine a keeper: the gateway that tracks the engine's backlog for all gateways.

Pure.  All gateways rank the gateways listed in the store by the same hash, so they agree without
communication.  They exchange messages with the keeper instead of with each other, so a request
costs a few datagrams regardless of the fleet size.  The keeper is in the engine's own data hall, so
that partitioned halls continue with their own engines.
"""

from __future__ import annotations

from collections.abc import Mapping

from ramppost.policy.routing import hash_fraction


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
