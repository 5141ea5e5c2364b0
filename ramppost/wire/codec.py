"""Encoding of messages: JSON by msgspec, checked against the generated types."""

from __future__ import annotations

from typing import Any, NamedTuple, TypeVar

import msgspec

T = TypeVar("T")


class BadMessage(NamedTuple):
    """Why bytes are not a message of the type wanted, with the path of the fault."""

    reason: str


def encode(value: Any) -> bytes:
    """JSON bytes of a message."""
    return msgspec.json.encode(value)


def encode_line(value: Any) -> bytes:
    """A message as one line of a stream."""
    return msgspec.json.encode(value) + b"\n"


def decode(data: bytes, kind: type[T]) -> T | BadMessage:
    """Decode and check a message.

    >>> class Line(NamedTuple):
    ...     rev: int
    >>> decode(b'["x"]', Line)
    BadMessage(reason='Expected `int`, got `str` - at `$[0]`')
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        return BadMessage(str(exc))
