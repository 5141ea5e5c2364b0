"""Keeps up with a kind of objects in the store: list once, then watch.

`follow` runs until cancelled.  It lists again where the history is gone, backs off
while the store gives no answer, and logs once when the store is lost and once when it
is back.  While a relay tells what changes (`ramppost.gateway.subscribe`), the store is
not asked; both ways meet in a `KindReplica`, which takes in nothing older than it has.  Large
objects are told by name and revision; `ramppost.gateway.loading` reads them.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final, NamedTuple

import curio
from loguru import logger

from ramppost import clock
from ramppost.platform.store import (
    Change,
    Changes,
    HistoryGone,
    Snapshot,
    StoreClient,
    StoredObject,
    Unavailable,
    list_kind,
    watch,
)
from ramppost.wire.codec import encode

FIRST_BACKOFF_S: Final = 0.1
MAX_BACKOFF_S: Final = 0.5
"""Calls to a store that is away are paid for too, and it has to be noticed soon when back."""
START_FALLBACK_DELAY_S: Final = 1.0
"""How much longer a start waits to be told what need not be known at once."""
SHORT_WATCH_TIMEOUT_S: Final = 0.005
"""Wait of a watch where the last confirmation is old: its answer is awaited, not the news."""
MAX_CHANGE_LOG: Final = 4096
"""Objects whose latest change is kept for gateways that ask: more than change within the time
that one may go unanswered.  A gateway that asks further back is told everything."""


class Handlers(NamedTuple):
    """What is done with what comes: the whole list, a change, and each confirmation.

    `on_confirmed` gets the time (steady clock) at which the state was known to be the newest.
    """

    on_snapshot: Callable[[Snapshot], None]
    on_change: Callable[[Change], None]
    on_confirmed: Callable[[float], None]


class Delta(NamedTuple):
    """What another gateway is told of a kind: everything (`full`), or what changed."""

    full: bool
    changes: list[Change]


class PendingObject(NamedTuple):
    """An object that is known by name and revision only.

    `source` is the gateway that told of it, `since` when the first such revision was told of
    (steady clock).
    """

    revision: int
    source: str
    since: float


class UpdateNotifier:
    """Wakes all who wait for anything new of any kind."""

    def __init__(self) -> None:
        self._event = curio.Event()

    async def notify(self) -> None:
        """Something is new."""
        event, self._event = self._event, curio.Event()
        await event.set()

    async def wait(self, timeout_s: float) -> None:
        """Return at the next news, or after so long."""
        await curio.ignore_after(timeout_s, self._event.wait)


class KindReplica:
    """How far a kind of objects is known here, and its latest changes for those who ask.

    `urgent` tells that other gateways have to know its state within a bound, so that a later
    confirmation is news, too.
    """

    def __init__(
        self, kind: str, handlers: Handlers, notifier: UpdateNotifier, urgent: bool
    ) -> None:
        self.kind = kind
        self.urgent = urgent
        self.revision: int | None = None
        """The store's revision that is known here; None where it has to be listed."""
        self.confirmed_at = float("-inf")
        """When that was known to be the newest (steady clock)."""
        self.awaiting_response = False
        """Whether the store's answer has begun, or was whole so late that what it confirms is old
        already: a later confirmation is on its way."""
        self.pending: dict[str, PendingObject] = {}
        """What of that is known by name and revision only.  Meanwhile nothing is confirmed to
        the handlers: what they put in force is not the newest."""
        self._notifier = notifier
        self._handlers = handlers
        self._objects: dict[str, StoredObject] = {}
        self._latest_changes: dict[str, tuple[int, Change]] = {}
        self._sizes: dict[str, int] = {}
        self._change_log_start = 0

    def response_started(self) -> None:
        """What the store answers is on its way."""
        self.awaiting_response = True

    async def apply_snapshot(self, snapshot: Snapshot, at: float, source: str = "") -> None:
        """Everything was listed, as it stood at a time or later."""
        if self.revision is not None and snapshot.revision < self.revision:
            return
        objects = [self._newest_known(obj) for obj in snapshot.objects]
        self._objects = {obj.name: obj for obj in objects}
        before, self.pending = self.pending, {}
        for obj in objects:
            if not obj.whole:
                self._mark_pending(obj, source, before.get(obj.name))
        self._latest_changes.clear()
        self._sizes.clear()
        self._change_log_start = self.revision = snapshot.revision
        whole = [obj for obj in objects if obj.whole]
        self._handlers.on_snapshot(Snapshot(whole, snapshot.revision))
        await self._confirm(at)

    async def apply_changes(
        self, since: int, changes: Changes, at: float, source: str = ""
    ) -> None:
        """These changed after `since`; at a time, nothing else had."""
        if self.revision != since or changes.revision < since:
            return
        for change in changes.changes:
            self._apply_change(change, changes.revision, source)
        self.revision = changes.revision
        await self._confirm(at)

    async def apply_object(self, obj: StoredObject) -> None:
        """An object that was lacking has been read by itself.

        An older one than was told of is put in force meanwhile, and the other stays lacking.
        """
        held = self._objects.get(obj.name)
        if held is None or (held.whole and held.revision >= obj.revision):
            return
        pending = self.pending.get(obj.name)
        if pending is None or obj.revision >= pending.revision:
            self._replace_pending(obj)
        self._handlers.on_change(Change(obj, False))
        await self._confirm(self.confirmed_at)

    def complete_object(self, name: str) -> StoredObject | None:
        """An object with all that it holds; None where it is not here."""
        obj = self._objects.get(name)
        return obj if obj is not None and obj.whole else None

    def changes_since(self, revision: int) -> Delta:
        """What somebody who knows up to a revision has to be told."""
        if revision < self._change_log_start:
            return Delta(True, [Change(obj, False) for obj in self._objects.values()])
        found = []
        for changed_at, change in reversed(self._latest_changes.values()):
            if changed_at <= revision:
                break
            found.append(change)
        return Delta(False, found[::-1])

    def size_of(self, name: str) -> int:
        """Bytes of an object's spec as JSON; 0 where it is not there."""
        if name not in self._sizes:
            obj = self._objects.get(name)
            self._sizes[name] = len(encode(obj.spec)) if obj is not None else 0
        return self._sizes[name]

    def _newest_known(self, obj: StoredObject) -> StoredObject:
        """The object as it is held here where that is as new and has more."""
        held = self.complete_object(obj.name)
        if obj.whole or held is None or held.revision < obj.revision:
            return obj
        return held

    def _apply_change(self, change: Change, revision: int, source: str) -> None:
        obj = change.obj if change.removed else self._newest_known(change.obj)
        self._record_change(Change(obj, change.removed), revision)
        before = self.pending.pop(obj.name, None)
        if obj.whole or change.removed:
            self._handlers.on_change(Change(obj, change.removed))
        else:
            self._mark_pending(obj, source, before)

    def _mark_pending(self, obj: StoredObject, source: str, before: PendingObject | None) -> None:
        since = before.since if before is not None else clock.now()
        self.pending[obj.name] = PendingObject(obj.revision, source, since)

    def _replace_pending(self, obj: StoredObject) -> None:
        """Put a whole object where it was known by name."""
        self._objects[obj.name] = obj
        self.pending.pop(obj.name, None)
        self._sizes.pop(obj.name, None)
        if obj.name in self._latest_changes:
            changed_at, _ = self._latest_changes[obj.name]
            self._latest_changes[obj.name] = (changed_at, Change(obj, False))

    def _record_change(self, change: Change, revision: int) -> None:
        name = change.obj.name
        self._sizes.pop(name, None)
        self._latest_changes.pop(name, None)
        self._latest_changes[name] = (revision, change)
        if change.removed:
            self._objects.pop(name, None)
        else:
            self._objects[name] = change.obj
        while len(self._latest_changes) > MAX_CHANGE_LOG:
            self._change_log_start, _ = self._latest_changes.pop(next(iter(self._latest_changes)))

    async def _confirm(self, at: float) -> None:
        self.confirmed_at = max(self.confirmed_at, at)
        if not self.pending:
            self._handlers.on_confirmed(at)
        await self._notifier.notify()


