"""The HTTP interface for callers."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import httpx
import openai
import pytest
from hypothesis import HealthCheck, example, settings
from hypothesis import given as given_values
from hypothesis import strategies as st
from pytest_bdd import given, parsers, scenarios, then, when

from tests.harness.cluster import Cluster
from tests.harness.operator import change_and_note
from tests.harness.oracle import told, whole

scenarios("features/callers.feature")

DOCS = Path(__file__).parents[1] / "docs"
VALID_BODY = {"model": "large", "max_tokens": 3, "messages": [{"role": "user", "content": "x"}]}


class Response(NamedTuple):
    """Status, body and headers of a response."""

    status: int
    body: Any
    headers: Any


class Context:
    """The state shared by the steps of a scenario."""

    def __init__(self) -> None:
        self.responses: list[Response] = []
        self.texts: list[tuple[str, int]] = []


@pytest.fixture
def ctx() -> Context:
    return Context()


@given("a small fleet")
def small_fleet(cluster: Cluster) -> None:
    """Does nothing: the fixture starts the fleet."""


def post(cluster: Cluster, body: Any = VALID_BODY, token: str = "mesob-dev", **kw: Any) -> Response:
    head = {"authorization": f"Bearer {token}", **kw.pop("headers", {})}
    url = cluster.url("entry-1") + kw.pop("path", "/v1/chat/completions")
    content = {"content": body} if isinstance(body, bytes) else {"json": body}
    got = cluster.http.post(url, headers=head, **content)
    streamed = got.headers["content-type"].startswith("text/event-stream")
    return Response(got.status_code, got.text if streamed else got.json(), got.headers)


def send_raw(cluster: Cluster, data: bytes) -> Response:
    """Sends bytes and reads the response until the connection is closed."""
    listen = cluster.fleet.entries["entry-1"]["listen"]
    with socket.create_connection((listen["host"], listen["port"]), timeout=15) as sock:
        sock.sendall(data)
        answer = b""
        while piece := sock.recv(65536):
            answer += piece
    head, _, body = answer.partition(b"\r\n\r\n")
    return Response(int(head.split()[1]), httpx.Response(200, content=body).json(), {})


def used_key(cluster: Cluster) -> Response:
    head = {"idempotency-key": "used"}
    assert post(cluster, headers=head).status == 200
    return post(cluster, VALID_BODY | {"max_tokens": 4}, headers=head)


JSON_TYPE = {"content-type": "application/json"}
HEAD = b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n"
SENDERS: dict[str, Callable[[Cluster], Response]] = {
    "no token": lambda c: post(c, headers={"authorization": ""}),
    "an unknown token": lambda c: post(c, token="nobody"),
    "an unknown model": lambda c: post(c, VALID_BODY | {"model": "huge"}),
    "an unknown version": lambda c: post(c, VALID_BODY | {"model": "large@v9"}),
    "a body that is not JSON": lambda c: post(
        c, b"{", headers={"content-type": "application/json"}
    ),
    "no messages": lambda c: post(c, VALID_BODY | {"messages": []}),
    "messages of a wrong type": lambda c: post(c, VALID_BODY | {"messages": "x"}),
    "the wrong content type": lambda c: post(c, b"{}", headers={"content-type": "text/plain"}),
    "an unknown class": lambda c: post(c, headers={"ramppost-class": "none"}),
    "a deadline that is no number": lambda c: post(c, headers={"ramppost-deadline-ms": "soon"}),
    "a key that is too long": lambda c: post(c, headers={"idempotency-key": "k" * 300}),
    "a key used for another request": used_key,
    "a body that is too large": lambda c: send_raw(
        c, HEAD + b"content-length: 2000000\r\n\r\n" + b"x" * 1100000
    ),
    "a head that is too large": lambda c: send_raw(c, HEAD + b"x-big: " + b"y" * 70000),
    "a request that is not HTTP": lambda c: send_raw(c, b"\x16\x03\x01 what is this\r\n\r\n"),
    "a body that never comes": lambda c: send_raw(c, HEAD + b"content-length: 10\r\n\r\n123"),
    "an unknown path": lambda c: post(c, path="/v2/none"),
    "a service it may not call": lambda c: post(c, path="/services/other/x"),
}


@when(parsers.parse("a caller sends {what}"))
def sends(cluster: Cluster, ctx: Context, what: str) -> None:
    ctx.responses.append(SENDERS[what](cluster))


@then(parsers.parse('the answer has status {status:d}, code "{code}" and ran "{ran}"'))
def answered(ctx: Context, status: int, code: str, ran: str) -> None:
    got = ctx.responses[-1]
    error = got.body["error"]
    assert (got.status, error["code"], error["ran"]) == (status, code, ran)
    assert {"message", "type", "param", "retry_after_s"} <= set(error)


@then("the next good request is served")
def next_served(cluster: Cluster) -> None:
    assert post(cluster).status == 200


@when("the openai client lists models, asks plainly and asks for a stream")
def openai_client(cluster: Cluster, ctx: Context) -> None:
    client = openai.OpenAI(base_url=cluster.url("entry-1") + "/v1", api_key="mesob-dev")
    names = [model.id for model in client.models.list()]
    assert {"small", "large", "large@v1"} <= set(names)
    messages: Any = [{"role": "user", "content": "injera"}]
    plain = client.chat.completions.create(model="large", messages=messages, max_tokens=5)
    ctx.texts.append((plain.choices[0].message.content or "", 5))
    stream = client.chat.completions.create(
        model="auto", messages=messages, max_tokens=6, stream=True
    )
    ctx.texts.append(("".join(c.choices[0].delta.content or "" for c in stream), 6))


@then("it holds whole answers")
def holds(ctx: Context) -> None:
    assert len(ctx.texts) == 2
    for text, tokens in ctx.texts:
        assert whole(text, tokens), text


@when(parsers.parse('a caller calls the service "{name}"'))
def calls(cluster: Cluster, ctx: Context, name: str) -> None:
    ctx.responses.append(post(cluster, {"q": 1}, path=f"/services/{name}/recipes/1"))


@then("the service's own answer comes back")
def own_answer(ctx: Context) -> None:
    assert ctx.responses[-1].status == 200
    assert ctx.responses[-1].body["path"] == "/recipes/1"


@when("the internal listener of an entry is asked")
def internal(cluster: Cluster, ctx: Context) -> None:
    post(cluster)
    for path in ("/healthz", "/readyz", "/metrics"):
        got = cluster.http.get(cluster.internal("entry-1") + path)
        ctx.responses.append(Response(got.status_code, got.text, got.headers))


@then("it answers health, readiness and every metric that the docs name")
def metrics(ctx: Context) -> None:
    assert [got.status for got in ctx.responses] == [200, 200, 200]
    text = (DOCS / "operators" / "metrics.md").read_text()
    named = {w.strip("`") for w in text.replace("|", " ").split() if w.startswith("`ramppost_")}
    shown = {
        line.split()[2] for line in ctx.responses[-1].body.splitlines() if line.startswith("# TYPE")
    }
    assert named and named == shown


@when(
    parsers.parse("{n:d} callers of a workspace that may have {m:d} requests at once ask together")
)
def together(cluster: Cluster, ctx: Context, n: int, m: int) -> None:
    change_and_note(cluster, 1e12, kind="limits", workspace="toll", concurrency=m)
    body = VALID_BODY | {"max_tokens": 30}

    def ask() -> None:
        ctx.responses.append(post(cluster, body, token="toll-dev"))

    threads = [threading.Thread(target=ask) for _ in range(n)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@then(parsers.parse('some are served and the others refused with "{code}" and when to come back'))
def some(ctx: Context, code: str) -> None:
    served = [got for got in ctx.responses if got.status == 200]
    refused = [got for got in ctx.responses if got.status != 200]
    assert served and refused
    for got in refused:
        assert got.body["error"]["code"] == code and int(got.headers["retry-after"]) >= 1


FUZZ = settings(
    max_examples=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=8,
)


@FUZZ
@given_values(key=st.sampled_from(["model", "messages", "stream", "stream_options"]), value=JSON)
def test_no_body_crashes_an_entry(fleet: Cluster, key: str, value: Any) -> None:
    got = post(fleet, VALID_BODY | {key: value})
    assert got.status in (200, 400, 403, 404)
    if got.status != 200:
        assert got.body["error"]["ran"] == "no"


@FUZZ
@given_values(path=st.sampled_from(["/a/run", "/a/attach", "/a/settled", "/a/status"]), value=JSON)
def test_no_message_crashes_an_agent(fleet: Cluster, path: str, value: Any) -> None:
    got = fleet.http.post(fleet.internal("agent-1") + path, json=value)
    assert got.status_code == 400
    assert told("", fleet.chat("entry-1", tokens=2)).served


@FUZZ
@given_values(
    path=st.sampled_from(["/x/claim", "/x/peek", "/x/copies", "/x/settled"]),
    key=st.sampled_from(["key", "lines", "attempts", "nonce"]),
    value=JSON,
)
@example(path="/x/peek", key="key", value="not a digest")
@example(path="/x/peek", key="key", value="")
def test_no_message_crashes_an_entry(fleet: Cluster, path: str, key: str, value: Any) -> None:
    got = fleet.http.post(fleet.internal("entry-1") + path, json={key: value})
    assert got.status_code == 400
    assert told("", fleet.chat("entry-1", tokens=2)).served
