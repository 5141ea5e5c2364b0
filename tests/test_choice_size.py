"""The cost of choosing an engine does not grow with the number of engines.

Each request used to score, hash and sort all engines of its service twice.  With 600 engines a
choice took 22 ms of CPU time, fifteen times that of 40 engines, and 2,300 requests per second over
410 gateways would have used an eighth of a core on each.  Data that depends on the whole list is
now computed when the list changes, and each request scores a bounded number of engines.
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
from ramppost.policy import homes
from ramppost.policy.backlog import PendingPrompt
from ramppost.policy.homes import build_pool, home_engines, home_group, shared_part
from ramppost.policy.placement import MAX_CANDIDATES, select_candidates

MODEL = "small"


def count_lookups(engines: int, monkeypatch: pytest.MonkeyPatch) -> Counter[str]:
    """Counts the backlog lookups and hash computations of the second hundred requests."""
    gw, rng, seen = fleet(engines, 20), random.Random(2), Counter[str]()
    local_estimate, hash_fraction = gw.backlogs.local_estimate, homes.hash_fraction

    def count_local_estimate(*args: Any) -> Any:
        seen["known"] += 1
        return local_estimate(*args)

    def count_hash_fraction(*parts: str) -> float:
        seen["unit"] += 1
        return hash_fraction(*parts)

    monkeypatch.setattr(gw.backlogs, "local_estimate", count_local_estimate)
    monkeypatch.setattr(homes, "hash_fraction", count_hash_fraction)
    for number in range(200):
        if number == 100:
            seen.clear()
        job = job_of(gw, rng)
        job.req = job.req._replace(prompt=prompt_with_shared_prefix(job.req.prompt, number))
        engines_to_query(gw, job, "lm", MODEL, clock.now())
        pick(gw, job, "lm", MODEL, clock.now())
    return seen


def prompt_with_shared_prefix(prompt: Any, number: int) -> Any:
    """Returns the prompt with one of ten shared prefixes and a part of its own."""
    return prompt._replace(parts=((f"p{number % 10}", 4800), (f"own{number}", 6000)))


@pytest.mark.parametrize("engines", [40, 150, 600])
def test_a_choice_scores_a_bounded_number_of_engines(
    engines: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    seen = count_lookups(engines, monkeypatch)
    assert seen["known"] <= 100 * 2 * MAX_CANDIDATES
    assert seen["unit"] == 0, "home engines of known prefixes are cached"


@pytest.mark.parametrize("engines", [3, 6, 24, 25, 600])
def test_the_home_engine_is_always_a_candidate_and_queried(engines: int) -> None:
    gw, rng = fleet(engines, 20), random.Random(3)
    for _ in range(50):
        job = job_of(gw, rng)
        prompt = job.req.prompt
        assert prompt is not None
        usable = gw.members.usable("lm", clock.now())
        pool = build_pool({up.key: up.hall for up in usable})
        group = home_group(pool, gw.cfg["hall"])
        (home,) = home_engines(group, MODEL, shared_part(prompt.parts))
        assert home in select_candidates(pool, gw.cfg["hall"], (home,), rng)
        queried = [up.key for up in engines_to_query(gw, job, "lm", MODEL, clock.now())]
        assert home in queried
        assert len(queried) <= MAX_QUERIED_ENGINES


def chosen_upstreams(gw: Gateway, requests: int) -> set[str]:
    """Returns the ids of the upstreams that the given number of requests are placed on."""
    rng = random.Random(4)
    choices = [pick(gw, job_of(gw, rng), "lm", MODEL, clock.now()) for _ in range(requests)]
    return {choice.upstream.id for choice in choices if choice is not None}


def test_all_local_engines_are_chosen_and_remote_ones_when_the_hall_is_full() -> None:
    """Bounding the candidates leaves no engine idle when the list is long."""
    gw = fleet(150, 20)
    local_engines = [up for up in gw.members.usable("lm", clock.now()) if up.hall == gw.cfg["hall"]]
    # The engines for long prompts get few requests each while nothing waits.
    assert chosen_upstreams(gw, 6000) == {up.id for up in local_engines}
    for up in local_engines:
        gw.backlogs.record_sent(up, "k", PendingPrompt(clock.now(), 9.0, 0, MODEL, ()))
    assert len(chosen_upstreams(gw, 2000) - {up.id for up in local_engines}) > 100
