"""Large objects that gateways tell by name and load apart, over real connections."""

from __future__ import annotations

import zlib
from typing import Any

import curio
import pytest

from ramppost import clock
from ramppost.gateway.copies import decode_copy, encode_copy
from ramppost.gateway.feed import LARGE_OBJECT_BYTES, feed_handler
from ramppost.gateway.follow import Handlers, KindReplica
from ramppost.gateway.loading import load_pending
from ramppost.gateway.operators import internal_handler
from ramppost.gateway.subscribe import poll_once
from ramppost.platform import names
from ramppost.platform.store import Change, Changes, Snapshot, StoredObject
from ramppost.wire.codec import BadMessage, encode
from ramppost.wire.server import Reply, Request, listen, serve
from tests.test_gateway_feed import ASKER, OTHER, RELAY, URGENT, Pair, gateway, play
from tests.test_gateway_follow import free_port

LARGE = {"x": "y" * LARGE_OBJECT_BYTES}
NAME = "big"
SOON_S = 3.0


def large(revision: int) -> StoredObject:
    return StoredObject(NAME, revision, LARGE, None)


async def change(pair: Pair, revision: int) -> None:
    """The relay sees the large object change, as the newest change of all."""
    followed = pair.relay.replicas[URGENT]
    changes = Changes([Change(large(revision), False)], revision)
    await followed.apply_changes(followed.revision or 0, changes, clock.now())


async def told_of(pair: Pair, revision: int) -> None:
    """The asker is told of the large object, by name."""
    await pair.list_both(5, age_s=0.5)
    await change(pair, revision)
    await poll_once(pair.asker, RELAY)


async def loaded(pair: Pair, revision: int) -> None:
    """Load what the asker lacks, until it has this revision."""
    loader = await curio.spawn(load_pending, pair.asker, daemon=True)
    async with curio.timeout_after(SOON_S):
        while (held := pair.asker.replicas[URGENT].complete_object(NAME)) is None:
            await curio.sleep(0.01)
    await loader.cancel()
    assert held == large(revision)


async def store_of(pair: Pair, revision: int | None) -> list[str]:
    """A store for the asker that holds the large object, or turns everybody away where that is
    None; gives what it was asked."""
    asked: list[str] = []

    async def handle(req: Request, reply: Reply) -> None:
        asked.append(req.path)
        found = {"metadata": {"name": NAME, "revision": revision}, "spec": LARGE, "status": None}
        await reply.send(503 if revision is None else 200, encode(found))

    port = free_port()
    await curio.spawn(serve, listen("127.0.0.1", port), handle, daemon=True)
    pair.asker.store.addr = f"127.0.0.1:{port}"
    return asked


async def third_gateway(pair: Pair, revision: int) -> None:
    """Another gateway that the asker knows, and that has the large object."""
    third = gateway("third")
    third.replicas[URGENT] = KindReplica(
        URGENT, Handlers(lambda s: None, lambda c: None, lambda at: None), third.updates, True
    )
    await third.replicas[URGENT].apply_snapshot(Snapshot([large(revision)], revision), 0.0)
    port = free_port()
    await curio.spawn(serve, listen("127.0.0.1", port), internal_handler(third), daemon=True)
    pair.asker.peers.put("third", f"127.0.0.1:{port}")


async def tells_only(pair: Pair) -> None:
    """The relay goes on telling, but gives no copies."""
    port = free_port()
    await curio.spawn(serve, listen("127.0.0.1", port), feed_handler(pair.relay), daemon=True)
    pair.asker.peers.put(RELAY, f"127.0.0.1:{port}")


