"""State of a gateway process: one object, created at startup and passed to all its tasks."""

from __future__ import annotations

import random
import time
from typing import Any, Final, Literal

from ramppost import clock
from ramppost.gateway.backlogs import Backlogs
from ramppost.gateway.caller_buffer import BYTES_PER_MB, DEFAULT_LIMIT_MB, CallerBuffers
from ramppost.gateway.counts import Counts
from ramppost.gateway.datagrams import Datagrams
from ramppost.gateway.endings import UpstreamProbes
from ramppost.gateway.evidence_news import EvidenceNews
from ramppost.gateway.fatal import FatalRequests
from ramppost.gateway.follow import StoreOutage
from ramppost.gateway.freshness import Freshness
from ramppost.gateway.held import HeldRequests
from ramppost.gateway.inbound import CallerConnections
from ramppost.gateway.limit_news import LimitNews
from ramppost.gateway.links import ConnectionPool
from ramppost.gateway.load import Loads, ReportFields
from ramppost.gateway.membership import Members
from ramppost.gateway.metrics import Metrics
from ramppost.gateway.model import CallerLimits, RoutingTable, Upstream
from ramppost.gateway.plans import Plans
from ramppost.gateway.policies import Policies
from ramppost.gateway.pools import Pools
from ramppost.gateway.rate_limits import RateLimits
from ramppost.gateway.regions import Regions
from ramppost.gateway.replica import KindReplica, PendingObject, UpdateNotifier
from ramppost.gateway.rests import Rests
from ramppost.gateway.rollout_news import RolloutNews
from ramppost.gateway.rollouts import Rollouts
from ramppost.gateway.session_news import SessionNews
from ramppost.gateway.store_returns import StoreReturns
from ramppost.gateway.unreadable import UnreadableEntries
from ramppost.gateway.version_evidence import VersionEvidence
from ramppost.gateway.warmup import WarmUps
from ramppost.gateway.workspace_ranks import WorkspaceRanks
from ramppost.platform import names
from ramppost.platform.documents import DEFAULT_LIMITS
from ramppost.platform.headers import AnswerHead
from ramppost.platform.store import StoreClient
from ramppost.policy.call_times import CallTimes
from ramppost.policy.exposure import Exposure
from ramppost.policy.homes import PartDemand
from ramppost.policy.limits import SHARED_FRACTION, WindowBudget, slack_per_gateway
from ramppost.policy.placement import PrefillRates
from ramppost.policy.position import NOTHING_KNOWN
from ramppost.policy.pressure import Pressure
from ramppost.policy.relays import Peers, start_hold_s
from ramppost.policy.room import Room
from ramppost.policy.session_pins import SessionPins
from ramppost.policy.suspicion import UpstreamHealth
from ramppost.schema.settings import GatewaySettings
from ramppost.wire.client import Pool
from ramppost.wire.intake import Intake, IntakeLimits, intake_limits


def _withdrawal_bound_s(cfg: GatewaySettings) -> float:
    """Seconds after its withdrawal within which a key must stop starting work."""
    return cfg["timing"]["withdrawal_ms"] / 1000


def _rollback_bound_s(cfg: GatewaySettings) -> float:
    """Seconds within which a bad version must have been rolled back."""
    return cfg["exposure"]["rollback_ms"] / 1000


def _exposure(cfg: GatewaySettings) -> Exposure:
    """What a bad version may be given."""
    return Exposure(cfg["exposure"]["share"], cfg["exposure"]["slack"])


def _serves_unconfirmed(cfg: GatewaySettings) -> bool:
    """Whether the last known keys stay valid while the store is unavailable."""
    return cfg["timing"].get("unconfirmed_keys") == "serve"


def _intake_limits(cfg: GatewaySettings) -> IntakeLimits:
    """What clients may make the process hold."""
    limits = cfg.get("limits", {})
    return intake_limits(limits.get("memory_mb"), limits.get("open_files"))


def _caller_buffer_bytes(cfg: GatewaySettings) -> int:
    """Limit of the buffers of all responses together."""
    set_mb = cfg.get("limits", {}).get("caller_buffer_mb")
    if set_mb is not None:
        return set_mb * BYTES_PER_MB
    return min(DEFAULT_LIMIT_MB * BYTES_PER_MB, _intake_limits(cfg).answer_bytes)


LEAVING_USE_RATIO: Final = 0.5
"""Part of the time in which an upstream that is leaving must have been given up, during which it is
used if its service has no other.  The rest covers the transit of requests."""

RefusalScope = Literal["none", "streams", "all"]


