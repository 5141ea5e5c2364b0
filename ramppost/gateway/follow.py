"""Keeps up with a kind of objects in the store: list once, then watch.

`follow` runs until cancelled.  It lists again where the history is gone, backs off
while the store gives no answer, and logs once when the store is lost and once when it
is back.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Final, NamedTuple

import curio
from loguru import logger

from ramppost.platform.store import (
    Change,
    Changes,
    HistoryGone,
    Snapshot,
    StoreClient,
    Unavailable,
    list_kind,
    watch,
)

FIRST_BACKOFF_S: Final = 0.1
MAX_BACKOFF_S: Final = 0.5
"""Calls to a store that is away are paid for too, and it has to be noticed soon when back."""


class Follower(NamedTuple):
    """What is done with what comes: the whole list, a change, and each answered call.

    `on_confirmed` gets when the call was sent.  One that `probes` goes on calling a store
    that does not answer; the others wait until it is answered.  Setting `wake` begins the
    watch anew.
    """

    kind: str
    wait_s: Callable[[], float]
    on_snapshot: Callable[[Snapshot], None]
    on_change: Callable[[Change], None]
    on_confirmed: Callable[[float], None]
    probes: bool
    wake: curio.Event


class Woken(NamedTuple):
    """The watch was given up before the store answered: nothing is known by it."""


class Outage:
    """Whether the store answers, and since when it does not (steady clock)."""

    def __init__(self) -> None:
        self.failing_since: float | None = None

    def failed(self, kind: str, reason: str) -> None:
        """A call had no usable answer."""
        if self.failing_since is None:
            self.failing_since = time.monotonic()
            logger.warning("store lost: {}", reason, kind=kind)

    def answered(self, kind: str) -> None:
        """A call was answered."""
        if self.failing_since is None:
            return
        away_s = time.monotonic() - self.failing_since
        self.failing_since = None
        logger.info("store regained after {:.1f} s", away_s, kind=kind)


async def _watch_unless_woken(
    client: StoreClient, follower: Follower, revision: int
) -> Changes | HistoryGone | Unavailable | Woken:
    """Watch; where the watch is known to have missed something, begin it anew."""
    follower.wake.clear()
    async with curio.TaskGroup(wait=any) as group:
        watching = await group.spawn(watch, client, follower.kind, revision, follower.wait_s())
        await group.spawn(follower.wake.wait)
    if group.completed is watching:
        got: Changes | HistoryGone | Unavailable = watching.result
        return got
    return Woken()


async def _outage_over(outage: Outage) -> None:
    """Wait until the store has answered somebody."""
    while outage.failing_since is not None:
        await curio.sleep(FIRST_BACKOFF_S)


async def follow(client: StoreClient, follower: Follower, outage: Outage) -> None:
    """List, watch, and list again where that is needed."""
    revision: int | None = None
    backoff_s = FIRST_BACKOFF_S
    while True:
        sent_at = time.monotonic()
        if revision is None:
            got: Snapshot | Changes | HistoryGone | Unavailable | Woken = await list_kind(
                client, follower.kind
            )
        else:
            got = await _watch_unless_woken(client, follower, revision)
        if isinstance(got, Woken):
            continue
        if isinstance(got, Unavailable):
            outage.failed(follower.kind, got.reason)
            await curio.sleep(backoff_s * random.uniform(0.5, 1.0))
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
            if not follower.probes:
                await _outage_over(outage)
            continue
        outage.answered(follower.kind)
        backoff_s = FIRST_BACKOFF_S
        if isinstance(got, HistoryGone):
            logger.info("history gone before revision {}; listing again", revision)
            revision = None
            continue
        if isinstance(got, Snapshot):
            follower.on_snapshot(got)
        else:
            for change in got.changes:
                follower.on_change(change)
        revision = got.revision
        follower.on_confirmed(sent_at)
