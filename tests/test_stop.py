"""Planned stops and leaving upstreams."""

from __future__ import annotations

import threading
import time
import uuid
from collections.abc import Iterator

import httpx
from pytest_bdd import given, parsers, scenarios, then, when

from tests.harness.cluster import Cluster
from tests.harness.oracle import (
    Told,
    charged,
    runs,
    told,
    told_stream,
    wait_bills,
    wait_runs_over,
    whole,
)

scenarios("features/stop.feature")

STREAM_TOKENS = 200
TOKENS = 6
CALLERS = 6
TRIES = 60
PAUSE_S = 0.25
LEAVING_S = 5.0
WATCHED_S = 3.0


class Streams:
    """Long answers under way through both entries."""

    def __init__(self, cluster: Cluster, count: int) -> None:
        self.cluster = cluster
        self.told: list[Told] = []
        self.code: int | None = None
        self.threads = [
            threading.Thread(target=self._read, args=(cluster.entry_names[i % 2], f"question {i}"))
            for i in range(count)
        ]
        for thread in self.threads:
            thread.start()

    def _read(self, entry: str, content: str) -> None:
        got = self.cluster.chat(entry, tokens=STREAM_TOKENS, stream=True, content=content)
        self.told.append(told_stream("", got))


@given(parsers.parse("a small fleet with {n:d} long streams under way"), target_fixture="streams")
def under_way(cluster: Cluster, n: int) -> Streams:
    streams = Streams(cluster, n)
    time.sleep(0.4)
    return streams


@when(parsers.parse('"{name}" is asked to stop'))
def asked_to_stop(cluster: Cluster, streams: Streams, name: str) -> None:
    streams.code = cluster.stop_planned(name)


@then(parsers.parse("it ends with exit code {code:d}"))
def exit_code(streams: Streams, code: int) -> None:
    assert streams.code == code
    for thread in streams.threads:
        thread.join()


@then(parsers.parse("all {n:d} streams are whole"))
def all_whole(streams: Streams, n: int) -> None:
    assert len(streams.told) == n
    for word in streams.told:
        assert word.served and whole(word.text, STREAM_TOKENS), word


@then(parsers.parse("all {n:d} requests are billed"))
def all_billed(cluster: Cluster, streams: Streams, n: int) -> None:
    ids = {word.request_id for word in streams.told}
    bills = wait_bills(cluster, ids)
    assert len(ids) == n and all(charged(bills, i) == 1 for i in ids)


class Load:
    """Callers who follow Retry-After, through whichever entry answers, as a balancer picks."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.on = True
        self.failed: list[str] = []
        self.keys: dict[str, str] = {}
        self.served = 0
        self.threads = [threading.Thread(target=self._call, args=(i,)) for i in range(CALLERS)]
        for thread in self.threads:
            thread.start()

    def _call(self, number: int) -> None:
        while self.on:
            key = f"key-{uuid.uuid4()}" if number % 2 else ""
            self._until_final(key, number)

    def _until_final(self, key: str, number: int) -> None:
        last = ""
        for turn in range(TRIES):
            entry = self.cluster.entry_names[(number + turn) % 2]
            try:
                got = self.cluster.chat(entry, key, TOKENS, timeout=20)
            except httpx.TransportError as exc:
                last = repr(exc)
                time.sleep(PAUSE_S)
                continue
            word = told(key, got)
            if word.served and whole(word.text, TOKENS):
                self.served += 1
                if key:
                    self.keys[key] = word.request_id
                return
            last = f"{word.code} ran={word.ran}"
            if "retry-after" not in got.headers:
                break
            time.sleep(min(1.0, float(got.headers["retry-after"])))
        self.failed.append(last)

    def stop(self) -> None:
        self.on = False
        for thread in self.threads:
            thread.join()


@given("a small fleet under a load of keyed and plain requests", target_fixture="load")
def loaded(cluster: Cluster) -> Iterator[Load]:
    load = Load(cluster)
    time.sleep(0.3)
    yield load
    load.stop()


@when(parsers.parse('agent-1 leaves by "{word}"'))
def leaves(cluster: Cluster, load: Load, word: str) -> None:
    if word == "the box list":
        boxes = [dict(box) for box in cluster.fleet.platform["boxes"]]
        for box in boxes:
            box["state"] = "leaving" if box["name"] == "agent-1" else "live"
        cluster.http.post(cluster.internal("platform") + "/_boxes", json=boxes)
    else:
        assert cluster.stop_planned("agent-1") == 0


@then("after 5 seconds its engine begins nothing new")
def nothing_new(cluster: Cluster, load: Load) -> None:
    left = time.time()
    time.sleep(LEAVING_S + WATCHED_S)
    log = cluster.http.get(cluster.internal("engine-1") + "/_log").json()
    cluster.http.post(
        cluster.internal("platform") + "/_boxes", json=cluster.fleet.platform["boxes"]
    )
    assert log and max(line["at"] for line in log) < left + LEAVING_S


@when("every entry and agent is restarted by planned stops in turn")
def rolling(cluster: Cluster, load: Load) -> None:
    for name in [*cluster.fleet.entries, *cluster.fleet.agents]:
        assert cluster.stop_planned(name) == 0
        cluster.spawn(name)
        cluster.wait_ready()


@then("no request failed")
def none_failed(load: Load) -> None:
    load.stop()
    assert load.served > 0 and load.failed == []


@then("each key ran once and was billed once")
def keys_once(cluster: Cluster, load: Load) -> None:
    wait_runs_over(cluster)
    bills = wait_bills(cluster, set(load.keys.values()))
    counts: dict[str, int] = {}
    for line in runs(cluster):
        counts[line["idempotency_key"]] = counts.get(line["idempotency_key"], 0) + 1
    for key, request_id in load.keys.items():
        assert counts[key] == 1 and charged(bills, request_id) == 1
