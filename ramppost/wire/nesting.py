"""Makes JSON readable that is valid but can't be decoded: it is nested too deeply, or a string has
half of a surrogate pair.

Anyone may write such a value to a store that others read as part of a list.  How deep a decoder
gets depends on how much of the stack its caller has used, so a value that was decoded may be too
deep to be encoded again elsewhere.  What can't be read becomes null, and the rest is as it was.

    limit_nesting(b'{"a":[[[1]]],"b":2}', 2)  # {"a":[null],"b":2}

`decode_list` decodes what holds values of others, and `decode_value` one of these.
"""

from __future__ import annotations

import re
from typing import Final, TypeVar

from ramppost.wire.codec import BadMessage, decode

T = TypeVar("T")

MAX_NESTING: Final = 64
"""How deep values may be nested: many times deeper than any document of ours or the platform's."""
ENVELOPE_NESTING: Final = 4
"""How deep values are nested in a list or watch of a store."""
OPENING: Final = (b"[", b"{")
NO_BRACKETS: Final = bytes(set(range(256)) - set(b"[]{}"))
_STRING: Final = re.compile(rb'"(?:[^"\\]|\\.)*"', re.DOTALL)
_TOKEN: Final = re.compile(_STRING.pattern + rb"|[\[\]{}]", re.DOTALL)
_SURROGATE: Final = re.compile(
    rb"\\u[dD][89abAB][0-9a-fA-F]{2}\\u[dD][c-fC-F][0-9a-fA-F]{2}"
    rb"|(\\u[dD][89a-fA-F][0-9a-fA-F]{2})|\\.",
    re.DOTALL,
)
_AFTER_KEY: Final = re.compile(rb"\s*:")
NULL: Final = b"null"
EMPTY_KEY: Final = b'""'


def decode_list(data: bytes, message_type: type[T]) -> T | BadMessage:
    """Decode values of others with what is around them; one that can't be read does not hide the
    rest."""
    found = decode(data, message_type)
    if isinstance(found, BadMessage):
        return decode(limit_nesting(data, MAX_NESTING + ENVELOPE_NESTING), message_type)
    return found


def decode_value(data: bytes, message_type: type[T]) -> T | BadMessage:
    """Decode one of these values, without what is nested too deeply."""
    return decode(limit_nesting(data) if is_deep(data) else data, message_type)


def is_deep(data: bytes) -> bool:
    """Whether a value may be nested more deeply than `MAX_NESTING`; some that are not twice as deep
    pass.

    >>> is_deep(b'{"a":["]"]}'), is_deep(b"[" * 200 + b"]" * 200), is_deep(b"[{}]" * 500)
    (False, True, False)
    """
    if sum(data.count(opening) for opening in OPENING) <= MAX_NESTING:
        return False
    left = _STRING.sub(b"", data).translate(None, NO_BRACKETS)
    for _ in range(MAX_NESTING):
        if not left:
            return False
        left = left.replace(b"{}", b"").replace(b"[]", b"")
    return bool(left)


def limit_nesting(data: bytes, depth: int = MAX_NESTING) -> bytes:
    """Replace what is nested deeper than `depth`, and strings that no character set can express.

    >>> limit_nesting(b'{"a":[[[1],"]"]],"b":2}', 2)
    b'{"a":[null],"b":2}'
    >>> limit_nesting(rb'["a", "\\ud800", "\\ud83d\\ude00", "\\\\ud800"]')
    b'["a", null, "\\\\ud83d\\\\ude00", "\\\\\\\\ud800"]'
    """
    kept: list[bytes] = []
    level, kept_until = 0, 0
    for token in _TOKEN.finditer(data):
        text = token.group()
        if text in OPENING:
            level += 1
            if level == depth + 1:
                kept += (data[kept_until : token.start()], NULL)
        elif not text.startswith(b'"'):
            if level == depth + 1:
                kept_until = token.end()
            level -= 1
        elif level <= depth and _has_lone_surrogate(text):
            is_key = _AFTER_KEY.match(data, token.end())
            kept += (data[kept_until : token.start()], EMPTY_KEY if is_key else NULL)
            kept_until = token.end()
    return b"".join((*kept, data[kept_until:]))


def _has_lone_surrogate(text: bytes) -> bool:
    return any(match.group(1) for match in _SURROGATE.finditer(text))
