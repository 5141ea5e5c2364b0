"""Copies of bill lines that an entry keeps for a peer."""

from __future__ import annotations

import random

from ramppost.entry.copies import BillLineCopies
from ramppost.entry.upstreams import Upstreams
from ramppost.ledger import LedgerWriter
from ramppost.platform.objects import Client
from ramppost.schema.messages import BillLine, CopiesMsg
from ramppost.wire.client import Pool

OWN_ADDRESS = "10.0.0.1:1#a"


def bill_line(attempt: str) -> BillLine:
    return BillLine(
        request_id="r", attempt=attempt, workspace="w", model="m", version="v", tokens=1, cost=1.0
    )


def test_a_stopping_entry_files_unsettled_lines() -> None:
    pool = Pool()
    copies = BillLineCopies(
        Upstreams("e", "h", OWN_ADDRESS, pool, 8, random.Random()), pool, OWN_ADDRESS, keep_s=60.0
    )
    ledger_writer = LedgerWriter(
        Client("127.0.0.1:1", pool), OWN_ADDRESS, 1.0, lambda lines: copies.notify_settled(lines)
    )
    copies.add_received(
        CopiesMsg(entry="other", lines=[bill_line("settled"), bill_line("unsettled")])
    )
    copies.drop_settled(["settled"])
    copies.file_unsettled(ledger_writer, 60.0)
    assert ledger_writer.queue == []
    copies.file_unsettled(ledger_writer, 0.0)
    assert [x["attempt"] for x in ledger_writer.queue] == ["unsettled"]
