"""Which gateways watch the store for all others, and who tells whom.

Pure.  Calls to the store are paid for and its rates grow more slowly than the fleet, so a
few gateways, the relays, watch it.  A small fleet follows them directly.  In a larger one each
data hall has gateways of its own that follow a relay and tell the rest of their hall: what goes
from hall to hall grows with the halls and not with the gateways, and a relay tells few.

All rank the known names the same way: those on wide links first, and among them by a hash.  A
gateway has a part while few enough of those before it in rank are known to answer, so gateways
that die are replaced by the next ones without any agreement.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Mapping
from typing import Final, NamedTuple

from ramppost.policy.routing import hash_fraction

MIN_RELAYS: Final = 1
"""Where it dies or is cut off, its followers notice within its usual silence and ask the store."""
GATEWAYS_PER_RELAY: Final = 34
"""Two relays for 68 gateways and twelve for 410.  Each makes two calls a second to the store in
calm times and four while upstreams change; with one for ten gateways these were 510 of the
2,125 calls of 68 in 36 s of a calm day (a line counted for each call)."""
MAX_FLAT_FLEET: Final = 20
"""Gateways of a fleet in which all follow the relays directly."""
FOLLOWERS_PER_DISTRIBUTOR: Final = 10
"""Gateways of a hall for each that tells them.  A call costs 0.35 ms on each side and each follower
makes 1.25 a second: with so many it is 0.5% of a core."""
WIDE_LINK_MBPS: Final = 100.0
"""A link that carries the largest object that the store takes, a megabyte, in 0.1 s.  From here
on the hash decides, so that the widest links don't get all the work."""
MAX_EVIDENCE_COLLECTORS: Final = 2
"""One may die, or be cut off, with what it was told."""
UNREACHABLE_SKIP_S: Final = 5.0
"""How long a gateway that did not answer is passed over."""
REFUSED_SKIP_S: Final = 1.0
"""How long one whose box refuses connections is passed over: it may be starting."""
ANY_GATEWAY_SHARE: Final = 0.5
"""Where those who tell have not helped, the part of calls that go to any gateway."""
MIN_START_HOLD_S: Final = 0.15
"""How long any start waits to be told: many times the way there and back.  With 0.4 s, where all 68
of a fleet were killed, half of them knew nothing for 0.35 s and turned 72 callers away."""
MAX_CONCURRENT_STARTS: Final = 100
"""Gateways that may ask the store at once: 0.9 MB each, were there 3,000 upstreams, take 0.7 s of
a link of 1,000 Mbit/s, less than a call may take."""
STARTS_PER_S: Final = 130.0
"""Beyond these, so many a second, which is what that link carries of such lists."""
RELAY_DEPTH: Final = 0
"""Depth of a relay: it watches the store."""
FOLLOWS_RELAY_DEPTH: Final = 1
FOLLOWS_HALL_DEPTH: Final = 2


def rank_gateways(names: list[str], links: Mapping[str, float] = {}) -> list[str]:
    """Names in the order in which they are relays; `links` gives what their links carry, Mbit/s.

    With relays on links of 10 Mbit/s the last gateway had a configuration of 0.87 MB up to
    3.6 s after the first.

    >>> rank_gateways(["a", "b", "c"], {"c": 1000.0, "b": 10.0})
    ['c', 'b', 'a']
    """
    return sorted(
        names, key=lambda n: (-min(WIDE_LINK_MBPS, links.get(n, 0.0)), hash_fraction("relay", n))
    )


def relay_count(gateways: int) -> int:
    """How many relays a fleet has: few calls to the store, and few followers of each.

    >>> relay_count(4), relay_count(32), relay_count(68), relay_count(410)
    (1, 1, 2, 12)
    """
    return max(MIN_RELAYS, round(gateways / GATEWAYS_PER_RELAY))


