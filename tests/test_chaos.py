"""A short random-fault run over each example fleet; `make chaos` runs longer ones."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.harness.chaos import PLANS, chaos

DURATION_S = 10.0
MIN_SERVED_SHARE = 0.8
RUNS = [("mesob", 7), ("toll", 3)]


@pytest.mark.parametrize(("name", "seed"), RUNS)
def test_random_faults_violate_none_of_the_ten_points(name: str, seed: int, tmp_path: Path) -> None:
    share, violations = chaos(PLANS[name], seed, DURATION_S, tmp_path)
    assert violations == []
    assert share >= MIN_SERVED_SHARE
