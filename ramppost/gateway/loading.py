"""Loads large objects that another gateway told of by name and revision only.

They are loaded apart from the feed, so that what else it tells is not held up, and one at a
time, so that a thin link carries each once.  Whoever told of an object is asked for a copy;
where that does not help, the store, and then any other gateway.  An object that changes again
meanwhile is taken in as it came, and loaded once more.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple
from urllib.parse import urlencode

import curio
from loguru import logger

from ramppost import clock
from ramppost.gateway.copies import COPY_PATH, unpack
from ramppost.gateway.follow import FIRST_BACKOFF_S, MAX_BACKOFF_S, Followed, Lacking
from ramppost.gateway.state import Gateway
from ramppost.platform.store import Missing, StoredObject, Unavailable, read
from ramppost.wire.client import CallFailed, fetch
from ramppost.wire.codec import BadMessage

COPY_TIMEOUT_S: Final = 0.5
"""Until a gateway's answer begins: one that is busy sending to others is passed over."""
IDLE_S: Final = 5.0
"""How long to wait for news before looking again all the same."""


class Failed(NamedTuple):
    """Why a source did not give an object."""

    reason: str


class Source(NamedTuple):
    """Where an object may be had: a name for the log, and how to ask."""

    name: str
    ask: Callable[[], Awaitable[StoredObject | Failed]]


class Wanted(NamedTuple):
    """An object to load: its kind, its name and what is known of it."""

    followed: Followed
    name: str
    lacking: Lacking


async def load_lacking(gw: Gateway) -> None:
    """Load whatever is lacking, until cancelled."""
    backoff_s = FIRST_BACKOFF_S
    while True:
        wanted = _all_wanted(gw)
        if not wanted:
            await gw.news.wait(IDLE_S)
            continue
        loaded = [await load_once(gw, one) for one in wanted]
        if any(loaded):
            backoff_s = FIRST_BACKOFF_S
            continue
        await curio.sleep(backoff_s * gw.rng.uniform(0.5, 1.0))
        backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)


def _all_wanted(gw: Gateway) -> list[Wanted]:
    return [
        Wanted(followed, name, lacking)
        for followed in gw.followed.values()
        for name, lacking in followed.lacking.items()
    ]


async def load_once(gw: Gateway, wanted: Wanted) -> bool:
    """Ask one source after the other; whether one of them gave the object."""
    for source in _sources(gw, wanted):
        began = clock.now()
        got = await source.ask()
        now = clock.now()
        result = "failed" if isinstance(got, Failed) else "loaded"
        gw.metrics.count("ramppost_large_objects_total", result=result)
        logger.info(
            "large object {}",
            f"not loaded: {got.reason}" if isinstance(got, Failed) else "loaded",
            kind=wanted.followed.kind,
            name=wanted.name,
            revision=wanted.lacking.revision,
            source=source.name,
            took_s=round(now - began, 3),
            lacking_s=round(now - wanted.lacking.since, 3),
        )
        if isinstance(got, StoredObject):
            await wanted.followed.loaded(got)
            return True
    return False


def _sources(gw: Gateway, wanted: Wanted) -> list[Source]:
    """Whom to ask, in order: a store that is failing comes last.

    Whoever told of the object is asked even where it lags behind the store: it has the object,
    and reading that from the store took 2.2 s of a link of 0.5 MB/s.
    """
    told_by = wanted.lacking.told_by
    others = [name for name in gw.peers.alive(clock.now()) if name != told_by]
    teller = [_peer(gw, wanted, told_by)] if told_by in gw.peers.addrs else []
    other = [_peer(gw, wanted, gw.rng.choice(others))] if others else []
    store = [Source("store", lambda: _from_store(gw, wanted))]
    if gw.outage.failing_since is not None:
        return teller + other + store
    return teller + store + other


def _peer(gw: Gateway, wanted: Wanted, name: str) -> Source:
    return Source(name, lambda: _from_peer(gw, wanted, name))


async def _from_peer(gw: Gateway, wanted: Wanted, peer: str) -> StoredObject | Failed:
    """Another gateway's copy, if that is as new as what was told of."""
    query = {
        "kind": wanted.followed.kind,
        "name": wanted.name,
        "revision": wanted.lacking.revision,
    }
    path = f"{COPY_PATH}?{urlencode(query)}"
    addr = gw.peers.addrs[peer]
    got = await fetch(gw.store.pool, addr, "GET", path, timeout_s=COPY_TIMEOUT_S)
    if isinstance(got, CallFailed):
        return Failed(got.reason)
    if got.status != 200:
        return Failed(f"status {got.status}")
    obj = unpack(wanted.name, got.body)
    return Failed(obj.reason) if isinstance(obj, BadMessage) else obj


async def _from_store(gw: Gateway, wanted: Wanted) -> StoredObject | Failed:
    """The object as it stands in the store now."""
    got = await read(gw.store, wanted.followed.kind, wanted.name)
    if isinstance(got, Unavailable):
        return Failed(got.reason)
    if isinstance(got, Missing):
        return Failed("removed from the store")
    return got
