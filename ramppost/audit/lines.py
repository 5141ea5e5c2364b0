"""Reads the JSON log lines of gateways from plain or gzip files.

Text before the first brace of a line is ignored, because log collectors often prepend a time or a
name.  Lines that can't be decoded are only counted: they may have been truncated.
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
    """A decoded log line.

    `at` is the time of day in seconds by the clock of the process, and `module` the name of the
    module without its package.  `fields` holds all fields of the line.
    """

    program: str
    at: float
    module: str
    message: str
    fields: dict[str, Any]


class Unreadable(NamedTuple):
    """A line that is not a JSON object, or lacks a field that every line has."""

    location: str


class FileError(NamedTuple):
    """A file that can't be read, and the reason."""

    path: str
    reason: str


def read_lines(path: str) -> Iterator[Line | Unreadable | FileError]:
    """Reads the lines of a file, or of standard input if `path` is `-`."""
    number = 0
    try:
        with _open(path) as file:
            for number, raw in enumerate(file, 1):
                line = _parse_line(raw)
                yield Unreadable(f"{path}:{number}") if line is None else line
    except (OSError, EOFError) as exc:
        yield FileError(path, f"after line {number}: {exc}" if number else str(exc))


def _open(path: str) -> AbstractContextManager[Iterable[bytes]]:
    if path == STDIN:
        return nullcontext(sys.stdin.buffer)
    with Path(path).open("rb") as file:
        compressed = file.read(2) == b"\x1f\x8b"
    return gzip.open(path, "rb") if compressed else Path(path).open("rb")


def _parse_line(raw: bytes) -> Line | None:
    start = raw.find(b"{")
    fields = decode(raw[start:], dict[str, Any]) if start >= 0 else None
    if fields is None or isinstance(fields, BadMessage):
        return None
    program, at = fields.get("program"), _parse_time(fields.get("at"))
    module, message = fields.get("module"), fields.get("message")
    if not isinstance(program, str) or not isinstance(module, str):
        return None
    if not isinstance(message, str) or at is None:
        return None
    return Line(program, at, module.rpartition(".")[2], message, fields)


def _parse_time(text: Any) -> float | None:
    try:
        return datetime.fromisoformat(text).timestamp()
    except (TypeError, ValueError):
        return None
