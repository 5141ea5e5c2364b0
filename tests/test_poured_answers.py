"""Peers that send bytes without end, as fast as they are read."""

from __future__ import annotations

import contextlib
import random
import socket
import threading
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import curio
import pytest

from ramppost.agent.engine import MAX_TEXT_CHARS, RunFailed
from ramppost.gateway.links import ConnectionPool, Exchange, open_exchange
from ramppost.wire import client
from ramppost.wire.client import CallFailed, Pool, Stream, call, fetch, open_stream
from tests.harness.beside import MemoryWatch, gateway
from tests.harness.engine_run import run_at
from tests.harness.gateways import KEYS, SAFE, Deployment, Given, route
from tests.harness.raw_site import raw_site
from tests.harness.scripted import HOST, Peer, Script, own_lines, read_request
from tests.harness.strangers import MIB, Target
from tests.harness.strangers_soak import MACHINE_MB
from tests.test_gateway_links import request, upstream

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
UNFRAMED = b"\r\n"
POUR_S = 6.0
TIMEOUT_S = 2.0
SLACK_S = 1.0
CALLERS = 20
ORDINARY = 15
ROUTES = ("streaming", "idempotent")
BEGUN_S = 0.5
ABANDONED_S = 1.0
"""Callers leave a gateway that has not read a request for this time."""
KINDS: dict[str, tuple[bytes, bytes]] = {
    "unframed": (UNFRAMED, b"x" * 65536),
    "chunks": (CHUNKED, b"10000\r\n" + b"x" * 65536 + b"\r\n"),
    "bytes": (CHUNKED, b"1\r\nx\r\n" * 1000),
    "length": (b"Content-Length: 10000000000000\r\n\r\n", b"x" * 65536),
    "lines": (UNFRAMED, b"\n" * 65536),
    "events": (UNFRAMED, b"data: xxxxx\n\n" * 5000),
}
ASKS: dict[str, Callable[[Pool, str], Awaitable[Any]]] = {
    "call": lambda pool, addr: call(pool, addr, "GET", "/", timeout_s=TIMEOUT_S),
    "fetch": lambda pool, addr: fetch(pool, addr, "GET", "/", timeout_s=TIMEOUT_S),
    "open_stream": lambda pool, addr: open_stream(pool, addr, "GET", "/", timeout_s=TIMEOUT_S),
}


def pouring(before: bytes, piece: bytes, identified: bool = False) -> Script:
    """Send a piece again and again, for longer than anybody may read on."""

    def script(conn: socket.socket, number: int) -> None:
        if not (head := read_request(conn)):
            return
        own = own_lines(head) if identified else b""
        conn.sendall(before.replace(OK, OK + own) if before else b"")
        ends_at = time.monotonic() + POUR_S
        with contextlib.suppress(OSError):
            while time.monotonic() < ends_at:
                conn.sendall(piece)
        conn.close()

    return script


def timed(play: Callable[[], Awaitable[Any]]) -> tuple[Any, float]:
    began_at = time.monotonic()
    found = curio.run(play)
    return found, time.monotonic() - began_at


@pytest.mark.parametrize("ask", ["call", "fetch"])
@pytest.mark.parametrize("kind", KINDS)
def test_body_without_end_was_kept(start: Callable[[Script], Peer], kind: str, ask: str) -> None:
    """The process that had called kept all of it until its memory ended."""
    framing, piece = KINDS[kind]
    peer = start(pouring(OK + framing, piece))
    pool = Pool()
    found, took_s = timed(lambda: ASKS[ask](pool, peer.addr))
    assert isinstance(found, CallFailed)
    assert pool.bytes_in < 2 * client.MAX_LIST_BYTES
    assert took_s < TIMEOUT_S + client.MAX_BODY_READ_S
    if ask == "call":
        assert took_s < TIMEOUT_S + SLACK_S


@pytest.mark.parametrize("ask", ASKS)
def test_informational_answers_without_end_hung_the_process(
    start: Callable[[Script], Peer], ask: str
) -> None:
    """Nothing waited while they were read, so no time limit was noticed."""
    peer = start(pouring(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100))
    found, took_s = timed(lambda: ASKS[ask](Pool(), peer.addr))
    assert isinstance(found, CallFailed)
    assert took_s < TIMEOUT_S + SLACK_S


@pytest.mark.parametrize("size", [10 * 1024 * 1024, client.MAX_BODY_BYTES + 1])
def test_length_over_the_limit_is_refused_by_its_head(
    start: Callable[[Script], Peer], size: int
) -> None:
    peer = start(pouring(OK + b"Content-Length: %d\r\n\r\n" % size, b""))
    pool = Pool()
    found, took_s = timed(lambda: ASKS["call"](pool, peer.addr))
    assert isinstance(found, CallFailed)
    assert took_s < SLACK_S


