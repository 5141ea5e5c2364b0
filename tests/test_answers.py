"""Callers get complete answers, and only their own."""

from __future__ import annotations

import json
import threading
import time
from typing import NamedTuple

import httpx
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from tests.harness.cluster import Cluster
from tests.harness.oracle import Told, runs, told, whole

scenarios("features/answers.feature")

FIRST_TOKENS = 10
FAULT_COUNT = 4


class ReceivedAnswer(NamedTuple):
    """The requested token count and the answer that a caller got."""

    tokens: int
    text: str
    ended: bool


class Context:
    """The state shared by the steps of a scenario."""

    def __init__(self) -> None:
        self.answers: list[ReceivedAnswer] = []
        self.stream_token = ""
        self.last_event = ""
        self.text = ""
        self.ended = False
        self.request_id = ""
        self.reply: Told | None = None


@pytest.fixture
def ctx() -> Context:
    return Context()


@given("a small fleet")
def small_fleet(cluster: Cluster) -> None:
    """Does nothing: the fixture starts the fleet."""


def read_events(got: httpx.Response, ctx: Context, stop_after: int = 10**6) -> None:
    """Reads server-sent events into the context."""
    seen = 0
    for line in got.iter_lines():
        if line.startswith("id: "):
            ctx.last_event = line[4:]
        if line == "data: [DONE]":
            ctx.ended = True
        elif line.startswith("data: "):
            event = json.loads(line[6:])
            if "error" in event:
                return
            ctx.text += event["choices"][0]["delta"].get("content", "")
            seen += 1
            if seen >= stop_after:
                return


def open_stream(cluster: Cluster, entry: str, tokens: int, **headers: str):
    head = {"authorization": "Bearer mesob-dev", **headers}
    body = {
        "model": "large",
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": "hello"}],
    }
    url = cluster.url(entry) + "/v1/chat/completions"
    return httpx.stream("POST", url, json=body, headers=head, timeout=30)


def ask(cluster: Cluster, form: str, tokens: int, answers: list[ReceivedAnswer]) -> None:
    entry = cluster.entry_names[tokens % 2]
    try:
        if form == "plain":
            reply = told("", cluster.chat(entry, tokens=tokens, model="large"))
            answers.append(ReceivedAnswer(tokens, reply.text, reply.served))
            return
        ctx = Context()
        with open_stream(cluster, entry, tokens) as got:
            read_events(got, ctx)
        answers.append(ReceivedAnswer(tokens, ctx.text, ctx.ended))
    except httpx.HTTPError:
        answers.append(ReceivedAnswer(tokens, "", False))


@when(
    parsers.parse('{n:d} callers ask "{form}" while replies on the "{link}" link suffer "{fault}"')
)
def callers_ask(cluster: Cluster, ctx: Context, n: int, form: str, link: str, fault: str) -> None:
    group = cluster.agent_proxy if link == "agent" else cluster.upstream_proxy
    threads = [
        threading.Thread(target=ask, args=(cluster, form, FIRST_TOKENS + i, ctx.answers))
        for i in range(n)
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.05)
    for name in cluster.fleet.agents:
        if fault != "nothing":
            group[name].set(fault, FAULT_COUNT, delay_s=0.3)
    for thread in threads:
        thread.join(60)


@then("no caller holds an answer that is not its own and whole")
def own_and_whole(ctx: Context) -> None:
    for got in ctx.answers:
        if got.ended:
            assert whole(got.text, got.tokens), got
        else:
            assert "".join(f"w{i} " for i in range(got.tokens)).startswith(got.text.split("~")[0])


@then(parsers.parse("at least {served:d} of {n:d} callers are served"))
def served(ctx: Context, served: int, n: int) -> None:
    assert len(ctx.answers) == n
    assert sum(got.ended for got in ctx.answers) >= served, ctx.answers


@when("a caller reads a stream and its entry is killed half-way")
def killed_half_way(cluster: Cluster, ctx: Context) -> None:
    with open_stream(cluster, "entry-1", 60) as got:
        ctx.stream_token = got.headers["ramppost-stream"]
        ctx.request_id = got.headers["x-request-id"]
        read_events(got, ctx, 15)
        cluster.kill("entry-1")
    assert not ctx.ended


@when("the caller reads on through the other entry from the last event it has seen")
def reads_on(cluster: Cluster, ctx: Context) -> None:
    head = {"ramppost-stream": ctx.stream_token, "last-event-id": ctx.last_event}
    with open_stream(cluster, "entry-2", 60, **head) as got:
        assert got.status_code == 200, got.read()
        read_events(got, ctx)


@then("the pieces make one whole answer")
def one_whole(ctx: Context) -> None:
    assert ctx.ended and whole(ctx.text, 60), ctx.text


@then("the engine ran it once")
def ran_once(cluster: Cluster, ctx: Context) -> None:
    assert len([line for line in runs(cluster) if line["request_id"] == ctx.request_id]) == 1


@when("a caller reads on with the stream token of another workspace")
def foreign_token(cluster: Cluster, ctx: Context) -> None:
    with open_stream(cluster, "entry-1", 5) as got:
        token = got.headers["ramppost-stream"]
        got.read()
    got = cluster.chat("entry-2", token="toll-dev", ramppost_stream=token, stream=True)
    ctx.reply = told("", got)


@then(parsers.parse('it is refused with "{code}" and ran "{ran}"'))
def refused(ctx: Context, code: str, ran: str) -> None:
    assert ctx.reply is not None
    assert (ctx.reply.code, ctx.reply.ran) == (code, ran)
