"""Upstreams that reset the connection while a large request is being sent to them."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import curio
import pytest

from ramppost.gateway.links import ConnectionPool
from tests.harness.gateways import Deployment, Given, config, route
from tests.harness.scripted import HOST, Peer, Script, own_lines, read_request, reset
from tests.test_gateway_links import whole

UPLOAD = b"u" * (4 << 20)
UNFRAMED = b"\r\n"
PART = b"part"
PAUSES_S = (0.0, 0.02, 0.2)
TIMES = 24
WITHIN_S = 20.0
PROPAGATION_S = 1.0
KINDS = ("idempotent", "non_idempotent", "streaming")
EVENT = b"id: 1\ndata: x\n\n"


def ok(request_head: bytes, framing: bytes = b"", status: bytes = b"200 OK") -> bytes:
    return b"HTTP/1.1 " + status + b"\r\n" + own_lines(request_head) + framing


SENT_BEFORE: dict[str, Callable[[bytes], bytes]] = {
    "nothing": lambda head: b"",
    "half_head": lambda head: ok(head),
    "continue": lambda head: b"HTTP/1.1 100 Continue\r\n\r\n",
    "length": lambda head: ok(head, b"Content-Length: 1000\r\n\r\n") + PART,
    "chunks": lambda head: ok(head, b"Transfer-Encoding: chunked\r\n\r\n") + b"4\r\npart\r\n",
    "no_body": lambda head: ok(head, UNFRAMED),
    "unframed": lambda head: ok(head, UNFRAMED) + PART,
    "unframed_30000": lambda head: ok(head, UNFRAMED) + b"x" * 30_000,
    "unframed_event": lambda head: ok(head, UNFRAMED) + EVENT,
    "unframed_500": lambda head: ok(head, UNFRAMED, b"500 no") + PART,
    "spoilt_head": lambda head: ok(head, b"sp oilt: x\r\n\r\n") + PART,
}
"""What an upstream sends, given the head of the request, before it resets the connection."""


def resetting(before: Callable[[bytes], bytes]) -> Script:
    def script(conn: socket.socket, number: int) -> None:
        head = read_request(conn)
        if not head:
            return
        time.sleep(PAUSES_S[number % len(PAUSES_S)])
        conn.sendall(before(head))
        reset(conn)

    return script


def upload_to(peer: Peer) -> list[Any]:
    """What came of uploads at once to an upstream that resets them."""

    async def played() -> list[Any]:
        pool = ConnectionPool(HOST)
        tasks = [
            await curio.spawn(whole, pool, peer.addr, str(number), UPLOAD)
            for number in range(TIMES)
        ]
        return [await task.join() for task in tasks]

    found: list[Any] = curio.run(curio.timeout_after, WITHIN_S, played())
    return found


@pytest.mark.parametrize("before", SENT_BEFORE)
def test_reset_in_an_upload_ended_the_process(start: Callable[[Script], Peer], before: str) -> None:
    """Its descriptor was closed while the sending task was still registered for it."""
    assert len(upload_to(start(resetting(SENT_BEFORE[before])))) == TIMES


def test_gateway_ended_by_resets_in_uploads(tmp_path: Path) -> None:
    """An upstream that crashed within an upload ended the gateway, and cut the calls of others."""
    site = Deployment(tmp_path, gateways=1, engines=1, services=1)
    kinds = [route(kind, f"/{kind}/", kind, "raw", max_attempts=1) for kind in KINDS]
    doc = config(2, routes=kinds)
    doc["services"].append({"name": "raw", "max_conns": 100})
    doc["limits"]["max_body_bytes"] = 2 * len(UPLOAD)
    site.configure(doc)
    plays = [resetting(before) for before in SENT_BEFORE.values()]
    peer = Peer(lambda conn, number: plays[number % len(plays)](conn, number))
    site.put_entry("raw-0", "raw", peer.addr)
    time.sleep(PROPAGATION_S)

    def upload(number: int) -> Given:
        return site.call("gateway-1", f"/{KINDS[number % len(KINDS)]}/", body=UPLOAD)

    with ThreadPoolExecutor(4) as pool:
        found = list(pool.map(upload, range(3 * len(plays))))
    assert site.procs["gateway-1"].poll() is None
    assert 0 not in {answer.status for answer in found}
    site.stop()
    peer.close()
