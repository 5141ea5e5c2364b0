"""Admission control for a fixed number of slots: strict priority with a minimum for the rest.

No I/O, and the current time is an argument.  `Admission` tracks the running and the waiting
requests.  Every `FLOOR_INTERVAL`th freed slot goes to the request with the earliest deadline
at the heads of the lower-priority queues, so that these are slowed but not starved.  Some
slots are reserved for urgent requests, so that they need not wait for a long routine answer to
end.  When the queue is full, a new request evicts the last one of a lower priority; if there
is none, it is rejected.
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
    """A request for a slot: a name, a priority (0 is the highest), and a deadline (clock time)."""

    name: str
    priority: int
    deadline: float


class Admitted(NamedTuple):
    """The request got a free slot."""


class Queued(NamedTuple):
    """The request waits; `evicted` is the name of the request evicted for it, if any."""

    evicted: str | None


class Rejected(NamedTuple):
    """The request was not queued; the caller may retry after some seconds."""

    retry_after_s: float


class Admission:
    """The running and waiting requests of one upstream."""

    def __init__(self, slots: int, max_waiting: int, reserved: int = 0) -> None:
        self.slots = slots
        self.max_waiting = max_waiting
        self.reserved = min(reserved, slots - 1)
        self.running = 0
        self.queues: dict[int, deque[QueuedRequest]] = {}
        self._grants = 0
        self._mean_held_s = 0.0

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return sum(len(queue) for queue in self.queues.values())

    def request_slot(self, request: QueuedRequest, now: float) -> Admitted | Queued | Rejected:
        """Give a request a slot, queue it, or reject it."""
        if self._has_slot(request.priority) and self._waiting_ahead(request.priority) == 0:
            self.running += 1
            return Admitted()
        if self._would_miss_deadline(request, now):
            return Rejected(self.retry_after(request.priority))
        evicted = None
        if self.waiting >= self.max_waiting:
            evicted = self._evict_below(request.priority)
            if evicted is None:
                return Rejected(self.retry_after(request.priority))
        self.queues.setdefault(request.priority, deque()).append(request)
        return Queued(evicted)

    def release_slot(self, held_s: float | None) -> QueuedRequest | None:
        """Free a slot, and return the waiting request that takes it, if any.

        `held_s` is how long a run held the slot, or None if nothing was run.
        """
        if held_s is not None:
            weight = EWMA_WEIGHT if self._mean_held_s else 1.0
            self._mean_held_s += weight * (held_s - self._mean_held_s)
        self.running -= 1
        return self._next_waiting()

    def remove(self, name: str) -> None:
        """Remove a waiting request that gave up."""
        for queue in self.queues.values():
            for request in queue:
                if request.name == name:
                    queue.remove(request)
                    return

    def drain_per_s(self, priority: int = LOWEST_PRIORITY) -> float:
        """Requests finished per second when all slots are busy, by the recent mean run time."""
        return self._slots_for(priority) / self._mean_held_s if self._mean_held_s else 0.0

    def retry_after(self, priority: int) -> float:
        """Seconds until the requests ahead of this priority have left, at the measured rate."""
        rate = self.drain_per_s(priority)
        ahead = self._waiting_ahead(priority) + 1
        if rate <= 0:
            return MIN_RETRY_S * (1 + ahead / max(1, self.slots))
        return min(MAX_RETRY_S, max(MIN_RETRY_S, ahead / rate))

    def _has_slot(self, priority: int) -> bool:
        """Whether a slot is free for this priority; some are reserved for urgent requests."""
        return self.running < self._slots_for(priority)

    def _slots_for(self, priority: int) -> int:
        return self.slots if priority <= URGENT_PRIORITY else self.slots - self.reserved

    def _waiting_ahead(self, priority: int) -> int:
        return sum(len(queue) for level, queue in self.queues.items() if level <= priority)

    def _would_miss_deadline(self, request: QueuedRequest, now: float) -> bool:
        """Whether the requests ahead will, at the current rate, take longer than its deadline."""
        rate = self.drain_per_s(request.priority)
        if rate <= 0:
            return False
        return now + WAIT_MARGIN * self._waiting_ahead(request.priority) / rate > request.deadline

    def _evict_below(self, priority: int) -> str | None:
        lower = [level for level, queue in self.queues.items() if level > priority and queue]
        return self.queues[max(lower)].pop().name if lower else None

    def _next_waiting(self) -> QueuedRequest | None:
        levels = sorted(lv for lv, queue in self.queues.items() if queue and self._has_slot(lv))
        if not levels:
            return None
        self._grants += 1
        level = levels[0]
        if self._grants % FLOOR_INTERVAL == 0 and len(levels) > 1:
            level = min(levels[1:], key=lambda lv: self.queues[lv][0].deadline)
        self.running += 1
        return self.queues[level].popleft()
