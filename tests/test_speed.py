"""How fast an engine works, by its prompts and streams: pure parts."""

from __future__ import annotations

import random

import pytest

from ramppost.policy.speed import MAX_STREAM_S, TOKEN_VALID_S, EngineSpeed, SpeedFigures, is_uneven


@pytest.mark.parametrize("factor", [0.5, 1.0, 1.3])
def test_box_that_is_slow_at_times_was_taken_for_a_slow_engine(factor: float) -> None:
    # One prompt in seven takes 2.5 times as long, and one in fifty ten times.
    rng, speed = random.Random(1), EngineSpeed()
    found = []
    for _ in range(400):
        pace = rng.choices((1.0, 2.5, 10.0), (84, 14, 2))[0]
        speed.record_prefill(0.2, 0.2 * factor * pace * rng.uniform(0.9, 1.1))
        found.append(speed.figures(0.0).prefill_factor)
    assert sum(found[100:]) / 300 == pytest.approx(factor, rel=0.15)


def test_fast_engine_had_no_samples_any_more() -> None:
    speed = EngineSpeed()
    for took_s in [0.02] * 60 + [0.08] * 120:
        speed.record_prefill(0.06, took_s)
    assert speed.figures(0.0).prefill == pytest.approx(0.08 / 0.06, rel=0.1)


def test_engine_was_taken_for_slow_because_many_streams_ran_there() -> None:
    alone, busy = EngineSpeed(), EngineSpeed()
    for number in range(12):
        busy.begin_stream(f"b{number}", 0.0)
    alone.begin_stream("a", 0.0)
    alone.finish_stream("a", 300, 1.0, 1.0)
    busy.finish_stream("b11", 300, 2.65, 2.65)
    single = alone.figures(3.0).token_s
    assert busy.figures(3.0).token_s == pytest.approx(single * (1 + 0.15 * 11), rel=0.1)


def test_stream_whose_end_was_lost_counted_for_ever() -> None:
    speed = EngineSpeed()
    speed.begin_stream("a", 0.0)
    assert speed.figures(MAX_STREAM_S).running == 1
    assert speed.figures(MAX_STREAM_S + 0.1).running == 0


@pytest.mark.parametrize("engines", [8, 22])
def test_pool_of_equal_engines_was_uneven_while_few_samples_were_known(engines: int) -> None:
    rng, pool = random.Random(1), [EngineSpeed() for _ in range(engines)]
    for _ in range(40):
        for speed in pool:
            pace = rng.choices((1.0, 2.5), (86, 14))[0]
            speed.record_prefill(0.2, 0.2 * pace * rng.lognormvariate(0.0, 0.1))
        assert not is_uneven([speed.figures(0.0) for speed in pool])


def test_slow_stream_kept_an_engine_out_for_ever() -> None:
    speed = EngineSpeed()
    speed.begin_stream("a", 0.0)
    speed.finish_stream("a", 300, 20.0, 20.0)
    assert speed.figures(21.0).token_s > 0
    assert speed.figures(20.0 + TOKEN_VALID_S + 1).token_s == 0


def test_single_wrong_estimate_made_a_pool_uneven() -> None:
    pool = [SpeedFigures(prefill=1.0)] * 8
    assert not is_uneven([*pool, SpeedFigures(prefill=3.0)])
    assert not is_uneven([*pool, SpeedFigures(prefill=0.3)])
    assert is_uneven([*pool, *[SpeedFigures(prefill=0.5)] * 2])
