"""Divides a whole number among gateways that don't talk to each other.

Pure.  Each gateway computes its part from the names that are listed in the store, so the parts of
all add up to the total as long as they know the same names.
"""

from __future__ import annotations

from collections.abc import Collection

from ramppost.policy.routing import hash_fraction


def ranked(names: Collection[str], *key: str) -> list[str]:
    """The names in the order of rendezvous hashing for a key."""
    return sorted(names, key=lambda name: hash_fraction(*key, name))


def part_of(total: int, name: str, names: Collection[str], *key: str) -> int:
    """The part of a total that belongs to a name: an even part, and one of the remainder for those
    that rank first for the key; 0 if the name is not among them.

    >>> fleet = [f"g{number}" for number in range(29)]
    >>> sum(part_of(14, name, fleet, "warm-up", "u") for name in fleet)
    14
    >>> part_of(14, "g1", ["g1", "g2"], "u"), part_of(14, "g3", ["g1", "g2"], "u")
    (7, 0)
    """
    if name not in names:
        return 0
    whole, remainder = divmod(total, len(names))
    if remainder == 0:
        return whole
    return whole + (ranked(names, *key).index(name) < remainder)
