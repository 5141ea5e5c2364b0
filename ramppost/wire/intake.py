"""What clients may make a process hold: connections, and the memory of their requests.

One `Intake` is shared by all ports of a process.  Small requests are read at once.  A large one
asks for memory before it is read further, waits in turn while others have it, and is refused when
that takes too long; a single one that is within the limits always gets it.  When there are too many
connections, the one that has not completed a request for longest is given up, and when requests
that have begun and don't get complete hold too much, the largest of the oldest; never one that
rests between requests.

    slot = intake.open(sock)
    slot.begin()                       # the first bytes of a request have come
    slot.hold(700)                     # and this many are held
    await slot.reserve(4_194_304)      # a large body follows; False if there is no room for it
    slot.complete()                    # the whole request was read
    slot.end(200)                      # it was answered
    slot.close()
"""

from __future__ import annotations

import itertools
import resource
import socket
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, Final, NamedTuple

import curio
from loguru import logger

from ramppost import clock
from ramppost.wire.sockets import RECEIVE_BUFFER_BYTES

MIB: Final = 1024 * 1024
UNKNOWN_MEMORY_MB: Final = 512
"""Memory of a box whose settings don't tell it."""
RESTING_MB: Final = 48
"""What a process needs besides: its program, configuration and upstreams."""
MIN_CLIENTS_MB: Final = 16
CONNECTION_BYTES: Final = 16384
"""A connection with its task, its parser, and what the kernel keeps of it."""
CONNECTIONS_SHARE: Final = 0.25
SMALL_SHARE: Final = 0.15
LARGE_SHARE: Final = 0.3
ANSWERS_SHARE: Final = 0.15
"""Of what is left for clients: for answers that they have not taken, and again for those that are
read whole before they are sent."""
FILES: Final = 200
"""Descriptors that are kept for files."""
CALLERS_FDS_SHARE: Final = 0.75
"""The remainder is for upstreams, the store and other gateways."""
MAX_CONNECTIONS: Final = 10000
INNER_CONNECTIONS: Final = 64
"""Connections of other boxes that are accepted beyond those of callers."""

CLIENT_FAULTS: Final = frozenset({0, 400, 401, 404, 408, 413, 431})
"""Statuses of requests that nobody has to serve; a connection with no others may be given up."""
AHEAD_AT_ONCE: Final = 8
"""Clients that send ahead and are served at a time, so that those who wait for their answers come
first."""
SMALL_BYTES: Final = 16384
"""A request of this size is read without asking for memory..."""
TINY_BYTES: Final = 4096
"""... or of this size, while small requests hold all that they may."""
BEGIN_S: Final = 0.25
"""How long a client is given before it is given up for one that has sent ahead."""
MAX_LEAVING: Final = 256
"""Connections that were given up and may still be open, as others take their places."""
CLEARING: Final = 32
"""Connections that were given up and still open, from which on none are accepted."""
CANDIDATES: Final = 64
"""Connections among which the largest is given up."""
GROWING_SHARE: Final = 0.5
"""Of the memory for large requests, for those whose size is not known yet."""
MAX_WAIT_S: Final = 2.0
"""How long a large request waits for memory before it is refused."""
RETRY_S: Final = 1.0
POLL_S: Final = 0.005
MIN_RATE: Final = 65536
"""Bytes a second that a large request must bring while others wait for its memory."""
MIN_RATE_AFTER_S: Final = 1.0
UNREAD_BYTES: Final = 2 * RECEIVE_BUFFER_BYTES
"""What the kernel takes for a connection that is not being read."""
WAITING_BYTES: Final = SMALL_BYTES + UNREAD_BYTES
"""What a large request holds while it waits."""
WAITING_SHARE: Final = 0.5
"""Of the memory for small requests, for what waits."""


class IntakeLimits(NamedTuple):
    """What clients may make a process hold: connections, and bytes of small and large requests."""

    connections: int
    small_bytes: int
    large_bytes: int
    answer_bytes: int


def intake_limits(
    memory_mb: int | None = None, open_files: int | None = None, connections: int = MAX_CONNECTIONS
) -> IntakeLimits:
    """The limits of a process that may use so much memory and so many descriptors; where they are
    not known, a usual box, and what the system allows the process.

    >>> intake_limits(128, 4100).connections
    1280
    """
    memory = max(MIN_CLIENTS_MB, (memory_mb or UNKNOWN_MEMORY_MB) - RESTING_MB) * MIB
    files = open_files or resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    by_files = int((files - FILES) * CALLERS_FDS_SHARE)
    by_memory = int(memory * CONNECTIONS_SHARE / CONNECTION_BYTES)
    return IntakeLimits(
        max(1, min(connections, by_files, by_memory)),
        int(memory * SMALL_SHARE),
        int(memory * LARGE_SHARE),
        int(memory * ANSWERS_SHARE),
    )


