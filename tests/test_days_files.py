"""Days that are played on the users' bench: the files can be read and say what the bench needs."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest

DAYS = sorted((Path(__file__).parents[1] / "deploy" / "days").glob("*.toml"))


@pytest.mark.parametrize("path", DAYS, ids=[path.stem for path in DAYS])
def test_a_day_has_its_name_and_troubles_with_times_and_kinds(path: Path) -> None:
    day = tomllib.loads(path.read_text(encoding="utf-8"))
    assert day["name"] == path.stem
    troubles = day.get("faults", []) + day.get("plan", [])
    assert troubles
    assert all(trouble["at"] >= 0 and trouble["kind"] for trouble in troubles)
