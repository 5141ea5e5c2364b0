"""Blame of a part of prompts from the evidence of all gateways, with sound prompts beside it."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterator
from typing import NamedTuple

import curio
import pytest

from ramppost.gateway.datagrams import MAX_DATAGRAM_BYTES
from ramppost.gateway.fatal import FatalRequests
from ramppost.gateway.metrics import Metrics
from ramppost.policy.fatal import (
    ANSWERED_WAIT_S,
    EVIDENCE_WAIT_S,
    FATAL_PRESENT_ENDS,
    FATAL_START_ENDS,
    JUST_BEGUN,
    MAX_ANSWERED,
    MAX_ENDS,
    MAX_PARTS_PER_END,
    RAN,
    STREAMED,
    WAITED,
    CrashHistory,
)
from ramppost.policy.relays import Peers
from ramppost.schema.messages import FatalRequest, PeerDatagram
from ramppost.wire.codec import decode, encode

SHARED, BAD, FINE = "part:aa", "part:bad0", "part:cc"
REPORT_S = 0.3
"""Within this reports have been sent and received."""
OWN_PARTS = 40
VERDICT_S = EVIDENCE_WAIT_S + 0.4


def held(history: CrashHistory, now: float) -> list[set[str]]:
    """The groups of parts that are fatal by then."""
    history.find_fatal_parts(now)
    return [set(parts) for parts in history.fatal_parts.values()]


@pytest.mark.parametrize("level", [JUST_BEGUN, WAITED])
def test_a_part_was_not_found_beside_sound_prompts_that_share_the_others(level: int) -> None:
    """Engines end at once when they begin it, or before their response head."""
    for seed in range(50):
        rng, history = random.Random(seed), CrashHistory()
        for number in range(OWN_PARTS):
            history.record_answer(f"part:own{number}", -1.0)
        ends = FATAL_START_ENDS if level == JUST_BEGUN else FATAL_PRESENT_ENDS
        for number in range(ends):
            now, engine = 0.3 * number, f"e{number}"
            history.record_end(engine, f"bad{number}", level, now, (SHARED, BAD, FINE))
            for sound in range(20):
                lived = rng.choice((WAITED, STREAMED, JUST_BEGUN, RAN))
                parts = (SHARED, FINE, f"part:own{rng.randrange(OWN_PARTS)}")
                history.record_end(engine, f"s{number}-{sound}", lived, now, parts)
        now = 0.3 * ends + EVIDENCE_WAIT_S
        groups = held(history, now)
        assert any(BAD in group for group in groups), seed
        sound_parts = {SHARED, FINE, *(f"part:own{number}" for number in range(OWN_PARTS))}
        assert not any(group <= sound_parts for group in groups), seed
        for number in range(ends):
            assert not any(history.is_fatal(f"s{number}-{sound}", now) for sound in range(20))


class Series(NamedTuple):
    """Engines that end for another reason under prompts that all share a part."""

    title: str
    interval_s: float
    level: int
    survived: bool
    """Whether each engine had run prompts with the part before."""
    answered: bool
    """Whether other engines answer such prompts meanwhile."""


@pytest.mark.parametrize(
    "case",
    [
        Series("all at once", 0.0, JUST_BEGUN, survived=True, answered=False),
        Series("one after the other", 0.5, JUST_BEGUN, survived=True, answered=False),
        Series("just started", 0.4, JUST_BEGUN, survived=False, answered=True),
        Series("waiting", 0.2, WAITED, survived=False, answered=True),
        Series("streaming", 0.2, STREAMED, survived=True, answered=False),
    ],
    ids=lambda case: case.title,
)
def test_a_part_of_all_prompts_was_blamed_for_other_ends(case: Series) -> None:
    history = CrashHistory()
    history.record_answer(SHARED, -1.0)
    for number in range(12):
        now = case.interval_s * number
        for request in range(3):
            history.record_end(
                f"e{number}", f"r{number}-{request}", case.level, now, (SHARED, f"part:y{request}")
            )
        if case.survived:
            history.record_survived(f"e{number}", [SHARED, *(f"part:y{r}" for r in range(3))])
        if case.answered:
            for part in (SHARED, *(f"part:y{r}" for r in range(3))):
                history.record_answer(part, now + 0.1, now + 0.05)
        assert held(history, now + 0.2) == []
    assert held(history, 12 * case.interval_s + 2 * ANSWERED_WAIT_S) == []


def test_parts_that_come_together_were_blamed_alone() -> None:
    """Only a prompt that holds both is refused, until more is known."""
    history = CrashHistory()
    for number in range(FATAL_START_ENDS):
        history.record_end(f"e{number}", f"r{number}", JUST_BEGUN, 0.0, (BAD, FINE))
    assert held(history, EVIDENCE_WAIT_S) == [{BAD, FINE}]
    assert not history.record_answer(FINE, 3.0, -9.0)
    assert held(history, 3.0) == [{BAD, FINE}]
    assert history.record_answer(FINE, 3.0, 2.0)
    assert held(history, 3.0) == [{BAD}]


def test_an_earlier_version_answered_for_a_part_that_a_new_one_ends_under() -> None:
    history = CrashHistory()
    for number in range(FATAL_START_ENDS):
        history.record_answer(BAD, 0.1 * number, version="v1")
        history.record_end(
            f"e{number}", f"r{number}", JUST_BEGUN, 0.1 * number, (BAD,), version="v2"
        )
    history.record_answer(BAD, 1.0, version="v1")
    assert held(history, EVIDENCE_WAIT_S + 0.3) == []
    assert held(history, ANSWERED_WAIT_S + 0.3) == [{BAD}]
    history.record_answer(BAD, 2.0, version="v2")
    assert held(history, 2.0) == []


def test_a_sound_request_whose_retries_met_fatal_ones_was_blamed() -> None:
    history = CrashHistory()
    for number in range(FATAL_START_ENDS):
        history.record_end(f"e{number}", "sound", JUST_BEGUN, 0.1 * number, (SHARED,))
        assert not history.is_fatal("sound", 0.1 * number)
        history.record_end(f"e{number}", f"bad{number}", JUST_BEGUN, 0.1 * number, (SHARED, BAD))
    assert held(history, 1.0) == [{SHARED, BAD}]
    assert not history.is_fatal("sound", 9.0)


def test_memory_grew_with_the_number_of_parts() -> None:
    history = CrashHistory()
    for number in range(2 * MAX_ENDS):
        parts = [f"part:{number}-{part}" for part in range(MAX_PARTS_PER_END + 9)]
        history.record_end(f"e{number}", f"r{number}", JUST_BEGUN, 0.0, parts)
        history.record_survived(f"e{number}", parts)
    for number in range(2 * MAX_ANSWERED):
        history.record_answer(f"part:{number}", 0.0)
    assert len(history._ends) <= MAX_ENDS
    assert all(len(end.excused) <= MAX_PARTS_PER_END for end in history._ends.values())
    assert all(len(known) <= MAX_ANSWERED for known in history._answered.values())
    assert sum(map(len, history._ends_by_suspect.values())) <= MAX_ENDS * (MAX_PARTS_PER_END + 1)


# --- gateways that exchange datagrams


class Fleet:
    """Gateways, by the address to which others send; those that are cut off hear nothing."""

    def __init__(self, size: int) -> None:
        self.names = [f"g{number}" for number in range(size)]
        self.gateways = {self._addr(name): self._start(name) for name in self.names}
        self.cut_off: set[str] = set()
        self.sent_bytes: list[int] = []
        self._queue: list[tuple[str, bytes]] = []

    def __iter__(self) -> Iterator[FatalRequests]:
        return iter(self.gateways.values())

    def __getitem__(self, number: int) -> FatalRequests:
        return self.gateways[self._addr(self.names[number])]

    def send(self, addr: tuple[str, int], msg: PeerDatagram) -> None:
        """Send a datagram, as `ramppost.gateway.datagrams.Datagrams` does."""
        data = encode(msg)
        self.sent_bytes.append(len(data))
        self._queue.append((f"{addr[0]}:{addr[1]}", data))

    async def run(self, seconds: float) -> None:
        """Let gateways exchange datagrams for some time."""
        tasks = [await curio.spawn(method) for g in self for method in (g.send_ends, g.judge)]
        tasks.append(await curio.spawn(self._deliver))
        await curio.sleep(seconds)
        for task in tasks:
            await task.cancel()

    def restart(self, number: int) -> None:
        name = self.names[number]
        self.gateways[self._addr(name)] = self._start(name)

    async def _deliver(self) -> None:
        while True:
            queue, self._queue = self._queue, []
            for addr, data in queue:
                if addr not in self.cut_off:
                    msg = decode(data, PeerDatagram)
                    await self.gateways[addr].handle_datagram(msg)  # type: ignore[arg-type]
            await curio.sleep(0.01)

    def _start(self, name: str) -> FatalRequests:
        peers = Peers(name, 100.0, "bole")
        for other in self.names:
            peers.put(other, self._addr(other), "bole", 100.0)
        return FatalRequests(peers, self, Metrics())  # type: ignore[arg-type]

    def _addr(self, name: str) -> str:
        return f"10.0.0.1:{int(name[1:]) + 1}"


def refusing(fleet: Fleet, parts: Collection[str]) -> int:
    """How many gateways refuse prompts with these parts."""
    return sum(gateway.is_fatal("new", parts) for gateway in fleet)


async def end_engines(fleet: Fleet, count: int, parts: Collection[str], name: str = "e") -> None:
    """Let engines end under different requests at different gateways, beside sound ones."""
    for number in range(count):
        gateways = random.Random(number).sample(fleet.names, 4)
        own = [fleet.gateways[fleet._addr(gateway)] for gateway in gateways]
        engine = f"{name}{number}"
        await own[0].record_end(engine, f"{name}-r{number}", JUST_BEGUN, parts=parts)
        for gateway in own[1:]:
            gateway.record_survival(engine, "v1", [SHARED, FINE], 0.0)
            await gateway.record_end(engine, f"s{number}", STREAMED, parts=[SHARED, FINE])


@pytest.mark.parametrize("size", [4, 23, 400])
def test_other_gateways_sent_requests_with_a_fatal_part(size: int) -> None:
    """All know it within a second, without the store; one that was cut off or restarted, too."""
    fleet = Fleet(size)

    async def play() -> None:
        fleet.cut_off = {list(fleet.gateways)[1]}
        await end_engines(fleet, FATAL_START_ENDS, [SHARED, BAD, FINE])
        await fleet.run(VERDICT_S)
        assert refusing(fleet, [SHARED, BAD, FINE, "part:new"]) >= size - 1
        assert refusing(fleet, [SHARED, FINE]) == 0
        fleet.cut_off = set()
        fleet.restart(2)
        await fleet.run(2.5)
        assert refusing(fleet, [SHARED, BAD, FINE]) == size

    curio.run(play)


@pytest.mark.parametrize("size", [4, 23])
def test_engines_that_end_for_other_reasons_made_all_gateways_refuse(size: int) -> None:
    """One gateway had sent each engine its first prompts; others know that it has run such."""
    fleet = Fleet(size)

    async def play() -> None:
        for number in range(8):
            fleet[number % size].record_survival(f"e{number}", "v1", [SHARED], 0.0)
        await end_engines(fleet, 8, [SHARED])
        await fleet.run(ANSWERED_WAIT_S + VERDICT_S)
        assert refusing(fleet, [SHARED, FINE]) == 0

    curio.run(play)


def test_a_part_was_refused_after_the_operator_had_lifted_it() -> None:
    fleet = Fleet(4)

    async def play() -> None:
        await end_engines(fleet, FATAL_START_ENDS, [BAD])
        await end_engines(fleet, FATAL_START_ENDS, ["part:other"], "f")
        await fleet.run(VERDICT_S)
        document: list[FatalRequest] = list(fleet[0].unpublished.values())
        assert {found["fingerprint"] for found in document if found["certain"]} >= {BAD}
        for gateway in fleet:
            gateway.apply_document(document)
        remaining = [found for found in document if found["fingerprint"] != BAD]
        for gateway in fleet:
            gateway.apply_document(remaining)
        await fleet.run(REPORT_S)
        assert refusing(fleet, [BAD]) == 0
        assert refusing(fleet, ["part:other"]) == 4

    curio.run(play)


def test_datagrams_grew_with_the_number_of_parts() -> None:
    fleet = Fleet(4)

    async def play() -> None:
        for request in range(60):
            parts = [f"part:{'x' * 28}{request}-{part}" for part in range(1000)]
            await fleet[0].record_end("e", f"r{request}", JUST_BEGUN, parts=parts)
        await fleet.run(REPORT_S)

    curio.run(play)
    assert max(fleet.sent_bytes) <= MAX_DATAGRAM_BYTES
    assert sum(fleet.sent_bytes) <= 3 * 2 * 4 * MAX_DATAGRAM_BYTES


def test_a_report_of_a_gateway_of_the_version_before_was_not_understood() -> None:
    fleet = Fleet(4)
    under = [{"fingerprint": "it", "sign": JUST_BEGUN}]

    async def play() -> None:
        for number in range(FATAL_START_ENDS):
            note = {"upstream": f"e{number}", "gone": True, "under": under}
            msg = decode(encode({"ended": note}), PeerDatagram)
            await fleet[0].handle_datagram(msg)  # type: ignore[arg-type]

    curio.run(play)
    assert fleet[0].is_fatal("it")
