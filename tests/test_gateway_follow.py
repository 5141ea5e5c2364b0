"""Following the store: what is taken in, what is told to others, and when the store is asked."""

from __future__ import annotations

import socket
from typing import Any, NamedTuple

import curio
import pytest

from ramppost import clock
from ramppost.gateway.follow import (
    START_FALLBACK_DELAY_S,
    FollowConfig,
    Handlers,
    KindReplica,
    StoreOutage,
    UpdateNotifier,
    follow,
)
from ramppost.platform.store import Change, Changes, Snapshot, StoreClient, StoredObject
from ramppost.wire.client import Pool
from ramppost.wire.server import Reply, Request, listen, serve


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    with socket.socket(type=kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Seen:
    """What the handlers of a kind were given."""

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


class Kind(NamedTuple):
    """A kind that is followed, and what its handlers saw."""

    followed: KindReplica
    seen: Seen


@pytest.fixture
def kind() -> Kind:
    seen = Seen()
    return Kind(KindReplica("kind", seen.handlers(), UpdateNotifier(), True), seen)


def obj(name: str, revision: int) -> StoredObject:
    return StoredObject(name, revision, {}, None)


def listed(kind: Kind, revision: int, *names: str, at: float = 1.0) -> None:
    objects = [obj(name, revision) for name in names]
    curio.run(kind.followed.apply_snapshot(Snapshot(objects, revision), at))


def advanced(
    kind: Kind, since: int, revision: int, *names: str, gone: bool = False, at: float = 2.0
) -> None:
    changes = [Change(obj(name, revision), gone) for name in names]
    curio.run(kind.followed.apply_changes(since, Changes(changes, revision), at))


def told(kind: Kind, revision: int) -> tuple[bool, list[tuple[str, bool]]]:
    full, changes = kind.followed.changes_since(revision)
    return full, [(change.obj.name, change.removed) for change in changes]


# --- what is taken in


def test_changes_that_do_not_follow_what_is_known_are_dropped(kind: Kind) -> None:
    listed(kind, 5, "a")
    advanced(kind, 5, 8, "b")
    advanced(kind, 5, 9, "late", at=9.0)
    advanced(kind, 7, 9, "unknown start", at=9.0)
    advanced(kind, 8, 7, "back", at=9.0)
    assert kind.seen.changes == ["b"]
    assert (kind.followed.revision, kind.followed.confirmed_at) == (8, 2.0)


def test_an_older_list_is_dropped(kind: Kind) -> None:
    listed(kind, 5, "a")
    listed(kind, 4, "b", at=9.0)
    assert kind.seen.lists == [["a"]]
    assert kind.followed.confirmed_at == 1.0


def test_a_confirmation_never_goes_back(kind: Kind) -> None:
    listed(kind, 5, at=3.0)
    advanced(kind, 5, 5, at=2.0)
    assert kind.followed.confirmed_at == 3.0


# --- what is told


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
def test_what_somebody_is_told(
    kind: Kind, revision: int, expected: tuple[bool, list[tuple[str, bool]]]
) -> None:
    listed(kind, 5, "a", "b")
    advanced(kind, 5, 7, "b", gone=True)
    advanced(kind, 7, 8, "c")
    assert told(kind, revision) == expected


def test_only_the_latest_change_of_an_object_is_told(kind: Kind) -> None:
    listed(kind, 5)
    advanced(kind, 5, 6, "a", "b")
    advanced(kind, 6, 7, "a", gone=True)
    assert told(kind, 5) == (False, [("b", False), ("a", True)])


def test_whoever_is_too_far_back_is_told_everything(
    kind: Kind, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("ramppost.gateway.follow.MAX_CHANGE_LOG", 2)
    listed(kind, 5)
    for at, name in enumerate("abc"):
        advanced(kind, 5 + at, 6 + at, name)
    assert told(kind, 5) == (True, [("a", False), ("b", False), ("c", False)])
    assert told(kind, 6) == (False, [("b", False), ("c", False)])


# --- when the store is asked


class Store:
    """Lists nothing at revision 5, and lets every watch wait, or cuts it."""

    def __init__(self, cuts: bool) -> None:
        self.calls: list[str] = []
        self.cuts = cuts

    async def handle(self, req: Request, reply: Reply) -> None:
        self.calls.append("watch" if "watch" in req.query else "list")
        if "watch" in req.query:
            if self.cuts:
                await reply.send(503, b"{}")
                return
            await curio.sleep(int(req.query["wait_ms"]) / 1000)
        body = b'{"events":[],"current_rev":5}' if "watch" in req.query else LISTED
        await reply.send(200, body)


LISTED = b'{"items":[],"truncated":false,"current_rev":5}'


class Played(NamedTuple):
    """Calls that the store got, and how many confirmations came of them."""

    calls: list[str]
    confirmed: int


async def _played(
    fed_for_s: float, patience_s: float, for_s: float, cuts: bool, known: bool
) -> Played:
    store, port, seen = Store(cuts), free_port(), Seen()
    await curio.spawn(serve, listen("127.0.0.1", port), store.handle, daemon=True)
    fed_until = clock.now() + fed_for_s
    followed = KindReplica("kind", seen.handlers(), UpdateNotifier(), True)
    if known:
        await followed.apply_snapshot(Snapshot([], 5), clock.now())
    follower = FollowConfig(followed, 20.0, 0.0, patience_s, lambda: fed_until, True)
    client = StoreClient(f"127.0.0.1:{port}", Pool())
    task = await curio.spawn(follow, client, follower, StoreOutage(), daemon=True)
    await curio.sleep(for_s)
    await task.cancel()
    return Played(store.calls, len(seen.confirmed))


def played(
    fed_for_s: float, patience_s: float, for_s: float, cuts: bool = False, known: bool = False
) -> Played:
    got: Any = curio.run(_played(fed_for_s, patience_s, for_s, cuts, known))
    assert isinstance(got, Played)
    return got


def test_the_store_is_listed_and_watched_where_nobody_feeds() -> None:
    assert played(-1.0, 0.0, 0.5) == Played(["list", "watch"], 1)


def test_the_store_is_not_watched_while_a_relay_feeds() -> None:
    assert played(5.0, 0.0, 0.5, known=True) == Played([], 1)


def test_the_store_is_not_listed_while_a_start_may_be_told_by_others() -> None:
    """It listed at once before, whoever was there to tell it."""
    assert played(5.0, 0.0, 0.5) == Played([], 0)
    assert played(0.2, 0.0, 0.6) == Played(["list", "watch"], 1)


def test_the_store_is_watched_when_the_feed_has_ended() -> None:
    assert played(0.3, 0.0, 0.8) == Played(["list", "watch"], 1)


def test_what_is_not_urgent_waits_longer_for_the_feed() -> None:
    assert played(0.3, 5.0, 0.8, known=True) == Played([], 1)
    assert played(0.1, 5.0, 0.6) == Played([], 0)
    assert played(0.1, 5.0, 0.2 + START_FALLBACK_DELAY_S) == Played(["list"], 1)


def test_a_watch_that_fails_confirms_nothing() -> None:
    got = played(-1.0, 0.0, 0.6, cuts=True)
    assert got.calls[:3] == ["list", "watch", "watch"]
    assert got.confirmed == 1
