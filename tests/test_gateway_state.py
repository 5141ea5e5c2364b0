"""What a gateway makes of what it follows in the store."""

from __future__ import annotations

import time
from typing import Any

import curio
import pytest

from ramppost import clock
from ramppost.errors import Refusal
from ramppost.gateway.admit import Admitted, admit
from ramppost.gateway.backlogs import BacklogEstimate, BacklogQuery
from ramppost.gateway.departures import handle_leaving_note
from ramppost.gateway.fatal_doc import FATAL_NAME, fatal_changed, fatal_listed
from ramppost.gateway.freshness import Freshness
from ramppost.gateway.job import Job
from ramppost.gateway.model import RolloutOrder
from ramppost.gateway.pick import pick, query_backlogs
from ramppost.gateway.serve import _try_upstreams
from ramppost.gateway.state import Gateway
from ramppost.gateway.watchers import (
    apply_config_snapshot,
    apply_upstream_change,
    apply_upstream_snapshot,
    confirm_config,
)
from ramppost.platform import names
from ramppost.platform.documents import DRAINING
from ramppost.platform.headers import caller_request
from ramppost.platform.store import Change, Snapshot, StoredObject
from ramppost.policy.departures import IMMEDIATE_RETRY_S
from ramppost.policy.fatal import FATAL_START_ENDS, JUST_BEGUN, MAX_FATAL
from ramppost.schema.messages import LeavingNote
from ramppost.schema.settings import GatewaySettings
from tests.harness.gateways import KEYS, ONCE, OPEN, SITE, STREAM, config

SETTINGS = GatewaySettings(
    program="gateway",
    name="gateway-1",
    hall="bole",
    ip="127.0.0.1",
    listen="127.0.0.1:1",
    health="127.0.0.1:2",
    internal_port=3,
    metrics_port=4,
    store={"addr": "127.0.0.1:5", "writes_per_s": 400, "reads_per_s": 2000},
    timing={
        "withdrawal_ms": 5000,
        "config_apply_ms": 2000,
        "upstream_leave_ms": 2000,
        "stop_s": 8,
        "session_s": 5,
        "heartbeat_ms": 1200,
    },
    retries={"ratio": 0.9, "window_s": 10, "slack": 58},
    exposure={"share": 0.15, "slack": 30, "rollback_ms": 5000},
    log={"form": "json", "level": "INFO"},
)


@pytest.fixture
def gw() -> Gateway:
    found = Gateway(SETTINGS)
    take(found, 5, 1)
    apply_upstream_snapshot(found, Snapshot([], 5))
    found.freshness.confirm(clock.now())
    return found


def take(gw: Gateway, revision: int, version: int, **more: Any) -> None:
    obj = StoredObject(names.CONFIG_NAME, revision, config(version, **more), None)
    apply_config_snapshot(gw, Snapshot([obj], revision))


def ask(gw: Gateway, prefix: str, key: str = KEYS["kitchen"], host: str = SITE) -> Any:
    head = ((b"host", host.encode()), (names.API_KEY, key.encode()))
    return admit(gw, caller_request("POST", prefix + "x", head, b""))


def version(gw: Gateway) -> int:
    assert gw.table is not None
    return gw.table.version


def test_a_configuration_never_goes_back(gw: Gateway) -> None:
    take(gw, 9, 4)
    take(gw, 7, 3)
    assert version(gw) == 4


def test_a_configuration_that_is_not_understood_leaves_the_last_in_force(gw: Gateway) -> None:
    obj = StoredObject(names.CONFIG_NAME, 9, {"version": "broken"}, None)
    apply_config_snapshot(gw, Snapshot([obj], 9))
    assert version(gw) == 1


@pytest.mark.parametrize(
    ("prefix", "key", "host", "code"),
    [
        (ONCE, KEYS["toll"], SITE, ""),
        (OPEN, "", SITE, ""),
        (OPEN, "unknown", SITE, ""),
        (ONCE, "unknown", SITE, "unauthorized"),
        (ONCE, "", SITE, "unauthorized"),
        ("/nowhere/", "", SITE, "not_found"),
        (ONCE, KEYS["toll"], "other.example", "not_found"),
    ],
)
def test_who_is_let_in(gw: Gateway, prefix: str, key: str, host: str, code: str) -> None:
    got = ask(gw, prefix, key, host)
    assert (got.code if isinstance(got, Refusal) else "") == code


