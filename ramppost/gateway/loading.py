"""Loads large objects that another gateway announced by name and revision only.

They are loaded separately from the feed, so that they don't delay its other changes, and one at a
time, so that a slow link carries each once.  The gateway that announced an object is asked for a
copy; if that fails, the store, and then any other gateway.  An object that changes again meanwhile
is applied as loaded, and then loaded once more.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple
from urllib.parse import urlencode

import curio
from loguru import logger

from ramppost import clock
from ramppost.gateway.copies import COPY_PATH, decode_copy
from ramppost.gateway.follow import FIRST_BACKOFF_S, MAX_BACKOFF_S
from ramppost.gateway.replica import KindReplica, PendingObject
from ramppost.gateway.state import Gateway
from ramppost.platform.store import Missing, StoredObject, Unavailable, read
from ramppost.wire.client import CallFailed, fetch
from ramppost.wire.codec import BadMessage

COPY_TIMEOUT_S: Final = 0.5
"""Timeout until a gateway's response begins; one that is busy sending to others is skipped."""
IDLE_POLL_S: Final = 5.0
"""How long to wait for an update before checking again without one."""


class LoadFailed(NamedTuple):
    """Why a source did not return an object."""

    reason: str


class ObjectSource(NamedTuple):
    """A source of an object: its name for the log, and a function that requests the object."""

    name: str
    load: Callable[[], Awaitable[StoredObject | LoadFailed]]


class LoadTask(NamedTuple):
    """An object to load: the replica of its kind, its name and its announced state."""

    replica: KindReplica
    name: str
    pending: PendingObject


async def load_pending(gw: Gateway) -> None:
    """Load all pending objects, until cancelled."""
    backoff_s = FIRST_BACKOFF_S
    while True:
        tasks = _load_tasks(gw)
        if not tasks:
            await gw.updates.wait(IDLE_POLL_S)
            continue
        loaded = [await load_object(gw, task) for task in tasks]
        if any(loaded):
            backoff_s = FIRST_BACKOFF_S
            continue
        await curio.sleep(backoff_s * gw.rng.uniform(0.5, 1.0))
        backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)


def _load_tasks(gw: Gateway) -> list[LoadTask]:
    return [
        LoadTask(replica, name, pending)
        for replica in gw.replicas.values()
        for name, pending in replica.pending.items()
    ]


async def load_object(gw: Gateway, task: LoadTask) -> bool:
    """Try the sources in order; returns whether one of them returned the object."""
    for source in _sources(gw, task):
        started_at = clock.now()
        loaded = await source.load()
        now = clock.now()
        result = "failed" if isinstance(loaded, LoadFailed) else "loaded"
        gw.metrics.count("ramppost_large_objects_total", result=result)
        logger.info(
            "large object {}",
            f"not loaded: {loaded.reason}" if isinstance(loaded, LoadFailed) else "loaded",
            kind=task.replica.kind,
            name=task.name,
            revision=task.pending.position.revision,
            source=source.name,
            took_s=round(now - started_at, 3),
            lacking_s=round(now - task.pending.since, 3),
        )
        if isinstance(loaded, StoredObject):
            await task.replica.apply_object(loaded)
            return True
    return False


def _sources(gw: Gateway, task: LoadTask) -> list[ObjectSource]:
    """The sources in the order in which they are tried; an unavailable store comes last.

    The gateway that announced the object is tried even if it lags behind the store: it has the
    object, and reading that from the store took 2.2 s of a link of 0.5 MB/s.
    """
    origin = task.pending.source
    others = [name for name in gw.peers.alive(clock.now()) if name != origin]
    origin_source = [_peer_source(gw, task, origin)] if origin in gw.peers.addrs else []
    other = [_peer_source(gw, task, gw.rng.choice(others))] if others else []
    store = [ObjectSource("store", lambda: _read_from_store(gw, task))]
    if gw.store_outage.failing_since is not None:
        return origin_source + other + store
    return origin_source + store + other


def _peer_source(gw: Gateway, task: LoadTask, name: str) -> ObjectSource:
    return ObjectSource(name, lambda: _read_from_peer(gw, task, name))


async def _read_from_peer(gw: Gateway, task: LoadTask, peer: str) -> StoredObject | LoadFailed:
    """Request another gateway's copy, if that is at least as new as announced."""
    query = {
        "kind": task.replica.kind,
        "name": task.name,
        "era": task.pending.position.era,
        "revision": task.pending.position.revision,
    }
    path = f"{COPY_PATH}?{urlencode(query)}"
    addr = gw.peers.addrs[peer]
    answer = await fetch(gw.store.pool, addr, "GET", path, timeout_s=COPY_TIMEOUT_S)
    if isinstance(answer, CallFailed):
        return LoadFailed(answer.reason)
    if answer.status != 200:
        return LoadFailed(f"status {answer.status}")
    obj = decode_copy(task.name, answer.body)
    return LoadFailed(obj.reason) if isinstance(obj, BadMessage) else obj


async def _read_from_store(gw: Gateway, task: LoadTask) -> StoredObject | LoadFailed:
    """Read the object's current revision from the store."""
    result = await read(gw.store, task.replica.kind, task.name)
    if isinstance(result, Unavailable):
        return LoadFailed(result.reason)
    if isinstance(result, Missing):
        return LoadFailed("removed from the store")
    return result
