"""The document of requests that no gateway runs any more, in the store.

Whoever finds a request to be fatal adds it, by a conditional write; all gateways follow the
document as they follow policies.  It is bounded in length, and what has stood there for a day
goes with the next write.  An operator who deletes it lets all of them run again.
"""

from __future__ import annotations

import time
from typing import Final

import curio
from loguru import logger

from ramppost import clock
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
from ramppost.policy.fatal import MOST_FATAL
from ramppost.policy.routing import unit
from ramppost.schema.messages import FatalDoc, FatalRequest

FATAL_KIND: Final = "fatal-requests"
FATAL_NAME: Final = "main"
"""The one document of this kind; a kind of our own in the store."""
SPREAD_S: Final = 0.2
"""Gateways write within this of each other, so that the first one's write spares the others'."""
RELAYS_FIRST_S: Final = 0.2
RETRY_S: Final = 0.3
KEPT_S: Final = 86_400
"""Each time that a request is forgotten it ends some upstreams before it is found again."""


def fatal_listed(gw: Gateway, snapshot: Snapshot) -> None:
    """The kind was listed."""
    if not any(obj.name == FATAL_NAME for obj in snapshot.objects):
        gw.fatal.agree([])
    for obj in snapshot.objects:
        _seen(gw, obj)


def fatal_changed(gw: Gateway, change: Change) -> None:
    """An object of the kind was written or removed."""
    if not change.removed:
        _seen(gw, change.obj)
    elif change.obj.name == FATAL_NAME:
        logger.info("fatal requests removed from the store; all may run again")
        gw.fatal.release()


async def keep_document(gw: Gateway) -> None:
    """Write what is found here, until cancelled."""
    while True:
        await gw.fatal.found.wait()
        gw.fatal.found.clear()
        delay_s = SPREAD_S * unit("fatal", gw.cfg["name"])
        delay_s += 0.0 if gw.peers.is_relay(clock.now()) else RELAYS_FIRST_S
        await curio.sleep(delay_s)
        while gw.fatal.unwritten and not await _write(gw):
            await curio.sleep(RETRY_S)


def _seen(gw: Gateway, obj: StoredObject) -> None:
    doc = gw.unreadable.decoded(FATAL_KIND, obj, FatalDoc)
    if doc is not None and obj.name == FATAL_NAME:
        gw.fatal.agree(doc["requests"])


async def _write(gw: Gateway) -> bool:
    """Add to the document what it lacks; whether that is done."""
    held = await read(gw.store, FATAL_KIND, FATAL_NAME)
    if isinstance(held, Unavailable):
        logger.warning("fatal requests not written yet: {}", held.reason)
        return False
    got: StoredObject | Conflict | Unavailable
    if isinstance(held, Missing):
        got = await create(gw.store, FATAL_KIND, FATAL_NAME, _joined([], gw.fatal.unwritten))
    else:
        _seen(gw, held)
        if not gw.fatal.unwritten:
            return True
        doc = _joined(list(gw.fatal.agreed.values()), gw.fatal.unwritten)
        got = await replace(gw.store, FATAL_KIND, FATAL_NAME, held.revision, doc)
    if not isinstance(got, StoredObject):
        logger.info("fatal requests not written yet", outcome=type(got).__name__)
        return False
    logger.info("fatal requests written", count=len(gw.fatal.unwritten), revision=got.revision)
    _seen(gw, got)
    return True


def _joined(held: list[FatalRequest], found: dict[str, FatalRequest]) -> FatalDoc:
    """The document with what was found, the newest of both."""
    now = int(time.time())
    young = [one for one in held if now - one["at"] < KEPT_S]
    return FatalDoc(requests=[*young, *found.values()][-MOST_FATAL:])
