"""Admission to a number of slots: strict priority with a floor for the rest.

Pure: no I/O, and the clock is an argument.  `Admission` holds who runs and who
waits.  Every `FLOOR_INTERVAL`th freed slot goes to the longest waiting of the lower
priorities, so that these are slowed but not starved.  Some slots are kept for the
urgent, so that these need not wait for a long routine answer to end.  When the queue is full, a
newcomer puts out the last of a lower priority, else it is refused.
"""

from __future__ import annotations

from collections import deque
from typing import Final, NamedTuple

FLOOR_INTERVAL: Final = 20
EWMA_WEIGHT: Final = 0.1
WAIT_MARGIN: Final = 1.25
LOWEST_PRIORITY: Final = 9
MIN_RETRY_S: Final = 0.5
MAX_RETRY_S: Final = 60.0
URGENT_PRIORITY: Final = 2


class QueuedRequest(NamedTuple):
    """Someone in line: a name, a priority (0 first), and a deadline on the clock."""

    name: str
    priority: int
    deadline: float


class Admitted(NamedTuple):
    """A slot was free."""


class Queued(NamedTuple):
    """In line; `evicted` names who had to go for it, if anyone."""

    evicted: str | None


class Rejected(NamedTuple):
    """No room; come back after some seconds."""

    retry_after_s: float


class Admission:
    """Who runs and who waits at one upstream."""

    def __init__(self, slots: int, queue: int, reserved: int = 0) -> None:
        self.slots = slots
        self.queue = queue
        self.reserved = min(reserved, slots - 1)
        self.running = 0
        self.queues: dict[int, deque[QueuedRequest]] = {}
        self._grants = 0
        self._mean_held_s = 0.0

    @property
    def waiting(self) -> int:
        """How many wait."""
        return sum(len(line) for line in self.queues.values())

    def request_slot(self, request: QueuedRequest, now: float) -> Admitted | Queued | Rejected:
        """Let someone in, into the line, or refuse."""
        if self._has_slot(request.priority) and self._waiting_ahead(request.priority) == 0:
            self.running += 1
            return Admitted()
        if self._would_miss_deadline(request, now):
            return Rejected(self.retry_after(request.priority))
        evicted = None
        if self.waiting >= self.queue:
            evicted = self._evict_below(request.priority)
            if evicted is None:
                return Rejected(self.retry_after(request.priority))
        self.queues.setdefault(request.priority, deque()).append(request)
        return Queued(evicted)

    def release_slot(self, held_s: float | None) -> QueuedRequest | None:
        """A slot is free again: who enters next, if anyone.

        `held_s` is how long a run held it, None where nothing was run.
        """
        if held_s is not None:
            weight = EWMA_WEIGHT if self._mean_held_s else 1.0
            self._mean_held_s += weight * (held_s - self._mean_held_s)
        self.running -= 1
        return self._next_waiting()

    def remove(self, name: str) -> None:
        """Someone in line gives up."""
        for line in self.queues.values():
            for request in line:
                if request.name == name:
                    line.remove(request)
                    return

    def drain_per_s(self, priority: int = LOWEST_PRIORITY) -> float:
        """Requests that full slots finish a second, by how long slots were held lately."""
        return self._slots_for(priority) / self._mean_held_s if self._mean_held_s else 0.0

    def retry_after(self, priority: int) -> float:
        """Seconds until those ahead of this priority have gone, at the measured rate."""
        rate = self.drain_per_s(priority)
        ahead = self._waiting_ahead(priority) + 1
        if rate <= 0:
            return MIN_RETRY_S * (1 + ahead / max(1, self.slots))
        return min(MAX_RETRY_S, max(MIN_RETRY_S, ahead / rate))

    def _has_slot(self, priority: int) -> bool:
        """Whether a slot is free for this priority; some are kept for the urgent."""
        return self.running < self._slots_for(priority)

    def _slots_for(self, priority: int) -> int:
        return self.slots if priority <= URGENT_PRIORITY else self.slots - self.reserved

    def _waiting_ahead(self, priority: int) -> int:
        return sum(len(line) for level, line in self.queues.items() if level <= priority)

    def _would_miss_deadline(self, request: QueuedRequest, now: float) -> bool:
        """Whether those ahead will, at the present rate, outlast its deadline."""
        rate = self.drain_per_s(request.priority)
        if rate <= 0:
            return False
        return now + WAIT_MARGIN * self._waiting_ahead(request.priority) / rate > request.deadline

    def _evict_below(self, priority: int) -> str | None:
        lower = [level for level, line in self.queues.items() if level > priority and line]
        return self.queues[max(lower)].pop().name if lower else None

    def _next_waiting(self) -> QueuedRequest | None:
        levels = sorted(lv for lv, line in self.queues.items() if line and self._has_slot(lv))
        if not levels:
            return None
        self._grants += 1
        level = levels[0]
        if self._grants % FLOOR_INTERVAL == 0 and len(levels) > 1:
            level = min(levels[1:], key=lambda lv: self.queues[lv][0].deadline)
        self.running += 1
        return self.queues[level].popleft()
