"""Answers with random faults: each reader gives an answer or a failure, and never raises."""

from __future__ import annotations

import random
import socket
import time
from collections.abc import Awaitable, Callable
from typing import Any, Final

import curio
import pytest

from ramppost.agent.engine import RunCompleted, RunFailed
from ramppost.gateway.links import BodyEnd, Broken, ConnectionPool, Exchange, open_exchange
from ramppost.platform import names
from ramppost.wire.client import CallFailed, Pool, Response, call
from tests.harness.engine_run import run_at
from tests.harness.scripted import HOST, Peer, Script, read_request, reset
from tests.test_gateway_links import ID, request, upstream

OWN: Final = f"{ID}: a\r\n".encode() + names.SIGNATURE + b": s\r\n"
CHUNK: Final = b'data: {"choices":[{"delta":{"content":"a"},"finish_reason":"stop"}]}\n\n'
ANSWERS: Final = [
    b"HTTP/1.1 200 OK\r\n" + OWN + b"Content-Length: 5\r\n\r\nwhole",
    b"HTTP/1.1 200 OK\r\n" + OWN + b"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n" + OWN + b"\r\nid: 1\ndata: x\n\nid: 2\ndata: x\n\n",
    b"HTTP/1.1 200 OK\r\n" + OWN + b"\r\n" + CHUNK + b"data: [DONE]\n\n",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 no\r\n" + OWN + b"Retry-After: 1.5\r\n\r\n",
]
INSERTED: Final = [b"\r\n", b"\n", b"\0", b"\1", b" ", b":", b"\xff", b"99999999999", b"\r\n\r\n"]
SETTLE_S: Final = 0.2
CASES: Final = 120
UPLOAD: Final = b"u" * (4 << 20)
WITHIN_S: Final = 60.0


def drawn_answer(rng: random.Random) -> bytes:
    """An answer with some bytes changed, left out or added."""
    data = bytearray(rng.choice(ANSWERS))
    for _ in range(rng.choice([1, 1, 2, 5])):
        at = rng.randrange(len(data) - 20)
        if rng.random() < 0.4:
            del data[at : at + rng.randrange(1, 9)]
        elif rng.random() < 0.5:
            data[at:at] = rng.choice(INSERTED)
        else:
            data[at] = rng.randrange(256)
    return bytes(data)


def odd_peer(seed: int) -> Script:
    """Sends each sound answer once and then odd ones, and closes or resets the connection."""

    def script(conn: socket.socket, number: int) -> None:
        rng = random.Random(f"{seed} {number}")
        if not read_request(conn):
            return
        is_sound = number < len(ANSWERS)
        conn.sendall(ANSWERS[number] if is_sound else drawn_answer(rng))
        if not is_sound and rng.random() < 0.5:
            reset(conn)
        else:
            conn.shutdown(socket.SHUT_WR)
            time.sleep(SETTLE_S)
            conn.close()

    return script


async def by_exchange(addr: str, rng: random.Random) -> object:
    body = rng.choice([b"", UPLOAD])
    opened = await open_exchange(ConnectionPool(HOST), upstream(addr), lambda: request("a", body))
    if not isinstance(opened, Exchange):
        return opened
    found: Any = await opened.read_head()
    while not isinstance(found, Broken | BodyEnd):
        found = await opened.read_chunk(rng.choice([1, 4096]))
    await opened.abort()
    return found


async def by_call(addr: str, rng: random.Random) -> object:
    return await call(Pool(), addr, "POST", "/", rng.choice([b"", UPLOAD]))


async def by_engine(addr: str, rng: random.Random) -> object:
    return await run_at(Pool(), addr)


Read = Callable[[str, random.Random], Awaitable[object]]


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("read", [by_exchange, by_call, by_engine])
def test_odd_answer_ended_its_reader(
    start: Callable[[Script], Peer], read: Read, seed: int
) -> None:
    """What nobody foresaw in an answer raised in its reader, or in the loop that all share."""
    peer = start(odd_peer(seed))
    rng = random.Random(seed)

    async def played() -> list[object]:
        tasks = [await curio.spawn(read, peer.addr, rng) for _ in range(CASES)]
        return [await task.join() for task in tasks]

    found = curio.run(curio.timeout_after, WITHIN_S, played())
    assert len(found) == CASES
    assert any(isinstance(got, Broken | CallFailed | RunFailed) for got in found)
    assert any(isinstance(got, BodyEnd | Response | RunCompleted) for got in found)
