"""Who is held to end upstreams, by the word of all gateways, where many requests are beside it."""

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
    MAX_ENDS,
    MAX_FATAL,
    MAX_HARMLESS,
    MAX_REQUESTS_PER_END,
    RAN,
    RETENTION_S,
    STREAMED,
    WAITED,
    CrashHistory,
    evidence_level,
)
from ramppost.policy.relays import MAX_EVIDENCE_COLLECTORS, MAX_FLAT_FLEET, Peers

LOST = 0.01


class Case(NamedTuple):
    """What speaks against a request at each end, beside a stronger suspect or not."""

    what: str
    signs: list[int]
    beside: list[int]
    fatal: bool


CASES = [
    Case("twice may be chance", [JUST_BEGUN] * 2, [], False),
    Case("three times just begun", [JUST_BEGUN] * FATAL_START_ENDS, [], True),
    Case("three times all waited", [WAITED] * FATAL_START_ENDS, [WAITED], False),
    Case("four times all waited", [WAITED] * FATAL_TOP_SUSPECT_ENDS, [WAITED], True),
    Case("waited, then streamed twice", [WAITED, STREAMED, STREAMED], [], False),
    Case("three times one had just begun", [WAITED] * FATAL_START_ENDS, [JUST_BEGUN], False),
    Case("streamed beside one just begun", [STREAMED] * FATAL_START_ENDS, [JUST_BEGUN], False),
    Case("its head never comes out", [WAITED] * FATAL_PRESENT_ENDS, [STREAMED], True),
    Case("it ends them slowly", [RAN] * FATAL_PRESENT_ENDS, [JUST_BEGUN], True),
    Case("it runs on each time", [HARMLESS] * 9, [], False),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.what)
def test_what_makes_it_certain(case: Case) -> None:
    docket = CrashHistory()
    for number, sign in enumerate(case.signs):
        docket.record_end(f"e{number}", "it", sign, float(number))
        for beside in case.beside:
            docket.record_end(f"e{number}", f"other-{number}", beside, float(number))
    assert docket.is_fatal("it", len(case.signs) + EVIDENCE_WAIT_S) == case.fatal


def test_one_end_told_by_several_counts_once() -> None:
    docket = CrashHistory()
    for _ in range(9):
        docket.record_end("e", "it", JUST_BEGUN, 0.0)
    assert not docket.is_fatal("it", 1.0)


def test_a_weak_suspicion_awaits_the_word_of_others() -> None:
    docket = CrashHistory()
    for number in range(FATAL_TOP_SUSPECT_ENDS):
        docket.record_end(f"e{number}", "beside", STREAMED, 0.0)
    assert not docket.is_fatal("beside", 0.1)
    for number in range(FATAL_TOP_SUSPECT_ENDS):
        docket.record_end(f"e{number}", "it", JUST_BEGUN, 0.2)
    assert docket.is_fatal("it", 0.2)
    assert not docket.is_fatal("beside", EVIDENCE_WAIT_S)


def test_an_end_that_is_explained_counts_against_nobody_else() -> None:
    docket = CrashHistory()
    for number in range(FATAL_START_ENDS):
        docket.record_end(f"e{number}", "it", JUST_BEGUN, 0.0)
    assert docket.is_fatal("it", 0.0)
    for number in range(FATAL_START_ENDS):
        docket.record_end(f"e{number}", "twin", JUST_BEGUN, 0.1)
    assert not docket.is_fatal("twin", EVIDENCE_WAIT_S)


def test_whoever_is_answered_is_harmless() -> None:
    """A page that many ask for is in flight at every end, and answered all the time."""
    docket = CrashHistory()
    for number in range(20):
        docket.record_end(f"e{number}", "page", JUST_BEGUN, float(number))
        docket.record_end(f"f{number}", "page", JUST_BEGUN, float(number))
        docket.record_answer("page", number + 0.5)
    assert not docket.is_fatal("page", 20.0)
    assert docket.is_harmless("page", 20.0)
    assert not docket.is_harmless("page", 20.0 + RETENTION_S)


def test_what_is_kept_is_bounded() -> None:
    docket = CrashHistory()
    for number in range(3 * MAX_ENDS):
        for under in range(MAX_REQUESTS_PER_END + 5):
            docket.record_end(f"e{number}", f"r{under}-{number % 7}", WAITED, 0.0)
        docket.record_end(f"e{number}", f"bad{number // FATAL_START_ENDS}", JUST_BEGUN, 0.0)
    for number in range(2 * MAX_FATAL):
        for end in range(FATAL_START_ENDS):
            docket.record_end(f"x{number}-{end}", f"bad{number}", JUST_BEGUN, 1.0)
        assert docket.is_fatal(f"bad{number}", 1.0)
    for number in range(2 * MAX_HARMLESS):
        docket.record_answer(f"fine{number}", 1.0)
    assert len(docket.fatal) <= MAX_FATAL
    assert len(docket._ends) <= MAX_ENDS
    assert len(docket._harmless) <= MAX_HARMLESS
    assert (
        sum(len(under) for under in docket._ends_by_request.values())
        <= MAX_ENDS * MAX_REQUESTS_PER_END
    )
    docket.record_end("late", "r", WAITED, 2 * RETENTION_S)
    assert len(docket._ends) == 1


