"""Which gateways ask the store often, for all others.

Pure.  Calls to the store are paid for and its rates grow more slowly than the fleet, so a
few gateways confirm the configuration by short watches and the others ask one of them.
All rank the known names by the same hash.  A gateway is a scout while fewer than
`scout_count` of those before it in rank are known to answer, so scouts that die are followed
by the next ones without any agreement.
"""

from __future__ import annotations

import math
from typing import Final

from ramppost.policy.routing import unit

LEAST_SCOUTS: Final = 2
"""One may be dead or cut off before the others have noticed."""
DEAD_S: Final = 5.0
"""How long a gateway that did not answer is passed over."""


def ranked_names(names: list[str]) -> list[str]:
    """Names in the order in which they are scouts."""
    return sorted(names, key=lambda name: unit("scout", name))


def scout_count(gateways: int) -> int:
    """How many scouts a fleet has: few calls to the store, and few askers of each.

    >>> scout_count(6), scout_count(29), scout_count(410)
    (2, 3, 10)
    """
    return max(LEAST_SCOUTS, round(math.sqrt(gateways) / 2))


class Roll:
    """Other gateways by name, and which of them did not answer lately."""

    def __init__(self, own: str) -> None:
        self.own = own
        self.addrs: dict[str, str] = {}
        self._dead_until: dict[str, float] = {}

    def replace(self, addrs: dict[str, str]) -> None:
        """The gateways listed in the store, the own one left out."""
        self.addrs = {name: addr for name, addr in addrs.items() if name != self.own}

    def heard(self, name: str, answered: bool, now: float) -> None:
        """A gateway was asked."""
        if answered:
            self._dead_until.pop(name, None)
        else:
            self._dead_until[name] = now + DEAD_S

    def alive(self, now: float) -> list[str]:
        """Others that are not known to be dead, in rank."""
        names = [n for n in self.addrs if self._dead_until.get(n, 0.0) <= now]
        return ranked_names(names)

    def scouts(self, now: float) -> list[str]:
        """The scouts by what is known here; the own name may be among them.

        >>> roll = Roll("a")
        >>> roll.scouts(0.0)
        ['a']
        """
        return ranked_names([self.own, *self.alive(now)])[: scout_count(len(self.addrs) + 1)]

    def is_scout(self, now: float) -> bool:
        """Whether this gateway has to ask the store often."""
        return self.own in self.scouts(now)
