"""Updates that a gateway receives through another gateway of its data hall, which may go silent.

Open connections between gateways, to the store and to upstreams may stop delivering data without a
reset.  In a fleet with one distributor per hall, updates pass two gateways, either of which may go
silent.  A follower of its hall's distributor waits longer than the distributor does, so that the
distributor can read the store in the meantime, and still reads the store itself within the limit
for learning that an upstream is draining.
"""

from __future__ import annotations

from typing import Any

import curio
import pytest

from ramppost import clock
from ramppost.gateway.operators import internal_handler
from ramppost.gateway.replica import Handlers, KindReplica
from ramppost.gateway.state import Gateway
from ramppost.gateway.subscribe import ANSWER_SLACK_S, FEED_GRACE_S, poll_once, subscribe
from ramppost.gateway.watchers import feed_wait_s, stale_after_s
from ramppost.platform.store import Change, Changes, Snapshot, StoredObject
from ramppost.policy.relays import FOLLOWS_HALL_DEPTH, FOLLOWS_RELAY_DEPTH, RELAY_DEPTH
from ramppost.schema.settings import GatewaySettings
from ramppost.wire.server import Reply, Request, listen, serve
from tests.harness.tasks import end_all
from tests.test_gateway_follow import free_port
from tests.test_gateway_state import SETTINGS

KIND = "urgent"
FLEET_SIZE = 24
"""Size of the fleet that each gateway knows: enough for distributors."""
STORE_CALL_S = 0.1
"""Ample time for a store response on a new connection."""


def gateway(name: str, leave_ms: int = 2000) -> Gateway:
    timing = {**SETTINGS["timing"], "upstream_leave_ms": leave_ms}
    cfg = GatewaySettings(**{**SETTINGS, "name": name, "timing": timing})  # type: ignore[typeddict-item]
    gw = Gateway(cfg)
    handlers = Handlers(lambda snapshot: None, lambda change: None, lambda at: None)
    gw.replicas[KIND] = KindReplica(KIND, handlers, gw.updates, True)
    return gw


def feed_chain(leave_ms: int = 2000) -> list[Gateway]:
    """Return a relay, the distributor of a hall and a follower of it, which know each other."""
    names = [f"g{number}" for number in range(FLEET_SIZE)]
    ports = {name: free_port() for name in names}
    by_depth: dict[int, Gateway] = {}
    for name in names:
        gw = gateway(name, leave_ms)
        for other in names:
            gw.peers.put(other, f"127.0.0.1:{ports[other]}", SETTINGS["hall"])
        by_depth.setdefault(gw.peers.depth(clock.now()), gw)
    found = [by_depth[depth] for depth in (RELAY_DEPTH, FOLLOWS_RELAY_DEPTH, FOLLOWS_HALL_DEPTH)]
    for gw in found:
        for other in names:
            if other not in [one.cfg["name"] for one in found]:
                gw.peers.record_call(other, False, clock.now(), 60.0)
    return found


async def serve_internal(gw: Gateway, others: Gateway) -> None:
    port = int(others.peers.addrs[gw.cfg["name"]].rpartition(":")[2])
    await curio.spawn(serve, listen("127.0.0.1", port), internal_handler(gw), daemon=True)


def test_change_is_forwarded_within_hall_at_once() -> None:
    async def scenario() -> float:
        relay, distributor, follower = feed_chain()
        await serve_internal(relay, follower)
        await serve_internal(distributor, follower)
        for gw in (relay, distributor, follower):
            await gw.replicas[KIND].apply_snapshot(Snapshot([], 5), clock.now())
        for gw in (distributor, follower):
            await curio.spawn(subscribe, gw, daemon=True)
        await curio.sleep(0.3)
        obj = StoredObject("a", 6, {}, None)
        began = clock.now()
        changes = Changes([Change(obj, False)], 6)
        await relay.replicas[KIND].apply_changes(5, changes, clock.now())
        while follower.replicas[KIND].complete_object("a") is None and clock.now() < began + 3:
            await curio.sleep(0.005)
        took_s = clock.now() - began
        await end_all()
        return took_s

    took_s: Any = curio.run(scenario)
    assert took_s < 0.3


@pytest.mark.parametrize("leave_ms", [2000, 3000, 4000])
def test_hall_follower_reads_store_within_leave_limit(
    leave_ms: int,
) -> None:
    relay, distributor, follower = feed_chain(leave_ms)
    waits_s = [feed_wait_s(gw) for gw in (relay, distributor, follower)]
    noticed_s = feed_wait_s(follower) + ANSWER_SLACK_S + FEED_GRACE_S
    assert noticed_s + STORE_CALL_S < leave_ms / 1000
    assert waits_s[2] > waits_s[1] + ANSWER_SLACK_S + STORE_CALL_S / 2
    assert stale_after_s(follower) > stale_after_s(distributor)


def test_silent_hall_distributor_is_abandoned_in_time() -> None:
    """It accepts the poll and never responds."""

    async def scenario() -> float:
        _, distributor, follower = feed_chain()
        port = int(follower.peers.addrs[distributor.cfg["name"]].rpartition(":")[2])

        async def silent(req: Request, reply: Reply) -> None:
            await curio.sleep(60)

        await curio.spawn(serve, listen("127.0.0.1", port), silent, daemon=True)
        await follower.replicas[KIND].apply_snapshot(Snapshot([], 5), clock.now())
        began = clock.now()
        assert not await poll_once(follower, distributor.cfg["name"])
        assert distributor.cfg["name"] not in follower.peers.alive(clock.now())
        assert follower.store.pool.idle_connections == {}, (
            "other open connections may be silent as well"
        )
        return clock.now() - began

    took_s: Any = curio.run(scenario)
    assert took_s < SETTINGS["timing"]["upstream_leave_ms"] / 1000 - STORE_CALL_S