class FollowConfig(NamedTuple):
    """How a kind is followed.

    `wait_s` is how long a watch waits, `pause_s` what is waited between two, so that changes
    that come together cost one call.  `feed_valid_until` gives the time (steady clock) up to which
    others keep us up to date; the store is asked `fallback_delay_s` after that.  One that
    `probes_store` goes on calling a store that does not answer; the others
    wait until it is answered.
    """

    replica: KindReplica
    watch_timeout_s: float
    pause_s: float
    fallback_delay_s: float
    feed_valid_until: Callable[[], float]
    probes_store: bool


class StoreOutage:
    """Whether the store answers, and since when it does not (steady clock)."""

    def __init__(self) -> None:
        self.failing_since: float | None = None

    def call_failed(self, kind: str, reason: str) -> None:
        """A call had no usable answer."""
        if self.failing_since is None:
            self.failing_since = clock.now()
            logger.warning("store lost: {}", reason, kind=kind)

    def call_answered(self, kind: str) -> None:
        """A call was answered."""
        if self.failing_since is None:
            return
        outage_s = clock.now() - self.failing_since
        self.failing_since = None
        logger.info("store regained after {:.1f} s", outage_s, kind=kind)


async def follow(client: StoreClient, config: FollowConfig, outage: StoreOutage) -> None:
    """List, watch, and list again where that is needed."""
    replica = config.replica
    backoff_s = FIRST_BACKOFF_S
    while True:
        await _wait_while_fed(config)
        failed = await _ask_store(client, config)
        if failed is None:
            outage.call_answered(replica.kind)
            backoff_s = FIRST_BACKOFF_S
            await curio.sleep(config.pause_s)
            continue
        outage.call_failed(replica.kind, failed.reason)
        await curio.sleep(backoff_s * random.uniform(0.5, 1.0))
        backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
        if not config.probes_store:
            await _wait_for_outage_end(config, outage)