@pytest.mark.parametrize(
    ("prefix", "key", "let_in"),
    [
        (ONCE, KEYS["toll"], False),
        (ONCE, "unknown", False),
        ("/nowhere/", "", False),
        (OPEN, "", True),
        (OPEN, KEYS["toll"], False),
    ],
)
def test_a_stale_configuration_refuses_nothing_for_good(
    gw: Gateway, prefix: str, key: str, let_in: bool
) -> None:
    gw.freshness.max_age_s = 0
    got = ask(gw, prefix, key)
    if let_in:
        assert isinstance(got, Admitted)
    else:
        assert (got.code, got.status, got.ran) == ("not_ready", 503, "no")
        assert got.retry_after_s > 0


@pytest.mark.parametrize(
    ("late_s", "code"), [(-0.3, "not_found"), (0.3, "not_ready")], ids=["in time", "late"]
)
def test_nothing_is_refused_for_good_by_what_may_have_been_replaced_long_enough_ago(
    gw: Gateway, late_s: float, code: str
) -> None:
    """A gateway that had lost its relay and the store answered 404 for a route that had been
    confirmed and had to be in force by then: until its keys were too old, 4.7 s after its last
    word from the store, where routes must be in force after 2 s."""
    gw.freshness = Freshness(gw.freshness.max_age_s)
    apply_s = gw.cfg["timing"]["config_apply_ms"] / 1000
    gw.freshness.confirm(clock.now() - apply_s - late_s)
    got = ask(gw, "/nowhere/")
    assert isinstance(got, Refusal)
    assert got.code == code
    assert isinstance(ask(gw, ONCE, KEYS["toll"]), Admitted), "keys have a bound of their own"


def test_without_a_configuration_nothing_is_refused_for_good() -> None:
    got = ask(Gateway(SETTINGS), "/nowhere/")
    assert (got.code, got.status) == ("not_ready", 503)


@pytest.mark.parametrize(
    ("refusing", "refused"),
    [("none", set()), ("streams", {STREAM}), ("all", {STREAM, ONCE, OPEN})],
)
def test_a_stopping_gateway_refuses_what_may_outlast_it(
    gw: Gateway, refusing: Any, refused: set[str]
) -> None:
    gw.refusal_scope = refusing
    for prefix in (STREAM, ONCE, OPEN):
        got = ask(gw, prefix)
        assert isinstance(got, Refusal) == (prefix in refused)
        if isinstance(got, Refusal):
            assert (got.code, got.ran, got.retry_after_s > 0) == ("leaving", "no", True)


def test_one_question_serves_the_choice_of_a_model_and_its_first_attempt(
    gw: Gateway, monkeypatch: pytest.MonkeyPatch
) -> None:
    asked: list[str] = []

    async def ask(engines: list[Any], question: BacklogQuery) -> dict[str, BacklogEstimate]:
        asked.append(question.model)
        return {engine.id: BacklogEstimate(0.0, 0, True) for engine in engines}

    monkeypatch.setattr(gw.backlogs, "ask", ask)
    apply_upstream_snapshot(gw, Snapshot([entry("a"), entry("b")], 6))
    head = ((b"host", SITE.encode()), (names.API_KEY, KEYS["kitchen"].encode()))
    head = (*head, (names.TOKEN_COUNTS, b"100,40"), (names.PROMPT_PARTS, b"aa:60,bb:40"))
    req = caller_request("POST", STREAM + "x", head, b"")
    admitted = admit(gw, req)
    assert isinstance(admitted, Admitted)
    job = Job(req, admitted, clock.now())
    for model in ("small", "large", "large"):
        curio.run(query_backlogs, gw, job, "lm", model)
    assert asked == ["small", "large"]
    job.tried_upstreams.add("a")
    curio.run(query_backlogs, gw, job, "lm", "large")
    assert asked == ["small", "large", "large"], "another try asks again"


