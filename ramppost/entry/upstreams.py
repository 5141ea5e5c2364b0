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
from ramppost.platform.boxes import BoxList, fetch_boxes
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

BOX_LIST_PERIOD_S: Final = 2.0
POLL_PERIOD_S: Final = 0.5
MAX_UNUSABLE_POLLS: Final = 4
MAX_IDLE_POLLS: Final = 2
IDLE_AFTER_S: Final = 1.0
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
        self.own_requests = 0
        self.reported_requests = 0
        self.slots = 1
        self.last_reply_at = 0.0
        self.rev = 0
        self.ejection = Ejection()
        self.counts: dict[CountKey, OutcomeCounts] = {}
        self.earlier_counts: dict[CountKey, OutcomeCounts] = {}
        self.polling = False
        self.polled_at = 0.0

    def usable(self, now: float) -> bool:
        """Whether it may get new work."""
        return (
            bool(self.ticket)
            and self.alive
            and not self.listed_leaving
            and not self.ejection.is_ejected(now)
        )

    def record_reply(self, ticket: str, load: Load, counts: list[VersionCount], rev: int) -> None:
        """Take in what a reply tells; a new incarnation counts from nothing."""
        if ids.parse_ticket(ticket).incarnation != ids.parse_ticket(self.ticket).incarnation:
            for what, count in self.counts.items():
                self.earlier_counts[what] = add_counts(
                    self.earlier_counts.get(what, OutcomeCounts()), count
                )
            self.counts = {}
        self.ticket = ticket
        self.reported_requests = load["running"] + load["waiting"]
        self.slots = load["slots"]
        self.last_reply_at = clock.now()
        self.rev = rev
        self.ejection.record_success()
        for item in counts:
            what = CountKey(ModelVersion(item["model"], item["version"]), item["since"])
            self.counts[what] = OutcomeCounts(item["ok"], item["bad"], item["slow"])

    def view(self) -> AgentView:
        """For the choice among agents."""
        return AgentView(
            self.addr,
            self.hall,
            self.own_requests,
            self.reported_requests,
            self.last_reply_at,
            self.slots,
        )