class Gateway:
    """State of a gateway.  Times are in seconds of the steady clock."""

    def __init__(self, cfg: GatewaySettings) -> None:
        self.cfg = cfg
        self.rng = random.Random()
        self.table: RoutingTable | None = None
        self.config_seen = NOTHING_KNOWN
        """State of the newest configuration received, valid or not."""
        self.peers = Peers(cfg["name"], cfg.get("link_mbps", 0.0), cfg["hall"])
        self.warmups = WarmUps(self.peers)
        self.peers_reachable = False
        """Whether the last feed request to another gateway was answered, with fresh data or not."""
        self.updates = UpdateNotifier()
        self.replicas: dict[str, KindReplica] = {}
        """The local replica of each kind of object in the store."""
        self.feed_valid_until = float("-inf")
        """Until when another gateway is expected to keep this one up to date (steady clock)."""
        self.members = Members()
        self.members_listed = False
        self.members_era = 0
        """The era of the store in which upstreams were listed last."""
        self.evacuated_halls: dict[str, float] = {}
        """Evacuated data halls, with the time when this gateway learned of it (steady clock)."""
        self.evacuations_known = cfg["timing"].get("evacuate_ms", 0) <= 0
        """Whether evacuations have been listed; always true if the settings disable them."""
        self.unreadable = UnreadableEntries()
        self.regions = Regions(cfg.get("regions", {}))
        self.pools = Pools(lambda engines, uneven: self.backlogs.speed_weights(engines, uneven))
        self.freshness = Freshness(_withdrawal_bound_s(cfg), _serves_unconfirmed(cfg))
        self.store_outage = StoreOutage()
        self.metrics = Metrics()
        self.store_returns = StoreReturns(self.metrics)
        self.store_returns.on_return = self._await_feed_after_return
        self.store = StoreClient(cfg["store"]["addr"], Pool(cfg["ip"]), self.note_era)
        self.rests = Rests()
        self.rate_limits = RateLimits(self.peers)
        self.connections = ConnectionPool(cfg["ip"], self._observe_head)
        self.upstream_probes = UpstreamProbes(self.connections)
        self.loads = Loads()
        self.held = HeldRequests()
        self.prefill_rates = PrefillRates()
        self.part_demand = PartDemand()
        self.pressure = Pressure()
        self.suspicions: dict[str, UpstreamHealth] = {}
        self.retry_budgets: dict[str, WindowBudget] = {}
        self.rollouts = Rollouts(
            _rollback_bound_s(cfg), _exposure(cfg), lambda: self.peers.fleet_size
        )
        self.evidence = VersionEvidence(self.rollouts)
        self.callers = CallerConnections(CallerBuffers(self.metrics), Intake(_intake_limits(cfg)))
        self.callers.buffers.limit_bytes = _caller_buffer_bytes(cfg)
        self.datagrams = Datagrams(self.metrics)
        self.backlogs = Backlogs(
            cfg["name"], self.peers, self.prefill_rates, self.datagrams, self.metrics
        )
        self.room = Room()
        self.backlogs.observe_use = self.room.observe_use
        self.workspace_ranks = WorkspaceRanks()
        self.refused_workspaces: set[str] = set()
        """Workspaces with refusals that are counted under their own name."""
        pins = SessionPins(cfg["timing"]["session_s"])
        self.sessions = SessionNews(self.peers, self.datagrams, self.metrics, pins)
        self.rollout_news = RolloutNews(self.peers, self.datagrams, self.rollouts)
        self.evidence_news = EvidenceNews(
            self.peers, self.datagrams, self.rollouts, self.evidence, self.rollout_news
        )
        self.limit_news = LimitNews(self.peers, self.datagrams, self.rate_limits)
        self.fatal = FatalRequests(self.peers, self.datagrams, self.metrics)
        self.counts = Counts()
        self.policies = Policies()
        self.plans = Plans()
        self.draining = False
        """Whether a planned stop has begun: not ready, and each response closes its connection."""
        self.resume_at = float("inf")
        """When this gateway accepts callers again after a planned stop."""
        self.refusal_scope: RefusalScope = "none"
        """Which new requests a planned stop refuses as not run."""
        self.stop_ends_at = float("inf")
        """When a planned stop answers what is still under way (steady clock)."""
        self.call_times = CallTimes()
        self.serving: set[Any] = set()
        """Tasks that serve a request each."""

    @property
    def limits(self) -> CallerLimits:
        """The limits in force on what callers send."""
        return self.table.limits if self.table is not None else DEFAULT_LIMITS

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send callers here.

        With a stale confirmation the gateway is ready only if other gateways answer and have no
        newer one, since then no gateway is in a better state.  A gateway that was notified of a
        newer configuration and has not received it within the time in which a configuration must
        be in force is not ready, because the others are in a better state.
        """
        now = clock.now()
        known = self.table is not None and self.members_listed and self.evacuations_known
        fresh_enough = self.freshness.may_start(now) or self.peers_reachable
        return known and not self.draining and fresh_enough and not self._config_overdue(now)

    @property
    def config_revision_known(self) -> int:
        """Revision of the newest configuration known to exist, received or not."""
        pending = self._pending_config()
        known = max(self.config_seen, pending.position) if pending is not None else self.config_seen
        return known.revision

    def note_era(self, era: int) -> None:
        """Record an era of the store that an answer or another gateway names."""
        self.store.era = max(self.store.era, era)
        self.store_returns.note_era(era)

    def _await_feed_after_return(self) -> None:
        """Let a gateway that is no relay wait for a feed before it lists everything itself."""
        now = clock.now()
        if not self.peers.is_relay(now):
            hold_s = start_hold_s(self.peers.fleet_size, self.rng.random())
            self.feed_valid_until = max(self.feed_valid_until, now + hold_s)

    def _config_overdue(self, now: float) -> bool:
        pending = self._pending_config()
        limit_s = self.cfg["timing"]["config_apply_ms"] / 1000
        return pending is not None and now - pending.since > limit_s

    def _pending_config(self) -> PendingObject | None:
        replica = self.replicas.get(names.CONFIG_KIND)
        return replica.pending.get(names.CONFIG_NAME) if replica is not None else None

    def reconfigure(self, cfg: GatewaySettings) -> None:
        """Apply changed settings; the listen addresses stay the same until the next start."""
        self.cfg = cfg
        self.store.addr = cfg["store"]["addr"]
        self.freshness.max_age_s = _withdrawal_bound_s(cfg)
        self.freshness.serve_unconfirmed = _serves_unconfirmed(cfg)
        self.sessions.pins.session_s = cfg["timing"]["session_s"]
        self.rollouts.rollback_s = _rollback_bound_s(cfg)
        self.rollouts.exposure = _exposure(cfg)
        self.callers.buffers.limit_bytes = _caller_buffer_bytes(cfg)
        self.callers.intake.limits = _intake_limits(cfg)
        self.retry_budgets.clear()

    def _observe_head(self, upstream: Upstream, head: AnswerHead, sent_at: float) -> None:
        """Record what a response tells about its upstream rather than about its request."""
        now, time_of_day = clock.now(), time.time()
        self.upstream_probes.record_answer(upstream.key)
        if not head.wrong_upstream:
            fields = ReportFields(
                head.running, head.waiting, head.slots, head.pace, refused=head.not_run
            )
            self.loads.record_report(upstream.key, fields, now)
        self.rate_limits.record_response(upstream, head.rate_limit_per_s, sent_at, now)
        if head.rest_s:
            self.rests.record_refusal(upstream, head.rest_s, now, time_of_day)
        if head.leaving:
            leave_s = self.cfg["timing"]["upstream_leave_ms"] / 1000
            last_use_at = now + LEAVING_USE_RATIO * leave_s
            if not head.wrong_upstream:
                self.members.mark_leaving(upstream, last_use_at, time_of_day)
            elif head.upstream_id:
                self.members.mark_leaving_by_id(head.upstream_id, last_use_at, time_of_day)

    def suspicion_of(self, upstream_key: str) -> UpstreamHealth:
        """The failure evidence against an upstream."""
        return self.suspicions.setdefault(upstream_key, UpstreamHealth())

    def retry_budget_of(self, service: str) -> WindowBudget:
        """This gateway's share of a service's retry budget."""
        retries = self.cfg["retries"]
        budget = self.retry_budgets.get(service)
        if budget is None:
            budget = WindowBudget(retries["ratio"] * SHARED_FRACTION, retries["window_s"], 0.0)
            self.retry_budgets[service] = budget
        budget.slack = slack_per_gateway(retries["slack"], self.peers.fleet_size)
        return budget

    def assume_warming_up(self, upstream: Upstream, now: float) -> None:
        """Treat an upstream as warming up before its entry reports that it is."""
        service = self.table.services.get(upstream.service) if self.table is not None else None
        if service is not None:
            self.warmups.assume_warming_up(upstream, service.warmup_s, now)

    def forget_upstream(self, upstream_key: str) -> None:
        """Drop the state kept for an upstream that has left or restarted."""
        self.connections.drop_upstream(upstream_key)
        self.upstream_probes.forget(upstream_key)
        self.backlogs.forget(upstream_key)
        self.loads.forget(upstream_key)
        self.warmups.forget(upstream_key)
        self.suspicions.pop(upstream_key, None)
