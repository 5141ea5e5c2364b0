"""Assigns the gateways that watch the store and distribute its changes to the others.

Pure.  Store calls are billed, and the store's rate limits grow more slowly than the fleet.
Therefore only a few gateways, the relays, watch it.  In a small fleet all others follow a relay
directly.  In a larger fleet each data hall has distributors, which follow a relay and pass changes
on to the rest of their hall: traffic between halls grows with the number of halls and not of
gateways, and each relay has few followers.

All gateways compute the same ranking of the known names: gateways with fast links first, then by
a hash.  A gateway has a role while few enough gateways that rank before it are believed alive, so
failed gateways are replaced by the next ones without a consensus protocol.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Mapping
from typing import Final, NamedTuple

from ramppost.policy.routing import hash_fraction

MIN_RELAYS: Final = 1
"""If the only relay fails or is partitioned, its followers time out and read the store directly."""
GATEWAYS_PER_RELAY: Final = 34
"""This gives two relays for 68 gateways and twelve for 410.  Each makes two store calls per second,
and four while upstreams change.  With one relay for ten gateways, relays made 510 of the 2,125
calls of 68 gateways in 36 s without faults (counted by log lines, one for each call)."""
MAX_FLAT_FLEET: Final = 20
"""Size of the largest fleet in which all gateways follow the relays directly."""
FOLLOWERS_PER_DISTRIBUTOR: Final = 10
"""Gateways of a hall for each distributor.  A call costs 0.35 ms of CPU time on each side and each
follower makes 1.25 per second, so this many followers take 0.5% of a core."""
WIDE_LINK_MBPS: Final = 100.0
"""Link speed that transfers the largest store object, a megabyte, in 0.1 s.  Faster links are not
ranked any higher, so that the hash spreads the load over them."""
MAX_EVIDENCE_COLLECTORS: Final = 2
"""Two, because one may fail or be partitioned with the evidence that it received."""
UNREACHABLE_SKIP_S: Final = 5.0
"""How long a gateway that did not respond is skipped."""
REFUSED_SKIP_S: Final = 1.0
"""How long a gateway is skipped whose box refuses connections: it may be starting."""
ANY_GATEWAY_SHARE: Final = 0.5
"""Probability of calling a random gateway if the last relay or distributor was of no help."""
MIN_START_HOLD_S: Final = 0.15
"""Minimum time that a starting gateway waits for a peer's data: many round trips.  With 0.4 s, when
all 68 gateways of a fleet were killed, half of them had no data for 0.35 s and rejected 72
requests."""
MAX_CONCURRENT_STARTS: Final = 100
"""Gateways that may read the store at once: at 0.9 MB each, for 3,000 upstreams, they take 0.7 s of
a 1,000 Mbit/s link, which is within the timeout of a call."""
STARTS_PER_S: Final = 130.0
"""Rate at which any further gateways read the store: that link's capacity in such lists."""
RELAY_DEPTH: Final = 0
"""Depth of a gateway that watches the store."""
FOLLOWS_RELAY_DEPTH: Final = 1
FOLLOWS_HALL_DEPTH: Final = 2


def rank_gateways(names: list[str], links: Mapping[str, float] = {}) -> list[str]:
    """Names in order of preference as relays; `links` gives their link speeds in Mbit/s.

    With relays on links of 10 Mbit/s, the last gateway received a configuration of 0.87 MB up to
    3.6 s after the first.

    >>> rank_gateways(["a", "b", "c"], {"c": 1000.0, "b": 10.0})
    ['c', 'b', 'a']
    """
    return sorted(
        names, key=lambda n: (-min(WIDE_LINK_MBPS, links.get(n, 0.0)), hash_fraction("relay", n))
    )


def relay_count(gateways: int) -> int:
    """Number of relays of a fleet: a balance between store calls and followers of each relay.

    >>> relay_count(4), relay_count(32), relay_count(68), relay_count(410)
    (1, 1, 2, 12)
    """
    return max(MIN_RELAYS, round(gateways / GATEWAYS_PER_RELAY))


def start_hold_s(gateways: int, place: float) -> float:
    """Seconds that a starting gateway waits for a peer's data before it reads the store; `place` in
    [0, 1) spreads the starts of a large fleet.

    This limits the load on the store when all gateways restart at once.  In a fleet of 68, all have
    their data in 0.2 s, from peers or the store.  When 298 gateways read 3,000 upstreams from the
    store simultaneously, 268 MB saturated its link, calls timed out and were retried, and callers
    were served only 8.5 s after the gateways were killed.

    >>> [round(start_hold_s(size, 0.9), 2) for size in (6, 100, 298, 410)]
    [0.15, 0.15, 1.6, 2.42]
    """
    spread_s = max(0, gateways - MAX_CONCURRENT_STARTS) / STARTS_PER_S
    # All wait half of the spread: by then the relays have read the store and updated distributors.
    return MIN_START_HOLD_S + (1 + place) / 2 * spread_s


