"""Logs store entries that can't be decoded, once for each revision of an entry.

Anyone who can write to the store may leave an entry with missing fields or fields of a wrong type.
Such an entry is ignored, but it appears in every listing, and a fleet of hundreds of gateways would
log it forever.
"""

from __future__ import annotations

from typing import Final, TypeVar

from loguru import logger

from ramppost.bounded import drop_oldest
from ramppost.platform.store import StoredObject
from ramppost.wire.codec import BadMessage, decode, encode

T = TypeVar("T")

MAX_LOGGED_ENTRIES: Final = 1024
"""Maximum number of entries remembered as logged; the oldest are evicted."""


class UnreadableEntries:
    """The last logged revision of each invalid entry."""

    def __init__(self) -> None:
        self._logged: dict[tuple[str, str], int] = {}

    def decode_spec(self, kind: str, obj: StoredObject, spec_type: type[T]) -> T | None:
        """Decode an entry's spec as the given type; if it is invalid, log it and return None."""
        spec = decode(encode(obj.spec), spec_type)
        if isinstance(spec, BadMessage):
            self.log_once(kind, obj, spec.reason)
            return None
        return spec

    def log_once(self, kind: str, obj: StoredObject, reason: str) -> None:
        """Log an invalid entry unless this revision has been logged already."""
        key = (kind, obj.name)
        if self._logged.get(key) == obj.revision:
            return
        self._logged.pop(key, None)
        self._logged[key] = obj.revision
        drop_oldest(self._logged, MAX_LOGGED_ENTRIES)
        logger.warning(
            "invalid store entry: {}", reason, kind=kind, name=obj.name, revision=obj.revision
        )
