"""Plans that operators made at this gateway, to be written again if the store loses them."""

from __future__ import annotations

from typing import Final

from ramppost.bounded import drop_oldest
from ramppost.schema.messages import Plan

PLAN_KIND: Final = "plans"
MAX_PLANS: Final = 64
"""Operators make a few plans a day and confirm them within minutes."""


class Plans:
    """The latest plans made here, and the era of the store in which each was written last."""

    def __init__(self) -> None:
        self._eras: dict[str, int] = {}
        self._plans: dict[str, Plan] = {}

    def add(self, plan: Plan, era: int) -> None:
        """Remember a plan that the store has taken."""
        self._plans[plan["plan_id"]] = plan
        self._eras[plan["plan_id"]] = era
        drop_oldest(self._plans, MAX_PLANS)
        drop_oldest(self._eras, MAX_PLANS)

    def mark_written(self, plan_id: str, era: int) -> None:
        """Record that the store holds a plan in an era."""
        if plan_id in self._eras:
            self._eras[plan_id] = era

    def perhaps_lost(self, era: int) -> list[Plan]:
        """Plans that the store has not been seen to hold in this era."""
        return [plan for plan_id, plan in self._plans.items() if self._eras[plan_id] < era]
