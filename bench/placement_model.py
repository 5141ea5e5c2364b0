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
from functools import partial
from typing import Final

from bench.engine_model import (
    KINDS,
    SLOTS,
    SUBJECTS,
    Attempt,
    Engine,
    Kind,
    Request,
    make_engine,
    make_request,
)
from bench.gateway_model import Gateway, Way
from ramppost.gateway.load import ReportFields
from ramppost.gateway.pick import MAX_QUERIED_ENGINES
from ramppost.policy.backlog import PendingPrompt
from ramppost.policy.homes import home_candidates, home_engines, home_group, shared_part
from ramppost.policy.keepers import keeper_of
from ramppost.policy.placement import (
    EngineView,
    Placement,
    PlacementContext,
    PrefillWork,
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
BYTES: Final = 1500
BYTES_PER_TOKEN: Final = 80 / 9
WARM_UP_S: Final = 5.0
"""Requests that arrive earlier are not counted."""


class Simulation:
    """A fleet under load, for some seconds."""

    def __init__(self, way: Way, size: int, seed: int, duration_s: float, load: float) -> None:
        self.way, self.rng, self._arrivals = way, random.Random(seed), random.Random(-seed)
        count = max(4, round(USUAL_ENGINES * size / USUAL_GATEWAYS))
        engines = [make_engine(n, HALLS[n // 4 % 4], self._arrivals) for n in range(count)]
        self.engines = {engine.id: engine for engine in engines}
        engine_halls = {engine.id: engine.hall for engine in engines}
        self.gateways = [Gateway(HALLS[n % 4], way, engine_halls) for n in range(size)]
        halls = {str(n): gateway.hall for n, gateway in enumerate(self.gateways)}
        self.keepers = {e.id: int(keeper_of(e.id, e.hall, halls, frozenset())) for e in engines}
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
            self._at(0.0, partial(self._arrive, kind))
        for engine in self.engines.values():
            first = self._arrivals.uniform(-PACE_TURN_S, 0)
            self._at(first, partial(self._turn, engine))
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
        self._at(now + rng.expovariate(kind.per_s * self._per_s), partial(self._arrive, kind))
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
            self._at(now + PACE_TURN_S, partial(self._turn, engine))

    def _run_engine(self, engine: Engine, now: float, new: Attempt | None = None) -> None:
        """Continue an engine until now, and arrange for the next change."""
        read, ended = engine.advance(now)
        if new is not None:
            engine.add(new)
        for attempt in read:
            if attempt.model == "large" or not attempt.request.again:
                engine.start_stream(attempt)
            report = ReportFields(len(engine.streams), len(engine.waiting), SLOTS, engine.pace)
            self._at(now + DELAY_S, partial(self._began, attempt, report))
        for attempt in ended:
            self._at(now + DELAY_S, partial(self._ended, attempt))
        parts, dropped = engine.start_reading(now)
        if parts and engine.reading is not None:
            self._count_read(engine.reading, parts)
        for attempt in dropped:
            self._at(now + DELAY_S, partial(self._dropped, attempt))
        self._wakes[engine.id] = wake = engine.next_at()
        if wake < float("inf"):
            self._at(wake, partial(self._wake, engine))

    def _wake(self, engine: Engine, now: float) -> None:
        """Continue an engine unless something has changed since this was arranged."""
        if self._wakes[engine.id] == now:
            self._run_engine(engine, now)

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
        context = self._context(attempt, now)
        homes = home_candidates(context.homes, self.rng)
        chosen = select_candidates(gateway.pool, gateway.hall, homes, self.rng)
        views = [
            gateway.view(id, self.engines[id].hall, attempt, None, now) for id in sorted(chosen)
        ]
        best = [p.id for p in self._rank(attempt, views, context, now)]
        asked = sorted({*homes, *best[: MAX_QUERIED_ENGINES - max(1, len(homes))]})
        self.datagrams += 2 * len({self.keepers[id] for id in asked} - {request.gateway})
        self._at(now + DELAY_S, partial(self._answer, attempt, asked, context))

    def _answer(
        self, attempt: Attempt, asked: list[str], context: PlacementContext, now: float
    ) -> None:
        gateway = self.gateways[attempt.request.gateway]
        views = []
        for id in asked:
            keeper = self.gateways[self.keepers[id]]
            views.append(gateway.view(id, self.engines[id].hall, attempt, keeper, now))
            gateway.rates.accept_peer_rate(attempt.model, keeper.rates.own_rate_s(attempt.model))
        self._at(now + DELAY_S, partial(self._send, attempt, views, context))

    def _send(
        self, attempt: Attempt, views: list[EngineView], context: PlacementContext, now: float
    ) -> None:
        gateway = self.gateways[attempt.request.gateway]
        attempt.placed = placed = self._rank(attempt, views, context, now)[0]
        attempt.sent_at = now
        gateway.rates.record_sent(placed.prefill_s)
        own_s = gateway.rates.rate_s(attempt.model) * attempt.request.kind.own
        part = shared_part(attempt.request.parts)
        gateway.part_demand.record(attempt.model, part, own_s, now)
        names = tuple(name for name, _ in attempt.request.parts)
        prompt = PendingPrompt(
            now,
            placed.prefill_s,
            attempt.level,
            attempt.model,
            names,
            prefill_factor=placed.prefill_factor,
        )
        self._tell(attempt, now, lambda g, t: g.backlog(placed.id).add(attempt.key, prompt))
        engine = self.engines[placed.id]
        self._at(now + DELAY_S, lambda t: self._run_engine(engine, t, attempt))

    def _began(self, attempt: Attempt, report: ReportFields, now: float) -> None:
        gateway, id = self.gateways[attempt.request.gateway], attempt.placed.id
        attempt.began_at = now
        keeper = self.gateways[self.keepers[id]]
        self._tell(attempt, now, lambda g, t: g.record_began(attempt, g is keeper, t))
        gateway.record_own(attempt, report, now)
        if attempt.model == "small" and attempt.request.again:
            self._finish_stream(attempt, 0, now)
            self._ask(attempt.request, "large", now)
            return
        gateway.loads.in_flight(id).requests += 1
        late = now - attempt.request.arrived > attempt.request.kind.objective_s
        self.late += late and attempt.request.arrived > WARM_UP_S

    def _finish_stream(self, attempt: Attempt, tokens: int, now: float) -> None:
        """Record the end of a stream where the speed of its engine is estimated."""
        id, took_s = attempt.placed.id, now - attempt.began_at
        own, keeper = attempt.request.gateway, self.keepers[id]
        if self.way.speeds == "alone":
            self.gateways[own].speed(id).finish_stream(attempt.key, tokens, took_s, now)
        elif self.way.speeds == "keepers":
            self.datagrams += keeper != own
            speed = self.gateways[keeper].speed(id)
            delay_s = DELAY_S if keeper != own else 0.0
            self._at(now + delay_s, lambda t: speed.finish_stream(attempt.key, tokens, took_s, t))

    def _ended(self, attempt: Attempt, now: float) -> None:
        attempt.ended_at = now
        self._finish_stream(attempt, attempt.request.tokens_out, now)
        gateway = self.gateways[attempt.request.gateway]
        gateway.loads.in_flight(attempt.placed.id).requests -= 1
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
        tokens, size = kind.shared + kind.own, round(BYTES + BYTES_PER_TOKEN * kind.max_out)
        return PrefillWork(attempt.model, attempt.request.parts, tokens, size, attempt.request.hint)

    def _context(self, attempt: Attempt, now: float) -> PlacementContext:
        gateway, part = self.gateways[attempt.request.gateway], shared_part(attempt.request.parts)
        gateway.update_pool(now)
        pool = gateway.pool
        group = home_group(pool, gateway.hall)
        whole = group is pool.all_halls
        sharing = sum(whole or other.hall == gateway.hall for other in self.gateways)
        count = gateway.part_demand.home_count(part, attempt.model, now, sharing, len(group.ids))
        homes = home_engines(group, attempt.model, part, count)
        return PlacementContext(gateway.hall, homes, pool.long_prompt_ids, gateway.uneven)

    def _rank(
        self, attempt: Attempt, views: list[EngineView], context: PlacementContext, now: float
    ) -> list[Placement]:
        rates = self.gateways[attempt.request.gateway].rates
        return rank_engines(views, self._work(attempt), rates, context, now, self.rng)
