"""Merges the chunks of a request body before the parser sees them.

The parser makes an event of each chunk, which takes hundreds of times as long as the few bytes of
a small chunk deserve.  Where a body is cut means nothing to whoever reads it, so whole chunks that
have arrived together are handed on as a single one.  What is not a whole chunk is handed on
unchanged, and the parser judges it as it would have without this module.

    raw = bytearray(b"1\\r\\na\\r\\n2;x=y\\r\\nbc\\r\\n0\\r\\n\\r\\n")
    chunks = ChunkMerger(16384)
    chunks.take(raw)    # b"3\\r\\nabc\\r\\n"
    chunks.take(raw)    # b"0\\r\\n"; the trailer is left
"""

from __future__ import annotations

import re
from typing import Final

HEX_DIGITS: Final = frozenset(b"0123456789abcdefABCDEF")
MAX_SIZE_DIGITS: Final = 20
"""As many as the parser takes."""
LINE_END: Final = b"\r\n"
TINY_SIZES: Final = [(b"%x" % size, size) for size in range(1, 16)]
TINY_CHUNKS: Final = re.compile(
    rb"(?si:%b)++" % b"|".join(rb"%b\r\n.{%d}\r\n" % tiny for tiny in TINY_SIZES)
)
"""Whole chunks of up to 15 bytes, of which a body may have millions."""
TINY_BODY: Final = re.compile(
    rb"(?si).\r\n(%b)\r\n" % b"|".join(rb"(?<=%b\r\n).{%d}" % tiny for tiny in TINY_SIZES)
)
PLAIN_HEAD: Final = re.compile(rb"([0-9A-Fa-f]{1,20})(?:;[^\r\n]*+|[ \t]*+)\r\n")


class IllegalChunk(Exception):
    """A line that is no chunk header; the parser would take a long time to find that."""


class ChunkMerger:
    """Takes the parts of one chunked body from the bytes that have arrived.

    `max_line_bytes` is the size of an incomplete line up to which more bytes are awaited.
    """

    def __init__(self, max_line_bytes: int) -> None:
        self._max_line_bytes = max_line_bytes
        self._unchanged_bytes = 0
        """What is left of a chunk whose beginning was handed on."""
        self._hands_on_all = False
        self.at_trailer = False
        """Whether the last chunk was taken, after which come the trailer and the next request."""

    def take(self, raw: bytearray) -> bytes:
        """Remove the next part from `raw` and return it; empty if more bytes are needed.

        Raises IllegalChunk.
        """
        if self._hands_on_all:
            return _cut(raw, len(raw))
        if self._unchanged_bytes:
            part = _cut(raw, self._unchanged_bytes)
            self._unchanged_bytes -= len(part)
            return part
        body, end = _whole_chunks(raw)
        if body:
            del raw[:end]
            return b"%x\r\n%b\r\n" % (len(body), bytes(body))
        return self._take_unmerged(raw)

    def _take_unmerged(self, raw: bytearray) -> bytes:
        """Take a line of the last chunk, or the beginning of a chunk that is not whole."""
        line_end = raw.find(LINE_END)
        if line_end < 0:
            self._hands_on_all = len(raw) > self._max_line_bytes
            return _cut(raw, len(raw)) if self._hands_on_all else b""
        size = _chunk_size(raw, 0, line_end)
        head_bytes = line_end + len(LINE_END)
        if size is None:
            self._hands_on_all = True
            return _cut(raw, len(raw))
        if size == 0:
            self.at_trailer = True
            return _cut(raw, head_bytes)
        self._unchanged_bytes = head_bytes + size + len(LINE_END)
        return self.take(raw)


def _cut(raw: bytearray, count: int) -> bytes:
    part = bytes(raw[:count])
    del raw[:count]
    return part


def _whole_chunks(raw: bytearray) -> tuple[bytearray, int]:
    """The bodies of the whole chunks at the beginning, and where these end."""
    body = bytearray()
    at = 0
    while True:
        tiny = TINY_CHUNKS.match(raw, at)
        if tiny is not None:
            body += b"".join(TINY_BODY.findall(raw, at, tiny.end()))
            at = tiny.end()
        size, begin = _chunk_head(raw, at)
        end = begin + size
        if not size or raw[end : end + 2] != LINE_END:
            return body, at
        body += raw[begin:end]
        at = end + 2


def _chunk_head(raw: bytearray, at: int) -> tuple[int, int]:
    """The size of the chunk at a place and where its body begins; the size is 0 if the parser has
    to judge it, or if its header has yet to arrive."""
    plain = PLAIN_HEAD.match(raw, at)
    if plain is not None:
        return int(plain[1], 16), plain.end()
    line_end = raw.find(LINE_END, at)
    size = _chunk_size(raw, at, line_end) if line_end >= 0 else None
    return size or 0, line_end + len(LINE_END)


def _chunk_size(raw: bytearray, begin: int, end: int) -> int | None:
    """The size that a chunk header names; None if the parser has to judge it.

    Raises IllegalChunk for a line break within it.
    """
    if raw.find(b"\n", begin, end) >= 0:
        raise IllegalChunk
    extension = raw.find(b";", begin, end)
    digits = raw[begin : end if extension < 0 else extension]
    if extension < 0:
        digits = digits.rstrip(b" \t")
    if not digits or len(digits) > MAX_SIZE_DIGITS or not HEX_DIGITS.issuperset(digits):
        return None
    return int(digits, 16)
