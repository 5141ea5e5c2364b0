"""Short soak runs with fixed seeds and with every seed that has failed."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.harness.soak import FURTHER, soak

SEEDS = (2, 3)
REGRESSION_SEEDS = (
    # A follower skipped the relay that had announced a large object, because the relay lagged.
    (727, 12.0, ()),
    # A response that stalled midway ended the task that follows the store.
    (786, 12.0, ()),
    # The audit counted an attempt, withheld because its key confirmation had expired, as one that
    # may have run.
    (2002, 8.0, ("entries",)),
    # Requests to an earlier upstream at an address went past the limit of the one that had it now.
    (3904, 12.0, ("entries", "notices")),
    (3908, 12.0, ("entries", "notices")),
    # Upstreams that accepted no requests were asked again 15 s after their limit had ended.
    (5016, 12.0, ("entries", "notices", "rests")),
)
"""Seeds that have failed, each with its cause, the duration of each run in seconds, and the further
schedules that it was played with."""
DURATION_S = 8.0


@pytest.mark.parametrize(
    ("seed", "duration_s", "further"),
    [*((seed, DURATION_S, FURTHER) for seed in SEEDS), *REGRESSION_SEEDS],
)
def test_soak_finds_no_violation(
    seed: int, duration_s: float, further: tuple[str, ...], tmp_path: Path
) -> None:
    assert soak(tmp_path, seed, duration_s, further) == []
