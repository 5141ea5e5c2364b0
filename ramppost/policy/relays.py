"""Which gateways watch the store for all others.

Pure.  Calls to the store are paid for and its rates grow more slowly than the fleet, so a
few gateways, the relays, watch it and the others follow one of them.  All rank the known
names the same way: those on wide links first, and among them by a hash.  A gateway is a relay
while fewer than `relay_count` of those before it in rank are known to answer, so relays that
die are replaced by the next ones without any agreement.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from typing import Final

from ramppost.policy.routing import unit

LEAST_RELAYS: Final = 1
"""Where it dies or is cut off, its followers notice within its usual silence and ask the store."""
GATEWAYS_A_RELAY: Final = 10
"""A call costs a relay 0.35 ms and some 1.2 KB, and each follower makes 1.25 a second: with nine
of them a relay stays below 1.5% of a core and 19 KB a second, whatever the size of the fleet."""
WIDE_MBPS: Final = 100.0
"""A link that carries the largest object that the store takes, a megabyte, in 0.1 s.  From here
on the hash decides, so that the widest links don't get all the work."""
DEAD_S: Final = 5.0
"""How long a gateway that did not answer is passed over."""
ANY_SHARE: Final = 0.5
"""Where the relays have not helped, the part of calls that go to any gateway."""


def ranked_names(names: list[str], links: Mapping[str, float] = {}) -> list[str]:
    """Names in the order in which they are relays; `links` gives what their links carry, Mbit/s.

    With relays on links of 10 Mbit/s the last gateway had a configuration of 0.87 MB up to
    3.6 s after the first.

    >>> ranked_names(["a", "b", "c"], {"c": 1000.0, "b": 10.0})
    ['c', 'b', 'a']
    """
    return sorted(names, key=lambda n: (-min(WIDE_MBPS, links.get(n, 0.0)), unit("relay", n)))


def relay_count(gateways: int) -> int:
    """How many relays a fleet has: few calls to the store, and few followers of each.

    >>> relay_count(4), relay_count(6), relay_count(29), relay_count(410)
    (1, 1, 3, 41)
    """
    return max(LEAST_RELAYS, round(gateways / GATEWAYS_A_RELAY))


class Peers:
    """Other gateways by name, and which of them did not answer lately."""

    def __init__(self, own: str, link_mbps: float = 0.0) -> None:
        self.own = own
        self.links = {own: link_mbps}
        """What the links of gateways carry, Mbit/s."""
        self.addrs: dict[str, str] = {}
        self.halls: dict[str, str] = {}
        self.listed = False
        """Whether the gateways have been listed once."""
        self.changes = 0
        """How often a gateway was listed that is new or has moved."""
        self._dead_until: dict[str, float] = {}
        self._back_at: dict[str, float] = {}
        """When gateways that are stopping will be back."""

    def put(self, name: str, addr: str, hall: str = "", link_mbps: float = 0.0) -> bool:
        """A gateway is listed in the store; true if that is new."""
        if name == self.own:
            return False
        self.links[name] = link_mbps
        if self.addrs.get(name) == addr:
            return False
        self.addrs[name] = addr
        self.halls[name] = hall
        self.changes += 1
        return True

    @property
    def fleet_size(self) -> int:
        """Gateways that are known with this one, those that left unseen among them; 0 while
        the list has not been seen."""
        return len(self.addrs) + 1 if self.listed or self.addrs else 0

    def leaves(self, name: str, back_at: float) -> None:
        """A gateway is stopping, and will be back at a time."""
        self._back_at[name] = back_at

    def leaving(self, name: str, now: float) -> bool:
        """Whether a gateway is stopping or not back yet."""
        return self._back_at.get(name, float("-inf")) > now

    def back_at(self, name: str, now: float) -> float:
        """When a gateway will be back; minus infinity for one that is not stopping."""
        return self._back_at[name] if self.leaving(name, now) else float("-inf")

    def heard(self, name: str, answered: bool, now: float) -> None:
        """A gateway was asked; one that answers but lags counts as one that does not answer."""
        if answered:
            self._dead_until.pop(name, None)
        else:
            self._dead_until[name] = now + DEAD_S

    def alive(self, now: float) -> list[str]:
        """Others that are not known to be dead, in rank."""
        names = [n for n in self.addrs if self._dead_until.get(n, 0.0) <= now]
        return ranked_names(names, self.links)

    def relays(self, now: float) -> list[str]:
        """The relays by what is known here; the own name may be among them.

        >>> peers = Peers("a")
        >>> peers.relays(0.0)
        ['a']
        """
        ranked = ranked_names([self.own, *self.alive(now)], self.links)
        return ranked[: relay_count(len(self.addrs) + 1)]

    def is_relay(self, now: float) -> bool:
        """Whether this gateway watches the store."""
        return self.own in self.relays(now)

    def to_follow(self, current: str, helped: bool, now: float, rng: random.Random) -> str:
        """Whom to ask next: the one that helped, else a relay or any other; empty for nobody.

        >>> peers = Peers("a")
        >>> listed = peers.put("b", "10.0.0.2:7340")
        >>> peers.to_follow("", False, 0.0, random.Random(1))
        'b'
        """
        relays = [name for name in self.relays(now) if name != self.own]
        if helped and current in relays:
            return current
        others = self.alive(now)
        widely = not relays or (bool(current) and rng.random() < ANY_SHARE)
        found = others if widely else relays
        return rng.choice(found) if found else ""
