"""State of an entry process."""

from __future__ import annotations

import random
from typing import Final, NamedTuple

from ramppost import clock, ids
from ramppost.confsync import ConfigState
from ramppost.entry.claimhome import ClaimHomes
from ramppost.entry.claimlog import ClaimLog
from ramppost.entry.copies import KEEP_BILL_WINDOWS, MIN_KEEP_S, BillLineCopies
from ramppost.entry.stats import Stats
from ramppost.entry.upstreams import Upstreams
from ramppost.ledger import LedgerWriter
from ramppost.platform.objects import Client
from ramppost.platform.ratings import AnswerToRate
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

SETTLED_CALL_TIMEOUT_S: Final = 2.0
CLAIMS_READ_TIMEOUT_S: Final = 3.0
RATINGS_PER_S: Final = 40.0
RATING_BURST_S: Final = 4.0


class TrialRequests(NamedTuple):
    """Number of requests that this entry sent to a trial version in a rollout step."""

    step: int
    requests: int


class Entry:
    """In-memory state of an entry; the process must tolerate losing all of it at any time."""

    def __init__(self, cfg: EntrySettings) -> None:
        self.cfg = cfg
        internal = cfg["internal"]
        self.name = ids.new_incarnation(
            cfg.get("advertise", f"{internal['host']}:{internal['port']}")
        )
        self.pool = Pool(internal["host"])
        self.client = Client(cfg["platform"], self.pool)
        self.conf = ConfigState()
        self.rng = random.Random()
        subset_size = cfg.get("subset", 8)
        self.upstreams = Upstreams(
            cfg["name"], cfg["hall"], self.name, self.pool, subset_size, self.rng
        )
        self.upstreams.add_configured(cfg["agents"])
        self.claim_log = ClaimLog(self.client, cfg.get("claim_window_ms", 10) / 1000)
        self.claim_homes = ClaimHomes(self.claim_log, self.upstreams, self.pool, self.name)
        window_s = cfg.get("bill_window_s", 1.0)
        self.filer = LedgerWriter(self.client, self.name, window_s, self._on_bills_filed)
        keep_s = max(MIN_KEEP_S, KEEP_BILL_WINDOWS * window_s)
        self.copies = BillLineCopies(self.upstreams, self.pool, self.name, keep_s)
        self.agent_by_attempt: dict[str, str] = {}
        self.stats = Stats()
        self.learned_policy_state = LearnedPolicyState()
        self.ratings: dict[ModelVersion, Ratings] = {}
        self.unrated_answers: list[AnswerToRate] = []
        self._rating_bucket = TokenBucket(RATINGS_PER_S, RATINGS_PER_S, clock.now())
        self.paused_trials: set[ModelVersion] = set()
        self.trial_requests_by_key: dict[CountKey, TrialRequests] = {}
        self.retry_budget = RetryBudget()
        self.token_buckets: dict[str, TokenBucket] = {}
        self.running_by_workspace: dict[str, int] = {}
        self.leaving = False
        self.started_at = clock.now()
        self.caller_meter = Meter()
        self.internal_meter = Meter()
        self.revision_ref = [0]
        self.conf.adopt_listeners.append(self._on_config_adopted)

    def may_send_to_trial(self, rollout: Rollout) -> bool:
        """Whether this entry's part of the rollout step's "max_exposed" is not used up."""
        if "max_exposed" not in rollout:
            return True
        trial, step = trial_count_key(rollout), rollout["step"]
        rank = self.upstreams.rank(f"{trial.mv.text} {trial.since} {step}")
        part = split_cap(rollout["max_exposed"], self.upstreams.entry_count(), rank)
        return self._trial_requests_of_step(trial, step) < part

    def count_trial_request(self, doc: ConfigDoc, mv: ModelVersion) -> None:
        """Count a request that is sent to a trial version."""
        rollout = running_rollout(doc, mv.model)
        step = rollout["step"] if rollout else 0
        trial = count_key_of(doc, mv)
        self.trial_requests_by_key[trial] = TrialRequests(
            step, self._trial_requests_of_step(trial, step) + 1
        )

    def _trial_requests_of_step(self, trial: CountKey, step: int) -> int:
        """Number of requests that this entry sent to a trial version in a step."""
        current = self.trial_requests_by_key.get(trial)
        return current.requests if current and current.step == step else 0

    @property
    def running_requests(self) -> int:
        """Number of callers' requests in progress."""
        return sum(self.running_by_workspace.values())

    @property
    def ready(self) -> bool:
        """Whether this entry should get requests from callers.

        It needs a configuration, must not be stopping, and must have read its shards' claim logs
        or have waited `CLAIMS_READ_TIMEOUT_S` for them.
        """
        claims_known = (
            self.claim_homes.logs_read or clock.now() - self.started_at > CLAIMS_READ_TIMEOUT_S
        )
        return self.conf.doc is not None and not self.leaving and claims_known

    def token_bucket(self, ws: Workspace) -> TokenBucket:
        """Token bucket with this entry's part of a workspace's rate and burst."""
        share = 1 / self.upstreams.entry_count()
        rate, burst = ws["tokens_per_s"] * share, ws["burst_tokens"] * share
        bucket = self.token_buckets.get(ws["name"])
        if bucket is None or (bucket.rate, bucket.burst) != (rate, burst):
            replacement = TokenBucket(rate, burst, clock.now())
            if bucket is not None:
                replacement.level = min(replacement.level, bucket.level)
            self.token_buckets[ws["name"]] = bucket = replacement
        return bucket

    def rating_bucket(self) -> TokenBucket:
        """Bucket of this entry's part of `RATINGS_PER_S`, a rate of all entries together."""
        rate = RATINGS_PER_S / self.upstreams.entry_count()
        if self._rating_bucket.rate != rate:
            self._rating_bucket = TokenBucket(rate, RATING_BURST_S * rate, clock.now())
        return self._rating_bucket

    def queue_bill_line(self, line: BillLine, agent: str) -> None:
        """Queue a bill line for the ledger; its agent is notified once the line is stored there."""
        self.agent_by_attempt[line["attempt"]] = agent
        self.filer.add(line)
        self.copies.add(line)

    def _on_config_adopted(self, doc: ConfigDoc) -> None:
        self.revision_ref[0] = doc["revision"]
        self.stats.config_revision.set({}, doc["revision"])

    async def _on_bills_filed(self, lines: list[BillLine]) -> None:
        by_agent: dict[str, list[str]] = {}
        for line in lines:
            agent = self.agent_by_attempt.pop(line["attempt"], None)
            if agent is not None:
                by_agent.setdefault(agent, []).append(line["attempt"])
        for agent, attempts in by_agent.items():
            msg = SettledMsg(entry=self.name, attempts=attempts, rev=self.conf.rev)
            await call(self.pool, agent, "POST", "/a/settled", encode(msg), SETTLED_CALL_TIMEOUT_S)
        await self.copies.notify_settled(lines)
