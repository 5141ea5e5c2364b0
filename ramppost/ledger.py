"""Writes bill lines to the ledger, which is stored in the platform.

The ledger is a set: the bill of a request consists of its lines, identified by attempt.  A line
that is written twice, by an entry and by the agent acting as its witness, therefore counts once.
Lines are written in batches.  Each batch is an object that only this incarnation writes, so that
a write whose reply was lost can safely be repeated.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Final

import curio
from loguru import logger

from ramppost.platform.objects import Client, Unavailable, put
from ramppost.schema.messages import BillBatch, BillLine

LEDGER_PREFIX: Final = "ledger/"
RETRY_MIN_S: Final = 0.5
RETRY_MAX_S: Final = 5.0
MAX_BATCH_LINES: Final = 4000

WrittenCallback = Callable[[list[BillLine]], Awaitable[None]]


class LedgerWriter:
    """Queues bill lines and writes them to the ledger in batches."""

    def __init__(
        self, client: Client, name: str, window_s: float, on_written: WrittenCallback
    ) -> None:
        self.client = client
        self.name = name
        self.window_s = window_s
        self.on_written = on_written
        self.queue: list[BillLine] = []
        self.seq = 0
        self.writing = False

    def add(self, line: BillLine) -> None:
        """Queue a line to be written with the next batch."""
        self.queue.append(line)

    @property
    def empty(self) -> bool:
        """Whether every added line is in the ledger."""
        return not self.queue and not self.writing

    async def run(self) -> None:
        """Write a batch every `window_s` seconds until cancelled."""
        while True:
            await curio.sleep(self.window_s)
            if self.queue:
                await self.write_batch()

    async def write_batch(self) -> None:
        """Write the first queued lines, retrying until they are in the ledger."""
        lines, self.queue = self.queue[:MAX_BATCH_LINES], self.queue[MAX_BATCH_LINES:]
        self.writing = True
        key = f"{LEDGER_PREFIX}{self.name}/{self.seq:08d}"
        self.seq += 1
        backoff_s = RETRY_MIN_S
        batch = BillBatch(filed_by=self.name, lines=lines)
        while isinstance(result := await put(self.client, key, batch, None), Unavailable):
            logger.warning("bill lines not written to the ledger; retrying: {}", result.reason)
            await curio.sleep(backoff_s)
            backoff_s = min(RETRY_MAX_S, backoff_s * 2)
        self.writing = False
        await self.on_written(lines)
