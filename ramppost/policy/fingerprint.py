"""What stays the same when a request comes again.

Pure.  Each try of a caller has an id of its own, so the id can't tell that a request has come
before, at this gateway or at another.  Its path, its body and whose it is can.
"""

from __future__ import annotations

import hashlib
from typing import Final

DIGEST_BYTES: Final = 8
"""Among a million requests two share a fingerprint once in 37 million times."""


def fingerprint(host: str, target: str, caller: str, body: bytes) -> str:
    """Names a request by its content; `caller` is its workspace, empty where it has none.

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
