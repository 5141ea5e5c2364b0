"""A short run of the soak with fixed seeds, and every seed that ever failed."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.harness.soak import soak

SEEDS = (2, 3)
FAILED_ONCE = (
    # A follower passed over the relay that had told it of a large object, for it lagged.
    (727, 12.0, False),
    # An answer that went silent in the middle ended the task that follows the store.
    (786, 12.0, False),
    # The audit took an attempt that was withheld as its key grew old for one that may have run.
    (2002, 8.0, True),
)
"""Seeds that failed, for how long each ran, seconds, and whether with the schedule of entries and
the requests that end engines, with a line on the cause."""
DURATION_S = 8.0


@pytest.mark.parametrize(
    ("seed", "duration_s", "entries"),
    [*((seed, DURATION_S, True) for seed in SEEDS), *FAILED_ONCE],
)
def test_no_promise_is_broken(seed: int, duration_s: float, entries: bool, tmp_path: Path) -> None:
    assert soak(tmp_path, seed, duration_s, entries) == []
