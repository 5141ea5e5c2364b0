"""Changes the configuration: one conditional update on the revision that was read.

The plan's id is in the document, so a lost reply is resolved by reading.  Before
a revision is replaced, the plan that made it is written to the history, so that
confirming a plan again finds it however much later.
"""

from __future__ import annotations

from typing import Final, NamedTuple

import curio

from ramppost.confsync import CONFIG_KEY
from ramppost.entry.state import Entry
from ramppost.platform.objects import Absent, Unavailable, Written, get, listing, put
from ramppost.schema.config import ConfigDoc
from ramppost.schema.messages import HistoryLine
from ramppost.wire.codec import BadMessage, decode, encode

HISTORY_PREFIX: Final = "history/"
TRIES: Final = 5
RETRY_S: Final = 0.3


class Applied(NamedTuple):
    """The plan is in the platform, as this revision."""

    revision: int


class Stale(NamedTuple):
    """The configuration has another revision than the one planned for."""

    current: ConfigDoc


class InDoubt(NamedTuple):
    """No answer from the platform; `written` is false if no write was tried."""

    reason: str
    written: bool


async def change(
    entry: Entry, base: int, doc: ConfigDoc, plan_id: str, by: str
) -> Applied | Stale | InDoubt:
    """Put a new document in the place of revision `base`."""
    fresh = doc.copy()
    fresh["revision"] = base + 1
    fresh["plan_id"] = plan_id
    fresh["changed_by"] = by
    reason, written = "", False
    for number in range(TRIES):
        if number:
            await curio.sleep(RETRY_S)
        held = await get(entry.client, CONFIG_KEY, ConfigDoc)
        if isinstance(held, Absent):
            return InDoubt("no configuration in the platform", False)
        if isinstance(held, Unavailable):
            reason = held.reason
            continue
        done = await _already(entry, held.value, base, plan_id)
        if done is not None:
            return done
        kept = await _keep_history(entry, held.value)
        if isinstance(kept, Unavailable):
            reason = kept.reason
            continue
        out = await put(entry.client, CONFIG_KEY, fresh, held.version)
        if isinstance(out, Written):
            entry.conf.adopt(fresh, "own change")
            return Applied(fresh["revision"])
        if isinstance(out, Unavailable):
            reason, written = out.reason, written or out.sent
    return InDoubt(reason or "contended", written)


async def _already(
    entry: Entry, held: ConfigDoc, base: int, plan_id: str
) -> Applied | Stale | None:
    """What stands against writing; None if nothing does."""
    if held["plan_id"] == plan_id:
        entry.conf.adopt(held, "platform")
        return Applied(held["revision"])
    if held["revision"] == base:
        return None
    past = await history(entry)
    if not isinstance(past, Unavailable):
        for line in past:
            if line["plan_id"] == plan_id:
                return Applied(line["revision"])
    entry.conf.adopt(held, "platform")
    return Stale(held)


async def _keep_history(entry: Entry, held: ConfigDoc) -> Unavailable | None:
    line = line_of(held)
    key = f"{HISTORY_PREFIX}{held['revision']:08d}"
    out = await put(entry.client, key, line, None)
    return out if isinstance(out, Unavailable) else None


def line_of(doc: ConfigDoc) -> HistoryLine:
    """The history's line of a document."""
    return HistoryLine(
        revision=doc["revision"], plan_id=doc["plan_id"], changed_by=doc["changed_by"]
    )


async def history(entry: Entry) -> list[HistoryLine] | Unavailable:
    """Which plan made each former revision, oldest first."""
    lines: list[HistoryLine] = []
    after = ""
    while True:
        page = await listing(entry.client, HISTORY_PREFIX, after)
        if isinstance(page, Unavailable):
            return page
        if not page["items"]:
            return lines
        for item in page["items"]:
            after = item["key"]
            line = decode(encode(item["value"]), HistoryLine)
            if not isinstance(line, BadMessage):
                lines.append(line)
