"""A gateway as a real process, between callers, a store and upstreams."""

from __future__ import annotations

import json
import signal
import threading
import time
from collections.abc import Iterator
from typing import Any

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from ramppost import clock
from ramppost.platform import names
from tests.harness.gateways import KEYS, ONCE, OPEN, SAFE, STREAM, Deployment, Given, config, route
from tests.harness.proxy import Proxy

scenarios("features/gateway.feature")

ENGINES = ("lm-1", "lm-2")
SERVICES = ("web-1", "web-2")
GATEWAY = "gateway-1"
OTHER = "gateway-2"


@pytest.fixture
def site(tmp_path: Any) -> Iterator[Deployment]:
    found = Deployment(tmp_path, gateways=1)
    yield found
    found.stop()


class Seen:
    """What a scenario has done: runs before it, answers, time they took."""

    def __init__(self, site: Deployment) -> None:
        self.site = site
        self.before = {name: len(site.runs(name)) for name in (*ENGINES, *SERVICES)}
        self.answers: list[Given] = []
        self.took_s = 0.0
        self.code: int | None = None

    def runs(self, *upstreams: str) -> list[dict[str, Any]]:
        """Runs since the scenario began."""
        found = []
        for name in upstreams or (*ENGINES, *SERVICES):
            found += self.site.runs(name)[self.before[name] :]
        return sorted(found, key=lambda run: run["at"])

    def ask(self, prefix: str, **more: Any) -> None:
        """Make a request and keep its answer."""
        began = clock.now()
        self.answers.append(self.site.call(GATEWAY, prefix, **more))
        self.took_s = clock.now() - began


@given("a deployment", target_fixture="seen")
def deployment(site: Deployment) -> Seen:
    return Seen(site)


@given("engines that are not confident")
def not_confident(seen: Seen) -> None:
    for name in ENGINES:
        seen.site.behave(name, confidence=10)


@given(parsers.parse("an engine that breaks off after {n:d} events"))
def breaks_off(seen: Seen, n: int) -> None:
    seen.site.behave("lm-1", cut_after=n)


@given("an engine that refuses")
def refuses(seen: Seen) -> None:
    seen.site.behave("lm-1", refuse=True)


@given("services that answer with 500")
def failing(seen: Seen) -> None:
    for name in SERVICES:
        seen.site.behave(name, status=500)


@given("a service that answers with 500")
def one_failing(seen: Seen) -> None:
    seen.site.behave("web-1", status=500)


@given("services that stay silent")
def silent(seen: Seen) -> None:
    for name in SERVICES:
        seen.site.behave(name, hang=True)


@given(parsers.parse("services that take {ms:d} ms"))
def slow_services(seen: Seen, ms: int) -> None:
    for name in SERVICES:
        seen.site.behave(name, work_ms=ms)


@given("engines that stream slowly")
def slow(seen: Seen) -> None:
    for name in ENGINES:
        seen.site.behave(name, events=120)


@given("a gateway that the store does not answer")
def cut_off(seen: Seen) -> None:
    seen.site.fault("store", mode="frozen")


@given("another gateway, and the first one cut from the store")
def other_gateway(seen: Seen) -> None:
    cut = Proxy(f"127.0.0.1:{seen.site.port('store')}")
    seen.site.restart_gateway(GATEWAY, cut.addr)
    seen.site.start_gateway(OTHER)
    seen.site.wait_ready(GATEWAY)
    seen.site.wait_ready(OTHER)
    seen.site.until(lambda: seen.site.peers_known(GATEWAY) and seen.site.peers_known(OTHER), 12)
    cut.set("freeze")


@given("another gateway, and a store that answers nobody")
def outage_for_all(seen: Seen) -> None:
    seen.site.restart_gateway(GATEWAY, "")
    seen.site.start_gateway(OTHER)
    seen.site.wait_ready(OTHER)
    seen.site.until(lambda: seen.site.peers_known(GATEWAY) and seen.site.peers_known(OTHER), 12)
    seen.site.fault("store", mode="frozen")


@given("a gateway that serves on by the last known keys")
def lenient(seen: Seen) -> None:
    seen.site.timing["unconfirmed_keys"] = "serve"
    seen.site.restart_gateway(GATEWAY, "")
    seen.site.wait_ready(GATEWAY)
    seen.site.wait_members()


@given(parsers.parse("a store that {does} nobody"))
def store_away(seen: Seen, does: str) -> None:
    seen.site.fault("store", mode={"answers": "frozen", "serves": "down"}[does])


@when("the store is back and a key is taken away")
def back_without_key(seen: Seen) -> None:
    seen.site.fault("store", mode="none")
    seen.site.configure(config(2, {"kitchen": KEYS["kitchen"]}))


@then(parsers.parse("that key is refused within {n:d} seconds"))
def key_refused(seen: Seen, n: int) -> None:
    seen.site.until(
        lambda: seen.site.call(GATEWAY, SAFE, key=KEYS["toll"]).status == 401, n, "the withdrawal"
    )


@then("a keyed request is served")
def keyed_served(seen: Seen) -> None:
    for prefix in (ONCE, STREAM):
        assert seen.site.call(GATEWAY, prefix).status == 200, prefix


