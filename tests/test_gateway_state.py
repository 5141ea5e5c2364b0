"""State that a gateway derives from the store objects it follows."""

from __future__ import annotations

import time
from types import SimpleNamespace
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
    set_config(found, 5, 1)
    apply_upstream_snapshot(found, Snapshot([], 5))
    found.freshness.confirm(clock.now())
    return found


def set_config(gw: Gateway, revision: int, version: int, **overrides: Any) -> None:
    obj = StoredObject(names.CONFIG_NAME, revision, config(version, **overrides), None)
    apply_config_snapshot(gw, Snapshot([obj], revision))


def admit_request(gw: Gateway, prefix: str, key: str = KEYS["kitchen"], host: str = SITE) -> Any:
    head = ((b"host", host.encode()), (names.API_KEY, key.encode()))
    return admit(gw, caller_request("POST", prefix + "x", head, b""))


def version(gw: Gateway) -> int:
    assert gw.table is not None
    return gw.table.version


def test_an_older_configuration_is_not_applied(gw: Gateway) -> None:
    set_config(gw, 9, 4)
    set_config(gw, 7, 3)
    assert version(gw) == 4


def test_an_invalid_configuration_leaves_the_last_in_force(gw: Gateway) -> None:
    obj = StoredObject(names.CONFIG_NAME, 9, {"version": "broken"}, None)
    apply_config_snapshot(gw, Snapshot([obj], 9))
    assert version(gw) == 1


@pytest.mark.parametrize(
    ("prefix", "key", "host", "code"),
    [
        (ONCE, KEYS["toll"], SITE, ""),
        (OPEN, "", SITE, ""),
        (OPEN, KEYS["toll"], SITE, ""),
        (OPEN, "unknown", SITE, "unauthorized"),
        (ONCE, "unknown", SITE, "unauthorized"),
        (ONCE, "", SITE, "unauthorized"),
        ("/nowhere/", "", SITE, "not_found"),
        (ONCE, KEYS["toll"], "other.example", "not_found"),
    ],
)
def test_admission_by_route_key_and_host(
    gw: Gateway, prefix: str, key: str, host: str, code: str
) -> None:
    got = admit_request(gw, prefix, key, host)
    assert (got.code if isinstance(got, Refusal) else "") == code


@pytest.mark.parametrize(
    ("prefix", "key", "is_admitted"),
    [
        (ONCE, KEYS["toll"], False),
        (ONCE, "unknown", False),
        ("/nowhere/", "", False),
        (OPEN, "", True),
        (OPEN, KEYS["toll"], False),
    ],
)
def test_a_stale_configuration_causes_no_permanent_refusal(
    gw: Gateway, prefix: str, key: str, is_admitted: bool
) -> None:
    gw.freshness.max_age_s = 0
    got = admit_request(gw, prefix, key)
    if is_admitted:
        assert isinstance(got, Admitted)
    else:
        assert (got.code, got.status, got.ran) == ("not_ready", 503, "no")
        assert got.retry_after_s > 0


@pytest.mark.parametrize(
    ("late_s", "code"), [(-0.3, "not_found"), (0.3, "not_ready")], ids=["in time", "late"]
)
def test_a_route_list_that_may_be_outdated_causes_no_permanent_refusal(
    gw: Gateway, late_s: float, code: str
) -> None:
    """A gateway cut off from its relay and the store answered 404 for a route that had been
    confirmed and had to be in force by then.  It did so until its keys were too old, 4.7 s after
    its last confirmation by the store, while routes must be in force after 2 s."""
    gw.freshness = Freshness(gw.freshness.max_age_s)
    apply_s = gw.cfg["timing"]["config_apply_ms"] / 1000
    gw.freshness.confirm(clock.now() - apply_s - late_s)
    got = admit_request(gw, "/nowhere/")
    assert isinstance(got, Refusal)
    assert got.code == code
    assert isinstance(admit_request(gw, ONCE, KEYS["toll"]), Admitted), (
        "keys have an age limit of their own"
    )


def test_a_missing_configuration_causes_no_permanent_refusal() -> None:
    got = admit_request(Gateway(SETTINGS), "/nowhere/")
    assert (got.code, got.status) == ("not_ready", 503)


