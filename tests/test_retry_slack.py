"""The retry slack of a service is divided among all gateways, whatever their number.

Each gateway used to take a sixteenth of the slack, so a fleet of 68 could spend 4.3 times the limit
for the whole fleet, and one of 410 could spend 26 times as much.  It shows when many engines crash
at once under low load: the window holds few tries, and every gateway resumes all its streams on
other engines.  The share is now computed from the number of known gateways, and a gateway that
has not yet received their list takes the smallest share.
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


def fleet_budgets(size: int, known: int, slack: float) -> list[WindowBudget]:
    """Returns the retry budgets of `size` gateways, each of which knows `known` peers."""
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


def count_retries_after_crash(budgets: list[WindowBudget], tries: int) -> int:
    """Returns the retries a fleet makes if engines crash after `tries` tries within a window."""
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
def test_retries_after_a_crash_under_low_load_stay_within_the_budget(
    size: int, slack: float, tries: int, known_all: bool
) -> None:
    budgets = fleet_budgets(size, size - 1 if known_all else 0, slack)
    assert count_retries_after_crash(budgets, tries) <= RATIO * tries + slack


def test_gateways_that_left_count_until_they_are_forgotten() -> None:
    """A list with gateways that have left makes each share smaller, never larger."""
    assert count_retries_after_crash(fleet_budgets(68, 200, 176), 0) <= count_retries_after_crash(
        fleet_budgets(68, 67, 176), 0
    )


def test_the_share_follows_the_number_of_known_gateways() -> None:
    gw = Gateway(SETTINGS)
    before = gw.retry_budget_of(SERVICE).available(NOW)
    for number in range(40):
        gw.peers.put(f"other-{number}", f"10.0.0.{number}:7000")
    listed = gw.retry_budget_of(SERVICE).available(NOW)
    for number in range(40, 200):
        gw.peers.put(f"other-{number}", f"10.0.0.{number}:7000")
    assert gw.retry_budget_of(SERVICE).available(NOW) < listed
    assert before <= listed
