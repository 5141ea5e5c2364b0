"""What a replica keeps and gives on when the store has come back from an older copy.

Guards against evacuations and orders that ended because an older copy lacked them, or that were in
force again because they were back in it, and against older states that replaced newer ones.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import curio
import pytest

from ramppost import clock
from ramppost.gateway.membership import ENDED_EXCLUSION_S, EXPIRY_GRACE_S
from ramppost.gateway.replica import Handlers, KindReplica, UpdateNotifier
from ramppost.gateway.retention import (
    KEEP_CONFIG,
    KEEP_EVACUATIONS,
    KEEP_NOTHING,
    KEEP_ROLLOUTS,
    KEEP_UPSTREAMS,
    Retention,
)
from ramppost.gateway.rollouts import Rollouts
from ramppost.gateway.state import Gateway
from ramppost.gateway.store_returns import REWRITE_S
from ramppost.gateway.watchers import (
    apply_config,
    apply_upstream_change,
    apply_upstream_snapshot,
)
from ramppost.platform import names
from ramppost.platform.documents import rollout_order
from ramppost.platform.store import Change, Changes, Snapshot, StoredObject
from ramppost.policy.position import Position
from ramppost.wire.codec import BadMessage
from tests.harness.gateways import config
from tests.test_gateway_state import SETTINGS


class Kept(NamedTuple):
    """A replica, and what its handlers were given: names listed, and names changed or removed."""

    replica: KindReplica
    listed: list[list[str]]
    changed: list[str]
    confirmed: list[float]

    def names(self) -> set[str]:
        """Objects that another gateway gets that knows nothing."""
        delta = self.replica.changes_after(Position(0, False, 0))
        return {change.obj.name for change in delta.changes}


def kept(retention: Retention) -> Kept:
    listed: list[list[str]] = []
    changed: list[str] = []
    confirmed: list[float] = []
    handlers = Handlers(
        lambda snapshot: listed.append([obj.name for obj in snapshot.objects]),
        lambda change: changed.append(f"{change.obj.name}{' gone' if change.removed else ''}"),
        confirmed.append,
    )
    replica = KindReplica("kind", handlers, UpdateNotifier(), True, retention)
    return Kept(replica, listed, changed, confirmed)


def obj(name: str, revision: int, era: int = 0, spec: Any = None) -> StoredObject:
    return StoredObject(name, revision, spec or {}, None, era=era)


def listing(revision: int, *objects: StoredObject, era: int = 0, settled: bool = True) -> Snapshot:
    return Snapshot(list(objects), revision, era, settled)


def apply_list(found: Kept, snapshot: Snapshot) -> None:
    curio.run(found.replica.apply_snapshot(snapshot, 1.0))


def apply_change(found: Kept, change: Change, revision: int, settled: bool) -> None:
    since = found.replica.revision or 0
    changes = Changes([change], revision, change.obj.era, settled)
    curio.run(found.replica.apply_changes(since, changes, 2.0))


def test_a_lower_revision_of_a_later_era_is_the_newer_state() -> None:
    found = kept(KEEP_NOTHING)
    apply_list(found, listing(27, obj("a", 27)))
    apply_list(found, listing(23, obj("b", 9, era=1), era=1))
    assert found.replica.position == Position(1, True, 23)
    apply_list(found, listing(30, obj("a", 27)))
    assert found.names() == {"b"}


def test_changes_since_a_revision_of_an_earlier_era_are_not_applied() -> None:
    found = kept(KEEP_NOTHING)
    apply_list(found, listing(27, obj("a", 27)))
    change = Change(obj("b", 29, era=1), False)
    curio.run(found.replica.apply_changes(27, Changes([change], 29, era=1), 2.0))
    assert found.names() == {"a"}
    assert found.replica.position == Position(0, True, 27)


def test_another_gateway_at_the_same_revision_of_an_earlier_era_gets_everything() -> None:
    found = kept(KEEP_NOTHING)
    apply_list(found, listing(27, obj("a", 9, era=1), era=1))
    assert found.replica.changes_after(Position(0, True, 27)).full
    assert found.replica.changes_after(Position(1, True, 27)) == (False, [])


def test_what_the_older_copy_lacks_is_kept_until_the_store_is_settled() -> None:
    found = kept(KEEP_EVACUATIONS)
    apply_list(found, listing(27, obj("lost", 20), obj("there", 9)))
    apply_list(found, listing(15, obj("there", 9, era=1), era=1, settled=False))
    assert found.names() == {"lost", "there"}
    assert found.replica.retained == {"lost": None}
    apply_list(found, listing(15, obj("there", 9, era=1), era=1))
    assert found.names() == {"there"}
    assert found.listed[-1] == ["there"]
    assert found.replica.changes_after(Position(1, False, 15)).full


def test_what_is_back_in_the_older_copy_is_no_new_order() -> None:
    found = kept(KEEP_EVACUATIONS)
    apply_list(found, listing(26, obj("ended", 20)))
    apply_change(found, Change(obj("ended", 20), True), 27, True)
    apply_list(found, listing(22, obj("ended", 20, era=1), era=1, settled=False))
    assert found.names() == set()
    # Written anew, it is one.
    apply_change(found, Change(obj("ended", 23, era=1), False), 23, False)
    assert found.names() == {"ended"}


def test_what_is_back_and_stays_is_in_force_once_the_store_is_settled() -> None:
    found = kept(KEEP_EVACUATIONS)
    apply_list(found, listing(26, obj("ended", 20)))
    apply_change(found, Change(obj("ended", 20), True), 27, True)
    apply_list(found, listing(22, obj("ended", 20, era=1), era=1, settled=False))
    apply_list(found, listing(22, obj("ended", 20, era=1), era=1))
    assert found.names() == {"ended"}


def test_a_removal_after_the_return_removes_what_was_kept() -> None:
    found = kept(KEEP_EVACUATIONS)
    apply_list(found, listing(27, obj("a", 20)))
    apply_list(found, listing(15, era=1, settled=False))
    apply_change(found, Change(obj("a", 16, era=1), False), 16, False)
    apply_change(found, Change(obj("a", 16, era=1), True), 17, False)
    assert found.names() == set()
    assert found.replica.retained == {}


def test_what_was_kept_outlives_a_second_return() -> None:
    found = kept(KEEP_EVACUATIONS)
    apply_list(found, listing(27, obj("a", 20)))
    apply_list(found, listing(15, era=1, settled=False))
    apply_list(found, listing(12, era=2, settled=False))
    assert found.names() == {"a"}


def version(number: int) -> dict[str, Any]:
    return {"version": number}


@pytest.mark.parametrize("listed", [[], [obj("main", 9, 1, version(13))]])
def test_the_newest_configuration_is_kept_and_given_on(listed: list[StoredObject]) -> None:
    found = kept(KEEP_CONFIG)
    apply_list(found, listing(27, obj("main", 27, 0, version(21))))
    apply_list(found, listing(20, *listed, era=1))
    kept_now = found.replica.complete_object("main")
    assert kept_now is not None and kept_now.spec == version(21)
    assert "main" in found.replica.retained
    starting = kept(KEEP_CONFIG)
    delta = found.replica.changes_after(Position(0, False, 0))
    apply_list(starting, listing(20, *[change.obj for change in delta.changes], era=1))
    assert starting.replica.complete_object("main") == kept_now
    assert starting.replica.keeps_earlier_objects
    # Written again, or a newer one, it is the store's.
    apply_change(found, Change(obj("main", 21, 1, version(25)), False), 21, True)
    assert found.replica.retained == {}


def test_a_gateway_that_feeds_this_one_knows_an_older_configuration() -> None:
    # It kept an older one of the same earlier era, of a store that has come back since.
    found = kept(KEEP_CONFIG)
    apply_list(found, listing(29, obj("main", 29, 0, version(28))))
    apply_list(found, listing(20, obj("main", 27, 0, version(21)), era=1))
    kept_now = found.replica.complete_object("main")
    assert kept_now is not None and kept_now.spec == version(28)


def test_a_large_configuration_of_the_older_copy_does_not_replace_the_newest() -> None:
    found = kept(KEEP_CONFIG)
    apply_list(found, listing(27, obj("main", 27, 0, version(21))))
    stub = StoredObject("main", 9, None, None, whole=False, era=1)
    apply_list(found, listing(20, stub, era=1))
    assert "main" in found.replica.pending
    curio.run(found.replica.apply_object(obj("main", 9, 1, version(13))))
    assert not found.replica.pending
    kept_now = found.replica.complete_object("main")
    assert kept_now is not None and kept_now.spec == version(21)


def order(revision: int, era: int, state: str = "") -> StoredObject:
    spec = {"service": "lm", "target_version": "v2", "duration_s": 10.0}
    status = {"state": state, "target_version": "v2"} if state else None
    return StoredObject("lm", revision, spec, status, era=era)


@pytest.mark.parametrize("state", ["rolled_back", "completed"])
def test_a_rollout_that_has_ended_is_not_under_way_again(state: str) -> None:
    found = kept(KEEP_ROLLOUTS)
    apply_list(found, listing(27, order(27, 0, state)))
    back = order(9, 1)
    apply_list(found, listing(20, back, era=1, settled=False))
    assert found.replica.retained == {"lm": back}
    assert found.replica.complete_object("lm") == order(27, 0, state)
    rollouts = Rollouts()
    for stored in (order(27, 0, state), back, back):
        decoded = rollout_order(stored)
        assert not isinstance(decoded, BadMessage)
        rollouts.update(decoded, 1.0)
    rollout = rollouts.get("lm")
    assert rollout is not None and rollout.order.state == state
    assert rollout.order.position == back.position


def test_end_that_the_store_has_lost_was_forgotten_as_another_gateway_told_of_it() -> None:
    found = kept(KEEP_ROLLOUTS)
    ended, back = order(27, 0, "completed"), order(9, 1)
    apply_list(found, listing(27, ended))
    apply_list(found, listing(20, back, era=1, settled=False))
    told = listing(21, ended, era=1, settled=False)
    curio.run(found.replica.apply_snapshot(told, 1.0, "g2"))
    assert found.replica.retained == {"lm": back}


def engine(name: str, revision: int, era: int = 0, state: str = "ready") -> StoredObject:
    spec = {"service": "lm", "addr": "127.0.0.1:9", "zone": "bole", "version": "v1"}
    return StoredObject(name, revision, {**spec, "slots": 8, "state": state}, None, era=era)


@pytest.fixture
def gw() -> Gateway:
    found = Gateway(SETTINGS)
    apply_upstream_snapshot(found, listing(9, engine("a", 8), engine("b", 9)))
    return found


def usable(gw: Gateway, after_s: float = 0.0) -> set[str]:
    """Engines that requests are placed on some time from now."""
    now = clock.now() + after_s
    gw.members.drop_expired(now)
    return {upstream.id for upstream in gw.members.usable("lm", now)}


def test_an_upstream_whose_entry_the_store_has_lost_was_not_used(gw: Gateway) -> None:
    apply_upstream_snapshot(gw, listing(8, engine("a", 8, 1), era=1))
    assert usable(gw) == {"a", "b"}
    assert usable(gw, EXPIRY_GRACE_S + 0.1) == {"a"}


def test_an_upstream_whose_entry_went_in_the_same_era_is_a_last_resort(gw: Gateway) -> None:
    apply_upstream_snapshot(gw, listing(10, engine("a", 8)))
    assert usable(gw) == {"a"}


def test_an_upstream_that_is_gone_was_used_again_as_the_older_copy_held_it(gw: Gateway) -> None:
    gone = Change(engine("b", 9), True)
    apply_upstream_change(gw, gone)
    assert usable(gw, EXPIRY_GRACE_S + 0.1) == {"a"}
    apply_upstream_snapshot(gw, listing(9, engine("a", 8, 1), engine("b", 9, 1), era=1))
    assert usable(gw) == {"a"}
    # One that lives and had not reached the store keeps its entry.
    assert usable(gw, ENDED_EXCLUSION_S + 0.1) == {"a", "b"}


def test_an_upstream_whose_entry_had_lapsed_and_come_back_was_not_used_after_a_return(
    gw: Gateway,
) -> None:
    apply_upstream_change(gw, Change(engine("b", 9), True))
    assert usable(gw, EXPIRY_GRACE_S + 0.1) == {"a"}
    apply_upstream_change(gw, Change(engine("b", 11), False))
    apply_upstream_snapshot(gw, listing(9, engine("a", 8, 1), engine("b", 9, 1), era=1))
    assert usable(gw) == {"a", "b"}


def test_an_upstream_that_had_left_was_used_again_as_the_older_copy_held_it(gw: Gateway) -> None:
    apply_upstream_change(gw, Change(engine("b", 10, state="draining"), False))
    apply_upstream_change(gw, Change(engine("b", 10, state="draining"), True))
    apply_upstream_snapshot(gw, listing(9, engine("a", 8, 1), engine("b", 9, 1), era=1))
    assert usable(gw, ENDED_EXCLUSION_S + 0.1) == {"a"}


def test_an_upstream_that_is_leaving_was_used_again_as_the_older_copy_held_it() -> None:
    found = kept(KEEP_UPSTREAMS)
    leaving = engine("b", 10, state="draining")
    apply_list(found, listing(10, leaving))
    apply_list(found, listing(9, engine("b", 9, 1), era=1))
    assert found.replica.complete_object("b") == leaving
    apply_change(found, Change(engine("b", 11, 1, "draining"), False), 11, True)
    assert found.replica.retained == {}


def test_the_start_before_the_last_was_used_as_the_older_copy_held_it() -> None:
    found = kept(KEEP_UPSTREAMS)
    starts = [
        engine("b", number, era)._replace(spec={**engine("b", 1).spec, "born": born})
        for number, era, born in ((9, 1, 1000), (10, 0, 2000), (11, 1, 3000))
    ]
    apply_list(found, listing(10, starts[1]))
    apply_list(found, listing(9, starts[0], era=1))
    assert found.replica.complete_object("b") == starts[1]
    apply_change(found, Change(starts[2], False), 11, True)
    assert found.replica.complete_object("b") == starts[2]


def test_a_configuration_in_force_is_not_replaced_by_an_older_version() -> None:
    gw = Gateway(SETTINGS)
    apply_config(gw, StoredObject(names.CONFIG_NAME, 27, config(21), None))
    apply_config(gw, StoredObject(names.CONFIG_NAME, 9, config(13), None, era=1))
    assert gw.table is not None and gw.table.version == 21
    apply_config(gw, StoredObject(names.CONFIG_NAME, 21, config(25), None, era=1))
    assert gw.table.version == 25


def test_only_relays_read_the_store_at_once_after_its_return() -> None:
    # Hundreds of gateways would list all kinds at the same moment.
    gws = [Gateway({**SETTINGS, "name": name}) for name in ("g-1", "g-2")]
    for gw in gws:
        gw.peers.put("g-1" if gw.cfg["name"] == "g-2" else "g-2", "127.0.0.1:9", "bole")
        gw.note_era(0)
        assert gw.feed_valid_until == float("-inf")
        gw.note_era(1)
    waits = {gw.cfg["name"]: gw.feed_valid_until > float("-inf") for gw in gws}
    assert waits == {gw.cfg["name"]: not gw.peers.is_relay(clock.now()) for gw in gws}
    assert sum(waits.values()) == 1


def test_an_answer_of_the_store_just_after_its_return_confirmed_a_lost_configuration() -> None:
    # What was acknowledged and lost may be newer, until the operator has written it again.
    gw = Gateway(SETTINGS)
    gw.note_era(0)
    assert gw.store_returns.confirms(clock.now())
    gw.note_era(1)
    now = clock.now()
    assert not gw.store_returns.confirms(now)
    assert gw.store_returns.confirms(now + REWRITE_S)
    assert not gw.store_returns.is_settled()


def test_only_an_answer_of_the_store_itself_is_held_back() -> None:
    # What is known here may be newer than what the gateway knows that feeds this one.
    found = kept(KEEP_CONFIG)
    found.replica._handlers = found.replica._handlers._replace(
        may_confirm=lambda asked_at: asked_at is None
    )
    apply_list(found, listing(20, era=1))
    assert (found.confirmed, found.replica.held_back_at > 0) == ([], True)
    curio.run(found.replica.apply_snapshot(listing(21, era=1), 3.0, "g-2"))
    assert found.confirmed == [3.0]
