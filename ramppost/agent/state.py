"""State of an agent."""

from __future__ import annotations

from ramppost import clock, ids
from ramppost.agent.attempts import Attempts
from ramppost.confsync import ConfigState
from ramppost.ledger import LedgerWriter
from ramppost.platform.objects import Client
from ramppost.policy.admission import Admission
from ramppost.policy.pace import Timing, TimingBaseline
from ramppost.policy.permissions import ModelVersion, model_named, version_state
from ramppost.policy.rollout import CountKey, OutcomeCounts, add_counts, count_key_of
from ramppost.schema.messages import BillLine, Load, VersionCount
from ramppost.schema.settings import AgentSettings
from ramppost.wire.client import Pool
from ramppost.wire.server import Meter


class Agent:
    """The in-memory state of an agent; nothing is persisted, so a crash may lose all of it."""

    def __init__(self, cfg: AgentSettings) -> None:
        self.cfg = cfg
        listen = cfg["listen"]
        self.name = ids.new_incarnation(cfg.get("advertise", f"{listen['host']}:{listen['port']}"))
        self.pool = Pool(listen["host"])
        self.client = Client(cfg["platform"], self.pool)
        self.conf = ConfigState()
        self.keep_s = cfg.get("keep_s", 600.0)
        self.attempts = Attempts(self.keep_s, cfg.get("keep_mb", 64) * 1_000_000)
        upstream = cfg["upstream"]
        reserved = upstream.get("reserved", 0)
        self.admission = Admission(upstream["slots"], cfg.get("queue", 64), reserved)
        self.filer = LedgerWriter(self.client, self.name, 1.0, self._on_bills_filed)
        self.unsettled_bills: dict[str, tuple[float, BillLine]] = {}
        self.counts: dict[CountKey, OutcomeCounts] = {}
        self.timing_baselines: dict[str, TimingBaseline] = {}
        self.versions: list[str] = []
        self.upstream_up = False
        self.leaving = False
        self.meter = Meter()
        self.started_at = clock.now()

    @property
    def epoch(self) -> int:
        """The current epoch of tickets; an epoch lasts half of `keep_s`."""
        return int((clock.now() - self.started_at) / (self.keep_s / 2))

    @property
    def ticket(self) -> str:
        """The ticket that an entry must name in a run message."""
        return ids.format_ticket(self.name, self.epoch)

    def accepts_ticket(self, text: str) -> bool:
        """Whether this agent issued a ticket, in the current epoch or the one before."""
        ticket = ids.parse_ticket(text)
        return ticket.incarnation == self.name and self.epoch - 1 <= ticket.epoch <= self.epoch

    def load(self) -> Load:
        """The current load, as sent to entries."""
        admission = self.admission
        drain_per_s = admission.drain_per_s()
        return Load(
            running=admission.running,
            waiting=admission.waiting,
            slots=admission.slots,
            drain_per_s=drain_per_s,
        )

    def record_outcome(self, mv: ModelVersion, outcome: OutcomeCounts) -> None:
        """Add to the counts of a version; only the counts of its latest roll-out are kept."""
        count_key = count_key_of(self.conf.doc, mv) if self.conf.doc else CountKey(mv, 0)
        for other in [c for c in self.counts if c.mv == mv and 0 < c.since < count_key.since]:
            del self.counts[other]
        self.counts[count_key] = add_counts(self.counts.get(count_key, OutcomeCounts()), outcome)

    def is_slow(self, mv: ModelVersion, timing: Timing) -> bool:
        """Whether an answer was slow for its model.

        The baseline of a model is taken from the answers of its stable version.
        """
        baseline = self.timing_baselines.setdefault(mv.model, TimingBaseline())
        slow = baseline.is_slow(timing)
        if self.conf.doc is not None and version_state(self.conf.doc, mv) == "stable":
            baseline.record(timing)
        return slow

    def outcome_counts(self) -> list[VersionCount]:
        """The counts by version and roll-out since the process started."""
        return [
            VersionCount(
                model=count_key.mv.model,
                version=count_key.mv.version,
                since=count_key.since,
                ok=outcomes.ok,
                bad=outcomes.bad,
                slow=outcomes.slow,
            )
            for count_key, outcomes in self.counts.items()
        ]

    def price(self, model: str) -> float:
        """The price of a thousand tokens of a model; 0 if the model is unknown."""
        model_config = model_named(self.conf.doc, model) if self.conf.doc else None
        return model_config["price"] if model_config else 0.0

    async def _on_bills_filed(self, lines: list[BillLine]) -> None:
        for line in lines:
            self.unsettled_bills.pop(line["attempt"], None)
