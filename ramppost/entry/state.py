"""State of an entry."""

from __future__ import annotations

import random
from typing import Final, NamedTuple

from ramppost import clock, ids
from ramppost.confsync import ConfState
from ramppost.entry.claimhome import ClaimHomes
from ramppost.entry.claimlog import ClaimLog
from ramppost.entry.copies import KEEP_WINDOWS, LEAST_KEEP_S, Copies
from ramppost.entry.stats import Stats
from ramppost.entry.upstreams import Upstreams
from ramppost.ledger import Filer
from ramppost.platform.objects import Client
from ramppost.platform.ratings import Rated
from ramppost.policy.limits import RetryBudget, TokenBucket
from ramppost.policy.permissions import ModelVersion, running_rollout
from ramppost.policy.rollout import CountKey, Ratings, count_key_of, split_cap, trial_count_key
from ramppost.policy.routing import LearnedPolicyState
from ramppost.schema.config import ConfigDoc, Rollout, Workspace
from ramppost.schema.messages import BillLine, SettledMsg
from ramppost.schema.settings import EntrySettings
from ramppost.wire.client import Pool, call
from ramppost.wire.codec import encode
from ramppost.wire.server import Meter

SETTLED_TIMEOUT_S: Final = 2.0
CLAIMS_WAIT_S: Final = 3.0
RATED_PER_S: Final = 40.0
RATED_BURST_S: Final = 4.0


class Exposed(NamedTuple):
    """Requests that this entry sent to a trial in a step."""

    step: int
    requests: int


class Entry:
    """Everything an entry holds; all of it may be lost at any time."""

    def __init__(self, cfg: EntrySettings) -> None:
        self.cfg = cfg
        where = cfg["internal"]
        self.name = ids.incarnation(cfg.get("advertise", f"{where['host']}:{where['port']}"))
        self.pool = Pool(where["host"])
        self.client = Client(cfg["platform"], self.pool)
        self.conf = ConfState()
        self.rng = random.Random()
        size = cfg.get("subset", 8)
        self.ups = Upstreams(cfg["name"], cfg["hall"], self.name, self.pool, size, self.rng)
        self.ups.seed(cfg["agents"])
        self.claims = ClaimLog(self.client, cfg.get("claim_window_ms", 10) / 1000)
        self.homes = ClaimHomes(self.claims, self.ups, self.pool, self.name)
        window_s = cfg.get("bill_window_s", 1.0)
        self.filer = Filer(self.client, self.name, window_s, self._filed)
        keep_s = max(LEAST_KEEP_S, KEEP_WINDOWS * window_s)
        self.copies = Copies(self.ups, self.pool, self.name, keep_s)
        self.bill_agents: dict[str, str] = {}
        self.stats = Stats()
        self.learned = LearnedPolicyState()
        self.ratings: dict[ModelVersion, Ratings] = {}
        self.to_rate: list[Rated] = []
        self._rating_bucket = TokenBucket(RATED_PER_S, RATED_PER_S, clock.now())
        self.paused: set[ModelVersion] = set()
        self.exposed: dict[CountKey, Exposed] = {}
        self.retries = RetryBudget()
        self.buckets: dict[str, TokenBucket] = {}
        self.running: dict[str, int] = {}
        self.leaving = False
        self.started = clock.now()
        self.outer = Meter()
        self.inner = Meter()
        self.rev_box = [0]
        self.conf.on_adopt.append(self._adopted)

    def may_expose(self, rollout: Rollout) -> bool:
        """Whether this entry's part of the cap on a step's exposure has room."""
        if "max_exposed" not in rollout:
            return True
        trial, step = trial_count_key(rollout), rollout["step"]
        rank = self.ups.rank(f"{trial.mv.text} {trial.since} {step}")
        part = split_cap(rollout["max_exposed"], self.ups.entries(), rank)
        return self._exposed_in(trial, step) < part

    def expose(self, doc: ConfigDoc, mv: ModelVersion) -> None:
        """Count a request that goes to a trial."""
        rollout = running_rollout(doc, mv.model)
        step = rollout["step"] if rollout else 0
        trial = count_key_of(doc, mv)
        self.exposed[trial] = Exposed(step, self._exposed_in(trial, step) + 1)

    def _exposed_in(self, trial: CountKey, step: int) -> int:
        """Requests that went to a trial in a step."""
        seen = self.exposed.get(trial)
        return seen.requests if seen and seen.step == step else 0

    @property
    def busy(self) -> int:
        """Callers' requests under way."""
        return sum(self.running.values())

    @property
    def ready(self) -> bool:
        """Whether callers should be sent here: configured, and claims read or not to be had."""
        claims = self.homes.read_once or clock.now() - self.started > CLAIMS_WAIT_S
        return self.conf.doc is not None and not self.leaving and claims

    def bucket(self, ws: Workspace) -> TokenBucket:
        """This entry's part of a workspace's tokens."""
        part = 1 / self.ups.entries()
        rate, burst = ws["tokens_per_s"] * part, ws["burst_tokens"] * part
        held = self.buckets.get(ws["name"])
        if held is None or (held.rate, held.burst) != (rate, burst):
            fresh = TokenBucket(rate, burst, clock.now())
            if held is not None:
                fresh.level = min(fresh.level, held.level)
            self.buckets[ws["name"]] = held = fresh
        return held

    def rating_bucket(self) -> TokenBucket:
        """This entry's part of the ratings that the fleet asks for."""
        rate = RATED_PER_S / self.ups.entries()
        if self._rating_bucket.rate != rate:
            self._rating_bucket = TokenBucket(rate, RATED_BURST_S * rate, clock.now())
        return self._rating_bucket

    def bill(self, line: BillLine, agent: str) -> None:
        """Queue a bill line; its agent is told when it is in the ledger."""
        self.bill_agents[line["attempt"]] = agent
        self.filer.add(line)
        self.copies.add(line)

    def _adopted(self, doc: ConfigDoc) -> None:
        self.rev_box[0] = doc["revision"]
        self.stats.m_revision.set({}, doc["revision"])

    async def _filed(self, lines: list[BillLine]) -> None:
        by_agent: dict[str, list[str]] = {}
        for line in lines:
            agent = self.bill_agents.pop(line["attempt"], None)
            if agent is not None:
                by_agent.setdefault(agent, []).append(line["attempt"])
        for agent, attempts in by_agent.items():
            msg = SettledMsg(entry=self.name, attempts=attempts, rev=self.conf.rev)
            await call(self.pool, agent, "POST", "/a/settled", encode(msg), SETTLED_TIMEOUT_S)
        await self.copies.settled(lines)
