"""Large objects, sent as stubs in the feed and loaded separately, over real connections."""

from __future__ import annotations

import zlib
from typing import Any

import curio
import pytest

from ramppost import clock
from ramppost.gateway.copies import decode_copy, encode_copy
from ramppost.gateway.feed import LARGE_OBJECT_BYTES, feed_handler
from ramppost.gateway.loading import load_pending
from ramppost.gateway.operators import internal_handler
from ramppost.gateway.replica import Handlers, KindReplica
from ramppost.gateway.subscribe import poll_once
from ramppost.platform import names
from ramppost.platform.store import Change, Changes, Snapshot, StoredObject
from ramppost.wire.codec import BadMessage, encode
from ramppost.wire.server import Reply, Request, listen, serve
from tests.test_gateway_feed import ASKER, OTHER, RELAY, URGENT, Pair, gateway, run_scenario
from tests.test_gateway_follow import free_port

LARGE = {"x": "y" * LARGE_OBJECT_BYTES}
NAME = "big"
SOON_S = 3.0


def large_object(revision: int) -> StoredObject:
    return StoredObject(NAME, revision, LARGE, None)


async def change(pair: Pair, revision: int) -> None:
    """Applies a change of the large object at the relay, as its newest change."""
    replica = pair.relay.replicas[URGENT]
    changes = Changes([Change(large_object(revision), False)], revision)
    await replica.apply_changes(replica.revision or 0, changes, clock.now())


async def send_stub(pair: Pair, revision: int) -> None:
    """Sends the asker a stub of the large object."""
    await pair.apply_snapshots(5, age_s=0.5)
    await change(pair, revision)
    await poll_once(pair.asker, RELAY)


async def load_until(pair: Pair, revision: int) -> None:
    """Loads the pending objects of the asker until it has the large one at this revision."""
    loader = await curio.spawn(load_pending, pair.asker, daemon=True)
    async with curio.timeout_after(SOON_S):
        while (held := pair.asker.replicas[URGENT].complete_object(NAME)) is None:
            await curio.sleep(0.01)
    await loader.cancel()
    assert held == large_object(revision)


async def start_store(pair: Pair, revision: int | None) -> list[str]:
    """Starts a store for the asker that holds the large object, or answers 503 if `revision` is
    None; returns the list of requested paths."""
    store_requests: list[str] = []

    async def handle(req: Request, reply: Reply) -> None:
        store_requests.append(req.path)
        found = {"metadata": {"name": NAME, "revision": revision}, "spec": LARGE, "status": None}
        await reply.send(503 if revision is None else 200, encode(found))

    port = free_port()
    await curio.spawn(serve, listen("127.0.0.1", port), handle, daemon=True)
    pair.asker.store.addr = f"127.0.0.1:{port}"
    return store_requests


async def start_third_gateway(pair: Pair, revision: int) -> None:
    """Starts another gateway that the asker knows and that has the large object."""
    third = gateway("third")
    third.replicas[URGENT] = KindReplica(
        URGENT, Handlers(lambda s: None, lambda c: None, lambda at: None), third.updates, True
    )
    await third.replicas[URGENT].apply_snapshot(Snapshot([large_object(revision)], revision), 0.0)
    port = free_port()
    await curio.spawn(serve, listen("127.0.0.1", port), internal_handler(third), daemon=True)
    pair.asker.peers.put("third", f"127.0.0.1:{port}")


async def serve_feed_only(pair: Pair) -> None:
    """Makes the relay serve the feed but no copies."""
    port = free_port()
    await curio.spawn(serve, listen("127.0.0.1", port), feed_handler(pair.relay), daemon=True)
    pair.asker.peers.put(RELAY, f"127.0.0.1:{port}")


