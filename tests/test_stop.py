"""Planned stops of processes, and upstreams that leave."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator

from pytest_bdd import given, parsers, scenarios, then, when

from tests.harness.balanced import Load
from tests.harness.cluster import Cluster
from tests.harness.oracle import (
    Told,
    charged,
    told_stream,
    wait_bills,
    whole,
)

scenarios("features/stop.feature")

STREAM_TOKENS = 200
LEAVE_TIMEOUT_S = 5.0
OBSERVATION_S = 3.0


class Streams:
    """Reads long streamed answers through both entries."""

    def __init__(self, cluster: Cluster, count: int) -> None:
        self.cluster = cluster
        self.replies: list[Told] = []
        self.code: int | None = None
        self.threads = [
            threading.Thread(target=self._read, args=(cluster.entry_names[i % 2], f"question {i}"))
            for i in range(count)
        ]
        for thread in self.threads:
            thread.start()

    def _read(self, entry: str, content: str) -> None:
        got = self.cluster.chat(entry, tokens=STREAM_TOKENS, stream=True, content=content)
        self.replies.append(told_stream("", got))


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
    assert len(streams.replies) == n
    for reply in streams.replies:
        assert reply.served and whole(reply.text, STREAM_TOKENS), reply


@then(parsers.parse("all {n:d} requests are billed"))
def all_billed(cluster: Cluster, streams: Streams, n: int) -> None:
    ids = {reply.request_id for reply in streams.replies}
    bills = wait_bills(cluster, ids)
    assert len(ids) == n and all(charged(bills, i) == 1 for i in ids)


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
    time.sleep(LEAVE_TIMEOUT_S + OBSERVATION_S)
    log = cluster.http.get(cluster.internal("engine-1") + "/_log").json()
    cluster.http.post(
        cluster.internal("platform") + "/_boxes", json=cluster.fleet.platform["boxes"]
    )
    assert log and max(line["at"] for line in log) < left + LEAVE_TIMEOUT_S


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
    counts, bills = load.judged()
    for key, request_id in load.keys.items():
        assert counts[key] == 1 and charged(bills, request_id) == 1
