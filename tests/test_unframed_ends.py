"""An upstream that crashes during a response without Content-Length or chunked framing.

Such a response ends when its connection is closed, which a crash of the upstream does as well.  A
cut response was therefore taken for a complete one and for evidence that the request is harmless,
so upstream after upstream crashed on the request at all gateways.  Whether the upstream still
accepts connections decides between the two.
"""

from __future__ import annotations

import signal
import socket
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from ramppost import clock
from tests.harness.gateways import KEYS, STREAM, Deployment, Given, config, route
from tests.harness.scripted import Peer, own_lines, read_request

RAW_PREFIX = "/raw/"
EndConnection = Callable[[Peer, socket.socket, bytes], None]
"""What an upstream does with the connection after it has read the request, given the head of its
answer without the framing."""
OK = b"HTTP/1.1 200 OK\r\n"
UNFRAMED = b"\r\n"
FRAMED = b"Content-Length: 1000\r\n\r\n"
PROPAGATION_S = 1.0
READY_TIMEOUT_S = 5.0
ENGINES = ("lm-1", "lm-2")
EVENTS = 8
EVENT_MS = 100
PIECES = 16
PIECE_INTERVAL_S = 0.2


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Deployment]:
    found = Deployment(tmp_path, gateways=2, engines=1, services=1)
    routes = [route("raw", RAW_PREFIX, "idempotent", "raw", max_attempts=1)]
    doc = config(2, routes=routes)
    doc["services"].append({"name": "raw", "max_conns": 100})
    found.configure(doc)
    yield found
    found.stop()


def send_request(site: Deployment, gateway: str) -> bytes:
    """Send the request and return the response, retrying while the gateway is not ready.

    After this machine had stalled for 2.8 s, the gateway replied that its state was outdated
    instead of handling the request.
    """
    until = clock.now() + READY_TIMEOUT_S
    while True:
        got = site.call(gateway, RAW_PREFIX, KEYS["kitchen"], body=b"ends whoever runs it").body
        if b'"not_ready"' not in got or clock.now() > until:
            return got
        time.sleep(0.1)


def send_to_single_upstream(
    site: Deployment, number: int, ran: list[int], end: EndConnection
) -> bytes:
    """Send the request while a single upstream is available; return the response.

    The upstream applies `end` to the request, and appends its number to `ran` if it got one.
    """

    def serve_and_end(conn: socket.socket, _: int) -> None:
        if request := read_request(conn):
            ran.append(number)
            end(peer, conn, OK + own_lines(request))

    name = f"raw-{number}"
    peer = Peer(serve_and_end)
    site.put_entry(name, "raw", peer.addr)
    time.sleep(PROPAGATION_S)
    got = send_request(site, site.gateways[number % 2])
    time.sleep(PROPAGATION_S)
    site.remove_entry(name)
    peer.close()
    return got


def send_to_each_upstream(site: Deployment, ran: list[int], end: EndConnection) -> bytes:
    """Send the request to four upstreams in turn and return the last response."""
    return [send_to_single_upstream(site, number, ran, end) for number in range(4)][-1]


def test_crash_during_unframed_response_is_detected(site: Deployment) -> None:
    """Three single upstreams crash during their responses; a fourth gets no request."""
    ran: list[int] = []

    def end(peer: Peer, conn: socket.socket, head: bytes) -> None:
        peer.close()
        conn.sendall(head + UNFRAMED + b"begun")
        conn.close()

    got = send_to_each_upstream(site, ran, end)
    assert b'"fatal_request"' in got
    assert len(ran) == 3


def test_complete_unframed_response_is_no_crash(site: Deployment) -> None:
    """The upstream closes each connection to end its response and keeps running."""

    def serve_whole(conn: socket.socket, _: int) -> None:
        if request := read_request(conn):
            conn.sendall(OK + own_lines(request) + UNFRAMED + b"whole")
        conn.close()

    peer = Peer(serve_whole)
    site.put_entry("raw-0", "raw", peer.addr)
    time.sleep(PROPAGATION_S)
    for number in range(8):
        assert send_request(site, site.gateways[number % 2]) == b"whole"
    assert not [
        line
        for name in site.gateways
        for line in site.lines(name)
        if line["message"] == "upstream ended under a request"
    ]
    peer.close()


@pytest.fixture
def engines(tmp_path: Path) -> Iterator[Deployment]:
    found = Deployment(tmp_path, gateways=1, engines=2, services=1)
    for name in ENGINES:
        found.behave(name, unframed=True, events=EVENTS, event_ms=EVENT_MS)
    yield found
    found.stop()


def test_unframed_stream_is_complete_at_its_end(engines: Deployment) -> None:
    """Neither engine is suspected of anything, and none is asked twice."""
    for _ in range(4):
        got = engines.call("gateway-1", STREAM)
        assert (got.status, got.events) == (200, list(range(1, EVENTS + 1)))
    assert len(engines.runs(*ENGINES)) == 4 + 1, "and one as the harness waited"


def test_unframed_stream_torn_within_an_event_is_resumed(engines: Deployment) -> None:
    engines.behave(ENGINES[0], unframed=True, events=EVENTS, cut_after=2)
    for _ in range(4):
        got = engines.call("gateway-1", STREAM)
        assert (got.status, got.events) == (200, list(range(1, EVENTS + 1)))


def test_unframed_stream_cut_between_events_looked_complete(engines: Deployment) -> None:
    """The crash of its engine closes the connection just as the end of the stream would."""
    got: list[Given] = []
    caller = threading.Thread(target=lambda: got.append(engines.call("gateway-1", STREAM)))
    caller.start()
    time.sleep(EVENTS * EVENT_MS / 2000)
    running = [
        name for name in ENGINES if any(run["state"] == "running" for run in engines.runs(name))
    ]
    engines.signal(running[0], signal.SIGKILL)
    caller.join()
    assert (got[0].status, got[0].events) == (200, list(range(1, EVENTS + 1)))


@pytest.mark.parametrize("framing", [UNFRAMED, FRAMED], ids=["unframed", "framed"])
def test_long_run_before_crash_is_not_fatal(site: Deployment, framing: bytes) -> None:
    """Three upstreams crash for another reason, well after the start of their responses.

    The run time was measured for streams only, so that each upstream seemed to have crashed at the
    start of the request.
    """
    ran: list[int] = []

    def end(peer: Peer, conn: socket.socket, head: bytes) -> None:
        conn.sendall(head + framing)
        for _ in range(PIECES):
            conn.sendall(b"piece")
            time.sleep(PIECE_INTERVAL_S)
        peer.close()
        conn.close()

    got = send_to_each_upstream(site, ran, end)
    assert b'"fatal_request"' not in got
    assert len(ran) == 4
