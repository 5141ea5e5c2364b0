"""Names what may crash an upstream: a request, or a part that its prompt shares with others.

Pure.  A request is named by its fingerprint and a part by `part_key`, so that both kinds can be
suspects of the same evidence (`ramppost.policy.fatal`).
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from typing import Final

KEY_PREFIX: Final = "part:"
MAX_NAME_CHARS: Final = 32
"""Longer names of parts are replaced by a digest, because callers choose them."""
DIGEST_BYTES: Final = 8


def part_key(name: str) -> str:
    """The suspect that stands for a shared part of prompts.

    >>> part_key("5c1e07a2"), len(part_key("x" * 5000))
    ('part:5c1e07a2', 22)
    """
    if len(name) <= MAX_NAME_CHARS:
        return KEY_PREFIX + name
    return f"{KEY_PREFIX}#{_digest(name)}"


def is_part(suspect: str) -> bool:
    """Whether a suspect is a part and not a request."""
    return suspect.startswith(KEY_PREFIX)


def group_key(parts: Iterable[str]) -> str:
    """The key of a verdict on parts that are fatal only together; of a single one, its own.

    >>> group_key(["part:aa"]), group_key(["part:b", "part:a"]) == group_key(["part:a", "part:b"])
    ('part:aa', True)
    """
    ordered = sorted(parts)
    return ordered[0] if len(ordered) == 1 else f"{KEY_PREFIX}&{_digest(' '.join(ordered))}"


def _digest(text: str) -> str:
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()
