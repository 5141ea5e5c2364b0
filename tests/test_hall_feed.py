"""News that reach a gateway through another of its data hall, and that one falling silent.

Open connections may go silent for good, without a reset: between gateways, to the store and to
upstreams.  In a fleet whose halls are told by gateways of their own, news pass two gateways, and
each of them may be the one that is silent.  Whoever is told through its hall waits longer than
the one who tells it, so that this one can ask the store meanwhile, and still asks the store
itself before an upstream's leaving must be known.
"""

from __future__ import annotations

from typing import Any

import curio
import pytest

from ramppost import clock
from ramppost.gateway.follow import Handlers, KindReplica
from ramppost.gateway.operators import internal_handler
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
FLEET = 24
"""Gateways of the fleet that each believes to be in: enough for halls that tell their own."""
STORE_S = 0.1
"""An answer of the store on a new connection, many times over."""


def gateway(name: str, leave_ms: int = 2000) -> Gateway:
    timing = {**SETTINGS["timing"], "upstream_leave_ms": leave_ms}
    cfg = GatewaySettings(**{**SETTINGS, "name": name, "timing": timing})  # type: ignore[typeddict-item]
    gw = Gateway(cfg)
    handlers = Handlers(lambda snapshot: None, lambda change: None, lambda at: None)
    gw.replicas[KIND] = KindReplica(KIND, handlers, gw.updates, True)
    return gw


def chain(leave_ms: int = 2000) -> list[Gateway]:
    """A relay, one that tells its hall, and one that is told by it, which know each other."""
    names = [f"g{number}" for number in range(FLEET)]
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


async def listening(gw: Gateway, others: Gateway) -> None:
    port = int(others.peers.addrs[gw.cfg["name"]].rpartition(":")[2])
    await curio.spawn(serve, listen("127.0.0.1", port), internal_handler(gw), daemon=True)


def test_a_change_passes_the_hall_s_own_gateway_at_once() -> None:
    async def scene() -> float:
        relay, teller, told = chain()
        await listening(relay, told)
        await listening(teller, told)
        for gw in (relay, teller, told):
            await gw.replicas[KIND].apply_snapshot(Snapshot([], 5), clock.now())
        for gw in (teller, told):
            await curio.spawn(subscribe, gw, daemon=True)
        await curio.sleep(0.3)
        obj = StoredObject("a", 6, {}, None)
        began = clock.now()
        changes = Changes([Change(obj, False)], 6)
        await relay.replicas[KIND].apply_changes(5, changes, clock.now())
        while told.replicas[KIND].complete_object("a") is None and clock.now() < began + 3:
            await curio.sleep(0.005)
        took_s = clock.now() - began
        await end_all()
        return took_s

    took_s: Any = curio.run(scene)
    assert took_s < 0.3


@pytest.mark.parametrize("leave_ms", [2000, 3000, 4000])
def test_who_is_told_by_its_hall_asks_the_store_before_a_leaving_must_be_known(
    leave_ms: int,
) -> None:
    relay, teller, told = chain(leave_ms)
    waits_s = [feed_wait_s(gw) for gw in (relay, teller, told)]
    noticed_s = feed_wait_s(told) + ANSWER_SLACK_S + FEED_GRACE_S
    assert noticed_s + STORE_S < leave_ms / 1000
    assert waits_s[2] > waits_s[1] + ANSWER_SLACK_S + STORE_S / 2
    assert stale_after_s(told) > stale_after_s(teller)


def test_one_that_tells_its_hall_and_goes_silent_is_given_up_in_time() -> None:
    """It takes the question, and nothing comes back any more."""

    async def scene() -> float:
        _, teller, told = chain()
        port = int(told.peers.addrs[teller.cfg["name"]].rpartition(":")[2])

        async def silent(req: Request, reply: Reply) -> None:
            await curio.sleep(60)

        await curio.spawn(serve, listen("127.0.0.1", port), silent, daemon=True)
        await told.replicas[KIND].apply_snapshot(Snapshot([], 5), clock.now())
        began = clock.now()
        assert not await poll_once(told, teller.cfg["name"])
        assert teller.cfg["name"] not in told.peers.alive(clock.now())
        assert told.store.pool.idle_connections == {}, "what is open may be as silent"
        return clock.now() - began

    took_s: Any = curio.run(scene)
    assert took_s < SETTINGS["timing"]["upstream_leave_ms"] / 1000 - STORE_S
