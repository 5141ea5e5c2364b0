"""A short run of the soak with fixed seeds, and every seed that ever failed."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.harness.soak import soak

SEEDS = (2, 3)
FAILED_ONCE = (
    # A follower passed over the relay that had told it of a large object, for it lagged.
    (727, 12.0),
    # An answer that went silent in the middle ended the task that follows the store.
    (786, 12.0),
)
"""Seeds that failed and for how long each ran, seconds, with a line on the cause."""
DURATION_S = 8.0


@pytest.mark.parametrize(
    ("seed", "duration_s"), [*((seed, DURATION_S) for seed in SEEDS), *FAILED_ONCE]
)
def test_no_promise_is_broken(seed: int, duration_s: float, tmp_path: Path) -> None:
    # What failed once is played as it was then, without the schedule of entries.
    assert soak(tmp_path, seed, duration_s, entries=seed in SEEDS) == []
