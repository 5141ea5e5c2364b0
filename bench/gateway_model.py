"""What a gateway of a simulation knows of engines, kept by the modules of the gateway itself.

Pure.  `Way` says how much of it a gateway has.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Literal, NamedTuple

from bench.engine_model import Attempt
from ramppost.gateway.load import Loads, ReportFields
from ramppost.gateway.pools import WEIGHTS_VALID_S
from ramppost.policy.backlog import Backlog
from ramppost.policy.homes import PartDemand, build_pool, quantized_weights
from ramppost.policy.placement import EngineView, PrefillRates, leading_tokens
from ramppost.policy.speed import (
    UNKNOWN_SPEED,
    EngineSpeed,
    SpeedFigures,
    speed_weights,
)


class Way(NamedTuple):
    """What gateways know of engines: load reports, speeds, and the pace of hosts.

    Speeds are not known, or learned by each gateway alone, or told by the keepers.  The pace that a
    gateway was told multiplies the time of the prompts ahead and the engine's prefill factor.
    """

    name: str
    reports: bool = False
    speeds: Literal["", "alone", "keepers"] = ""
    pace: bool = False


class Gateway:
    """What a gateway knows of engines, as their keeper or by its own requests."""

    def __init__(self, hall: str, way: Way, engine_halls: Mapping[str, str]) -> None:
        self.hall, self.way, self._engine_halls = hall, way, engine_halls
        self.pool, self.uneven = build_pool(engine_halls), False
        self._pool_until = 0.0
        self.part_demand = PartDemand()
        self.rates = PrefillRates()
        self.backlogs: dict[str, Backlog] = {}
        self.loads = Loads()
        self.speeds: dict[str, EngineSpeed] = {}
        """Speeds of the engines that it keeps, or by its own requests."""
        self.figures: dict[str, SpeedFigures] = {}
        """The last known speed of each engine."""

    def backlog(self, engine: str) -> Backlog:
        """The backlog of an engine."""
        return self.backlogs.setdefault(engine, Backlog())

    def speed(self, engine: str) -> EngineSpeed:
        """The speed of an engine, as estimated here."""
        return self.speeds.setdefault(engine, EngineSpeed())

    def update_pool(self, now: float) -> None:
        """Compare the weights of the engines with their speeds, at most once a second."""
        if now < self._pool_until or not self.way.speeds:
            return
        self._pool_until = now + WEIGHTS_VALID_S
        estimates = speed_weights(self.figures, self.uneven)
        self.uneven = bool(estimates)
        previous = self.pool.weights
        weights = quantized_weights(self.pool.ids, estimates, previous)
        if weights != previous:
            self.pool = build_pool(self._engine_halls, weights)

    def record_began(self, attempt: Attempt, is_keeper: bool, now: float) -> None:
        """Record that a prompt has been read, as far as any gateway knows of it."""
        id = attempt.placed.id
        prefill = self.backlog(id).record_first_token(attempt.key, now)
        if self.way.speeds == "keepers" and is_keeper:
            self.speed(id).begin_stream(attempt.key, now)
            if prefill is not None:
                self.speed(id).record_prefill(prefill.usual_s, prefill.took_s)

    def record_own(self, attempt: Attempt, report: ReportFields, now: float) -> None:
        """Record what the response to its own prompt tells a gateway."""
        placed = attempt.placed
        if self.way.reports:
            self.loads.record_report(placed.id, report, now)
        queued_s = placed.first_token_s - placed.prefill_s
        took_s = max(0.0, now - attempt.sent_at - queued_s)
        self.rates.observe(attempt.model, placed.read_tokens, took_s)
        if self.way.speeds == "alone":
            self.speed(placed.id).begin_stream(attempt.key, now)
            self.speed(placed.id).record_prefill(placed.usual_prefill_s, took_s)

    def view(
        self, id: str, hall: str, attempt: Attempt, keeper: Gateway | None, now: float
    ) -> EngineView:
        """An engine as this gateway sees it, with the answer of its keeper if that was asked."""
        parts = attempt.request.parts
        names = tuple(name for name, _ in parts)
        backlogs = [known.backlog(id) for known in (self, keeper) if known is not None]
        cached = max(b.cached_parts(attempt.model, names, now) for b in backlogs)
        if self.way.speeds == "alone":
            self.figures[id] = self.speed(id).figures(now)
        elif self.way.speeds == "keepers" and keeper is not None:
            self.figures[id] = keeper.speed(id).figures(now)
        speed, report = self.figures.get(id, UNKNOWN_SPEED), self.loads.last_report(id)
        pace = self.loads.pace(id, now) if self.way.pace else 1.0
        return EngineView(
            id=id,
            hall=hall,
            ahead_s=pace * max(b.ahead_s(attempt.level, now) for b in backlogs),
            kept_tokens=leading_tokens(parts, cached),
            others_running=max(0, report.running - self.loads.in_flight(id).requests),
            others_waiting=0 if keeper is not None else report.waiting,
            reported_at=report.at,
            failure_rate=0.0,
            speed=speed._replace(prefill=speed.prefill_factor * pace),
        )
