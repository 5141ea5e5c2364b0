"""Computes a fingerprint that identifies repeated requests, and labels of sessions.

Pure.  Each retry by a caller has a new request id, so the id doesn't show that the same request has
arrived before, at this gateway or another.  Its host, path, body and workspace do.
"""

from __future__ import annotations

import functools
import hashlib
from typing import Final

DIGEST_BYTES: Final = 8
"""The probability that any two of a million requests share a fingerprint is 1 in 37 million."""
LABEL_BYTES: Final = 6
"""The probability that any two of 20,000 sessions share a label is 1 in 1.4 million."""
LABEL_CACHE_SIZE: Final = 4096


def fingerprint(host: str, target: str, caller: str, body: bytes) -> str:
    """A hash of a request's content; `caller` is its workspace, or "" if it has none.

    >>> first = fingerprint("site.example", "/ask/2f", "kitchen", b"question")
    >>> first == fingerprint("site.example", "/ask/2f", "kitchen", b"question")
    True
    >>> first == fingerprint("site.example", "/ask/2f", "kitchen", b"another")
    False
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (host.encode(), target.encode(), caller.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


@functools.lru_cache(maxsize=LABEL_CACHE_SIZE)
def session_label(session: str) -> str:
    """A short hash of a session, which names it in log lines and messages.

    >>> len(session_label("any name that its callers have chosen"))
    12
    """
    return hashlib.blake2b(session.encode(), digest_size=LABEL_BYTES).hexdigest()
