"""Short soak runs with fixed seeds and with every seed that has failed."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.harness.soak import soak

SEEDS = (2, 3)
REGRESSION_SEEDS = (
    # A follower skipped the relay that had announced a large object, because the relay lagged.
    (727, 12.0, False, False),
    # A response that stalled midway ended the task that follows the store.
    (786, 12.0, False, False),
    # The audit counted an attempt, withheld because its key confirmation had expired, as one that
    # may have run.
    (2002, 8.0, True, False),
    # Requests to an earlier upstream at an address went past the limit of the one that had it now.
    (3904, 12.0, True, True),
    (3908, 12.0, True, True),
)
"""Seeds that have failed, each with its cause, the duration of each run in seconds, and whether it
included the schedules of malformed entries and fatal requests, and of upstreams that tell of
themselves."""
DURATION_S = 8.0


@pytest.mark.parametrize(
    ("seed", "duration_s", "entries", "notices"),
    [*((seed, DURATION_S, True, True) for seed in SEEDS), *REGRESSION_SEEDS],
)
def test_soak_finds_no_violation(
    seed: int, duration_s: float, entries: bool, notices: bool, tmp_path: Path
) -> None:
    assert soak(tmp_path, seed, duration_s, entries, notices) == []
