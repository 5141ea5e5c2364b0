"""An entry's view of the agents in its subset.

Membership comes from the platform's box list, which lags.  Load and health come from replies
and, without recent replies, from polls.  An agent gets no new requests as soon as either the
agent itself or the box list reports it as leaving.
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
    """An agent, with its state as last reported and the requests that this entry sent to it."""

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
        """Whether the agent may get new requests."""
        return (
            bool(self.ticket)
            and self.alive
            and not self.listed_leaving
            and not self.ejection.is_ejected(now)
        )

    def record_reply(self, ticket: str, load: Load, counts: list[VersionCount], rev: int) -> None:
        """Update the state from a reply.

        A new incarnation starts its counts from 0, so those of the old one are kept separately.
        """
        if ids.parse_ticket(ticket).incarnation != ids.parse_ticket(self.ticket).incarnation:
            for key, count in self.counts.items():
                self.earlier_counts[key] = add_counts(
                    self.earlier_counts.get(key, OutcomeCounts()), count
                )
            self.counts = {}
        self.ticket = ticket
        self.reported_requests = load["running"] + load["waiting"]
        self.slots = load["slots"]
        self.last_reply_at = clock.now()
        self.rev = rev
        self.ejection.record_success()
        for item in counts:
            key = CountKey(ModelVersion(item["model"], item["version"]), item["since"])
            self.counts[key] = OutcomeCounts(item["ok"], item["bad"], item["slow"])

    def view(self) -> AgentView:
        """The agent's state in the form that `rank_agents` takes."""
        return AgentView(
            self.addr,
            self.hall,
            self.own_requests,
            self.reported_requests,
            self.last_reply_at,
            self.slots,
        )


class Upstreams:
    """The agents of this entry's subset, by address, and the addresses of all entries.

    `live_entries` has the entries that are live in the box list, and always this one.
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
        """Add agents from the settings, which are used until the box list is read."""
        for addr in addrs:
            self.by_addr.setdefault(addr, Upstream(addr, ""))

    def update_boxes(self, boxes: list[Box]) -> None:
        """Update the agents and entries from the box list.

        An agent that left the subset is kept while this entry has requests running on it.
        """
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
        """Number of entries."""
        return len(self.live_entries)

    def ranked_entries(self, *salt: str) -> list[str]:
        """Addresses of all entries in rendezvous order for a salt.

        The order is cached until the box list changes.
        """
        if salt not in self._ranked_entries:
            self._ranked_entries[salt] = sorted(
                self.live_entries, key=lambda addr: hash_fraction(*salt, addr)
            )
        return self._ranked_entries[salt]

    def rank(self, salt: str) -> int:
        """This entry's rank among all entries, from 0, in rendezvous order for a salt."""
        return self.ranked_entries(salt).index(ids.address(self.entry_name))

    def candidates(self, mv: ModelVersion, service: str) -> list[Upstream]:
        """Agents that may get a request for a version, or for a service if one is named."""
        now = clock.now()
        if service:
            return [u for u in self.by_addr.values() if u.service == service and u.usable(now)]
        return [u for u in self.by_addr.values() if mv.text in u.versions and u.usable(now)]

    def ranked_agents(self, mv: ModelVersion, service: str, prefix: str) -> list[Upstream]:
        """Agents to try for a request, best first."""
        found = self.candidates(mv, service)
        now = clock.now()
        addrs = rank_agents([u.view() for u in found], now, self.hall, prefix, self.rng)
        return [self.by_addr[addr] for addr in addrs]

    def report_lines(self) -> list[UpstreamLine]:
        """A line for each agent of the subset, for `/x/upstreams`."""
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
        """Outcomes of a version at all agents of the subset.

        With `since`, only outcomes from the rollout that this revision started are counted.
        """
        total = OutcomeCounts()
        for up in self.by_addr.values():
            for key, count in (*up.counts.items(), *up.earlier_counts.items()):
                if key.mv == mv and since in (None, key.since):
                    total = add_counts(total, count)
        return total

    def record_head(self, up: Upstream, head: Head) -> None:
        """Update an agent from the head of a reply, which may also report that it is leaving."""
        up.record_reply(head["agent"], head["load"], head["counts"], head["rev"])
        if head["reason"] == "leaving":
            up.alive = False

    async def follow_box_list(self, platform: str) -> None:
        """Read the box list periodically until cancelled."""
        etag = ""
        while True:
            found = await fetch_boxes(self.pool, platform, etag)
            if isinstance(found, BoxList):
                etag = found.etag
                self.update_boxes(found.boxes)
            await curio.sleep(BOX_LIST_PERIOD_S * random.uniform(0.75, 1.25))

    async def poll_agents(self, revision_ref: list[int]) -> None:
        """Poll agents without a recent reply until cancelled.

        `revision_ref` holds this entry's configuration revision, which is sent with each poll.
        The number of polls per period is limited, so usable agents are polled less often the more
        of them there are.  Agents that do not answer, or never have, are polled first, so that
        they can be used again soon.
        """
        while True:
            now = clock.now()
            unusable, idle = self._agents_to_poll(now)
            for up in (*unusable[:MAX_UNUSABLE_POLLS], *idle[:MAX_IDLE_POLLS]):
                up.polling, up.polled_at = True, now
                await curio.spawn(self._poll_agent, up, revision_ref[0], daemon=True)
            await curio.sleep(POLL_PERIOD_S)

    def _agents_to_poll(self, now: float) -> tuple[list[Upstream], list[Upstream]]:
        """Agents to poll, least recently polled first: unusable ones, and idle ones.

        Idle agents are usable, but have not replied for `IDLE_AFTER_S`.
        """
        pollable = [u for u in self.by_addr.values() if not u.polling]
        pollable.sort(key=lambda u: u.polled_at)
        unusable = [u for u in pollable if not u.usable(now)]
        idle = [u for u in pollable if u.usable(now) and now - u.last_reply_at > IDLE_AFTER_S]
        return unusable, idle

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
