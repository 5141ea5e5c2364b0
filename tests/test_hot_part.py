"""Guards against numbers of homes that lag behind the demand, fluctuate or differ by gateway."""

from __future__ import annotations

import functools
from itertools import pairwise

import pytest

from tests.harness.hot_part import HotLoad, Replayed, replay

FLEETS = {4: 112.0, 24: 112.0, 68: 204.0, 298: 894.0}
"""Prompts per second by number of gateways: those of 22 engines with long prompts, or 3 for each
gateway, as fewer do not suffice for an estimate."""
HOT_UNTIL_S = 40.0
LARGE = HotLoad(4, 489.0, engines=96)


@functools.cache
def rise_and_fall(gateways: int) -> Replayed:
    load = HotLoad(gateways, FLEETS[gateways], hot_until_s=HOT_UNTIL_S, seconds=65.0)
    return replay(load)


def share_with_two_homes(gateways: int, at_s: float) -> float:
    return rise_and_fall(gateways).counts_at(at_s).count(2) / gateways


@pytest.mark.parametrize(("gateways", "half_s"), [(4, 3.0), (24, 5.0), (68, 10.0), (298, 10.0)])
def test_a_hot_part_gets_a_second_home_within_seconds(gateways: int, half_s: float) -> None:
    """Prompts of a hot part that has one home queue there or are read again elsewhere."""
    assert share_with_two_homes(gateways, half_s) > 0.5
    assert share_with_two_homes(gateways, 25.0) > 0.9


@pytest.mark.parametrize("gateways", FLEETS)
def test_homes_do_not_flap_under_constant_load(gateways: int) -> None:
    """Each home that is removed and added again reads its parts anew."""
    assert rise_and_fall(gateways).removals(5.0, HOT_UNTIL_S) < 0.01


@pytest.mark.parametrize("gateways", FLEETS)
def test_homes_are_removed_when_the_demand_falls(gateways: int) -> None:
    """Homes that are no longer needed evict other parts from their caches."""
    assert share_with_two_homes(gateways, 65.0) < 0.02


@pytest.mark.parametrize(
    "load", [*(HotLoad(*fleet) for fleet in FLEETS.items()), LARGE._replace(hot_share=0.05)]
)
def test_gateways_agree_on_all_homes_but_the_last(load: HotLoad) -> None:
    """Gateways that disagree on the first homes each fill other engines' caches with a part."""
    for at, rows in replay(load).homes.items():
        by_count = sorted(set(rows), key=len)
        assert all(more[: len(fewer)] == fewer for fewer, more in pairwise(by_count))
        assert at < 15.0 or len(by_count[-1]) - len(by_count[0]) <= 1


@pytest.mark.parametrize(("gateways", "prompts_per_s"), FLEETS.items())
def test_a_second_home_has_few_tokens_read_again(gateways: int, prompts_per_s: float) -> None:
    """Homes must not be spread so far that shared tokens are read more often than with one."""
    load = HotLoad(gateways, prompts_per_s)
    reread_share = replay(load).reread_share
    assert reread_share < 0.03
    assert reread_share < 1.2 * replay(load._replace(max_homes=1)).reread_share


@pytest.mark.parametrize("gateways", [4, 24])
def test_homes_save_the_reading_of_a_part_that_overflows_one(gateways: int) -> None:
    """With one home, what overflows goes to random engines, which must read the part again."""
    several = one = 0.0
    for seed in (1, 2):
        load = LARGE._replace(gateways=gateways, hot_share=0.02, seed=seed)
        several += replay(load).reread_share
        one += replay(load._replace(max_homes=1)).reread_share
    assert several < 0.75 * one


def test_too_few_prompts_for_an_estimate_leave_one_home() -> None:
    """A gateway that has seen hardly any prompts of a part must not guess its demand."""
    counts = replay(HotLoad(298, 112.0)).counts_at(HOT_UNTIL_S)
    assert counts.count(1) > 0.98 * len(counts)
