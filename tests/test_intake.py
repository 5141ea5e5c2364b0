"""What clients may make a process hold: who gets memory, who waits, and who is given up."""

from __future__ import annotations

from typing import Any, Final

import curio
import pytest

from ramppost.wire import intake as module
from ramppost.wire.intake import ClientSlot, Intake, IntakeLimits, intake_limits

MIB: Final = 1 << 20
LIMITS: Final = IntakeLimits(3, 40_000, 10 * MIB, MIB)
SMALLEST_FRONTS: Final = [(88, 3075), (128, 4100), (136, 3075), (150, 4100)]


class Socket:
    """Notes that it was cut."""

    def __init__(self) -> None:
        self._socket = self
        self.was_cut = False

    def shutdown(self, how: int) -> None:
        self.was_cut = True


def opened(intake: Intake, count: int) -> list[ClientSlot]:
    return [intake.open(Socket()) for _ in range(count)]


def completed(slot: ClientSlot, status: int = 200) -> ClientSlot:
    slot.begin()
    slot.complete()
    slot.end(status)
    return slot


@pytest.mark.parametrize(("memory_mb", "open_files"), SMALLEST_FRONTS)
def test_limits_took_more_than_the_smallest_fronts_have(memory_mb: int, open_files: int) -> None:
    limits = intake_limits(memory_mb, open_files)
    held = limits.small_bytes + limits.large_bytes + 2 * limits.answer_bytes
    held += limits.connections * module.CONNECTION_BYTES
    assert held + module.RESTING_MB * MIB <= memory_mb * MIB
    assert limits.connections < open_files - module.FILES
    assert limits.large_bytes > 2 * 4 * MIB


def test_single_request_got_no_memory_as_it_was_larger_than_all_that_is_kept() -> None:
    intake = Intake(LIMITS)

    async def played() -> None:
        first, second = opened(intake, 2)
        assert await first.reserve(64 * MIB)
        first.complete()
        assert not await second.reserve(MIB)
        first.end(200)
        assert await second.reserve(MIB)
        second.end(200)
        assert intake.large_bytes == 0

    curio.run(played)


def test_large_requests_overtook_one_that_waited() -> None:
    intake = Intake(LIMITS._replace(small_bytes=MIB))
    got: list[int] = []

    async def ask(slot: ClientSlot, number: int, count: int) -> None:
        assert await slot.reserve(count)
        got.append(number)
        slot.complete()
        await curio.sleep(0.05)
        slot.end(200)

    async def played() -> None:
        counts = [6, 8, 2, 2]
        async with curio.TaskGroup() as group:
            for number, slot in enumerate(opened(intake, len(counts))):
                await group.spawn(ask, slot, number, counts[number] * MIB)
        assert got == [0, 1, 2, 3]

    curio.run(played)


def test_body_that_came_slowly_held_up_others() -> None:
    intake = Intake(LIMITS)

    async def played() -> None:
        slow, quick, other = opened(intake, 3)
        assert await slow.reserve(5 * MIB)
        assert await quick.reserve(5 * MIB)
        quick.received_bytes = 5 * MIB
        assert await other.reserve(4 * MIB) is False or slow.was_cut
        assert slow.was_cut and not quick.was_cut

    curio.run(played)


def test_crowd_kept_others_out() -> None:
    """3,000 connections that sent nothing were kept until their time had passed."""
    intake = Intake(LIMITS)
    resting = completed(intake.open(Socket()))
    oldest, newer = opened(intake, 2)
    assert intake.make_room(3)
    assert oldest.was_cut and not newer.was_cut and not resting.was_cut


def test_connection_that_was_only_refused_was_kept_before_one_that_was_served() -> None:
    intake = Intake(LIMITS)
    served = completed(intake.open(Socket()))
    refused = completed(intake.open(Socket()), 404)
    other = completed(intake.open(Socket()), 503)
    assert intake.make_room(3)
    assert refused.was_cut and not served.was_cut and not other.was_cut
    assert not intake.make_room(3)


def test_halves_of_small_requests_filled_the_memory() -> None:
    intake = Intake(LIMITS._replace(connections=1000))
    slots = opened(intake, 100)
    for slot in slots:
        slot.hold(10_000)
    assert intake.small_bytes <= LIMITS.small_bytes
    assert slots[0].was_cut and not slots[-1].was_cut


def test_what_was_held_was_not_given_back() -> None:
    intake = Intake(LIMITS)

    async def played() -> None:
        for status in (0, 200, 413):
            slot: Any = intake.open(Socket())
            slot.begin()
            slot.hold(9_000)
            assert await slot.reserve(3 * MIB)
            slot.shrink(2 * MIB)
            slot.complete()
            slot.end(status)
            slot.close()
        assert (intake.connections, intake.small_bytes, intake.large_bytes) == (0, 0, 0)

    curio.run(played)


def test_bodies_in_chunks_waited_for_one_another() -> None:
    """All memory was held by first parts, and no body could get the rest."""
    intake = Intake(LIMITS._replace(small_bytes=16 * MIB))
    got: list[bool] = []

    async def ask(slot: ClientSlot) -> None:
        got.append(await slot.reserve(MIB // 4, True) and await slot.reserve(4 * MIB))
        slot.complete()
        await curio.sleep(0.01)
        slot.end(200)

    async def played() -> None:
        async with curio.TaskGroup() as group:
            for slot in opened(intake, 60):
                await group.spawn(ask, slot)
        assert got == [True] * 60

    curio.run(played)


def test_clients_that_sent_ahead_kept_others_out() -> None:
    """Connections that were served once, and sent requests ahead, could not be given up."""
    intake = Intake(LIMITS)
    served: list[int] = []

    async def serve(number: int) -> None:
        served.append(number)

    async def played() -> None:
        slots = [completed(slot) for slot in opened(intake, 3)]
        for _ in range(module.AHEAD_AT_ONCE):
            await intake.ahead.acquire()
        async with curio.TaskGroup() as group:
            for number, slot in enumerate(slots):
                await group.spawn(slot.serve_queued, lambda number=number: serve(number))
            await curio.sleep(0)
            assert intake.make_room(3)
            await intake.ahead.release()
        assert served == [1, 2]

    curio.run(played)


def test_newcomers_were_given_up_for_clients_that_sent_ahead() -> None:
    intake = Intake(LIMITS)

    async def serve() -> None:
        return

    async def played() -> None:
        ahead = completed(intake.open(Socket()))
        newcomer = intake.open(Socket())
        for _ in range(module.AHEAD_AT_ONCE):
            await intake.ahead.acquire()
        queued = await curio.spawn(ahead.serve_queued, serve)
        await curio.sleep(0)
        assert intake.make_room(2)
        assert ahead.was_cut and not newcomer.was_cut
        await queued.cancel()

    curio.run(played)


def test_connection_that_was_given_up_twice_was_counted_for_ever() -> None:
    """With some hundred of them nobody would have been let in any more."""
    intake = Intake(LIMITS)

    async def played() -> None:
        for slot in opened(intake, LIMITS.connections - 1):
            completed(slot)
        for _ in range(2 * module.MAX_LEAVING):
            slow = intake.open(Socket())
            assert await slow.reserve(5 * MIB)
            assert intake.make_room(LIMITS.connections)
            slow.end(0)
            assert not intake.make_room(LIMITS.connections)
            slow.close()

    curio.run(played)
