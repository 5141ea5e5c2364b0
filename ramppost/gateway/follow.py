"""Keeps up with a kind of objects in the store: list once, then watch.

`follow` runs until cancelled.  It lists again where the history is gone, backs off
while the store gives no answer, and logs once when the store is lost and once when it
is back.  While a relay tells what changes (`ramppost.gateway.subscribe`), the store is
not asked; both ways meet in a `Followed`, which takes in nothing older than it has.  Large
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
START_PATIENCE_S: Final = 1.0
"""How much longer a start waits to be told what need not be known at once."""
SHORT_WAIT_S: Final = 0.005
"""Wait of a watch where the last confirmation is old: its answer is awaited, not the news."""
MAX_LOG: Final = 4096
"""Objects whose latest change is kept for gateways that ask: more than change within the time
that one may go unanswered.  A gateway that asks further back is told everything."""


class Handlers(NamedTuple):
    """What is done with what comes: the whole list, a change, and each confirmation.

    `on_confirmed` gets the time (steady clock) at which the state was known to be the newest.
    """

    on_snapshot: Callable[[Snapshot], None]
    on_change: Callable[[Change], None]
    on_confirmed: Callable[[float], None]


class Told(NamedTuple):
    """What another gateway is told of a kind: everything (`full`), or what changed."""

    full: bool
    changes: list[Change]


class Lacking(NamedTuple):
    """An object that is known by name and revision only.

    `told_by` is the gateway that told of it, `since` when the first such revision was told of
    (steady clock).
    """

    revision: int
    told_by: str
    since: float


class News:
    """Wakes all who wait for anything new of any kind."""

    def __init__(self) -> None:
        self._event = curio.Event()

    async def tell(self) -> None:
        """Something is new."""
        event, self._event = self._event, curio.Event()
        await event.set()

    async def wait(self, longest_s: float) -> None:
        """Return at the next news, or after so long."""
        await curio.ignore_after(longest_s, self._event.wait)


class Followed:
    """How far a kind of objects is known here, and its latest changes for those who ask.

    `urgent` tells that other gateways have to know its state within a bound, so that a later
    confirmation is news, too.
    """

    def __init__(self, kind: str, handlers: Handlers, news: News, urgent: bool) -> None:
        self.kind = kind
        self.urgent = urgent
        self.revision: int | None = None
        """The store's revision that is known here; None where it has to be listed."""
        self.confirmed_at = float("-inf")
        """When that was known to be the newest (steady clock)."""
        self.reading = False
        """Whether the store's answer has begun, or was whole so late that what it confirms is old
        already: a later confirmation is on its way."""
        self.lacking: dict[str, Lacking] = {}
        """What of that is known by name and revision only.  Meanwhile nothing is confirmed to
        the handlers: what they put in force is not the newest."""
        self._news = news
        self._handlers = handlers
        self._objects: dict[str, StoredObject] = {}
        self._latest: dict[str, tuple[int, Change]] = {}
        self._sizes: dict[str, int] = {}
        self._logged_from = 0

    def answer_begun(self) -> None:
        """What the store answers is on its way."""
        self.reading = True

    async def listed(self, snapshot: Snapshot, at: float, told_by: str = "") -> None:
        """Everything was listed, as it stood at a time or later."""
        if self.revision is not None and snapshot.revision < self.revision:
            return
        objects = [self._newest(obj) for obj in snapshot.objects]
        self._objects = {obj.name: obj for obj in objects}
        before, self.lacking = self.lacking, {}
        for obj in objects:
            if not obj.whole:
                self._lack(obj, told_by, before.get(obj.name))
        self._latest.clear()
        self._sizes.clear()
        self._logged_from = self.revision = snapshot.revision
        whole = [obj for obj in objects if obj.whole]
        self._handlers.on_snapshot(Snapshot(whole, snapshot.revision))
        await self._confirmed(at)

    async def advanced(self, since: int, changes: Changes, at: float, told_by: str = "") -> None:
        """These changed after `since`; at a time, nothing else had."""
        if self.revision != since or changes.revision < since:
            return
        for change in changes.changes:
            self._take(change, changes.revision, told_by)
        self.revision = changes.revision
        await self._confirmed(at)

    async def loaded(self, obj: StoredObject) -> None:
        """An object that was lacking has been read by itself.

        An older one than was told of is put in force meanwhile, and the other stays lacking.
        """
        held = self._objects.get(obj.name)
        if held is None or (held.whole and held.revision >= obj.revision):
            return
        lacking = self.lacking.get(obj.name)
        if lacking is None or obj.revision >= lacking.revision:
            self._hold(obj)
        self._handlers.on_change(Change(obj, False))
        await self._confirmed(self.confirmed_at)

    def whole(self, name: str) -> StoredObject | None:
        """An object with all that it holds; None where it is not here."""
        obj = self._objects.get(name)
        return obj if obj is not None and obj.whole else None

    def told(self, revision: int) -> Told:
        """What somebody who knows up to a revision has to be told."""
        if revision < self._logged_from:
            return Told(True, [Change(obj, False) for obj in self._objects.values()])
        found = []
        for changed_at, change in reversed(self._latest.values()):
            if changed_at <= revision:
                break
            found.append(change)
        return Told(False, found[::-1])

    def size_of(self, name: str) -> int:
        """Bytes of an object's spec as JSON; 0 where it is not there."""
        if name not in self._sizes:
            obj = self._objects.get(name)
            self._sizes[name] = len(encode(obj.spec)) if obj is not None else 0
        return self._sizes[name]

    def _newest(self, obj: StoredObject) -> StoredObject:
        """The object as it is held here where that is as new and has more."""
        held = self.whole(obj.name)
        if obj.whole or held is None or held.revision < obj.revision:
            return obj
        return held

    def _take(self, change: Change, revision: int, told_by: str) -> None:
        obj = change.obj if change.removed else self._newest(change.obj)
        self._keep(Change(obj, change.removed), revision)
        before = self.lacking.pop(obj.name, None)
        if obj.whole or change.removed:
            self._handlers.on_change(Change(obj, change.removed))
        else:
            self._lack(obj, told_by, before)

    def _lack(self, obj: StoredObject, told_by: str, before: Lacking | None) -> None:
        since = before.since if before is not None else clock.now()
        self.lacking[obj.name] = Lacking(obj.revision, told_by, since)

    def _hold(self, obj: StoredObject) -> None:
        """Put a whole object where it was known by name."""
        self._objects[obj.name] = obj
        self.lacking.pop(obj.name, None)
        self._sizes.pop(obj.name, None)
        if obj.name in self._latest:
            changed_at, _ = self._latest[obj.name]
            self._latest[obj.name] = (changed_at, Change(obj, False))

    def _keep(self, change: Change, revision: int) -> None:
        name = change.obj.name
        self._sizes.pop(name, None)
        self._latest.pop(name, None)
        self._latest[name] = (revision, change)
        if change.removed:
            self._objects.pop(name, None)
        else:
            self._objects[name] = change.obj
        while len(self._latest) > MAX_LOG:
            self._logged_from, _ = self._latest.pop(next(iter(self._latest)))

    async def _confirmed(self, at: float) -> None:
        self.confirmed_at = max(self.confirmed_at, at)
        if not self.lacking:
            self._handlers.on_confirmed(at)
        await self._news.tell()