class Intake:
    """The connections of a process and what they hold."""

    def __init__(self, limits: IntakeLimits | None = None) -> None:
        self.limits = limits or intake_limits()
        self.long_work = curio.Lock()
        """Held for one slice of work that takes long; others run between two slices."""
        self.ahead = curio.Semaphore(AHEAD_AT_ONCE)
        """Held while a client is served that has sent more than the request that is served."""
        self.connections = 0
        self.small_bytes = 0
        self.large_bytes = 0
        self.given_up = 0
        """Connections that were given up so far."""
        self.refused = 0
        """Large requests that were refused so far for want of memory."""
        self._incomplete: dict[ClientSlot, None] = {}
        """Connections that have yet to complete their first request, the oldest first."""
        self._reading: dict[ClientSlot, None] = {}
        """Those that have completed one and begun another."""
        self._queued: dict[ClientSlot, None] = {}
        """Those with a request that waits for its turn, as they have sent more behind it."""
        self._leaving = 0
        """Connections that were given up and are not closed yet."""
        self._clearing = 0
        """Those of them that close in a moment, as they don't wait for a turn."""
        self._reserved: dict[ClientSlot, None] = {}
        self._waiting: dict[ClientSlot, None] = {}
        """Those that wait for memory, in turn."""

    def open(self, sock: Any) -> ClientSlot:
        """Add a connection."""
        slot = ClientSlot(self, sock)
        self.connections += 1
        self._incomplete[slot] = None
        return slot

    def make_room(self, limit: int) -> bool:
        """Whether one more connection may be accepted; gives one up if there are too many."""
        if self.connections < limit:
            return True
        given_up = self._least_deserving()
        if given_up is None or self._leaving >= MAX_LEAVING:
            return False
        self._give_up(given_up)
        return True

    @property
    def is_clearing(self) -> bool:
        """Whether so many that were given up are still open that no more are to be accepted."""
        return self._clearing >= CLEARING

    def _least_deserving(self) -> ClientSlot | None:
        """The connection that has not completed a request for longest, or one that has sent ahead
        if none has had a moment for that."""
        oldest = next(iter(self._candidates()), None)
        queued = next(iter(self._queued), None)
        is_slow = oldest is not None and clock.now() - oldest.since > BEGIN_S
        return oldest if is_slow or queued is None else queued

    @property
    def is_short(self) -> bool:
        """Whether small requests hold all that they may."""
        return self.small_bytes > self.limits.small_bytes

    def _candidates(self) -> Iterator[ClientSlot]:
        """Connections with an incomplete request, those first that have not completed one for
        longest."""
        return itertools.chain(self._incomplete, self._reading)

    def _give_up_largest(self) -> None:
        """Give up the connection that holds most, of those that have had longest to complete."""
        oldest = itertools.islice(self._candidates(), CANDIDATES)
        largest = max(oldest, key=lambda slot: slot.small_bytes, default=None)
        if largest is not None and largest.small_bytes:
            self._give_up(largest)

    def _give_up(self, slot: ClientSlot) -> None:
        self.given_up += 1
        self._leaving += 1
        slot.closes_soon = slot not in self._queued
        self._clearing += slot.closes_soon
        for group in (self._incomplete, self._reading, self._queued, self._reserved):
            group.pop(slot, None)
        slot.cut()

    def _fits(self, count: int, may_grow: bool) -> bool:
        """Whether there is memory now; what may grow leaves room for one that does."""
        limit = self.limits.large_bytes * (GROWING_SHARE if may_grow else 1)
        return not self.large_bytes or self.large_bytes + count <= limit

    def _first_waiting(self) -> ClientSlot:
        """Who gets memory next: those that hold some already come first, as they give it back."""
        growing = (slot for slot in self._waiting if slot.has_reserved)
        return next(growing, None) or next(iter(self._waiting))

    def _give_up_slow(self) -> None:
        """Give up large requests that come too slowly, as others wait for their memory."""
        now = clock.now()
        for slot in list(self._reserved):
            if slot.is_too_slow(now):
                self._give_up(slot)