async def _ask_store(client: StoreClient, config: FollowConfig) -> Unavailable | None:
    """One call to the store, and what follows from its answer; gives why there was none."""
    replica = config.replica
    since = replica.revision
    sent_at = clock.now()
    if since is None:
        listed = await list_kind(client, replica.kind)
        if isinstance(listed, Unavailable):
            return listed
        await replica.apply_snapshot(listed, sent_at)
        return None
    got = await watch(
        client, replica.kind, since, _watch_timeout_s(config, sent_at), replica.response_started
    )
    replica.awaiting_response = isinstance(got, Changes)
    if isinstance(got, Unavailable):
        return got
    if isinstance(got, HistoryGone):
        logger.info("history gone before revision {}; listing again", since)
        replica.revision = None
        return None
    await replica.apply_changes(since, got, sent_at)
    replica.awaiting_response = _is_confirmation_old(config, clock.now())
    return None


def _watch_timeout_s(config: FollowConfig, now: float) -> float:
    """How long a watch waits.

    What has to be known at once is confirmed at once where that was long ago: a gateway that
    has lost its relay, or the store for a while, is of no use to callers until then.
    """
    return (
        min(SHORT_WATCH_TIMEOUT_S, config.watch_timeout_s)
        if _is_confirmation_old(config, now)
        else config.watch_timeout_s
    )


def _is_confirmation_old(config: FollowConfig, now: float) -> bool:
    """Whether what has to be known at once was confirmed longer ago than usual."""
    age_s = now - config.replica.confirmed_at
    return config.replica.urgent and age_s > 2 * config.watch_timeout_s + config.pause_s


async def _wait_while_fed(config: FollowConfig) -> None:
    """Wait while others keep us up to date, and `fallback_delay_s` longer, less at the start."""
    while True:
        fallback_delay_s = config.fallback_delay_s
        if config.replica.revision is None:
            fallback_delay_s = min(fallback_delay_s, START_FALLBACK_DELAY_S)
        left_s = config.feed_valid_until() + fallback_delay_s - clock.now()
        if left_s <= 0:
            return
        await curio.sleep(left_s)


async def _wait_for_outage_end(config: FollowConfig, outage: StoreOutage) -> None:
    """Wait until the store has answered somebody, or a relay helps."""
    while outage.failing_since is not None and config.feed_valid_until() < clock.now():
        await curio.sleep(FIRST_BACKOFF_S)
