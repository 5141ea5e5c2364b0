"""Attempts that an agent has admitted or refused, and tombstones of attempts it must not admit.

An attempt is kept until its ticket has expired, so that a delayed message can't be admitted after
the attempt was evicted: a ticket is valid for two epochs, an epoch lasts half of `keep_s`, and an
attempt is evicted only when `keep_s` has passed since its end.
"""

from __future__ import annotations

from typing import Final, Literal

import curio

from ramppost import clock
from ramppost.schema.messages import End, RunMsg

FRAME_OVERHEAD_BYTES: Final = 60

AttemptState = Literal["waiting", "admitted", "not_run"]


class Attempt:
    """The state of an attempt: its run message, the frames received so far and its end.

    The message of a tombstone is None.
    """

    def __init__(self, attempt: str, msg: RunMsg | None) -> None:
        self.attempt = attempt
        self.msg = msg
        self.state: AttemptState = "waiting"
        self.reason = ""
        self.retry_after_s = 0.0
        self.frames: list[str] = []
        self.frames_dropped = False
        self.frame_bytes = 0
        self.end: End | None = None
        self.readers = 0
        self.last_read_at = clock.now()
        self.ended_at = 0.0
        self.slot_granted = curio.Event()
        self.has_slot = False
        self.cancelled = False
        self.task: curio.Task | None = None
        self._changed = curio.Event()

    async def add_frame(self, text: str) -> None:
        """Append a frame of the answer and wake the readers."""
        self.frames.append(text)
        self.frame_bytes += len(text) + FRAME_OVERHEAD_BYTES
        await self._notify()

    async def admit(self) -> None:
        """Record that the upstream has started the attempt."""
        self.state = "admitted"
        await self._notify()

    async def refuse(self, reason: str, retry_after_s: float = 0.0) -> None:
        """Record that the attempt is never run by this agent."""
        self.state = "not_run"
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.ended_at = clock.now()
        await self._notify()

    async def finish(self, end: End) -> None:
        """Record the end of the attempt."""
        self.end = end
        self.ended_at = clock.now()
        await self._notify()

    async def wait_for(self, frames_seen: int) -> None:
        """Wait until the attempt is admitted and has more than `frames_seen` frames, or has ended.

        With a negative `frames_seen` it only waits until the attempt is admitted or refused.
        """
        while True:
            ended = self.state == "not_run" or self.end is not None
            if ended or (self.state == "admitted" and len(self.frames) > frames_seen):
                return
            if self.state == "admitted" and frames_seen < 0:
                return
            await self._changed.wait()

    async def _notify(self) -> None:
        changed, self._changed = self._changed, curio.Event()
        await changed.set()


class Attempts:
    """The attempts of an agent by id."""

    def __init__(self, keep_s: float, max_frame_bytes: int) -> None:
        self.keep_s = keep_s
        self.max_frame_bytes = max_frame_bytes
        self.by_id: dict[str, Attempt] = {}

    def get(self, attempt: str) -> Attempt | None:
        """The attempt with an id, if it is still kept."""
        return self.by_id.get(attempt)

    def add(self, msg: RunMsg) -> Attempt:
        """Add the attempt of a run message."""
        item = Attempt(msg["attempt"], msg)
        self.by_id[msg["attempt"]] = item
        return item

    async def add_tombstone(self, attempt: str, reason: str) -> Attempt:
        """Add a tombstone: the attempt is refused, and a run message for it is never admitted."""
        item = Attempt(attempt, None)
        self.by_id[attempt] = item
        await item.refuse(reason)
        return item

    @property
    def active_count(self) -> int:
        """The number of attempts that have not ended."""
        return sum(1 for item in self.by_id.values() if not item.ended_at)

    def evict(self, now: float) -> None:
        """Evict expired attempts, and drop the frames of the oldest above `max_frame_bytes`.

        Frames of an attempt that is being read are kept.
        """
        ended = [item for item in self.by_id.values() if item.ended_at]
        for item in ended:
            if item.ended_at < now - self.keep_s:
                del self.by_id[item.attempt]
        total_bytes = sum(item.frame_bytes for item in self.by_id.values())
        for item in sorted(ended, key=lambda attempt: attempt.ended_at):
            if total_bytes <= self.max_frame_bytes:
                return
            if item.readers == 0 and not item.frames_dropped:
                total_bytes -= item.frame_bytes
                item.frames, item.frame_bytes, item.frames_dropped = [], 0, True
