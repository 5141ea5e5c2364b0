"""Maintains the document of fatal requests in the store, which no gateway runs.

A gateway that finds a request to be fatal adds it with a conditional write.  It also adds a request
that is one end short of proof, since all gateways may be killed before the next end.  A gateway
that answers a listed request successfully removes it.  All gateways watch the document, as they do
policies.  Its length is bounded, and entries older than a day are removed on the next write.  If an
operator deletes the document, all requests may run again.  What the store has lost by coming back
from an older copy is written again.
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
"""The only document of this kind, which is specific to ramppost."""
WRITE_SPREAD_S: Final = 0.2
"""Relays spread their writes over this time, and the other gateways do so after them."""
RETRY_DELAY_S: Final = 0.3
POLL_INTERVAL_S: Final = 0.2
"""How often to check whether the document needs a write."""
RETENTION_S: Final = 86_400
"""Each time a fatal request is forgotten, it crashes some upstreams before it is detected again."""


def fatal_listed(gw: Gateway, snapshot: Snapshot) -> None:
    """Apply a listing of the kind."""
    exists = any(obj.name == FATAL_NAME for obj in snapshot.objects)
    if not exists and gw.fatal.is_lost_in(snapshot.era):
        gw.fatal.apply_document([], snapshot.era)
    elif not exists and gw.fatal.published:
        _apply_removal(gw)
    for obj in snapshot.objects:
        _apply_document(gw, obj)


def fatal_changed(gw: Gateway, change: Change) -> None:
    """Apply a write or removal of an object of the kind."""
    if not change.removed:
        _apply_document(gw, change.obj)
    elif change.obj.name == FATAL_NAME:
        _apply_removal(gw)


async def sync_document(gw: Gateway) -> None:
    """Write findings to the document and remove cleared requests, until cancelled."""
    fraction = hash_fraction("fatal", gw.cfg["name"])
    while True:
        await curio.sleep(POLL_INTERVAL_S)
        if not _needs_write(gw):
            continue
        await curio.sleep(gw.peers.write_delay_s(WRITE_SPREAD_S, fraction, clock.now()))
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
        gw.fatal.apply_document(doc["requests"], obj.era)


async def _write(gw: Gateway) -> bool:
    """Bring the document up to date; returns whether that succeeded."""
    current = await read(gw.store, FATAL_KIND, FATAL_NAME)
    if isinstance(current, Unavailable):
        logger.warning(
            "fatal requests not written yet; can't read the document: {}", current.reason
        )
        return False
    if isinstance(current, StoredObject):
        _apply_document(gw, current)
        if not _needs_write(gw):
            return True
    else:
        gw.fatal.apply_document([], gw.store.era)
    doc, written = _merge(gw.fatal), dict(gw.fatal.unpublished)
    got: StoredObject | Conflict | Unavailable
    if isinstance(current, Missing):
        got = await create(gw.store, FATAL_KIND, FATAL_NAME, doc)
    else:
        got = await replace(gw.store, FATAL_KIND, FATAL_NAME, current.position, doc)
    if not isinstance(got, StoredObject):
        logger.info("fatal requests not written yet", outcome=type(got).__name__)
        return False
    logger.info("fatal requests written", count=len(doc["requests"]), revision=got.revision)
    _apply_document(gw, got)
    gw.fatal.mark_published(written)
    return True


def _merge(fatal: FatalRequests) -> FatalDoc:
    """The document with new findings added and cleared or old requests removed.

    If it would exceed its maximum length, certain requests take precedence over uncertain ones, and
    newer ones over older ones.
    """
    now = int(time.time())
    recent = {
        fingerprint: request
        for fingerprint, request in fatal.published.items()
        if now - request["at"] < RETENTION_S and fingerprint not in fatal.cleared
    }
    merged = [*(recent | fatal.unpublished).values()]
    selected = sorted(merged, key=lambda request: (request["certain"], request["at"]))[-MAX_FATAL:]
    return FatalDoc(requests=selected)
