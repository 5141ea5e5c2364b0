"""Placement on uneven engines under load, replayed without a network."""

from __future__ import annotations

import functools

import pytest

from bench import engine_model, placement_model
from bench.gateway_model import Way
from bench.placement_model import Simulation
from bench.uneven import KEEPERS, Result, simulate

FIRST_TOKEN_ALONE = Way("first token alone", True)
USUAL_LOAD, WORST_LOAD = 1.0, 1.25
"""Request rates of the worst minute are a quarter above those of the deployment."""


@functools.cache
def minute(way: Way, load: float) -> Result:
    """A minute of 24 gateways and 22 engines, of which a quarter is fast."""
    return simulate(way, 24, seed=7, duration_s=60.0, load=load)


def test_fast_engines_get_work_by_their_speed() -> None:
    """Guards against fast engines that idle while slow ones have queues.

    Fast engines are 2.18 times as fast as slow ones.
    """
    before, after = (minute(way, WORST_LOAD) for way in (FIRST_TOKEN_ALONE, KEEPERS))
    assert after.fast_read > max(1.8, before.fast_read)
    assert after.fast_tokens > max(1.8, before.fast_tokens)


def test_streams_are_shorter_than_by_first_token_alone() -> None:
    """Guards against long streams on slow engines, which are lost when gateways lose power."""
    before, after = (minute(way, WORST_LOAD) for way in (FIRST_TOKEN_ALONE, KEEPERS))
    assert after.stream_p95 <= 0.75 * before.stream_p95


@pytest.mark.parametrize("load", [USUAL_LOAD, WORST_LOAD])
def test_speed_does_not_make_first_tokens_late(load: float) -> None:
    """Guards against shorter streams at the expense of first tokens: queues at fast engines."""
    before, after = (minute(way, load) for way in (FIRST_TOKEN_ALONE, KEEPERS))
    assert after.late <= before.late + 0.01


def test_alike_engines_are_not_told_apart(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against estimates that drift apart, which change decisions where engines are alike."""
    monkeypatch.setattr(engine_model, "FAST", 1.0)
    monkeypatch.setattr(engine_model, "SLOW", 1.0)
    monkeypatch.setattr(engine_model, "SPEED_SPREAD", 0.0)
    monkeypatch.setattr(placement_model, "SLOW_PACE_SHARE", 0.0)
    sim = Simulation(KEEPERS, 24, seed=7, duration_s=20.0, load=USUAL_LOAD)
    sim.run()
    assert [gateway.uneven for gateway in sim.gateways] == [False] * 24