@pytest.mark.parametrize(
    ("refusing", "refused"),
    [("none", set()), ("streams", {STREAM}), ("all", {STREAM, ONCE, OPEN})],
)
def test_a_stopping_gateway_refuses_requests_that_may_outlast_it(
    gw: Gateway, refusing: Any, refused: set[str]
) -> None:
    gw.refusal_scope = refusing
    for prefix in (STREAM, ONCE, OPEN):
        got = admit_request(gw, prefix)
        assert isinstance(got, Refusal) == (prefix in refused)
        if isinstance(got, Refusal):
            assert (got.code, got.ran, got.retry_after_s > 0) == ("leaving", "no", True)


def test_one_backlog_query_serves_the_model_choice_and_the_first_attempt(
    gw: Gateway, monkeypatch: pytest.MonkeyPatch
) -> None:
    queried_models: list[str] = []

    async def record_query(engines: list[Any], query: BacklogQuery) -> dict[str, BacklogEstimate]:
        queried_models.append(query.model)
        return {engine.id: BacklogEstimate(0.0, 0, True) for engine in engines}

    monkeypatch.setattr(gw.backlogs, "ask", record_query)
    apply_upstream_snapshot(gw, Snapshot([entry("a"), entry("b")], 6))
    head = ((b"host", SITE.encode()), (names.API_KEY, KEYS["kitchen"].encode()))
    head = (*head, (names.TOKEN_COUNTS, b"100,40"), (names.PROMPT_PARTS, b"aa:60,bb:40"))
    req = caller_request("POST", STREAM + "x", head, b"")
    admitted = admit(gw, req)
    assert isinstance(admitted, Admitted)
    job = Job(req, admitted, clock.now())
    for model in ("small", "large", "large"):
        curio.run(query_backlogs, gw, job, "lm", model)
    assert queried_models == ["small", "large"]
    job.tried_upstreams.add("a")
    curio.run(query_backlogs, gw, job, "lm", "large")
    assert queried_models == ["small", "large", "large"], "another attempt queries again"