def test_a_stub_is_known_but_not_confirmed_until_it_is_loaded() -> None:
    async def scenario(pair: Pair) -> None:
        confirmed: list[float] = []
        replica = pair.asker.replicas[URGENT]
        on_change = replica._handlers.on_change
        replica._handlers = Handlers(lambda s: None, on_change, confirmed.append)
        await send_stub(pair, 6)
        assert replica.revision == 6
        assert replica.pending[NAME].position.revision == 6
        assert len(confirmed) == 1, "only the list before the stub is confirmed"
        await load_until(pair, 6)
        assert not replica.pending
        assert confirmed[-1] == replica.confirmed_at > confirmed[0]

    run_scenario(scenario)


def test_the_source_of_a_stub_sends_a_copy_and_the_store_is_not_called() -> None:
    async def scenario(pair: Pair) -> None:
        store_requests = await start_store(pair, 6)
        await send_stub(pair, 6)
        await load_until(pair, 6)
        assert store_requests == []
        assert pair.applied[-1] == NAME

    run_scenario(scenario)


def test_the_source_of_a_stub_is_asked_even_if_it_lags_behind_the_store() -> None:
    """A relay that has just read a large object over a slow link announces it with an old
    confirmation time.  Its follower used to skip the relay for that and read the object from the
    store over an equally slow link, which took 2.2 s instead of some hundredths for a copy."""

    async def scenario(pair: Pair) -> None:
        store_requests = await start_store(pair, 6)
        await send_stub(pair, 6)
        pair.asker.peers.record_call(RELAY, False, clock.now())
        await load_until(pair, 6)
        assert store_requests == []

    run_scenario(scenario)


def test_the_store_is_called_if_the_source_of_a_stub_sends_no_copy() -> None:
    async def scenario(pair: Pair) -> None:
        store_requests = await start_store(pair, 6)
        await serve_feed_only(pair)
        await send_stub(pair, 6)
        await load_until(pair, 6)
        assert store_requests == [f"/objects/{URGENT}/{NAME}"]

    run_scenario(scenario)


@pytest.mark.parametrize("failing", [True, False])
def test_any_other_gateway_is_asked_if_the_store_fails(failing: bool) -> None:
    async def scenario(pair: Pair) -> None:
        store_requests = await start_store(pair, None)
        await serve_feed_only(pair)
        await send_stub(pair, 6)
        await start_third_gateway(pair, 6)
        pair.asker.store_outage.failing_since = clock.now() if failing else None
        await load_until(pair, 6)
        assert len(store_requests) == (0 if failing else 1)

    run_scenario(scenario)


def test_a_source_that_is_still_loading_is_awaited() -> None:
    """The source sends the copy once it has it, which is sooner than the store on a slow link."""

    async def scenario(pair: Pair) -> None:
        store_requests = await start_store(pair, 6)
        await pair.apply_snapshots(5, age_s=0.5)
        stub = StoredObject(NAME, 6, None, None, whole=False)
        replica = pair.relay.replicas[URGENT]
        await replica.apply_changes(5, Changes([Change(stub, False)], 6), clock.now())
        await poll_once(pair.asker, RELAY)
        loading = await curio.spawn(load_until, pair, 6)
        await curio.sleep(0.1)
        await replica.apply_object(large_object(6))
        await loading.join()
        assert store_requests == []

    run_scenario(scenario)


def test_a_store_that_refuses_is_not_retried_at_once() -> None:
    """Each call to the store costs money, and all gateways that lack the object call at once."""

    async def scenario(pair: Pair) -> None:
        store_requests = await start_store(pair, None)
        await serve_feed_only(pair)
        await send_stub(pair, 6)
        await curio.spawn(load_pending, pair.asker, daemon=True)
        await curio.sleep(2.0)
        assert 3 <= len(store_requests) <= 10, "0.1 s between two calls at first, 0.5 s at most"

    run_scenario(scenario)


def test_a_copy_that_is_older_than_the_stub_is_not_sent() -> None:
    async def scenario(pair: Pair) -> None:
        await start_store(pair, 6)
        await serve_feed_only(pair)
        await send_stub(pair, 6)
        await start_third_gateway(pair, 4)
        await load_until(pair, 6)

    run_scenario(scenario)


