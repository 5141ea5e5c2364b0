"""Sessions in progress stay on their version while another one is rolled out."""

from __future__ import annotations

import random
import signal
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from tests.harness.gateways import Deployment
from tests.harness.sessions import (
    MAX_MOVED,
    Rollout,
    SessionLoad,
    moves,
    roll_out,
    start_engines,
    tell,
)
from tests.harness.soak import audited

SESSION_S = 4.0
DURATION_S = 14.0
FIRST_MOVE_S = 0.1 * DURATION_S
NEW = "v2"
MOVED = "broken: sessions: "
"""How findings of the audit on moved sessions begin."""
Deploy = Callable[..., Deployment]


@pytest.fixture
def deploy(tmp_path: Any) -> Iterator[Deploy]:
    found: list[Deployment] = []

    def start(session_s: float = SESSION_S, **upstream_settings: Any) -> Deployment:
        settings = {"slots": 200, **upstream_settings}
        site = Deployment(tmp_path, gateways=4, upstream_settings=settings, session_s=session_s)
        found.append(site)
        return site

    yield start
    for site in found:
        site.stop()


def _let_end(site: Deployment, load: SessionLoad, rollout: Rollout) -> None:
    """Wait until a roll-out has ended, and let the callers finish."""
    left_s = rollout.ordered_at + rollout.duration_s - time.time()
    site.until(lambda: site.rollout_status() != "", left_s, "an end of the roll-out")
    load.end()


def _check(
    site: Deployment, load: SessionLoad, rollout: Rollout, session_s: float = SESSION_S
) -> None:
    found = moves(load.calls, rollout, session_s)
    run = tell(load, rollout, found)
    assert site.rollout_status() == "completed", run
    assert any(call.version == rollout.version for call in load.calls), run
    assert len(found) <= MAX_MOVED, run
    broken = audited(site.folder)
    assert len(broken) <= MAX_MOVED and all(MOVED in line for line in broken), broken


def test_session_begun_after_others_were_announced_was_moved(deploy: Deploy) -> None:
    # Sessions that began between 0.06 and 0.1 of the duration were announced by nobody.
    site = deploy()
    load = SessionLoad(site)
    rollout = roll_out(site, NEW, DURATION_S)
    _let_end(site, load, rollout)
    _check(site, load, rollout)


def test_session_was_moved_after_a_stream_longer_than_a_session_lasts(deploy: Deploy) -> None:
    # A pin counted from the head of an answer and not from its end.
    site = deploy(session_s=1.5, event_ms=500)
    load = SessionLoad(site, callers=80)
    time.sleep(3.0)
    rollout = roll_out(site, NEW, DURATION_S)
    _let_end(site, load, rollout)
    _check(site, load, rollout, 1.5)


def test_planned_stop_before_the_order_lost_the_versions_of_sessions(deploy: Deploy) -> None:
    # A gateway that stopped took with it which sessions it had served.
    site = deploy(session_s=8.0)
    first, *others = site.gateways
    load = SessionLoad(site, callers=80, pause_s=5.5)
    load.away.update(others)
    time.sleep(3.0)
    load.away.update([first])
    load.away.difference_update(others)
    site.signal(first, signal.SIGTERM)
    site.wait_end(first)
    rollout = roll_out(site, NEW, DURATION_S)
    site.start_gateway(first)
    _let_end(site, load, rollout)
    _check(site, load, rollout, 8.0)


def test_planned_stops_in_series_lost_the_versions_of_sessions(deploy: Deploy) -> None:
    # The same for all gateways one after the other, while a version is rolled out.
    site = deploy(session_s=8.0)
    load = SessionLoad(site, callers=40, pause_s=1.0)
    time.sleep(2.0)
    rollout = roll_out(site, NEW, 2 * DURATION_S)
    for name in site.gateways:
        _stop_and_start(site, load, name)
    _let_end(site, load, rollout)
    _check(site, load, rollout, 8.0)


def _stop_and_start(site: Deployment, load: SessionLoad, name: str) -> None:
    load.away.add(name)
    time.sleep(0.2)
    site.signal(name, signal.SIGTERM)
    site.wait_end(name)
    site.start_gateway(name)
    site.wait_ready(name)
    load.away.discard(name)


def test_sessions_were_moved_as_the_store_was_away_before_the_first_move(deploy: Deploy) -> None:
    # Neither the write of a gateway's sessions nor the reading of the others' was repeated.
    site = deploy()
    load = SessionLoad(site)
    rollout = roll_out(site, NEW, DURATION_S)
    time.sleep(rollout.ordered_at + FIRST_MOVE_S - 0.6 - time.time())
    site.fault("store", mode="down")
    time.sleep(1.2)
    site.fault("store", mode="none")
    _let_end(site, load, rollout)
    _check(site, load, rollout)


def test_session_went_back_as_engines_of_its_version_lost_answers(deploy: Deploy) -> None:
    # Retries went to the old version, and the session's version with them.
    site = deploy()
    load = SessionLoad(site)
    rollout = roll_out(site, NEW, DURATION_S)
    ending = threading.Event()
    loser = threading.Thread(target=_lose_answers, args=(site, ending))
    loser.start()
    try:
        _let_end(site, load, rollout)
    finally:
        ending.set()
        loser.join()
        load.end()
    _check(site, load, rollout)


def _lose_answers(site: Deployment, ending: threading.Event) -> None:
    """Let both new engines lose their answers for a moment now and then."""
    rng = random.Random(1)
    time.sleep(FIRST_MOVE_S + 0.5)
    while not ending.is_set():
        for lose in (True, False):
            for name in ("new-1", "new-2"):
                site.behave(name, lose=lose)
            time.sleep(rng.uniform(0.05, 0.15) if lose else rng.uniform(0.3, 0.6))


def test_session_ran_on_engines_that_were_known_before_the_order(deploy: Deploy) -> None:
    # Without an order, any session ran on engines of any version, and went back with the order.
    site = deploy()
    load = SessionLoad(site)
    start_engines(site, NEW)
    time.sleep(2.0)
    ordered_at = time.time()
    site.rollout(NEW, DURATION_S)
    rollout = Rollout(NEW, ordered_at, DURATION_S)
    _let_end(site, load, rollout)
    _check(site, load, rollout)
