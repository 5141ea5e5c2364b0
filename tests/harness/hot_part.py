"""Replays a hot part, by default with a fifth of the load, on modelled engines, without a network.

Each gateway estimates the part's demand from its own prompts and places them by
`ramppost.policy.placement`, knowing the backlogs of the homes and of some other engines.  Engines
read prompts in the order of arrival.  Time is simulated, draws are seeded.

    load = HotLoad(gateways=24, prompts_per_s=112.0)
    replay(load).counts_at(20.0)  # homes of the part by gateway
"""

from __future__ import annotations

import heapq
import itertools
import random
from typing import Final, NamedTuple

from ramppost.gateway.pick import MAX_QUERIED_ENGINES
from ramppost.policy.backlog import Backlog, PendingPrompt
from ramppost.policy.homes import PartDemand, build_pool, home_candidates, home_engines
from ramppost.policy.placement import (
    EngineView,
    PlacementContext,
    PrefillRates,
    PrefillWork,
    leading_tokens,
    rank_engines,
)

SHARED_TOKENS: Final = 5382
OWN_TOKENS: Final = 6610
UTILISATION: Final = 0.6
"""Part of the engines' time that the prompts need where their shared parts are held."""
COLD_PARTS: Final = 60
HOT: Final = "hot"
MODEL: Final = "m"
SAMPLE_S: Final = 0.5


class HotLoad(NamedTuple):
    """The load of a replay.  One part is hot until `hot_until_s`; engines are as fast as makes the
    load take `UTILISATION` of their time."""

    gateways: int
    prompts_per_s: float
    engines: int = 22
    hot_share: float = 0.2
    seed: int = 1
    hot_until_s: float = 40.0
    seconds: float = 40.0
    max_homes: int = 1000


class Replayed(NamedTuple):
    """The homes of the hot part by gateway at each sample time, the share of its shared tokens that
    was prefilled although another engine held them, and the 95th percentile of the time to the
    first token of its prompts, in units of the prefill of an own part."""

    homes: dict[float, list[tuple[str, ...]]]
    reread_share: float
    p95: float

    def counts_at(self, at_s: float) -> list[int]:
        """The number of homes by gateway at a time."""
        return [len(homes) for homes in self.homes[at_s]]

    def removals(self, since_s: float, until_s: float) -> float:
        """How often a gateway removed homes between two times, in the mean of all gateways."""
        rows = [self.counts_at(at) for at in self.homes if since_s <= at <= until_s]
        removals = sum(
            new < old
            for before, after in itertools.pairwise(rows)
            for old, new in zip(before, after, strict=True)
        )
        return removals / len(rows[0])


class _Replay:
    def __init__(self, load: HotLoad) -> None:
        self.load = load
        self.rng = random.Random(load.seed)
        self.ids = tuple(f"e{n}" for n in range(load.engines))
        self.pool = build_pool(dict.fromkeys(self.ids, "hall"))
        self.backlogs = {id: Backlog() for id in self.ids}
        self.free_at = dict.fromkeys(self.ids, 0.0)
        self.demands = [PartDemand() for _ in range(load.gateways)]
        self.own_s = UTILISATION * load.engines / load.prompts_per_s
        self.rates = PrefillRates()
        self.rates.accept_peer_rate(MODEL, self.own_s / OWN_TOKENS)
        self.ends: list[tuple[float, str, str]] = []
        self.reread_tokens = 0
        self.hot_first_s: list[float] = []

    def homes(self, gateway: int, part: str, now: float) -> tuple[str, ...]:
        group = self.pool.all_halls
        count = self.demands[gateway].home_count(
            part, MODEL, now, self.load.gateways, len(group.ids)
        )
        return home_engines(group, MODEL, part, min(count, self.load.max_homes))

    def place(self, number: int, now: float) -> None:
        gateway = self.rng.randrange(self.load.gateways)
        part = f"p{self.rng.randrange(COLD_PARTS)}"
        if self.rng.random() < self.load.hot_share and now < self.load.hot_until_s:
            part = HOT
        parts = ((part, SHARED_TOKENS), (f"own{number}", OWN_TOKENS))
        work = PrefillWork(MODEL, parts, SHARED_TOKENS + OWN_TOKENS)
        homes = self.homes(gateway, part, now)
        known = dict.fromkeys(home_candidates(homes, self.rng))
        while len(known) < MAX_QUERIED_ENGINES:
            known[self.rng.choice(self.ids)] = None
        views = [self.view(id, work, now) for id in known]
        context = PlacementContext("hall", homes, self.pool.long_prompt_ids)
        best = rank_engines(views, work, self.rates, context, now, self.rng)[0]
        self.demands[gateway].record(MODEL, part, self.own_s, now)
        kept = {view.id: view.kept_tokens for view in views}
        if part == HOT:
            self.reread_tokens += max(kept.values()) - kept[best.id]
        self.send(best.id, f"{number}", part, best.prefill_s, now)

    def view(self, id: str, work: PrefillWork, now: float) -> EngineView:
        names = tuple(name for name, _ in work.parts)
        kept = self.backlogs[id].cached_parts(MODEL, names, now)
        ahead_s = self.backlogs[id].ahead_s(0, now)
        return EngineView(id, "hall", ahead_s, leading_tokens(work.parts, kept), 0, 0, now, 0.0)

    def send(self, id: str, key: str, part: str, prefill_s: float, now: float) -> None:
        self.backlogs[id].add(key, PendingPrompt(now, prefill_s, 0, MODEL, (part, key)))
        self.free_at[id] = max(now, self.free_at[id]) + prefill_s
        heapq.heappush(self.ends, (self.free_at[id], id, key))
        if part == HOT:
            self.hot_first_s.append(self.free_at[id] - now)

    def end_prefills(self, now: float) -> None:
        while self.ends and self.ends[0][0] <= now:
            at, id, key = heapq.heappop(self.ends)
            self.backlogs[id].record_first_token(key, at)


def replay(load: HotLoad) -> Replayed:
    """Replay a load."""
    state = _Replay(load)
    homes: dict[float, list[tuple[str, ...]]] = {}
    now, number, sample_at = 0.0, 0, 0.0
    while now < load.seconds:
        now += state.rng.expovariate(load.prompts_per_s)
        while sample_at <= min(now, load.seconds):
            homes[sample_at] = [state.homes(g, HOT, sample_at) for g in range(load.gateways)]
            sample_at += SAMPLE_S
        state.end_prefills(now)
        state.place(number, now)
        number += 1
    first_s = sorted(state.hot_first_s)
    reread_share = state.reread_tokens / (len(first_s) * SHARED_TOKENS)
    return Replayed(homes, reread_share, first_s[int(0.95 * len(first_s))] / state.own_s)
