"""Clients that don't behave, played against one address over non-blocking sockets.

    python -m tests.harness.strangers --play one_byte_chunks --addr 127.0.0.1:8000 \\
        --path /safe/x --for-s 4 --seed 1

Each play is a number of connections that follow one script: what it yields is sent, and a number
is a pause in seconds.  A connection that is closed by its server begins again a few times.  Prints
how many answers of each status came, and ends by itself after the time that is given.
"""

from __future__ import annotations

import argparse
import collections
import json
import random
import re
import selectors
import socket
import time
from collections.abc import Callable, Iterator
from typing import Final, NamedTuple

MIB: Final = 1 << 20
BODY: Final = 4 * MIB
"""The largest body inside the limits."""
HEAD: Final = 15_000
"""Bytes of fields inside the limit on heads."""
SITE: Final = "site.example"
SEND_SIZE: Final = 1 << 18
STATUS: Final = re.compile(rb"HTTP/1\.1 (\d{3}) ")

Action = bytes | memoryview | float


class Target(NamedTuple):
    """Where a script's requests go; `key` is empty for none."""

    path: str
    key: str
    rng: random.Random

    def head(self, *fields: str) -> bytes:
        """The head of a request with further fields."""
        own = [f"x-attempt-id: {self.rng.getrandbits(64):016x}", "x-deadline-ms: 4000"]
        key = [f"api-key: {self.key}"] if self.key else []
        lines = [f"POST {self.path} HTTP/1.1", f"host: {SITE}", *own, *key, *fields]
        return "\r\n".join([*lines, "", ""]).encode()


Script = Callable[[Target], Iterator[Action]]


class Play(NamedTuple):
    """Connections that all follow a script; `begins` is how often each may begin."""

    connections: int
    script: Script
    reads: bool = True
    begins: int = 3


CHUNKED: Final = "transfer-encoding: chunked"
LARGE: Final = b"4000\r\n" + bytes(16384) + b"\r\n"
LONG_EXTENSION: Final = b"1;" + b"e" * 200 + b"\r\nx\r\n"
ONE_BYTE: Final = b"1\r\nx\r\n"
UNEVEN: Final = b"1\r\nx\r\n2\r\nyy\r\n"
EXTENDED: Final = b"1;name=value\r\nx\r\n"
LAST: Final = b"0\r\n\r\n"


def _length(count: int) -> str:
    return f"content-length: {count}"


def whole_body(target: Target) -> Iterator[Action]:
    yield target.head(_length(BODY)) + bytes(BODY)


