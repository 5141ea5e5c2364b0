"""Exchanges with an upstream over real sockets, against a peer that follows a script."""

from __future__ import annotations

import itertools
import socket
import time
from collections.abc import Callable
from typing import Any, NamedTuple

import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ramppost.gateway.links import (
    BodyEnd,
    Broken,
    ConnectionPool,
    Exchange,
    NotSent,
    OutgoingRequest,
    open_exchange,
)
from ramppost.gateway.model import Upstream
from ramppost.platform import names
from tests.harness.scripted import HOST, Peer, Script, own_lines, read_request, reset

ID = names.ATTEMPT_ID.decode()


def answer(attempt: str, body: bytes = b"whole", **more: str) -> bytes:
    return ok_head(attempt, Content_Length=str(len(body)), **more) + body


def ok_head(attempt: str, **more: str) -> bytes:
    lines = ["HTTP/1.1 200 OK", f"{ID}: {attempt}", f"{names.SIGNATURE.decode()}: s"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in more.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def asked(data: bytes) -> str:
    """The id of a request."""
    return own_lines(data).split(b"\r\n")[0].partition(b": ")[2].decode()


def upstream(addr: str) -> Upstream:
    return Upstream("i-1", addr, "web", "bole", "v1", 8, False)


def request(attempt: str, body: bytes = b"") -> OutgoingRequest:
    head = [(b"host", b"h"), (names.ATTEMPT_ID, attempt.encode())]
    if body:
        head.append((b"content-length", str(len(body)).encode()))
    return OutgoingRequest("POST" if body else "GET", "/x", head, body, attempt)


async def whole(links: ConnectionPool, addr: str, attempt: str, body: bytes = b"") -> Any:
    """Body of an answer, or the failure."""
    opened = await open_exchange(links, upstream(addr), lambda: request(attempt, body))
    if not isinstance(opened, Exchange):
        return opened
    head = await opened.read_head()
    if isinstance(head, Broken):
        await opened.abort()
        return head
    found = bytearray()
    while True:
        piece = await opened.read_chunk()
        if isinstance(piece, BodyEnd):
            await opened.finish()
            return bytes(found)
        if isinstance(piece, Broken):
            await opened.abort()
            return piece
        found += piece


def ask(addr: str, *attempts: str, body: bytes = b"", pause_s: float = 0.0) -> list[Any]:
    """Answers to requests one after the other over the same links."""

    async def played() -> list[Any]:
        links = ConnectionPool(HOST)
        got = []
        for attempt in attempts:
            got.append(await curio.timeout_after(3, whole(links, addr, attempt, body)))
            await curio.sleep(pause_s)
        return got

    result: list[Any] = curio.run(played())
    return result


def test_connections_are_reused(start: Callable[[Script], Peer]) -> None:
    def script(conn: socket.socket, number: int) -> None:
        for attempt in ("a", "b", "c"):
            read_request(conn)
            conn.sendall(answer(attempt))

    peer = start(script)
    assert ask(peer.addr, "a", "b", "c") == [b"whole"] * 3
    assert peer.accepted == 1


@pytest.mark.parametrize(
    ("more", "accepted"),
    [({"Connection": "close"}, 2), ({"Keep_Alive": "timeout=1"}, 2), ({"Keep_Alive": "9"}, 1)],
)
def test_connections_that_will_be_closed_are_not_reused(
    start: Callable[[Script], Peer], more: dict[str, str], accepted: int
) -> None:
    def script(conn: socket.socket, number: int) -> None:
        while data := read_request(conn):
            conn.sendall(answer(asked(data), **more))

    peer = start(script)
    assert ask(peer.addr, "a", "b") == [b"whole"] * 2
    assert peer.accepted == accepted


@pytest.mark.parametrize("late_s", [0.0, 0.02])
def test_a_surplus_answer_on_an_idle_connection_is_not_passed_on(
    start: Callable[[Script], Peer], late_s: float
) -> None:
    def script(conn: socket.socket, number: int) -> None:
        read_request(conn)
        attempt = "ab"[number]
        if late_s:
            conn.sendall(answer(attempt))
            time.sleep(late_s)
            conn.sendall(answer(attempt, b"surplus"))
        else:
            conn.sendall(answer(attempt) + answer(attempt, b"surplus"))
        read_request(conn)

    peer = start(script)
    assert ask(peer.addr, "a", "b", pause_s=0.1) == [b"whole"] * 2
    assert peer.accepted == 2


def test_a_late_surplus_answer_is_skipped(start: Callable[[Script], Peer]) -> None:
    def script(conn: socket.socket, number: int) -> None:
        read_request(conn)
        conn.sendall(answer("a"))
        read_request(conn)
        conn.sendall(answer("a", b"surplus"))
        time.sleep(0.02)
        conn.sendall(answer("b", b"own"))

    assert ask(start(script).addr, "a", "b") == [b"whole", b"own"]


@pytest.mark.parametrize(
    ("reply", "why"),
    [
        (b"", "closed"),
        (b"garbage\r\n\r\n", "not an answer"),
        (b"HTTP/1.1 200 OK\r\nContent-Le", "closed"),
        (answer("a")[:-2], "not an answer"),
        (ok_head("a", Transfer_Encoding="chunked") + b"5\r\nab", "not an answer"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "not an answer"),
        (b"HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nno", "not an answer"),
        (f"HTTP/1.1 200 OK\r\n{ID}: a\r\nContent-Length: 2\r\n\r\nok".encode(), "not signed"),
    ],
)
def test_a_broken_answer_is_no_answer(
    start: Callable[[Script], Peer], reply: bytes, why: str
) -> None:
    def script(conn: socket.socket, number: int) -> None:
        read_request(conn)
        conn.sendall(reply)
        conn.close()

    (got,) = ask(start(script).addr, "a")
    assert isinstance(got, Broken), why


def test_a_reset_after_sending_leaves_the_outcome_open(start: Callable[[Script], Peer]) -> None:
    def script(conn: socket.socket, number: int) -> None:
        read_request(conn)
        reset(conn)

    (got,) = ask(start(script).addr, "a")
    assert isinstance(got, Broken)


def test_a_refused_connection_was_not_sent() -> None:
    with socket.create_server((HOST, 0)) as sock:
        port = sock.getsockname()[1]
    (got,) = ask(f"{HOST}:{port}", "a")
    assert isinstance(got, NotSent)


def test_an_answer_without_length_ends_with_its_connection(
    start: Callable[[Script], Peer],
) -> None:
    def script(conn: socket.socket, number: int) -> None:
        read_request(conn)
        conn.sendall(ok_head("a") + b"all of it")
        conn.close()

    assert ask(start(script).addr, "a") == [b"all of it"]


def test_an_answer_without_length_that_is_reset_is_not_whole(
    start: Callable[[Script], Peer],
) -> None:
    def script(conn: socket.socket, number: int) -> None:
        read_request(conn)
        conn.sendall(ok_head("a") + b"part of")
        time.sleep(0.1)
        reset(conn)

    (got,) = ask(start(script).addr, "a")
    assert isinstance(got, Broken)


def test_an_early_answer_to_a_large_body_is_taken_and_its_connection_left(
    start: Callable[[Script], Peer],
) -> None:
    def script(conn: socket.socket, number: int) -> None:
        conn.sendall(answer(asked(read_request(conn)), b"early"))
        time.sleep(1)

    peer = start(script)
    assert ask(peer.addr, "a", "b", body=b"x" * 8_000_000) == [b"early"] * 2
    assert peer.accepted == 2


class Part(NamedTuple):
    """An answer, or what looks like one."""

    attempt: str
    signed: bool
    status: int
    body: bytes

    @property
    def sent(self) -> bytes:
        head = ok_head(self.attempt, Content_Length=str(len(self.body)))
        head = head.replace(b"200", b"%d" % self.status)
        if not self.signed:
            head = head.replace(names.SIGNATURE, b"x-other")
        if not self.attempt:
            head = head.replace(names.ATTEMPT_ID, b"x-others")
        return head + self.body


PARTS = st.builds(
    Part,
    st.sampled_from(["a", "a", "other", "other", ""]),
    st.sampled_from([True, True, False]),
    st.sampled_from([200, 200, 503]),
    st.binary(max_size=40),
)


@given(st.lists(PARTS, max_size=4), st.floats(0, 1), st.sampled_from([0, 0, 1, 30, 150]))
def test_bytes_of_no_request_were_passed_on(parts: list[Part], split: float, cut: int) -> None:
    sent = b"".join(part.sent for part in parts)
    joint = round(split * len(sent))
    sent = sent[: -cut or None]

    def script(conn: socket.socket, number: int) -> None:
        read_request(conn)
        conn.sendall(sent[:joint])
        conn.sendall(sent[joint:])
        conn.shutdown(socket.SHUT_WR)

    peer = Peer(script)
    try:
        (got,) = ask(peer.addr, "a")
    finally:
        peer.close()
    skipped = list(itertools.takewhile(lambda part: part.attempt == "other", parts))
    own = next(iter(parts[len(skipped) :]), None)
    is_whole = len(b"".join(part.sent for part in parts[: len(skipped) + 1])) <= len(sent)
    if own and own.attempt and (own.signed or own.status >= 300) and is_whole and len(skipped) < 4:
        assert got == own.body
    else:
        assert isinstance(got, Broken)
