"""Keeps a replica of a kind of object of the store, and its latest changes for other gateways.

Two paths update a replica: `ramppost.gateway.follow`, which asks the store, and
`ramppost.gateway.subscribe`, which polls another gateway.  It ignores data older than its own.
Large objects are announced by name and revision only; `ramppost.gateway.loading` reads them.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, NamedTuple

import curio

from ramppost import clock
from ramppost.platform.store import Change, Changes, Snapshot, StoredObject
from ramppost.wire.codec import encode

MAX_CHANGE_LOG: Final = 4096
"""Objects whose latest change is kept for other gateways' feed requests: more than change within
the time for which a request may go unanswered.  A gateway that asks for changes since an earlier
revision gets a full snapshot."""


class Handlers(NamedTuple):
    """Callbacks for a full snapshot, for a change, and for each confirmation.

    `on_confirmed` gets the time (steady clock) at which the state was known to be the newest.
    """

    on_snapshot: Callable[[Snapshot], None]
    on_change: Callable[[Change], None]
    on_confirmed: Callable[[float], None]


class Delta(NamedTuple):
    """An update of a kind for another gateway: a full snapshot (`full`), or the changes only."""

    full: bool
    changes: list[Change]


class PendingObject(NamedTuple):
    """An object known by name and revision only, to be loaded.

    `source` is the gateway that announced it, `since` the time (steady clock) of the first
    announcement of a revision that has not been loaded.
    """

    revision: int
    source: str
    since: float


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
        self, kind: str, handlers: Handlers, notifier: UpdateNotifier, urgent: bool
    ) -> None:
        self.kind = kind
        self.urgent = urgent
        self.revision: int | None = None
        """The store revision of this replica; None if the kind has to be listed."""
        self.confirmed_at = float("-inf")
        """When that revision was known to be the newest (steady clock)."""
        self.awaiting_response = False
        """Whether the store's response has begun, or was complete so late that its confirmation is
        already stale; in both cases a later confirmation is about to arrive."""
        self.pending: dict[str, PendingObject] = {}
        """Objects known by name and revision only.  While there are any, confirmations are not
        passed to the handlers, since the state they have applied is not the newest."""
        self._notifier = notifier
        self._handlers = handlers
        self._objects: dict[str, StoredObject] = {}
        self._latest_changes: dict[str, tuple[int, Change]] = {}
        self._sizes: dict[str, int] = {}
        self._change_log_start = 0

    def response_started(self) -> None:
        """Record that the store has begun to send its response."""
        self.awaiting_response = True

    async def apply_snapshot(
        self, snapshot: Snapshot, confirmed_at: float, source: str = ""
    ) -> None:
        """Apply a full snapshot of the state at time `confirmed_at` or later."""
        if self.revision is not None and snapshot.revision < self.revision:
            return
        objects = [self._newest_known(obj) for obj in snapshot.objects]
        self._objects = {obj.name: obj for obj in objects}
        previous, self.pending = self.pending, {}
        for obj in objects:
            if not obj.whole:
                self._mark_pending(obj, source, previous.get(obj.name))
        self._latest_changes.clear()
        self._sizes.clear()
        self._change_log_start = self.revision = snapshot.revision
        whole = [obj for obj in objects if obj.whole]
        self._handlers.on_snapshot(Snapshot(whole, snapshot.revision))
        await self._confirm(confirmed_at)

    async def apply_changes(
        self, since: int, changes: Changes, confirmed_at: float, source: str = ""
    ) -> None:
        """Apply all changes between revision `since` and time `confirmed_at`."""
        if self.revision != since or changes.revision < since:
            return
        for change in changes.changes:
            self._apply_change(change, changes.revision, source)
        self.revision = changes.revision
        await self._confirm(confirmed_at)

    async def apply_object(self, obj: StoredObject) -> None:
        """Apply an object that was pending and has been loaded.

        An older revision than the announced one is applied as well, but the object stays pending.
        """
        current = self._objects.get(obj.name)
        if current is None or (current.whole and current.revision >= obj.revision):
            return
        pending = self.pending.get(obj.name)
        if pending is None or obj.revision >= pending.revision:
            self._replace_pending(obj)
        self._handlers.on_change(Change(obj, False))
        await self._confirm(self.confirmed_at)

    def complete_object(self, name: str) -> StoredObject | None:
        """An object with its full contents; None if they are not here."""
        obj = self._objects.get(name)
        return obj if obj is not None and obj.whole else None

    def changes_since(self, revision: int) -> Delta:
        """The update for a gateway whose replica is at `revision`."""
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

    def _newest_known(self, obj: StoredObject) -> StoredObject:
        """The local copy if it is complete, `obj` is not, and it is at least as new; else `obj`."""
        current = self.complete_object(obj.name)
        if obj.whole or current is None or current.revision < obj.revision:
            return obj
        return current

    def _apply_change(self, change: Change, revision: int, source: str) -> None:
        obj = change.obj if change.removed else self._newest_known(change.obj)
        self._record_change(Change(obj, change.removed), revision)
        previous = self.pending.pop(obj.name, None)
        if obj.whole or change.removed:
            self._handlers.on_change(Change(obj, change.removed))
        else:
            self._mark_pending(obj, source, previous)

    def _mark_pending(self, obj: StoredObject, source: str, previous: PendingObject | None) -> None:
        since = previous.since if previous is not None else clock.now()
        self.pending[obj.name] = PendingObject(obj.revision, source, since)

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
        else:
            self._objects[name] = change.obj
        while len(self._latest_changes) > MAX_CHANGE_LOG:
            self._change_log_start, _ = self._latest_changes.pop(next(iter(self._latest_changes)))

    async def _confirm(self, confirmed_at: float) -> None:
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        if not self.pending:
            self._handlers.on_confirmed(confirmed_at)
        await self._notifier.notify()
