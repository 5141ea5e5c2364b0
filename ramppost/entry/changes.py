"""Changes the configuration by one conditional update on the version that was read.

The plan's id is stored in the document, so the outcome of an update whose reply was lost is
determined by reading it again.  Before a revision is replaced, the plan that made it is written
to the history, so that a repeated confirmation finds its plan however much later it comes.
"""

from __future__ import annotations

from typing import Final, NamedTuple

import curio

from ramppost.confsync import CONFIG_KEY
from ramppost.entry.state import Entry
from ramppost.platform.objects import Absent, Unavailable, Written, get, list_objects, put
from ramppost.schema.config import ConfigDoc
from ramppost.schema.messages import HistoryLine
from ramppost.wire.codec import BadMessage, decode, encode

HISTORY_PREFIX: Final = "history/"
MAX_TRIES: Final = 5
RETRY_S: Final = 0.3


class Applied(NamedTuple):
    """The plan is stored in the platform as this revision."""

    revision: int


class Stale(NamedTuple):
    """The configuration is at another revision than the one that the plan was made for."""

    current: ConfigDoc


class InDoubt(NamedTuple):
    """The platform gave no answer; `written` is whether a write may have reached it."""

    reason: str
    written: bool


async def apply_change(
    entry: Entry, base: int, doc: ConfigDoc, plan_id: str, changed_by: str
) -> Applied | Stale | InDoubt:
    """Replace revision `base` by a new document, made by plan `plan_id`."""
    new_doc = doc.copy()
    new_doc["revision"] = base + 1
    new_doc["plan_id"] = plan_id
    new_doc["changed_by"] = changed_by
    reason, written = "", False
    for attempt in range(MAX_TRIES):
        if attempt:
            await curio.sleep(RETRY_S)
        current = await get(entry.client, CONFIG_KEY, ConfigDoc)
        if isinstance(current, Absent):
            return InDoubt("no configuration in the platform", False)
        if isinstance(current, Unavailable):
            reason = current.reason
            continue
        earlier = await _earlier_outcome(entry, current.value, base, plan_id)
        if isinstance(earlier, Unavailable):
            reason = earlier.reason
            continue
        if earlier is not None:
            return earlier
        written_history = await _write_history(entry, current.value)
        if isinstance(written_history, Unavailable):
            reason = written_history.reason
            continue
        out = await put(entry.client, CONFIG_KEY, new_doc, current.version)
        if isinstance(out, Written):
            entry.conf.adopt(new_doc, "own change")
            return Applied(new_doc["revision"])
        if isinstance(out, Unavailable):
            reason, written = out.reason, written or out.sent
    return InDoubt(reason or "contended", written)


async def _earlier_outcome(
    entry: Entry, current: ConfigDoc, base: int, plan_id: str
) -> Applied | Stale | Unavailable | None:
    """Outcome if the plan was already applied or is stale; None if it can be written.

    Unavailable if the history can't be read, as it may name the plan.
    """
    if current["plan_id"] == plan_id:
        entry.conf.adopt(current, "platform")
        return Applied(current["revision"])
    if current["revision"] == base:
        return None
    former = await read_history(entry)
    if isinstance(former, Unavailable):
        return former
    for line in former:
        if line["plan_id"] == plan_id:
            return Applied(line["revision"])
    entry.conf.adopt(current, "platform")
    return Stale(current)


async def _write_history(entry: Entry, current: ConfigDoc) -> Unavailable | None:
    line = history_line(current)
    key = f"{HISTORY_PREFIX}{current['revision']:08d}"
    out = await put(entry.client, key, line, None)
    return out if isinstance(out, Unavailable) else None


def history_line(doc: ConfigDoc) -> HistoryLine:
    """History line of a document's revision."""
    return HistoryLine(
        revision=doc["revision"], plan_id=doc["plan_id"], changed_by=doc["changed_by"]
    )


async def read_history(entry: Entry) -> list[HistoryLine] | Unavailable:
    """The plans that made the former revisions, oldest first."""
    lines: list[HistoryLine] = []
    after = ""
    while True:
        page = await list_objects(entry.client, HISTORY_PREFIX, after)
        if isinstance(page, Unavailable):
            return page
        if not page["items"]:
            return lines
        for item in page["items"]:
            after = item["key"]
            line = decode(encode(item["value"]), HistoryLine)
            if not isinstance(line, BadMessage):
                lines.append(line)
