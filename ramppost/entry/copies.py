"""Copies of bill lines at an entry of another data hall, until they are in the ledger.

An agent keeps a witness copy of each line that it caused.  That is not enough, because an entry
prefers agents of its own hall, and a whole hall can fail at once.  So an entry also sends its
lines every `SEND_PERIOD_S`, in one message, to a live entry of another hall.  That entry files
the lines that are not reported as settled in time.  The ledger is a set keyed by attempt, so a
line that is filed twice counts once.  Copying is asynchronous: a line younger than
`SEND_PERIOD_S` can still be lost with its hall.
"""

from __future__ import annotations

from typing import Final

import curio

from ramppost import clock, ids
from ramppost.bounded import drop_oldest
from ramppost.entry.unresponsive import UnresponsiveEntries
from ramppost.entry.upstreams import Upstreams
from ramppost.ledger import LedgerWriter
from ramppost.schema.messages import BillLine, CopiesMsg, SettledMsg
from ramppost.wire.client import CallFailed, Pool, call
from ramppost.wire.codec import encode

COPIES_PATH: Final = "/x/copies"
SETTLED_PATH: Final = "/x/settled"
SEND_PERIOD_S: Final = 1.0
CALL_TIMEOUT_S: Final = 1.0
MAX_UNSENT: Final = 10_000
MIN_KEEP_S: Final = 5.0
KEEP_BILL_WINDOWS: Final = 3


class BillLineCopies:
    """This entry's lines to copy to other entries, and copies received from them."""

    def __init__(self, upstreams: Upstreams, pool: Pool, entry_name: str, keep_s: float) -> None:
        self.upstreams = upstreams
        self.pool = pool
        self.entry_name = entry_name
        self.keep_s = keep_s
        self.unsent: dict[str, BillLine] = {}
        self.holder_by_attempt: dict[str, str] = {}
        self.received: dict[str, tuple[float, BillLine]] = {}
        self.unresponsive = UnresponsiveEntries()

    def add(self, line: BillLine) -> None:
        """Queue a line of this entry for copying; above `MAX_UNSENT`, the oldest is not copied."""
        self.unsent[line["attempt"]] = line
        drop_oldest(self.unsent, MAX_UNSENT)

    def add_received(self, msg: CopiesMsg) -> None:
        """Store the copies of another entry's lines."""
        for line in msg["lines"]:
            self.received[line["attempt"]] = (clock.now(), line)

    def drop_settled(self, attempts: list[str]) -> None:
        """Drop the copies of lines that are in the ledger."""
        for attempt in attempts:
            self.received.pop(attempt, None)

    async def notify_settled(self, lines: list[BillLine]) -> None:
        """Notify the holders of copies that lines of this entry are in the ledger."""
        by_holder: dict[str, list[str]] = {}
        for line in lines:
            self.unsent.pop(line["attempt"], None)
            holder = self.holder_by_attempt.pop(line["attempt"], None)
            if holder is not None:
                by_holder.setdefault(holder, []).append(line["attempt"])
        for holder, attempts in by_holder.items():
            msg = SettledMsg(entry=self.entry_name, attempts=attempts, rev=0)
            await call(self.pool, holder, "POST", SETTLED_PATH, encode(msg), CALL_TIMEOUT_S)

    async def run(self, filer: LedgerWriter) -> None:
        """Send this entry's lines, and file unsettled copies, periodically until cancelled."""
        while True:
            await curio.sleep(SEND_PERIOD_S)
            if self.unsent:
                await self._send()
            self.file_unsettled(filer, self.keep_s)

    def file_unsettled(self, filer: LedgerWriter, min_age_s: float) -> None:
        """File copies that are at least `min_age_s` old; 0 files all, for a planned stop."""
        for attempt, (received_at, line) in list(self.received.items()):
            if clock.now() - received_at >= min_age_s:
                del self.received[attempt]
                filer.add(line)

    async def _send(self) -> None:
        holder = self._choose_holder()
        if holder is None:
            return
        lines = list(self.unsent.values())
        msg = CopiesMsg(entry=self.entry_name, lines=lines)
        got = await call(self.pool, holder, "POST", COPIES_PATH, encode(msg), CALL_TIMEOUT_S)
        if isinstance(got, CallFailed):
            self.unresponsive.add(holder)
            return
        for line in lines:
            if self.unsent.pop(line["attempt"], None) is not None:
                self.holder_by_attempt[line["attempt"]] = holder

    def _choose_holder(self) -> str | None:
        """A live entry, first in rendezvous order; one of another hall if there is any."""
        own_addr = ids.address(self.entry_name)
        hall_by_addr = {box["addr"]: box["hall"] for box in self.upstreams.boxes}
        others = [
            addr
            for addr in self.upstreams.ranked_entries("copies", self.entry_name)
            if addr != own_addr and addr not in self.unresponsive
        ]
        other_halls = [addr for addr in others if hall_by_addr[addr] != self.upstreams.hall]
        return next(iter(other_halls or others), None)
