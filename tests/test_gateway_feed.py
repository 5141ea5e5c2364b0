"""Gateways that tell each other what changes in the store, over real connections."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest

from ramppost import clock
from ramppost.gateway.feed import feed_handler
from ramppost.gateway.follow import Handlers, KindReplica
from ramppost.gateway.operators import internal_handler
from ramppost.gateway.state import Gateway
from ramppost.gateway.subscribe import needs_feed, poll_once
from ramppost.gateway.watchers import feed_wait_s, stale_after_s
from ramppost.platform.store import Change, Changes, Snapshot, StoredObject
from ramppost.schema.settings import GatewaySettings
from ramppost.wire.server import listen, serve
from tests.test_gateway_follow import free_port
from tests.test_gateway_state import SETTINGS

RELAY, ASKER = "relay", "asker"
URGENT, OTHER = "urgent", "other"


class Pair:
    """A gateway that is asked, and one that asks it; each follows two kinds."""

    def __init__(self) -> None:
        self.relay, self.asker = gateway(RELAY), gateway(ASKER)
        self.port = free_port()
        self.taken: list[str] = []
        for gw, taken in ((self.relay, []), (self.asker, self.taken)):
            for kind in (URGENT, OTHER):
                gw.replicas[kind] = KindReplica(kind, noting(taken), gw.updates, kind == URGENT)
        # By the hash of their names the first is the relay of the two.
        self.asker.peers.put(RELAY, f"127.0.0.1:{self.port}")

    async def start(self) -> None:
        inner = internal_handler(self.relay)
        await curio.spawn(serve, listen("127.0.0.1", self.port), inner, daemon=True)

    async def list_both(self, revision: int, age_s: float = 0.0) -> None:
        at = clock.now() - age_s
        for gw in (self.relay, self.asker):
            for followed in gw.replicas.values():
                await followed.apply_snapshot(Snapshot([obj("a", revision)], revision), at)

    async def change(self, kind: str, name: str, removed: bool = False) -> None:
        followed = self.relay.replicas[kind]
        since = followed.revision or 0
        changes = Changes([Change(obj(name, since + 1), removed)], since + 1)
        await followed.apply_changes(since, changes, clock.now())


def noting(taken: list[str]) -> Handlers:
    return Handlers(
        lambda snapshot: taken.append(f"all {len(snapshot.objects)}"),
        lambda change: taken.append(f"{change.obj.name}{' gone' if change.removed else ''}"),
        lambda at: None,
    )


def gateway(name: str) -> Gateway:
    cfg: GatewaySettings = {**SETTINGS, "name": name}
    return Gateway(cfg)


def obj(name: str, revision: int) -> StoredObject:
    return StoredObject(name, revision, {"x": 1}, {"state": "there"})


def play(scene: Callable[[Pair], Awaitable[Any]]) -> Any:
    async def run() -> Any:
        pair = Pair()
        await pair.start()
        return await scene(pair)

    return curio.run(run)


def test_a_change_is_told_at_once() -> None:
    async def scene(pair: Pair) -> None:
        await pair.list_both(5)
        pair.taken.clear()
        began = clock.now()
        asking = await curio.spawn(poll_once, pair.asker, RELAY)
        await curio.sleep(0.1)
        await pair.change(OTHER, "b", removed=True)
        await asking.join()
        assert clock.now() - began < 0.1 + 0.5 * feed_wait_s(pair.asker)
        assert pair.taken == ["b gone"]
        assert pair.asker.replicas[OTHER].revision == 6

    play(scene)


def test_a_later_confirmation_is_told_at_once_and_feeds() -> None:
    async def scene(pair: Pair) -> None:
        await pair.list_both(5)
        asking = await curio.spawn(poll_once, pair.asker, RELAY)
        await curio.sleep(0.2)
        await pair.relay.replicas[URGENT].apply_changes(5, Changes([], 5), clock.now())
        assert await asking.join()
        assert pair.asker.feed_valid_until > clock.now()

    play(scene)


def test_a_confirmation_is_never_taken_for_younger_than_it_is() -> None:
    async def scene(pair: Pair) -> None:
        await pair.list_both(5, age_s=1.0)
        confirmed_at = clock.now() - 0.3
        await pair.relay.replicas[URGENT].apply_changes(5, Changes([], 5), confirmed_at)
        await poll_once(pair.asker, RELAY)
        taken_at = pair.asker.replicas[URGENT].confirmed_at
        assert confirmed_at - 0.2 <= taken_at <= confirmed_at

    play(scene)


def test_a_relay_that_lags_behind_the_store_does_not_feed() -> None:
    async def scene(pair: Pair) -> None:
        await pair.list_both(5, age_s=stale_after_s(pair.asker) + 1)
        await pair.change(OTHER, "b")
        assert not await poll_once(pair.asker, RELAY)
        assert pair.asker.feed_valid_until < clock.now()
        assert pair.taken[-1] == "b", "what it tells is taken all the same"

    play(scene)


def test_a_relay_without_a_later_confirmation_does_not_feed() -> None:
    async def scene(pair: Pair) -> None:
        await pair.list_both(5)
        began = clock.now()
        assert not await poll_once(pair.asker, RELAY)
        assert clock.now() - began >= feed_wait_s(pair.asker)
        assert pair.asker.peers.alive(clock.now()) == []

    play(scene)


def test_a_relay_that_is_cut_off_goes_on_asking_those_who_followed_it() -> None:
    """They lag as it does until they notice, and then they are the ones who know."""

    async def scene(pair: Pair) -> None:
        await pair.list_both(5, age_s=stale_after_s(pair.relay) + 1)
        port = free_port()
        await curio.spawn(serve, listen("127.0.0.1", port), feed_handler(pair.asker), daemon=True)
        pair.relay.peers.put(ASKER, f"127.0.0.1:{port}")
        assert not await poll_once(pair.relay, ASKER)
        assert pair.relay.peers.alive(clock.now()) == [ASKER]
        await pair.asker.replicas[URGENT].apply_changes(5, Changes([], 5), clock.now())
        await poll_once(pair.relay, ASKER)
        assert clock.now() - pair.relay.replicas[URGENT].confirmed_at < stale_after_s(pair.relay)

    play(scene)


def test_a_gateway_is_not_fed_by_the_echo_of_what_it_told() -> None:
    """A relay that is cut off asks its follower, and then tells it what it has just heard there."""

    async def scene(pair: Pair) -> None:
        await pair.list_both(5, age_s=0.5)
        await pair.change(OTHER, "b")
        assert await poll_once(pair.asker, RELAY)
        assert pair.asker.feed_valid_until < clock.now()

    play(scene)


def test_a_relay_that_knows_less_tells_nothing() -> None:
    async def scene(pair: Pair) -> None:
        await pair.list_both(5)
        now = clock.now()
        await pair.asker.replicas[URGENT].apply_snapshot(Snapshot([], 9), now)
        await pair.relay.replicas[URGENT].apply_changes(5, Changes([], 7), now + 5)
        await poll_once(pair.asker, RELAY)
        assert pair.asker.replicas[URGENT].revision == 9
        assert pair.asker.replicas[URGENT].confirmed_at == now

    play(scene)


def test_a_relay_that_nobody_has_told_anything_confirms_nothing() -> None:
    async def scene(pair: Pair) -> None:
        assert not await poll_once(pair.asker, RELAY)
        assert pair.asker.replicas[URGENT].confirmed_at == float("-inf")

    play(scene)


def test_what_was_never_confirmed_is_taken_in_once() -> None:
    """The list of gateways that a start reads may be old, so it confirms nothing.  Told on, it was
    passed over for that, asked for again, and told again at once: with 300 upstreams the
    busiest gateway sent 1 MB a second, and with 3,000 the processes ran out of time."""

    async def scene(pair: Pair) -> None:
        await pair.list_both(5)
        await pair.relay.replicas[OTHER].apply_snapshot(Snapshot([obj("b", 7)], 7), float("-inf"))
        pair.relay.replicas[OTHER].confirmed_at = float("-inf")
        await poll_once(pair.asker, RELAY)
        assert pair.asker.replicas[OTHER].revision == 7
        began = clock.now()
        await poll_once(pair.asker, RELAY)
        assert clock.now() - began >= 0.5 * feed_wait_s(pair.asker), "answered at once again"

    play(scene)


def test_a_gateway_that_knows_nothing_is_told_everything() -> None:
    async def scene(pair: Pair) -> None:
        for followed in pair.relay.replicas.values():
            await followed.apply_snapshot(Snapshot([obj("a", 4), obj("b", 5)], 5), clock.now())
        assert await poll_once(pair.asker, RELAY)
        assert pair.taken == ["all 2", "all 2"]

    play(scene)


@pytest.mark.parametrize("answers", [True, False])
def test_a_gateway_that_does_not_answer_is_passed_over(answers: bool) -> None:
    async def scene(pair: Pair) -> None:
        await pair.list_both(5)
        if not answers:
            pair.asker.peers.put(RELAY, f"127.0.0.1:{free_port()}")
        await pair.change(URGENT, "b")
        assert await poll_once(pair.asker, RELAY) == answers
        assert pair.asker.peers.alive(clock.now()) == ([RELAY] if answers else [])
        assert pair.asker.peers_reachable == answers

    play(scene)


@pytest.mark.parametrize(
    ("name", "age_s", "failing", "wants"),
    [
        (RELAY, 0.0, False, False),
        (RELAY, 0.0, True, True),
        (RELAY, 10.0, False, True),
        (ASKER, 0.0, False, True),
    ],
)
def test_a_relay_asks_others_only_where_the_store_does_not_answer_it(
    name: str, age_s: float, failing: bool, wants: bool
) -> None:
    gw = gateway(name)
    for other in (RELAY, ASKER):
        gw.peers.put(other, "127.0.0.1:1")
    now = clock.now()
    gw.freshness.confirm(now - age_s)
    gw.store_outage.failing_since = now if failing else None
    assert needs_feed(gw, now) == wants