def test_how_far_it_had_come_decides() -> None:
    assert evidence_level(0.1, 0) == JUST_BEGUN
    assert evidence_level(0.1, 3) == STREAMED
    assert evidence_level(LONG_RUN_S, 0) == RAN
    assert evidence_level(HARMLESS_RUN_S, 60) == HARMLESS
    assert evidence_level(None, 0) == WAITED


class Storm:
    """Engines that end one after the other under one request, with others beside it.

    Callers of a fleet of gateways have streams and waiting prompts at each engine.  What breaks
    off is taken up at the next engine, and may be there as that ends, too.
    """

    def __init__(self, gateways: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.dockets = [CrashHistory() for _ in range(gateways)]
        self.judges = (
            range(gateways) if gateways <= MAX_FLAT_FLEET else range(MAX_EVIDENCE_COLLECTORS)
        )
        self.beside: list[str] = []
        self.ends = 0

    def end(self, now: float) -> None:
        """An engine ends under the request, and each gateway tells of what it had there."""
        self.ends += 1
        self.tell("bad", JUST_BEGUN, now)
        # Two of three that were beside it are there again, taken up or sent again.
        again = [name for name in self.beside if self.rng.random() < 2 / 3]
        fresh = [f"other-{self.ends}-{number}" for number in range(20)]
        self.beside = again + fresh
        for name in self.beside:
            began = self.rng.random() < 0.6
            since_head_s = self.rng.expovariate(1 / 2.0) if began else None
            events = 0 if began and (since_head_s or 0.0) < 0.06 else 5
            self.tell(name, evidence_level(since_head_s, events), now)

    def tell(self, name: str, sign: int, now: float) -> None:
        own = self.rng.randrange(len(self.dockets))
        for number in {own, *self.judges}:
            # Datagrams are sent twice, and one in a hundred is lost.
            if number == own or self.rng.random() > LOST**2:
                self.dockets[number].record_end(f"e{self.ends}", name, sign, now)

    def held(self, now: float) -> set[str]:
        """What any of those who judge holds to be fatal."""
        found = set()
        for number in self.judges:
            docket = self.dockets[number]
            found |= {name for name in list(docket._ends_by_request) if docket.is_fatal(name, now)}
        return found


@pytest.mark.parametrize("gateways", [4, 23, 68])
def test_a_storm_holds_the_one_request_and_nobody_beside_it(gateways: int) -> None:
    """Fifty storms: the third end makes it certain, and of 3,000 others none is held."""
    for seed in range(50):
        storm = Storm(gateways, seed)
        for number in range(FATAL_START_ENDS):
            storm.end(0.2 * number)
        assert storm.held(0.2 * FATAL_START_ENDS) == {"bad"}, seed
        assert storm.held(0.2 * FATAL_START_ENDS + EVIDENCE_WAIT_S) == {"bad"}, seed


def test_whoever_does_not_hear_all_goes_by_strong_suspicions_only() -> None:
    """In a large fleet most gateways know only what they had there themselves: a request of theirs
    that waited at each engine that ended seemed the strongest suspect of all."""
    docket = CrashHistory()
    for number in range(FATAL_TOP_SUSPECT_ENDS + 1):
        docket.record_end(f"e{number}", "waited", WAITED, float(number))
    assert docket.is_fatal("waited", 9.0, has_all_evidence=True)
    docket = CrashHistory()
    for number in range(FATAL_TOP_SUSPECT_ENDS + 1):
        docket.record_end(f"e{number}", "waited", WAITED, float(number))
        docket.record_end(f"e{number}", "it", JUST_BEGUN, float(number))
    for number in range(FATAL_TOP_SUSPECT_ENDS + 1):
        docket.record_end(f"f{number}", "waited", WAITED, float(number))
    assert docket.is_fatal("it", 9.0, has_all_evidence=False)
    assert not docket.is_fatal("waited", 9.0, has_all_evidence=False)


def test_those_who_are_told_hear_all() -> None:
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


def test_a_large_fleet_tells_few() -> None:
    peers = Peers("g0", 100.0, "bole")
    for number in range(1, 410):
        peers.put(f"g{number}", f"10.0.0.1:{number}", "bole", 100.0)
    assert len(peers.evidence_collectors(0.0)) == MAX_EVIDENCE_COLLECTORS
    first = peers.evidence_collectors(0.0)[0]
    peers.record_call(first, False, 0.0)
    assert first not in peers.evidence_collectors(0.1)
