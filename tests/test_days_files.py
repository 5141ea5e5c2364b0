"""Day files for the users' bench can be parsed and have the fields that the bench needs."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest

DAYS = sorted((Path(__file__).parents[1] / "deploy" / "days").glob("*.toml"))


@pytest.mark.parametrize("path", DAYS, ids=[path.stem for path in DAYS])
def test_a_day_has_its_name_and_faults_with_times_and_kinds(path: Path) -> None:
    day = tomllib.loads(path.read_text(encoding="utf-8"))
    assert day["name"] == path.stem
    faults = day.get("faults", []) + day.get("plan", [])
    assert faults
    assert all(fault["at"] >= 0 and fault["kind"] for fault in faults)
