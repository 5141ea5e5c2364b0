"""Replays a load on engines that are modelled, with the decisions that gateways really take.

Each engine reads one prompt at a time, the more urgent first, and keeps what it has read.
Gateways place prompts by `ramppost.policy.placement` on what they know: the backlogs of all
(`shared`) or of their own prompts alone.  Time is simulated, draws are seeded.

    load = Load(seed=1, gateways=3, engines=6, rate=12.0, seconds=40.0)
    play(load, shared=True).late
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from functools import partial
from typing import Final, NamedTuple

from ramppost.policy.backlog import Backlog, PendingPrompt
from ramppost.policy.homes import build_pool, home_engines, home_group, shared_part
from ramppost.policy.placement import (
    EngineView,
    PlacementContext,
    PrefillRates,
    PrefillWork,
    leading_tokens,
    rank_engines,
)
from ramppost.policy.urgency import urgency_level

TOKEN_S: Final = {"small": 8e-6, "large": 8e-5}
"""Seconds that a model takes to read a token."""
HALLS: Final = ("north", "south", "west")
LARGE_SHARE: Final = 0.4
OBJECTIVE_S: Final = 2.0


Happening = Callable[[float], None]
"""What happens at a time, which it is given."""


class Load(NamedTuple):
    """Prompts a second of all gateways, as long as it lasts; `lost` engines end half-way."""

    seed: int
    gateways: int = 3
    engines: int = 6
    rate: float = 12.0
    seconds: float = 40.0
    prefixes: int = 40
    lost: int = 0


class Outcome(NamedTuple):
    """Parts of the prompts that were late and that went to another hall; median time to a first
    token by model, seconds; median error of what was predicted."""

    late: float
    late_small: float
    away: float
    median_s: float
    error_s: float


class _Engine:
    """Reads prompts; `free_at` is when the one that it reads has its first token."""

    def __init__(self, name: str, hall: str) -> None:
        self.name = name
        self.hall = hall
        self.queue: list[tuple[int, int, _Prompt]] = []
        self.reading: _Prompt | None = None
        self.kept: set[tuple[str, str]] = set()
        self.lost = False


class _Prompt:
    def __init__(self, work: PrefillWork, gateway: int, hall: str, at: float) -> None:
        self.work = work
        self.gateway = gateway
        self.hall = hall
        self.at = at
        self.key = ""
        self.level = 0
        self.predicted_s = 0.0
        self.took_s = 0.0
        self.away = False


class _World:
    """The state of a replay."""

    def __init__(self, load: Load, shared: bool, by_size: bool) -> None:
        self.load = load
        self.shared = shared
        self.by_size = by_size
        self.rng = random.Random(load.seed)
        self.engines = [_Engine(f"e{i}", HALLS[i % len(HALLS)]) for i in range(load.engines)]
        self.backlogs: dict[tuple[int, str], Backlog] = {}
        self.rates = PrefillRates()
        for model, token_s in TOKEN_S.items():
            self.rates.accept_peer_rate(model, token_s)
        self.numbers = itertools.count()
        self.events: list[tuple[float, int, Happening]] = []
        self.done: list[_Prompt] = []

    def at(self, when: float, happening: Happening) -> None:
        heapq.heappush(self.events, (when, next(self.numbers), happening))

    def backlog(self, gateway: int, engine: str) -> Backlog:
        return self.backlogs.setdefault((0 if self.shared else gateway, engine), Backlog())

    def place(self, prompt: _Prompt, now: float) -> None:
        names = tuple(name for name, _ in prompt.work.parts)
        level = self.level(prompt, TOKEN_S[prompt.work.model] * prompt.work.tokens_in)
        views = []
        for engine in (e for e in self.engines if not e.lost):
            backlog = self.backlog(prompt.gateway, engine.name)
            kept = backlog.cached_parts(prompt.work.model, names, now)
            kept_tokens = leading_tokens(prompt.work.parts, kept)
            ahead_s = backlog.ahead_s(level, now)
            views.append(EngineView(engine.name, engine.hall, ahead_s, kept_tokens, 0, 0, now, 0))
        pool = build_pool({view.id: view.hall for view in views})
        group = home_group(pool, prompt.hall)
        homes = home_engines(group, prompt.work.model, shared_part(prompt.work.parts))
        around = PlacementContext(prompt.hall, homes, pool.long_prompt_ids)
        best = rank_engines(views, prompt.work, self.rates, around, now, self.rng)[0]
        chosen = next(e for e in self.engines if e.name == best.id)
        prompt.key = f"{next(self.numbers)}"
        prompt.level = self.level(prompt, best.prefill_s)
        prompt.predicted_s = now - prompt.at + best.first_token_s
        prompt.away = chosen.hall != prompt.hall
        reading = PendingPrompt(now, best.prefill_s, prompt.level, prompt.work.model, names)
        self.backlog(prompt.gateway, chosen.name).add(prompt.key, reading)
        heapq.heappush(chosen.queue, (prompt.level, next(self.numbers), prompt))
        self.read_next(chosen, now)

    def level(self, prompt: _Prompt, read_s: float) -> int:
        return urgency_level(0, 1, read_s) if self.by_size else 0

    def read_next(self, engine: _Engine, now: float) -> None:
        if engine.reading is not None or not engine.queue or engine.lost:
            return
        _, _, prompt = heapq.heappop(engine.queue)
        engine.reading = prompt
        model = prompt.work.model
        unread = sum(n for name, n in prompt.work.parts if (model, name) not in engine.kept)
        self.at(now + unread * TOKEN_S[model], partial(self.began, engine, prompt))

    def began(self, engine: _Engine, prompt: _Prompt, now: float) -> None:
        if engine.lost:
            return
        engine.reading = None
        engine.kept |= {(prompt.work.model, name) for name, _ in prompt.work.parts}
        self.backlog(prompt.gateway, engine.name).record_first_token(prompt.key, now)
        prompt.took_s = now - prompt.at
        self.done.append(prompt)
        self.read_next(engine, now)

    def lose(self, engine: _Engine, now: float) -> None:
        """An engine ends: what it had is placed again."""
        engine.lost = True
        again = [prompt for _, _, prompt in engine.queue]
        if engine.reading is not None:
            again.append(engine.reading)
        for prompt in again:
            self.backlog(prompt.gateway, engine.name).remove(prompt.key, now)
            self.place(prompt, now)


def play(load: Load, shared: bool = True, by_size: bool = True) -> Outcome:
    """Replay a load; what became of its prompts."""
    world = _World(load, shared, by_size)
    now = 0.0
    while now < load.seconds:
        now += world.rng.expovariate(load.rate)
        gateway = world.rng.randrange(load.gateways)
        prefix = world.rng.randrange(load.prefixes)
        shared_tokens = 2000 + 300 * (prefix % 40)
        own = int(world.rng.lognormvariate(7.3, 0.8))
        parts = ((f"p{prefix}", shared_tokens), (f"own{next(world.numbers)}", own))
        model = "large" if world.rng.random() < LARGE_SHARE else "small"
        work = PrefillWork(model, parts, shared_tokens + own, 20000)
        prompt = _Prompt(work, gateway, HALLS[gateway % len(HALLS)], now)
        world.at(now, partial(world.place, prompt))
    for engine in world.engines[: load.lost]:
        world.at(load.seconds / 2, partial(world.lose, engine))
    while world.events:
        now, _, happening = heapq.heappop(world.events)
        happening(now)
    return _outcome(world.done)


def _outcome(done: list[_Prompt]) -> Outcome:
    small = [p for p in done if p.work.model == "small"]
    errors = sorted(abs(p.predicted_s - p.took_s) for p in done)
    times = sorted(p.took_s for p in done)
    return Outcome(
        late=_share(done, lambda p: p.took_s > OBJECTIVE_S),
        late_small=_share(small, lambda p: p.took_s > OBJECTIVE_S / 4),
        away=_share(done, lambda p: p.away),
        median_s=times[len(times) // 2],
        error_s=errors[len(errors) // 2],
    )


def _share(prompts: list[_Prompt], is_so: Callable[[_Prompt], bool]) -> float:
    return sum(map(is_so, prompts)) / max(1, len(prompts))
