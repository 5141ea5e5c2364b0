"""Admission to a number of slots: strict priority with a floor for the rest.

Pure: no I/O, and the clock is an argument.  `Admission` holds who runs and who
waits.  Every `FLOOR_EVERY`th freed slot goes to the longest waiting of the lower
priorities, so that these are slowed but not starved.  Some slots are kept for the
urgent, so that these need not wait for a long routine answer to end.  When the queue is full, a
newcomer puts out the last of a lower priority, else it is refused.
"""

from __future__ import annotations

from collections import deque
from typing import Final, NamedTuple

FLOOR_EVERY: Final = 20
MEAN_WEIGHT: Final = 0.1
WAIT_MARGIN: Final = 1.25
LOWEST: Final = 9
MIN_RETRY_S: Final = 0.5
MAX_RETRY_S: Final = 60.0
URGENT: Final = 2


class Waiting(NamedTuple):
    """Someone in line: a name, a priority (0 first), and a deadline on the clock."""

    name: str
    priority: int
    deadline: float


class Entered(NamedTuple):
    """A slot was free."""


class Queued(NamedTuple):
    """In line; `put_out` names who had to go for it, if anyone."""

    put_out: str | None


class Full(NamedTuple):
    """No room; come back after some seconds."""

    retry_after_s: float


class Admission:
    """Who runs and who waits at one upstream."""

    def __init__(self, slots: int, queue: int, reserved: int = 0) -> None:
        self.slots = slots
        self.queue = queue
        self.reserved = min(reserved, slots - 1)
        self.running = 0
        self.lines: dict[int, deque[Waiting]] = {}
        self._freed = 0
        self._mean_s = 0.0

    @property
    def waiting(self) -> int:
        """How many wait."""
        return sum(len(line) for line in self.lines.values())

    def offer(self, who: Waiting, now: float) -> Entered | Queued | Full:
        """Let someone in, into the line, or refuse."""
        if self._fits(who.priority) and self._ahead(who.priority) == 0:
            self.running += 1
            return Entered()
        if self._hopeless(who, now):
            return Full(self.retry_after(who.priority))
        put_out = None
        if self.waiting >= self.queue:
            put_out = self._put_out_below(who.priority)
            if put_out is None:
                return Full(self.retry_after(who.priority))
        self.lines.setdefault(who.priority, deque()).append(who)
        return Queued(put_out)

    def leave(self, ran_s: float | None) -> Waiting | None:
        """A slot is free again: who enters next, if anyone.

        `ran_s` is how long a run held it, None where nothing was run.
        """
        if ran_s is not None:
            weight = MEAN_WEIGHT if self._mean_s else 1.0
            self._mean_s += weight * (ran_s - self._mean_s)
        self.running -= 1
        return self._next()

    def drop(self, name: str) -> None:
        """Someone in line gives up."""
        for line in self.lines.values():
            for who in line:
                if who.name == name:
                    line.remove(who)
                    return

    def drain_per_s(self, priority: int = LOWEST) -> float:
        """Requests that full slots finish a second, by how long slots were held lately."""
        return self._slots_for(priority) / self._mean_s if self._mean_s else 0.0

    def retry_after(self, priority: int) -> float:
        """Seconds until those ahead of this priority have gone, at the measured rate."""
        rate = self.drain_per_s(priority)
        ahead = self._ahead(priority) + 1
        if rate <= 0:
            return MIN_RETRY_S * (1 + ahead / max(1, self.slots))
        return min(MAX_RETRY_S, max(MIN_RETRY_S, ahead / rate))

    def _fits(self, priority: int) -> bool:
        """Whether a slot is free for this priority; some are kept for the urgent."""
        return self.running < self._slots_for(priority)

    def _slots_for(self, priority: int) -> int:
        return self.slots if priority <= URGENT else self.slots - self.reserved

    def _ahead(self, priority: int) -> int:
        return sum(len(line) for level, line in self.lines.items() if level <= priority)

    def _hopeless(self, who: Waiting, now: float) -> bool:
        """Whether those ahead will, at the present rate, outlast its deadline."""
        rate = self.drain_per_s(who.priority)
        if rate <= 0:
            return False
        return now + WAIT_MARGIN * self._ahead(who.priority) / rate > who.deadline

    def _put_out_below(self, priority: int) -> str | None:
        lower = [level for level, line in self.lines.items() if level > priority and line]
        return self.lines[max(lower)].pop().name if lower else None

    def _next(self) -> Waiting | None:
        levels = sorted(lv for lv, line in self.lines.items() if line and self._fits(lv))
        if not levels:
            return None
        self._freed += 1
        level = levels[0]
        if self._freed % FLOOR_EVERY == 0 and len(levels) > 1:
            level = min(levels[1:], key=lambda lv: self.lines[lv][0].deadline)
        self.running += 1
        return self.lines[level].popleft()