def test_a_key_is_checked_again_after_the_backlog_query(
    gw: Gateway, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A process suspended during the query must not send by a configuration that became stale."""

    async def suspend(gw: Gateway, *_: Any) -> None:
        gw.freshness.max_age_s = 0

    monkeypatch.setattr("ramppost.gateway.serve.query_backlogs", suspend)
    apply_upstream_snapshot(gw, Snapshot([entry("a")], 6))
    head = ((b"host", SITE.encode()), (names.API_KEY, KEYS["kitchen"].encode()))
    req = caller_request("POST", STREAM + "x", head, b"")
    admitted = admit(gw, req)
    assert isinstance(admitted, Admitted)
    job = Job(req, admitted, clock.now())
    got = curio.run(_try_upstreams, gw, job, "lm", "m", SimpleNamespace(started=False))
    assert isinstance(got, Refusal)
    assert (got.code, got.ran, job.tried_upstreams) == ("not_ready", "no", set())


def start_stopping(gw: Gateway, back_in_s: float) -> Gateway:
    gw.refusal_scope = "all"
    gw.resume_at = clock.now() + back_in_s
    gw.peers.put("gateway-2", "127.0.0.1:9", "bole")
    gw.peers.put("gateway-3", "127.0.0.1:9", "bole")
    return gw


def test_a_stopping_gateway_sends_callers_to_the_others_at_once(gw: Gateway) -> None:
    start_stopping(gw, 5.0)
    handle_leaving_note(gw, LeavingNote(name="gateway-2", back_ms=3000))
    got = admit_request(gw, STREAM)
    assert (got.code, got.retry_after_s) == ("leaving", IMMEDIATE_RETRY_S)


def test_if_all_gateways_stop_retry_after_is_the_first_return(gw: Gateway) -> None:
    start_stopping(gw, 5.0)
    for name, back_ms in (("gateway-2", 3000), ("gateway-3", 4000)):
        handle_leaving_note(gw, LeavingNote(name=name, back_ms=back_ms))
    assert admit_request(gw, STREAM).retry_after_s == pytest.approx(3.0, abs=0.1)


def test_a_gateway_past_its_return_time_counts_as_back(gw: Gateway) -> None:
    start_stopping(gw, 5.0)
    handle_leaving_note(gw, LeavingNote(name="gateway-2", back_ms=0))
    handle_leaving_note(gw, LeavingNote(name="gateway-3", back_ms=4000))
    assert admit_request(gw, STREAM).retry_after_s == IMMEDIATE_RETRY_S


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


def test_removal_of_all_upstreams_is_treated_as_expiry(gw: Gateway) -> None:
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


def test_an_invalid_configuration_is_not_confirmed(gw: Gateway) -> None:
    gw.freshness = Freshness(5.0)
    confirm_config(gw, clock.now())
    assert gw.freshness.ever_confirmed
    gw.freshness = Freshness(5.0)
    apply_config_snapshot(
        gw, Snapshot([StoredObject(names.CONFIG_NAME, 9, {"version": "x"}, None)], 9)
    )
    confirm_config(gw, clock.now())
    assert not gw.freshness.ever_confirmed


def entry_of_version(name: str, version: str) -> StoredObject:
    obj = entry(name)
    return obj._replace(spec=obj.spec | {"version": version})


@pytest.mark.parametrize(
    ("failed", "chosen"),
    [(set(), {"new-1", "new-2"}), ({"v2"}, {"old"}), ({"v1", "v2"}, {"new-2"})],
)
def test_a_failed_attempt_on_a_trial_version_is_retried_on_the_other(
    gw: Gateway, failed: set[str], chosen: set[str]
) -> None:
    listed = [
        entry_of_version("old", "v1"),
        entry_of_version("new-1", "v2"),
        entry_of_version("new-2", "v2"),
    ]
    apply_upstream_snapshot(gw, Snapshot(listed, 6))
    gw.rollouts.update(RolloutOrder("lm", "v2", 10.0, "ordered", 6), clock.now() - 8)
    admitted = admit_request(gw, STREAM)
    assert isinstance(admitted, Admitted)
    job = Job(caller_request("POST", STREAM, (), b""), admitted, clock.now())
    job.failed_versions = failed
    job.tried_upstreams = {"new-1"} if failed else set()
    found = pick(gw, job, "lm", "", clock.now())
    assert found is not None and found.upstream.id in chosen


def job_of_session_beside_rollout(gw: Gateway, new_engines: int, elapsed_s: float) -> Job:
    """A request of a session, of a service with an engine of the old version, during a roll-out of
    10 s."""
    new = [entry_of_version(f"new-{number + 1}", "v2") for number in range(new_engines)]
    apply_upstream_snapshot(gw, Snapshot([entry_of_version("old", "v1"), *new], 6))
    gw.rollouts.update(RolloutOrder("lm", "v2", 10.0, "ordered", 6), clock.now() - elapsed_s)
    admitted = admit_request(gw, STREAM)
    assert isinstance(admitted, Admitted)
    req = caller_request("POST", STREAM, (), b"")._replace(session="s")
    return Job(req, admitted, clock.now())


def test_session_went_to_the_other_version_as_all_of_its_own_were_tried(gw: Gateway) -> None:
    job = job_of_session_beside_rollout(gw, 2, 2.0)
    job.session_version = "v2"
    job.tried_upstreams = {"new-1", "new-2"}
    assert pick(gw, job, "lm", "", clock.now()) is None
    job.answerless_upstreams = {"new-1", "new-2"}
    job.last_upstream = "new-2"
    found = pick(gw, job, "lm", "", clock.now())
    assert found is not None and found.upstream.id == "new-1"


@pytest.mark.parametrize("known", [False, True])
def test_first_request_of_a_session_failed_on_a_bad_version(gw: Gateway, known: bool) -> None:
    job = job_of_session_beside_rollout(gw, 3, 8.0)
    job.session_version, job.session_was_known = "v2", known
    job.attempts = 1
    job.tried_upstreams = job.failed_upstreams = {"new-1"}
    found = pick(gw, job, "lm", "", clock.now())
    assert found is not None and found.upstream.id in ("new-2", "new-3")
    job.attempts = 2
    job.tried_upstreams = job.failed_upstreams = {"new-1", "new-2"}
    found = pick(gw, job, "lm", "", clock.now())
    assert found is not None and found.upstream.id == ("new-3" if known else "old")


def test_only_a_successful_run_shows_that_a_request_is_harmless(gw: Gateway) -> None:
    """A complete 504 of an engine, after a queue timeout, used to clear a fatal request."""
    for number in range(FATAL_START_ENDS):
        curio.run(gw.fatal.record_end, f"e{number}", "it", JUST_BEGUN)
    for status in (504, 500, 400, 200):
        assert gw.fatal.is_fatal("it"), status
        gw.fatal.record_answer("it", status)
    assert not gw.fatal.is_fatal("it")


def fatal_document(count: int, certain: bool) -> StoredObject:
    requests = [
        {"fingerprint": f"r{number}", "at": int(time.time()), "certain": certain, "upstreams": []}
        for number in range(count)
    ]
    return StoredObject(FATAL_NAME, 7, {"requests": requests}, None)


def test_a_document_of_fatal_requests_is_read_up_to_its_limit(gw: Gateway) -> None:
    fatal_listed(gw, Snapshot([fatal_document(3 * MAX_FATAL, True)], 7))
    assert len(gw.fatal.published) == MAX_FATAL
    assert gw.fatal.is_fatal(f"r{3 * MAX_FATAL - 1}")


def test_an_invalid_document_of_fatal_requests_is_ignored(gw: Gateway) -> None:
    fatal_listed(gw, Snapshot([fatal_document(1, True)], 7))
    fatal_changed(gw, Change(StoredObject(FATAL_NAME, 8, {"requests": "junk"}, None), False))
    assert gw.fatal.is_fatal("r0")


def test_removing_the_document_clears_all_fatal_requests(gw: Gateway) -> None:
    fatal_listed(gw, Snapshot([fatal_document(1, True)], 7))
    for number in range(FATAL_START_ENDS):
        curio.run(gw.fatal.record_end, f"e{number}", "it", JUST_BEGUN)
    assert gw.fatal.is_fatal("r0") and gw.fatal.is_fatal("it")
    fatal_changed(gw, Change(fatal_document(1, True), True))
    assert not gw.fatal.is_fatal("r0")
    assert not gw.fatal.is_fatal("it")


def test_one_more_crash_confirms_a_request_suspected_by_others(gw: Gateway) -> None:
    obj = fatal_document(1, False)
    obj.spec["requests"][0]["upstreams"] = ["e1", "e2"]
    fatal_listed(gw, Snapshot([obj], 7))
    assert not gw.fatal.is_fatal("r0")
    curio.run(gw.fatal.record_end, "e3", "r0", JUST_BEGUN)
    assert gw.fatal.is_fatal("r0")
    assert gw.fatal.unpublished["r0"]["certain"]


def test_a_successfully_answered_request_leaves_the_document(gw: Gateway) -> None:
    obj = fatal_document(1, False)
    obj.spec["requests"][0]["upstreams"] = ["e1", "e2"]
    fatal_listed(gw, Snapshot([obj], 7))
    gw.fatal.record_answer("r0", 200)
    curio.run(gw.fatal.record_end, "e3", "r0", JUST_BEGUN)
    assert not gw.fatal.is_fatal("r0")
    assert gw.fatal.cleared == {"r0"}


def test_a_list_without_the_document_clears_all_fatal_requests(gw: Gateway) -> None:
    """A gateway that was disconnected during the removal sees a list and no removal event."""
    fatal_listed(gw, Snapshot([fatal_document(1, True)], 7))
    for number in range(FATAL_START_ENDS):
        curio.run(gw.fatal.record_end, f"e{number}", "it", JUST_BEGUN)
    fatal_listed(gw, Snapshot([], 9))
    assert not gw.fatal.is_fatal("r0")
    assert not gw.fatal.is_fatal("it")


def returned(obj: StoredObject) -> StoredObject:
    """The object as a later era of the store holds it."""
    return obj._replace(era=1)


def test_fatal_requests_that_an_older_copy_of_the_store_lacks_stay_known(gw: Gateway) -> None:
    fatal_listed(gw, Snapshot([fatal_document(2, True)], 27))
    fatal_listed(gw, Snapshot([returned(fatal_document(1, True))], 20, era=1))
    assert gw.fatal.is_fatal("r0") and gw.fatal.is_fatal("r1")
    assert set(gw.fatal.unpublished) == {"r1"}
    fatal_listed(gw, Snapshot([], 9, era=2))
    assert gw.fatal.is_fatal("r0") and gw.fatal.is_fatal("r1")
    assert set(gw.fatal.unpublished) == {"r0", "r1"}


@pytest.mark.parametrize("deleted", [True, False])
def test_fatal_requests_that_are_back_in_an_older_copy_are_taken_out_again(
    gw: Gateway, deleted: bool
) -> None:
    document = fatal_document(1, True)
    fatal_listed(gw, Snapshot([document], 26))
    empty = StoredObject(FATAL_NAME, 27, {"requests": []}, None)
    fatal_changed(gw, Change(document if deleted else empty, deleted))
    fatal_listed(gw, Snapshot([returned(document)], 26, era=1))
    assert not gw.fatal.is_fatal("r0")
    assert gw.fatal.cleared == {"r0"}
