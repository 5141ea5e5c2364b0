"""Copies of bill lines that an entry keeps for another."""

from __future__ import annotations

import random

from ramppost.entry.copies import BillLineCopies
from ramppost.entry.upstreams import Upstreams
from ramppost.ledger import LedgerWriter
from ramppost.platform.objects import Client
from ramppost.schema.messages import BillLine, CopiesMsg
from ramppost.wire.client import Pool

ME = "10.0.0.1:1#a"


def line(attempt: str) -> BillLine:
    return BillLine(
        request_id="r", attempt=attempt, workspace="w", model="m", version="v", tokens=1, cost=1.0
    )


def test_a_stopping_entry_files_what_nobody_settled() -> None:
    pool = Pool()
    copies = BillLineCopies(
        Upstreams("e", "h", ME, pool, 8, random.Random()), pool, ME, keep_s=60.0
    )
    filer = LedgerWriter(
        Client("127.0.0.1:1", pool), ME, 1.0, lambda lines: copies.notify_settled(lines)
    )
    copies.add_received(CopiesMsg(entry="other", lines=[line("settled"), line("unsettled")]))
    copies.drop_settled(["settled"])
    copies.file_unsettled(filer, 60.0)
    assert filer.queue == []
    copies.file_unsettled(filer, 0.0)
    assert [x["attempt"] for x in filer.queue] == ["unsettled"]
