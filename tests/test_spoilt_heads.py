"""Upstreams in trouble that send a head which is no HTTP: it is no answer, whoever reads it."""

from __future__ import annotations

import re
import socket
from collections.abc import Callable
from pathlib import Path

import curio
import pytest

from ramppost.gateway.links import Broken
from ramppost.wire.client import CallFailed, Pool, Response, call
from tests.harness.gateways import route
from tests.harness.raw_site import raw_site
from tests.harness.scripted import Peer, Script, own_lines, read_request
from tests.test_gateway_links import ID, ask

OK = b"HTTP/1.1 200 OK"
STATUS_LINES = [
    *(b"HTTP/1.1 %s no" % s for s in (b"000", b"001", b"099", b"600", b"999", b"-200", b"+200")),
    *(b"HTTP/1.1 %s no" % s for s in (b"20", b"2000", b"0200", b"2e2", b"abc", b"", b"101")),
    *(b"HTTP/%s 200 OK" % v for v in (b"0.9", b"9.9", b"2.0", b"1", b"1.11", b"x.y")),
    *(b"%s 200 OK" % protocol for protocol in (b"http/1.1", b"ICY", b"SSH-2.0", b"\0\0\0")),
    b"HTTP/1.1 200 OK\r\n folded at first",
    *(b"HTTP/1.1 200 O%sK" % byte for byte in (b"\0", b"\1", b"\x7f", b"\x1b")),
]
FIELDS = [
    *(b"x%sy: z" % byte for byte in (b" ", b"\t", b"\0", b"\1", b"\x7f", b"\xff", b"(", b"\r")),
    *(b"x: y%sz" % byte for byte in (b"\0", b"\1", b"\x08", b"\x0b", b"\x1b", b"\x7f", b"\r")),
    *(b": z", b"x : y", b"no field"),
    *(b"Content-Length: " + size for size in (b"-1", b"+5", b"0x5", b"5,6", b"9" * 5000, b"5 5")),
    *(b"Content-Length: 4\r\nContent-Length: 5", b"Transfer-Encoding: odd, chunked"),
]
SPOILT = [(line, b"x: y") for line in STATUS_LINES] + [(OK, field) for field in FIELDS]
SOUND = [b"x: y\tz", b"x: y\r\n folded", b"x: \xe9\xff", b"x:", b"x: \tz\t"]
BODY = b"whole"
PREFIX = "/raw/"


def head(request: bytes, line: bytes, field: bytes) -> bytes:
    lines = [line, own_lines(request) + field, b"Connection: close"]
    if not field.startswith((b"Content-Length", b"Transfer-Encoding")):
        lines.append(b"Content-Length: %d" % len(BODY))
    return b"\r\n".join(lines) + b"\r\n\r\n"


def answering(line: bytes, field: bytes) -> Script:
    def script(conn: socket.socket, number: int) -> None:
        if request := read_request(conn):
            conn.sendall(head(request, line, field) + BODY)
        conn.close()

    return script


def call_once(addr: str) -> Response | CallFailed:
    async def played() -> Response | CallFailed:
        return await call(Pool(), addr, "GET", "/", headers=((ID, "1"),))

    found: Response | CallFailed = curio.run(played)
    return found


@pytest.mark.parametrize(("line", "field"), SPOILT)
def test_spoilt_head_was_taken_for_an_answer(
    start: Callable[[Script], Peer], line: bytes, field: bytes
) -> None:
    """Its status, or a control byte in it, was passed on to the caller."""
    peer = start(answering(line, field))
    assert isinstance(ask(peer.addr, "1")[0], Broken)
    assert isinstance(call_once(peer.addr), CallFailed)


@pytest.mark.parametrize("spoilt", [SPOILT[0], SPOILT[3], (OK, FIELDS[0]), (OK, FIELDS[9])])
def test_spoilt_head_on_a_reused_connection_is_no_answer(
    start: Callable[[Script], Peer], spoilt: tuple[bytes, bytes]
) -> None:
    """Nor is its request sent again."""

    def script(conn: socket.socket, number: int) -> None:
        sound = head(read_request(conn), OK, b"x: y").replace(b"Connection: close\r\n", b"")
        conn.sendall(sound + BODY)
        conn.sendall(head(read_request(conn), *spoilt) + BODY)

    peer = start(script)
    sound, broken = ask(peer.addr, "1", "2")
    assert sound == BODY
    assert isinstance(broken, Broken)
    assert peer.accepted == 1


@pytest.mark.parametrize("field", SOUND)
def test_odd_value_is_no_fault(start: Callable[[Script], Peer], field: bytes) -> None:
    peer = start(answering(OK, field))
    assert ask(peer.addr, "1") == [BODY]
    assert isinstance(call_once(peer.addr), Response)


def test_gateway_passed_on_spoilt_heads(tmp_path: Path) -> None:
    """Callers got answers with a status that is none, and with control bytes."""
    routes = [route("raw", PREFIX, "idempotent", "raw", max_attempts=1)]

    def script(conn: socket.socket, number: int) -> None:
        request = read_request(conn)
        while request and (asked := re.search(rb"case (\d+)!", request)) is None:
            request += conn.recv(4096)
        if request:
            conn.sendall(head(request, *SPOILT[int(asked[1])]) + BODY)
        conn.close()

    with raw_site(tmp_path, routes, script) as site:
        found = [
            site.call("gateway-1", PREFIX, body=b"case %d!" % number).status
            for number in range(len(SPOILT))
        ]
    assert dict.fromkeys(found) == {502: None}, dict(zip(SPOILT, found, strict=True))
