"""Copies of bill lines at an entry of another data hall, until they are in the ledger.

An agent keeps a witness copy of each line it caused, but an entry prefers agents
of its own hall, and a hall is lost as a whole.  So an entry also sends its lines,
a moment's worth in one message, to a live entry elsewhere, which files those that
nobody settles in time.  The ledger is a set by attempt: a line filed twice counts
once.  Nobody waits for a copy; a line that is younger than `SEND_PERIOD_S` can
still be lost with its hall.
"""

from __future__ import annotations

from typing import Final

import curio

from ramppost import clock, ids
from ramppost.entry.unresponsive import UnresponsiveEntries
from ramppost.entry.upstreams import Upstreams
from ramppost.ledger import Filer
from ramppost.schema.messages import BillLine, CopiesMsg, SettledMsg
from ramppost.wire.client import CallFailed, Pool, call
from ramppost.wire.codec import encode

COPIES_PATH: Final = "/x/copies"
SETTLED_PATH: Final = "/x/settled"
SEND_PERIOD_S: Final = 1.0
CALL_TIMEOUT_S: Final = 1.0
MAX_UNSENT: Final = 10_000
LEAST_KEEP_S: Final = 5.0
KEEP_WINDOWS: Final = 3


class Copies:
    """Our lines on their way to another entry, and other entries' lines here."""

    def __init__(self, ups: Upstreams, pool: Pool, me: str, keep_s: float) -> None:
        self.ups = ups
        self.pool = pool
        self.me = me
        self.keep_s = keep_s
        self.unsent: dict[str, BillLine] = {}
        self.holders: dict[str, str] = {}
        self.kept: dict[str, tuple[float, BillLine]] = {}
        self.shunned = UnresponsiveEntries()

    def add(self, line: BillLine) -> None:
        """Have a line of ours copied; the oldest go without where none can be sent."""
        self.unsent[line["attempt"]] = line
        if len(self.unsent) > MAX_UNSENT:
            del self.unsent[next(iter(self.unsent))]

    def take(self, msg: CopiesMsg) -> None:
        """Keep another entry's lines."""
        for line in msg["lines"]:
            self.kept[line["attempt"]] = (clock.now(), line)

    def settle(self, attempts: list[str]) -> None:
        """These lines are in the ledger: drop the copies."""
        for attempt in attempts:
            self.kept.pop(attempt, None)

    async def settled(self, lines: list[BillLine]) -> None:
        """Our lines are in the ledger: tell who holds copies."""
        by_holder: dict[str, list[str]] = {}
        for line in lines:
            self.unsent.pop(line["attempt"], None)
            holder = self.holders.pop(line["attempt"], None)
            if holder is not None:
                by_holder.setdefault(holder, []).append(line["attempt"])
        for holder, attempts in by_holder.items():
            msg = SettledMsg(entry=self.me, attempts=attempts, rev=0)
            await call(self.pool, holder, "POST", SETTLED_PATH, encode(msg), CALL_TIMEOUT_S)

    async def run(self, filer: Filer) -> None:
        """Send our lines, and file others' that nobody settled, until cancelled."""
        while True:
            await curio.sleep(SEND_PERIOD_S)
            if self.unsent:
                await self._send()
            self.file_kept(filer, self.keep_s)

    def file_kept(self, filer: Filer, older_than_s: float) -> None:
        """File others' lines that were kept so long; all of them where this entry stops."""
        for attempt, (since, line) in list(self.kept.items()):
            if clock.now() - since >= older_than_s:
                del self.kept[attempt]
                filer.add(line)

    async def _send(self) -> None:
        holder = self._holder()
        if holder is None:
            return
        lines = list(self.unsent.values())
        msg = CopiesMsg(entry=self.me, lines=lines)
        got = await call(self.pool, holder, "POST", COPIES_PATH, encode(msg), CALL_TIMEOUT_S)
        if isinstance(got, CallFailed):
            self.shunned.add(holder)
            return
        for line in lines:
            if self.unsent.pop(line["attempt"], None) is not None:
                self.holders[line["attempt"]] = holder

    def _holder(self) -> str | None:
        """A live entry of another hall, by rendezvous; of this one where there is no other."""
        mine = ids.address(self.me)
        halls = {box["addr"]: box["hall"] for box in self.ups.boxes}
        usable = [
            addr
            for addr in self.ups.ordered("copies", self.me)
            if addr != mine and addr not in self.shunned
        ]
        away = [addr for addr in usable if halls[addr] != self.ups.hall]
        return next(iter(away or usable), None)