def body_in_pieces(target: Target) -> Iterator[Action]:
    yield target.head(_length(BODY))
    for _ in range(BODY // 32768):
        yield bytes(32768)
        yield 0.01


def body_one_byte_short(target: Target) -> Iterator[Action]:
    yield target.head(_length(BODY)) + bytes(BODY - 1)


def chunks(chunk: bytes, count: int) -> Script:
    """A body of so many chunks, all alike."""

    def script(target: Target) -> Iterator[Action]:
        yield target.head(CHUNKED)
        yield chunk * count + LAST

    return script


def chunks_without_end(target: Target) -> Iterator[Action]:
    yield target.head(CHUNKED)
    yield LARGE * (BODY // 16384)


def legal_fields(target: Target) -> Iterator[Action]:
    yield target.head(*(f"{i:x}:" for i in range(0x100, 0x100 + HEAD // 6)), _length(0))


def blank_extensions(target: Target) -> Iterator[Action]:
    yield target.head(CHUNKED)
    yield 0.1
    yield b"1;" + b" " * 60_000 + b"\nx\r\n"


def body_over_the_limit(target: Target) -> Iterator[Action]:
    yield target.head(_length(16 * BODY))
    for _ in range(64):
        yield bytes(MIB)


def chunks_over_the_limit(target: Target) -> Iterator[Action]:
    yield target.head(CHUNKED)
    for _ in range(64):
        yield b"100000\r\n" + bytes(MIB) + b"\r\n"


def length_of_10_gb(target: Target) -> Iterator[Action]:
    yield target.head(_length(10**10))


def many_fields(target: Target) -> Iterator[Action]:
    for _ in range(4):
        yield from legal_fields(target)


def sent_ahead(target: Target) -> Iterator[Action]:
    while True:
        yield b"".join(target.head(_length(0)) for _ in range(100))


def bodies_sent_ahead(target: Target) -> Iterator[Action]:
    while True:
        yield target.head(_length(65536)) + bytes(65536)


def thirty_requests(target: Target) -> Iterator[Action]:
    yield b"".join(target.head(_length(0)) for _ in range(30))


def one_byte(target: Target) -> Iterator[Action]:
    yield b"P"


def nothing(target: Target) -> Iterator[Action]:
    yield 60.0


def half_head(target: Target) -> Iterator[Action]:
    yield target.head(_length(10))[:-30]


def half_body(target: Target) -> Iterator[Action]:
    yield target.head(_length(20_000)) + bytes(10_000)


def head_in_bytes(target: Target) -> Iterator[Action]:
    for byte in target.head(f"x-fill: {'f' * HEAD}", _length(0)):
        yield bytes([byte])
        yield 0.02


def head_without_end(target: Target) -> Iterator[Action]:
    yield target.head()[:-2]
    for i in range(20_000):
        yield f"x-{i}: {'f' * 500}\r\n".encode()


def trailers(target: Target) -> Iterator[Action]:
    yield target.head(CHUNKED) + b"1\r\nx\r\n0\r\n"
    yield b"".join(b"t%d:\r\n" % i for i in range(200_000)) + b"\r\n"


def after_the_end(target: Target) -> Iterator[Action]:
    yield target.head(_length(0), "connection: close") + bytes(MIB)


PLAYS: Final[dict[str, Play]] = {
    "whole_bodies": Play(100, whole_body),
    "bodies_in_pieces": Play(60, body_in_pieces),
    "bodies_in_chunks": Play(100, chunks(LARGE, BODY // 16384)),
    "bodies_one_byte_short": Play(100, body_one_byte_short),
    "chunks_without_end": Play(100, chunks_without_end),
    "one_byte_chunks": Play(30, chunks(ONE_BYTE, MIB)),
    "uneven_chunks": Play(30, chunks(UNEVEN, MIB // 3)),
    "extended_chunks": Play(30, chunks(EXTENDED, MIB // 4)),
    "long_extensions": Play(10, chunks(LONG_EXTENSION, 65536)),
    "blank_extensions": Play(10, blank_extensions),
    "bodies_over_the_limit": Play(40, body_over_the_limit),
    "chunks_over_the_limit": Play(40, chunks_over_the_limit),
    "lengths_of_10_gb": Play(40, length_of_10_gb),
    "many_fields": Play(400, many_fields),
    "sent_ahead": Play(4, sent_ahead, reads=False),
    "many_sent_ahead": Play(400, sent_ahead, reads=False),
    "bodies_sent_ahead": Play(4, bodies_sent_ahead, reads=False),
    "answers_not_read": Play(600, thirty_requests, reads=False),
    "one_byte": Play(3300, one_byte),
    "nothing_sent": Play(3300, nothing),
    "half_heads": Play(3100, half_head),
    "half_bodies": Play(1500, half_body),
    "heads_in_bytes": Play(300, head_in_bytes),
    "heads_without_end": Play(40, head_without_end),
    "trailers": Play(20, trailers),
    "bytes_after_the_end": Play(40, after_the_end),
}

CALM_PLAYS: Final[dict[str, Play]] = {
    "one_whole_body": Play(1, whole_body, begins=1),
    "one_body_of_tiny_chunks": Play(1, chunks(ONE_BYTE, BODY), begins=1),
    "one_head_of_many_fields": Play(1, legal_fields, begins=1),
}
"""One request inside the limits, which must be served."""


class Client:
    """One connection of a play, which begins again when its server closes it."""

    def __init__(self, addr: tuple[str, int], play: Play, target: Target) -> None:
        self._addr = addr
        self._play = play
        self._target = target
        self._begins = 0
        self.statuses: collections.Counter[str] = collections.Counter()
        self.sock: socket.socket | None = None
        self.resume_at = 0.0

    def begin(self, selector: selectors.BaseSelector) -> None:
        """Connect and start the script."""
        self._begins += 1
        self._actions = self._play.script(self._target)
        self._rest = memoryview(b"")
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.connect_ex(self._addr)
        selector.register(self.sock, self._wanted(), self)

    def _wanted(self) -> int:
        return selectors.EVENT_WRITE | (selectors.EVENT_READ if self._play.reads else 0)

    def turn(self, selector: selectors.BaseSelector, mask: int, now: float) -> None:
        """Read and send what is possible."""
        try:
            if mask & selectors.EVENT_READ:
                self._read()
            if mask & selectors.EVENT_WRITE:
                self._send(selector, now)
        except BlockingIOError:
            return
        except OSError:
            self._end(selector)

    def _read(self) -> None:
        assert self.sock is not None
        data = self.sock.recv(SEND_SIZE)
        if not data:
            raise ConnectionResetError
        self.statuses.update(found.decode() for found in STATUS.findall(data))

    def _send(self, selector: selectors.BaseSelector, now: float) -> None:
        assert self.sock is not None
        if not self._rest:
            action = next(self._actions, 3600.0)
            if isinstance(action, float):
                self.resume_at = now + action
                self._listen(selector, selectors.EVENT_READ)
                return
            self._rest = memoryview(action)
        sent = self.sock.send(self._rest[:SEND_SIZE])
        self._rest = self._rest[sent:]

    def _listen(self, selector: selectors.BaseSelector, events: int) -> None:
        assert self.sock is not None
        if self._play.reads:
            selector.modify(self.sock, events, self)
        else:
            selector.unregister(self.sock)

    def resume(self, selector: selectors.BaseSelector) -> None:
        """Go on with the script after a pause."""
        self.resume_at = 0.0
        if self.sock is None:
            return
        if self._play.reads:
            selector.modify(self.sock, self._wanted(), self)
        else:
            selector.register(self.sock, self._wanted(), self)

    def _end(self, selector: selectors.BaseSelector) -> None:
        assert self.sock is not None
        selector.unregister(self.sock)
        self.sock.close()
        self.sock = None
        self.resume_at = 0.0
        self.statuses["closed"] += 1
        if self._begins < self._play.begins:
            self.begin(selector)


def run(play: Play, addr: tuple[str, int], target: Target, for_s: float) -> dict[str, int]:
    """Play for some seconds; gives the number of answers by status, and of closed connections."""
    selector = selectors.DefaultSelector()
    clients = [Client(addr, play, target) for _ in range(play.connections)]
    for client in clients:
        client.begin(selector)
    ends_at = time.monotonic() + for_s
    while (now := time.monotonic()) < ends_at:
        for key, mask in selector.select(0.01) if selector.get_map() else ():
            key.data.turn(selector, mask, now)
        for client in clients:
            if client.resume_at and client.resume_at <= now:
                client.resume(selector)
        if not selector.get_map():
            time.sleep(0.01)
    total: collections.Counter[str] = collections.Counter()
    for client in clients:
        total.update(client.statuses)
    return dict(total)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--play", choices=[*PLAYS, *CALM_PLAYS], required=True)
    parser.add_argument("--addr", required=True)
    parser.add_argument("--path", required=True)
    parser.add_argument("--key", default="")
    parser.add_argument("--for-s", type=float, default=4.0)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    host, _, port = args.addr.rpartition(":")
    target = Target(args.path, args.key, random.Random(args.seed))
    print(json.dumps(run((PLAYS | CALM_PLAYS)[args.play], (host, int(port)), target, args.for_s)))


if __name__ == "__main__":
    main()
