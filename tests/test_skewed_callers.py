"""New connections that all meet one gateway for some seconds, more often than before.

Before, they are spread over all gateways.  What a gateway admits must not depend on how many of the
callers are its own: it accepts and serves the others' as well.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import NamedTuple

import pytest

from ramppost import clock
from tests.harness.gateways import SAFE, STREAM, UPSTREAMS, Deployment

CALLERS = 8
SPREAD_S = 4.0
SKEWED_S = 6.0
CONTACT_S = 3.0
"""How long after the change nothing is demanded."""
PAUSES_S = (0.08, 0.05)
"""Pause of a caller between its requests, before and after: connections come more often."""
MIN_SERVED_RATIO = 0.75
LIMIT_PER_S = 30.0
"""Request rate that each upstream names; both of a service accept more than callers send to it."""


class Call(NamedTuple):
    """A request by when it was sent (steady clock)."""

    at: float
    status: int


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Deployment]:
    found = Deployment(tmp_path, gateways=4)
    yield found
    found.stop()


def call_from_all(site: Deployment, skewed_at: float, until: float) -> list[Call]:
    """Requests of all callers, each on a connection of its own."""
    calls: list[Call] = []

    def run(number: int) -> None:
        while (at := clock.now()) < until:
            number += 1
            skewed = at >= skewed_at
            gateway = site.gateways[0 if skewed else number % len(site.gateways)]
            calls.append(Call(at, site.call(gateway, (SAFE, STREAM)[number % 2]).status))
            time.sleep(PAUSES_S[skewed])

    threads = [threading.Thread(target=run, args=(i,)) for i in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return calls


def served_ratio(calls: list[Call], wanted: Callable[[float], bool]) -> float:
    statuses = [call.status for call in calls if wanted(call.at)]
    return statuses.count(200) / len(statuses)


@pytest.mark.parametrize("limited", [False, True], ids=["unlimited", "limited"])
def test_one_gateway_served_fewer_callers_when_all_connected_to_it(
    site: Deployment, limited: bool
) -> None:
    if limited:
        site.notices_of_all((*UPSTREAMS[SAFE], *UPSTREAMS[STREAM]), limit_per_s=LIMIT_PER_S)
    skewed_at = clock.now() + SPREAD_S
    calls = call_from_all(site, skewed_at, skewed_at + CONTACT_S + SKEWED_S)
    before = served_ratio(calls, lambda at: at < skewed_at)
    after = served_ratio(calls, lambda at: at >= skewed_at + CONTACT_S)
    assert after >= MIN_SERVED_RATIO * before