@then("an unknown key is refused as not run")
def unknown_refused(seen: Seen) -> None:
    got = seen.site.call(GATEWAY, ONCE, key="unknown")
    assert (got.status, json.loads(got.body)["error"]["ran"]) == (503, "no")


@then("the gateway wants callers")
def wants(seen: Seen) -> None:
    assert seen.site.ready(GATEWAY)


@then("it tells how old the keys are that it serves by")
def tells_age(seen: Seen) -> None:
    line = [line for line in seen.site.lines(GATEWAY) if line["message"] == "served"][-1]
    assert line["config_age_s"] > 2
    url = seen.site.metrics_url(GATEWAY)
    assert "ramppost_requests_on_unconfirmed_keys_total 2" in seen.site.http.get(url).text


@when(parsers.parse("a key is taken away and {n:d} seconds have passed"))
def revoked(seen: Seen, n: int) -> None:
    seen.site.configure(config(2, {"kitchen": KEYS["kitchen"]}))
    time.sleep(n)


@then("a keyed request is served by both")
def served_by_both(seen: Seen) -> None:
    for name in (GATEWAY, OTHER):
        assert seen.site.call(name, SAFE).status == 200, name


@then("that key is refused by both")
def refused_by_both(seen: Seen) -> None:
    for name in (GATEWAY, OTHER):
        assert seen.site.call(name, SAFE, key=KEYS["toll"]).status == 401, name


@then("both want callers")
def both_ready(seen: Seen) -> None:
    assert seen.site.ready(GATEWAY) and seen.site.ready(OTHER)


@when(parsers.parse("{n:d} seconds have passed"))
def passed(n: int) -> None:
    time.sleep(n)


@when("a caller makes a call that may run once")
def once(seen: Seen) -> None:
    seen.ask(ONCE, attempt="a1b2", headers={names.WORKSPACE.decode(): "forged"})


@when(parsers.parse("a caller makes a call that may run once, with {ms:d} ms"))
def once_with(seen: Seen, ms: int) -> None:
    seen.ask(ONCE, deadline_ms=ms)


@when(parsers.parse("a caller asks {what}"))
def asks(seen: Seen, what: str) -> None:
    if what == "for a stream":
        seen.ask(STREAM)
    elif what == "an unknown path":
        seen.ask("/nowhere/")
    elif what == "with an unknown key":
        seen.ask(ONCE, key="unknown")
    elif what == "without a key":
        seen.ask(ONCE, key="")
    else:
        seen.ask(ONCE, body=b"x" * 300000)


@when("a caller without a key asks an open route")
def open_route(seen: Seen) -> None:
    seen.ask(OPEN, key="")


@when(parsers.parse("callers ask for {n:d} streams"))
def streams(seen: Seen, n: int) -> None:
    for i in range(n):
        seen.ask(STREAM, headers={names.PROMPT_PARTS.decode(): f"{i}:60,own{i}:40"})


@when(parsers.parse("callers make {n:d} calls that may repeat"))
def calls(seen: Seen, n: int) -> None:
    for _ in range(n):
        seen.ask(SAFE)


@when("a caller makes a call that may repeat")
def safe_call(seen: Seen) -> None:
    seen.ask(SAFE)


@when("a caller leaves within a stream")
def leaves(seen: Seen) -> None:
    head = {
        "Host": "site.example",
        names.API_KEY.decode(): KEYS["kitchen"],
        names.TOKEN_COUNTS.decode(): "100,40",
        names.MODEL.decode(): "*",
        names.ATTEMPT_ID.decode(): "leaver",
        names.DEADLINE_MS.decode(): "4000",
    }
    url = f"{seen.site.url(GATEWAY)}{STREAM}x"
    with seen.site.http.stream("POST", url, headers=head, content=b"q") as answer:
        next(answer.iter_raw())


@when("a route is added")
def added(seen: Seen) -> None:
    seen.site.configure(config(2, routes=[route("new", "/new/", "idempotent", "web")]))


@when("the store forgets its history and a route is added")
def forgets(seen: Seen) -> None:
    added(seen)
    seen.site.http.post(f"{seen.site.store}/_forget")


@when("an engine says that it is leaving")
def leaving(seen: Seen) -> None:
    seen.site.http.post(f"{seen.site.url('lm-1')}/_leave")
    time.sleep(1)


@when(parsers.parse("a gateway is asked to stop under {n:d} streams"))
def stops(seen: Seen, n: int) -> None:
    threads = [threading.Thread(target=seen.ask, args=(STREAM,)) for _ in range(n)]
    for thread in threads:
        thread.start()
    time.sleep(0.4)
    seen.site.signal(GATEWAY, signal.SIGTERM)
    time.sleep(0.2)
    assert not seen.site.ready(GATEWAY)
    for thread in threads:
        thread.join()
    seen.code = seen.site.wait_end(GATEWAY)


