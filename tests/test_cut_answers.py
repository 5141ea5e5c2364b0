"""Upstreams that stop at each byte of an answer, and close or reset the connection."""

from __future__ import annotations

import re
import socket
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import curio
import pytest

from ramppost.agent.engine import RunCompleted
from ramppost.platform import names
from ramppost.wire.client import CallFailed, Pool, Response, call
from tests.harness.engine_run import run_at
from tests.harness.gateways import Deployment, Given, config, route
from tests.harness.scripted import Peer, own_lines, read_request, reset

RAW_PREFIX = "/raw/"
BODY = b"whole"
LENGTH = b"Content-Length: %d\r\n" % len(BODY)
UNFRAMED = b""
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CHUNKS = b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY)
PROPAGATION_S = 1.0
WORKERS = 4
READ_SIZE = 4096


def end(conn: socket.socket, resets: bool) -> None:
    if resets:
        reset(conn)
    conn.close()


def cutting_peer(answer: bytes, resets: bool) -> Peer:
    """Sends one byte more of the answer on each connection."""
    lengths = iter(range(len(answer)))

    def cut(conn: socket.socket, _: int) -> None:
        read_request(conn)
        conn.sendall(answer[: next(lengths)])
        end(conn, resets)

    return Peer(cut)


def answer_to(request: bytes, framing: bytes) -> bytes:
    body = CHUNKS if framing == CHUNKED else BODY
    return b"HTTP/1.1 200 OK\r\n" + own_lines(request) + framing + b"\r\n" + body


def cut_answer(conn: socket.socket, _: int) -> None:
    """Send the part of an answer that the request's body asks for."""
    request = read_request(conn)
    while (asked := re.search(rb"cut (\w+) (\d+) (\d)", request)) is None:
        piece = conn.recv(READ_SIZE)
        if not piece:
            return
        request += piece
    framing, length, resets = asked.groups()
    answer = answer_to(request, {b"l": LENGTH, b"u": UNFRAMED, b"c": CHUNKED}[framing])
    conn.sendall(answer[: int(length)])
    end(conn, resets == b"1")


@pytest.fixture(scope="module")
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    found = Deployment(tmp_path_factory.mktemp("site"), gateways=1, engines=1, services=1)
    doc = config(2, routes=[route("raw", RAW_PREFIX, "idempotent", "raw", max_attempts=1)])
    doc["services"].append({"name": "raw", "max_conns": 100})
    found.configure(doc)
    peer = Peer(cut_answer)
    found.put_entry("raw-0", "raw", peer.addr)
    time.sleep(PROPAGATION_S)
    yield found
    found.stop()
    peer.close()


@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("framing", ["l", "c", "u"], ids=["length", "chunks", "unframed"])
def test_answer_that_was_cut_looked_whole(site: Deployment, framing: str, resets: bool) -> None:
    # The end of a head or a body that was cut must not pass for that of the answer.
    lines = {"l": LENGTH, "u": UNFRAMED, "c": CHUNKED}[framing]
    answer = answer_to(names.ATTEMPT_ID + b": " + b"0" * 16, lines)
    head_bytes = answer.index(b"\r\n\r\n") + 4

    def ask(length: int) -> Given:
        asked = f"cut {framing} {length} {int(resets)}".encode()
        return site.call("gateway-1", RAW_PREFIX, body=asked)

    lengths = range(len(answer))
    if framing == "u" and not resets:
        lengths = range(head_bytes)
    with ThreadPoolExecutor(WORKERS) as pool:
        given = dict(zip(lengths, pool.map(ask, lengths), strict=True))
    looked_whole = [
        length for length, got in given.items() if got.status == 200 and got.body != BODY
    ]
    assert not looked_whole
    in_head = {given[length].status for length in lengths if length < head_bytes}
    assert in_head == {502}


@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("framing", [LENGTH, CHUNKED], ids=["length", "chunks"])
def test_answer_between_boxes_that_was_cut_looked_whole(framing: bytes, resets: bool) -> None:
    answer = b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n"
    answer += CHUNKS if framing == CHUNKED else BODY

    async def run() -> list[Response | CallFailed]:
        pool = Pool()
        return [await call(pool, peer.addr, "GET", "/") for _ in answer]

    peer = cutting_peer(answer, resets)
    got = curio.run(run)
    peer.close()
    assert all(isinstance(found, CallFailed) for found in got)


@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
def test_engine_that_was_cut_had_completed(resets: bool) -> None:
    events = b'data: {"choices":[{"delta":{"content":"a"},"finish_reason":"stop"}]}\n\n'
    answer = b"HTTP/1.1 200 OK\r\n\r\n" + events + b"data: [DONE]\n"

    async def run() -> list[object]:
        pool = Pool()
        return [await run_at(pool, peer.addr) for _ in answer]

    peer = cutting_peer(answer, resets)
    got = curio.run(run)
    peer.close()
    assert not any(isinstance(found, RunCompleted) for found in got)
