"""The document of requests that no gateway runs any more, in the store.

Whoever finds a request to be fatal adds it, by a conditional write, and one that lacks a single
end, too, since all gateways may be killed before that.  Whoever answers one well takes it out.  All
gateways follow the document as they follow policies.  It is bounded in length, and what has
stood there for a day goes with the next write.  An operator who deletes it lets all run again.
"""

from __future__ import annotations

import time
from typing import Final

import curio
from loguru import logger

from ramppost import clock
from ramppost.gateway.fatal import FatalRequests
from ramppost.gateway.state import Gateway
from ramppost.platform.store import (
    Change,
    Conflict,
    Missing,
    Snapshot,
    StoredObject,
    Unavailable,
    create,
    read,
    replace,
)
from ramppost.policy.fatal import MAX_FATAL
from ramppost.policy.routing import hash_fraction
from ramppost.schema.messages import FatalDoc

FATAL_KIND: Final = "fatal-requests"
FATAL_NAME: Final = "main"
"""The one document of this kind; a kind of our own in the store."""
WRITE_SPREAD_S: Final = 0.2
"""Relays write within this of each other, and so do the others after them."""
RETRY_DELAY_S: Final = 0.3
POLL_INTERVAL_S: Final = 0.2
"""How often to look whether there is something to write."""
RETENTION_S: Final = 86_400
"""Each time that a request is forgotten it ends some upstreams before it is found again."""


def fatal_listed(gw: Gateway, snapshot: Snapshot) -> None:
    """The kind was listed."""
    there = any(obj.name == FATAL_NAME for obj in snapshot.objects)
    if gw.fatal.published and not there:
        _apply_removal(gw)
    for obj in snapshot.objects:
        _apply_document(gw, obj)


def fatal_changed(gw: Gateway, change: Change) -> None:
    """An object of the kind was written or removed."""
    if not change.removed:
        _apply_document(gw, change.obj)
    elif change.obj.name == FATAL_NAME:
        _apply_removal(gw)


async def sync_document(gw: Gateway) -> None:
    """Write what is found here, and take out what was answered well, until cancelled."""
    place = hash_fraction("fatal", gw.cfg["name"])
    while True:
        await curio.sleep(POLL_INTERVAL_S)
        if not _needs_write(gw):
            continue
        await curio.sleep(gw.peers.write_delay_s(WRITE_SPREAD_S, place, clock.now()))
        while _needs_write(gw) and not await _write(gw):
            await curio.sleep(RETRY_DELAY_S)


def _needs_write(gw: Gateway) -> bool:
    return bool(gw.fatal.unpublished or gw.fatal.cleared)


def _apply_removal(gw: Gateway) -> None:
    logger.info("fatal requests removed from the store; all may run again")
    gw.fatal.reset()


def _apply_document(gw: Gateway, obj: StoredObject) -> None:
    doc = gw.unreadable.decode_spec(FATAL_KIND, obj, FatalDoc)
    if doc is not None and obj.name == FATAL_NAME:
        gw.fatal.apply_document(doc["requests"])


async def _write(gw: Gateway) -> bool:
    """Bring the document up to date; whether that is done."""
    held = await read(gw.store, FATAL_KIND, FATAL_NAME)
    if isinstance(held, Unavailable):
        logger.warning("fatal requests not written yet: {}", held.reason)
        return False
    if isinstance(held, StoredObject):
        _apply_document(gw, held)
        if not _needs_write(gw):
            return True
    else:
        gw.fatal.apply_document([])
    doc, written = _merge(gw.fatal), dict(gw.fatal.unpublished)
    got: StoredObject | Conflict | Unavailable
    if isinstance(held, Missing):
        got = await create(gw.store, FATAL_KIND, FATAL_NAME, doc)
    else:
        got = await replace(gw.store, FATAL_KIND, FATAL_NAME, held.revision, doc)
    if not isinstance(got, StoredObject):
        logger.info("fatal requests not written yet", outcome=type(got).__name__)
        return False
    logger.info("fatal requests written", count=len(doc["requests"]), revision=got.revision)
    _apply_document(gw, got)
    gw.fatal.mark_published(written)
    return True


def _merge(fatal: FatalRequests) -> FatalDoc:
    """The document with what was found and without what was cleared or is old; where it would
    be too long, those that are certain stay before the others, and the newest of each."""
    now = int(time.time())
    young = {
        fingerprint: one
        for fingerprint, one in fatal.published.items()
        if now - one["at"] < RETENTION_S and fingerprint not in fatal.cleared
    }
    together = [*(young | fatal.unpublished).values()]
    newest = sorted(together, key=lambda one: (one["certain"], one["at"]))[-MAX_FATAL:]
    return FatalDoc(requests=newest)
