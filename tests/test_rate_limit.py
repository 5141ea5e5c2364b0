"""All gateways together keep to the request rate that an upstream names in its answers.

Guards against upstreams that were sent whatever gateways liked, though they had named a limit.
"""

from __future__ import annotations

import heapq
import random
import threading
import time
from collections.abc import Iterator
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from bench.choosing import job_of
from ramppost import clock
from ramppost.gateway.attempt import _compose_request
from ramppost.gateway.datagrams import Address
from ramppost.gateway.links import OutgoingRequest
from ramppost.gateway.model import Upstream
from ramppost.gateway.pick import pick
from ramppost.gateway.state import Gateway
from ramppost.platform import names
from ramppost.platform.headers import answer_head
from ramppost.schema.messages import PeerDatagram
from tests.harness.gateways import SAFE, STREAM, UPSTREAMS, Deployment, Given
from tests.harness.upstream_rules import Arrivals, over_limit
from tests.test_warmup import gateway

ENGINE = Upstream("i-1", "10.0.0.1:80", "lm", "bole", "v1", 64, False, 7)
ANSWER_S = 0.05
SIZES = (1, 4, 6, 68, 400)
LIMITS_PER_S = (0.0, 0.4, 1.0, 2.1, 14.0)


def fleet_of(size: int) -> list[Gateway]:
    """Gateways that know each other and one engine."""
    fleet = [gateway(f"g-{number}", size, 0.0) for number in range(size)]
    for gw in fleet:
        gw.members.put(ENGINE)
    return fleet


class Wire:
    """Simulated time in which gateways send to one engine that limits its rate, and datagrams to
    each other, of which some are lost."""

    def __init__(
        self, fleet: list[Gateway], monkeypatch: pytest.MonkeyPatch, lost: float = 1.0
    ) -> None:
        self.fleet = fleet
        self.lost = lost
        self.now = 1000.0
        self.limit_per_s: float | None = None
        self.arrivals: Arrivals = []
        self.rng = random.Random(7)
        self._answers: list[tuple[float, int, Gateway, float]] = []
        monkeypatch.setattr(clock, "now", lambda: self.now)
        for number, gw in enumerate(fleet):
            own = ("10.0.1.1", number + 1)
            monkeypatch.setattr(gw.datagrams, "send", partial(self._deliver, own))

    def _deliver(self, sender: Address, receiver: Address, msg: PeerDatagram) -> None:
        if self.rng.random() >= self.lost:
            self.fleet[receiver[1] - 1].limit_news.handle_datagram(msg, sender)

    def ask(self) -> None:
        """Let each gateway ask others once about limits that it has not heard of for a while."""
        for gw in self.fleet:
            gw.limit_news.ask_once()

    def offer(self, per_s: float, seconds: float) -> int:
        """Offer requests to gateways drawn at random; gives how many were sent."""
        before, until = len(self.arrivals), self.now + seconds
        while self.now < until:
            self._advance(self.now + self.rng.expovariate(per_s))
            self._offer_one(self.rng.choice(self.fleet))
        return len(self.arrivals) - before

    def offer_all(self) -> int:
        """Offer each gateway a request at the same moment; gives how many were sent."""
        before = len(self.arrivals)
        for gw in self.fleet:
            self._offer_one(gw)
        self._advance(self.now + 2 * ANSWER_S)
        return len(self.arrivals) - before

    def wait(self, seconds: float) -> None:
        self._advance(self.now + seconds)

    def _advance(self, until: float) -> None:
        while self._answers and self._answers[0][0] <= until:
            at, number, gw, sent_at = heapq.heappop(self._answers)
            self.now = max(self.now, at)
            limit = self.limit_per_s
            headers = () if limit is None else ((names.RATE_LIMIT, str(limit).encode()),)
            gw.connections.observe_head(ENGINE, answer_head(200, headers), sent_at)
            self.arrivals[number] |= {"answered_at": self.now, "told_limit": limit is not None}
        self.now = max(self.now, until)

    def _offer_one(self, gw: Gateway) -> None:
        job = job_of(gw, self.rng)
        chosen = pick(gw, job, "lm", "small", self.now)
        if chosen is None:
            return
        req = _compose_request(gw, job, chosen, "small", None)
        if not isinstance(req, OutgoingRequest):
            return
        limit = self.limit_per_s
        arrival = {
            "upstream": ENGINE.id,
            "born": ENGINE.started_ms,
            "gateway": gw.cfg["name"],
            "at": self.now,
            "answered_at": 0.0,
            "limited": limit is not None,
            "limit_per_s": limit or 0.0,
            "told_limit": False,
        }
        heapq.heappush(self._answers, (self.now + ANSWER_S, len(self.arrivals), gw, self.now))
        self.arrivals.append(arrival)


