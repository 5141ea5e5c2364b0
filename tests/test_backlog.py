"""What an engine has ahead of it and what it keeps, and who keeps that for all."""

from __future__ import annotations

import pytest

from ramppost.policy.backlog import (
    CACHE_TTL_S,
    MAX_PENDING,
    MAX_WAIT_S,
    OVERDUE_SHARE,
    Backlog,
    PendingPrompt,
)
from ramppost.policy.keepers import keeper_of

NOW = 1000.0


def reading(read_s: float = 0.4, level: int = 0, at: float = NOW) -> PendingPrompt:
    return PendingPrompt(at, read_s, level, "m", ("one", "two"))


def test_what_is_sent_is_ahead_until_it_begins() -> None:
    backlog = Backlog()
    backlog.add("a", reading(0.4))
    backlog.add("b", reading(0.3))
    assert backlog.ahead_s(0, NOW + 0.1) == pytest.approx(0.6)
    backlog.record_first_token("a", NOW + 0.4)
    assert backlog.ahead_s(0, NOW + 0.5) == pytest.approx(0.2)
    backlog.record_first_token("b", NOW + 0.7)
    assert backlog.ahead_s(0, NOW + 0.7) == 0.0


def test_what_is_dropped_is_not_ahead_and_not_kept() -> None:
    backlog = Backlog()
    backlog.add("a", reading())
    backlog.remove("a", NOW + 0.1)
    assert backlog.ahead_s(0, NOW + 0.1) == 0.0
    assert backlog.cached_parts("m", ("one",), NOW + 0.1) == 0


def test_only_what_is_read_goes_before_what_is_more_urgent() -> None:
    backlog = Backlog()
    for key in "abc":
        backlog.add(key, reading(1.0, level=2))
    assert backlog.ahead_s(2, NOW) == pytest.approx(3.0)
    assert backlog.ahead_s(0, NOW) == pytest.approx(1.0)


def test_a_prompt_that_is_overdue_still_counts() -> None:
    backlog = Backlog()
    backlog.add("a", reading(1.0))
    assert backlog.ahead_s(0, NOW + 5) == pytest.approx(OVERDUE_SHARE)


def test_a_prompt_of_a_gateway_that_died_is_forgotten() -> None:
    backlog = Backlog()
    backlog.add("a", reading(1.0))
    assert backlog.ahead_s(0, NOW + MAX_WAIT_S + 1) == 0.0


def test_a_backlog_is_bounded_whatever_is_told() -> None:
    backlog = Backlog()
    for number in range(2 * MAX_PENDING):
        backlog.add(f"{number}", reading(0.001))
    assert backlog.ahead_s(0, NOW) <= MAX_PENDING * 0.001 + 0.001


def test_ends_that_are_told_twice_or_of_nothing_change_nothing() -> None:
    backlog = Backlog()
    backlog.record_first_token("a", NOW)
    backlog.remove("a", NOW)
    backlog.add("b", reading(1.0))
    backlog.record_first_token("a", NOW + 0.5)
    assert backlog.ahead_s(0, NOW + 0.5) == pytest.approx(0.5)


@pytest.mark.parametrize(
    ("model", "parts", "after_s", "kept"),
    [
        ("m", ("one", "two", "other"), 1.0, 2),
        ("m", ("one", "other", "two"), 1.0, 1),
        ("m", ("other", "one"), 1.0, 0),
        ("other", ("one", "two"), 1.0, 0),
        ("m", ("one", "two"), CACHE_TTL_S + 1, 0),
    ],
)
def test_kept_parts_end_at_the_first_that_is_not_kept(
    model: str, parts: tuple[str, ...], after_s: float, kept: int
) -> None:
    backlog = Backlog()
    backlog.add("a", reading())
    backlog.record_first_token("a", NOW)
    assert backlog.cached_parts(model, parts, NOW + after_s) == kept


def test_parts_of_prompts_that_wait_need_not_be_read_twice() -> None:
    backlog = Backlog()
    backlog.add("a", reading())
    assert backlog.cached_parts("m", ("one", "own"), NOW) == 1
    assert backlog.cached_parts("other", ("one",), NOW) == 0


HALLS = {f"g{i}": ("north", "south", "west")[i % 3] for i in range(9)}


def test_a_keeper_stands_in_its_engines_hall() -> None:
    for number in range(50):
        assert HALLS[keeper_of(f"e{number}", "south", HALLS, frozenset())] == "south"


def test_the_engines_of_a_silent_keeper_are_shared_among_others_alone() -> None:
    silent = frozenset({"g1"})
    for number in range(50):
        before = keeper_of(f"e{number}", "south", HALLS, frozenset())
        after = keeper_of(f"e{number}", "south", HALLS, silent)
        assert after != "g1"
        assert after == before or before == "g1"


def test_without_gateways_in_the_hall_another_keeps_and_without_any_nobody() -> None:
    assert keeper_of("e", "east", HALLS, frozenset()) in HALLS
    assert keeper_of("e", "south", HALLS, frozenset(HALLS)) == ""
