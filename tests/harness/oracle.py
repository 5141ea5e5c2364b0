"""The judge: what the upstreams ran, what the ledger holds, what callers were told."""

from __future__ import annotations

import json
import time
from typing import Any, NamedTuple

import httpx

from ramppost import clock
from ramppost.policy.bills import billable_lines
from tests.harness.cluster import Cluster

SETTLE_S = 15.0


class Told(NamedTuple):
    """What a caller was told of a request."""

    key: str
    status: int
    code: str
    ran: str
    text: str
    request_id: str
    model: str

    @property
    def served(self) -> bool:
        """Whether it was a whole answer."""
        return self.status == 200


def told(key: str, got: httpx.Response) -> Told:
    """Read an answer or refusal."""
    body = got.json()
    if got.status_code != 200:
        error = body["error"]
        request_id = got.headers.get("x-request-id", "")
        return Told(key, got.status_code, error["code"], error["ran"], "", request_id, "")
    text = body["choices"][0]["message"]["content"] if "choices" in body else str(body)
    request_id = got.headers.get("x-request-id", "")
    return Told(key, 200, "", "yes", text, request_id, body.get("model", ""))


def told_stream(key: str, got: httpx.Response) -> Told:
    """Read a stream that has ended; one without `[DONE]` is not a whole answer."""
    if got.status_code != 200:
        return told(key, got)
    request_id, model = got.headers["x-request-id"], got.headers["ramppost-model"]
    events = [line[6:] for line in got.text.splitlines() if line.startswith("data: ")]
    pieces = [json.loads(event) for event in events if event != "[DONE]"]
    error = next((piece["error"] for piece in pieces if "error" in piece), None)
    if error is not None:
        return Told(key, 502, error["code"], error["ran"], "", request_id, model)
    text = "".join(p["choices"][0]["delta"].get("content", "") for p in pieces)
    ended = events[-1:] == ["[DONE]"]
    return Told(key, 200 if ended else 0, "", "yes", text, request_id, model)


def runs(cluster: Cluster) -> list[dict[str, Any]]:
    """Everything the upstreams ran, as they tell it."""
    lines = []
    for name in [*cluster.fleet.engines, *cluster.fleet.services]:
        lines += cluster.http.get(cluster.internal(name) + "/_log").json()
    return lines


def runs_of(cluster: Cluster, key: str) -> list[dict[str, Any]]:
    """Runs of a caller's key."""
    return [line for line in runs(cluster) if line["idempotency_key"] == key]


def ledger(cluster: Cluster) -> dict[str, dict[str, Any]]:
    """Bills by request id: lines by attempt."""
    bills: dict[str, dict[str, Any]] = {}
    after = ""
    while True:
        page = cluster.http.get(
            f"{cluster.platform}/objects", params={"prefix": "ledger/", "after": after}
        ).json()
        if not page["items"]:
            return bills
        for item in page["items"]:
            after = item["key"]
            for line in item["value"]["lines"]:
                bills.setdefault(line["request_id"], {})[line["attempt"]] = line


def charged(bills: dict[str, dict[str, Any]], request_id: str) -> int:
    """How many lines of a request's bill count."""
    return len(billable_lines(bills.get(request_id, {}).values()))


def wait_bills(cluster: Cluster, request_ids: set[str]) -> dict[str, dict[str, Any]]:
    """The ledger once it has these requests, or after a while as it is."""
    deadline = clock.now() + SETTLE_S
    while True:
        bills = ledger(cluster)
        if request_ids <= set(bills) or clock.now() > deadline:
            return bills
        time.sleep(0.1)


def wait_runs_over(cluster: Cluster) -> None:
    """Wait until no upstream runs anything."""
    deadline = clock.now() + SETTLE_S
    while clock.now() < deadline:
        if all(line["state"] != "running" for line in runs(cluster)):
            return
        time.sleep(0.1)


def expected_text(tokens: int) -> list[str]:
    """The beginning of every answer of so many tokens."""
    return [f"w{i} " for i in range(tokens - 1)]


def whole(text: str, tokens: int) -> bool:
    """Whether a text is a whole answer of so many tokens, nothing twice, nothing missing."""
    head = "".join(expected_text(tokens))
    return text.startswith(head + "~q") and len(text) == len(head) + len("~q0.000")
