"""Chooses the agent for a request: subsetting, prefix affinity, two random choices, ejection.

Pure.  An entry connects to a fixed subset of each pool's agents, chosen by
rendezvous hashing so that entries are spread evenly and the change of one box
moves few connections.  Within the subset, a request with a prefix goes to the
prefix's home agent while that agent's load is within a factor of the mean, else
to the less loaded of two random agents.
"""

from __future__ import annotations

import math
import random
from typing import Final, NamedTuple

from ramppost.policy.routing import hash_fraction
from ramppost.schema.settings import Box

AFFINITY_LOAD_FACTOR: Final = 1.25
AFFINITY_SLACK_REQUESTS: Final = 1.0
CROSS_HALL_LOAD: Final = 0.15
LOAD_HALF_LIFE_S: Final = 2.0
EJECT_AFTER_FAILURES: Final = 3
EJECT_BASE_S: Final = 1.0
EJECT_MAX_S: Final = 30.0


class AgentView(NamedTuple):
    """What an entry knows about an agent; times are on the entry's clock."""

    addr: str
    hall: str
    own_requests: int
    reported_requests: int
    reported_at: float
    slots: int


def choose_subset(node: str, boxes: list[Box], size: int) -> list[Box]:
    """The agents to which a node connects: at most `size` of each pool."""
    pools: dict[str, list[Box]] = {}
    for box in boxes:
        if box["role"] == "agent":
            pools.setdefault(box.get("pool", ""), []).append(box)
    chosen: list[Box] = []
    for members in pools.values():
        ranked = sorted(members, key=lambda box: hash_fraction("subset", node, box["name"]))
        chosen += ranked[:size]
    return chosen


def load_per_slot(agent: AgentView, now: float, hall: str) -> float:
    """Load per slot: own requests, plus those of others in the last report, decayed by its age."""
    age_s = max(0.0, now - agent.reported_at)
    others = max(0, agent.reported_requests - agent.own_requests) * math.exp2(
        -age_s / LOAD_HALF_LIFE_S
    )
    hall_load = 0.0 if agent.hall == hall else CROSS_HALL_LOAD
    return (agent.own_requests + others) / max(1, agent.slots) + hall_load


def rank_agents(
    agents: list[AgentView], now: float, hall: str, prefix: str, rng: random.Random
) -> list[str]:
    """Addresses to try, best first; empty if there are no agents."""
    if not agents:
        return []
    loads = {agent.addr: load_per_slot(agent, now, hall) for agent in agents}
    first = _prefix_home(agents, loads, prefix) if prefix else None
    if first is None:
        first = min(
            rng.sample(agents, min(2, len(agents))), key=lambda candidate: loads[candidate.addr]
        ).addr
    rest = sorted(
        (candidate.addr for candidate in agents if candidate.addr != first),
        key=lambda addr: loads[addr],
    )
    return [first, *rest]


def _prefix_home(agents: list[AgentView], loads: dict[str, float], prefix: str) -> str | None:
    home = min(agents, key=lambda agent: hash_fraction("prefix", prefix, agent.addr))
    mean = sum(loads.values()) / len(loads)
    max_load = mean * AFFINITY_LOAD_FACTOR + AFFINITY_SLACK_REQUESTS / max(1, home.slots)
    return home.addr if loads[home.addr] <= max_load else None


class Ejection:
    """Ejects an agent after consecutive failures, for exponentially growing times."""

    def __init__(self) -> None:
        self.failures = 0
        self.ejected_until = 0.0

    def record_failure(self, now: float) -> None:
        """Record a call that was not answered."""
        self.failures += 1
        if self.failures >= EJECT_AFTER_FAILURES:
            duration_s = EJECT_BASE_S * 2 ** (self.failures - EJECT_AFTER_FAILURES)
            self.ejected_until = now + min(EJECT_MAX_S, duration_s)

    def record_success(self) -> None:
        """Record a call that was answered."""
        self.failures = 0
        self.ejected_until = 0.0

    def is_ejected(self, now: float) -> bool:
        """Whether the agent gets no requests now; it is still probed."""
        return now < self.ejected_until