def play_limit(size: int, limit_per_s: float, monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Offer a limited upstream far too much, also after a pause; gives the spans over its limit."""
    wire = Wire(fleet_of(size), monkeypatch)
    wire.limit_per_s = limit_per_s
    wire.offer_all()
    wire.offer(60.0, 12.0)
    wire.wait(60.0)
    wire.offer(2000.0, 0.5)
    wire.offer(60.0, 6.0)
    return over_limit(wire.arrivals)


def test_limited_upstream_got_more_than_it_named_from_fleets_of_all_sizes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    played = {
        (size, limit_per_s): play_limit(size, limit_per_s, monkeypatch)
        for size in SIZES
        for limit_per_s in LIMITS_PER_S
    }
    assert {case: found for case, found in played.items() if found} == {}


def test_limited_upstream_got_more_after_its_limit_changed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    wire = Wire(fleet_of(4), monkeypatch)
    for limit_per_s in (20.0, 1.0, 3.0, 0.5):
        wire.limit_per_s = limit_per_s
        wire.offer(60.0, 8.0)
        settled = [a for a in wire.arrivals if a["at"] > wire.now - 4.0]
        assert over_limit(settled) == []
        assert len(settled) <= 1.5 * 4 * limit_per_s + 5


@pytest.mark.parametrize(("size", "added"), [(4, 4), (6, 1), (6, 6), (68, 4)])
@pytest.mark.parametrize("limit_per_s", LIMITS_PER_S)
def test_limited_upstream_got_more_while_gateways_were_added(
    size: int, added: int, limit_per_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The new ones know all at once; each of the others learns of them at another time."""
    old, new = fleet_of(size), fleet_of(size + added)[size:]
    wire = Wire(old + new, monkeypatch)
    wire.limit_per_s = limit_per_s
    wire.fleet = old
    wire.offer(60.0, 10.0)
    wire.fleet = old + new
    for gw in wire.rng.sample(old, len(old)):
        wire.offer(60.0, 3.0 / size)
        for number in range(size, size + added):
            gw.peers.put(f"g-{number}", f"10.0.1.1:{number + 1}", "bole")
    wire.offer(60.0, 8.0)
    assert over_limit(wire.arrivals) == []


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("lost", [0.0, 0.1])
def test_upstream_was_not_used_again_after_its_limit_had_ended(
    size: int, lost: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    wire = Wire(fleet_of(size), monkeypatch, lost)
    wire.limit_per_s = 1.0
    wire.offer_all()
    wire.limit_per_s = None
    for _ in range(15):
        wire.offer(2.0 * size, 1.0)
        wire.ask()
    assert wire.offer_all() == size


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("limit_per_s", [0.0, 0.2, 0.5])
def test_upstream_that_accepted_hardly_any_was_used_again_late(
    size: int, limit_per_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    wire = Wire(fleet_of(size), monkeypatch, lost=0.0)
    wire.limit_per_s = limit_per_s
    wire.offer_all()
    wire.limit_per_s = None
    for _ in range(8):
        wire.offer(4.0 * size, 1.0)
        wire.ask()
    assert wire.offer_all() == size


def test_gateways_that_were_told_nothing_kept_no_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    wire = Wire(fleet_of(68), monkeypatch, lost=0.0)
    wire.limit_per_s = 1.0
    wire.offer(20.0, 4.0)
    before = len(wire.arrivals)
    wire.offer(200.0, 4.0)
    assert len(wire.arrivals) - before <= 1.5 * 4 * 1.0 + 5


def test_limit_that_came_and_went_was_announced_each_time(monkeypatch: pytest.MonkeyPatch) -> None:
    wire = Wire(fleet_of(68), monkeypatch, lost=0.0)
    gw, sent = wire.fleet[0], []
    monkeypatch.setattr(gw.datagrams, "send", lambda addr, msg: sent.append(addr))
    for number in range(100):
        wire.now += 0.01
        limit_per_s = 1.0 if number % 2 == 0 else None
        gw.rate_limits.record_response(ENGINE, limit_per_s, wire.now, wire.now)
    assert len(sent) <= 67


def test_late_news_ended_a_limit_that_was_named_since(monkeypatch: pytest.MonkeyPatch) -> None:
    wire = Wire(fleet_of(4), monkeypatch)
    limits = wire.fleet[0].rate_limits
    limits.record_response(ENGINE, 1.0, sent_at=1000.0, now=1000.1)
    limits.record_news(ENGINE.addr, None, asked_at=999.0, now=1001.0)
    assert limits.per_s(ENGINE) == 1.0
    limits.record_news(ENGINE.addr, 5.0, asked_at=999.0, now=1001.0)
    assert limits.per_s(ENGINE) == 1.0
    limits.record_news(ENGINE.addr, None, asked_at=1000.5, now=1001.0)
    assert limits.per_s(ENGINE) is None
    limits.record_response(ENGINE, None, sent_at=1002.0, now=1002.1)
    limits.record_news(ENGINE.addr, 1.0, asked_at=1001.0, now=1003.0)
    assert limits.per_s(ENGINE) is None


def test_requests_to_an_earlier_upstream_at_the_address_went_past_the_limit() -> None:
    gw = gateway("g-0", 1, 0.0)
    earlier, now = ENGINE._replace(id="i-0", started_ms=5), clock.now()
    gw.connections.observe_head(ENGINE, answer_head(200, ((names.RATE_LIMIT, b"1"),)), now)
    assert gw.rate_limits.wait_s(earlier, clock.now()) > 0


def test_limit_in_an_answer_to_a_request_for_an_earlier_upstream_was_not_kept() -> None:
    gw = gateway("g-0", 1, 0.0)
    earlier, now = ENGINE._replace(id="i-0", started_ms=5), clock.now()
    wrong = names.STATUS_WRONG_UPSTREAM
    gw.connections.observe_head(earlier, answer_head(wrong, ((names.RATE_LIMIT, b"1"),)), now)
    assert gw.rate_limits.wait_s(ENGINE, clock.now()) > 0


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Deployment]:
    found = Deployment(tmp_path, gateways=4, engines=2, services=2)
    try:
        yield found
    finally:
        found.stop()


def call_all(site: Deployment, prefix: str, seconds: float, **how: Any) -> list[Given]:
    """Call each gateway again and again, all at once; `how` goes to each call."""
    until, got = clock.now() + seconds, []

    def call(gateway: str) -> None:
        rng = random.Random(gateway)
        while clock.now() < until:
            parts = {names.PROMPT_PARTS.decode(): f"{rng.randrange(100)}:60,own:40"}
            got.append(site.call(gateway, prefix, headers=parts if prefix == STREAM else {}, **how))
            time.sleep(0.02)

    threads = [threading.Thread(target=call, args=(name,)) for name in site.gateways]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return got


def behave_all(site: Deployment, upstreams: tuple[str, ...], **how: Any) -> None:
    for name in upstreams:
        site.behave(name, **how)


def test_gateways_sent_a_limited_upstream_more_than_it_named(site: Deployment) -> None:
    behave_all(site, ("lm-1", "lm-2"), events=1, event_ms=0)
    site.notices("lm-1", limit_per_s=2.0)
    got = call_all(site, STREAM, 6.0)
    assert over_limit(site.arrivals("lm-1")) == []
    assert {given.status for given in got} == {200}


@pytest.mark.parametrize("prefix", [STREAM, SAFE])
def test_gateways_sent_upstreams_that_all_limit_their_rate_more_than_they_named(
    site: Deployment, prefix: str
) -> None:
    upstreams = UPSTREAMS[prefix]
    behave_all(site, upstreams, events=1, event_ms=0)
    site.notices_of_all(upstreams, limit_per_s=2.0)
    got = call_all(site, prefix, 8.0)
    assert over_limit(site.arrivals(*upstreams)) == []
    refused = [given for given in got if given.status == 503]
    assert refused and all(float(given.headers["retry-after"]) > 0 for given in refused)
    assert sum(given.status == 200 for given in got) >= 2 * 8 * 2.0 * 0.5
    assert {given.status for given in got} == {200, 503}
