"""What an entry knows of the agents it speaks with.

The box list, which lags, tells who is there; replies and, when there are none,
polls tell how each is.  An agent that says it is leaving, or that the box list
says is leaving, gets nothing new, whichever is first.
"""

from __future__ import annotations

import random
from typing import Final

import curio
from loguru import logger

from ramppost import clock, ids
from ramppost.platform.boxes import Boxes, box_list
from ramppost.policy.choice import AgentView, Ejection, choose_subset, rank_agents
from ramppost.policy.permissions import ModelVersion
from ramppost.policy.rollout import CountKey, OutcomeCounts, add_counts
from ramppost.policy.routing import hash_fraction
from ramppost.schema.messages import (
    AgentStatus,
    Head,
    Load,
    StatusMsg,
    UpstreamLine,
    VersionCount,
)
from ramppost.schema.settings import Box
from ramppost.wire.client import CallFailed, Pool, call
from ramppost.wire.codec import BadMessage, decode, encode

BOXES_PERIOD_S: Final = 2.0
POLL_S: Final = 0.5
LOST_POLLS: Final = 4
IDLE_POLLS: Final = 2
IDLE_S: Final = 1.0
POLL_TIMEOUT_S: Final = 1.0


class Upstream:
    """An agent as this entry sees it."""

    def __init__(self, addr: str, hall: str) -> None:
        self.addr = addr
        self.hall = hall
        self.ticket = ""
        self.name = ""
        self.service = ""
        self.versions: set[str] = set()
        self.alive = False
        self.listed_leaving = False
        self.own = 0
        self.reported = 0
        self.slots = 1
        self.heard_at = 0.0
        self.rev = 0
        self.health = Ejection()
        self.counts: dict[CountKey, OutcomeCounts] = {}
        self.past: dict[CountKey, OutcomeCounts] = {}
        self.polling = False
        self.polled_at = 0.0

    def usable(self, now: float) -> bool:
        """Whether it may get new work."""
        return (
            bool(self.ticket)
            and self.alive
            and not self.listed_leaving
            and not self.health.is_ejected(now)
        )

    def heard(self, ticket: str, load: Load, counts: list[VersionCount], rev: int) -> None:
        """Take in what a reply tells; a new incarnation counts from nothing."""
        if ids.parse_ticket(ticket).incarnation != ids.parse_ticket(self.ticket).incarnation:
            for what, count in self.counts.items():
                self.past[what] = add_counts(self.past.get(what, OutcomeCounts()), count)
            self.counts = {}
        self.ticket = ticket
        self.reported = load["running"] + load["waiting"]
        self.slots = load["slots"]
        self.heard_at = clock.now()
        self.rev = rev
        self.health.record_success()
        for item in counts:
            what = CountKey(ModelVersion(item["model"], item["version"]), item["since"])
            self.counts[what] = OutcomeCounts(item["ok"], item["bad"], item["slow"])

    def seen(self) -> AgentView:
        """For the choice among agents."""
        return AgentView(self.addr, self.hall, self.own, self.reported, self.heard_at, self.slots)