class Roles(NamedTuple):
    """The relays, and the distributors of each hall, by rank."""

    relays: list[str]
    distributors: dict[str, list[str]]


class Peers:
    """Other gateways by name, and which of them recently failed to respond."""

    def __init__(self, own: str, link_mbps: float = 0.0, hall: str = "") -> None:
        self.own = own
        self.links = {own: link_mbps}
        """Link speeds of gateways in Mbit/s."""
        self.addrs: dict[str, str] = {}
        self.halls = {own: hall}
        self.listed = False
        """Whether the list of gateways has been read once."""
        self.changes = 0
        """Number of new or changed entries in the list of gateways."""
        self._skip_until: dict[str, float] = {}
        self._back_at: dict[str, float] = {}
        """When gateways that are stopping will have restarted."""
        self._ranked = [own]
        """All names by rank when `changes` was `_ranked_at`."""
        self._ranked_at = 0
        self._roles = Roles([own], {hall: [own]})
        self._roles_key: tuple[int, frozenset[str], frozenset[str]] = (-1, frozenset(), frozenset())
        """The `changes` and the skipped gateways for which `_roles` was computed."""

    def put(self, name: str, addr: str, hall: str = "", link_mbps: float = 0.0) -> bool:
        """Add or update a gateway that the store lists; true if its address is new."""
        if name == self.own:
            return False
        previous = (self.addrs.get(name), self.halls.get(name), self.links.get(name))
        if previous == (addr, hall, link_mbps):
            return False
        self.addrs[name] = addr
        self.halls[name] = hall
        self.links[name] = link_mbps
        self.changes += 1
        return previous[0] != addr

    @property
    def names(self) -> list[str]:
        """Names of all known gateways including this one."""
        return [self.own, *self.addrs]

    @property
    def fleet_size(self) -> int:
        """Number of known gateways including this one and any that have silently gone; 0 until the
        list has been read."""
        return len(self.addrs) + 1 if self.listed or self.addrs else 0

    def hall_size(self, hall: str) -> int:
        """Number of known gateways in a data hall."""
        return tuple(self.halls.values()).count(hall)

    def mark_stopping(self, name: str, back_at: float) -> None:
        """Record that a gateway is stopping and expects to have restarted at `back_at`."""
        self._back_at[name] = back_at

    def is_stopping(self, name: str, now: float) -> bool:
        """Whether a gateway is stopping or has not restarted yet."""
        return self._back_at.get(name, float("-inf")) > now

    def stopping(self, now: float) -> set[str]:
        """All gateways that are stopping or have not restarted yet."""
        return {name for name, back_at in self._back_at.items() if back_at > now}

    def back_at(self, name: str, now: float) -> float:
        """When a stopping gateway will have restarted; minus infinity for any other."""
        return self._back_at[name] if self.is_stopping(name, now) else float("-inf")

    def record_call(
        self, name: str, answered: bool, now: float, for_s: float = UNREACHABLE_SKIP_S
    ) -> None:
        """Record the result of a call to a gateway.  One that does not respond is skipped for
        `for_s`.  Callers also pass `answered=False` for one that responds with stale data."""
        if answered:
            self._skip_until.pop(name, None)
        else:
            self._skip_until[name] = now + for_s

    def alive(self, now: float) -> list[str]:
        """Other gateways that are not skipped, by rank."""
        return [name for name in self._live_names(now) if name != self.own]

    def local_peers(self) -> list[str]:
        """Other gateways to which this one's callers may connect: all in a small fleet, those of
        the same hall in a larger one.

        During a rolling restart in which each gateway notifies all others, the number of datagrams
        grows with the square of the fleet: 168,000 per second with 410 gateways, against 4,700 per
        hall if each notifies its own hall (computed, not measured).
        """
        own = self.halls[self.own]
        return [name for name in self.addrs if self._is_flat() or self.halls[name] == own]

    def evidence_collectors(self, now: float) -> list[str]:
        """Other gateways that receive all evidence on fatal requests: all in a small fleet, the
        first by rank in a larger one.

        >>> peers = Peers("a")
        >>> [peers.put(name, "10.0.0.1:7340") for name in "bc"]
        [True, True]
        >>> sorted(peers.evidence_collectors(0.0))
        ['b', 'c']
        """
        others = self.alive(now)
        return others if self._is_flat() else others[:MAX_EVIDENCE_COLLECTORS]

    def evidence_receivers(self, now: float) -> list[str]:
        """Other gateways that evidence is sent to: the collectors, and those that would be if this
        gateway did not pass them over, as others may reach them.

        >>> peers = Peers("a")
        >>> new = peers.put("b", "10.0.0.1:7340")
        >>> peers.record_call("b", False, 0.0)
        >>> peers.evidence_receivers(0.0)
        ['b']
        """
        if self._is_flat():
            return list(self.addrs)
        collectors = self.evidence_collectors(now)
        others = [name for name in self._by_rank() if name != self.own]
        last = others.index(collectors[-1]) if collectors else len(others)
        passed_over = [name for name in others[:last] if name not in collectors]
        return collectors + passed_over[:MAX_EVIDENCE_COLLECTORS]

    def has_all_evidence(self, now: float) -> bool:
        """Whether the other gateways send this one their evidence on fatal requests.

        >>> Peers("a").has_all_evidence(0.0)
        True
        """
        return self._is_flat() or self.own in self._live_names(now)[:MAX_EVIDENCE_COLLECTORS]

    def relays(self, now: float) -> list[str]:
        """The relays as known to this gateway, which may be one of them.

        In a large fleet they are chosen among the distributors: the gateways that follow a relay,
        and so notice its failure, are then the next by rank.

        >>> peers = Peers("a")
        >>> peers.relays(0.0)
        ['a']
        """
        return self._current_roles(now).relays

    def hall_distributors(self, now: float) -> list[str]:
        """The distributors of this gateway's hall; it may be one of them."""
        return self._current_roles(now).distributors[self.halls[self.own]]

    def is_relay(self, now: float) -> bool:
        """Whether this gateway watches the store."""
        return self.own in self.relays(now)

    def write_delay_s(self, spread_s: float, place: float, now: float) -> float:
        """Delay of a write that any gateway may make, so that the first write makes the others
        unnecessary.  `place` in [0, 1) spreads the relays over `spread_s` and the other gateways,
        which have received the relays' writes by then, over the same time after it.

        With all 68 gateways of a fleet in one spread of 0.5 s, 63 of them read and wrote the
        progress of a single roll-out.

        >>> peers = Peers("a")
        >>> peers.write_delay_s(0.25, 0.5, 0.0)
        0.125
        """
        return spread_s * place + (0.0 if self.is_relay(now) else spread_s)

    def depth(self, now: float) -> int:
        """Number of gateways through which a change in the store passes before this one."""
        if self.is_relay(now):
            return RELAY_DEPTH
        if self._is_flat() or self.own in self.hall_distributors(now):
            return FOLLOWS_RELAY_DEPTH
        return FOLLOWS_HALL_DEPTH

    def choose_source(self, current: str, helped: bool, now: float, rng: random.Random) -> str:
        """The gateway to query next: the current one if it was of help, else one that is assigned
        to this gateway or, at times, any other; "" if there is none.

        >>> peers = Peers("a")
        >>> listed = peers.put("b", "10.0.0.2:7340")
        >>> peers.choose_source("", False, 0.0, random.Random(1))
        'b'
        """
        by_hall = self.depth(now) == FOLLOWS_HALL_DEPTH
        assigned = self.hall_distributors(now) if by_hall else self.relays(now)
        assigned = [name for name in assigned if name != self.own]
        if helped and current in assigned:
            return current
        others = self.alive(now)
        ask_any = not assigned or (bool(current) and rng.random() < ANY_GATEWAY_SHARE)
        choices = others if ask_any else assigned
        return rng.choice(choices) if choices else ""

    def _is_flat(self) -> bool:
        return len(self.addrs) + 1 <= MAX_FLAT_FLEET

    def _by_rank(self) -> list[str]:
        """All gateways including this one."""
        if self._ranked_at != self.changes:
            self._ranked_at = self.changes
            self._ranked = rank_gateways(self.names, self.links)
        return self._ranked

    def _live_names(self, now: float) -> list[str]:
        """All gateways that are not skipped, including this one, by rank."""
        return [name for name in self._by_rank() if self._skip_until.get(name, 0.0) <= now]

    def _current_roles(self, now: float) -> Roles:
        """The current roles; recomputed only if gateways change, fail, stop or recover."""
        skipped = frozenset(name for name, until in self._skip_until.items() if until > now)
        stopping = frozenset(self.stopping(now))
        if (self.changes, skipped, stopping) != self._roles_key:
            self._roles_key = (self.changes, skipped, stopping)
            self._roles = self._assign_roles(now, stopping)
        return self._roles

    def _assign_roles(self, now: float, stopping: frozenset[str]) -> Roles:
        # Who follows a relay would notice only after a while that it has ended.
        live = sorted(self._live_names(now), key=stopping.__contains__)
        hall_sizes = Counter(self.halls.values())
        by_hall: dict[str, list[str]] = {hall: [] for hall in hall_sizes}
        for name in live:
            by_hall[self.halls[name]].append(name)
        distributors = {
            hall: names[: max(1, round(hall_sizes[hall] / FOLLOWERS_PER_DISTRIBUTOR))]
            for hall, names in by_hall.items()
        }
        if not self._is_flat():
            assigned = {name for names in distributors.values() for name in names}
            live = [name for name in live if name in assigned]
        return Roles(live[: relay_count(len(self.addrs) + 1)], distributors)