@pytest.mark.parametrize("kind", ["bytes", "events", "lines"])
@pytest.mark.parametrize("how", ["exchange", "stream"])
def test_poured_bytes_left_no_turn_to_time_limits(
    start: Callable[[Script], Peer], kind: str, how: str
) -> None:
    """A reader whose bytes were always there went on beyond its time limit."""
    framing, piece = KINDS[kind]
    peer = start(pouring(OK + framing, piece, identified=how == "exchange"))

    async def read_exchange() -> None:
        opened = await open_exchange(
            ConnectionPool(HOST), upstream(peer.addr), lambda: request("a")
        )
        assert isinstance(opened, Exchange)
        await opened.read_head()
        while isinstance(await opened.read_chunk(4096), bytes):
            pass
        await curio.sleep(TIMEOUT_S)

    async def read_stream() -> None:
        opened = await open_stream(Pool(), peer.addr, "GET", "/")
        assert isinstance(opened, Stream)
        with contextlib.suppress(OSError):
            while await opened.read_line():
                pass
        await curio.sleep(TIMEOUT_S)

    async def played() -> None:
        reading = read_exchange if how == "exchange" else read_stream
        with pytest.raises(curio.TaskTimeout):
            await curio.timeout_after(TIMEOUT_S / 2, reading())

    assert timed(played)[1] < TIMEOUT_S


def test_engine_that_poured_text_filled_its_agent(start: Callable[[Script], Peer]) -> None:
    """All of a run's text is kept for those who read it again."""
    event = b'data: {"choices":[{"delta":{"content":"%s"}}]}\n\n' % (b"x" * 60_000)
    peer = start(pouring(OK + UNFRAMED, event))
    kept = []

    async def keep(text: str) -> None:
        kept.append(len(text))

    found, _ = timed(lambda: run_at(Pool(), peer.addr, keep))
    assert isinstance(found, RunFailed)
    assert sum(kept) <= MAX_TEXT_CHARS


@pytest.mark.parametrize("kind", ["events", "bytes"])
def test_one_upstream_that_poured_starved_everybody(tmp_path: Path, kind: str) -> None:
    """Neither ordinary requests nor time limits had a turn while its events were forwarded."""
    framing, piece = KINDS[kind]
    prefix = "/raw/"
    routes = [route("raw", prefix, "streaming", "raw", max_attempts=1, gap_aim_ms=500)]
    with raw_site(tmp_path, routes, pouring(OK + framing, piece, identified=True)) as site:
        poured: list[Given] = []

        def read_poured() -> None:
            poured.append(site.call("gateway-1", prefix))

        callers = [threading.Thread(target=read_poured) for _ in range(CALLERS)]
        for caller in callers:
            caller.start()
        time.sleep(BEGUN_S)
        took_s = served_beside(site)
        for caller in callers:
            caller.join()
    assert max(took_s) < ABANDONED_S
    assert [got.status for got in poured if not got.body] == []


def served_beside(site: Deployment) -> list[float]:
    """How long ordinary requests took, in seconds."""
    took_s = []
    for _ in range(ORDINARY):
        began_at = time.monotonic()
        assert site.call("gateway-1", SAFE).status == 200
        took_s.append(time.monotonic() - began_at)
    return took_s


@pytest.mark.parametrize("kind", ["unframed", "chunks", "bytes", "events"])
def test_poured_answer_is_not_kept_for_callers_that_do_not_read(tmp_path: Path, kind: str) -> None:
    framing, piece = KINDS[kind]
    prefix = "/raw/"
    routes = [route(how, f"{prefix}{how}", how, "raw", max_attempts=1) for how in ROUTES]
    script = pouring(OK + framing, piece, identified=True)
    with raw_site(tmp_path, routes, script, limits={"memory_mb": MACHINE_MB}) as site:
        watched = gateway(site)
        memory = MemoryWatch(watched.proc, watched.ports, MACHINE_MB)
        with contextlib.ExitStack() as unread:
            for number in range(CALLERS):
                target = Target(f"{prefix}{ROUTES[number % 2]}", KEYS["kitchen"], random.Random())
                caller = unread.enter_context(socket.create_connection(watched.ordinary.addr))
                caller.sendall(target.head("content-length: 0"))
            time.sleep(BEGUN_S)
            took_s = served_beside(site)
            time.sleep(POUR_S)
        memory.end()
        assert watched.proc.poll() is None
    assert memory.peak <= MACHINE_MB * MIB
    assert max(took_s) < ABANDONED_S
