"""JSON encoding of messages with msgspec; decoding validates against the generated types."""

from __future__ import annotations

from typing import Any, NamedTuple, TypeVar

import msgspec

T = TypeVar("T")


class BadMessage(NamedTuple):
    """Why data is not a valid message of the expected type, with the path of the error."""

    reason: str


def encode(value: Any) -> bytes:
    """Encode a message as JSON."""
    return msgspec.json.encode(value)


def encode_line(value: Any) -> bytes:
    """Encode a message as a line of newline-delimited JSON."""
    return msgspec.json.encode(value) + b"\n"


def decode(data: bytes, message_type: type[T]) -> T | BadMessage:
    """Decode a message and validate it against its type.

    >>> class Line(NamedTuple):
    ...     rev: int
    >>> decode(b'["x"]', Line)
    BadMessage(reason='Expected `int`, got `str` - at `$[0]`')
    """
    try:
        return msgspec.json.decode(data, type=message_type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        return BadMessage(str(exc))
