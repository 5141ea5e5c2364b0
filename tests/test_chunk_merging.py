"""Bodies in chunks: read as the parser alone reads them, however they are cut, in little time."""

from __future__ import annotations

import random
import time
from typing import Any, Final

import curio
import h11
import pytest

from ramppost.wire.intake import Intake
from ramppost.wire.reader import BadInput, RequestReader, read_or_refuse

HEAD: Final = b"POST /x HTTP/1.1\r\nhost: site\r\ntransfer-encoding: chunked\r\n\r\n"
MAX_BLOCK: Final = 1024
LARGE: Final = 1 << 20


class Arriving:
    """A socket on which pieces arrive, one by one."""

    def __init__(self, pieces: list[bytes]) -> None:
        self._pieces = pieces

    async def recv(self, size: int) -> bytes:
        if not self._pieces:
            return b""
        piece, rest = self._pieces[0][:size], self._pieces[0][size:]
        self._pieces[:1] = [rest] if rest else []
        return piece

    def fileno(self) -> int:
        return 0


Read = tuple[str, bytes]


REFUSED: Final = ("refused", b"")


def read_all(pieces: list[bytes], max_block: int = MAX_BLOCK) -> list[Read]:
    """What the reader makes of requests: their targets and bodies, or that one is refused."""

    async def played() -> list[Read]:
        conn = h11.Connection(h11.SERVER, max_incomplete_event_size=max_block)
        sock = Arriving(list(pieces))
        reader = RequestReader(conn, Intake().open(sock), max_block)
        found: list[Read] = []
        while await reader.wait(1.0):
            head = await read_or_refuse(20, reader.read_head())
            if not isinstance(head, h11.Request):
                return found if head is None else [*found, REFUSED]
            body = await read_or_refuse(20, reader.read_body(8 * LARGE))
            if not isinstance(body, bytes):
                assert isinstance(body, BadInput)
                return [*found, REFUSED]
            found.append((head.target.decode(), body))
            conn.send(h11.Response(status_code=200, headers=[("content-length", "0")]))
            conn.send(h11.EndOfMessage())
            if conn.their_state is not h11.DONE:
                return found
            conn.start_next_cycle()
        return found

    return curio.run(played)


def parse_all(data: bytes) -> list[Read]:
    """What the parser alone makes of the same bytes."""
    conn = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_BLOCK)
    conn.receive_data(data)
    conn.receive_data(b"")
    found: list[Read] = []
    target, body = "", b""
    while True:
        try:
            event: Any = conn.next_event()
        except h11.RemoteProtocolError:
            return [*found, REFUSED]
        if isinstance(event, h11.Request):
            target, body = event.target.decode(), b""
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            found.append((target, body))
            conn.send(h11.Response(status_code=200, headers=[("content-length", "0")]))
            conn.send(h11.EndOfMessage())
            if conn.their_state is not h11.DONE:
                return found
            conn.start_next_cycle()
        else:
            return found


CHUNK_ENDS: Final = [b"\r\n"] * 30 + [b"\n", b"", b"\r", b"5\r\n", b"\r\n\r\n"]
EXTENSIONS: Final = [b""] * 6 + [b";a=b", b" ", b"\t", b";\r;", b"; a", b" ;a", b";\n", b"\n", b"x"]
ENDS: Final = [b"0\r\n\r\n"] * 5 + [b"0\r\na: b\r\n\r\n", b"0\r\n", b"0\n\n", b"-1\r\n"]
SIZES: Final = [0, 1, 1, 1, 1, 1, 2, 2, 3, 15, 16, 300]


def drawn_request(rng: random.Random) -> bytes:
    """A request in chunks that are well formed, mostly."""
    data = HEAD
    while (size := rng.choice(SIZES)) or rng.random() < 0.5:
        zeros = b"0" * rng.choice([0, 0, 0, 0, 3, 25])
        extension = rng.choice(EXTENSIONS) if rng.random() < 0.3 else b""
        body = rng.choice([b"x", b"\r", b"\n", b"1"]) * size
        end = rng.choice(CHUNK_ENDS) if rng.random() < 0.2 else b"\r\n"
        chunk = b"%b%x%b\r\n%b%b" % (zeros, size, extension, body, end)
        data += chunk * (rng.randrange(1, 40) if rng.random() < 0.3 else 1)
    return data + rng.choice(
        [b"0\r\n\r\n"] * 5 + [b"0\r\na: b\r\n\r\n", b"0\r\n", b"0\n\n", b"-1\r\n"]
    )


def cut(rng: random.Random, data: bytes) -> list[bytes]:
    """The same bytes in pieces."""
    longest = rng.choice([1, 3, 20, 1000])
    pieces = []
    while data:
        size = rng.randrange(1, longest + 1)
        pieces.append(data[:size])
        data = data[size:]
    return pieces


@pytest.mark.parametrize("seed", range(20))
def test_merged_chunks_were_read_as_something_else(seed: int) -> None:
    """A merged chunk could hide a fault, or take bytes of the next request."""
    rng = random.Random(seed)
    for _ in range(60):
        data = b"".join(drawn_request(rng) for _ in range(rng.randrange(1, 4)))
        assert read_all(cut(rng, data)) == parse_all(data), data


@pytest.mark.parametrize(
    "chunk", [b"1\r\nx\r\n", b"1;n=v\r\nx\r\n", b"1\r\nx\r\n2\r\nyy\r\n", b"0001 \r\nx\r\n"]
)
def test_small_chunks_took_a_minute(chunk: bytes) -> None:
    """A body of a megabyte in chunks of a byte or two was parsed for 14 s."""
    data = HEAD + chunk * LARGE + b"0\r\n\r\n"
    began_at = time.process_time()
    assert len(read_all([data])[0][1]) >= LARGE
    assert time.process_time() - began_at < 20 / 4


def test_spaces_in_a_chunk_header_took_seconds() -> None:
    """The parser searched 60,000 spaces before a stray line break for 6 s."""
    began_at = time.process_time()
    assert read_all([HEAD, b"1;" + b" " * 60000 + b"\nx\r\n"], 16384) == [REFUSED]
    assert time.process_time() - began_at < 1
