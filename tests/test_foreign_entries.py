"""Entries in the store that other writers made: fields missing, of another type, out of range,
or bytes that can't be read.

One item of a list without its spec, or with bytes that are no UTF-8, made the whole list
unusable at every gateway, for as long as the entry was there: no gateway could start, and those
that ran lost the store.  An upstream whose entry became unreadable went on being used by what
the entry said before.  Two documents that gateways write for each other were read without any
check.  Each entry is now decoded by itself; what can't be read names nothing, and the rest holds.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import curio
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from bench.choosing import job_of
from ramppost import clock
from ramppost.gateway.attempt import Refused, _record_outcome
from ramppost.gateway.peers import apply_gateway_entry
from ramppost.gateway.pick import pick
from ramppost.gateway.rollout_duty import _read_sessions, progress_changed, write_progress
from ramppost.gateway.rollouts import Rollout
from ramppost.gateway.state import Gateway
from ramppost.gateway.watchers import (
    _apply_rollout,
    apply_config,
    apply_upstream_change,
    apply_upstream_snapshot,
)
from ramppost.platform import names
from ramppost.platform.documents import rollout_order, routing_table, upstream
from ramppost.platform.store import (
    Change,
    Changes,
    Snapshot,
    StoreClient,
    StoredObject,
    list_kind,
    watch,
)
from ramppost.wire.client import Pool
from ramppost.wire.codec import BadMessage
from ramppost.wire.server import Reply, Request, listen, serve
from tests.harness.gateways import config
from tests.test_gateway_follow import free_port
from tests.test_gateway_state import SETTINGS

GOOD = {
    "service": "lm",
    "addr": "10.0.0.1:80",
    "zone": "bole",
    "version": "v1",
    "slots": 24,
    "state": "ready",
    "cold_left_ms": 0,
    "call_seq": 4,
    "born": 1_790_000_000_000,
}
WHOLE = b'{"metadata":{"name":"good","revision":3},"spec":{"x":"y"},"status":null}'
BAD_ITEMS = [
    b'{"metadata":{"name":"bad","revision":4}}',
    b'{"metadata":{"name":"bad","revision":4},"spec":{"x":"\xff\xfe"}}',
    b'{"metadata":{"name":"bad","revision":4},"spec":"text","status":7}',
    b'{"metadata":{"name":"bad","revision":4},"spec":null,"status":"\xff"}',
    b'{"metadata":{"name":7,"revision":4},"spec":{}}',
    b'{"metadata":"none","spec":{}}',
    b'"no object"',
]


@pytest.fixture
def gw() -> Gateway:
    return Gateway(SETTINGS)


def spec_of(**changes: Any) -> dict[str, Any]:
    return GOOD | changes


def entry(name: str = "i-1", revision: int = 1, **changes: Any) -> StoredObject:
    return StoredObject(name, revision, spec_of(**changes), None)


def usable(gw: Gateway) -> list[str]:
    return [found.id for found in gw.members.usable("lm", clock.now())]


# --- lists and watches


def answered(body: bytes, ask: Callable[[StoreClient], Any]) -> Any:
    """What a client makes of an answer with this body."""

    async def run() -> Any:
        port = free_port()

        async def handle(req: Request, reply: Reply) -> None:
            await reply.send(200, body)

        await curio.spawn(serve, listen("127.0.0.1", port), handle, daemon=True)
        return await ask(StoreClient(f"127.0.0.1:{port}", Pool()))

    return curio.run(run)


@pytest.mark.parametrize("bad", BAD_ITEMS)
def test_one_item_that_cannot_be_read_leaves_the_others_of_a_list(bad: bytes) -> None:
    body = b'{"items":[' + bad + b"," + WHOLE + b'],"truncated":false,"current_rev":9}'
    got = answered(body, lambda client: list_kind(client, "servers"))
    assert isinstance(got, Snapshot)
    assert [obj.spec for obj in got.objects if obj.name == "good"] == [{"x": "y"}]
    assert got.revision == 9


@pytest.mark.parametrize("bad", BAD_ITEMS)
def test_one_item_that_cannot_be_read_leaves_the_others_of_a_watch(bad: bytes) -> None:
    event = b'{"object":%s,"tombstone":false}'
    body = b'{"events":[' + event % bad + b"," + event % WHOLE + b'],"current_rev":9}'
    got = answered(body, lambda client: watch(client, "servers", 3, 0.1))
    assert isinstance(got, Changes)
    assert [c.obj.spec for c in got.changes if c.obj.name == "good"] == [{"x": "y"}]
    assert got.revision == 9


# --- upstreams

BAD_UPSTREAMS: list[dict[str, Any]] = [
    {"state": "resting"},
    {"state": ""},
    {"state": None},
    {"addr": "nowhere"},
    {"addr": "10.0.0.1:"},
    {"addr": "10.0.0.1:http"},
    {"addr": "10.0.0.1:0"},
    {"addr": "10.0.0.1:70000"},
    {"addr": ":80"},
    {"addr": 80},
    {"slots": 0},
    {"slots": -3},
    {"slots": "many"},
    {"slots": 1.5},
    {"service": ""},
    {"service": None},
    {"version": 3},
    {"zone": ["bole"]},
    {"born": "today"},
    {"born": -1},
    {"born": 1.5},
    {"born": True},
]


@pytest.mark.parametrize("changes", BAD_UPSTREAMS)
def test_an_entry_out_of_range_names_no_upstream(changes: dict[str, Any]) -> None:
    assert isinstance(upstream(entry(**changes)), BadMessage)


@pytest.mark.parametrize("field", ["service", "addr", "zone", "version", "slots", "state"])
def test_an_entry_without_a_field_names_no_upstream(field: str) -> None:
    spec = {key: value for key, value in GOOD.items() if key != field}
    assert isinstance(upstream(StoredObject("i-1", 1, spec, None)), BadMessage)


def test_an_entry_without_a_name_names_no_upstream() -> None:
    assert isinstance(upstream(entry(name="")), BadMessage)


@pytest.mark.parametrize("changes", BAD_UPSTREAMS)
def test_an_upstream_whose_entry_becomes_unreadable_is_used_no_more(
    gw: Gateway, changes: dict[str, Any]
) -> None:
    apply_upstream_snapshot(gw, Snapshot([entry(), entry("i-2")], 1))
    apply_upstream_change(gw, Change(entry(revision=2, **changes), False))
    assert usable(gw) == ["i-2"]


def test_the_last_upstream_whose_entry_becomes_unreadable_is_no_last_resort(gw: Gateway) -> None:
    apply_upstream_snapshot(gw, Snapshot([entry()], 1))
    apply_upstream_change(gw, Change(entry(revision=2, state="resting"), False))
    assert usable(gw) == []
    apply_upstream_snapshot(gw, Snapshot([entry(revision=3)], 3))
    apply_upstream_snapshot(gw, Snapshot([entry(revision=4, slots=0)], 4))
    assert usable(gw) == []


def test_an_unreadable_entry_is_logged_once_for_a_revision(
    gw: Gateway, monkeypatch: pytest.MonkeyPatch
) -> None:
    lines: list[str] = []
    monkeypatch.setattr(
        "ramppost.gateway.unreadable.logger.warning", lambda text, *args, **more: lines.append(text)
    )
    for revision in (2, 2, 2, 3):
        apply_upstream_snapshot(gw, Snapshot([entry(revision=revision, slots=0)], 5))
    assert len(lines) == 2


# --- an upstream that starts again under its id


def test_an_upstream_that_starts_again_under_its_id_is_another_one(gw: Gateway) -> None:
    apply_upstream_snapshot(gw, Snapshot([entry(born=1000)], 1))
    before = gw.members.usable("lm", clock.now())[0]
    gw.suspicion_of(before.key).record_outcome(True, clock.now())
    gw.loads.record_report(before.key, 20, 7, clock.now())
    gw.connections.last_received_at[before.key] = clock.now()
    apply_upstream_change(gw, Change(entry(revision=2, born=2000), False))
    after = gw.members.usable("lm", clock.now())[0]
    assert (after.id, after.key != before.key) == (before.id, True)
    assert gw.suspicion_of(after.key).failure_rate(clock.now()) == 0.0
    assert gw.loads.last_report(after.key).waiting == 0
    assert before.key not in gw.suspicions
    assert before.key not in gw.connections.last_received_at


@pytest.mark.parametrize("born", [999, 1001])
def test_a_list_tells_of_new_starts_whatever_the_clock_said(gw: Gateway, born: int) -> None:
    """The time of day may have gone back between two starts."""
    apply_upstream_snapshot(gw, Snapshot([entry(born=1000)], 1))
    before = gw.members.usable("lm", clock.now())[0]
    apply_upstream_snapshot(gw, Snapshot([entry(revision=2, born=born)], 2))
    after = gw.members.usable("lm", clock.now())[0]
    assert after.key != before.key


def test_the_same_news_twice_change_nothing(gw: Gateway) -> None:
    apply_upstream_snapshot(gw, Snapshot([entry(born=1000)], 1))
    before = gw.members.usable("lm", clock.now())[0]
    gw.loads.record_report(before.key, 20, 7, clock.now())
    apply_upstream_change(gw, Change(entry(born=1000), False))
    apply_upstream_snapshot(gw, Snapshot([entry(born=1000)], 1))
    assert gw.loads.last_report(before.key).waiting == 7


# --- what gateways write for each other


def served(objects: dict[str, bytes]) -> Callable[[Request, Reply], Any]:
    """A store that answers lists of a kind and reads with these bodies."""

    async def handle(req: Request, reply: Reply) -> None:
        found = objects.get(req.path.removeprefix("/objects/"))
        await reply.send(200 if found is not None else 404, found or b"{}")

    return handle


def with_store(gw: Gateway, objects: dict[str, bytes], act: Callable[[], Any]) -> None:
    async def run() -> None:
        port = free_port()
        await curio.spawn(serve, listen("127.0.0.1", port), served(objects), daemon=True)
        gw.store.addr = f"127.0.0.1:{port}"
        gw.store.pool = Pool()
        await act()

    curio.run(run)


def running() -> Rollout:
    order = rollout_order(
        StoredObject("lm", 1, {"service": "lm", "target_version": "v2", "duration_s": 10.0}, None)
    )
    assert not isinstance(order, BadMessage)
    return Rollout(order, clock.now())


@pytest.mark.parametrize("spec", [b"null", b'"x"', b"{}", b'{"version":"v2"}', b'{"version":7}'])
def test_sessions_of_others_that_cannot_be_read_are_passed_over(gw: Gateway, spec: bytes) -> None:
    good = b'{"metadata":{"name":"lm.b","revision":2},"spec":{"version":"v2","sessions":["s"]}}'
    bad = b'{"metadata":{"name":"lm.a","revision":1},"spec":' + spec + b"}"
    body = b'{"items":[' + bad + b"," + good + b'],"truncated":false,"current_rev":9}'
    rollout = running()
    with_store(gw, {"rollout-sessions": body}, lambda: _read_sessions(gw, rollout))
    assert rollout.old_version_sessions == {"s"}


@pytest.mark.parametrize("spec", [b"null", b'"x"', b"{}", b'{"version":"v2","part":"half"}'])
def test_progress_that_cannot_be_read_is_replaced(gw: Gateway, spec: bytes) -> None:
    body = b'{"metadata":{"name":"lm","revision":1},"spec":' + spec + b"}"
    with_store(gw, {"rollout-progress/lm": body}, lambda: write_progress(gw, running(), 0.5))


@pytest.mark.parametrize("addr", ["", "nowhere", "10.0.0.1:", "10.0.0.1:x", "10.0.0.1:99999"])
def test_a_gateway_whose_address_is_none_is_not_known(gw: Gateway, addr: str) -> None:
    apply_gateway_entry(gw, StoredObject("gateway-2", 1, {"addr": addr, "hall": "bole"}, None))
    assert gw.peers.addrs == {}


# --- anything at all

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)
FIELDS = [
    *GOOD,
    "routes",
    "services",
    "limits",
    "tenants",
    "target_version",
    "duration_s",
    "part",
    "hall",
    "link_mbps",
    "policies",
    "workspaces",
]


@st.composite
def almost(draw: st.DrawFn) -> Any:
    """An entry of which some fields are anything."""
    changed = draw(st.dictionaries(st.sampled_from(FIELDS), JSON, max_size=4))
    return draw(st.sampled_from([{}, GOOD])) | changed


@settings(max_examples=300, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(spec=JSON | almost(), status=JSON, name=st.text(max_size=6))
def test_no_entry_stops_a_gateway(spec: Any, status: Any, name: str) -> None:
    gw = Gateway(SETTINGS)
    obj = StoredObject(name, 3, spec, status)
    for decoder in (upstream, rollout_order, routing_table):
        decoder(obj)
    apply_upstream_snapshot(gw, Snapshot([entry("good"), obj], 3))
    apply_upstream_change(gw, Change(obj, False))
    apply_config(gw, obj._replace(name=names.CONFIG_NAME))
    _apply_rollout(gw, obj)
    progress_changed(gw, obj)
    gw.policies.update(obj)
    apply_gateway_entry(gw, obj)
    for up in gw.members.usable("lm", clock.now()):
        assert up.slots > 0
    if name != "good":
        assert "good" in usable(gw)


# --- entries of upstreams that are no more


@pytest.mark.parametrize(("status", "avoided"), [(421, True), (503, False), (429, False)])
def test_who_is_not_the_upstream_that_its_entry_names_is_avoided(
    gw: Gateway, status: int, avoided: bool
) -> None:
    """An upstream was killed and another took its address: until its entry lapsed, each request
    for it was refused with 421, and it stayed as attractive as an idle one.  With four such
    entries beside three live ones retries ran out, and streams were refused for ten seconds."""
    apply_config(gw, StoredObject(names.CONFIG_NAME, 1, config(1), None))
    apply_upstream_snapshot(gw, Snapshot([entry("ghost"), entry("there")], 1))
    job = job_of(gw, random.Random(1))
    ghost = next(up for up in gw.members.usable("lm", clock.now()) if up.id == "ghost")
    chosen = pick(gw, job, "lm", "small", clock.now())
    assert chosen is not None
    refused = Refused(status, 0.0, wrong_upstream=status == 421)
    _record_outcome(gw, job, chosen._replace(upstream=ghost), "small", refused, 0.01)
    failing = gw.suspicion_of(ghost.key).failure_rate(clock.now())
    assert (failing > 0) == avoided
