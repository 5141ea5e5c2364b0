"""Answers without end, in a head, a body or a stream, from upstreams that no stand-in is like."""

from __future__ import annotations

import os
import socket
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import curio
import pytest

from ramppost.gateway import links
from ramppost.gateway.events import MAX_EVENT_BYTES, EventSplitter
from ramppost.gateway.links import Broken, ConnectionPool, Exchange, open_exchange
from ramppost.platform import names
from tests.harness.gateways import ONCE, SAFE, STREAM, UPSTREAMS, Deployment
from tests.harness.scripted import HOST, Peer, Script, own_lines, read_request
from tests.test_gateway_links import ID, request, upstream

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
PIECE = b"x" * 65536
TRICKLE_S = 0.05
WITHIN_S = 4.0
SLACK_S = 0.5


def pour(conn: socket.socket, piece: bytes, pause_s: float = 0.0) -> None:
    """Send a piece until the other end closes."""
    while True:
        conn.sendall(piece)
        time.sleep(pause_s)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def own_head(attempt: str) -> bytes:
    return OK + own_lines(f"{ID}: {attempt}\r\n".encode())


def read(addr: str) -> Any:
    """The head of an answer and the rest of it, or the failure."""

    async def played() -> Any:
        opened = await open_exchange(ConnectionPool(HOST), upstream(addr), lambda: request("a"))
        assert isinstance(opened, Exchange)
        found: Any = await opened.read_head()
        while not isinstance(found, Broken):
            found = await opened.read_chunk()
            if isinstance(found, links.BodyEnd):
                break
        await opened.abort()
        return found

    return curio.run(curio.timeout_after, WITHIN_S, played())


def endless(before: bytes, piece: bytes, pause_s: float = 0.0) -> Script:
    def script(conn: socket.socket, number: int) -> None:
        read_request(conn)
        conn.sendall(before)
        pour(conn, piece, pause_s)

    return script


@pytest.mark.parametrize(
    ("before", "piece", "pause_s"),
    [
        (OK, b"x-more: and more\r\n", 0.0),
        (OK, b"x", TRICKLE_S),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n", 0.0),
        (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n", TRICKLE_S),
        (own_head("other") + CHUNKED + b"\r\n", chunk(PIECE), 0.0),
        (own_head("other") + CHUNKED + b"\r\n", chunk(b"x"), TRICKLE_S),
        (own_head("other") + b"\r\n", PIECE, 0.0),
    ],
)
def test_bytes_before_an_answer_went_on_until_the_deadline(
    start: Callable[[Script], Peer], before: bytes, piece: bytes, pause_s: float
) -> None:
    found = read(start(endless(before, piece, pause_s)).addr)
    assert isinstance(found, Broken)
    assert found.by_peer


def test_body_had_no_largest_size(
    start: Callable[[Script], Peer], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(links, "MAX_BODY_BYTES", 4 << 20)
    for head in (own_head("a") + CHUNKED + b"\r\n", own_head("a") + b"\r\n"):
        piece = chunk(PIECE) if CHUNKED in head else PIECE
        found = read(start(endless(head, piece)).addr)
        assert isinstance(found, Broken)
        assert found.reason == "body without end"


def test_event_had_no_largest_size() -> None:
    splitter = EventSplitter()
    while not splitter.is_endless:
        assert splitter.feed(PIECE) == []
        assert len(splitter.remainder) <= MAX_EVENT_BYTES + len(PIECE)


def test_informational_answer_long_before_the_head_is_no_failure(
    start: Callable[[Script], Peer],
) -> None:
    def script(conn: socket.socket, number: int) -> None:
        read_request(conn)
        conn.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
        time.sleep(links.MAX_HEAD_S + SLACK_S)
        conn.sendall(own_head("a") + b"Content-Length: 2\r\n\r\nok")

    assert read(start(script).addr) == links.BodyEnd(framed=True)


# --- through a gateway


class Endless:
    """An upstream whose answers have no end, as a process of a deployment."""

    def __init__(self, site: Deployment, service: str, before: str, piece: bytes) -> None:
        self.asked = 0
        self._before = before
        self._piece = piece
        self._lock = threading.Lock()
        self.peer = Peer(self._script)
        site.put_entry(f"endless-{service}", service, self.peer.addr)

    def _script(self, conn: socket.socket, number: int) -> None:
        while data := read_request(conn):
            with self._lock:
                self.asked += 1
            conn.sendall(OK + own_lines(data) + self._before.encode())
            pour(conn, self._piece, TRICKLE_S)


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Deployment]:
    found = Deployment(tmp_path, gateways=1)
    yield found
    found.stop()


@pytest.mark.parametrize(
    ("service", "prefix", "before", "piece"),
    [
        ("web", SAFE, "x-more: ", b"and more"),
        ("web", ONCE, "Transfer-Encoding: chunked\r\n\r\n", chunk(PIECE)),
        ("lm", STREAM, "Transfer-Encoding: chunked\r\n\r\n", chunk(b"data: x")),
        ("lm", STREAM, "Transfer-Encoding: chunked\r\n\r\n", chunk(b"data: x\n\n" * 40)),
    ],
    ids=["head", "body", "event", "stream"],
)
def test_upstream_with_endless_answers_was_asked_again_and_again(
    site: Deployment, service: str, prefix: str, before: str, piece: bytes
) -> None:
    for name in UPSTREAMS[prefix if prefix == STREAM else SAFE]:
        # Slower than an upstream is taken to be that is not known yet.
        site.behave(name, work_ms=100)

    def ask() -> int:
        parts = f"{os.urandom(2).hex()}:60,{os.urandom(2).hex()}:40"
        headers = {names.PROMPT_PARTS.decode(): parts} if prefix == STREAM else {}
        return site.call(site.gateways[0], prefix, headers=headers).status

    for _ in range(3):
        ask()
    faulty = Endless(site, service, before, piece)
    site.until(lambda: ask() and faulty.asked > 0, 20, "a first ask")
    began_at = time.monotonic()
    calls, asked = 12, faulty.asked
    answers = [ask() for _ in range(calls)]
    assert time.monotonic() - began_at < calls * WITHIN_S
    assert faulty.asked - asked <= calls // 2
    assert answers.count(200) >= calls // 2
    faulty.peer.close()
