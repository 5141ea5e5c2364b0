"""Malformed store entries from other writers: missing fields, wrong types, values out of range and
undecodable bytes.

One list item without a spec, or with invalid UTF-8, made the whole list unusable at every gateway
while the entry existed: no gateway could start, and running ones lost the store.  An upstream
whose entry became unreadable was still used under its previous entry.  Two documents that
gateways write for each other were read without validation.  Each entry is now decoded separately;
an unreadable one is ignored and the others apply.
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
from ramppost.agent.engine import _request_body
from ramppost.entry.claimlog import ClaimLog
from ramppost.entry.job import parse_chat_request
from ramppost.errors import Refusal
from ramppost.gateway.attempt import Refused, _record_outcome
from ramppost.gateway.load import ReportFields
from ramppost.gateway.operators import _confirm_plan
from ramppost.gateway.peers import apply_gateway_entry
from ramppost.gateway.pick import pick
from ramppost.gateway.rollout_duty import progress_changed, write_progress
from ramppost.gateway.rollouts import Rollout
from ramppost.gateway.state import Gateway
from ramppost.gateway.watchers import (
    _apply_rollout,
    apply_config,
    apply_upstream_change,
    apply_upstream_snapshot,
)
from ramppost.platform import names, objects
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
from ramppost.wire.codec import BadMessage, encode
from ramppost.wire.nesting import is_deep
from ramppost.wire.server import Reply, Request, listen, serve
from tests.harness.gateways import config
from tests.test_gateway_follow import free_port
from tests.test_gateway_state import SETTINGS

VALID_UPSTREAM_SPEC = {
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
VALID_ITEM = b'{"metadata":{"name":"good","revision":3},"spec":{"x":"y"},"status":null}'
BAD_ITEMS = [
    b'{"metadata":{"name":"bad","revision":4}}',
    b'{"metadata":{"name":"bad","revision":4},"spec":{"x":"\xff\xfe"}}',
    b'{"metadata":{"name":"bad","revision":4},"spec":"text","status":7}',
    b'{"metadata":{"name":"bad","revision":4},"spec":null,"status":"\xff"}',
    b'{"metadata":{"name":7,"revision":4},"spec":{}}',
    b'{"metadata":"none","spec":{}}',
    b'"no object"',
]
DEPTHS = (100, 900, 960, 5000)
"""Far from, near and beyond what a decoder bears, which depends on the stack of its caller."""
ODD_VALUES = [
    *(b"[" * depth + b"1" + b"]" * depth for depth in DEPTHS),
    *(b'{"a":' * depth + b"1" + b"}" * depth for depth in DEPTHS),
    rb'"\ud800"',
    rb'{"\udfff":1}',
    b"9" * 400,
    b"1e999",
]
ODD_ITEMS = [
    b'{"metadata":{"name":"bad","revision":4},"%s":{"x":%s}}' % (part, value)
    for part in (b"spec", b"status")
    for value in ODD_VALUES
]
BAD_ITEMS += [*ODD_ITEMS, rb'{"metadata":{"name":"\ud800","revision":4},"spec":{}}']


@pytest.fixture
def gw() -> Gateway:
    return Gateway(SETTINGS)


def upstream_spec(**changes: Any) -> dict[str, Any]:
    return VALID_UPSTREAM_SPEC | changes


def entry(name: str = "i-1", revision: int = 1, **changes: Any) -> StoredObject:
    return StoredObject(name, revision, upstream_spec(**changes), None)


def usable_ids(gw: Gateway) -> list[str]:
    return [found.id for found in gw.members.usable("lm", clock.now())]


# --- lists and watches


def client_result(body: bytes, ask: Callable[[StoreClient], Any]) -> Any:
    """Return what the client decodes from a response with this body."""

    async def run() -> Any:
        port = free_port()

        async def handle(req: Request, reply: Reply) -> None:
            await reply.send(200, body)

        await curio.spawn(serve, listen("127.0.0.1", port), handle, daemon=True)
        return await ask(StoreClient(f"127.0.0.1:{port}", Pool()))

    return curio.run(run)


@pytest.mark.parametrize("bad", BAD_ITEMS)
def test_unreadable_list_item_leaves_others_usable(bad: bytes) -> None:
    body = b'{"items":[' + bad + b"," + VALID_ITEM + b'],"truncated":false,"current_rev":9}'
    got = client_result(body, lambda client: list_kind(client, "servers"))
    assert isinstance(got, Snapshot)
    assert [obj.spec for obj in got.objects if obj.name == "good"] == [{"x": "y"}]
    assert got.revision == 9


@pytest.mark.parametrize("bad", BAD_ITEMS)
def test_unreadable_watch_event_leaves_others_usable(bad: bytes) -> None:
    event = b'{"object":%s,"tombstone":false}'
    body = b'{"events":[' + event % bad + b"," + event % VALID_ITEM + b'],"current_rev":9}'
    got = client_result(body, lambda client: watch(client, "servers", 3, 0.1))
    assert isinstance(got, Changes)
    assert [c.obj.spec for c in got.changes if c.obj.name == "good"] == [{"x": "y"}]
    assert got.revision == 9


@pytest.mark.parametrize("odd", ODD_VALUES)
def test_odd_object_of_the_own_interface_hid_the_others(odd: bytes) -> None:
    body = b'{"version":9,"items":[{"key":"a","version":1,"value":%s},' % odd
    body += b'{"key":"b","version":2,"value":{"x":1}}]}'
    got = client_result(
        body, lambda client: objects.list_objects(objects.Client(client.addr, client.pool), "")
    )
    assert not isinstance(got, objects.Unavailable)
    assert [item["key"] for item in got["items"]] == ["a", "b"]
    assert got["items"][1]["value"] == {"x": 1}
    assert not is_deep(encode(got["items"][0]["value"]))


@pytest.mark.parametrize("odd", ODD_ITEMS)
def test_entry_that_could_be_read_could_not_be_passed_on(odd: bytes) -> None:
    # It was encoded for other gateways where more of the stack was used.
    body = b'{"items":[' + odd + b'],"truncated":false,"current_rev":9}'
    got = client_result(body, lambda client: list_kind(client, "servers"))
    assert isinstance(got, Snapshot)
    assert [obj.name for obj in got.objects] == ["bad"]
    for value in (got.objects[0].spec, got.objects[0].status):
        assert not is_deep(encode(value))


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
    {"slots": 9_999_999_999_999_999_999},
    {"slots": 10**400},
    {"service": ""},
    {"service": None},
    {"version": 3},
    {"zone": ["bole"]},
    {"born": "today"},
    {"born": -1},
    {"born": 1.5},
    {"born": True},
    {"born": 10**400},
    {"cold_left_ms": 10**400},
    {"cold_left_ms": 1e300},
]


@pytest.mark.parametrize("changes", BAD_UPSTREAMS)
def test_invalid_upstream_entry_is_rejected(changes: dict[str, Any]) -> None:
    assert isinstance(upstream(entry(**changes)), BadMessage)


@pytest.mark.parametrize("field", ["service", "addr", "zone", "version", "slots", "state"])
def test_upstream_entry_without_field_is_rejected(field: str) -> None:
    spec = {key: value for key, value in VALID_UPSTREAM_SPEC.items() if key != field}
    assert isinstance(upstream(StoredObject("i-1", 1, spec, None)), BadMessage)


def test_upstream_entry_without_name_is_rejected() -> None:
    assert isinstance(upstream(entry(name="")), BadMessage)


@pytest.mark.parametrize("changes", BAD_UPSTREAMS)
def test_upstream_with_unreadable_entry_is_removed(gw: Gateway, changes: dict[str, Any]) -> None:
    apply_upstream_snapshot(gw, Snapshot([entry(), entry("i-2")], 1))
    apply_upstream_change(gw, Change(entry(revision=2, **changes), False))
    assert usable_ids(gw) == ["i-2"]


def test_last_upstream_with_unreadable_entry_is_removed(gw: Gateway) -> None:
    apply_upstream_snapshot(gw, Snapshot([entry()], 1))
    apply_upstream_change(gw, Change(entry(revision=2, state="resting"), False))
    assert usable_ids(gw) == []
    apply_upstream_snapshot(gw, Snapshot([entry(revision=3)], 3))
    apply_upstream_snapshot(gw, Snapshot([entry(revision=4, slots=0)], 4))
    assert usable_ids(gw) == []


def test_unreadable_entry_is_logged_once_per_revision(
    gw: Gateway, monkeypatch: pytest.MonkeyPatch
) -> None:
    lines: list[str] = []
    monkeypatch.setattr(
        "ramppost.gateway.unreadable.logger.warning", lambda text, *args, **more: lines.append(text)
    )
    for revision in (2, 2, 2, 3):
        apply_upstream_snapshot(gw, Snapshot([entry(revision=revision, slots=0)], 5))
    assert len(lines) == 2


# --- an upstream that restarts under its id


def test_restarted_upstream_has_fresh_state(gw: Gateway) -> None:
    apply_upstream_snapshot(gw, Snapshot([entry(born=1000)], 1))
    before = gw.members.usable("lm", clock.now())[0]
    gw.suspicion_of(before.key).record_outcome(True, clock.now())
    gw.loads.record_report(before.key, ReportFields(20, 7), clock.now())
    gw.connections.last_received_at[before.key] = clock.now()
    apply_upstream_change(gw, Change(entry(revision=2, born=2000), False))
    after = gw.members.usable("lm", clock.now())[0]
    assert (after.id, after.key != before.key) == (before.id, True)
    assert gw.suspicion_of(after.key).failure_rate(clock.now()) == 0.0
    assert gw.loads.last_report(after.key).waiting == 0
    assert before.key not in gw.suspicions
    assert before.key not in gw.connections.last_received_at


@pytest.mark.parametrize("born", [999, 1001])
def test_list_detects_restart_despite_clock_changes(gw: Gateway, born: int) -> None:
    """The wall clock may have been set back between two starts."""
    apply_upstream_snapshot(gw, Snapshot([entry(born=1000)], 1))
    before = gw.members.usable("lm", clock.now())[0]
    apply_upstream_snapshot(gw, Snapshot([entry(revision=2, born=born)], 2))
    after = gw.members.usable("lm", clock.now())[0]
    assert after.key != before.key


def test_repeated_update_changes_nothing(gw: Gateway) -> None:
    apply_upstream_snapshot(gw, Snapshot([entry(born=1000)], 1))
    before = gw.members.usable("lm", clock.now())[0]
    gw.loads.record_report(before.key, ReportFields(20, 7), clock.now())
    apply_upstream_change(gw, Change(entry(born=1000), False))
    apply_upstream_snapshot(gw, Snapshot([entry(born=1000)], 1))
    assert gw.loads.last_report(before.key).waiting == 7


# --- documents that gateways write for each other


def serve_objects(bodies: dict[str, bytes]) -> Callable[[Request, Reply], Any]:
    """Return the handler of a store that serves these bodies for lists and reads."""

    async def handle(req: Request, reply: Reply) -> None:
        found = bodies.get(req.path.removeprefix("/objects/"))
        await reply.send(200 if found is not None else 404, found or b"{}")

    return handle


def run_with_store(gw: Gateway, bodies: dict[str, bytes], act: Callable[[], Any]) -> None:
    async def run() -> None:
        port = free_port()
        await curio.spawn(serve, listen("127.0.0.1", port), serve_objects(bodies), daemon=True)
        gw.store.addr = f"127.0.0.1:{port}"
        gw.store.pool = Pool()
        await act()

    curio.run(run)


def started_rollout() -> Rollout:
    order = rollout_order(
        StoredObject("lm", 1, {"service": "lm", "target_version": "v2", "duration_s": 10.0}, None)
    )
    assert not isinstance(order, BadMessage)
    return Rollout(order, clock.now())


@pytest.mark.parametrize("part", [1e300, -1.0, 7.0])
def test_progress_that_cannot_be_ended_a_rollout(gw: Gateway, part: float) -> None:
    rollout = started_rollout()
    gw.rollouts.update(rollout.order, clock.now())
    progress_changed(gw, StoredObject("lm", 1, {"version": "v2", "part": part}, None))
    found = gw.rollouts.get("lm")
    assert found is not None
    assert found.elapsed_fraction(clock.now()) < 0.1


@pytest.mark.parametrize("duration_s", [0.0, -5.0, 1e300, 10**400])
def test_order_with_an_impossible_duration_is_rejected(duration_s: float) -> None:
    spec = {"service": "lm", "target_version": "v2", "duration_s": duration_s}
    assert isinstance(rollout_order(StoredObject("lm", 1, spec, None)), BadMessage)


@pytest.mark.parametrize("spec", [b"null", b'"x"', b"{}", b'{"version":"v2","part":"half"}'])
def test_unreadable_rollout_progress_is_replaced(gw: Gateway, spec: bytes) -> None:
    body = b'{"metadata":{"name":"lm","revision":1},"spec":' + spec + b"}"
    run_with_store(
        gw, {"rollout-progress/lm": body}, lambda: write_progress(gw, started_rollout(), 0.5)
    )


@pytest.mark.parametrize("addr", ["", "nowhere", "10.0.0.1:", "10.0.0.1:x", "10.0.0.1:99999"])
def test_gateway_with_invalid_address_is_ignored(gw: Gateway, addr: str) -> None:
    apply_gateway_entry(gw, StoredObject("gateway-2", 1, {"addr": addr, "hall": "bole"}, None))
    assert gw.peers.addrs == {}


DEEP_BODY = b'{"model":"m","messages":[{"role":"user","content":"x"}],"extra":%s%s}' % (
    b"[" * 900,
    b"]" * 900,
)


def test_chat_nested_too_deeply_is_refused() -> None:
    req = Request("POST", "/v1/chat", {}, {"content-type": "application/json"}, DEEP_BODY)
    anything: Any = None
    got = parse_chat_request(req, anything, anything)
    assert isinstance(got, Refusal)
    assert got.code == "bad_request"


def test_chat_nested_too_deeply_ended_the_task_that_sends_it() -> None:
    msg: Any = {"body": DEEP_BODY.decode(), "model": "small", "version": "v1"}
    assert isinstance(_request_body(msg), BadMessage)


@pytest.mark.parametrize("spec", [b"null", b'{"plan_id":7}', DEEP_BODY])
def test_plan_that_cannot_be_read_ended_the_task_that_confirms_it(gw: Gateway, spec: bytes) -> None:
    got: list[Any] = []

    async def confirm() -> None:
        operator: Any = {"name": "ann"}
        got.append(await _confirm_plan(gw, operator, "p1"))

    body = b'{"metadata":{"name":"p1","revision":1},"spec":' + spec + b"}"
    run_with_store(gw, {"plans/p1": body}, confirm)
    assert isinstance(got[0], Refusal)


def test_claims_that_cannot_be_read_ended_the_task_that_loads_them() -> None:
    body = b'{"version":9,"items":[{"key":"a","version":1,"value":{"seq":"x"}}]}'

    async def load(client: StoreClient) -> Any:
        return await ClaimLog(objects.Client(client.addr, client.pool), 0.005)._load(0)

    assert client_result(body, load) is None


# --- arbitrary entries

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)
FIELDS = [
    *VALID_UPSTREAM_SPEC,
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
def altered_spec(draw: st.DrawFn) -> Any:
    """Generate an entry in which some fields have arbitrary values."""
    changed = draw(st.dictionaries(st.sampled_from(FIELDS), JSON, max_size=4))
    return draw(st.sampled_from([{}, VALID_UPSTREAM_SPEC])) | changed


@settings(max_examples=300, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(spec=JSON | altered_spec(), status=JSON, name=st.text(max_size=6))
def test_arbitrary_entry_does_not_stop_gateway(spec: Any, status: Any, name: str) -> None:
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
        assert "good" in usable_ids(gw)


# --- entries of upstreams that no longer exist


@pytest.mark.parametrize(("status", "avoided"), [(421, True), (503, False), (429, False)])
def test_upstream_that_is_not_its_entry_is_avoided(gw: Gateway, status: int, avoided: bool) -> None:
    """An upstream was killed and another one took its address: until the entry expired, each
    request to it was refused with 421, but it ranked as high as an idle upstream.  With four such
    entries and three live ones, retries were exhausted and streams were refused for ten seconds.
    """
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