def test_what_was_told_by_name_is_known_but_not_confirmed_until_it_is_loaded() -> None:
    async def scene(pair: Pair) -> None:
        confirmed: list[float] = []
        followed = pair.asker.replicas[URGENT]
        taken = followed._handlers.on_change
        followed._handlers = Handlers(lambda s: None, taken, confirmed.append)
        await told_of(pair, 6)
        assert followed.revision == 6
        assert followed.pending[NAME].revision == 6
        assert len(confirmed) == 1, "only the list before"
        await loaded(pair, 6)
        assert not followed.pending
        assert confirmed[-1] == followed.confirmed_at > confirmed[0]

    play(scene)


def test_whoever_told_of_it_gives_a_copy_and_the_store_is_not_asked() -> None:
    async def scene(pair: Pair) -> None:
        asked = await store_of(pair, 6)
        await told_of(pair, 6)
        await loaded(pair, 6)
        assert asked == []
        assert pair.taken[-1] == NAME

    play(scene)


def test_whoever_told_of_it_is_asked_also_where_it_lags_behind_the_store() -> None:
    """A relay that has just read a large object over a thin link tells of it with an old
    confirmation.  Its follower passed it over for that, and read the object from the store over a
    link as thin: 2.2 s, where a copy takes some hundredths."""

    async def scene(pair: Pair) -> None:
        asked = await store_of(pair, 6)
        await told_of(pair, 6)
        pair.asker.peers.record_call(RELAY, False, clock.now())
        await loaded(pair, 6)
        assert asked == []

    play(scene)


def test_the_store_is_asked_where_whoever_told_of_it_gives_none() -> None:
    async def scene(pair: Pair) -> None:
        asked = await store_of(pair, 6)
        await tells_only(pair)
        await told_of(pair, 6)
        await loaded(pair, 6)
        assert asked == [f"/objects/{URGENT}/{NAME}"]

    play(scene)


@pytest.mark.parametrize("failing", [True, False])
def test_any_other_gateway_is_asked_where_the_store_fails(failing: bool) -> None:
    async def scene(pair: Pair) -> None:
        asked = await store_of(pair, None)
        await tells_only(pair)
        await told_of(pair, 6)
        await third_gateway(pair, 6)
        pair.asker.store_outage.failing_since = clock.now() if failing else None
        await loaded(pair, 6)
        assert len(asked) == (0 if failing else 1)

    play(scene)


def test_whoever_is_still_loading_it_is_waited_for() -> None:
    """It gives the copy as soon as it has it, which is sooner than the store on a thin link."""

    async def scene(pair: Pair) -> None:
        asked = await store_of(pair, 6)
        await pair.list_both(5, age_s=0.5)
        stub = StoredObject(NAME, 6, None, None, whole=False)
        followed = pair.relay.replicas[URGENT]
        await followed.apply_changes(5, Changes([Change(stub, False)], 6), clock.now())
        await poll_once(pair.asker, RELAY)
        loading = await curio.spawn(loaded, pair, 6)
        await curio.sleep(0.1)
        await followed.apply_object(large(6))
        await loading.join()
        assert asked == []

    play(scene)


def test_a_store_that_refuses_is_not_asked_again_at_once() -> None:
    """Each call to the store is paid for, by all gateways that lack the object at once."""

    async def scene(pair: Pair) -> None:
        asked = await store_of(pair, None)
        await tells_only(pair)
        await told_of(pair, 6)
        await curio.spawn(load_pending, pair.asker, daemon=True)
        await curio.sleep(2.0)
        assert 3 <= len(asked) <= 10, "0.1 s between two calls at first, 0.5 s at most"

    play(scene)


def test_a_copy_that_is_older_than_what_was_told_of_is_not_given() -> None:
    async def scene(pair: Pair) -> None:
        await store_of(pair, 6)
        await tells_only(pair)
        await told_of(pair, 6)
        await third_gateway(pair, 4)
        await loaded(pair, 6)

    play(scene)


def test_the_feed_goes_on_while_an_object_is_lacking() -> None:
    async def scene(pair: Pair) -> None:
        await told_of(pair, 6)
        await pair.change(OTHER, "b")
        began = clock.now()
        await poll_once(pair.asker, RELAY)
        assert clock.now() - began < 0.2
        assert pair.taken[-1] == "b"
        assert NAME in pair.asker.replicas[URGENT].pending

    play(scene)


