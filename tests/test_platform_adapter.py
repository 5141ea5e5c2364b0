"""The adapter to the users' platform: table-driven tests of documents and headers."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import pytest

from ramppost.gateway.model import Upstream, Workspace
from ramppost.platform import names
from ramppost.platform.documents import (
    rollout_order,
    rollout_status,
    routing_table,
    upstream,
)
from ramppost.platform.headers import SendOptions, answer_head, caller_request, upstream_head
from ramppost.platform.store import StoredObject
from ramppost.wire.codec import BadMessage

ROOT = Path(__file__).parents[1]
UPSTREAM = Upstream("i-1", "10.0.0.1:80", "lm", "bole", "v1", 64, False)


def route(**changes: Any) -> dict[str, Any]:
    defaults = {
        "name": "r",
        "host": "h.example",
        "path_prefix": "/a/",
        "kind": "streaming",
        "timeout_ms": 20000,
        "target_latency_ms": 1500,
        "max_attempts": 3,
        "service": "lm",
        "stream_resume": True,
    }
    return defaults | changes


def config(routes: list[dict[str, Any]], **more: Any) -> StoredObject:
    spec = {
        "version": 7,
        "routes": routes,
        "services": [
            {
                "name": "lm",
                "max_conns": 370,
                "engine": {"slots": 64, "kv_capacity": 4000, "models": [{"name": "m", "cost": 1}]},
            },
            {"name": "web", "max_conns": 110},
        ],
        "unknown_field": {"may": "appear"},
    }
    return StoredObject("main", 3, spec | more, None)


@pytest.mark.parametrize(
    ("changes", "field", "value"),
    [
        ({}, "retry_mode", "any"),
        ({"stream_resume": False}, "retry_mode", "never"),
        ({"kind": "idempotent"}, "retry_mode", "any"),
        ({"kind": "idempotent"}, "streams", False),
        ({"kind": "non_idempotent"}, "retry_mode", "never"),
        ({"kind": "non_idempotent"}, "resumable", False),
        ({"timeout_ms": 800}, "timeout_s", 0.8),
        ({"gap_aim_ms": 1200}, "gap_objective_s", 1.2),
        ({}, "gap_objective_s", 1.5),
        ({"max_attempts": 0}, "attempts", 1),
        ({"sizes": ["s", "l"]}, "models", ("s", "l")),
        ({"allow_anonymous": True}, "anonymous", True),
    ],
)
def test_a_route(changes: dict[str, Any], field: str, value: object) -> None:
    table = routing_table(config([route(**changes)]))
    assert not isinstance(table, BadMessage)
    assert getattr(table.routes["h.example"][0], field) == value


def test_routes_of_a_host_are_sorted_by_prefix() -> None:
    prefixes = ["/a/", "/a/b/c/", "/", "/a/b/"]
    table = routing_table(config([route(path_prefix=p) for p in prefixes]))
    assert not isinstance(table, BadMessage)
    assert [r.prefix for r in table.routes["h.example"]] == ["/a/b/c/", "/a/b/", "/a/", "/"]


def test_shares_of_services() -> None:
    split = [{"service": "lm", "weight": 90}, {"service": "web", "weight": 10}]
    table = routing_table(config([route(traffic_split=split)]))
    assert not isinstance(table, BadMessage)
    assert [t.weight for t in table.routes["h.example"][0].targets] == [90, 10]


def test_keys() -> None:
    table = routing_table(config([], tenants=[{"name": "w", "api_keys": ["k"], "priority": 1}]))
    assert not isinstance(table, BadMessage)
    assert table.keys == {"k": Workspace("w", 1)}


def test_without_workspaces_no_key_is_required() -> None:
    table = routing_table(config([]))
    assert not isinstance(table, BadMessage)
    assert table.keys is None


@pytest.mark.parametrize(
    ("changes", "path"),
    [
        ({"timeout_ms": "soon"}, "timeout_ms"),
        ({"path_prefix": None}, "path_prefix"),
        ({"sizes": "m0"}, "sizes"),
    ],
)
def test_a_faulty_configuration_names_the_field(changes: dict[str, Any], path: str) -> None:
    got = routing_table(config([route(**changes)]))
    assert isinstance(got, BadMessage)
    assert path in got.reason


@pytest.mark.parametrize(("state", "leaving"), [("ready", False), ("draining", True)])
def test_an_upstream(state: str, leaving: bool) -> None:
    spec = {
        "service": "lm",
        "addr": "10.0.0.1:80",
        "zone": "bole",
        "version": "v1",
        "slots": 64,
        "state": state,
        "cold_left_ms": 0,
        "call_seq": 4,
    }
    assert upstream(StoredObject("i-1", 1, spec, None)) == UPSTREAM._replace(draining=leaving)


@pytest.mark.parametrize(
    ("status", "state"),
    [
        (None, "ordered"),
        ({"state": "running"}, "ordered"),
        ({"state": "completed"}, "completed"),
        ({"state": "rolled_back"}, "rolled_back"),
    ],
)
def test_a_rollout(status: Any, state: str) -> None:
    spec = {"service": "lm", "target_version": "v2", "duration_s": 12}
    order = rollout_order(StoredObject("lm", 9, spec, status))
    assert not isinstance(order, BadMessage)
    assert (order.version, order.duration_s, order.state) == ("v2", 12, state)
    if state in ("completed", "rolled_back"):
        assert rollout_status(order, state == "completed")["state"] == state


@pytest.mark.parametrize("state", ["completed", "rolled_back"])
def test_the_status_of_the_previous_order_is_not_used_for_the_next(state: str) -> None:
    """A second order for a service overwrites the first, but the status of the first remains.

    A gateway took `completed` of v2 for the state of v3 and at once sent that version, which was
    bad, 1,333 of the 1,375 requests of its service.  The log lines `roll-out completed` with
    `version` v3 of all gateways within 3 ms of the order, and none before them, showed the cause.
    """
    spec = {"service": "lm", "target_version": "v3", "duration_s": 12}
    status = {"state": state, "target_version": "v2"}
    order = rollout_order(StoredObject("lm", 9, spec, status))
    assert not isinstance(order, BadMessage)
    assert (order.version, order.state) == ("v3", "ordered")


HEAD = (
    (b"host", b"h.example"),
    (b"x-attempt-id", b"9c41"),
    (b"x-deadline-ms", b"1500"),
    (b"api-key", b"secret"),
    (b"x-tenant", b"forged"),
    (b"x-expect-instance", b"forged"),
    (b"x-kv-hold", b"forged"),
    (b"x-pin-ms", b"forged"),
    (b"x-kv-backup", b"forged"),
    (b"kv-from", b"forged"),
    (b"x-request-priority", b"forged"),
    (b"connection", b"keep-alive, x-hop"),
    (b"x-hop", b"1"),
    (b"transfer-encoding", b"chunked"),
    (b"x-model", b"*"),
    (b"x-token-counts", b"1460,80"),
    (b"x-prompt-prefix", b"5c:800,91:410"),
    (b"x-other", b"kept"),
)


def test_what_only_the_router_may_set_is_dropped() -> None:
    req = caller_request("POST", "/a/2f?x=%20", HEAD, b"body")
    head = upstream_head(req, SendOptions(UPSTREAM, 1.25, Workspace("w", 0), 2, "m1", ""), True)
    assert b"forged" not in [value for _, value in head]
    assert b"secret" not in [value for _, value in head]
    found = dict(head)
    assert len(found) == len(head)
    assert found[names.WORKSPACE] == b"w"
    assert found[names.EXPECTED_UPSTREAM] == b"i-1"
    assert found[names.DEADLINE_MS] == b"1250"
    assert found[names.MODEL] == b"m1"
    assert found[b"content-length"] == b"4"
    assert found[b"x-other"] == b"kept"
    assert b"x-hop" not in found and b"transfer-encoding" not in found


def test_the_callers_model_is_kept_if_none_is_chosen() -> None:
    req = caller_request("POST", "/a/", ((b"x-model", b"m7"),), b"")
    head = dict(upstream_head(req, SendOptions(UPSTREAM, 1.0, None, None, "", ""), False))
    assert head[names.MODEL] == b"m7"
    assert names.WORKSPACE not in head and names.PRIORITY not in head


def test_a_resumed_stream_names_the_last_event_passed_on() -> None:
    req = caller_request("POST", "/a/", ((b"last-event-id", b"3"),), b"")
    head = upstream_head(req, SendOptions(UPSTREAM, 1.0, None, None, "", "12"), False)
    assert [value for name, value in head if name == names.LAST_EVENT_ID] == [b"12"]


def test_a_request_is_decoded() -> None:
    req = caller_request("POST", "/a/", HEAD, b"")
    assert (req.host, req.attempt_id, req.key, req.deadline_s) == (
        "h.example",
        "9c41",
        "secret",
        1.5,
    )
    assert req.any_model and req.prompt is not None
    assert req.prompt.parts == (("5c", 800), ("91", 410))
    assert (req.prompt.tokens_in, req.prompt.max_tokens_out) == (1460, 80)


@pytest.mark.parametrize(
    ("header", "field", "value"),
    [
        ((b"x-not-executed", b"1"), "not_run", True),
        ((b"x-runner-stamp", b"s"), "signed", True),
        ((b"x-runner-load", b"3,1,8"), "running", 3),
        ((b"x-runner-load", b"3,1,8"), "waiting", 1),
        ((b"x-runner-load", b"many"), "running", None),
        ((b"x-confidence", b"61"), "confidence", 61.0),
        ((b"x-confidence", b"-1"), "confidence", None),
        ((b"keep-alive", b"timeout=9"), "keep_alive_s", 9.0),
        ((b"keep-alive", b"9"), "keep_alive_s", 9.0),
        ((b"x-attempt-id", b"9c41"), "attempt_id", "9c41"),
        ((b"server-leaving", b"1"), "leaving", True),
        ((b"server-leaving", b"0"), "leaving", False),
        ((b"retry-after", b"3"), "rest_s", None),
        ((b"server-limit", b"2.1"), "rate_limit_per_s", 2.1),
        ((b"server-limit", b"0"), "rate_limit_per_s", 0.0),
        ((b"server-limit", b"inf"), "rate_limit_per_s", None),
        ((b"server-limit", b"few"), "rate_limit_per_s", None),
    ],
)
def test_an_answer_head(header: tuple[bytes, bytes], field: str, value: object) -> None:
    assert getattr(answer_head(200, (header,)), field) == value


def test_an_answer_from_another_upstream_was_not_run() -> None:
    head = answer_head(421, ((b"x-instance-id", b"i-2"),))
    assert head.not_run and head.wrong_upstream


def test_no_wire_name_outside_the_adapter() -> None:
    """Wire names of the platform occur in one package only, from which stand-ins import them."""
    own = re.compile(r"x-attempt-id|x-runner|x-tenant|x-kv|x-expect|api-key|target_version", re.I)
    own_fields = re.compile(r"\"(draining|rolled_back_at|allow_anonymous|traffic_split|api_keys)\"")
    for path in (ROOT / "ramppost").rglob("*.py"):
        if path.parent.name == "platform":
            continue
        text = path.read_text()
        assert not own.search(text) and not own_fields.search(text), path
