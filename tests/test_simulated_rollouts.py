"""Roll-outs by gateways whose decisions are real, against what a bad version may get."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from loguru import logger

from tests.harness.simulated_rollouts import BURST, ENGINES, OFFICE, OUTAGE, Case, play


@pytest.fixture(autouse=True)
def quiet() -> Iterator[None]:
    logger.disable("ramppost")
    yield
    logger.enable("ramppost")


@pytest.mark.parametrize("service", [Case(OFFICE), Case(ENGINES, has_sessions=True)])
def test_version_got_more_requests_in_a_burst_than_a_bad_one_may(service: Case) -> None:
    # The ramp was planned by time, with the traffic of a calm moment.
    played = [play(service._replace(trouble=BURST), seed) for seed in range(5)]
    assert not [found for found in played if found.is_exposed]


@pytest.mark.parametrize("seed", [1, 29])
def test_bad_version_was_kept_as_routes_that_tell_nothing_took_its_requests(seed: int) -> None:
    # Half of the answers that it gave were of routes that fail with any version, or hang.
    case = Case(OFFICE, "errors", 0.45, OUTAGE)
    assert play(case, seed).state == "rolled_back"


@pytest.mark.parametrize(("share", "seed"), [(0.45, 11), (0.45, 21), (0.58, 11)])
def test_version_that_turned_bad_late_was_kept_for_its_earlier_answers(
    share: float, seed: int
) -> None:
    # Nine seconds of sound answers outweighed the failures that came then.
    assert play(Case(OFFICE, "late", share), seed).state == "rolled_back"


@pytest.mark.parametrize("seed", [14, 17, 28, 30])
def test_bad_version_was_completed_though_nothing_spoke_for_it(seed: int) -> None:
    # It failed 58% in the last two seconds before requests were refused, as the store was away.
    case = Case(ENGINES, "late", 0.58, OUTAGE, has_sessions=True)
    assert play(case, seed).state == "rolled_back"