def test_an_older_one_that_was_on_its_way_is_taken_and_the_newer_one_stays_lacking() -> None:
    async def scene(pair: Pair) -> None:
        await told_of(pair, 6)
        await change(pair, 8)
        await poll_once(pair.asker, RELAY)
        followed = pair.asker.replicas[URGENT]
        since = followed.pending[NAME].since
        await followed.apply_object(large(6))
        assert pair.taken[-1] == NAME
        assert followed.pending[NAME].revision == 8
        assert followed.pending[NAME].since == since, "counted from the first that was missed"
        await loaded(pair, 8)

    play(scene)


def test_what_was_told_by_name_is_told_on_by_name_and_what_is_held_is_not_asked_for_again() -> None:
    async def scene(pair: Pair) -> None:
        await told_of(pair, 6)
        followed = pair.asker.replicas[URGENT]
        assert [c.obj.whole for c in followed.changes_since(5).changes] == [False]
        await loaded(pair, 6)
        assert [c.obj.whole for c in followed.changes_since(5).changes] == [True]
        stub = StoredObject(NAME, 6, None, None, whole=False)
        await followed.apply_snapshot(Snapshot([stub], 7), clock.now())
        assert not followed.pending
        assert followed.complete_object(NAME) == large(6)

    play(scene)


def test_one_that_is_removed_is_lacking_no_more() -> None:
    async def scene(pair: Pair) -> None:
        await told_of(pair, 6)
        await pair.change(URGENT, NAME, removed=True)
        await poll_once(pair.asker, RELAY)
        followed = pair.asker.replicas[URGENT]
        assert not followed.pending
        await followed.apply_object(large(6))
        assert followed.complete_object(NAME) is None
        assert pair.taken[-1] == f"{NAME} gone"

    play(scene)


@pytest.mark.parametrize(("late_s", "ready"), [(-0.2, True), (0.2, False)])
def test_a_gateway_that_lacks_the_configuration_for_too_long_is_not_ready(
    late_s: float, ready: bool
) -> None:
    async def scene() -> None:
        gw = gateway(ASKER)
        gw.members_listed = True
        gw.table = object()  # type: ignore[assignment]
        now = clock.now()
        gw.freshness.confirm(now)
        followed = KindReplica(
            names.CONFIG_KIND, Handlers(lambda s: None, lambda c: None, print), gw.updates, True
        )
        gw.replicas[names.CONFIG_KIND] = followed
        stub = StoredObject(names.CONFIG_NAME, 6, None, None, whole=False)
        await followed.apply_snapshot(Snapshot([stub], 6), now, RELAY)
        allowed_s = gw.cfg["timing"]["config_apply_ms"] / 1000
        lacking = followed.pending[names.CONFIG_NAME]
        followed.pending[names.CONFIG_NAME] = lacking._replace(since=now - allowed_s - late_s)
        assert gw.ready == ready
        assert gw.config_revision_known == 6

    curio.run(scene)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"?",
        encode_copy(large(1))[:-9],
        zlib.compress(b"x" * (17 * 1024 * 1024)),
        zlib.compress(b"{}"),
    ],
)
def test_a_copy_that_is_damaged_or_too_large_is_not_taken(data: bytes) -> None:
    assert isinstance(decode_copy(NAME, data), BadMessage)


def test_a_copy_is_a_small_part_of_a_large_configuration() -> None:
    """Routes are much alike: the figure that speaks for copies instead of reads of the store."""
    from tests.test_large_config import large as large_config

    spec: dict[str, Any] = large_config(2, "/second/")
    obj = StoredObject(NAME, 6, spec, None)
    assert len(encode_copy(obj)) < len(encode(spec)) / 10