class Follower(NamedTuple):
    """How a kind is followed.

    `wait_s` is how long a watch waits, `pause_s` what is waited between two, so that changes
    that come together cost one call.  `fed_until` gives the time (steady clock) up to which
    others keep us up to date; the store is asked `patience_s` after that.  One that `probes`
    goes on calling a store that does not answer; the others wait until it is answered.
    """

    followed: Followed
    wait_s: float
    pause_s: float
    patience_s: float
    fed_until: Callable[[], float]
    probes: bool


class Outage:
    """Whether the store answers, and since when it does not (steady clock)."""

    def __init__(self) -> None:
        self.failing_since: float | None = None

    def failed(self, kind: str, reason: str) -> None:
        """A call had no usable answer."""
        if self.failing_since is None:
            self.failing_since = clock.now()
            logger.warning("store lost: {}", reason, kind=kind)

    def answered(self, kind: str) -> None:
        """A call was answered."""
        if self.failing_since is None:
            return
        away_s = clock.now() - self.failing_since
        self.failing_since = None
        logger.info("store regained after {:.1f} s", away_s, kind=kind)


async def follow(client: StoreClient, follower: Follower, outage: Outage) -> None:
    """List, watch, and list again where that is needed."""
    followed = follower.followed
    backoff_s = FIRST_BACKOFF_S
    while True:
        await _while_fed(follower)
        failed = await _ask_store(client, follower)
        if failed is None:
            outage.answered(followed.kind)
            backoff_s = FIRST_BACKOFF_S
            await curio.sleep(follower.pause_s)
            continue
        outage.failed(followed.kind, failed.reason)
        await curio.sleep(backoff_s * random.uniform(0.5, 1.0))
        backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
        if not follower.probes:
            await _outage_over(follower, outage)


async def _ask_store(client: StoreClient, follower: Follower) -> Unavailable | None:
    """One call to the store, and what follows from its answer; gives why there was none."""
    followed = follower.followed
    since = followed.revision
    sent_at = clock.now()
    if since is None:
        listed = await list_kind(client, followed.kind)
        if isinstance(listed, Unavailable):
            return listed
        await followed.listed(listed, sent_at)
        return None
    got = await watch(
        client, followed.kind, since, _wait_s(follower, sent_at), followed.answer_begun
    )
    followed.reading = isinstance(got, Changes)
    if isinstance(got, Unavailable):
        return got
    if isinstance(got, HistoryGone):
        logger.info("history gone before revision {}; listing again", since)
        followed.revision = None
        return None
    await followed.advanced(since, got, sent_at)
    followed.reading = _is_old(follower, clock.now())
    return None


def _wait_s(follower: Follower, now: float) -> float:
    """How long a watch waits.

    What has to be known at once is confirmed at once where that was long ago: a gateway that
    has lost its relay, or the store for a while, is of no use to callers until then.
    """
    return min(SHORT_WAIT_S, follower.wait_s) if _is_old(follower, now) else follower.wait_s


def _is_old(follower: Follower, now: float) -> bool:
    """Whether what has to be known at once was confirmed longer ago than usual."""
    age_s = now - follower.followed.confirmed_at
    return follower.followed.urgent and age_s > 2 * follower.wait_s + follower.pause_s


async def _while_fed(follower: Follower) -> None:
    """Wait while others keep us up to date, and `patience_s` longer, less at the start."""
    while True:
        patience_s = follower.patience_s
        if follower.followed.revision is None:
            patience_s = min(patience_s, START_PATIENCE_S)
        left_s = follower.fed_until() + patience_s - clock.now()
        if left_s <= 0:
            return
        await curio.sleep(left_s)


async def _outage_over(follower: Follower, outage: Outage) -> None:
    """Wait until the store has answered somebody, or a relay helps."""
    while outage.failing_since is not None and follower.fed_until() < clock.now():
        await curio.sleep(FIRST_BACKOFF_S)
