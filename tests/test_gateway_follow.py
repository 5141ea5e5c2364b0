"""Store replication: which updates are applied, which are fed to peers, when the store is read."""

from __future__ import annotations

import socket
from typing import Any, NamedTuple

import curio
import pytest

from ramppost import clock
from ramppost.gateway.follow import START_FALLBACK_DELAY_S, FollowConfig, StoreOutage, follow
from ramppost.gateway.replica import Handlers, KindReplica, UpdateNotifier
from ramppost.platform.store import Change, Changes, Snapshot, StoreClient, StoredObject
from ramppost.wire.client import Pool
from ramppost.wire.server import Reply, Request, listen, serve


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    with socket.socket(type=kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class RecordedCalls:
    """Arguments of the handler calls for a kind."""

    def __init__(self) -> None:
        self.lists: list[list[str]] = []
        self.changes: list[str] = []
        self.confirmed: list[float] = []

    def handlers(self) -> Handlers:
        return Handlers(
            lambda snapshot: self.lists.append([obj.name for obj in snapshot.objects]),
            lambda change: self.changes.append(change.obj.name),
            self.confirmed.append,
        )


class FollowedKind(NamedTuple):
    """A replica of a kind and the recorded calls of its handlers."""

    followed: KindReplica
    recorded: RecordedCalls


@pytest.fixture
def kind() -> FollowedKind:
    recorded = RecordedCalls()
    return FollowedKind(KindReplica("kind", recorded.handlers(), UpdateNotifier(), True), recorded)


def obj(name: str, revision: int) -> StoredObject:
    return StoredObject(name, revision, {}, None)


def apply_list(kind: FollowedKind, revision: int, *names: str, at: float = 1.0) -> None:
    objects = [obj(name, revision) for name in names]
    curio.run(kind.followed.apply_snapshot(Snapshot(objects, revision), at))


def apply_changes_to(
    kind: FollowedKind, since: int, revision: int, *names: str, gone: bool = False, at: float = 2.0
) -> None:
    changes = [Change(obj(name, revision), gone) for name in names]
    curio.run(kind.followed.apply_changes(since, Changes(changes, revision), at))


def changes_after(kind: FollowedKind, revision: int) -> tuple[bool, list[tuple[str, bool]]]:
    full, changes = kind.followed.changes_since(revision)
    return full, [(change.obj.name, change.removed) for change in changes]


# --- applied updates


def test_changes_from_other_revision_are_dropped(kind: FollowedKind) -> None:
    apply_list(kind, 5, "a")
    apply_changes_to(kind, 5, 8, "b")
    apply_changes_to(kind, 5, 9, "late", at=9.0)
    apply_changes_to(kind, 7, 9, "unknown start", at=9.0)
    apply_changes_to(kind, 8, 7, "back", at=9.0)
    assert kind.recorded.changes == ["b"]
    assert (kind.followed.revision, kind.followed.confirmed_at) == (8, 2.0)


def test_older_list_is_dropped(kind: FollowedKind) -> None:
    apply_list(kind, 5, "a")
    apply_list(kind, 4, "b", at=9.0)
    assert kind.recorded.lists == [["a"]]
    assert kind.followed.confirmed_at == 1.0


def test_confirmation_time_never_decreases(kind: FollowedKind) -> None:
    apply_list(kind, 5, at=3.0)
    apply_changes_to(kind, 5, 5, at=2.0)
    assert kind.followed.confirmed_at == 3.0


# --- changes for peers


@pytest.mark.parametrize(
    ("revision", "expected"),
    [
        (3, (True, [("a", False), ("c", False)])),
        (5, (False, [("b", True), ("c", False)])),
        (6, (False, [("b", True), ("c", False)])),
        (7, (False, [("c", False)])),
        (8, (False, [])),
        (9, (False, [])),
    ],
)
def test_changes_since_revision(
    kind: FollowedKind, revision: int, expected: tuple[bool, list[tuple[str, bool]]]
) -> None:
    apply_list(kind, 5, "a", "b")
    apply_changes_to(kind, 5, 7, "b", gone=True)
    apply_changes_to(kind, 7, 8, "c")
    assert changes_after(kind, revision) == expected


def test_only_latest_change_of_object_is_fed(kind: FollowedKind) -> None:
    apply_list(kind, 5)
    apply_changes_to(kind, 5, 6, "a", "b")
    apply_changes_to(kind, 6, 7, "a", gone=True)
    assert changes_after(kind, 5) == (False, [("b", False), ("a", True)])


def test_revision_before_change_log_gets_full_snapshot(
    kind: FollowedKind, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("ramppost.gateway.replica.MAX_CHANGE_LOG", 2)
    apply_list(kind, 5)
    for at, name in enumerate("abc"):
        apply_changes_to(kind, 5 + at, 6 + at, name)
    assert changes_after(kind, 5) == (True, [("a", False), ("b", False), ("c", False)])
    assert changes_after(kind, 6) == (False, [("b", False), ("c", False)])


# --- calls to the store


class Store:
    """Returns an empty list at revision 5; each watch waits, or fails if `fails_watches` is set."""

    def __init__(self, fails_watches: bool) -> None:
        self.calls: list[str] = []
        self.fails_watches = fails_watches

    async def handle(self, req: Request, reply: Reply) -> None:
        self.calls.append("watch" if "watch" in req.query else "list")
        if "watch" in req.query:
            if self.fails_watches:
                await reply.send(503, b"{}")
                return
            await curio.sleep(int(req.query["wait_ms"]) / 1000)
        body = b'{"events":[],"current_rev":5}' if "watch" in req.query else EMPTY_LIST
        await reply.send(200, body)


EMPTY_LIST = b'{"items":[],"truncated":false,"current_rev":5}'


class StoreUse(NamedTuple):
    """Store calls and the number of resulting confirmations."""

    calls: list[str]
    confirmed: int


async def _follow_store(
    fed_for_s: float, fallback_delay_s: float, for_s: float, fails_watches: bool, known: bool
) -> StoreUse:
    store, port, recorded = Store(fails_watches), free_port(), RecordedCalls()
    await curio.spawn(serve, listen("127.0.0.1", port), store.handle, daemon=True)
    fed_until = clock.now() + fed_for_s
    followed = KindReplica("kind", recorded.handlers(), UpdateNotifier(), True)
    if known:
        await followed.apply_snapshot(Snapshot([], 5), clock.now())
    follower = FollowConfig(followed, 20.0, 0.0, fallback_delay_s, lambda: fed_until, True)
    client = StoreClient(f"127.0.0.1:{port}", Pool())
    task = await curio.spawn(follow, client, follower, StoreOutage(), daemon=True)
    await curio.sleep(for_s)
    await task.cancel()
    return StoreUse(store.calls, len(recorded.confirmed))


def follow_store(
    fed_for_s: float,
    fallback_delay_s: float,
    for_s: float,
    fails_watches: bool = False,
    known: bool = False,
) -> StoreUse:
    got: Any = curio.run(_follow_store(fed_for_s, fallback_delay_s, for_s, fails_watches, known))
    assert isinstance(got, StoreUse)
    return got


def test_store_is_listed_and_watched_without_feed() -> None:
    assert follow_store(-1.0, 0.0, 0.5) == StoreUse(["list", "watch"], 1)


def test_store_is_not_watched_with_feed() -> None:
    assert follow_store(5.0, 0.0, 0.5, known=True) == StoreUse([], 1)


def test_store_is_not_listed_at_start_with_feed() -> None:
    """It used to list at once, even with peers that could feed it."""
    assert follow_store(5.0, 0.0, 0.5) == StoreUse([], 0)
    assert follow_store(0.2, 0.0, 0.6) == StoreUse(["list", "watch"], 1)


def test_store_is_watched_after_feed_expires() -> None:
    assert follow_store(0.3, 0.0, 0.8) == StoreUse(["list", "watch"], 1)


def test_non_urgent_kind_waits_longer_for_feed() -> None:
    assert follow_store(0.3, 5.0, 0.8, known=True) == StoreUse([], 1)
    assert follow_store(0.1, 5.0, 0.6) == StoreUse([], 0)
    assert follow_store(0.1, 5.0, 0.2 + START_FALLBACK_DELAY_S) == StoreUse(["list"], 1)


def test_failed_watch_confirms_nothing() -> None:
    got = follow_store(-1.0, 0.0, 0.6, fails_watches=True)
    assert got.calls[:3] == ["list", "watch", "watch"]
    assert got.confirmed == 1
