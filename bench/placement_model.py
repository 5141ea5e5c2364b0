"""A fleet of gateways that place prompts on uneven engines, simulated without a network.

Pure, by discrete events.  Engines and load are those of `bench.engine_model` and grow with the
number of gateways.  Half of the prompts are read again by a model that reads eight times as slowly
and answers instead.  At any moment, some of the hosts take 2.5 times as long.  Gateways decide by
`ramppost.policy`.  A message takes 1 ms, and load reports come with the responses that a gateway
gets itself.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Final, NamedTuple

from bench.engine_model import (
    KINDS,
    SUBJECTS,
    Attempt,
    Engine,
    Kind,
    Request,
    make_engine,
    make_request,
)
from ramppost.policy.backlog import Backlog, PendingPrompt
from ramppost.policy.keepers import keeper_of
from ramppost.policy.placement import (
    EngineView,
    Placement,
    PlacementContext,
    PrefillRates,
    PrefillWork,
    build_pool,
    home_engine,
    leading_tokens,
    rank_engines,
    select_candidates,
)
from ramppost.policy.urgency import urgency_level

HALLS: Final = ("bole", "kirkos", "yeka", "lideta")
USUAL_GATEWAYS: Final = 24
"""The fleet size for which the rates of requests and the number of engines are given."""
USUAL_ENGINES: Final = 22
SLOW_PACE: Final = 2.5
SLOW_PACE_SHARE: Final = 0.15
PACE_TURN_S: Final = 0.6
DELAY_S: Final = 0.001
MAX_QUERIED: Final = 4
BYTES: Final = 1500
BYTES_PER_TOKEN: Final = 80 / 9
WARM_UP_S: Final = 5.0
"""Requests that arrive earlier are not counted."""


class Way(NamedTuple):
    """What gateways know of engines."""

    name: str
    reports: bool


class Report(NamedTuple):
    """A load report as a gateway received it."""

    running: int
    waiting: int
    at: float


NO_REPORT: Final = Report(0, 0, float("-inf"))


class Gateway:
    """What a gateway knows of engines, as their keeper or by its own requests."""

    def __init__(self, hall: str) -> None:
        self.hall = hall
        self.rates = PrefillRates()
        self.backlogs: dict[str, Backlog] = {}
        self.reports: dict[str, Report] = {}
        self.own_running: dict[str, int] = {}

    def backlog(self, engine: str) -> Backlog:
        """The backlog of an engine."""
        return self.backlogs.setdefault(engine, Backlog())


class Simulation:
    """A fleet under load, for some seconds."""

    def __init__(self, way: Way, size: int, seed: int, duration_s: float, load: float) -> None:
        self.way, self.rng, self._arrivals = way, random.Random(seed), random.Random(-seed)
        self.gateways = [Gateway(HALLS[n % len(HALLS)]) for n in range(size)]
        count = max(4, round(USUAL_ENGINES * size / USUAL_GATEWAYS))
        engines = [make_engine(n, HALLS[n // 4 % 4], self._arrivals) for n in range(count)]
        self.engines = {engine.id: engine for engine in engines}
        halls = {str(n): gateway.hall for n, gateway in enumerate(self.gateways)}
        self.keepers = {e.id: int(keeper_of(e.id, e.hall, halls, frozenset())) for e in engines}
        self.pool = build_pool({engine.id: engine.hall for engine in engines})
        self.answers: list[Attempt] = []
        self.late = self.datagrams = self.requests = self.shared_tokens = self.tokens_again = 0
        self.duration_s = duration_s
        self._per_s = load * size / USUAL_GATEWAYS
        self._read_before: set[tuple[str, str]] = set()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()
        self._wakes: dict[str, float] = {}

    def run(self) -> None:
        """Run until all that arrived has ended."""
        for kind in KINDS:
            self._at(0.0, lambda now, kind=kind: self._arrive(kind, now))
        for engine in self.engines.values():
            first = self._arrivals.uniform(-PACE_TURN_S, 0)
            self._at(first, lambda now, engine=engine: self._turn(engine, now))
        while self._events:
            now, _, action = heapq.heappop(self._events)
            action(now)

    def _at(self, when: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), action))

    # --- load and engines

    def _arrive(self, kind: Kind, now: float) -> None:
        rng = self._arrivals
        if now > self.duration_s:
            return
        self._at(now + rng.expovariate(kind.per_s * self._per_s), lambda t: self._arrive(kind, t))
        subjects = max(2, round(SUBJECTS * len(self.gateways) / USUAL_GATEWAYS))
        gateway = rng.randrange(len(self.gateways))
        request = make_request(kind, next(self._numbers), gateway, subjects, now, rng)
        self.requests += now > WARM_UP_S
        self._ask(request, "small", now)

    def _turn(self, engine: Engine, now: float) -> None:
        self._run_engine(engine, now)
        engine.pace = SLOW_PACE if self._arrivals.random() < SLOW_PACE_SHARE else 1.0
        self._run_engine(engine, now)
        if now < self.duration_s:
            self._at(now + PACE_TURN_S, lambda t: self._turn(engine, t))

    def _run_engine(self, engine: Engine, now: float, new: Attempt | None = None) -> None:
        """Continue an engine until now, and arrange for the next change."""
        read, ended = engine.advance(now)
        if new is not None:
            engine.add(new)
        for attempt in read:
            if attempt.model == "large" or not attempt.request.again:
                engine.start_stream(attempt)
            report = Report(len(engine.streams), len(engine.waiting), now + DELAY_S)
            self._at(now + DELAY_S, lambda t, a=attempt, r=report: self._began(a, r, t))
        for attempt in ended:
            self._at(now + DELAY_S, lambda t, a=attempt: self._ended(a, t))
        parts, dropped = engine.start_reading(now)
        if parts and engine.reading is not None:
            self._count_read(engine.reading, parts)
        for attempt in dropped:
            self._at(now + DELAY_S, lambda t, a=attempt: self._dropped(a, t))
        self._wakes[engine.id] = wake = engine.next_at()
        if wake < float("inf"):
            self._at(wake, lambda t: self._wakes[engine.id] == t and self._run_engine(engine, t))

    def _count_read(self, attempt: Attempt, parts: list[str]) -> None:
        for name, tokens in attempt.request.parts[:-1]:
            self.shared_tokens += tokens
            self.tokens_again += tokens * (
                name in parts and (attempt.model, name) in self._read_before
            )
            self._read_before.add((attempt.model, name))

    # --- gateways

    def _ask(self, request: Request, model: str, now: float) -> None:
        """Ask the keepers of the best engines, and send the prompt 2 ms later."""
        gateway = self.gateways[request.gateway]
        tokens = request.kind.shared + request.kind.own
        level = urgency_level(0, request.kind.rank, gateway.rates.rate_s(model) * tokens)
        attempt = Attempt(str(next(self._numbers)), request, model, level)
        context = self._context(attempt)
        chosen = select_candidates(self.pool, gateway.hall, context.home, self.rng)
        views = [self._view(gateway, gateway, id, attempt, now) for id in sorted(chosen)]
        best = [p.id for p in self._rank(attempt, views, context, now)]
        asked = sorted({context.home, *best[: MAX_QUERIED - 1]} - {""})
        self.datagrams += 2 * len({self.keepers[id] for id in asked} - {request.gateway})
        self._at(now + DELAY_S, lambda t: self._answer(attempt, asked, context, t))

    def _answer(
        self, attempt: Attempt, asked: list[str], context: PlacementContext, now: float
    ) -> None:
        gateway = self.gateways[attempt.request.gateway]
        views = []
        for id in asked:
            keeper = self.gateways[self.keepers[id]]
            views.append(self._view(gateway, keeper, id, attempt, now))
            gateway.rates.accept_peer_rate(attempt.model, keeper.rates.own_rate_s(attempt.model))
        self._at(now + DELAY_S, lambda t: self._send(attempt, views, context, t))

    def _send(
        self, attempt: Attempt, views: list[EngineView], context: PlacementContext, now: float
    ) -> None:
        gateway = self.gateways[attempt.request.gateway]
        attempt.placed = placed = self._rank(attempt, views, context, now)[0]
        attempt.sent_at = now
        gateway.rates.record_sent(placed.prefill_s)
        names = tuple(name for name, _ in attempt.request.parts)
        prompt = PendingPrompt(now, placed.prefill_s, attempt.level, attempt.model, names)
        self._tell(attempt, now, lambda g, t: g.backlog(placed.id).add(attempt.key, prompt))
        engine = self.engines[placed.id]
        self._at(now + DELAY_S, lambda t: self._run_engine(engine, t, attempt))

    def _began(self, attempt: Attempt, report: Report, now: float) -> None:
        gateway, id = self.gateways[attempt.request.gateway], attempt.placed.id
        attempt.began_at = now
        self._tell(attempt, now, lambda g, t: g.backlog(id).record_first_token(attempt.key, t))
        if self.way.reports:
            gateway.reports[id] = report
        self._learn(gateway, attempt, now)
        if attempt.model == "small" and attempt.request.again:
            self._ask(attempt.request, "large", now)
            return
        gateway.own_running[id] = gateway.own_running.get(id, 0) + 1
        late = now - attempt.request.arrived > attempt.request.kind.objective_s
        self.late += late and attempt.request.arrived > WARM_UP_S

    def _learn(self, gateway: Gateway, attempt: Attempt, now: float) -> None:
        placed = attempt.placed
        tokens = placed.prefill_s / gateway.rates.rate_s(attempt.model)
        waited_s = placed.first_token_s - placed.prefill_s
        gateway.rates.observe(attempt.model, tokens, max(0.0, now - attempt.sent_at - waited_s))

    def _ended(self, attempt: Attempt, now: float) -> None:
        attempt.ended_at = now
        self.gateways[attempt.request.gateway].own_running[attempt.placed.id] -= 1
        if attempt.request.arrived > WARM_UP_S:
            self.answers.append(attempt)

    def _dropped(self, attempt: Attempt, now: float) -> None:
        self._tell(attempt, now, lambda g, t: g.backlog(attempt.placed.id).remove(attempt.key, t))
        self.late += attempt.request.arrived > WARM_UP_S

    def _tell(self, attempt: Attempt, now: float, note: Callable[[Gateway, float], None]) -> None:
        """Record an event at a gateway, and later at the keeper of the engine."""
        own, keeper = attempt.request.gateway, self.keepers[attempt.placed.id]
        note(self.gateways[own], now)
        if keeper != own:
            self.datagrams += 1
            self._at(now + DELAY_S, lambda t: note(self.gateways[keeper], t))

    # --- decisions

    def _work(self, attempt: Attempt) -> PrefillWork:
        kind = attempt.request.kind
        size = round(BYTES + BYTES_PER_TOKEN * kind.max_out)
        return PrefillWork(attempt.model, attempt.request.parts, kind.shared + kind.own, size)

    def _context(self, attempt: Attempt) -> PlacementContext:
        hall = self.gateways[attempt.request.gateway].hall
        home = home_engine(self.pool, self._work(attempt), hall)
        return PlacementContext(hall, home, self.pool.long_prompt_ids)

    def _rank(
        self, attempt: Attempt, views: list[EngineView], context: PlacementContext, now: float
    ) -> list[Placement]:
        rates = self.gateways[attempt.request.gateway].rates
        return rank_engines(views, self._work(attempt), rates, context, now, self.rng)

    def _view(
        self, gateway: Gateway, source: Gateway, id: str, attempt: Attempt, now: float
    ) -> EngineView:
        """An engine as a gateway sees it, with the larger backlog of its own and the source's."""
        names, parts = tuple(name for name, _ in attempt.request.parts), attempt.request.parts
        backlogs = [g.backlog(id) for g in {gateway, source}]
        cached = max(b.cached_parts(attempt.model, names, now) for b in backlogs)
        report = gateway.reports.get(id, NO_REPORT)
        complete = self.keepers[id] == attempt.request.gateway or source is not gateway
        return EngineView(
            id=id,
            hall=self.engines[id].hall,
            ahead_s=max(b.ahead_s(attempt.level, now) for b in backlogs),
            kept_tokens=leading_tokens(parts, cached),
            others_running=max(0, report.running - gateway.own_running.get(id, 0)),
            others_waiting=0 if complete else report.waiting,
            reported_at=report.at,
            failure_rate=0.0,
        )
