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

from ramppost.gateway.links import BodyEnd, ConnectionPool, Exchange, open_exchange
from tests.harness.gateways import Given, route
from tests.harness.raw_site import raw_site
from tests.harness.scripted import HOST, Peer, Script, own_lines, read_request, reset
from tests.test_gateway_links import request, upstream, whole

UPLOAD = b"u" * (4 << 20)
OTHER_SIZES = (512 << 10, 1 << 20, 16 << 20)
NARROW_BYTES = 4096
"""A receive buffer that keeps also a smaller upload from being written at once."""
UNFRAMED = b"\r\n"
PART = b"part"
PAUSES_S = (0.0, 0.02, 0.2)
TIMES = 24
WITHIN_S = 20.0
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


def upload_to(peer: Peer, body: bytes = UPLOAD) -> list[Any]:
    """What came of uploads at once to an upstream that resets them."""

    async def played() -> list[Any]:
        pool = ConnectionPool(HOST)
        tasks = [
            await curio.spawn(whole, pool, peer.addr, str(number), body) for number in range(TIMES)
        ]
        return [await task.join() for task in tasks]

    found: list[Any] = curio.run(curio.timeout_after, WITHIN_S, played())
    return found


@pytest.mark.parametrize("before", SENT_BEFORE)
def test_reset_in_an_upload_ended_the_process(start: Callable[[Script], Peer], before: str) -> None:
    """Its descriptor was closed while the sending task was still registered for it."""
    assert len(upload_to(start(resetting(SENT_BEFORE[before])))) == TIMES


UNFRAMED_BEFORE = [before for before in SENT_BEFORE if "unframed" in before or before == "no_body"]


@pytest.mark.parametrize("before", UNFRAMED_BEFORE)
def test_part_of_an_answer_before_a_reset_looked_whole(
    start: Callable[[Script], Peer], before: str
) -> None:
    """The error of a socket, which is told once, was told to the sending task, which dropped it."""
    found = upload_to(start(resetting(SENT_BEFORE[before])))
    assert [answer for answer in found if isinstance(answer, bytes)] == []


@pytest.mark.parametrize("before", ["nothing", "half_head", *UNFRAMED_BEFORE])
@pytest.mark.parametrize("size", OTHER_SIZES)
def test_part_looked_whole_beside_smaller_and_larger_uploads(
    start: Callable[..., Peer], size: int, before: str
) -> None:
    """The same two faults, wherever an upload doesn't fit into the buffers on its way."""
    peer = start(resetting(SENT_BEFORE[before]), NARROW_BYTES)
    found = upload_to(peer, b"u" * size)
    assert len(found) == TIMES
    assert [answer for answer in found if isinstance(answer, bytes)] == []


@pytest.mark.parametrize(
    "framing", [b"Content-Length: 5\r\n\r\n", UNFRAMED], ids=["length", "close"]
)
def test_early_whole_answer_is_whole_though_the_upload_is_not_read(
    start: Callable[[Script], Peer], framing: bytes
) -> None:
    def script(conn: socket.socket, number: int) -> None:
        conn.sendall(ok(read_request(conn), framing) + b"whole")
        conn.shutdown(socket.SHUT_WR)
        time.sleep(PAUSES_S[-1])

    async def played() -> Any:
        return await whole(ConnectionPool(HOST), start(script).addr, "1", UPLOAD)

    assert curio.run(curio.timeout_after, WITHIN_S, played()) == b"whole"


def test_answer_that_ended_before_a_reset_is_whole(start: Callable[[Script], Peer]) -> None:
    """An upstream that ends its side and closes while the upload still comes."""

    def script(conn: socket.socket, number: int) -> None:
        conn.sendall(ok(read_request(conn), UNFRAMED) + b"whole")
        conn.shutdown(socket.SHUT_WR)
        time.sleep(PAUSES_S[number % len(PAUSES_S)])
        conn.close()

    assert upload_to(start(script)) == [b"whole"] * TIMES


def test_whole_answer_before_a_reset_is_whole(start: Callable[[Script], Peer]) -> None:
    peer = start(resetting(lambda head: ok(head, b"Content-Length: 5\r\n\r\n") + b"whole"))

    async def played() -> Any:
        opened = await open_exchange(
            ConnectionPool(HOST), upstream(peer.addr), lambda: request("1", UPLOAD)
        )
        assert isinstance(opened, Exchange)
        await opened.read_head()
        await curio.sleep(PAUSES_S[-1])
        found = [await opened.read_chunk(), await opened.read_chunk()]
        await opened.finish()
        return found

    assert curio.run(curio.timeout_after, WITHIN_S, played()) == [b"whole", BodyEnd(framed=True)]


def test_gateway_ended_by_resets_in_uploads(tmp_path: Path) -> None:
    """An upstream that crashed within an upload ended the gateway, and cut the calls of others."""
    kinds = [route(kind, f"/{kind}/", kind, "raw", max_attempts=1) for kind in KINDS]
    plays = [resetting(before) for before in SENT_BEFORE.values()]

    def script(conn: socket.socket, number: int) -> None:
        plays[number % len(plays)](conn, number)

    with raw_site(tmp_path, kinds, script, max_body_bytes=2 * len(UPLOAD)) as site:

        def upload(number: int) -> Given:
            return site.call("gateway-1", f"/{KINDS[number % len(KINDS)]}/", body=UPLOAD)

        with ThreadPoolExecutor(4) as pool:
            found = list(pool.map(upload, range(3 * len(plays))))
        assert site.procs["gateway-1"].poll() is None
    assert {answer.status for answer in found} <= {-200, 502, 503}, "-200: a stream cut within"