class Upstreams:
    """All agents of this entry's subset, by address, and which entries there are.

    `live` holds the addresses of the entries that the box list holds live, and this one's.
    """

    def __init__(
        self, node: str, hall: str, me: str, pool: Pool, size: int, rng: random.Random
    ) -> None:
        self.node = node
        self.hall = hall
        self.me = me
        self.pool = pool
        self.size = size
        self.rng = rng
        self.table: dict[str, Upstream] = {}
        self.boxes: list[Box] = []
        self.live = {ids.address(me)}
        self._ordered: dict[tuple[str, ...], list[str]] = {}

    def seed(self, addrs: list[str]) -> None:
        """Agents from the settings, for the time before the box list is read."""
        for addr in addrs:
            self.table.setdefault(addr, Upstream(addr, ""))

    def take_boxes(self, boxes: list[Box]) -> None:
        """Take in the box list."""
        self.boxes = boxes
        live = {b["addr"] for b in boxes if b["role"] == "entry" and b["state"] == "live"}
        self.live = live | {ids.address(self.me)}
        self._ordered = {}
        chosen = {box["addr"]: box for box in choose_subset(self.node, boxes, self.size)}
        for addr, box in chosen.items():
            up = self.table.setdefault(addr, Upstream(addr, box["hall"]))
            up.hall = box["hall"]
            up.listed_leaving = box["state"] == "leaving"
        for addr in list(self.table):
            if addr not in chosen and not self.table[addr].own:
                del self.table[addr]

    def entries(self) -> int:
        """How many entries there are."""
        return len(self.live)

    def ordered(self, *salt: str) -> list[str]:
        """All entries in an order that the salt gives, kept until the box list changes."""
        if salt not in self._ordered:
            self._ordered[salt] = sorted(self.live, key=lambda addr: hash_fraction(*salt, addr))
        return self._ordered[salt]

    def rank(self, salt: str) -> int:
        """This entry's place among all, from 0, in an order that the salt gives."""
        return self.ordered(salt).index(ids.address(self.me))

    def candidates(self, mv: ModelVersion, service: str) -> list[Upstream]:
        """Agents that may get a request for a version or a service now."""
        now = clock.now()
        if service:
            return [u for u in self.table.values() if u.service == service and u.usable(now)]
        return [u for u in self.table.values() if mv.text in u.versions and u.usable(now)]

    def choose(self, mv: ModelVersion, service: str, prefix: str) -> list[Upstream]:
        """Agents to try, best first."""
        found = self.candidates(mv, service)
        now = clock.now()
        addrs = rank_agents([u.seen() for u in found], now, self.hall, prefix, self.rng)
        return [self.table[addr] for addr in addrs]

    def listing(self) -> list[UpstreamLine]:
        """All agents of the subset, for people and checks."""
        now = clock.now()
        return [
            UpstreamLine(
                addr=up.addr,
                agent=up.ticket,
                name=up.name,
                hall=up.hall,
                usable=up.usable(now),
                own=up.own,
                reported=up.reported,
                rev=up.rev,
            )
            for up in self.table.values()
        ]

    def totals(self, mv: ModelVersion, since: int | None = None) -> OutcomeCounts:
        """What all agents of the subset have seen of a version, or of it in one roll-out."""
        total = OutcomeCounts()
        for up in self.table.values():
            for what, count in (*up.counts.items(), *up.past.items()):
                if what.mv == mv and since in (None, what.since):
                    total = add_counts(total, count)
        return total

    def take_head(self, up: Upstream, head: Head) -> None:
        """Take in the head of a reply, which also tells that an agent is leaving."""
        up.heard(head["agent"], head["load"], head["counts"], head["rev"])
        if head["reason"] == "leaving":
            up.alive = False

    async def follow_boxes(self, platform: str) -> None:
        """Read the box list now and then, until cancelled."""
        seen = ""
        while True:
            found = await box_list(self.pool, platform, seen)
            if isinstance(found, Boxes):
                seen = found.tag
                self.take_boxes(found.boxes)
            await curio.sleep(BOXES_PERIOD_S * random.uniform(0.75, 1.25))

    async def poll(self, rev: list[int]) -> None:
        """Ask agents that have been silent how they are, until cancelled.

        `rev` holds this entry's configuration revision, which rides on the question.
        Agents that answer are asked less often the more there are; those that don't,
        or were never heard, come first, so that they are back in use soon.
        """
        while True:
            now = clock.now()
            lost, idle = self._silent(now)
            for up in (*lost[:LOST_POLLS], *idle[:IDLE_POLLS]):
                up.polling, up.polled_at = True, now
                await curio.spawn(self._ask, up, rev[0], daemon=True)
            await curio.sleep(POLL_S)

    def _silent(self, now: float) -> tuple[list[Upstream], list[Upstream]]:
        """Agents to ask: those that are not in use, and those not heard lately, longest first."""
        free = [u for u in self.table.values() if not u.polling]
        free.sort(key=lambda u: u.polled_at)
        lost = [u for u in free if not u.usable(now)]
        idle = [u for u in free if u.usable(now) and now - u.heard_at > IDLE_S]
        return lost, idle

    async def _ask(self, up: Upstream, rev: int) -> None:
        body = encode(StatusMsg(entry=self.me, rev=rev))
        got = await call(self.pool, up.addr, "POST", "/a/status", body, POLL_TIMEOUT_S)
        up.polling = False
        status = BadMessage("") if isinstance(got, CallFailed) else decode(got.body, AgentStatus)
        if isinstance(status, BadMessage):
            up.health.record_failure(clock.now())
            if up.alive and isinstance(got, CallFailed) and not got.sent:
                logger.info("agent {} does not answer", up.addr)
                up.alive = False
            return
        if ids.address(status["agent"]) != up.addr:
            return
        up.heard(status["agent"], status["load"], status["counts"], status["rev"])
        up.alive = status["state"] == "live"
        up.name = status["name"]
        up.hall = status["hall"]
        up.service = status["service"]
        up.versions = set(status["versions"])
