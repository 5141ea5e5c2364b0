"""Gateways that feed store changes to each other over real connections."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest

from ramppost import clock
from ramppost.gateway.feed import feed_handler
from ramppost.gateway.operators import internal_handler
from ramppost.gateway.replica import Handlers, KindReplica
from ramppost.gateway.retention import KEEP_EVACUATIONS
from ramppost.gateway.state import Gateway
from ramppost.gateway.subscribe import needs_feed, poll_once
from ramppost.gateway.watchers import feed_wait_s, stale_after_s
from ramppost.platform.store import Change, Changes, Snapshot, StoredObject
from ramppost.policy.position import Position
from ramppost.schema.settings import GatewaySettings
from ramppost.wire.server import listen, serve
from tests.test_gateway_follow import free_port
from tests.test_gateway_state import SETTINGS

RELAY, ASKER = "relay", "asker"
URGENT, OTHER = "urgent", "other"


class Pair:
    """A relay and a gateway that polls it; each replicates two kinds."""

    def __init__(self) -> None:
        self.relay, self.asker = gateway(RELAY), gateway(ASKER)
        self.port = free_port()
        self.applied: list[str] = []
        for gw, applied in ((self.relay, []), (self.asker, self.applied)):
            for kind in (URGENT, OTHER):
                gw.replicas[kind] = KindReplica(
                    kind, recording_handlers(applied), gw.updates, kind == URGENT
                )
        # The hash of the names makes the first one the relay.
        self.asker.peers.put(RELAY, f"127.0.0.1:{self.port}")

    async def start(self) -> None:
        inner = internal_handler(self.relay)
        await curio.spawn(serve, listen("127.0.0.1", self.port), inner, daemon=True)

    async def apply_snapshots(self, revision: int, age_s: float = 0.0) -> None:
        at = clock.now() - age_s
        for gw in (self.relay, self.asker):
            for followed in gw.replicas.values():
                await followed.apply_snapshot(Snapshot([obj("a", revision)], revision), at)

    async def change(self, kind: str, name: str, removed: bool = False) -> None:
        followed = self.relay.replicas[kind]
        since = followed.revision or 0
        changes = Changes([Change(obj(name, since + 1), removed)], since + 1)
        await followed.apply_changes(since, changes, clock.now())


def recording_handlers(applied: list[str]) -> Handlers:
    return Handlers(
        lambda snapshot: applied.append(f"all {len(snapshot.objects)}"),
        lambda change: applied.append(f"{change.obj.name}{' gone' if change.removed else ''}"),
        lambda at: None,
    )


def gateway(name: str) -> Gateway:
    cfg: GatewaySettings = {**SETTINGS, "name": name}
    return Gateway(cfg)


def obj(name: str, revision: int) -> StoredObject:
    return StoredObject(name, revision, {"x": 1}, {"state": "there"})


def run_scenario(scenario: Callable[[Pair], Awaitable[Any]]) -> Any:
    async def run() -> Any:
        pair = Pair()
        await pair.start()
        return await scenario(pair)

    return curio.run(run)


def test_change_is_fed_at_once() -> None:
    async def scenario(pair: Pair) -> None:
        await pair.apply_snapshots(5)
        pair.applied.clear()
        began = clock.now()
        polling = await curio.spawn(poll_once, pair.asker, RELAY)
        await curio.sleep(0.1)
        await pair.change(OTHER, "b", removed=True)
        await polling.join()
        assert clock.now() - began < 0.1 + 0.5 * feed_wait_s(pair.asker)
        assert pair.applied == ["b gone"]
        assert pair.asker.replicas[OTHER].revision == 6

    run_scenario(scenario)


def test_new_confirmation_is_fed_at_once() -> None:
    async def scenario(pair: Pair) -> None:
        await pair.apply_snapshots(5)
        polling = await curio.spawn(poll_once, pair.asker, RELAY)
        await curio.sleep(0.2)
        await pair.relay.replicas[URGENT].apply_changes(5, Changes([], 5), clock.now())
        assert await polling.join()
        assert pair.asker.feed_valid_until > clock.now()

    run_scenario(scenario)


def test_confirmation_age_is_never_underestimated() -> None:
    async def scenario(pair: Pair) -> None:
        await pair.apply_snapshots(5, age_s=1.0)
        confirmed_at = clock.now() - 0.3
        await pair.relay.replicas[URGENT].apply_changes(5, Changes([], 5), confirmed_at)
        await poll_once(pair.asker, RELAY)
        taken_at = pair.asker.replicas[URGENT].confirmed_at
        assert confirmed_at - 0.2 <= taken_at <= confirmed_at

    run_scenario(scenario)


def test_lagging_relay_is_no_valid_feed() -> None:
    async def scenario(pair: Pair) -> None:
        await pair.apply_snapshots(5, age_s=stale_after_s(pair.asker) + 1)
        await pair.change(OTHER, "b")
        assert not await poll_once(pair.asker, RELAY)
        assert pair.asker.feed_valid_until < clock.now()
        assert pair.applied[-1] == "b", "its changes are applied all the same"

    run_scenario(scenario)


def test_relay_without_new_confirmation_is_no_valid_feed() -> None:
    async def scenario(pair: Pair) -> None:
        await pair.apply_snapshots(5)
        began = clock.now()
        assert not await poll_once(pair.asker, RELAY)
        assert clock.now() - began >= feed_wait_s(pair.asker)
        assert pair.asker.peers.alive(clock.now()) == []

    run_scenario(scenario)


def test_partitioned_relay_keeps_polling_its_followers() -> None:
    """They lag as much until they detect the outage, and then have fresher data than the relay."""

    async def scenario(pair: Pair) -> None:
        await pair.apply_snapshots(5, age_s=stale_after_s(pair.relay) + 1)
        port = free_port()
        await curio.spawn(serve, listen("127.0.0.1", port), feed_handler(pair.asker), daemon=True)
        pair.relay.peers.put(ASKER, f"127.0.0.1:{port}")
        assert not await poll_once(pair.relay, ASKER)
        assert pair.relay.peers.alive(clock.now()) == [ASKER]
        await pair.asker.replicas[URGENT].apply_changes(5, Changes([], 5), clock.now())
        await poll_once(pair.relay, ASKER)
        assert clock.now() - pair.relay.replicas[URGENT].confirmed_at < stale_after_s(pair.relay)

    run_scenario(scenario)


def test_echoed_confirmation_is_no_valid_feed() -> None:
    """A relay without the store polls its follower and then returns the same data to it."""

    async def scenario(pair: Pair) -> None:
        await pair.apply_snapshots(5, age_s=0.5)
        await pair.change(OTHER, "b")
        assert await poll_once(pair.asker, RELAY)
        assert pair.asker.feed_valid_until < clock.now()

    run_scenario(scenario)


def test_older_relay_data_is_ignored() -> None:
    async def scenario(pair: Pair) -> None:
        await pair.apply_snapshots(5)
        now = clock.now()
        await pair.asker.replicas[URGENT].apply_snapshot(Snapshot([], 9), now)
        await pair.relay.replicas[URGENT].apply_changes(5, Changes([], 7), now + 5)
        await poll_once(pair.asker, RELAY)
        assert pair.asker.replicas[URGENT].revision == 9
        assert pair.asker.replicas[URGENT].confirmed_at == now

    run_scenario(scenario)


def test_relay_without_data_confirms_nothing() -> None:
    async def scenario(pair: Pair) -> None:
        assert not await poll_once(pair.asker, RELAY)
        assert pair.asker.replicas[URGENT].confirmed_at == float("-inf")

    run_scenario(scenario)


def test_unconfirmed_snapshot_is_applied_once() -> None:
    """The stale list of gateways read at startup confirms nothing.  Followers ignored it for that
    reason, requested it again and got it again at once: with 300 upstreams the busiest gateway sent
    1 MB/s, and with 3,000 the processes ran out of time."""

    async def scenario(pair: Pair) -> None:
        await pair.apply_snapshots(5)
        await pair.relay.replicas[OTHER].apply_snapshot(Snapshot([obj("b", 7)], 7), float("-inf"))
        pair.relay.replicas[OTHER].confirmed_at = float("-inf")
        await poll_once(pair.asker, RELAY)
        assert pair.asker.replicas[OTHER].revision == 7
        began = clock.now()
        await poll_once(pair.asker, RELAY)
        assert clock.now() - began >= 0.5 * feed_wait_s(pair.asker), "responded at once again"

    run_scenario(scenario)


def test_gateway_without_data_gets_full_snapshots() -> None:
    async def scenario(pair: Pair) -> None:
        for followed in pair.relay.replicas.values():
            await followed.apply_snapshot(Snapshot([obj("a", 4), obj("b", 5)], 5), clock.now())
        assert await poll_once(pair.asker, RELAY)
        assert pair.applied == ["all 2", "all 2"]

    run_scenario(scenario)


@pytest.mark.parametrize("answers", [True, False])
def test_unresponsive_gateway_is_skipped(answers: bool) -> None:
    async def scenario(pair: Pair) -> None:
        await pair.apply_snapshots(5)
        if not answers:
            pair.asker.peers.put(RELAY, f"127.0.0.1:{free_port()}")
        await pair.change(URGENT, "b")
        assert await poll_once(pair.asker, RELAY) == answers
        assert pair.asker.peers.alive(clock.now()) == ([RELAY] if answers else [])
        assert pair.asker.peers_reachable == answers

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("name", "age_s", "failing", "expected"),
    [
        (RELAY, 0.0, False, False),
        (RELAY, 0.0, True, True),
        (RELAY, 10.0, False, True),
        (ASKER, 0.0, False, True),
    ],
)
def test_relay_needs_feed_only_during_store_outage(
    name: str, age_s: float, failing: bool, expected: bool
) -> None:
    gw = gateway(name)
    for other in (RELAY, ASKER):
        gw.peers.put(other, "127.0.0.1:1")
    now = clock.now()
    gw.freshness.confirm(now - age_s)
    gw.store_outage.failing_since = now if failing else None
    assert needs_feed(gw, now) == expected


def test_a_relay_that_has_just_started_learns_that_the_store_is_settled() -> None:
    # Its followers knew that and took its states for older ones: for 10 s an evacuation that it
    # received did not reach them.
    async def scenario(pair: Pair) -> None:
        for gw, settled in ((pair.relay, False), (pair.asker, True)):
            gw.replicas[OTHER] = KindReplica(
                OTHER, recording_handlers([]), gw.updates, False, KEEP_EVACUATIONS
            )
            gw.note_era(1)
            for replica in gw.replicas.values():
                listed = Snapshot([], 5, 1, settled or replica.kind == URGENT)
                await replica.apply_snapshot(listed, clock.now())
        assert not pair.relay.store_returns.is_settled()
        await poll_once(pair.asker, RELAY)
        assert pair.relay.store_returns.is_settled()

    run_scenario(scenario)


def test_a_follower_that_has_just_started_learns_that_the_store_is_settled() -> None:
    async def scenario(pair: Pair) -> None:
        for gw in (pair.relay, pair.asker):
            gw.replicas[OTHER] = KindReplica(
                OTHER, recording_handlers([]), gw.updates, False, KEEP_EVACUATIONS
            )
            gw.note_era(1)
        for replica in pair.relay.replicas.values():
            await replica.apply_snapshot(Snapshot([], 5, 1), clock.now())
        await poll_once(pair.asker, RELAY)
        assert pair.asker.store_returns.is_settled()
        assert pair.asker.replicas[OTHER].position == Position(1, True, 5)

    run_scenario(scenario)


def test_the_age_of_a_newer_configuration_confirmed_the_older_copy_at_another_gateway() -> None:
    # Both are at one state of the store, of which the relay keeps something newer (soak 7412).
    async def scenario(pair: Pair) -> None:
        handlers = recording_handlers([])._replace(may_confirm=lambda asked_at: False)
        replica = KindReplica(URGENT, handlers, pair.relay.updates, True)
        pair.relay.replicas[URGENT] = replica
        replica.confirmed_at = clock.now() - 0.5
        for gw in (pair.relay, pair.asker):
            for kind in (URGENT, OTHER):
                await gw.replicas[kind].apply_snapshot(Snapshot([], 5, 1), float("-inf"))
        await poll_once(pair.asker, RELAY)
        assert pair.asker.replicas[URGENT].confirmed_at == float("-inf")

    run_scenario(scenario)
