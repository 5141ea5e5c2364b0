"""A short run of the soak with fixed seeds, and every seed that ever failed."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.harness.soak import soak

SEEDS = (2, 3)
FAILED_ONCE: tuple[int, ...] = ()
"""Seeds that failed, each with a line on the cause beside it."""
DURATION_S = 8.0


@pytest.mark.parametrize("seed", [*SEEDS, *FAILED_ONCE])
def test_no_promise_is_broken(seed: int, tmp_path: Path) -> None:
    assert soak(tmp_path, seed, DURATION_S) == []
