"""Numbers in what others send that are none, or too long for one."""

from __future__ import annotations

import socket
from collections.abc import Callable
from pathlib import Path

import curio
import pytest

from ramppost import ids
from ramppost.agent.engine import OrderRefused, RunFailed, send_load_order
from ramppost.gateway.copies import _requested_position
from ramppost.platform import names
from ramppost.platform.store import _era
from ramppost.policy.orders import LoadOrder
from ramppost.policy.permissions import ModelVersion
from ramppost.wire.client import Pool, Response
from ramppost.wire.server import Request
from tests.harness.engine_run import run_at
from tests.harness.gateways import route
from tests.harness.raw_site import raw_site
from tests.harness.scripted import Peer, Script, own_lines, read_request

ODD = ["\u00b2", "\u0663", "9" * 5000, "-1", "1e3", "0x1", "1_0", "x"]
EVENT_IDS = ["\u00b2", "9" * 5000, "x", "-2", "2.0"]
PREFIX = "/raw/"


@pytest.mark.parametrize("text", ODD, ids=range(len(ODD)))
def test_number_that_is_none_ended_a_task(start: Callable[[Script], Peer], text: str) -> None:
    """What isdigit or isdecimal takes for digits, int or float may refuse."""
    assert _era(Response(200, {names.STORE_ERA: text}, b"")) == 0
    assert _requested_position(Request("GET", "/", {"revision": text}, {}, b"")) is None
    assert ids.revision_of(f"req-{text}-5") == 0
    assert ids.parse_ticket(f"127.0.0.1:1#b.{text}").epoch == -1
    head = f"HTTP/1.1 503 no\r\nRetry-After: {text}\r\nContent-Length: 0\r\n\r\n"
    data = head.encode("latin-1", "replace")

    def script(conn: socket.socket, number: int) -> None:
        read_request(conn)
        conn.sendall(data)

    order = LoadOrder(1, ModelVersion("m", "v"))
    peer = start(script)

    async def played() -> object:
        return await send_load_order(Pool(), peer.addr, order)

    assert curio.run(played) == OrderRefused("engine answered 503", 0.0)


@pytest.mark.parametrize(
    "tokens", [f',"completion_tokens":{n}' for n in ("9" * 30, "-5", "1e30", "null", '"5"')] + [""]
)
def test_token_count_that_is_none_ended_a_run(start: Callable[[Script], Peer], tokens: str) -> None:
    usage = f'{{"prompt_tokens":1{tokens}}}'
    chunk = f'{{"choices":[{{"finish_reason":"stop"}}],"usage":{usage}}}'

    def script(conn: socket.socket, number: int) -> None:
        read_request(conn)
        conn.sendall(f"HTTP/1.1 200 OK\r\n\r\ndata: {chunk}\n\ndata: [DONE]\n\n".encode())
        conn.close()

    peer = start(script)

    async def played() -> object:
        return await run_at(Pool(), peer.addr)

    assert isinstance(curio.run(played), RunFailed)


def test_odd_event_id_ended_its_request(tmp_path: Path) -> None:
    """The stream was cut at the caller, where another upstream could have resumed it."""
    routes = [route("raw", PREFIX, "streaming", "raw", stream_resume=True, gap_aim_ms=500)]
    odd = iter(EVENT_IDS)

    def script(conn: socket.socket, number: int) -> None:
        request = read_request(conn)
        if not request:
            return
        rest = b"id: 2\ndata: x\n\nid: 3\ndata: x\n\n"
        if names.LAST_EVENT_ID + b":" not in request.lower():
            rest = f"id: 1\ndata: x\n\nid: {next(odd)}\ndata: x\n\n".encode("latin-1")
        head = b"HTTP/1.1 200 OK\r\n" + own_lines(request) + b"Connection: close\r\n\r\n"
        conn.sendall(head + rest)
        conn.close()

    with raw_site(tmp_path, routes, script, script) as site:
        found = [site.call("gateway-1", PREFIX) for _ in EVENT_IDS]
    assert [(got.status, got.events) for got in found] == [(200, [1, 2, 3])] * len(EVENT_IDS)
