"""Detection of fatal requests from the evidence of all gateways, with many requests in flight."""

from __future__ import annotations

import random
from typing import NamedTuple

import pytest

from ramppost.policy.fatal import (
    EVIDENCE_WAIT_S,
    FATAL_PRESENT_ENDS,
    FATAL_START_ENDS,
    FATAL_TOP_SUSPECT_ENDS,
    HARMLESS,
    HARMLESS_RUN_S,
    JUST_BEGUN,
    LONG_RUN_S,
    MAX_ANSWERED,
    MAX_ENDS,
    MAX_FATAL,
    MAX_REQUESTS_PER_END,
    RAN,
    RETENTION_S,
    STREAMED,
    WAITED,
    CrashHistory,
    evidence_level,
)
from ramppost.policy.relays import MAX_EVIDENCE_COLLECTORS, MAX_FLAT_FLEET, Peers

DATAGRAM_LOSS = 0.01


class Case(NamedTuple):
    """The evidence levels of a request, and of the requests in flight beside it, at each crash."""

    name: str
    levels: list[int]
    in_flight: list[int]
    fatal: bool


CASES = [
    Case("two crashes may be chance", [JUST_BEGUN] * 2, [], False),
    Case("just begun at three crashes", [JUST_BEGUN] * FATAL_START_ENDS, [], True),
    Case("all waited at three crashes", [WAITED] * FATAL_START_ENDS, [WAITED], False),
    Case("all waited at four crashes", [WAITED] * FATAL_TOP_SUSPECT_ENDS, [WAITED], True),
    Case("waited once, then streamed twice", [WAITED, STREAMED, STREAMED], [], False),
    Case(
        "another had just begun at three crashes", [WAITED] * FATAL_START_ENDS, [JUST_BEGUN], False
    ),
    Case(
        "streamed while another had just begun", [STREAMED] * FATAL_START_ENDS, [JUST_BEGUN], False
    ),
    Case(
        "crashes before its response head is sent", [WAITED] * FATAL_PRESENT_ENDS, [STREAMED], True
    ),
    Case("crashes engines after a long run", [RAN] * FATAL_PRESENT_ENDS, [JUST_BEGUN], True),
    Case("keeps running at each crash", [HARMLESS] * 9, [], False),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_evidence_that_makes_a_request_fatal(case: Case) -> None:
    history = CrashHistory()
    for number, level in enumerate(case.levels):
        history.record_end(f"e{number}", "it", level, float(number))
        for in_flight in case.in_flight:
            history.record_end(f"e{number}", f"other-{number}", in_flight, float(number))
    assert history.is_fatal("it", len(case.levels) + EVIDENCE_WAIT_S) == case.fatal


def test_a_crash_reported_several_times_counts_once() -> None:
    history = CrashHistory()
    for _ in range(9):
        history.record_end("e", "it", JUST_BEGUN, 0.0)
    assert not history.is_fatal("it", 1.0)


def test_weak_evidence_waits_for_reports_of_other_gateways() -> None:
    history = CrashHistory()
    for number in range(FATAL_TOP_SUSPECT_ENDS):
        history.record_end(f"e{number}", "beside", STREAMED, 0.0)
    assert not history.is_fatal("beside", 0.1)
    for number in range(FATAL_TOP_SUSPECT_ENDS):
        history.record_end(f"e{number}", "it", JUST_BEGUN, 0.2)
    assert history.is_fatal("it", 0.2)
    assert not history.is_fatal("beside", EVIDENCE_WAIT_S)


def test_an_explained_crash_does_not_count_against_other_requests() -> None:
    history = CrashHistory()
    for number in range(FATAL_START_ENDS):
        history.record_end(f"e{number}", "it", JUST_BEGUN, 0.0)
    assert history.is_fatal("it", 0.0)
    for number in range(FATAL_START_ENDS):
        history.record_end(f"e{number}", "twin", JUST_BEGUN, 0.1)
    assert not history.is_fatal("twin", EVIDENCE_WAIT_S)


def test_an_answered_request_is_harmless() -> None:
    """A popular page is in flight at every crash, but is also answered all the time."""
    history = CrashHistory()
    for number in range(20):
        history.record_end(f"e{number}", "page", JUST_BEGUN, float(number))
        history.record_end(f"f{number}", "page", JUST_BEGUN, float(number))
        history.record_answer("page", number + 0.5)
    assert not history.is_fatal("page", 20.0)
    assert history.was_answered("page", 20.0)
    assert not history.was_answered("page", 20.0 + RETENTION_S)


def test_memory_is_bounded() -> None:
    history = CrashHistory()
    for number in range(3 * MAX_ENDS):
        for under in range(MAX_REQUESTS_PER_END + 5):
            history.record_end(f"e{number}", f"r{under}-{number % 7}", WAITED, 0.0)
        history.record_end(f"e{number}", f"bad{number // FATAL_START_ENDS}", JUST_BEGUN, 0.0)
    for number in range(2 * MAX_FATAL):
        for end in range(FATAL_START_ENDS):
            history.record_end(f"x{number}-{end}", f"bad{number}", JUST_BEGUN, 1.0)
        assert history.is_fatal(f"bad{number}", 1.0)
    for number in range(2 * MAX_ANSWERED):
        history.record_answer(f"fine{number}", 1.0)
    assert len(history.fatal) <= MAX_FATAL
    assert len(history._ends) <= MAX_ENDS
    assert all(len(known) <= MAX_ANSWERED for known in history._answered.values())
    assert (
        sum(len(under) for under in history._ends_by_suspect.values())
        <= MAX_ENDS * MAX_REQUESTS_PER_END
    )
    history.record_end("late", "r", WAITED, 2 * RETENTION_S)
    assert len(history._ends) == 1


def test_evidence_level_depends_on_progress() -> None:
    assert evidence_level(0.1, 0) == JUST_BEGUN
    assert evidence_level(0.1, 3) == STREAMED
    assert evidence_level(LONG_RUN_S, 0) == RAN
    assert evidence_level(HARMLESS_RUN_S, 60) == HARMLESS
    assert evidence_level(None, 0) == WAITED


class CrashSimulation:
    """Simulates engines that crash in sequence under one request, with others in flight.

    Callers of a fleet of gateways have streams and waiting prompts at each engine.  Interrupted
    requests are resumed at the next engine, and may be in flight when it crashes, too.
    """

    def __init__(self, gateways: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.histories = [CrashHistory() for _ in range(gateways)]
        self.collectors = (
            range(gateways) if gateways <= MAX_FLAT_FLEET else range(MAX_EVIDENCE_COLLECTORS)
        )
        self.in_flight: list[str] = []
        self.ends = 0

    def end(self, now: float) -> None:
        """Crashes an engine under the request; gateways report their requests in flight there."""
        self.ends += 1
        self.report("bad", JUST_BEGUN, now)
        # Two of three requests from the last crash are in flight again, resumed or retried.
        resumed = [name for name in self.in_flight if self.rng.random() < 2 / 3]
        fresh = [f"other-{self.ends}-{number}" for number in range(20)]
        self.in_flight = resumed + fresh
        for name in self.in_flight:
            began = self.rng.random() < 0.6
            since_head_s = self.rng.expovariate(1 / 2.0) if began else None
            events = 0 if began and (since_head_s or 0.0) < 0.06 else 5
            self.report(name, evidence_level(since_head_s, events), now)

    def report(self, name: str, level: int, now: float) -> None:
        own = self.rng.randrange(len(self.histories))
        for number in {own, *self.collectors}:
            # Datagrams are sent twice, and one in a hundred is lost.
            if number == own or self.rng.random() > DATAGRAM_LOSS**2:
                self.histories[number].record_end(f"e{self.ends}", name, level, now)

    def fatal_requests(self, now: float) -> set[str]:
        """Returns the requests that any of the collectors holds to be fatal."""
        found = set()
        for number in self.collectors:
            history = self.histories[number]
            found |= {
                name for name in list(history._ends_by_suspect) if history.is_fatal(name, now)
            }
        return found


@pytest.mark.parametrize("gateways", [4, 23, 68])
def test_repeated_crashes_identify_the_fatal_request_and_no_other(gateways: int) -> None:
    """In fifty runs the third crash identifies the request, and none of 3,000 others is held."""
    for seed in range(50):
        simulation = CrashSimulation(gateways, seed)
        for number in range(FATAL_START_ENDS):
            simulation.end(0.2 * number)
        assert simulation.fatal_requests(0.2 * FATAL_START_ENDS) == {"bad"}, seed
        assert simulation.fatal_requests(0.2 * FATAL_START_ENDS + EVIDENCE_WAIT_S) == {"bad"}, seed


def test_without_all_evidence_only_strong_evidence_counts() -> None:
    """In a large fleet most gateways know only their own requests at a crash.  One that waited at
    each crashed engine then looked like the strongest suspect of all."""
    history = CrashHistory()
    for number in range(FATAL_TOP_SUSPECT_ENDS + 1):
        history.record_end(f"e{number}", "waited", WAITED, float(number))
    assert history.is_fatal("waited", 9.0, has_all_evidence=True)
    history = CrashHistory()
    for number in range(FATAL_TOP_SUSPECT_ENDS + 1):
        history.record_end(f"e{number}", "waited", WAITED, float(number))
        history.record_end(f"e{number}", "it", JUST_BEGUN, float(number))
    for number in range(FATAL_TOP_SUSPECT_ENDS + 1):
        history.record_end(f"f{number}", "waited", WAITED, float(number))
    assert history.is_fatal("it", 9.0, has_all_evidence=False)
    assert not history.is_fatal("waited", 9.0, has_all_evidence=False)


def test_evidence_collectors_have_all_evidence() -> None:
    small, first, last = Peers("g1", 100.0, "bole"), Peers("g0", 100.0, "bole"), Peers("g0")
    small.put("g2", "10.0.0.1:2", "bole", 100.0)
    assert small.has_all_evidence(0.0)
    names = [f"g{number}" for number in range(1, 68)]
    for name in names:
        last.put(name, "10.0.0.1:1", "bole", 100.0)
    assert not last.has_all_evidence(0.0)
    for name in names:
        first.put(name, "10.0.0.1:1", "bole", 10.0)
    assert first.has_all_evidence(0.0)


def test_a_large_fleet_reports_to_few_collectors() -> None:
    peers = Peers("g0", 100.0, "bole")
    for number in range(1, 410):
        peers.put(f"g{number}", f"10.0.0.1:{number}", "bole", 100.0)
    assert len(peers.evidence_collectors(0.0)) == MAX_EVIDENCE_COLLECTORS
    first = peers.evidence_collectors(0.0)[0]
    peers.record_call(first, False, 0.0)
    assert first not in peers.evidence_collectors(0.1)


def test_gateway_that_was_passed_over_was_told_no_evidence() -> None:
    # Others reached it, and judged nothing as they took it for the one that does.
    peers = Peers("g0", 100.0, "bole")
    for number in range(1, 410):
        peers.put(f"g{number}", f"10.0.0.1:{number}", "bole", 100.0)
    first, *others = peers.evidence_collectors(0.0)
    peers.record_call(first, False, 0.0)
    receivers = peers.evidence_receivers(0.1)
    assert {first, *others} < set(receivers)
    assert len(receivers) <= 2 * MAX_EVIDENCE_COLLECTORS
