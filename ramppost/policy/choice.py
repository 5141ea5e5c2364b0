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

from ramppost.policy.routing import hash_fraction
from ramppost.schema.settings import Box

AFFINITY_LOAD_FACTOR: Final = 1.25
AFFINITY_SLACK_REQUESTS: Final = 1.0
OTHER_HALL_LOAD: Final = 0.15
LOAD_HALF_LIFE_S: Final = 2.0
EJECT_AFTER_FAILURES: Final = 3
EJECT_BASE_S: Final = 1.0
EJECT_MAX_S: Final = 30.0


class AgentView(NamedTuple):
    """What an entry knows of an agent; times on its own clock."""

    addr: str
    hall: str
    own_requests: int
    reported_requests: int
    reported_at: float
    slots: int


def choose_subset(node: str, boxes: list[Box], size: int) -> list[Box]:
    """The agents of each pool that a node speaks with, `size` of each at most."""
    pools: dict[str, list[Box]] = {}
    for box in boxes:
        if box["role"] == "agent":
            pools.setdefault(box.get("pool", ""), []).append(box)
    chosen: list[Box] = []
    for members in pools.values():
        ranked = sorted(members, key=lambda b: hash_fraction("subset", node, b["name"]))
        chosen += ranked[:size]
    return chosen


def load_per_slot(agent: AgentView, now: float, hall: str) -> float:
    """Load per slot: our own requests there, plus what it reported, aged."""
    age = max(0.0, now - agent.reported_at)
    others = max(0, agent.reported_requests - agent.own_requests) * math.exp2(
        -age / LOAD_HALF_LIFE_S
    )
    away = 0.0 if agent.hall == hall else OTHER_HALL_LOAD
    return (agent.own_requests + others) / max(1, agent.slots) + away


def rank_agents(
    agents: list[AgentView], now: float, hall: str, prefix: str, rng: random.Random
) -> list[str]:
    """Addresses to try, best first; empty where there is no agent."""
    if not agents:
        return []
    loads = {agent.addr: load_per_slot(agent, now, hall) for agent in agents}
    first = _prefix_home(agents, loads, prefix) if prefix else None
    if first is None:
        first = min(rng.sample(agents, min(2, len(agents))), key=lambda s: loads[s.addr]).addr
    rest = sorted((s.addr for s in agents if s.addr != first), key=lambda a: loads[a])
    return [first, *rest]


def _prefix_home(agents: list[AgentView], loads: dict[str, float], prefix: str) -> str | None:
    home = min(agents, key=lambda s: hash_fraction("prefix", prefix, s.addr))
    mean = sum(loads.values()) / len(loads)
    bound = mean * AFFINITY_LOAD_FACTOR + AFFINITY_SLACK_REQUESTS / max(1, home.slots)
    return home.addr if loads[home.addr] <= bound else None


class Ejection:
    """Ejection of an agent that fails again and again, with growing time-outs."""

    def __init__(self) -> None:
        self.failures = 0
        self.ejected_until = 0.0

    def record_failure(self, now: float) -> None:
        """A call was not answered."""
        self.failures += 1
        if self.failures >= EJECT_AFTER_FAILURES:
            duration_s = EJECT_BASE_S * 2 ** (self.failures - EJECT_AFTER_FAILURES)
            self.ejected_until = now + min(EJECT_MAX_S, duration_s)

    def record_success(self) -> None:
        """A call was answered."""
        self.failures = 0
        self.ejected_until = 0.0

    def is_ejected(self, now: float) -> bool:
        """Whether it gets no requests now; probes still go to it."""
        return now < self.ejected_until
