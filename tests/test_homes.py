"""Guards against homes that move without need, and against homes added for parts without demand."""

from __future__ import annotations

import random

import pytest

from bench.choosing import fleet, job_of
from ramppost import clock
from ramppost.gateway.attempt import Refused, Running, _record_outcome
from ramppost.gateway.backlogs import BacklogEstimate
from ramppost.gateway.job import BacklogSnapshot
from ramppost.gateway.pick import MAX_QUERIED_ENGINES, engines_to_query, pick
from ramppost.gateway.pools import WEIGHTS_VALID_S, Pools
from ramppost.platform.headers import AnswerHead
from ramppost.policy.homes import (
    MAX_DEMAND_PARTS,
    PartDemand,
    build_pool,
    home_candidates,
    home_engines,
    home_group,
    long_prompt_engines,
    quantized_weights,
    ranked_homes,
    shared_part,
)
from ramppost.policy.placement import MAX_CANDIDATES, select_candidates
from ramppost.policy.routing import hash_fraction

IDS = tuple(f"i-{n}" for n in range(48))
KEYS = [("m", f"p{n}") for n in range(3000)]


def first_homes(weights: dict[str, float]) -> list[str]:
    return [ranked_homes(IDS, key, weights)[0] for key in KEYS]


@pytest.mark.parametrize("weight", [None, 1.0, 2.0])
def test_equal_weights_leave_every_part_at_its_unweighted_home(weight: float | None) -> None:
    """An update must not move the homes of a fleet whose engines are alike."""
    weights = dict.fromkeys(IDS, weight) if weight is not None else {}
    halls = {id: f"hall{n % 4}" for n, id in enumerate(IDS)}
    pool = build_pool(halls, weights)
    for model, part in KEYS:
        for hall in ("hall0", "hall3", "elsewhere"):
            ids = [id for id in IDS if halls[id] == hall] or IDS
            expected = min(ids, key=lambda id: hash_fraction("home", model, part, id))
            assert home_engines(home_group(pool, hall), model, part) == (expected,)
    by_hash = sorted(IDS, key=lambda id: hash_fraction("long", id))
    assert pool.long_prompt_ids == set(by_hash[: len(IDS) // 6])


def test_a_changed_weight_moves_parts_only_to_or_from_its_engine() -> None:
    """Each part that moves without need is prefilled again."""
    rng = random.Random(1)
    weights = {id: rng.choice((0.75, 1.0, 1.25, 1.75)) for id in IDS}
    before = first_homes(weights)
    for weight in (weights["i-7"] + 0.25, 3.0, 0.25):
        after = first_homes(weights | {"i-7": weight})
        moved = [(old, new) for old, new in zip(before, after, strict=True) if old != new]
        gained = weight > weights["i-7"]
        assert moved
        assert all((new if gained else old) == "i-7" for old, new in moved)
        expected = len(KEYS) * abs(weight - weights["i-7"]) / sum(weights.values())
        assert len(moved) < 1.5 * expected + 10


def test_an_engine_has_homes_and_long_prompts_in_proportion_to_its_weight() -> None:
    """A slow engine must not get as many shared parts and long prompts as a fast one."""
    weights = {id: 2.0 if n < 12 else 0.75 for n, id in enumerate(IDS)}
    share = sum(home in IDS[:12] for home in first_homes(weights)) / len(KEYS)
    assert share == pytest.approx(24 / 51, abs=0.04)
    fast = slow = 0
    for seed in range(200):
        ids = tuple(f"{seed}-{n}" for n in range(48))
        chosen = long_prompt_engines(ids, dict.fromkeys(ids[:12], 2.0))
        fast += len(chosen & set(ids[:12]))
        slow += len(chosen - set(ids[:12]))
    assert 1.5 < (fast / 12) / (slow / 36) < 2.2


def test_a_fluctuating_estimate_does_not_change_a_weight() -> None:
    """Homes must not move back and forth where an estimate is between two steps."""
    rng = random.Random(2)
    weights, changes = {"a": 1.25}, 0
    for _ in range(1000):
        after = quantized_weights("a", {"a": 1.375 + rng.uniform(-0.06, 0.06)}, weights)
        changes += after != weights
        weights = after
    assert changes == 0
    assert quantized_weights("a", {"a": 0.001}) == {"a": 0.25}


def test_new_weights_reach_a_cached_pool_once_they_differ_by_a_step(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A cached pool must neither keep its first weights nor be rebuilt for the same ones."""
    now, estimates = 100.0, {"i-0@7": 1.0}
    monkeypatch.setattr(clock, "now", lambda: now)
    listed = fleet(12, 4).members.usable("lm", 0.0)
    pools = Pools(lambda ids, were_uneven: estimates)
    first = pools.candidates("lm", listed).pool
    estimates = {"i-0@7": 2.0}
    assert pools.candidates("lm", listed).pool is first
    now += WEIGHTS_VALID_S
    second = pools.candidates("lm", listed).pool
    assert second.weights == {"i-0@7": 2.0}
    estimates = {"i-0@7": 1.9}
    now += WEIGHTS_VALID_S
    assert pools.candidates("lm", listed).pool is second
    assert pools.candidates("lm", listed[1:]).pool.weights == {}


@pytest.mark.parametrize("prompts", [1, 2, 3])
def test_a_few_prompts_in_a_large_fleet_add_no_home(prompts: int) -> None:
    """A gateway of 400 must not take one caller's prompts for a part that needs ten engines."""
    demand = PartDemand()
    for n in range(prompts):
        demand.record("m", "p", 0.14, 10 + n / 1000)
        assert demand.home_count("p", "m", 10 + n / 1000, 400, 600) == 1


def test_the_demand_of_many_parts_takes_bounded_memory() -> None:
    """Parts are named by callers, who may name a new one in each request."""
    demand = PartDemand()
    for n in range(3 * MAX_DEMAND_PARTS):
        demand.record("m", f"p{n}", 0.1, n / 100)
        demand.record("m", "hot", 0.1, n / 100)
        homes = demand.home_count("hot", "m", n / 100, 4, 600)
    assert len(demand._parts) == MAX_DEMAND_PARTS
    assert homes > 10


@pytest.mark.parametrize("engines", [6, 40, 600])
def test_several_homes_are_evaluated_and_do_not_raise_the_number_of_queries(engines: int) -> None:
    """A prompt of a hot part must see its homes, and each query costs datagrams."""
    gw, rng = fleet(engines, 4), random.Random(3)
    job = job_of(gw, rng)
    prompt = job.req.prompt
    assert prompt is not None
    part, now = shared_part(prompt.parts), clock.now()
    for _ in range(200):
        gw.part_demand.record("small", part, 0.4, now)
        gw.part_demand.home_count(part, "small", now, 4, 600)
    pool = build_pool({up.key: up.hall for up in gw.members.usable("lm", now)})
    group = home_group(pool, gw.cfg["hall"])
    homes = home_engines(group, "small", part, max(1, len(group.ids) // 8))
    assert len(homes) == {6: 1, 40: 1, 600: 12}[engines]
    seen = set()
    for _ in range(100):
        evaluated = home_candidates(homes, rng)
        considered = select_candidates(pool, gw.cfg["hall"], evaluated, rng)
        assert set(homes[:2]) <= set(evaluated) <= considered
        assert len(considered) <= max(MAX_CANDIDATES, 6)
        queried = [up.key for up in engines_to_query(gw, job, "lm", "small", clock.now())]
        assert len(queried) <= MAX_QUERIED_ENGINES
        assert set(homes[:2]) <= set(queried)
        seen.update(evaluated)
    assert seen == set(homes)


def test_only_tokens_that_another_engine_holds_count_as_read_again() -> None:
    """The metric must not count the first reading of a part, nor a prompt that did not run."""
    gw, model = fleet(6, 4), "small"
    job = job_of(gw, random.Random(4))
    chosen = pick(gw, job, "lm", model, clock.now())
    assert chosen is not None
    other = next(up for up in gw.members.usable("lm", 0.0) if up != chosen.upstream)
    held = {"nothing": 0, "first part": 1, "both shared parts": 2, "whole prompt": 3}
    expected = {"nothing": 0, "first part": 500, "both shared parts": 5300, "whole prompt": 5300}
    head = AnswerHead(200, (), "", True, False, False, None, None, None, None, None)
    running = Running(chosen, model, None, head, gw.loads.in_flight("e"), 0.0, 0.1, None)  # type: ignore[arg-type]
    for name, parts in held.items():
        estimates = {other.key: BacklogEstimate(0.0, parts, True)}
        job.backlog_snapshot = BacklogSnapshot(model, estimates, clock.now())
        gw.metrics.counters.clear()
        _record_outcome(gw, job, chosen, model, Refused(429, 0.0), 0.1)
        assert ("ramppost_shared_tokens_reread_total", ()) not in gw.metrics.counters
        _record_outcome(gw, job, chosen, model, running, 0.1)
        counted = gw.metrics.counters.get(("ramppost_shared_tokens_reread_total", ()), 0)
        assert counted == expected[name], name
    kept = chosen._replace(kept_tokens=5300)
    gw.metrics.counters.clear()
    _record_outcome(gw, job, kept, model, running._replace(chosen=kept), 0.1)
    assert ("ramppost_shared_tokens_reread_total", ()) not in gw.metrics.counters
