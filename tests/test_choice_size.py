"""What a choice among engines looks at does not grow with their number.

Each request weighed, hashed and sorted all engines of its service, twice: with 600 engines a choice
took 22 ms of processor time, fifteen times that of 40, and 2,300 requests a second over 410
gateways would have been an eighth of a core each.  What depends on the whole list is worked out
when the list changes, and a bounded number of engines is weighed.
"""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

import pytest

from bench.choosing import fleet, job_of
from ramppost import clock
from ramppost.gateway.pick import MAX_QUERIED_ENGINES, engines_to_query, pick
from ramppost.gateway.state import Gateway
from ramppost.policy import placement
from ramppost.policy.backlog import PendingPrompt
from ramppost.policy.placement import MAX_CANDIDATES, build_pool, home_engine, select_candidates

MODEL = "small"


def counted(engines: int, monkeypatch: pytest.MonkeyPatch) -> Counter[str]:
    """Looks at backlogs, and hashes, that the second hundred of requests cost."""
    gw, rng, seen = fleet(engines, 20), random.Random(2), Counter[str]()
    known, hash_fraction = gw.backlogs.local_estimate, placement.hash_fraction

    def note_known(*args: Any) -> Any:
        seen["known"] += 1
        return known(*args)

    def note_hash_fraction(*parts: str) -> float:
        seen["unit"] += 1
        return hash_fraction(*parts)

    monkeypatch.setattr(gw.backlogs, "local_estimate", note_known)
    monkeypatch.setattr(placement, "hash_fraction", note_hash_fraction)
    for number in range(200):
        if number == 100:
            seen.clear()
        job = job_of(gw, rng)
        job.req = job.req._replace(prompt=prompt_of(job.req.prompt, number))
        engines_to_query(gw, job, "lm", MODEL, clock.now())
        pick(gw, job, "lm", MODEL, clock.now())
    return seen


def prompt_of(prompt: Any, number: int) -> Any:
    """One of ten subjects."""
    return prompt._replace(parts=((f"p{number % 10}", 4800), (f"own{number}", 6000)))


@pytest.mark.parametrize("engines", [40, 150, 600])
def test_a_choice_looks_at_a_bounded_number_of_engines(
    engines: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    seen = counted(engines, monkeypatch)
    assert seen["known"] <= 100 * 2 * MAX_CANDIDATES
    assert seen["unit"] == 0, "homes of subjects seen before are remembered"


@pytest.mark.parametrize("engines", [3, 6, 24, 25, 600])
def test_the_home_is_always_among_those_weighed_and_asked_about(engines: int) -> None:
    gw, rng = fleet(engines, 20), random.Random(3)
    for _ in range(50):
        job = job_of(gw, rng)
        prompt = job.req.prompt
        assert prompt is not None
        usable = gw.members.usable("lm", clock.now())
        pool = build_pool({up.key: up.hall for up in usable})
        work = placement.PrefillWork(MODEL, prompt.parts, prompt.tokens_in)
        home = home_engine(pool, work, gw.cfg["hall"])
        assert home in select_candidates(pool, gw.cfg["hall"], home, rng)
        asked = [up.key for up in engines_to_query(gw, job, "lm", MODEL, clock.now())]
        assert home in asked
        assert len(asked) <= MAX_QUERIED_ENGINES


def chosen(gw: Gateway, requests: int) -> set[str]:
    """Ids of the upstreams that so many requests are placed on."""
    rng = random.Random(4)
    found = [pick(gw, job_of(gw, rng), "lm", MODEL, clock.now()) for _ in range(requests)]
    return {choice.upstream.id for choice in found if choice is not None}


def test_every_engine_of_the_hall_is_chosen_and_others_where_it_is_full() -> None:
    """Nobody is left without work because the list is long."""
    gw = fleet(150, 20)
    near = [up for up in gw.members.usable("lm", clock.now()) if up.hall == gw.cfg["hall"]]
    assert chosen(gw, 2000) == {up.id for up in near}
    for up in near:
        gw.backlogs.record_sent(up, "k", PendingPrompt(clock.now(), 9.0, 0, MODEL, ()))
    assert len(chosen(gw, 2000) - {up.id for up in near}) > 100
