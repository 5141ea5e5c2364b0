"""An upstream that turns a gateway away and asks for rest gets nothing from it meanwhile.

Guards against gateways that go on asking an upstream that refuses them.
"""

from __future__ import annotations

import random
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from bench.choosing import job_of
from ramppost import clock
from ramppost.gateway.attempt import Refused, _compose_request
from ramppost.gateway.candidates import candidates, send_wait_s
from ramppost.gateway.links import NotSent
from ramppost.gateway.model import Upstream
from ramppost.gateway.pick import pick
from ramppost.gateway.serve import OVERLOAD_RETRY_S, _overload_refusal, _retry_after_value
from ramppost.gateway.state import Gateway
from ramppost.gateway.watchers import apply_upstream_change
from ramppost.platform.headers import Headers, answer_head
from ramppost.platform.store import Change
from tests.harness.gateways import SAFE, STREAM, UPSTREAMS, Deployment
from tests.harness.upstream_rules import during_rest
from tests.test_leaving import OTHER
from tests.test_rate_limit import ENGINE, call_all
from tests.test_warmup import entry, gateway, ids_of

REST: Headers = ((b"retry-after", b"3"),)


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Deployment]:
    found = Deployment(tmp_path, gateways=4, engines=2, services=2)
    try:
        yield found
    finally:
        found.stop()


@pytest.mark.parametrize(("prefix", "resting"), [(STREAM, "lm-1"), (SAFE, "web-1")])
def test_upstream_that_asked_for_rest_was_sent_requests(
    site: Deployment, prefix: str, resting: str
) -> None:
    site.notices(resting, rest_s=2.0)
    got = call_all(site, prefix, 5.0)
    assert during_rest(site.arrivals(resting)) == []
    assert {given.status for given in got} == {200}


@pytest.mark.parametrize("prefix", [STREAM, SAFE])
def test_upstreams_that_all_asked_for_rest_were_sent_requests(
    site: Deployment, prefix: str
) -> None:
    upstreams = UPSTREAMS[prefix]
    site.notices_of_all(upstreams, rest_s=2.0)
    got = call_all(site, prefix, 4.0)
    assert during_rest(site.arrivals(*upstreams)) == []
    assert {given.status for given in got} == {503}
    assert all(0 < float(given.headers["retry-after"]) < 3.0 for given in got)
    site.notices_of_all(upstreams, rest_s=None)
    site.until(lambda: site.call(site.gateways[0], prefix).status == 200, 3.0)


@pytest.fixture
def gw(monkeypatch: pytest.MonkeyPatch) -> Gateway:
    monkeypatch.setattr(clock, "now", lambda: 1000.0)
    found = gateway("g-0", 1, 0.0)
    for upstream in (ENGINE, OTHER):
        found.members.put(upstream)
    return found


def free_ids(gw: Gateway, at: float) -> list[str]:
    """Ids of the engines that may be sent a request at a time."""
    return ids_of(candidates(gw, job_of(gw, random.Random(1)), "lm", at))


def test_resting_upstream_was_chosen_before_its_time(gw: Gateway) -> None:
    gw.connections.observe_head(ENGINE, answer_head(503, REST), 1000.0)
    assert free_ids(gw, 1002.9) == [OTHER.id]
    assert free_ids(gw, 1003.0) == [ENGINE.id, OTHER.id]


@pytest.mark.parametrize(
    ("refused", "resting", "retry_s"),
    [
        (Refused(429, 7.0), (), 7.0),
        (Refused(429, 0.0), (), OVERLOAD_RETRY_S),
        (Refused(503, 0.0), (), OVERLOAD_RETRY_S),
        (Refused(503, 0.0), (ENGINE,), OVERLOAD_RETRY_S),
        (Refused(503, 0.0), (ENGINE, OTHER), 3.0),
    ],
)
def test_caller_was_not_told_the_time_that_an_upstream_gave_for_its_request(
    gw: Gateway, refused: Refused, resting: tuple[Upstream, ...], retry_s: float
) -> None:
    for upstream in resting:
        gw.connections.observe_head(upstream, answer_head(503, REST), 1000.0)
    found = _overload_refusal(gw, job_of(gw, random.Random(1)), "lm", refused)
    assert found.retry_after_s == pytest.approx(retry_s)


def test_caller_was_told_to_return_at_once_shortly_before_a_rest_ended() -> None:
    # A time under 5 ms was told as 0.00.
    assert float(_retry_after_value(0.003)) >= 0.003


def test_later_answer_shortened_a_rest(gw: Gateway) -> None:
    gw.connections.observe_head(ENGINE, answer_head(503, REST), 1000.0)
    gw.connections.observe_head(ENGINE, answer_head(503, ((b"retry-after", b"1"),)), 1000.0)
    gw.connections.observe_head(ENGINE, answer_head(200, ()), 1000.0)
    assert free_ids(gw, 1002.9) == [OTHER.id]


def test_resting_upstream_was_used_again_as_its_entry_returned(gw: Gateway) -> None:
    gw.connections.observe_head(ENGINE, answer_head(503, REST), 1000.0)
    gw.members.drop(ENGINE.id)
    gw.members.put(ENGINE)
    gw.forget_upstream(ENGINE.key)
    assert free_ids(gw, 1002.9) == [OTHER.id]


def test_rest_of_an_upstream_was_taken_for_that_of_the_next_at_its_address(gw: Gateway) -> None:
    gw.connections.observe_head(ENGINE, answer_head(503, REST), 1000.0)
    apply_upstream_change(gw, Change(entry(3, 0.0, ENGINE.addr), removed=False))
    assert "i-3" in free_ids(gw, 1000.1)


def test_ended_rest_of_an_upstream_that_is_gone_slowed_every_choice(gw: Gateway) -> None:
    gw.connections.observe_head(ENGINE, answer_head(503, REST), 1000.0)
    gw.members.drop(ENGINE.id)
    assert gw.rests.any_resting(1002.9)
    assert not gw.rests.any_resting(1003.0)


def test_rest_is_checked_again_before_sending(gw: Gateway) -> None:
    job = job_of(gw, random.Random(1))
    job.tried_upstreams = {OTHER.key}
    chosen = pick(gw, job, "lm", "small", 1000.0)
    assert chosen is not None
    gw.connections.observe_head(ENGINE, answer_head(503, REST), 1000.0)
    got = _compose_request(gw, job, chosen, "small", None)
    assert isinstance(got, NotSent) and got.withheld


def test_wait_when_all_upstreams_rest_is_until_the_first_returns(gw: Gateway) -> None:
    gw.connections.observe_head(ENGINE, answer_head(503, REST), 1000.0)
    gw.connections.observe_head(OTHER, answer_head(503, ((b"retry-after", b"1.5"),)), 1000.0)
    job = job_of(gw, random.Random(1))
    assert send_wait_s(gw, job, "lm", 1000.5) == pytest.approx(1.0)


def test_new_start_that_asked_for_rest_before_its_entry_was_known_was_sent_requests() -> None:
    # Its refusal was taken for one of the start before, under the same id and address (soak 7410).
    gw, now_ms = gateway("g-0", 1, 0.0), int(time.time() * 1000)
    before = ENGINE._replace(started_ms=now_ms - 9000)
    gw.rests.record_refusal(before, 3.0, clock.now(), time.time())
    started = ENGINE._replace(started_ms=now_ms - 1000)
    gw.rests.record_start(started)
    assert gw.rests.wait_s(started, clock.now()) > 0
