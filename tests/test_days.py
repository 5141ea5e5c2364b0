"""`make days`: parsing of printed scores, and detection of a site that got worse."""

from __future__ import annotations

import pytest

from tools.days import Score, fell, mean, parse, table

OUTPUT = """score on the standard days of some-site (set c6ff3f36): 0.748
day                  own/srv  score  worth served refused failed  weakest part
quiet-1               146/84   0.67  0.768  0.966   0.000  0.005  worst class 0.87; prices 0.166
trouble-1             146/84   0.87  0.514  0.916   0.000  0.013  worst windows 0.54
scale-1               146/84   0.70  0.758  0.964   0.000  0.005  worst class 0.86
fresh-b5da            146/84   0.00 -0.024  0.900   0.000  0.012  worst windows 0.41
{gate}
"""


@pytest.mark.parametrize(("gate", "passed"), [("GATE passed", True), ("GATE failed", False)])
def test_days_and_gate_are_read(gate: str, passed: bool) -> None:
    got = parse(OUTPUT.format(gate=gate))
    assert got["passed"] == passed
    assert got["days"] == {
        "quiet-1": 0.768,
        "trouble-1": 0.514,
        "scale-1": 0.758,
        "fresh-b5da": -0.024,
    }
    assert mean(got) == pytest.approx(0.636)


def test_an_aborted_run_has_no_days_and_no_gate() -> None:
    assert parse("built in 3.1 s\n") == Score(passed=False, days={})


@pytest.mark.parametrize(("now", "worse"), [(0.60, False), (0.571, False), (0.569, True)])
def test_a_site_is_worse_where_its_mean_fell_by_more_than_is_allowed(
    now: float, worse: bool
) -> None:
    before = Score(passed=True, days={"scale-1": 0.60})
    assert fell(Score(passed=True, days={"scale-1": now}), before) == worse
    assert not fell(Score(passed=True, days={"scale-1": now}), None)


def test_each_day_is_shown_with_its_previous_score() -> None:
    before = Score(passed=True, days={"scale-1": 0.60})
    lines = table("some-site", Score(passed=True, days={"scale-1": 0.61}), before)
    assert lines[0] == "some-site: gate passed"
    assert lines[1].split() == ["scale-1", "0.610", "(0.600)"]
    assert lines[2].split() == ["mean", "0.610", "(0.600)"]
