"""Where prompts and plain requests go: pure parts, in tables."""

from __future__ import annotations

import random

import pytest

from ramppost.policy.homes import (
    EnginePool,
    build_pool,
    home_engines,
    home_group,
    shared_part,
)
from ramppost.policy.placement import (
    EngineView,
    PlacementContext,
    PrefillRates,
    PrefillWork,
    rank_engines,
)
from ramppost.policy.speed import SpeedFigures

NOW = 1000.0
PARTS = (("shared", 4000), ("own", 1000))


def engine(name: str, **changes: object) -> EngineView:
    usual = EngineView(name, "here", 0.0, 0, 0, 0, NOW, 0.0)
    return usual._replace(**changes)  # type: ignore[arg-type]


WORK = PrefillWork("m", PARTS, 5000)


def order(engines: list[EngineView], work: PrefillWork = WORK) -> list[str]:
    """Ids of engines as they are ranked for a prompt, seen from one hall."""
    among = pool(engines)
    around = PlacementContext("here", homes_of(among, work, "here"), among.long_prompt_ids)
    found = rank_engines(engines, work, PrefillRates(), around, NOW, RNG)
    return [placed.id for placed in found]


def pool(engines: list[EngineView]) -> EnginePool:
    return build_pool({engine.id: engine.hall for engine in engines})


def homes_of(among: EnginePool, work: PrefillWork, hall: str) -> tuple[str, ...]:
    return home_engines(home_group(among, hall), work.model, shared_part(work.parts))


def home_engine(among: EnginePool, work: PrefillWork, hall: str) -> str:
    """The only home of a part without much demand; "" if there is no engine."""
    return next(iter(homes_of(among, work, hall)), "")


RNG = random.Random(1)


@pytest.mark.parametrize(
    ("worse", "why"),
    [
        ({"ahead_s": 1.0}, "other prompts go before"),
        ({"others_running": 200}, "others run there"),
        ({"others_waiting": 20}, "requests wait there"),
        ({"failure_rate": 1.0}, "it fails"),
    ],
)
def test_an_engine_with_more_ahead_comes_last(worse: dict[str, object], why: str) -> None:
    engines = [engine("a"), engine("b", **worse), engine("c")]
    assert order(engines, PrefillWork("m", (), 5000))[-1] == "b", why


def test_a_kept_prompt_draws_its_request() -> None:
    engines = [engine(name) for name in "acde"] + [engine("b", kept_tokens=4000)]
    assert order(engines)[0] == "b"


def test_a_kept_prompt_does_not_draw_to_an_engine_that_is_full() -> None:
    assert order([engine("a"), engine("b", ahead_s=1.0, kept_tokens=4000)])[0] == "a"


def test_the_home_goes_first_among_equals_only() -> None:
    engines = [engine(name) for name in "abcdef"]
    home = home_engine(pool(engines), WORK, "here")
    assert order(engines)[0] == home
    busy = [e._replace(ahead_s=0.3) if e.id == home else e for e in engines]
    assert order(busy)[0] != home


def test_each_hall_that_has_engines_enough_has_a_home() -> None:
    engines = [engine(name) for name in "abcd"]
    engines += [engine(name, hall="there") for name in "efgh"]
    assert home_engine(pool(engines), WORK, "here") in set("abcd")
    assert home_engine(pool(engines), WORK, "there") in set("efgh")


def test_halls_with_few_engines_share_a_home() -> None:
    engines = [engine(name) for name in "ab"] + [engine(name, hall="there") for name in "cd"]
    homes = {home_engine(pool(engines), WORK, hall) for hall in ("here", "there", "elsewhere")}
    assert len(homes) == 1
    assert home_engine(pool([]), WORK, "here") == ""


def test_a_large_request_goes_far_only_for_much() -> None:
    """20 KB to another hall are worth a wait of two tenths of a second, not of one more."""
    work = WORK._replace(size=20000)
    far = engine("far", hall="there")
    assert order([engine("near", ahead_s=0.15), far], work)[0] == "near"
    assert order([engine("near", ahead_s=0.15), far], WORK)[0] == "far"
    assert order([engine("near", ahead_s=1.0), far], work)[0] == "far"


def test_all_gateways_agree_on_a_home() -> None:
    engines = [engine(name) for name in "abcdef"]
    assert home_engine(pool(engines), WORK, "here") == home_engine(
        pool(engines[::-1]), WORK, "here"
    )
    assert pool(engines).long_prompt_ids == pool(engines[::-1]).long_prompt_ids


@pytest.mark.parametrize(("count", "apart"), [(1, 0), (5, 0), (6, 1), (9, 1), (18, 3)])
def test_how_many_engines_long_prompts_share(count: int, apart: int) -> None:
    assert len(pool([engine(str(i)) for i in range(count)]).long_prompt_ids) == apart


def test_long_prompts_go_where_others_do_not() -> None:
    engines = [engine(name) for name in "abcdefgh"]
    (apart,) = pool(engines).long_prompt_ids
    assert order(engines, PrefillWork("m", (("own", 60000),), 60000))[0] == apart
    assert order(engines, PrefillWork("m", (("own", 900),), 900))[-1] == apart


def test_the_engine_for_long_prompts_is_used_when_others_are_full() -> None:
    engines = [engine(name) for name in "abcdefgh"]
    (apart,) = pool(engines).long_prompt_ids
    full = [e if e.id == apart else e._replace(ahead_s=1.0) for e in engines]
    assert order(full, PrefillWork("m", (("own", 900),), 900))[0] == apart


def test_old_reports_count_for_little() -> None:
    stale = engine("a", others_running=60, reported_at=NOW - 30)
    fresh = engine("b", others_running=30)
    assert order([stale, fresh], PrefillWork("m", (), 100))[0] == "a"


def test_the_rate_of_a_model_is_learned() -> None:
    rates = PrefillRates()
    for _ in range(200):
        rates.observe("slow", 10000, 0.5)
        rates.observe("fast", 10000, 0.05)
    assert rates.rate_s("slow") == pytest.approx(0.5 / 10000, rel=0.1)
    assert rates.rate_s("fast") == pytest.approx(0.05 / 10000, rel=0.1)


FAST, SLOW = SpeedFigures(4, 0.5, 0.003), SpeedFigures(4, 1.2, 0.009)


@pytest.mark.parametrize(("uneven", "first"), [(False, "b"), (True, "a")])
def test_engine_that_decodes_slowly_got_streams_as_often_as_a_fast_one(
    uneven: bool, first: str
) -> None:
    # The times to first token differ by less than the penalty for another home.
    engines = [engine("a", speed=FAST), engine("b", speed=SLOW)]
    context = PlacementContext("here", ("b",), frozenset(), uneven)
    work = WORK._replace(tokens_out=300)
    assert rank_engines(engines, work, PrefillRates(), context, NOW, RNG)[0].id == first


def test_engine_whose_decoding_time_was_not_known_attracted_every_stream() -> None:
    engines = [
        engine("a", speed=FAST),
        engine("b", speed=SpeedFigures(20)),
        engine("c", speed=FAST),
    ]
    context = PlacementContext("here", (), frozenset(), True)
    work = WORK._replace(tokens_out=300)
    ranked = rank_engines(engines, work, PrefillRates(), context, NOW, RNG)
    assert ranked[-1].id == "b"
