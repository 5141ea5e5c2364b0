"""Reads log lines of gateways: JSON, one to a line, plain or compressed by gzip.

What stands before a line's first brace is passed over, for what collects logs often puts a time or
a name there.  A line that can't be read is counted and nothing else: it may have been cut.
"""

from __future__ import annotations

import gzip
import sys
from collections.abc import Iterable, Iterator
from contextlib import AbstractContextManager, nullcontext
from datetime import datetime
from pathlib import Path
from typing import Any, Final, NamedTuple

from ramppost.wire.codec import BadMessage, decode

STDIN: Final = "-"


class Line(NamedTuple):
    """A line: the process that wrote it, when by its clock (time of day, seconds), its module
    without the package, its message, and the other fields."""

    program: str
    at: float
    module: str
    message: str
    fields: dict[str, Any]


class Unreadable(NamedTuple):
    """A line that is no JSON object, or lacks what every line has."""

    where: str


class CantOpen(NamedTuple):
    """A file that can't be read, and why."""

    path: str
    reason: str


def read_lines(path: str) -> Iterator[Line | Unreadable | CantOpen]:
    """The lines of a file, `-` for standard input."""
    number = 0
    try:
        with _opened(path) as file:
            for number, raw in enumerate(file, 1):
                found = _line(raw)
                yield Unreadable(f"{path}:{number}") if found is None else found
    except (OSError, EOFError) as exc:
        yield CantOpen(path, f"after line {number}: {exc}" if number else str(exc))


def _opened(path: str) -> AbstractContextManager[Iterable[bytes]]:
    if path == STDIN:
        return nullcontext(sys.stdin.buffer)
    with Path(path).open("rb") as file:
        packed = file.read(2) == b"\x1f\x8b"
    return gzip.open(path, "rb") if packed else Path(path).open("rb")


def _line(raw: bytes) -> Line | None:
    begin = raw.find(b"{")
    fields = decode(raw[begin:], dict[str, Any]) if begin >= 0 else None
    if fields is None or isinstance(fields, BadMessage):
        return None
    program, at = fields.get("program"), _time(fields.get("at"))
    module, message = fields.get("module"), fields.get("message")
    if not isinstance(program, str) or not isinstance(module, str):
        return None
    if not isinstance(message, str) or at is None:
        return None
    return Line(program, at, module.rpartition(".")[2], message, fields)


def _time(text: Any) -> float | None:
    try:
        return datetime.fromisoformat(text).timestamp()
    except (TypeError, ValueError):
        return None
