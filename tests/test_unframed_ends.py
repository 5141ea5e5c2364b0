"""An upstream that ends within an answer whose length nothing tells.

Such an answer ends as its connection is closed, and an upstream's end closes it: read so, a cut
answer was whole, was taken for a sign that its request is harmless, and upstream after upstream
ended under the request at all gateways.  Whether the upstream is still there settles it.
"""

from __future__ import annotations

import socket
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from ramppost import clock
from tests.harness.gateways import KEYS, Deployment, config, route
from tests.harness.scripted import Peer, read_request

RAW = "/raw/"
End = Callable[[Peer, socket.socket], None]
"""What an upstream does with the connection on which it got the request."""
HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
FRAMED = b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n"
KNOWN_WITHIN_S = 1.0
READY_AGAIN_S = 5.0
PIECES = 16
PIECE_S = 0.2


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Deployment]:
    found = Deployment(tmp_path, gateways=2, engines=1, services=1)
    routes = [route("raw", RAW, "idempotent", "raw", max_attempts=1)]
    doc = config(2, routes=routes)
    doc["services"].append({"name": "raw", "max_conns": 100})
    found.configure(doc)
    yield found
    found.stop()


def asked(site: Deployment, gateway: str) -> bytes:
    """What the caller of the request gets, once its gateway knows again what is in force: after a
    stall of this machine of 2.8 s it said so, and nothing of the request."""
    until = clock.now() + READY_AGAIN_S
    while True:
        got = site.call(gateway, RAW, KEYS["kitchen"], body=b"ends whoever runs it").body
        if b'"not_ready"' not in got or clock.now() > until:
            return got
        time.sleep(0.1)


def asked_of_one(site: Deployment, number: int, ran: list[int], end: End) -> bytes:
    """The request comes to an upstream that is the only one and ends under it; what the caller
    gets.  `ran` takes the number if it was run."""

    def play(conn: socket.socket, _: int) -> None:
        if read_request(conn):
            ran.append(number)
            end(peer, conn)

    name = f"raw-{number}"
    peer = Peer(play)
    site.put_entry(name, "raw", peer.addr)
    time.sleep(KNOWN_WITHIN_S)
    got = asked(site, site.gateways[number % 2])
    time.sleep(KNOWN_WITHIN_S)
    site.remove_entry(name)
    peer.close()
    return got


def asked_of_each(site: Deployment, ran: list[int], end: End) -> bytes:
    """The request comes to four upstreams, one after the other; what the last caller gets."""
    return [asked_of_one(site, number, ran, end) for number in range(4)][-1]


def test_an_end_within_an_answer_without_a_length_is_seen(site: Deployment) -> None:
    """Three upstreams, each the only one, end within their answers; a fourth is spared."""
    ran: list[int] = []

    def end(peer: Peer, conn: socket.socket) -> None:
        peer.close()
        conn.sendall(HEAD + b"begun")
        conn.close()

    got = asked_of_each(site, ran, end)
    assert b'"fatal_request"' in got
    assert len(ran) == 3


def test_a_whole_answer_without_a_length_ends_nothing(site: Deployment) -> None:
    """The upstream closes each connection as it must, and goes on."""

    def serves(conn: socket.socket, _: int) -> None:
        if read_request(conn):
            conn.sendall(HEAD + b"whole")
        conn.close()

    peer = Peer(serves)
    site.put_entry("raw-0", "raw", peer.addr)
    time.sleep(KNOWN_WITHIN_S)
    for number in range(8):
        assert asked(site, site.gateways[number % 2]) == b"whole"
    assert not [
        line
        for name in site.gateways
        for line in site.lines(name)
        if line["message"] == "upstream ended under a request"
    ]
    peer.close()


@pytest.mark.parametrize("head", [HEAD, FRAMED], ids=["unframed", "framed"])
def test_what_ran_for_long_before_an_end_is_innocent(site: Deployment, head: bytes) -> None:
    """Three upstreams end well after they began to answer, of something else.

    How long they had run the request was measured on streams alone, so that each seemed to have
    ended as it began.
    """
    ran: list[int] = []

    def end(peer: Peer, conn: socket.socket) -> None:
        conn.sendall(head)
        for _ in range(PIECES):
            conn.sendall(b"piece")
            time.sleep(PIECE_S)
        peer.close()
        conn.close()

    got = asked_of_each(site, ran, end)
    assert b'"fatal_request"' not in got
    assert len(ran) == 4
