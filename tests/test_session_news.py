"""All gateways know which version a session runs on, in a simulated fleet."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Awaitable, Callable, Iterable, Iterator
from functools import partial
from typing import Any

import curio
import pytest

from ramppost import clock
from ramppost.gateway import session_news
from ramppost.gateway.datagrams import Address
from ramppost.gateway.model import RolloutOrder, Upstream
from ramppost.gateway.rollouts import PlacedRequest
from ramppost.gateway.session_version import learn_session
from ramppost.gateway.state import Gateway
from ramppost.policy.fingerprint import session_label
from ramppost.policy.keepers import session_keepers, session_ring
from ramppost.policy.ramp import is_early
from ramppost.policy.session_pins import MAX_SESSIONS, KeptSessions, SessionKey, SessionPins
from ramppost.schema.messages import PeerDatagram
from tests.test_warmup import gateway

SESSION_S = 5.0
DURATION_S = 40.0
ENGINES = [
    Upstream(f"{version}-{i}", "10.0.0.1:80", "lm", "bole", version, 64, False)
    for version in ("v1", "v2")
    for i in range(2)
]


class Fleet:
    """Gateways in simulated time; `lost` is the share of datagrams that don't arrive."""

    def __init__(self, size: int, monkeypatch: pytest.MonkeyPatch, lost: float = 0.0) -> None:
        self.size, self.lost, self.now = size, lost, 1000.0
        self.rng = random.Random(5)
        self.datagrams = 0
        self.unreachable: set[int] = set()
        self._waiting: deque[tuple[int, PeerDatagram, Address]] = deque()
        self._monkeypatch = monkeypatch
        monkeypatch.setattr(clock, "now", lambda: self.now)
        monkeypatch.setattr(session_news, "ASK_TIMEOUT_S", 0.02)
        self.gateways = [self._start(number) for number in range(size)]
        self.now += 2 * SESSION_S
        self.ordered_at = self.now + 6.0

    def _start(self, number: int) -> Gateway:
        gw = gateway(f"g-{number}", self.size, 0.0)
        gw.sessions.pins.session_s = SESSION_S
        gw.peers.halls = {f"g-{other}": f"hall-{other % 3}" for other in range(self.size)}
        own = ("10.0.1.1", number + 1)
        self._monkeypatch.setattr(gw.datagrams, "send", partial(self._send, own))
        return gw

    def restart(self, number: int) -> None:
        """Let a gateway end as planned and start again."""
        self.gateways[number].sessions.hand_over()
        self.kill(number)

    def kill(self, number: int) -> None:
        """Let a gateway end at once and start again."""
        self.gateways[number] = self._start(number)
        if self.now >= self.ordered_at:
            self.order([number])

    def _send(self, sender: Address, receiver: Address, msg: PeerDatagram) -> None:
        self.datagrams += 1
        if self.rng.random() >= self.lost and receiver[1] - 1 not in self.unreachable:
            self._waiting.append((receiver[1] - 1, msg, sender))

    async def deliver(self) -> None:
        """Deliver what was sent, and what is sent meanwhile."""
        while self._waiting:
            number, msg, sender = self._waiting.popleft()
            gw = self.gateways[number]
            if "rollout" in msg:
                gw.rollout_news.handle_datagram(msg["rollout"], sender)
            else:
                await gw.sessions.handle_datagram(msg, sender)

    async def while_delivering(self, work: Callable[[], Awaitable[Any]]) -> Any:
        """Do something that waits for answers of other gateways."""
        task = await curio.spawn(work)
        while not task.terminated:
            await self.deliver()
            await curio.sleep(0)
        await self.deliver()
        return await task.join()

    async def version_of(self, number: int, session: str) -> str:
        """Let a gateway begin a request of a session; gives the version that it runs on."""
        gw = self.gateways[number]
        job = FakeJob(session, self.now + 1)
        await self.while_delivering(lambda: learn_session(gw, job, "lm"))  # type: ignore[arg-type]
        req = PlacedRequest("r", job.session_label, job.session_version, job.session_is_new)
        version = gw.rollouts.eligible_upstreams("lm", ENGINES, req, self.now).preferred[0].version
        gw.sessions.begin("lm", session)
        gw.sessions.assign("lm", session, version, job.deadline)
        await self.deliver()
        return version

    async def end(self, number: int, session: str) -> None:
        """Let a request end."""
        self.gateways[number].sessions.end("lm", session)
        await self.deliver()

    def order(self, numbers: Iterable[int]) -> None:
        """Let gateways see the order of a roll-out."""
        for number in numbers:
            order = RolloutOrder("lm", "v2", DURATION_S, "ordered", 7)
            self.gateways[number].rollouts.update(order, self.now)


class FakeJob:
    """What is asked of a job in `learn_session`."""

    def __init__(self, session: str, deadline: float) -> None:
        self.req = self
        self.session = session
        self.session_label = session_label(session)
        self.session_version = ""
        self.session_is_new = False
        self.deadline = deadline


def early_names() -> Iterator[str]:
    for number in range(10**6):
        if is_early("lm", session_label(f"s{number}")):
            yield f"s{number}"


