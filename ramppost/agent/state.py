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
    """Everything an agent holds; all of it may be lost at any time."""

    def __init__(self, cfg: AgentSettings) -> None:
        self.cfg = cfg
        where = cfg["listen"]
        self.name = ids.new_incarnation(cfg.get("advertise", f"{where['host']}:{where['port']}"))
        self.pool = Pool(where["host"])
        self.client = Client(cfg["platform"], self.pool)
        self.conf = ConfigState()
        self.keep_s = cfg.get("keep_s", 600.0)
        self.attempts = Attempts(self.keep_s, cfg.get("keep_mb", 64) * 1_000_000)
        upstream = cfg["upstream"]
        reserved = upstream.get("reserved", 0)
        self.admission = Admission(upstream["slots"], cfg.get("queue", 64), reserved)
        self.filer = LedgerWriter(self.client, self.name, 1.0, self._filed)
        self.witness: dict[str, tuple[float, BillLine]] = {}
        self.counts: dict[CountKey, OutcomeCounts] = {}
        self.paces: dict[str, TimingBaseline] = {}
        self.versions: list[str] = []
        self.up = False
        self.leaving = False
        self.meter = Meter()
        self.started = clock.now()

    @property
    def epoch(self) -> int:
        """The present epoch of tickets: half of `keep_s` each."""
        return int((clock.now() - self.started) / (self.keep_s / 2))

    @property
    def ticket(self) -> str:
        """What an entry must name in a run message."""
        return ids.format_ticket(self.name, self.epoch)

    def admits(self, text: str) -> bool:
        """Whether a ticket is ours and of this epoch or the one before."""
        got = ids.parse_ticket(text)
        return got.incarnation == self.name and self.epoch - 1 <= got.epoch <= self.epoch

    def load(self) -> Load:
        """The load now."""
        adm = self.admission
        drain = adm.drain_per_s()
        return Load(running=adm.running, waiting=adm.waiting, slots=adm.slots, drain_per_s=drain)

    def count(self, mv: ModelVersion, fresh: OutcomeCounts) -> None:
        """Count how a version did; of its roll-outs only the last is kept."""
        what = count_key_of(self.conf.doc, mv) if self.conf.doc else CountKey(mv, 0)
        for other in [c for c in self.counts if c.mv == mv and 0 < c.since < what.since]:
            del self.counts[other]
        self.counts[what] = add_counts(self.counts.get(what, OutcomeCounts()), fresh)

    def slow(self, mv: ModelVersion, seen: Timing) -> bool:
        """Whether an answer was slow for its model; the stable version's say what is usual."""
        pace = self.paces.setdefault(mv.model, TimingBaseline())
        slow = pace.is_slow(seen)
        if self.conf.doc is not None and version_state(self.conf.doc, mv) == "stable":
            pace.record(seen)
        return slow

    def count_list(self) -> list[VersionCount]:
        """Counts by version since the start."""
        return [
            VersionCount(
                model=what.mv.model,
                version=what.mv.version,
                since=what.since,
                ok=x.ok,
                bad=x.bad,
                slow=x.slow,
            )
            for what, x in self.counts.items()
        ]

    def price(self, model: str) -> float:
        """Price of a thousand tokens."""
        found = model_named(self.conf.doc, model) if self.conf.doc else None
        return found["price"] if found else 0.0

    async def _filed(self, lines: list[BillLine]) -> None:
        for line in lines:
            self.witness.pop(line["attempt"], None)
