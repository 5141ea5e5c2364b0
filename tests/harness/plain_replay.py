"""Replays requests to plain upstreams in simulated time, through the decisions of real gateways.

No network: heads of responses are handed to the gateways, and time is a number.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterator
from typing import Final, NamedTuple

import pytest

from ramppost import clock
from ramppost.gateway.admit import Admitted
from ramppost.gateway.attempt import _record_latency
from ramppost.gateway.full import _decide, note_refusal
from ramppost.gateway.job import Job
from ramppost.gateway.model import Upstream
from ramppost.gateway.pick import pick
from ramppost.gateway.serve import _has_attempt_left, _may_attempt
from ramppost.gateway.state import Gateway
from ramppost.platform import names
from ramppost.platform.headers import answer_head, caller_request
from ramppost.policy.plain import Hold, Reject
from tests.harness.gateways import ONCE, SAFE, SITE
from tests.test_warmup import gateway

UPSTREAMS: Final = 4
SLOTS: Final = 6
WORK_S: Final = 0.045
SLOW_PACE: Final = 2.5
TURN_S: Final = 0.6
LINK_S: Final = 0.001
OBJECTIVE_S: Final = 0.218
DEADLINE_S: Final = 1.6
CAPACITY_PER_S: Final = (UPSTREAMS - 1 + 1 / SLOW_PACE) * SLOTS / WORK_S
"""With one slow host at any time."""


class Ended(NamedTuple):
    """A request that was served or refused; times in seconds.

    `in_use` is the share of all slots that were in use as it ended.
    """

    status: int
    took_s: float
    attempts: int
    in_use: float


class PlainUpstream:
    """An upstream that refuses requests when it is full, or queues them."""

    def __init__(self, number: int, queues: bool, tells: str) -> None:
        self.entry = Upstream(f"i-{number}", "10.0.0.1:80", "web", "bole", "v1", SLOTS, False, 7)
        self.number = number
        self.queues = queues
        self.tells = tells
        self.spans: list[tuple[float, float]] = []
        """Begin and end of the work on requests that have not ended."""

    def pace(self, now: float) -> float:
        """The pace of its host; each host is slow for a turn."""
        return SLOW_PACE if int(now / TURN_S) % UPSTREAMS == self.number else 1.0

    def accept(self, now: float) -> float | None:
        """The time at which a request that arrives now is answered; None if it is refused."""
        self.spans = [span for span in self.spans if span[1] > now]
        begin = now
        if len(self.spans) >= SLOTS:
            if not self.queues:
                return None
            begin = sorted(end for _, end in self.spans)[-SLOTS]
        end = begin + WORK_S * self.pace(begin)
        self.spans.append((begin, end))
        return end

    def running(self, now: float) -> int:
        """Requests that it runs now; one that ends now is among them."""
        return sum(begin <= now <= end for begin, end in self.spans)

    def headers(self, now: float) -> tuple[tuple[bytes, bytes], ...]:
        """What a response tells of its load."""
        waiting = sum(begin > now for begin, _ in self.spans)
        text = f"{self.running(now)},{waiting},{SLOTS}"
        if self.tells == "pace":
            text += f",{round(100 * self.pace(now))}"
        return ((names.LOAD, text.encode()),) if self.tells != "nothing" else ()


class Replay:
    """Gateways that share the upstreams; `tells` is what these report: nothing, load or pace."""

    def __init__(
        self, gateways: int, tells: str, queues: bool, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        self.now = 1000.0
        monkeypatch.setattr(clock, "now", lambda: self.now)
        self.rng = random.Random(7)
        self.upstreams = [PlainUpstream(n, queues, tells) for n in range(UPSTREAMS)]
        self.fleet = [gateway(f"g-{n}", gateways, 0.0) for n in range(gateways)]
        for gw in self.fleet:
            gw.rng.seed(7)
            for upstream in self.upstreams:
                gw.members.put(upstream.entry)
        self.ended: list[Ended] = []

    def play(self, load: float, seconds: float) -> list[Ended]:
        """Offer a load, relative to the capacity, and return what came of the requests."""
        self.ended.clear()
        until = self.now + seconds
        events: list[tuple[float, int, Iterator[float]]] = []
        number = 0
        arrival = self.now
        while arrival < until:
            arrival += self.rng.expovariate(load * CAPACITY_PER_S)
            number += 1
            heapq.heappush(events, (arrival, number, self._request(self.rng.choice(self.fleet))))
        while events:
            self.now, _, request = heapq.heappop(events)
            delay_s = next(request, None)
            if delay_s is not None:
                number += 1
                heapq.heappush(events, (self.now + delay_s, number, request))
        return self.ended

    def served_in_time(self) -> float:
        """The share of requests that were served within their objective."""
        in_time = [end for end in self.ended if end.status == 200 and end.took_s <= OBJECTIVE_S]
        return len(in_time) / len(self.ended)

    def _request(self, gw: Gateway) -> Iterator[float]:
        """A request, as `serve` handles it; yields the seconds until it goes on."""
        job = self._job(gw)
        status = yield from self._serve(gw, job)
        in_use = sum(upstream.running(self.now) for upstream in self.upstreams)
        took_s = self.now - job.read_at
        self.ended.append(Ended(status, took_s, job.attempts, in_use / (SLOTS * UPSTREAMS)))

    def _serve(self, gw: Gateway, job: Job) -> Iterator[float]:
        gw.retry_budget_of("web").record_try(self.now)
        while True:
            if _has_attempt_left(gw, job, "web") and (yield from self._hold(gw, job)):
                return 503
            chosen = pick(gw, job, "web", "", self.now)
            if chosen is None or not _may_attempt(gw, job, "web"):
                return 503
            job.tried_upstreams.add(chosen.upstream.key)
            job.attempts += 1
            work = gw.loads.in_flight(chosen.upstream.key)
            work.requests += 1
            sent_at = self.now
            yield LINK_S
            upstream = next(u for u in self.upstreams if u.entry.key == chosen.upstream.key)
            end = upstream.accept(self.now)
            if end is not None:
                yield end - self.now
            headers = upstream.headers(self.now)
            yield LINK_S
            if end is None:
                headers = (*headers, (names.NOT_RUN, b"1"))
            head = answer_head(503 if end is None else 200, headers)
            gw.connections.observe_head(chosen.upstream, head, sent_at)
            work.requests -= 1
            if end is not None:
                _record_latency(gw, chosen, self.now - sent_at, self.now)
                return 200
            note_refusal(gw, job, chosen.upstream)

    def _hold(self, gw: Gateway, job: Job) -> Iterator[float]:
        """As `hold_while_full`; whether the request is refused."""
        assert gw.table is not None
        with gw.held.hold("web", 0, job.route.priority, job.deadline) as entry:
            while True:
                decision = _decide(gw, job, gw.table.services["web"], entry)
                if not isinstance(decision, Hold):
                    return isinstance(decision, Reject)
                yield decision.seconds
                job.tried_upstreams -= job.full_upstreams
                job.full_upstreams.clear()
                if gw.held.ahead("web", entry) == 0:
                    return False

    def _job(self, gw: Gateway) -> Job:
        prefix = self.rng.choice((ONCE, SAFE))
        req = caller_request("POST", prefix + "x", ((b"host", SITE.encode()),), b"")
        assert gw.table is not None
        route = next(route for route in gw.table.routes[SITE] if route.prefix == prefix)
        route = route._replace(objective_s=OBJECTIVE_S, timeout_s=DEADLINE_S)
        return Job(req, Admitted(route, None), self.now)
