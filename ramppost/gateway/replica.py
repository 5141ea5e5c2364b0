"""Keeps a replica of a kind of object of the store, and its latest changes for other gateways.

Two paths update a replica: `ramppost.gateway.follow`, which asks the store, and
`ramppost.gateway.subscribe`, which polls another gateway.  It ignores data older than its own.
Where the store has come back from an older copy, it keeps what `ramppost.gateway.retention` says,
and gives other gateways what it keeps.  Large objects are announced by name and position only;
`ramppost.gateway.loading` reads them.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, NamedTuple

import curio

from ramppost import clock
from ramppost.bounded import drop_oldest
from ramppost.gateway.retention import KEEP_NOTHING, Retention
from ramppost.platform.store import Change, Changes, Snapshot, StoredObject
from ramppost.policy.position import Position
from ramppost.wire.codec import encode

MAX_CHANGE_LOG: Final = 4096
"""Objects whose latest change is kept for other gateways' feed requests: more than change within
the time for which a request may go unanswered.  A gateway that asks for changes since an earlier
revision gets a full snapshot."""


class Handlers(NamedTuple):
    """Callbacks for a full snapshot, for a change, and for each confirmation.

    `on_confirmed` gets the time (steady clock) at which the state was known to be the newest.
    `may_confirm` gets when the store was asked for a state, None for one that another gateway has
    sent, and returns whether that state can be known to be the newest.
    """

    on_snapshot: Callable[[Snapshot], None]
    on_change: Callable[[Change], None]
    on_confirmed: Callable[[float], None]
    may_confirm: Callable[[float | None], bool] = lambda asked_at: True


class Delta(NamedTuple):
    """An update of a kind for another gateway: a full snapshot (`full`), or the changes only."""

    full: bool
    changes: list[Change]


class PendingObject(NamedTuple):
    """An object known by name and position only, to be loaded.

    `source` is the gateway that announced it, `since` the time (steady clock) of the first
    announcement of a revision that has not been loaded, and `known` the object as it was before.
    """

    position: Position
    source: str
    since: float
    known: StoredObject | None = None


class UpdateNotifier:
    """Wakes all tasks that wait for an update of any kind."""

    def __init__(self) -> None:
        self._event = curio.Event()

    async def notify(self) -> None:
        """Wake all waiting tasks."""
        event, self._event = self._event, curio.Event()
        await event.set()

    async def wait(self, timeout_s: float) -> None:
        """Return at the next update or after the timeout."""
        await curio.ignore_after(timeout_s, self._event.wait)


class KindReplica:
    """Local replica of a kind of object, with its latest changes for other gateways.

    `urgent` means that gateways must know the state of the kind within a time bound, so that a
    later confirmation alone is worth propagating.
    """

    def __init__(
        self,
        kind: str,
        handlers: Handlers,
        notifier: UpdateNotifier,
        urgent: bool,
        retention: Retention = KEEP_NOTHING,
    ) -> None:
        self.kind = kind
        self.urgent = urgent
        self.position: Position | None = None
        """The state of the store that this replica is of; None before the first list."""
        self.needs_list = True
        """Whether the store has to be asked for a whole list, because the changes since `position`
        can't be had."""
        self.confirmed_at = float("-inf")
        """When that state was known to be the newest (steady clock)."""
        self.held_back_at = float("-inf")
        """When the store answered last, if that confirmed nothing because the store may hold less
        than it has acknowledged (steady clock); minus infinity if it confirmed something."""
        self.awaiting_response = False
        """Whether the store's response has begun, or was complete so late that its confirmation is
        already stale; in both cases a later confirmation is about to arrive."""
        self.pending: dict[str, PendingObject] = {}
        """Objects known by name and position only.  While there are any, confirmations are not
        passed to the handlers, since the state they have applied is not the newest."""
        self.retained: dict[str, StoredObject | None] = {}
        """Objects that are kept although the store lacks them (None) or holds an older one."""
        self._notifier = notifier
        self._handlers = handlers
        self._retention = retention
        self._objects: dict[str, StoredObject] = {}
        self._removed: dict[str, int] = {}
        """Names of removed objects, with the era of the removal."""
        self._latest_changes: dict[str, tuple[int, Change]] = {}
        self._sizes: dict[str, int] = {}
        self._change_log_start = 0

    @property
    def revision(self) -> int | None:
        """The revision of `position`, which orders states of one era only."""
        return self.position.revision if self.position is not None else None

    @property
    def settles(self) -> bool:
        """Whether it keeps what an older copy lacks until the store is settled."""
        return self._retention.missing == "until settled"

    @property
    def confirms_nothing(self) -> bool:
        """Whether what is known here is newer than what the store holds, so that no other state of
        the same position may be taken for the newest."""
        return not self._handlers.may_confirm(None)

    @property
    def keeps_earlier_objects(self) -> bool:
        """Whether objects are kept here that the store, or the gateway that feeds this one, had in
        an earlier era only."""
        era = self.position.era if self.position is not None else 0
        return any(obj.era < era for obj in self._objects.values())

    def response_started(self) -> None:
        """Record that the store has begun to send its response."""
        self.awaiting_response = True

    async def apply_snapshot(
        self, snapshot: Snapshot, confirmed_at: float, source: str = ""
    ) -> None:
        """Apply a full snapshot of the state at time `confirmed_at` or later."""
        if self.position is not None and snapshot.position < self.position:
            return
        previous, self.pending = self.pending, {}
        known, self._objects = self._objects, self._merge(snapshot)
        for obj in self._objects.values():
            if not obj.whole:
                self._mark_pending(obj, source, previous.get(obj.name), known.get(obj.name))
        for name in set(known) - set(self._objects):
            self._record_removal(name, snapshot.era)
        self._latest_changes.clear()
        self._sizes.clear()
        self.position, self.needs_list = snapshot.position, False
        self._change_log_start = snapshot.revision
        whole = [obj for obj in self._objects.values() if obj.whole]
        self._handlers.on_snapshot(snapshot._replace(objects=whole))
        await self._confirm(confirmed_at, confirmed_at if not source else None)

    async def apply_changes(
        self, since: int, changes: Changes, confirmed_at: float, source: str = ""
    ) -> None:
        """Apply all changes between revision `since` and time `confirmed_at`."""
        started_from = changes.position._replace(revision=since)
        if self.position != started_from or changes.position < started_from:
            return
        for change in changes.changes:
            self._apply_change(change, changes.revision, source)
        self.position = changes.position
        await self._confirm(confirmed_at, confirmed_at if not source else None)

    async def apply_object(self, obj: StoredObject) -> None:
        """Apply an object that was pending and has been loaded.

        An older state than the announced one is applied as well, but the object stays pending.
        """
        current = self._objects.get(obj.name)
        if current is None or (current.whole and current.position >= obj.position):
            return
        pending = self.pending.get(obj.name)
        if pending is not None:
            obj = self._choose(pending.known, obj, obj.era)
        if pending is None or obj.position >= pending.position or obj is pending.known:
            self._replace_pending(obj)
        self._handlers.on_change(Change(obj, False))
        await self._confirm(self.confirmed_at, None)

    def complete_object(self, name: str) -> StoredObject | None:
        """An object with its full contents; None if they are not here."""
        obj = self._objects.get(name)
        return obj if obj is not None and obj.whole else None

    def changes_after(self, position: Position) -> Delta:
        """The update for a gateway whose replica is at `position`."""
        if self.position is None or position[:2] != self.position[:2]:
            return Delta(True, [Change(obj, False) for obj in self._objects.values()])
        return self.changes_since(position.revision)

    def changes_since(self, revision: int) -> Delta:
        """The update for a gateway whose replica is at `revision` of the same era."""
        if revision < self._change_log_start:
            return Delta(True, [Change(obj, False) for obj in self._objects.values()])
        changes = []
        for changed_at, change in reversed(self._latest_changes.values()):
            if changed_at <= revision:
                break
            changes.append(change)
        return Delta(False, changes[::-1])

    def size_of(self, name: str) -> int:
        """Size of an object's spec as JSON in bytes; 0 for an unknown object."""
        if name not in self._sizes:
            obj = self._objects.get(name)
            self._sizes[name] = len(encode(obj.spec)) if obj is not None else 0
        return self._sizes[name]

    def _merge(self, snapshot: Snapshot) -> dict[str, StoredObject]:
        """The objects of a snapshot, and those that outlive it.

        Another gateway's snapshot may hold objects of an earlier era, which it keeps, too: they
        tell nothing of what the store holds, so what is known of that here stays.
        """
        known = self._objects
        retained, self.retained = self.retained, {}
        merged = {
            obj.name: self._choose(known.get(obj.name), obj, snapshot.era)
            for obj in snapshot.objects
            if not self._is_back(obj, snapshot)
        }
        listed = {obj.name for obj in snapshot.objects}
        for name, obj in known.items():
            if name not in listed and self._outlives(obj, snapshot):
                merged[name] = obj
                self.retained[name] = None
        for obj in snapshot.objects:
            if obj.name in retained and self._outlives(obj, snapshot):
                self.retained.setdefault(obj.name, retained[obj.name])
        return merged

    def _choose(self, known: StoredObject | None, found: StoredObject, era: int) -> StoredObject:
        """The known object or the one found in a state of an era, whichever is newer."""
        if known is None or not known.whole:
            return found
        if not found.whole:
            return known if known.position >= found.position else found
        if known.era < era and self._retention.keeps(known, found):
            self.retained[found.name] = found
            return known
        return found

    def _outlives(self, known: StoredObject, snapshot: Snapshot) -> bool:
        """Whether an object is kept that a snapshot lacks."""
        if known.era >= snapshot.era:
            return False
        lasting = self._retention.missing
        return lasting == "always" or (lasting == "until settled" and not snapshot.settled)

    def _is_back(self, obj: StoredObject, snapshot: Snapshot) -> bool:
        """Whether an object is there only because the store came back: it had been removed."""
        return (
            self.settles
            and not snapshot.settled
            and obj.name not in self._objects
            and self._removed.get(obj.name, snapshot.era) < snapshot.era
        )

    def _apply_change(self, change: Change, revision: int, source: str) -> None:
        name = change.obj.name
        known = self._objects.get(name)
        self.retained.pop(name, None)
        obj = change.obj
        if not change.removed:
            obj = self._choose(known, obj, obj.era)
        previous = self.pending.pop(name, None)
        if obj is known and name in self.retained:
            return
        self._record_change(Change(obj, change.removed), revision)
        if obj.whole or change.removed:
            self._handlers.on_change(Change(obj, change.removed))
        else:
            self._mark_pending(obj, source, previous, known)

    def _mark_pending(
        self,
        obj: StoredObject,
        source: str,
        previous: PendingObject | None,
        known: StoredObject | None,
    ) -> None:
        since = previous.since if previous is not None else clock.now()
        if previous is not None and (known is None or not known.whole):
            known = previous.known
        self.pending[obj.name] = PendingObject(obj.position, source, since, known)

    def _record_removal(self, name: str, era: int) -> None:
        self._removed.pop(name, None)
        self._removed[name] = era
        drop_oldest(self._removed, MAX_CHANGE_LOG)

    def _replace_pending(self, obj: StoredObject) -> None:
        """Replace an object known by name only with the complete one."""
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
            self._record_removal(name, change.obj.era)
        else:
            self._objects[name] = change.obj
            self._removed.pop(name, None)
        while len(self._latest_changes) > MAX_CHANGE_LOG:
            self._change_log_start, _ = self._latest_changes.pop(next(iter(self._latest_changes)))

    async def _confirm(self, confirmed_at: float, asked_at: float | None) -> None:
        may_confirm = self._handlers.may_confirm(asked_at)
        if asked_at is not None:
            self.held_back_at = float("-inf") if may_confirm else clock.now()
        if may_confirm:
            self.confirmed_at = max(self.confirmed_at, confirmed_at)
            if not self.pending:
                self._handlers.on_confirmed(confirmed_at)
        await self._notifier.notify()
