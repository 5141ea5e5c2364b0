"""Short soaks of roll-outs with fixed seeds and with every seed that has failed."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.harness.rollout_soak import soak

SEEDS = (6, 9)


@pytest.mark.parametrize("seed", SEEDS)
def test_rollout_soak_finds_no_moved_session(seed: int, tmp_path: Path) -> None:
    assert soak(tmp_path, seed) == []