class Upstreams:
    """All agents of this entry's subset, by address, and which entries there are.

    `live_entries` holds the addresses of the entries that the box list holds live, and this one's.
    """

    def __init__(
        self,
        node: str,
        hall: str,
        entry_name: str,
        pool: Pool,
        subset_size: int,
        rng: random.Random,
    ) -> None:
        self.node = node
        self.hall = hall
        self.entry_name = entry_name
        self.pool = pool
        self.subset_size = subset_size
        self.rng = rng
        self.by_addr: dict[str, Upstream] = {}
        self.boxes: list[Box] = []
        self.live_entries = {ids.address(entry_name)}
        self._ranked_entries: dict[tuple[str, ...], list[str]] = {}

    def add_configured(self, addrs: list[str]) -> None:
        """Agents from the settings, for the time before the box list is read."""
        for addr in addrs:
            self.by_addr.setdefault(addr, Upstream(addr, ""))

    def update_boxes(self, boxes: list[Box]) -> None:
        """Take in the box list."""
        self.boxes = boxes
        live = {b["addr"] for b in boxes if b["role"] == "entry" and b["state"] == "live"}
        self.live_entries = live | {ids.address(self.entry_name)}
        self._ranked_entries = {}
        chosen = {box["addr"]: box for box in choose_subset(self.node, boxes, self.subset_size)}
        for addr, box in chosen.items():
            up = self.by_addr.setdefault(addr, Upstream(addr, box["hall"]))
            up.hall = box["hall"]
            up.listed_leaving = box["state"] == "leaving"
        for addr in list(self.by_addr):
            if addr not in chosen and not self.by_addr[addr].own_requests:
                del self.by_addr[addr]

    def entry_count(self) -> int:
        """How many entries there are."""
        return len(self.live_entries)

    def ranked_entries(self, *salt: str) -> list[str]:
        """All entries in an order that the salt gives, kept until the box list changes."""
        if salt not in self._ranked_entries:
            self._ranked_entries[salt] = sorted(
                self.live_entries, key=lambda addr: hash_fraction(*salt, addr)
            )
        return self._ranked_entries[salt]

    def rank(self, salt: str) -> int:
        """This entry's place among all, from 0, in an order that the salt gives."""
        return self.ranked_entries(salt).index(ids.address(self.entry_name))

    def candidates(self, mv: ModelVersion, service: str) -> list[Upstream]:
        """Agents that may get a request for a version or a service now."""
        now = clock.now()
        if service:
            return [u for u in self.by_addr.values() if u.service == service and u.usable(now)]
        return [u for u in self.by_addr.values() if mv.text in u.versions and u.usable(now)]

    def ranked_agents(self, mv: ModelVersion, service: str, prefix: str) -> list[Upstream]:
        """Agents to try, best first."""
        found = self.candidates(mv, service)
        now = clock.now()
        addrs = rank_agents([u.view() for u in found], now, self.hall, prefix, self.rng)
        return [self.by_addr[addr] for addr in addrs]

    def report_lines(self) -> list[UpstreamLine]:
        """All agents of the subset, for people and checks."""
        now = clock.now()
        return [
            UpstreamLine(
                addr=up.addr,
                agent=up.ticket,
                name=up.name,
                hall=up.hall,
                usable=up.usable(now),
                own=up.own_requests,
                reported=up.reported_requests,
                rev=up.rev,
            )
            for up in self.by_addr.values()
        ]

    def total_counts(self, mv: ModelVersion, since: int | None = None) -> OutcomeCounts:
        """What all agents of the subset have seen of a version, or of it in one roll-out."""
        total = OutcomeCounts()
        for up in self.by_addr.values():
            for what, count in (*up.counts.items(), *up.earlier_counts.items()):
                if what.mv == mv and since in (None, what.since):
                    total = add_counts(total, count)
        return total

    def record_head(self, up: Upstream, head: Head) -> None:
        """Take in the head of a reply, which also tells that an agent is leaving."""
        up.record_reply(head["agent"], head["load"], head["counts"], head["rev"])
        if head["reason"] == "leaving":
            up.alive = False

    async def follow_box_list(self, platform: str) -> None:
        """Read the box list now and then, until cancelled."""
        seen = ""
        while True:
            found = await fetch_boxes(self.pool, platform, seen)
            if isinstance(found, BoxList):
                seen = found.etag
                self.update_boxes(found.boxes)
            await curio.sleep(BOX_LIST_PERIOD_S * random.uniform(0.75, 1.25))

    async def poll_agents(self, rev: list[int]) -> None:
        """Ask agents that have been silent how they are, until cancelled.

        `rev` holds this entry's configuration revision, which rides on the question.
        Agents that answer are asked less often the more there are; those that don't,
        or were never heard, come first, so that they are back in use soon.
        """
        while True:
            now = clock.now()
            lost, idle = self._agents_to_poll(now)
            for up in (*lost[:MAX_UNUSABLE_POLLS], *idle[:MAX_IDLE_POLLS]):
                up.polling, up.polled_at = True, now
                await curio.spawn(self._poll_agent, up, rev[0], daemon=True)
            await curio.sleep(POLL_PERIOD_S)

    def _agents_to_poll(self, now: float) -> tuple[list[Upstream], list[Upstream]]:
        """Agents to ask: those that are not in use, and those not heard lately, longest first."""
        free = [u for u in self.by_addr.values() if not u.polling]
        free.sort(key=lambda u: u.polled_at)
        lost = [u for u in free if not u.usable(now)]
        idle = [u for u in free if u.usable(now) and now - u.last_reply_at > IDLE_AFTER_S]
        return lost, idle

    async def _poll_agent(self, up: Upstream, rev: int) -> None:
        body = encode(StatusMsg(entry=self.entry_name, rev=rev))
        got = await call(self.pool, up.addr, "POST", "/a/status", body, POLL_TIMEOUT_S)
        up.polling = False
        status = BadMessage("") if isinstance(got, CallFailed) else decode(got.body, AgentStatus)
        if isinstance(status, BadMessage):
            up.ejection.record_failure(clock.now())
            if up.alive and isinstance(got, CallFailed) and not got.sent:
                logger.info("agent {} does not answer", up.addr)
                up.alive = False
            return
        if ids.address(status["agent"]) != up.addr:
            return
        up.record_reply(status["agent"], status["load"], status["counts"], status["rev"])
        up.alive = status["state"] == "live"
        up.name = status["name"]
        up.hall = status["hall"]
        up.service = status["service"]
        up.versions = set(status["versions"])