async def course(fleet: Fleet, disturb: Callable[[int], None], moves_any: bool = True) -> list[str]:
    """Sessions that each go on at random gateways while a version is rolled out, of which some
    gateways hear late; gives what was moved in the first half, or back."""
    names = early_names()
    under_way: list[tuple[str, str]] = []
    found = []
    on_new = 0
    for step in range(60):
        fleet.now += 0.5
        elapsed_s = fleet.now - fleet.ordered_at
        if elapsed_s == 0.0:
            fleet.order(range(0, fleet.size, 2))
        if elapsed_s == 1.5:
            fleet.order(range(1, fleet.size, 2))
        if elapsed_s > 0:
            for gw in fleet.gateways:
                gw.sessions.tell_all()
        await fleet.deliver()
        disturb(step)
        await fleet.deliver()
        still = []
        for session, before in [*under_way, *((next(names), "") for _ in range(3))]:
            number = fleet.rng.randrange(fleet.size)
            version = await fleet.version_of(number, session)
            on_new += version == "v2" and elapsed_s < DURATION_S / 2
            if before and version != before and elapsed_s < DURATION_S / 2:
                found.append(f"{session}: {before}, {version} at {number}, {elapsed_s} s")
            await fleet.end(number, session)
            if fleet.rng.random() < 0.9:
                still.append((session, version))
        under_way = still
    assert on_new or not moves_any, "no new session has reached the new version"
    return found


@pytest.mark.parametrize(("size", "lost"), [(1, 0.0), (4, 0.0), (4, 0.02), (68, 0.02), (400, 0.0)])
def test_session_was_moved_between_gateways(
    size: int, lost: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet = Fleet(size, monkeypatch, lost)
    assert curio.run(course, fleet, lambda step: None) == []


@pytest.mark.parametrize("size", [4, 68])
def test_session_was_moved_as_gateways_restarted_in_series(
    size: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet = Fleet(size, monkeypatch)

    def disturb(step: int) -> None:
        if step % 3 == 0:
            fleet.restart(step // 3 % size)

    # Of four that all restart within a session, none can be certain that one is new.
    assert curio.run(course, fleet, disturb, size > 4) == []


def test_session_was_moved_as_one_of_its_keepers_was_killed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = Fleet(6, monkeypatch)

    def disturb(step: int) -> None:
        if step in (10, 25, 40):
            fleet.kill(fleet.rng.randrange(6))

    assert curio.run(course, fleet, disturb) == []


def test_sessions_cost_a_few_datagrams_whatever_the_size(monkeypatch: pytest.MonkeyPatch) -> None:
    async def count(size: int) -> int:
        fleet = Fleet(size, monkeypatch)
        names = early_names()
        for number in range(40):
            session = next(names)
            await fleet.version_of(number % size, session)
            await fleet.end(number % size, session)
        return fleet.datagrams

    assert curio.run(count, 68) <= 40 * 4
    assert curio.run(count, 400) <= 40 * 4


async def is_new(fleet: Fleet, number: int, session: str = "s") -> bool:
    """Whether a gateway finds a session to be new."""
    gw = fleet.gateways[number]
    result = await fleet.while_delivering(lambda: gw.sessions.learn("lm", session))
    return bool(result.is_new)


def test_session_was_taken_for_new_as_gateways_had_just_started(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = Fleet(4, monkeypatch)
    assert curio.run(is_new, fleet, 0)
    for number in range(4):
        fleet.kill(number)
    assert not curio.run(is_new, fleet, 0)
    fleet.now += 2 * SESSION_S
    assert curio.run(is_new, fleet, 0)


def test_session_was_taken_for_new_as_its_keepers_did_not_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = Fleet(6, monkeypatch)
    peers = fleet.gateways[0].peers
    keepers = session_keepers(session_label("s"), session_ring(peers.names), peers.halls, ())
    fleet.unreachable = {int(name.removeprefix("g-")) for name in keepers}
    asking = next(number for number in range(6) if number not in fleet.unreachable)
    assert [curio.run(is_new, fleet, asking) for _ in range(4)] == [False] * 4
    fleet.unreachable.pop()
    fleet.now += 3.0
    assert curio.run(is_new, fleet, asking)


def test_session_went_to_and_fro_between_gateways_that_disagreed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def versions(fleet: Fleet) -> list[str]:
        for number, version in ((0, "v1"), (1, "v2")):
            fleet.gateways[number].sessions.begin("lm", session)
            fleet.gateways[number].sessions.assign("lm", session, version, fleet.now)
            await fleet.end(number, session)
        fleet.order(range(4))
        fleet.now += DURATION_S / 4
        return [await fleet.version_of(number % 2, session) for number in range(6)]

    fleet, session = Fleet(4, monkeypatch), next(early_names())
    for gw in fleet.gateways:
        gw.sessions.pins.session_s = DURATION_S
    assert curio.run(versions, fleet) == ["v2"] * 6


def test_all_count_from_the_first_that_saw_the_order(monkeypatch: pytest.MonkeyPatch) -> None:
    fleet = Fleet(68, monkeypatch, lost=0.02)
    for number in range(68):
        fleet.order([number])
        fleet.now += 0.05
    curio.run(fleet.deliver)
    starts = []
    for gw in fleet.gateways:
        rollout = gw.rollouts.get("lm")
        assert rollout is not None
        starts.append(rollout.started_at)
    assert max(starts) - min(starts) <= 0.1


def test_sessions_take_bounded_memory() -> None:
    pins, kept = SessionPins(SESSION_S), KeptSessions()
    for number in range(MAX_SESSIONS + 10):
        key = SessionKey("lm", str(number))
        pins.begin(key, 0.0)
        pins.assign(key, "v1", 0.0)
        kept.record(key, "v1", 5.0, False, 0.0)
    assert len(list(pins.in_progress(1.0))) == MAX_SESSIONS
    assert len(list(kept.in_progress(1.0))) == MAX_SESSIONS
