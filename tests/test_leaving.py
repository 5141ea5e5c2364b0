"""An upstream whose own answers say that it is leaving gets no more requests.

Guards against gateways that only believe its entry in the store, which is late while the store is
unavailable.
"""

from __future__ import annotations

import random
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from bench.choosing import job_of
from ramppost import clock
from ramppost.gateway.attempt import _compose_request
from ramppost.gateway.links import NotSent, OutgoingRequest
from ramppost.gateway.model import Upstream
from ramppost.gateway.pick import pick
from ramppost.gateway.state import Gateway
from ramppost.platform import names
from ramppost.platform.headers import answer_head
from tests.harness.gateways import OPEN, Deployment
from tests.harness.upstream_rules import after_leaving
from tests.test_rate_limit import ENGINE, call_all
from tests.test_warmup import gateway

LEAVE_S = 1.0
"""As the harness sets it for gateways."""
OTHER = ENGINE._replace(id="i-2", addr="10.0.0.2:80")
LEAVING = answer_head(200, ((names.LEAVING, b"1"),))


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Deployment]:
    found = Deployment(tmp_path, gateways=4, engines=1, services=2)
    try:
        yield found
    finally:
        found.stop()


def test_upstream_that_said_that_it_was_leaving_was_sent_requests_while_the_store_was_down(
    site: Deployment,
) -> None:
    site.fault("store", mode="down")
    site.notices("web-1", leaving=True)
    got = call_all(site, OPEN, 4.0, key="")
    assert after_leaving(site.arrivals("web-1"), LEAVE_S) == []
    assert {given.status for given in got} == {200}


def test_upstreams_that_all_said_that_they_were_leaving_were_sent_requests(
    site: Deployment,
) -> None:
    site.fault("store", mode="down")
    site.notices_of_all(("web-1", "web-2"), leaving=True)
    got = call_all(site, OPEN, 4.0, key="")
    assert after_leaving(site.arrivals("web-1", "web-2"), LEAVE_S) == []
    refused = [given for given in got if given.status == 503]
    assert refused and all(float(given.headers["retry-after"]) > 0 for given in refused)
    assert {given.status for given in got} == {200, 503}


@pytest.fixture
def gw() -> Gateway:
    found = gateway("g-0", 1, 0.0)
    for upstream in (ENGINE, OTHER):
        found.members.put(upstream)
    return found


def chosen_ids(gw: Gateway) -> set[str]:
    """Ids of the engines that twenty requests are placed on."""
    rng = random.Random(1)
    chosen = [pick(gw, job_of(gw, rng), "lm", "small", clock.now()) for _ in range(20)]
    return {selection.upstream.id for selection in chosen if selection is not None}


def say_leaving(gw: Gateway, upstream: Upstream) -> None:
    gw.connections.observe_head(upstream, LEAVING, clock.now())


def test_leaving_upstream_was_used_again_as_its_entry_returned(gw: Gateway) -> None:
    say_leaving(gw, ENGINE)
    assert chosen_ids(gw) == {OTHER.id}
    gw.members.drop(ENGINE.id)
    gw.members.put(ENGINE)
    assert chosen_ids(gw) == {OTHER.id}


def test_new_start_of_a_leaving_upstream_is_used_at_once(gw: Gateway) -> None:
    say_leaving(gw, ENGINE)
    gw.members.put(ENGINE._replace(started_ms=int((time.time() + 0.5) * 1000)))
    assert chosen_ids(gw) == {ENGINE.id, OTHER.id}


def test_answer_of_another_upstream_at_the_address_does_not_speak_for_it(gw: Gateway) -> None:
    wrong = answer_head(names.STATUS_WRONG_UPSTREAM, ((names.LEAVING, b"1"),))
    gw.connections.observe_head(ENGINE, wrong, clock.now())
    assert chosen_ids(gw) == {ENGINE.id, OTHER.id}


def test_last_upstreams_of_a_service_are_used_while_they_may_be(
    gw: Gateway, monkeypatch: pytest.MonkeyPatch
) -> None:
    now = 1000.0
    monkeypatch.setattr(clock, "now", lambda: now)
    say_leaving(gw, ENGINE)
    say_leaving(gw, OTHER)
    chosen = pick(gw, job_of(gw, random.Random(1)), "lm", "small", now)
    assert chosen is not None
    job = job_of(gw, random.Random(1))
    assert isinstance(_compose_request(gw, job, chosen, "small", None), OutgoingRequest)
    now += gw.cfg["timing"]["upstream_leave_ms"] / 1000
    assert chosen_ids(gw) == set()
    got = _compose_request(gw, job_of(gw, random.Random(1)), chosen, "small", None)
    assert isinstance(got, NotSent) and got.withheld


NAMED_LEAVING = answer_head(
    names.STATUS_WRONG_UPSTREAM, ((names.LEAVING, b"1"), (names.INSTANCE_ID, b"i-3"))
)


@pytest.mark.parametrize(("starts_after_s", "used"), [(-10, False), (10, True)])
def test_upstream_that_said_that_it_was_leaving_before_its_entry_was_known_was_used(
    gw: Gateway, starts_after_s: int, used: bool
) -> None:
    # It answered requests for the one that had its address before (soak 7102).
    gw._observe_head(ENGINE, NAMED_LEAVING, clock.now())
    started_ms = int((time.time() + starts_after_s) * 1000)
    gw.members.put(ENGINE._replace(id="i-3", started_ms=started_ms))
    assert ("i-3" in chosen_ids(gw)) == used
    assert ENGINE.id in chosen_ids(gw)


def test_new_start_that_said_that_it_was_leaving_before_its_entry_was_known_was_used(
    gw: Gateway,
) -> None:
    # Its answer was taken for one of the start before, under the same id and address (soak 7403).
    now_ms = int(time.time() * 1000)
    gw.members.put(ENGINE._replace(started_ms=now_ms - 9000))
    gw._observe_head(ENGINE._replace(started_ms=now_ms - 9000), LEAVING, clock.now())
    gw.members.put(ENGINE._replace(started_ms=now_ms - 1000))
    assert ENGINE.id not in chosen_ids(gw)