@when("a gateway's settings are changed and it is told")
def reloads(seen: Seen) -> None:
    path = seen.site.folder / f"{GATEWAY}.json"
    cfg = json.loads(path.read_text())
    cfg["timing"]["withdrawal_ms"] = 3000
    path.write_text("// changed\n" + json.dumps(cfg))
    seen.site.signal(GATEWAY, signal.SIGHUP)


@then("it is served")
def served(seen: Seen) -> None:
    assert seen.answers[-1].status == 200, seen.answers[-1]
    assert b"nonce" in seen.answers[-1].body


@then("all are served")
def all_served(seen: Seen) -> None:
    assert {answer.status for answer in seen.answers} == {200}


@then("it is served whole")
@then("all are served whole")
def served_whole(seen: Seen) -> None:
    assert seen.answers
    for answer in seen.answers:
        assert answer.status == 200, answer
        assert answer.events == list(range(1, len(answer.events) + 1))
        assert len(answer.events) in (5, 120)


@then("its upstream saw the method, path, body and workspace, and no key")
def saw(seen: Seen) -> None:
    (run,) = seen.runs()
    assert run["target"] == "POST /once/x/2f"
    assert run["body"] == "question"
    assert run["workspace"] == "kitchen"
    assert not run["key_seen"]
    assert 0 < run["left_ms"] <= 4000


@then(parsers.parse("it is refused with {status:d}"))
def refused(seen: Seen, status: int) -> None:
    assert seen.answers[-1].status == status
    assert "error" in json.loads(seen.answers[-1].body)


@then("no upstream saw it")
def unseen(seen: Seen) -> None:
    assert seen.runs() == []


@then(parsers.parse("the models asked were {models}"))
def models(seen: Seen, models: str) -> None:
    assert [run["model"] for run in seen.runs(*ENGINES)] == models.split(", ")


@then("the engine that broke off was asked")
def was_asked(seen: Seen) -> None:
    assert seen.runs("lm-1")


@then("the upstream's 500 is passed on")
def passed_on(seen: Seen) -> None:
    assert seen.answers[-1].status == 500
    assert names.SIGNATURE.decode() in seen.answers[-1].headers


@then("it ran once")
def ran_once(seen: Seen) -> None:
    assert len(seen.runs()) == 1


@then(parsers.parse("it is answered with {status:d} within {ms:d} ms"))
def answered_in_time(seen: Seen, status: int, ms: int) -> None:
    assert seen.answers[-1].status == status
    assert seen.took_s < ms / 1000
    assert "retry-after" not in seen.answers[-1].headers


@then(parsers.parse("its run is cut within {ms:d} ms"))
def cut(seen: Seen, ms: int) -> None:
    seen.site.until(lambda: seen.runs()[-1]["state"] == "cut", ms / 1000)


@then("a keyed request is refused as not run")
def keyed_refused(seen: Seen) -> None:
    seen.ask(ONCE)
    assert seen.answers[-1].status == 503
    assert float(seen.answers[-1].headers["retry-after"]) > 0
    assert json.loads(seen.answers[-1].body)["error"]["ran"] == "no"
    assert seen.runs() == []


@then("an open route still works")
def still_open(seen: Seen) -> None:
    seen.ask(OPEN, key="")
    assert seen.answers[-1].status == 200


@then("the gateway does not want callers")
def unready(seen: Seen) -> None:
    assert not seen.site.ready(GATEWAY)


@then(parsers.parse("it is served within {n:d} seconds"))
def in_force(seen: Seen, n: int) -> None:
    seen.site.until(lambda: seen.site.call(GATEWAY, "/new/").status == 200, n)


@then(parsers.parse("it gets nothing after {n:d} seconds"))
def nothing(seen: Seen, n: int) -> None:
    before = len(seen.site.runs("lm-1"))
    for i in range(10):
        seen.ask(STREAM, headers={names.PROMPT_PARTS.decode(): f"{i}:60,own{i}:40"})
    assert len(seen.site.runs("lm-1")) == before
    served_whole(seen)


@then("it has ended well")
def ended_well(seen: Seen) -> None:
    assert seen.code == 0
    assert seen.site.lines(GATEWAY)[-1]["message"] == "stopped"


@then("it says what changed")
def says(seen: Seen) -> None:
    def told() -> bool:
        lines = seen.site.lines(GATEWAY)
        return any(line.get("changed") == ["timing"] for line in lines)

    seen.site.until(told, 2)


@then("its log lines lead from its id to its upstream")
def traced(seen: Seen) -> None:
    def lines_of() -> list[dict[str, Any]]:
        return [line for line in seen.site.lines(GATEWAY) if line.get("request") == "a1b2"]

    # The last line is written after the caller has its answer.
    seen.site.until(lambda: len(lines_of()) == 2, 2, "the last line")
    lines = lines_of()
    assert [line["message"] for line in lines] == ["attempt 1: status 200", "served"]
    assert lines[0]["upstream"].startswith("i-web")
    assert lines[0]["report_age_s"] >= 0


@then("the metrics count it")
def counted(seen: Seen) -> None:
    url = seen.site.metrics_url(GATEWAY)
    text = seen.site.http.get(url).text
    assert 'ramppost_requests_total{outcome="served",route="once"} 1' in text
    assert "ramppost_request_seconds_bucket" in text
