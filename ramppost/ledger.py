"""Files bill lines in the ledger, which lives in the platform.

The ledger is a set: the bill of a request is the set of its lines by attempt, so
a line filed twice, by an entry and by the agent that was its witness, counts
once.  Lines are filed in groups, each an object that only this incarnation
writes, so that a group whose reply was lost is simply written again.
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
MAX_GROUP: Final = 4000

Filed = Callable[[list[BillLine]], Awaitable[None]]


class LedgerWriter:
    """Lines on their way to the ledger."""

    def __init__(self, client: Client, name: str, window_s: float, filed: Filed) -> None:
        self.client = client
        self.name = name
        self.window_s = window_s
        self.filed = filed
        self.queue: list[BillLine] = []
        self.seq = 0
        self.filing = False

    def add(self, line: BillLine) -> None:
        """Queue a line."""
        self.queue.append(line)

    @property
    def empty(self) -> bool:
        """Whether every line is in the ledger."""
        return not self.queue and not self.filing

    async def run(self) -> None:
        """File groups until cancelled."""
        while True:
            await curio.sleep(self.window_s)
            if self.queue:
                await self.file_group()

    async def file_group(self) -> None:
        """File what is queued; returns when it is in the ledger."""
        group, self.queue = self.queue[:MAX_GROUP], self.queue[MAX_GROUP:]
        self.filing = True
        key = f"{LEDGER_PREFIX}{self.name}/{self.seq:08d}"
        self.seq += 1
        wait_s = RETRY_MIN_S
        batch = BillBatch(filed_by=self.name, lines=group)
        while isinstance(out := await put(self.client, key, batch, None), Unavailable):
            logger.warning("bills not filed yet: {}", out.reason)
            await curio.sleep(wait_s)
            wait_s = min(RETRY_MAX_S, wait_s * 2)
        self.filing = False
        await self.filed(group)
