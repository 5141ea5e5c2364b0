"""Entries in the store that can't be read: each is logged once for each of its revisions.

Whoever can write to the store may leave an entry with fields missing or of another type.  It
names nothing; every list shows it again, and a fleet of hundreds would log it for ever.
"""

from __future__ import annotations

from typing import Final, TypeVar

from loguru import logger

from ramppost.platform.store import StoredObject
from ramppost.wire.codec import BadMessage, decode, encode

T = TypeVar("T")

MAX_LOGGED_ENTRIES: Final = 1024
"""Entries that are remembered as logged; further ones push the oldest out."""


class UnreadableEntries:
    """Which revision of each entry was logged last."""

    def __init__(self) -> None:
        self._logged: dict[tuple[str, str], int] = {}

    def decode_spec(self, kind: str, obj: StoredObject, wanted: type[T]) -> T | None:
        """An entry's spec as a type of ours; None, and noted, where it is not of that type."""
        spec = decode(encode(obj.spec), wanted)
        if isinstance(spec, BadMessage):
            self.log_once(kind, obj, spec.reason)
            return None
        return spec

    def log_once(self, kind: str, obj: StoredObject, reason: str) -> None:
        """An entry can't be read."""
        key = (kind, obj.name)
        if self._logged.get(key) == obj.revision:
            return
        self._logged.pop(key, None)
        self._logged[key] = obj.revision
        while len(self._logged) > MAX_LOGGED_ENTRIES:
            del self._logged[next(iter(self._logged))]
        logger.warning(
            "entry not understood: {}", reason, kind=kind, name=obj.name, revision=obj.revision
        )
