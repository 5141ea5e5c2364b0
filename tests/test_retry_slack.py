"""The retry slack of a service is shared by all gateways, however many there are.

Each gateway took a sixteenth of the slack, so a fleet of 68 could spend 4.3 times what the rule
gives all of them together, and one of 410 could spend 26 times as much.  A calm second in which
many engines crash at once is where that shows: the tries of the window are few, and every gateway
takes up all its streams elsewhere.  The part is now worked out from the gateways that are known,
and a gateway that has not yet seen their list takes the least.
"""

from __future__ import annotations

import random

import pytest

from ramppost.gateway.state import Gateway
from ramppost.policy.limits import WindowBudget
from ramppost.schema.settings import GatewaySettings
from tests.test_gateway_state import SETTINGS

NOW = 5000.0
WINDOW_S = 10.0
RATIO = 0.9
SERVICE = "lm"


def fleet(size: int, known: int, slack: float) -> list[WindowBudget]:
    """The budgets of a fleet's gateways, each of which has so many others on its list."""
    cfg = GatewaySettings(
        **{**SETTINGS, "retries": {"ratio": RATIO, "window_s": WINDOW_S, "slack": slack}}
    )
    budgets = []
    for _ in range(size):
        gw = Gateway(cfg)
        for number in range(known):
            gw.peers.put(f"other-{number}", f"10.0.{number // 200}.{number % 200}:7000")
        budgets.append(gw.retry_budget_of(SERVICE))
    return budgets


def crash(budgets: list[WindowBudget], tries: int) -> int:
    """Retries that a fleet makes where engines crash after so many tries within a window."""
    rng = random.Random(3)
    for number in range(tries):
        budgets[rng.randrange(len(budgets))].record_try(
            NOW + WINDOW_S * 0.9 * number / max(1, tries)
        )
    at = NOW + WINDOW_S * 0.92
    taken = 0
    for budget in budgets:
        while budget.take(at):
            taken += 1
    return taken


@pytest.mark.parametrize("known_all", [True, False])
@pytest.mark.parametrize("tries", [0, 40, 400, 4000])
@pytest.mark.parametrize(("size", "slack"), [(4, 54), (6, 58), (32, 104), (68, 176), (410, 790)])
def test_a_crash_in_a_calm_second_stays_within_the_budget(
    size: int, slack: float, tries: int, known_all: bool
) -> None:
    budgets = fleet(size, size - 1 if known_all else 0, slack)
    assert crash(budgets, tries) <= RATIO * tries + slack


def test_gateways_that_left_count_until_they_are_forgotten() -> None:
    """A list that names more than there are gives each less, never more."""
    assert crash(fleet(68, 200, 176), 0) <= crash(fleet(68, 67, 176), 0)


def test_the_part_follows_the_list() -> None:
    gw = Gateway(SETTINGS)
    before = gw.retry_budget_of(SERVICE).available(NOW)
    for number in range(40):
        gw.peers.put(f"other-{number}", f"10.0.0.{number}:7000")
    listed = gw.retry_budget_of(SERVICE).available(NOW)
    for number in range(40, 200):
        gw.peers.put(f"other-{number}", f"10.0.0.{number}:7000")
    assert gw.retry_budget_of(SERVICE).available(NOW) < listed
    assert before <= listed
