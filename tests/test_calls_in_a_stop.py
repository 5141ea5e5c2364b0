"""Calls that reach a gateway during its planned stop, on which other machines are calm."""

from __future__ import annotations

import itertools
import signal
import socket
import threading
import time
from pathlib import Path
from typing import NamedTuple

import pytest

from ramppost.policy.call_times import MARGIN
from tests.harness.gateways import Deployment, Given, route
from tests.harness.raw_site import raw_site
from tests.harness.scripted import Script, own_lines, read_request

GATEWAY = "gateway-1"
PREFIX = "/raw/"
STOP_S = 6
INTERVAL_S = 0.1
STOP_MARGIN_S = 0.7
FULL_STOP_S = 2.5
"""Until then, the load balancer may still send callers."""


class Ended(NamedTuple):
    """A call: when it was made since the stop began, in seconds, its status, and whether it ran."""

    at_s: float
    status: int
    ran: bool


def working(ran: set[str], work_s: float, per_connection: int) -> Script:
    """Answers so many requests of a connection, and is silent to the next."""

    def script(conn: socket.socket, number: int) -> None:
        for answered in itertools.count():
            if not (head := read_request(conn)):
                return
            ran.add(own_lines(head).partition(b"\r\n")[0].partition(b": ")[2].decode())
            if answered == per_connection:
                time.sleep(STOP_S)
                return
            time.sleep(work_s)
            ok = b"HTTP/1.1 200 OK\r\n" + own_lines(head) + b"Content-Length: 2\r\n\r\nok"
            conn.sendall(ok)

    return script


def calls_in_a_stop(site: Deployment, ran: set[str], known: bool) -> list[Ended]:
    """Calls on connections of their own until the gateway is gone."""
    ended: list[Ended] = []

    def call(attempt: str, at_s: float) -> None:
        got = site.call(GATEWAY, PREFIX, attempt=attempt)
        ended.append(Ended(at_s, got.status, attempt in ran))

    if known:
        call("0" * 16, -1.0)
    site.signal(GATEWAY, signal.SIGTERM)
    began_at = time.monotonic()
    threads = []
    while site.procs[GATEWAY].poll() is None:
        at_s = time.monotonic() - began_at
        threads.append(threading.Thread(target=call, args=(f"{len(threads):016x}", at_s)))
        threads[-1].start()
        time.sleep(INTERVAL_S)
    assert time.monotonic() - began_at < STOP_S
    for thread in threads:
        thread.join()
    return sorted(ended)


@pytest.mark.parametrize("kind", ["non_idempotent", "idempotent"])
@pytest.mark.parametrize(
    ("work_s", "known", "per_connection"),
    [(2.0, False, 99), (2.0, True, 99), (3.0, True, 99), (0.5, True, 1)],
)
def test_planned_stop_cut_calls_that_it_had_taken(
    tmp_path: Path, kind: str, work_s: float, known: bool, per_connection: int
) -> None:
    """They were taken until 1.5 s before the end, however long they take, and cut there."""
    ran: set[str] = set()
    routes = [route("raw", PREFIX, kind, "raw", max_attempts=1)]
    script = working(ran, work_s, per_connection)
    with raw_site(tmp_path, routes, script, stop_s=STOP_S) as site:
        ended = calls_in_a_stop(site, ran, known)
    assert [call for call in ended if call.ran and call.status <= 0] == []
    assert [call for call in ended if call.ran and call.status == 503] == []
    if known and per_connection > 1:
        assert [call for call in ended if call.ran and call.status != 200] == []


@pytest.mark.parametrize("work_s", [0.05, 1.4])
def test_planned_stop_refuses_no_call_that_it_can_answer(tmp_path: Path, work_s: float) -> None:
    ran: set[str] = set()
    routes = [route("raw", PREFIX, "non_idempotent", "raw", max_attempts=1, timeout_ms=30_000)]
    with raw_site(tmp_path, routes, working(ran, work_s, 99), stop_s=STOP_S) as site:
        ended = calls_in_a_stop(site, ran, known=True)
    fits_until_s = min(FULL_STOP_S, STOP_S - STOP_MARGIN_S - 2 * MARGIN * work_s) - INTERVAL_S
    early = [call for call in ended if call.at_s < fits_until_s]
    assert early
    assert [call for call in early if call.status != 200] == []


def test_call_under_way_at_the_end_of_a_stop_was_cut(tmp_path: Path) -> None:
    """Its caller is told what is known: that it may have run."""
    ran: set[str] = set()
    limits = {"max_attempts": 1, "timeout_ms": 30_000}
    routes = [route("raw", PREFIX, "non_idempotent", "raw", **limits)]
    found: list[Given] = []
    with raw_site(tmp_path, routes, working(ran, 2 * STOP_S, 1), stop_s=STOP_S) as site:

        def call() -> None:
            found.append(site.call(GATEWAY, PREFIX, attempt="a" * 16, deadline_ms=20_000))

        calling = threading.Thread(target=call)
        calling.start()
        site.until(lambda: bool(ran), 2.0, "a run")
        site.signal(GATEWAY, signal.SIGTERM)
        calling.join()
        assert site.wait_end(GATEWAY, STOP_S) == 0
    assert [got.status for got in found] == [502]
    assert b'"ran":"unknown"' in found[0].body.replace(b" ", b"")
