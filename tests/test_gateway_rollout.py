"""Roll-outs by real gateways under load."""

from __future__ import annotations

import os
import signal
import threading
import time
from collections.abc import Iterator
from typing import Any

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from ramppost import clock
from ramppost.platform import names
from tests.harness.gateways import STREAM, Deployment, Given

scenarios("features/gateway_rollout.feature")

CALLERS = 6
NEW = ("new-1", "new-2")
OLD = ("lm-1", "lm-2")


class Load:
    """Callers that ask for streams one after the other."""

    def __init__(self, site: Deployment) -> None:
        self.site = site
        self.answers: list[Given] = []
        self.ending = threading.Event()
        self.threads = [threading.Thread(target=self._ask, args=(i,)) for i in range(CALLERS)]
        for thread in self.threads:
            thread.start()

    def _ask(self, number: int) -> None:
        gateway = self.site.gateways[number % len(self.site.gateways)]
        while not self.ending.is_set():
            head = {names.SESSION.decode(): os.urandom(4).hex()}
            self.answers.append(self.site.call(gateway, STREAM, headers=head))

    def end(self) -> None:
        """Let the callers finish."""
        self.ending.set()
        for thread in self.threads:
            thread.join()


@pytest.fixture
def site(tmp_path: Any) -> Iterator[Deployment]:
    found = Deployment(tmp_path, gateways=2)
    yield found
    found.stop()


def _start_new(site: Deployment) -> None:
    for name in NEW:
        site.start_upstream(name, "lm", "v2")


@given("a deployment with a new version", target_fixture="load")
def good(site: Deployment) -> Load:
    return Load(site)


@given("a deployment with a bad version", target_fixture="load")
def bad(site: Deployment) -> Load:
    load = Load(site)
    site.bad_version = True  # type: ignore[attr-defined]
    return load


@given("a deployment with a slow version", target_fixture="load")
def slow(site: Deployment) -> Load:
    load = Load(site)
    site.slow_version = True  # type: ignore[attr-defined]
    return load


def _order(site: Deployment, duration_s: int) -> None:
    time.sleep(0.5)
    site.rollout("v2", duration_s)
    _start_new(site)
    for name in NEW:
        if hasattr(site, "bad_version"):
            site.behave(name, status=500)
        if hasattr(site, "slow_version"):
            site.host(name, time_pct=800)


@when(parsers.parse("it is rolled out in {n:d} seconds under load"))
def rolled_out(site: Deployment, load: Load, n: int) -> None:
    _order(site, n)
    deadline = clock.now() + n
    while clock.now() < deadline and not site.rollout_status():
        time.sleep(0.1)
    time.sleep(0.5)
    load.end()


@when(
    parsers.parse("it is rolled out in {n:d} seconds and every gateway is killed at {k:d} seconds")
)
def killed(site: Deployment, load: Load, n: int, k: int) -> None:
    site.rollout("v2", n)
    _start_new(site)
    time.sleep(k)
    for name in site.gateways:
        site.signal(name, signal.SIGKILL)
        site.wait_end(name)
    for name in site.gateways:
        site.start_gateway(name)
    site.until(lambda: site.rollout_status() != "", n - k + 1, "an end of the roll-out")
    load.end()


@then(parsers.parse("the roll-out is {state}"))
def state_is(site: Deployment, state: str) -> None:
    assert site.rollout_status() == state


@then(parsers.parse("it got fewer than {n:d} of 100 requests"))
def exposure(site: Deployment, n: int) -> None:
    new, old = len(site.runs(*NEW)), len(site.runs(*OLD))
    assert new < n / 100 * (new + old) + 5


@then("every request was served")
def served(load: Load) -> None:
    assert len(load.answers) > 50
    assert {answer.status for answer in load.answers} == {200}
