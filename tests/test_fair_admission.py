"""Replays overloads of fleets without a network; engines read the most urgent prompt first.

"Served" is a first token within the objective.
"""

from __future__ import annotations

import functools
import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable
from typing import Any, NamedTuple

import pytest

from ramppost.gateway.backlogs import ASK_TIMEOUT_S
from ramppost.policy.backlog import Backlog, PendingPrompt
from ramppost.policy.fair_admission import AdmissionRequest, Admit, FairAdmission, Reject
from ramppost.policy.room import BUSY_WAIT_S, Room, SampledUse, Shortage
from ramppost.policy.urgency import SHORT_READ_S, urgency_level
from ramppost.policy.use import USE_WINDOW_S, highest_use

ENGINES = {4: 4, 24: 16, 68: 20, 298: 20}
"""Engines by number of gateways."""
RANKS = {f"w{n}": n // 4 for n in range(8)}
GREEDY = "w7"
GREEDY_FACTOR = 9
ASKED = 4
BEGIN_S, MEASURED_FROM_S, OVERLOAD_UNTIL_S, END_S = 100.0, 102.0, 110.0, 114.0
REPEAT_S = 0.6
"""Pause of callers that repeat at once."""


class Kind(NamedTuple):
    share: float
    read_s: float
    route_rank: int
    objective_s: float
    deadline_s: float


KINDS = [Kind(0.4, 0.05, 0, 3, 5), Kind(0.4, 0.25, 0, 3, 15), Kind(0.2, 0.6, 1, 4, 20)]
MEAN_READ_S = sum(kind.share * kind.read_s for kind in KINDS)


class Caller:
    def __init__(self, number: int, workspace: str, kind: Kind, at: float, at_once: bool) -> None:
        self.name, self.workspace, self.kind, self.at = f"c{number}", workspace, kind, at
        self.deadline, self.at_once = at + kind.deadline_s, at_once
        self.level = urgency_level(RANKS[workspace], kind.route_rank, kind.read_s)
        self.first_s = float("inf")
        self.told_until = float("inf")
        """When it was told to return, if it does so then."""


class Outcome(NamedTuple):
    callers: list[Caller]
    returned: int
    refused_again: int
    refused_at: list[float]
    busy: dict[int, float]
    """Seconds of reading of all engines together, by second."""
    reasons: dict[str, int]

    def answered(self, level: int) -> float:
        """Share of callers of a level whose answer began before their deadline."""
        of_level = [
            caller.first_s <= caller.kind.deadline_s
            for caller in self.callers
            if caller.level == level and MEASURED_FROM_S <= caller.at < OVERLOAD_UNTIL_S
        ]
        return sum(of_level) / len(of_level)

    def served(self, of: Callable[[Caller], Any]) -> dict[Any, float]:
        """Share of callers whose answer began within its objective, by a property of them."""
        groups = defaultdict(list)
        for caller in self.callers:
            if MEASURED_FROM_S <= caller.at < OVERLOAD_UNTIL_S:
                groups[of(caller)].append(caller.first_s <= caller.kind.objective_s)
        return {key: sum(served) / len(served) for key, served in groups.items()}


Decide = Callable[[Any, Caller, int, list[Backlog], float], Admit | Reject]


def admit_all(fleet: Any, caller: Caller, gateway: int, asked: list[Backlog], now: float) -> Any:
    return Admit()


def gateway_shares(
    fleet: Any, caller: Caller, gateway: int, asked: list[Backlog], now: float
) -> Any:
    """Each gateway sends its part of the capacity, whatever the others do."""
    sent = fleet.gateway_sent[gateway]
    part_s = len(fleet.engines) * USE_WINDOW_S / len(fleet.rooms)
    while sent and now - sent[0][0] > USE_WINDOW_S:
        sent.pop(0)
    if sent and sum(read_s for _, read_s in sent) + caller.kind.read_s > part_s:
        return Reject("share", USE_WINDOW_S * (1 + fleet.rng.random()), None)  # type: ignore[arg-type]
    sent.append((now, caller.kind.read_s))
    return Admit()


def fair_shares(fleet: Any, caller: Caller, gateway: int, asked: list[Backlog], now: float) -> Any:
    """The decision of a gateway by the replies of keepers."""
    room, waits = fleet.rooms[gateway], [engine.ahead_s(caller.level, now) for engine in asked]
    room.observe("lm", caller.level, waits, now)
    if max(waits) > BUSY_WAIT_S:
        use = dict(highest_use(engine.use.by_workspace(now) for engine in asked))
        room.observe_use("lm", len(asked), use, now)
    request = AdmissionRequest(
        caller.workspace,
        RANKS[caller.workspace],
        caller.kind.read_s < SHORT_READ_S,
        caller.name,
        caller.kind.objective_s,
        caller.deadline - now,
        min(waits) + caller.kind.read_s,
    )
    shortage = room.shortage("lm", caller.level, now)
    return fleet.rules.decide(request, shortage, room.use("lm", now), RANKS, now, fleet.rng)


class Fleet:
    """Engines with their backlogs, and a room for each gateway."""

    def __init__(self, gateways: int, decide: Decide, seed: int) -> None:
        self.rng, self.rules, self.decide = random.Random(seed), FairAdmission({}), decide
        self.engines = [Backlog() for _ in range(ENGINES[gateways])]
        self.queues: list[list[tuple[int, int, Caller]]] = [[] for _ in self.engines]
        self.reading = [False] * len(self.engines)
        self.rooms = [Room() for _ in range(gateways)]
        self.gateway_sent: dict[int, list[tuple[float, float]]] = defaultdict(list)
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.ids = itertools.count()
        self.outcome = Outcome([], 0, 0, [], defaultdict(float), defaultdict(int))
        self.returned = self.refused_again = 0

    def at(self, when: float, event: Callable[[float], None]) -> None:
        heapq.heappush(self.events, (when, next(self.ids), event))

    def arrive(self, caller: Caller, now: float) -> None:
        gateway = self.rng.randrange(len(self.rooms))
        numbers = self.rng.sample(range(len(self.engines)), min(ASKED, len(self.engines)))
        asked = [self.engines[number] for number in numbers]
        decision = self.decide(self, caller, gateway, asked, now)
        as_told = now >= caller.told_until
        self.returned += as_told
        if isinstance(decision, Reject):
            self.refused_again += as_told
            self.refuse(caller, decision, now)
            return
        best = min(numbers, key=lambda number: self.engines[number].ahead_s(caller.level, now))
        level = 0 if decision.raised else caller.level
        prompt = PendingPrompt(now, caller.kind.read_s, level, "m", (), caller.workspace)
        self.engines[best].add(caller.name, prompt)
        heapq.heappush(self.queues[best], (level, next(self.ids), caller))
        self.at(caller.deadline, lambda then: self.engines[best].remove(caller.name, then))
        self.read_next(best, now)

    def refuse(self, caller: Caller, decision: Reject, now: float) -> None:
        self.outcome.refused_at.append(now)
        self.outcome.reasons[decision.reason] += 1
        patience_s = (caller.deadline - now) / 3
        pause_s = REPEAT_S if caller.at_once else min(decision.retry_after_s, patience_s)
        follows = not caller.at_once and decision.retry_after_s <= patience_s
        caller.told_until = now + pause_s if follows else float("inf")
        if now + pause_s + REPEAT_S < caller.deadline:
            self.at(now + pause_s, functools.partial(self.arrive, caller))

    def read_next(self, number: int, now: float) -> None:
        while self.queues[number] and not self.reading[number]:
            caller = heapq.heappop(self.queues[number])[2]
            if caller.deadline > now:
                self.reading[number] = True
                read_s = caller.kind.read_s
                self.outcome.busy[int(now)] += min(read_s, int(now) + 1 - now)
                self.outcome.busy[int(now) + 1] += max(0.0, now + read_s - int(now) - 1)
                self.at(now + read_s, functools.partial(self.begin_answer, number, caller))

    def begin_answer(self, number: int, caller: Caller, now: float) -> None:
        caller.first_s = now - caller.at
        self.engines[number].record_first_token(caller.name, now)
        self.reading[number] = False
        self.read_next(number, now)


@functools.cache
def play(
    gateways: int,
    load: float,
    greedy: bool = False,
    decide: Decide = fair_shares,
    seed: int = 1,
    spared: bool = False,
) -> Outcome:
    """An overload with callers of whom a third repeat at once.

    The load includes the greedy workspace's; where that is `spared`, it sends only its usual part,
    and the others send exactly what they send beside it.
    """
    fleet, arrivals = Fleet(gateways, decide, seed), random.Random(seed)
    weights = [GREEDY_FACTOR if greedy and name == GREEDY else 1 for name in RANKS]
    rate = len(fleet.engines) / MEAN_READ_S
    now = BEGIN_S
    while now < END_S:
        now += arrivals.expovariate(rate * (load if now < OVERLOAD_UNTIL_S else 0.8))
        workspace = arrivals.choices(list(RANKS), weights)[0]
        kind = arrivals.choices(KINDS, [kind.share for kind in KINDS])[0]
        caller = Caller(next(fleet.ids), workspace, kind, now, arrivals.random() < 1 / 3)
        if arrivals.random() * GREEDY_FACTOR < 1 or not (spared and workspace == GREEDY):
            fleet.outcome.callers.append(caller)
            fleet.at(now, functools.partial(fleet.arrive, caller))
    while fleet.events:
        when, _, event = heapq.heappop(fleet.events)
        event(when)
    return fleet.outcome._replace(returned=fleet.returned, refused_again=fleet.refused_again)


OVERLOADS = pytest.mark.parametrize("load", [1.5, 2.6])
FLEETS = pytest.mark.parametrize("gateways", ENGINES)
MAX_LOSS, MAX_REFUSED_AGAIN, MIN_BUSY, MIN_ANSWERED = 0.05, 0.05, 0.9, 0.05


def of_others(caller: Caller) -> bool:
    return caller.workspace != GREEDY


@FLEETS
def test_requests_are_refused_without_a_shortage(gateways: int) -> None:
    """Guards against refusals that a fleet with room has no reason for."""
    assert not play(gateways, 0.8).refused_at


@FLEETS
@OVERLOADS
@pytest.mark.parametrize("greedy", [False, True])
def test_urgent_requests_are_served_less_often(gateways: int, load: float, greedy: bool) -> None:
    """Guards against refusals that hit urgent requests rather than the less urgent."""
    served = play(gateways, load, greedy).served(lambda caller: caller.level)
    by_urgency = [served[level] for level in sorted(served)]
    for share, less_urgent in itertools.combinations(by_urgency, 2):
        assert share >= less_urgent - MAX_LOSS, by_urgency


@FLEETS
def test_a_class_starves(gateways: int) -> None:
    """Guards against less urgent classes of which engines never read a prompt."""
    answered = [play(gateways, 2.6).answered(level) for level in range(6)]
    assert min(answered) >= MIN_ANSWERED, answered


def test_refusals_come_late() -> None:
    """Guards against a query of keepers that holds refusals up; nothing else does."""
    assert min(kind.objective_s for kind in KINDS) / 8 >= ASK_TIMEOUT_S


@FLEETS
@OVERLOADS
def test_a_greedy_workspace_takes_from_others(gateways: int, load: float) -> None:
    """Guards against a workspace that gets room by sending nine times as much."""
    beside = play(gateways, load, greedy=True).served(of_others)[True]
    without = play(gateways, load, greedy=True, spared=True).served(of_others)[True]
    assert beside >= (1 - MAX_LOSS) * without


@FLEETS
@OVERLOADS
@pytest.mark.parametrize("greedy", [False, True])
def test_engines_are_idle_while_callers_are_refused(
    gateways: int, load: float, greedy: bool
) -> None:
    """Guards against refusing more than engines lack."""
    outcome = play(gateways, load, greedy)
    seconds = {int(at) for at in outcome.refused_at if at < OVERLOAD_UNTIL_S}
    assert seconds
    assert min(outcome.busy[second] for second in seconds) >= MIN_BUSY * ENGINES[gateways]


@FLEETS
@OVERLOADS
@pytest.mark.parametrize("greedy", [False, True])
def test_callers_that_return_as_told_are_refused_again(
    gateways: int, load: float, greedy: bool
) -> None:
    """Guards against a Retry-After after which there is no room either."""
    outcome = play(gateways, load, greedy)
    assert outcome.refused_again <= MAX_REFUSED_AGAIN * outcome.returned


@FLEETS
def test_others_lose_more_than_with_other_ways_to_share(gateways: int) -> None:
    """Guards against a way of sharing that protects others less than to admit all and order at the
    engine, or than a fixed share of each gateway."""
    served = {
        decide: play(gateways, 2.6, True, decide).served(of_others)[True]
        for decide in (admit_all, gateway_shares, fair_shares)
    }
    assert max(served, key=lambda decide: served[decide]) is fair_shares


def test_a_caller_gains_by_repeating_early() -> None:
    """Guards against a new draw at each try, which rewards callers that repeat at once."""
    rules, use, rng = FairAdmission({}), SampledUse(4, {"a": 7.0, "b": 0.5}), random.Random(1)
    shortage = Shortage(2.0, 0.0, 4, 0.0)
    told = 0
    for number in range(200):
        request = AdmissionRequest("a", 0, False, f"f{number}", 3.0, 9.0, 2.2)
        decision = rules.decide(request, shortage, use, {}, 1000.0, rng)
        if isinstance(decision, Reject):
            told += 1
            until = 1000.0 + decision.retry_after_s
            early = rules.decide(request, shortage, use, {}, until - 1.0, rng)
            assert isinstance(early, Reject)
            assert isinstance(rules.decide(request, shortage, use, {}, until, rng), Admit)
    assert told > 100


def test_old_or_missing_replies_refuse() -> None:
    """Guards against refusals by a gateway that was suspended, or that has just started."""
    room, rules = Room(), FairAdmission({})
    request = AdmissionRequest("a", 0, False, "f", 3.0, 9.0, None)
    room.observe("lm", 1, [2.9] * 4, 50.0)
    room.observe_use("lm", 4, {"a": 8.0, "b": 0.1}, 50.0)
    for now in (49.0 + 2.0, 53.0):
        shortage, use = room.shortage("lm", 1, now), room.use("lm", now)
        decision = rules.decide(request, shortage, use, {}, 1000.0, random.Random(1))
        assert isinstance(decision, Admit)