class ClientSlot:
    """What one connection holds, and how far its request has come."""

    def __init__(self, intake: Intake, sock: Any) -> None:
        self.intake = intake
        self.sock = sock
        self.small_bytes = 0
        """What is held without having been asked for."""
        self._reserved_bytes = 0
        self._reserved_at = 0.0
        self._proven = False
        self.received_bytes = 0
        """What has come of a large request since memory was reserved for it."""
        self.since = clock.now()
        """Since when the client has had a request to complete (steady clock)."""
        self.was_cut = False
        """Whether the connection was given up."""
        self.closes_soon = False
        """Whether it was, and does not wait for a turn."""

    def begin(self) -> None:
        """A request has begun to arrive."""
        if self._proven:
            self.since = clock.now()
            self.intake._reading[self] = None

    def complete(self) -> None:
        """The whole request has arrived."""
        self.intake._incomplete.pop(self, None)
        self.intake._reading.pop(self, None)
        self.intake._reserved.pop(self, None)

    async def serve_queued(self, serve: Callable[[], Awaitable[None]]) -> None:
        """Serve a request of a client that has sent more behind it, in its turn; not if the
        connection was given up meanwhile."""
        self.intake._queued[self] = None
        try:
            async with self.intake.ahead:
                # All others have a turn between two of these, also where serving never waits.
                await curio.sleep(0)
                self.intake._queued.pop(self, None)
                if not self.was_cut:
                    await serve()
        finally:
            self.intake._queued.pop(self, None)

    def end(self, status: int) -> None:
        """The request was answered with a status, 0 for none."""
        self.release()
        self._proven = self._proven or status not in CLIENT_FAULTS
        if not self._proven and not self.was_cut:
            self.since = clock.now()
            self.intake._incomplete[self] = None

    def hold(self, count: int) -> None:
        """Set how many bytes are held, if no memory was reserved for them."""
        self._set_small(0 if self._reserved_bytes or self.was_cut else count)
        if self.intake.is_short:
            self.intake._give_up_largest()

    def _set_small(self, count: int) -> None:
        self.intake.small_bytes += count - self.small_bytes
        self.small_bytes = count

    def is_large(self, count: int) -> bool:
        """Whether a request of so many bytes has to reserve memory."""
        return count > (TINY_BYTES if self.intake.is_short else SMALL_BYTES)

    @property
    def has_reserved(self) -> bool:
        """Whether memory is reserved."""
        return self._reserved_bytes > 0

    async def reserve(self, count: int, may_grow: bool = False) -> bool:
        """Reserve memory for a request of so many bytes in all; False if there is none in time.

        `may_grow` says that more may have to be reserved for the same request.
        """
        more = count - self._reserved_bytes
        if more <= 0:
            return True
        if not await self._obtain(more, may_grow):
            self.intake.refused += 1
            return False
        self._reserved_bytes += more
        self._reserved_at = clock.now()
        self.received_bytes = 0
        self.intake._reserved[self] = None
        self._set_small(0)
        return True

    async def _obtain(self, count: int, may_grow: bool) -> bool:
        """Take memory, in turn; False if none is free in time."""
        intake = self.intake
        if len(intake._waiting) * WAITING_BYTES > intake.limits.small_bytes * WAITING_SHARE:
            return False
        ends_at = clock.now() + MAX_WAIT_S
        intake._waiting[self] = None
        try:
            while intake._first_waiting() is not self or not intake._fits(count, may_grow):
                if self.was_cut or clock.now() > ends_at:
                    return False
                intake._give_up_slow()
                await curio.sleep(POLL_S)
        finally:
            del intake._waiting[self]
        intake.large_bytes += count
        return True

    def shrink(self, count: int) -> None:
        """Give back what is reserved beyond so many bytes."""
        if self._reserved_bytes > count:
            self.intake.large_bytes -= self._reserved_bytes - count
            self._reserved_bytes = count

    def is_too_slow(self, now: float) -> bool:
        """Whether the bytes of a large request come too slowly for others to wait for it."""
        age_s = now - self._reserved_at
        return age_s > MIN_RATE_AFTER_S and self.received_bytes < MIN_RATE * age_s

    def release(self) -> None:
        """Nothing is held any more."""
        self.intake._reserved.pop(self, None)
        self._set_small(0)
        self.shrink(0)

    def cut(self) -> None:
        """Give up the connection; whoever reads it finds that it has ended."""
        self.was_cut = True
        self._set_small(0)
        try:
            self.sock._socket.shutdown(socket.SHUT_RD)
        except OSError as exc:
            logger.debug("connection already closed before it was given up: {!r}", exc)

    def close(self) -> None:
        """The connection is closed."""
        self.complete()
        self.release()
        self.intake.connections -= 1
        self.intake._leaving -= self.was_cut
        self.intake._clearing -= self.closes_soon