def start_hold_s(gateways: int, place: float) -> float:
    """How long a start waits to be told before it asks the store, seconds; `place` in [0, 1)
    spreads the starts of a large fleet.

    The load this answers: all gateways start again at once.  In a fleet of 68 they know all in
    0.2 s, by others or by the store.  Where 298 asked the store for 3,000 upstreams within
    moments, 268 MB held its link up, calls ran out of time and were made again, and callers
    were served 8.5 s after the kill.

    >>> [round(start_hold_s(size, 0.9), 2) for size in (6, 100, 298, 410)]
    [0.15, 0.15, 1.6, 2.42]
    """
    spread_s = max(0, gateways - MAX_CONCURRENT_STARTS) / STARTS_PER_S
    # Half of it for all: by then the relays have listed, and those who tell have been told.
    return MIN_START_HOLD_S + (1 + place) / 2 * spread_s


class Roles(NamedTuple):
    """The relays, and those who tell each hall, in rank."""

    relays: list[str]
    distributors: dict[str, list[str]]


class Peers:
    """Other gateways by name, and which of them did not answer lately."""

    def __init__(self, own: str, link_mbps: float = 0.0, hall: str = "") -> None:
        self.own = own
        self.links = {own: link_mbps}
        """What the links of gateways carry, Mbit/s."""
        self.addrs: dict[str, str] = {}
        self.halls = {own: hall}
        self.listed = False
        """Whether the gateways have been listed once."""
        self.changes = 0
        """How often a gateway was listed that is new or has moved."""
        self._skipped_until: dict[str, float] = {}
        self._back_at: dict[str, float] = {}
        """When gateways that are stopping will be back."""
        self._ranked = [own]
        """All names in rank, as of `_ranked_at` changes."""
        self._ranked_at = 0
        self._roles = Roles([own], {hall: [own]})
        self._roles_key: tuple[int, frozenset[str]] = (-1, frozenset())
        """The list and the dead that `_roles` were worked out for."""

    def put(self, name: str, addr: str, hall: str = "", link_mbps: float = 0.0) -> bool:
        """A gateway is listed in the store; true if that is new."""
        if name == self.own:
            return False
        known = (self.addrs.get(name), self.halls.get(name), self.links.get(name))
        if known == (addr, hall, link_mbps):
            return False
        self.addrs[name] = addr
        self.halls[name] = hall
        self.links[name] = link_mbps
        self.changes += 1
        return known[0] != addr

    @property
    def fleet_size(self) -> int:
        """Gateways that are known with this one, those that left unseen among them; 0 while
        the list has not been seen."""
        return len(self.addrs) + 1 if self.listed or self.addrs else 0

    def mark_stopping(self, name: str, back_at: float) -> None:
        """A gateway is stopping, and will be back at a time."""
        self._back_at[name] = back_at

    def is_stopping(self, name: str, now: float) -> bool:
        """Whether a gateway is stopping or not back yet."""
        return self._back_at.get(name, float("-inf")) > now

    def back_at(self, name: str, now: float) -> float:
        """When a gateway will be back; minus infinity for one that is not stopping."""
        return self._back_at[name] if self.is_stopping(name, now) else float("-inf")

    def record_call(
        self, name: str, answered: bool, now: float, for_s: float = UNREACHABLE_SKIP_S
    ) -> None:
        """A gateway was asked.  One that does not answer is passed over for `for_s`; one that
        answers but lags counts as such."""
        if answered:
            self._skipped_until.pop(name, None)
        else:
            self._skipped_until[name] = now + for_s

    def alive(self, now: float) -> list[str]:
        """Others that are not known to be dead, in rank."""
        return [name for name in self._live_names(now) if name != self.own]

    def local_peers(self) -> list[str]:
        """Others that callers of this gateway come to as well: all of a small fleet, those of the
        own hall of a larger one.

        Where all are stopped in turn and each tells all, datagrams grow with the square of the
        fleet: 168,000 a second with 410, and 4,700 a hall where each tells its hall (arithmetic).
        """
        own = self.halls[self.own]
        return [name for name in self.addrs if self._is_flat() or self.halls[name] == own]

    def evidence_collectors(self, now: float) -> list[str]:
        """Others that are told what is to be judged by the word of all: everybody in a small fleet,
        the first in rank of a larger one.

        >>> peers = Peers("a")
        >>> [peers.put(name, "10.0.0.1:7340") for name in "bc"]
        [True, True]
        >>> sorted(peers.evidence_collectors(0.0))
        ['b', 'c']
        """
        others = self.alive(now)
        return others if self._is_flat() else others[:MAX_EVIDENCE_COLLECTORS]

    def has_all_evidence(self, now: float) -> bool:
        """Whether the others tell this gateway what is to be judged by the word of all.

        >>> Peers("a").has_all_evidence(0.0)
        True
        """
        return self._is_flat() or self.own in self._live_names(now)[:MAX_EVIDENCE_COLLECTORS]

    def relays(self, now: float) -> list[str]:
        """The relays by what is known here; the own name may be among them.

        They are taken from those who tell their halls, so that whoever follows a relay is next
        in rank and notices its end.

        >>> peers = Peers("a")
        >>> peers.relays(0.0)
        ['a']
        """
        return self._current_roles(now).relays

    def hall_distributors(self, now: float) -> list[str]:
        """Those who tell the own hall; the own name may be among them."""
        return self._current_roles(now).distributors[self.halls[self.own]]

    def is_relay(self, now: float) -> bool:
        """Whether this gateway watches the store."""
        return self.own in self.relays(now)

    def write_delay_s(self, spread_s: float, place: float, now: float) -> float:
        """How long this gateway holds back a write that any may make, so that the first one's
        spares the others': `place` in [0, 1) spreads the relays over `spread_s`, and the others,
        whom those writes then have reached, over as long after it.

        With all 68 gateways of a fleet in one spread of 0.5 s, 63 of them read and wrote the
        progress of one roll-out.

        >>> peers = Peers("a")
        >>> peers.write_delay_s(0.25, 0.5, 0.0)
        0.125
        """
        return spread_s * place + (0.0 if self.is_relay(now) else spread_s)

    def depth(self, now: float) -> int:
        """How many gateways the news of the store pass before this one."""
        if self.is_relay(now):
            return RELAY_DEPTH
        if self._is_flat() or self.own in self.hall_distributors(now):
            return FOLLOWS_RELAY_DEPTH
        return FOLLOWS_HALL_DEPTH

    def choose_source(self, current: str, helped: bool, now: float, rng: random.Random) -> str:
        """Whom to ask next: the one that helped, else one of those who tell this gateway or any
        other; empty for nobody.

        >>> peers = Peers("a")
        >>> listed = peers.put("b", "10.0.0.2:7340")
        >>> peers.choose_source("", False, 0.0, random.Random(1))
        'b'
        """
        by_hall = self.depth(now) == FOLLOWS_HALL_DEPTH
        telling = self.hall_distributors(now) if by_hall else self.relays(now)
        telling = [name for name in telling if name != self.own]
        if helped and current in telling:
            return current
        others = self.alive(now)
        widely = not telling or (bool(current) and rng.random() < ANY_GATEWAY_SHARE)
        found = others if widely else telling
        return rng.choice(found) if found else ""

    def _is_flat(self) -> bool:
        return len(self.addrs) + 1 <= MAX_FLAT_FLEET

    def _live_names(self, now: float) -> list[str]:
        """All that are not known to be dead, in rank, this gateway among them."""
        if self._ranked_at != self.changes:
            self._ranked_at = self.changes
            self._ranked = rank_gateways([self.own, *self.addrs], self.links)
        return [name for name in self._ranked if self._skipped_until.get(name, 0.0) <= now]

    def _current_roles(self, now: float) -> Roles:
        """Who has which part; worked out again only as gateways come, die or are back."""
        dead = frozenset(name for name, until in self._skipped_until.items() if until > now)
        if (self.changes, dead) != self._roles_key:
            self._roles_key = (self.changes, dead)
            self._roles = self._assign_roles(now)
        return self._roles

    def _assign_roles(self, now: float) -> Roles:
        there = self._live_names(now)
        sizes = Counter(self.halls.values())
        local_peers: dict[str, list[str]] = {hall: [] for hall in sizes}
        for name in there:
            local_peers[self.halls[name]].append(name)
        distributors = {
            hall: names[: max(1, round(sizes[hall] / FOLLOWERS_PER_DISTRIBUTOR))]
            for hall, names in local_peers.items()
        }
        if not self._is_flat():
            telling = {name for names in distributors.values() for name in names}
            there = [name for name in there if name in telling]
        return Roles(there[: relay_count(len(self.addrs) + 1)], distributors)
