"""The outcome of a plan whose confirmation is repeated after later changes."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import curio
import pytest

from ramppost.entry import changes
from ramppost.entry.changes import Applied, InDoubt, Stale, apply_change
from ramppost.platform.objects import Found, Unavailable
from ramppost.schema.messages import HistoryLine
from ramppost.standin.fleet import MESOB, config_doc

PLAN = "plan-a"
FAILED = Unavailable("history not answered", sent=True)
MADE_BY_PLAN = [HistoryLine(revision=2, plan_id=PLAN, changed_by="dev")]


def confirm_again(histories: list[Any], monkeypatch: pytest.MonkeyPatch) -> Any:
    """Confirm a plan for revision 1 while revision 3 of another plan is in force; the history is
    read with these results in turn, the last one again and again."""
    doc = config_doc(MESOB)
    current = doc | {"revision": 3, "plan_id": "plan-b"}

    async def get(*args: Any) -> Any:
        return Found(7, current)

    async def read_history(entry: Any) -> Any:
        return histories.pop(0) if len(histories) > 1 else histories[0]

    async def sleep(seconds: float) -> None:
        return

    monkeypatch.setattr(changes, "get", get)
    monkeypatch.setattr(changes, "read_history", read_history)
    monkeypatch.setattr(changes.curio, "sleep", sleep)
    entry = SimpleNamespace(client=None, conf=SimpleNamespace(adopt=lambda *args: None))
    return curio.run(apply_change, entry, 1, doc, PLAN, "dev")


def test_applied_plan_was_called_stale_as_its_history_was_not_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert confirm_again([FAILED, MADE_BY_PLAN], monkeypatch) == Applied(2)


def test_plan_is_in_doubt_while_its_history_is_not_read(monkeypatch: pytest.MonkeyPatch) -> None:
    assert confirm_again([FAILED], monkeypatch) == InDoubt(FAILED.reason, False)


def test_plan_that_the_history_does_not_name_is_stale(monkeypatch: pytest.MonkeyPatch) -> None:
    assert isinstance(confirm_again([[]], monkeypatch), Stale)
