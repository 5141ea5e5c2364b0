"""Which agent takes a request: subset, affinity, two choices, ejection.

Pure.  An entry speaks with a fixed subset of each pool's agents, found by
rendezvous hashing so that entries spread evenly and a change of one box moves
little.  Within it, a request with a prefix goes to that prefix's own agent while
its load is within a bound of the mean, else to the less loaded of two drawn.
"""

from __future__ import annotations

import math
import random
from typing import Final, NamedTuple

from ramppost.policy.routing import unit
from ramppost.schema.settings import Box

AFFINITY_BOUND: Final = 1.25
AFFINITY_SLACK: Final = 1.0
OTHER_HALL: Final = 0.15
LOAD_HALF_LIFE_S: Final = 2.0
EJECT_AFTER: Final = 3
EJECT_BASE_S: Final = 1.0
EJECT_MAX_S: Final = 30.0


class Seen(NamedTuple):
    """What an entry knows of an agent; times on its own clock."""

    addr: str
    hall: str
    own: int
    reported: int
    reported_at: float
    slots: int


def subset(node: str, boxes: list[Box], size: int) -> list[Box]:
    """The agents of each pool that a node speaks with, `size` of each at most."""
    pools: dict[str, list[Box]] = {}
    for box in boxes:
        if box["role"] == "agent":
            pools.setdefault(box.get("pool", ""), []).append(box)
    chosen: list[Box] = []
    for members in pools.values():
        ranked = sorted(members, key=lambda b: unit("subset", node, b["name"]))
        chosen += ranked[:size]
    return chosen


def load(seen: Seen, now: float, hall: str) -> float:
    """Load per slot: our own requests there, plus what it reported, aged."""
    age = max(0.0, now - seen.reported_at)
    others = max(0, seen.reported - seen.own) * math.exp2(-age / LOAD_HALF_LIFE_S)
    away = 0.0 if seen.hall == hall else OTHER_HALL
    return (seen.own + others) / max(1, seen.slots) + away


def order(agents: list[Seen], now: float, hall: str, prefix: str, rng: random.Random) -> list[str]:
    """Addresses to try, best first; empty where there is no agent."""
    if not agents:
        return []
    loads = {seen.addr: load(seen, now, hall) for seen in agents}
    first = _by_prefix(agents, loads, prefix) if prefix else None
    if first is None:
        first = min(rng.sample(agents, min(2, len(agents))), key=lambda s: loads[s.addr]).addr
    rest = sorted((s.addr for s in agents if s.addr != first), key=lambda a: loads[a])
    return [first, *rest]


def _by_prefix(agents: list[Seen], loads: dict[str, float], prefix: str) -> str | None:
    home = min(agents, key=lambda s: unit("prefix", prefix, s.addr))
    mean = sum(loads.values()) / len(loads)
    bound = mean * AFFINITY_BOUND + AFFINITY_SLACK / max(1, home.slots)
    return home.addr if loads[home.addr] <= bound else None


class Health:
    """Ejection of an agent that fails again and again, with growing time-outs."""

    def __init__(self) -> None:
        self.failures = 0
        self.until = 0.0

    def failed(self, now: float) -> None:
        """A call was not answered."""
        self.failures += 1
        if self.failures >= EJECT_AFTER:
            spell = EJECT_BASE_S * 2 ** (self.failures - EJECT_AFTER)
            self.until = now + min(EJECT_MAX_S, spell)

    def answered(self) -> None:
        """A call was answered."""
        self.failures = 0
        self.until = 0.0

    def ejected(self, now: float) -> bool:
        """Whether it gets no requests now; probes still go to it."""
        return now < self.until