def test_the_feed_continues_while_an_object_is_pending() -> None:
    async def scenario(pair: Pair) -> None:
        await send_stub(pair, 6)
        await pair.change(OTHER, "b")
        began = clock.now()
        await poll_once(pair.asker, RELAY)
        assert clock.now() - began < 0.2
        assert pair.applied[-1] == "b"
        assert NAME in pair.asker.replicas[URGENT].pending

    run_scenario(scenario)


def test_an_older_revision_in_flight_is_applied_and_the_newer_one_stays_pending() -> None:
    async def scenario(pair: Pair) -> None:
        await send_stub(pair, 6)
        await change(pair, 8)
        await poll_once(pair.asker, RELAY)
        replica = pair.asker.replicas[URGENT]
        since = replica.pending[NAME].since
        await replica.apply_object(large_object(6))
        assert pair.applied[-1] == NAME
        assert replica.pending[NAME].position.revision == 8
        assert replica.pending[NAME].since == since, "counted from the first missing revision"
        await load_until(pair, 8)

    run_scenario(scenario)


def test_a_stub_is_forwarded_as_a_stub_and_a_held_revision_is_not_loaded_again() -> None:
    async def scenario(pair: Pair) -> None:
        await send_stub(pair, 6)
        replica = pair.asker.replicas[URGENT]
        assert [c.obj.whole for c in replica.changes_since(5).changes] == [False]
        await load_until(pair, 6)
        assert [c.obj.whole for c in replica.changes_since(5).changes] == [True]
        stub = StoredObject(NAME, 6, None, None, whole=False)
        await replica.apply_snapshot(Snapshot([stub], 7), clock.now())
        assert not replica.pending
        assert replica.complete_object(NAME) == large_object(6)

    run_scenario(scenario)


def test_a_removed_object_is_no_longer_pending() -> None:
    async def scenario(pair: Pair) -> None:
        await send_stub(pair, 6)
        await pair.change(URGENT, NAME, removed=True)
        await poll_once(pair.asker, RELAY)
        replica = pair.asker.replicas[URGENT]
        assert not replica.pending
        await replica.apply_object(large_object(6))
        assert replica.complete_object(NAME) is None
        assert pair.applied[-1] == f"{NAME} gone"

    run_scenario(scenario)


@pytest.mark.parametrize(("late_s", "ready"), [(-0.2, True), (0.2, False)])
def test_a_gateway_without_the_configuration_for_too_long_is_not_ready(
    late_s: float, ready: bool
) -> None:
    async def scenario() -> None:
        gw = gateway(ASKER)
        gw.members_listed = True
        gw.table = object()  # type: ignore[assignment]
        now = clock.now()
        gw.freshness.confirm(now)
        replica = KindReplica(
            names.CONFIG_KIND, Handlers(lambda s: None, lambda c: None, print), gw.updates, True
        )
        gw.replicas[names.CONFIG_KIND] = replica
        stub = StoredObject(names.CONFIG_NAME, 6, None, None, whole=False)
        await replica.apply_snapshot(Snapshot([stub], 6), now, RELAY)
        allowed_s = gw.cfg["timing"]["config_apply_ms"] / 1000
        pending_object = replica.pending[names.CONFIG_NAME]
        replica.pending[names.CONFIG_NAME] = pending_object._replace(since=now - allowed_s - late_s)
        assert gw.ready == ready
        assert gw.config_revision_known == 6

    curio.run(scenario)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"?",
        encode_copy(large_object(1))[:-9],
        zlib.compress(b"x" * (17 * 1024 * 1024)),
        zlib.compress(b"{}"),
    ],
)
def test_a_copy_that_is_damaged_or_too_large_is_rejected(data: bytes) -> None:
    assert isinstance(decode_copy(NAME, data), BadMessage)


def test_a_copy_is_much_smaller_than_a_large_configuration() -> None:
    """Routes are similar and compress well, which makes copies cheaper than reads of the store."""
    from tests.test_large_config import many_routes_config as large_config

    spec: dict[str, Any] = large_config(2, "/second/")
    obj = StoredObject(NAME, 6, spec, None)
    assert len(encode_copy(obj)) < len(encode(spec)) / 10
