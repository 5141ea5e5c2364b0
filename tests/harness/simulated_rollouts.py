"""Roll-outs of good and bad versions by gateways of which all decisions are real, without sockets.

Requests of several routes arrive at random gateways, are sent to the versions that the roll-out
lets them use, and fail or are slow as their version, route and upstream are.  What is counted is
what a bad version may get of a service's requests by the deadline of its order.

    python -m tests.harness.simulated_rollouts --seeds 50
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from typing import Any, Final, Literal, NamedTuple
from unittest import mock

import curio
from loguru import logger

from ramppost import clock
from ramppost.gateway import rollout_duty
from ramppost.gateway.model import Upstream
from ramppost.gateway.rollouts import PlacedRequest, Rollout
from ramppost.policy.exposure import Exposure
from tests.harness.version_fleet import FIRST_S, GAP, NEW, OLD, SERVICE, Clock, Fleet, Node

WARM_UP_S: Final = 6.0
STEP_S: Final = 0.02
EXCHANGE_S: Final = 0.2
DECIDE_S: Final = 0.1
WRITE_SPREAD_S: Final = 0.1
"""How much later than it is due an end is written."""
UPSTREAMS: Final = 4
SLOW_FACTOR: Final = 8.0
LIVE_SESSIONS: Final = 40
SESSION_REQUESTS: Final = 6
EVENTS: Final = 20
UNTIL_GIVEN_UP_S: Final = 0.4
LOAD_WINDOW_S: Final = 0.3
REPEATED_FAILURE_SHARE: Final = 0.5
FLAKY_SHARE: Final = 0.1
"""Share of failures from which a route fails the same requests again."""
GREY_SHARE: Final = 0.4
EVENT_GAP_S: Final = 0.05
EXPOSURE: Final = Exposure(0.15, 30.0)

How = Literal["good", "errors", "slow", "late", "one_class", "under_load"]


class Route(NamedTuple):
    """Requests of a kind; `failed` is the share that any version fails, half of these again when
    repeated.  Those that hang are given up without an answer."""

    name: str
    per_s: float
    failed: float = 0.01
    is_repeated: bool = True
    has_key: bool = True
    hangs: bool = False


class Trouble(NamedTuple):
    """What happens beside a roll-out; times are in seconds since its order."""

    title: str = "calm"
    burst: float = 1.0
    burst_from: float = 0.0
    burst_until: float = 0.0
    slow_upstreams: int = 0
    grey_upstreams: int = 0
    """Upstreams of each version that fail `GREY_SHARE` of their answers."""
    refused_from: float = 0.0
    refused_until: float = 0.0
    """When requests with a key are refused, as the store is away."""
    cut_gateways: int = 0
    """Gateways that are cut off from all others and from the store, but not from callers."""
    cut_from: float = 0.0
    cut_until: float = 0.0


class Case(NamedTuple):
    """A roll-out to play."""

    routes: tuple[Route, ...]
    how: How = "good"
    share: float = 0.0
    trouble: Trouble = Trouble()
    has_sessions: bool = False
    duration_s: float = 16.0
    gap_s: float = 9.0
    """When a version that turns bad late does so, in seconds since the order."""
    gateways: int = 4


class Played(NamedTuple):
    """How a roll-out went."""

    state: str
    exposed: int
    total: int
    ended_s: float
    reason: str = ""

    @property
    def allowed(self) -> float:
        """How many requests a bad version may get."""
        return EXPOSURE.share * self.total + EXPOSURE.slack

    @property
    def is_exposed(self) -> bool:
        """Whether the version got more requests than a bad one may."""
        return self.exposed > self.allowed


OFFICE: Final = (
    Route("lookup", 6.0, is_repeated=False),
    Route("query", 2.5),
    Route("flaky", 2.4, failed=0.33),
    Route("look-1", 0.4, has_key=False),
    Route("look-2", 0.4, has_key=False),
    Route("hangs", 0.9, has_key=False, hangs=True),
)
ENGINES: Final = (Route("long", 8.0), Route("chat", 18.0), Route("tag", 13.0))


def scaled(routes: tuple[Route, ...], factor: float) -> tuple[Route, ...]:
    """The same routes with so many times the traffic."""
    return tuple(route._replace(per_s=route.per_s * factor) for route in routes)


class _Play:
    """One roll-out."""

    def __init__(self, case: Case, seed: int) -> None:
        self.case = case
        self.rng = random.Random(seed)
        self.time = Clock()
        self.fleet = Fleet(self.time, case.gateways)
        for node in self.fleet.all:
            node.rollouts.exposure = EXPOSURE
            node.rollouts._fleet_size = lambda: case.gateways
        self.usable = [
            Upstream(f"{version}-{i}", "127.0.0.1:1", SERVICE, "hall", version, 8, False)
            for version in (OLD, NEW)
            for i in range(UPSTREAMS)
        ]
        self.old = [upstream for upstream in self.usable if upstream.version == OLD]
        self.new = [upstream for upstream in self.usable if upstream.version == NEW]
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.sessions: list[tuple[str, int]] = []
        self.pins: dict[str, str] = {}
        self.ordered_at = self.time.now + WARM_UP_S
        self.sent: Counter[str] = Counter()
        self.recent: list[tuple[float, str]] = []
        self.state = "ordered"
        self.ended_at = float("inf")
        self.writes: list[bool] = []

    def run(self) -> Played:
        """Play it until the deadline of the order."""
        with self._patched():
            end = self.ordered_at + self.case.duration_s
            next_exchange = next_decision = self.time.now
            while self.time.now < end:
                self._step()
                self._cut_off()
                if self.time.now >= next_exchange:
                    next_exchange += EXCHANGE_S
                    self.fleet.exchange()
                if self.time.now >= next_decision and self.time.now > self.ordered_at:
                    next_decision = self.time.now + DECIDE_S
                    self._decide()
        since_s = self.ended_at - self.ordered_at
        reason = self._node.rollout.withdrawal_reason
        return Played(
            self.state, self.sent[NEW], sum(self.sent.values()), round(since_s, 2), reason
        )

    @contextmanager
    def _patched(self) -> Iterator[None]:
        async def finish(gw: Any, rollout: Rollout, completed: bool) -> None:
            self.writes.append(completed)

        with (
            mock.patch.object(clock, "now", self.time),
            mock.patch.object(rollout_duty, "_finish", finish),
        ):
            yield

    def _step(self) -> None:
        self.time.now += STEP_S
        now = self.time.now
        if now >= self.ordered_at and self.state == "ordered" and not self._node.rollouts.all():
            self.fleet.order(duration_s=self.case.duration_s)
        while self.events and self.events[0][0] <= now:
            heapq.heappop(self.events)[2]()
        for route in self.case.routes:
            for _ in range(self._arrivals(route)):
                self._send(self.rng.choice(self.fleet.all), route, self._session(), set())

    def _cut_off(self) -> None:
        """Cut gateways off, or let them be reached; calls between them are not answered."""
        trouble = self.case.trouble
        is_cut = trouble.cut_from <= self._since_s < trouble.cut_until
        names = list(self.fleet.nodes)
        self.fleet.cut = set(names[len(names) - trouble.cut_gateways :]) if is_cut else set()
        for name, node in self.fleet.nodes.items():
            for other in set(names) - {name} if is_cut else ():
                if self.fleet.cut & {name, other}:
                    node.peers.record_call(other, False, self.time.now)

    @property
    def _writers(self) -> list[Node]:
        """The gateways that may end the roll-out: the first, or, beside a cut, all that reach the
        store."""
        if not self.case.trouble.cut_gateways:
            return [self._node]
        return [node for name, node in self.fleet.nodes.items() if name not in self.fleet.cut]

    @property
    def _node(self) -> Node:
        return self.fleet.all[0]

    @property
    def _since_s(self) -> float:
        return self.time.now - self.ordered_at

    def _arrivals(self, route: Route) -> int:
        trouble = self.case.trouble
        if route.has_key and trouble.refused_from <= self._since_s < trouble.refused_until:
            return 0
        is_burst = trouble.burst_from <= self._since_s < trouble.burst_until
        wanted = route.per_s * STEP_S * (trouble.burst if is_burst else 1.0)
        return int(wanted) + (self.rng.random() < wanted - int(wanted))

    def _session(self) -> str:
        if not self.case.has_sessions:
            return ""
        if len(self.sessions) < LIVE_SESSIONS:
            self.sessions.append((f"s{next(self.numbers)}", SESSION_REQUESTS))
        index = self.rng.randrange(len(self.sessions))
        name, left = self.sessions.pop(index)
        if left > 1:
            self.sessions.append((name, left - 1))
        return name

    def _send(self, node: Node, route: Route, session: str, failed: set[str]) -> None:
        now = self.time.now
        if not failed:
            node.rollouts.record_request(SERVICE, route.name, now)
        number = f"r{next(self.numbers)}"
        pinned = self.pins.get(session, "")
        placed = PlacedRequest(number, session, pinned, not pinned, route=route.name)
        side = node.rollouts.eligible_upstreams(SERVICE, self._present(), placed, now)
        allowed = side.preferred or side.fallback
        others = [u for u in [*side.preferred, *side.fallback] if u.version not in failed]
        if not allowed:
            return
        upstream = self.rng.choice(others if failed and others else allowed)
        if session:
            self.pins[session] = upstream.version
        if now >= self.ordered_at:
            self.sent[upstream.version] += 1
        self.recent.append((now, upstream.version))
        self._answer(node, route, session, upstream, failed)

    def _answer(
        self, node: Node, route: Route, session: str, upstream: Upstream, failed: set[str]
    ) -> None:
        index = int(upstream.key[len(upstream.version) + 1 :])
        timing = self.fleet.begin(node, upstream.version, route.name, index)
        is_bad = upstream.version == NEW and self._is_bad(route)
        trouble = self.case.trouble
        slow = SLOW_FACTOR if is_bad and self.case.how == "slow" else 1.0
        slow *= 4.0 if index < trouble.slow_upstreams else 1.0
        is_again = failed and route.failed > FLAKY_SHARE
        share = REPEATED_FAILURE_SHARE if is_again else route.failed
        fails = self.rng.random() < share or (is_bad and self.case.how != "slow")
        fails = fails or (index < trouble.grey_upstreams and self.rng.random() < GREY_SHARE)
        first_s = FIRST_S * slow * self.rng.lognormvariate(0.0, 0.4)
        if route.hangs:
            self._at(UNTIL_GIVEN_UP_S, lambda: timing.end(self.time.now))
            return

        def begin() -> None:
            timing.record_head(500 if fails else 200, self.time.now)
            if fails or not self.case.has_sessions:
                timing.end(self.time.now)
            if fails and route.is_repeated and not failed:
                self._send(node, route, session, {upstream.version})

        def end() -> None:
            timing.record_events(EVENTS, self.time.now)
            timing.end(self.time.now)

        self._at(first_s, begin)
        if self.case.has_sessions and not fails:
            self._at(first_s + EVENTS * GAP * EVENT_GAP_S * slow, end)

    def _is_bad(self, route: Route) -> bool:
        how, since_s = self.case.how, self._since_s
        if how == "good" or self.rng.random() >= self.case.share:
            return False
        if how == "one_class":
            return route.name == max(self.case.routes, key=lambda r: r.per_s * r.is_repeated).name
        if how == "under_load":
            return self._is_loaded()
        return how != "late" or since_s >= self.case.gap_s

    def _is_loaded(self) -> bool:
        """Whether most of the latest requests went to the new version."""
        self.recent = [(at, v) for at, v in self.recent if at > self.time.now - LOAD_WINDOW_S]
        new = sum(version == NEW for _, version in self.recent)
        return new > 0.5 * len(self.recent) and len(self.recent) > 2

    def _at(self, delay_s: float, do: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.time.now + delay_s, next(self.numbers), do))

    def _present(self) -> list[Upstream]:
        """The upstreams that run: both versions between the order and its end."""
        if self.time.now < self.ordered_at or self.state == "rolled_back":
            return self.old
        return self.new if self.state == "completed" else self.usable

    def _decide(self) -> None:
        if self.state != "ordered":
            return
        now = self.time.now
        for node in self._writers:
            rollout = node.rollout
            part = rollout.elapsed_fraction(now - WRITE_SPREAD_S)
            if rollout.withdrawal_reason:
                self.writes.append(False)
            elif part >= rollout.ramp.complete_at:
                curio.run(rollout_duty._decide, node, rollout, part, now)
        if self.writes:
            self.state = "completed" if self.writes[0] else "rolled_back"
            self.ended_at = now
            for node in self.fleet.all:
                node.rollout.order = node.rollout.order._replace(state=self.state)


def play(case: Case, seed: int) -> Played:
    """Play a roll-out."""
    return _Play(case, seed).run()


BURST: Final = Trouble("burst", burst=2.5, burst_from=13.5, burst_until=16.5)
EARLY_BURST: Final = Trouble("early burst", burst=2.5, burst_from=3.0, burst_until=6.0)
OUTAGE: Final = Trouble("outage", refused_from=11.0, refused_until=15.3)
SLOW: Final = Trouble("slow upstream", slow_upstreams=1)
GREY: Final = Trouble("failing upstream", grey_upstreams=1)
CUT: Final = Trouble("cut", cut_gateways=2, cut_from=5.0, cut_until=15.0)
CUT_TO_THE_END: Final = CUT._replace(title="cut to the end", cut_until=20.0)
TROUBLES: Final = (Trouble(), BURST, EARLY_BURST, OUTAGE, SLOW, GREY, CUT, CUT_TO_THE_END)
SHARES: Final = (0.15, 0.25, 0.35, 0.45, 0.58)
HOWS: Final[tuple[How, ...]] = ("errors", "slow", "late", "one_class", "under_load")


def cases() -> Iterator[tuple[str, Case]]:
    """All combinations that are counted, with a title."""
    services = {
        "office": Case(OFFICE),
        "engines": Case(ENGINES, has_sessions=True),
        "little": Case(scaled(OFFICE, 0.15)),
        "least": Case(scaled(OFFICE, 0.03)),
    }
    for name, case in services.items():
        for trouble in TROUBLES:
            yield f"{name:8} good          {trouble.title}", case._replace(trouble=trouble)
        for how, share in itertools.product(HOWS, SHARES):
            for trouble in (Trouble(), BURST, OUTAGE, CUT, CUT_TO_THE_END):
                title = f"{name:8} {how:10} {share:.2f} {trouble.title}"
                yield title, case._replace(how=how, share=share, trouble=trouble)


def _play_all(job: tuple[str, Case, int]) -> tuple[str, list[Played]]:
    title, case, seeds = job
    logger.remove()
    return title, [play(case, seed) for seed in range(seeds)]


def main() -> None:
    """Print how often versions of each kind were completed, and given more than they may get."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--only", default="")
    args = parser.parse_args()
    jobs = [(title, case, args.seeds) for title, case in cases() if args.only in title]
    with ProcessPoolExecutor(args.jobs) as pool:
        for title, played in pool.map(_play_all, jobs):
            states = Counter(found.state for found in played)
            exposed = sum(found.is_exposed for found in played)
            worst = max(found.exposed / found.allowed for found in played)
            print(
                f"{title:38} completed {states['completed']:3} rolled back"
                f" {states['rolled_back']:3} open {states['ordered']:3}"
                f" exposed {exposed:3} most {worst:.2f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