def test_a_key_is_checked_after_keepers_were_asked(
    gw: Gateway, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A process that is frozen while it asks must not send by a configuration that grew old."""

    async def frozen(gw: Gateway, *_: Any) -> None:
        gw.freshness.max_age_s = 0

    monkeypatch.setattr("ramppost.gateway.serve.query_backlogs", frozen)
    apply_upstream_snapshot(gw, Snapshot([entry("a")], 6))
    head = ((b"host", SITE.encode()), (names.API_KEY, KEYS["kitchen"].encode()))
    req = caller_request("POST", STREAM + "x", head, b"")
    admitted = admit(gw, req)
    assert isinstance(admitted, Admitted)
    job = Job(req, admitted, clock.now())
    got = curio.run(_try_upstreams, gw, job, "lm", "m", None)
    assert isinstance(got, Refusal)
    assert (got.code, got.ran, job.tried_upstreams) == ("not_ready", "no", set())


def stopping(gw: Gateway, back_in_s: float) -> Gateway:
    gw.refusal_scope = "all"
    gw.resume_at = clock.now() + back_in_s
    gw.peers.put("gateway-2", "127.0.0.1:9", "bole")
    gw.peers.put("gateway-3", "127.0.0.1:9", "bole")
    return gw


def test_a_stopping_gateway_sends_callers_to_the_others_at_once(gw: Gateway) -> None:
    stopping(gw, 5.0)
    handle_leaving_note(gw, LeavingNote(name="gateway-2", back_ms=3000))
    got = ask(gw, STREAM)
    assert (got.code, got.retry_after_s) == ("leaving", IMMEDIATE_RETRY_S)


def test_where_all_gateways_stop_callers_are_told_when_the_first_is_back(gw: Gateway) -> None:
    stopping(gw, 5.0)
    for name, back_ms in (("gateway-2", 3000), ("gateway-3", 4000)):
        handle_leaving_note(gw, LeavingNote(name=name, back_ms=back_ms))
    assert ask(gw, STREAM).retry_after_s == pytest.approx(3.0, abs=0.1)


def test_a_gateway_that_should_be_back_is_taken_for_back(gw: Gateway) -> None:
    stopping(gw, 5.0)
    handle_leaving_note(gw, LeavingNote(name="gateway-2", back_ms=0))
    handle_leaving_note(gw, LeavingNote(name="gateway-3", back_ms=4000))
    assert ask(gw, STREAM).retry_after_s == IMMEDIATE_RETRY_S


def entry(name: str, state: str = "ready") -> StoredObject:
    spec = {
        "service": "lm",
        "addr": "127.0.0.1:9",
        "zone": "bole",
        "version": "v1",
        "slots": 8,
        "state": state,
    }
    return StoredObject(name, 1, spec, None)


def usable(gw: Gateway) -> set[str]:
    return {u.id for u in gw.members.usable("lm", clock.now())}


def test_removals_of_all_may_be_lapses(gw: Gateway) -> None:
    apply_upstream_snapshot(gw, Snapshot([entry("a"), entry("b")], 6))
    apply_upstream_change(gw, Change(entry("a"), True))
    assert usable(gw) == {"b"}
    apply_upstream_change(gw, Change(entry("b"), True))
    assert usable(gw) == {"a", "b"}
    apply_upstream_change(gw, Change(entry("b"), False))
    assert usable(gw) == {"b"}


def test_an_upstream_that_is_leaving_is_not_used(gw: Gateway) -> None:
    apply_upstream_snapshot(gw, Snapshot([entry("a"), entry("b")], 6))
    apply_upstream_change(gw, Change(entry("a", DRAINING), False))
    assert usable(gw) == {"b"}


def test_a_configuration_that_is_not_understood_is_not_confirmed(gw: Gateway) -> None:
    gw.freshness = Freshness(5.0)
    confirm_config(gw, clock.now())
    assert gw.freshness.ever_confirmed
    gw.freshness = Freshness(5.0)
    apply_config_snapshot(
        gw, Snapshot([StoredObject(names.CONFIG_NAME, 9, {"version": "x"}, None)], 9)
    )
    confirm_config(gw, clock.now())
    assert not gw.freshness.ever_confirmed


def versioned(name: str, version: str) -> StoredObject:
    obj = entry(name)
    return obj._replace(spec=obj.spec | {"version": version})


@pytest.mark.parametrize(
    ("failed", "chosen"),
    [(set(), {"new-1", "new-2"}), ({"v2"}, {"old"}), ({"v1", "v2"}, {"new-2"})],
)
def test_a_failure_of_a_version_on_trial_is_tried_again_on_the_other(
    gw: Gateway, failed: set[str], chosen: set[str]
) -> None:
    listed = [versioned("old", "v1"), versioned("new-1", "v2"), versioned("new-2", "v2")]
    apply_upstream_snapshot(gw, Snapshot(listed, 6))
    gw.rollouts.update(RolloutOrder("lm", "v2", 10.0, "ordered", 6), clock.now() - 8)
    admitted = ask(gw, STREAM)
    assert isinstance(admitted, Admitted)
    job = Job(caller_request("POST", STREAM, (), b""), admitted, clock.now())
    job.failed_versions = failed
    job.tried_upstreams = {"new-1"} if failed else set()
    found = pick(gw, job, "lm", "", clock.now())
    assert found is not None and found.upstream.id in chosen


def test_only_a_run_to_a_good_end_shows_that_a_request_is_harmless(gw: Gateway) -> None:
    """An engine's 504 after its time in the queue came whole, and cleared what ended engines."""
    for number in range(FATAL_START_ENDS):
        curio.run(gw.fatal.record_end, f"e{number}", "it", JUST_BEGUN)
    for status in (504, 500, 400, 200):
        assert gw.fatal.is_fatal("it"), status
        gw.fatal.record_answer("it", status)
    assert not gw.fatal.is_fatal("it")


def stored_fatal(count: int, certain: bool) -> StoredObject:
    requests = [
        {"fingerprint": f"r{number}", "at": int(time.time()), "certain": certain, "upstreams": []}
        for number in range(count)
    ]
    return StoredObject(FATAL_NAME, 7, {"requests": requests}, None)


def test_a_document_of_fatal_requests_is_taken_in_up_to_its_bound(gw: Gateway) -> None:
    fatal_listed(gw, Snapshot([stored_fatal(3 * MAX_FATAL, True)], 7))
    assert len(gw.fatal.published) == MAX_FATAL
    assert gw.fatal.is_fatal(f"r{3 * MAX_FATAL - 1}")


def test_a_document_that_is_not_understood_changes_nothing(gw: Gateway) -> None:
    fatal_listed(gw, Snapshot([stored_fatal(1, True)], 7))
    fatal_changed(gw, Change(StoredObject(FATAL_NAME, 8, {"requests": "junk"}, None), False))
    assert gw.fatal.is_fatal("r0")


def test_an_operator_lets_all_run_again_by_removing_the_document(gw: Gateway) -> None:
    fatal_listed(gw, Snapshot([stored_fatal(1, True)], 7))
    for number in range(FATAL_START_ENDS):
        curio.run(gw.fatal.record_end, f"e{number}", "it", JUST_BEGUN)
    assert gw.fatal.is_fatal("r0") and gw.fatal.is_fatal("it")
    fatal_changed(gw, Change(stored_fatal(1, True), True))
    assert not gw.fatal.is_fatal("r0")
    assert not gw.fatal.is_fatal("it")


def test_one_end_more_makes_certain_what_others_have_seen(gw: Gateway) -> None:
    obj = stored_fatal(1, False)
    obj.spec["requests"][0]["upstreams"] = ["e1", "e2"]
    fatal_listed(gw, Snapshot([obj], 7))
    assert not gw.fatal.is_fatal("r0")
    curio.run(gw.fatal.record_end, "e3", "r0", JUST_BEGUN)
    assert gw.fatal.is_fatal("r0")
    assert gw.fatal.unpublished["r0"]["certain"]


def test_what_is_answered_well_leaves_the_document(gw: Gateway) -> None:
    obj = stored_fatal(1, False)
    obj.spec["requests"][0]["upstreams"] = ["e1", "e2"]
    fatal_listed(gw, Snapshot([obj], 7))
    gw.fatal.record_answer("r0", 200)
    curio.run(gw.fatal.record_end, "e3", "r0", JUST_BEGUN)
    assert not gw.fatal.is_fatal("r0")
    assert gw.fatal.cleared == {"r0"}


def test_a_list_without_the_document_lets_all_run_again(gw: Gateway) -> None:
    """A gateway that was away as the document was removed reads a list and no removal."""
    fatal_listed(gw, Snapshot([stored_fatal(1, True)], 7))
    for number in range(FATAL_START_ENDS):
        curio.run(gw.fatal.record_end, f"e{number}", "it", JUST_BEGUN)
    fatal_listed(gw, Snapshot([], 9))
    assert not gw.fatal.is_fatal("r0")
    assert not gw.fatal.is_fatal("it")
