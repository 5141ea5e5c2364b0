"""Attempts that an agent has admitted, refused or barred.

An attempt is remembered long enough that no message of its ticket can still be
admitted after it is forgotten: tickets live two epochs, an epoch is half of
`keep_s`, and nothing is forgotten before `keep_s` has passed since its end.
"""

from __future__ import annotations

from typing import Final, Literal

import curio

from ramppost import clock
from ramppost.schema.messages import End, RunMsg

FRAME_OVERHEAD: Final = 60

State = Literal["waiting", "admitted", "not_run"]


class Attempt:
    """One attempt: its message, its answer as far as it has come, its end."""

    def __init__(self, attempt: str, msg: RunMsg | None) -> None:
        self.attempt = attempt
        self.msg = msg
        self.state: State = "waiting"
        self.reason = ""
        self.retry_after_s = 0.0
        self.frames: list[str] = []
        self.dropped = False
        self.size = 0
        self.end: End | None = None
        self.readers = 0
        self.unread_since = clock.now()
        self.over_at = 0.0
        self.turn = curio.Event()
        self.entered = False
        self.cancelled = False
        self.task: curio.Task | None = None
        self._more = curio.Event()

    async def add(self, text: str) -> None:
        """Add a piece of the answer."""
        self.frames.append(text)
        self.size += len(text) + FRAME_OVERHEAD
        await self._wake()

    async def admit(self) -> None:
        """The upstream has begun it."""
        self.state = "admitted"
        await self._wake()

    async def refuse(self, reason: str, retry_after_s: float = 0.0) -> None:
        """It will never be run here."""
        self.state = "not_run"
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.over_at = clock.now()
        await self._wake()

    async def finish(self, end: End) -> None:
        """It has ended."""
        self.end = end
        self.over_at = clock.now()
        await self._wake()

    async def wait_for(self, seen: int) -> None:
        """Wait until it is more than waiting and has more than `seen` pieces, or an end."""
        while True:
            settled = self.state == "not_run" or self.end is not None
            if settled or (self.state == "admitted" and len(self.frames) > seen):
                return
            if self.state == "admitted" and seen < 0:
                return
            await self._more.wait()

    async def _wake(self) -> None:
        more, self._more = self._more, curio.Event()
        await more.set()


class Attempts:
    """All attempts by id."""

    def __init__(self, keep_s: float, keep_bytes: int) -> None:
        self.keep_s = keep_s
        self.keep_bytes = keep_bytes
        self.table: dict[str, Attempt] = {}

    def get(self, attempt: str) -> Attempt | None:
        """An attempt by id."""
        return self.table.get(attempt)

    def begin(self, msg: RunMsg) -> Attempt:
        """Remember a new attempt."""
        item = Attempt(msg["attempt"], msg)
        self.table[msg["attempt"]] = item
        return item

    async def bar(self, attempt: str, reason: str) -> Attempt:
        """Remember that an attempt must never be admitted: a tombstone."""
        item = Attempt(attempt, None)
        self.table[attempt] = item
        await item.refuse(reason)
        return item

    @property
    def live(self) -> int:
        """Attempts that have not ended."""
        return sum(1 for item in self.table.values() if not item.over_at)

    def sweep(self, now: float) -> None:
        """Forget what is old; drop the oldest answers where memory is short."""
        over = [item for item in self.table.values() if item.over_at]
        for item in over:
            if item.over_at < now - self.keep_s:
                del self.table[item.attempt]
        held = sum(item.size for item in self.table.values())
        for item in sorted(over, key=lambda i: i.over_at):
            if held <= self.keep_bytes:
                return
            if item.readers == 0 and not item.dropped:
                held -= item.size
                item.frames, item.size, item.dropped = [], 0, True
