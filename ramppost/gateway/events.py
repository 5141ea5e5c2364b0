"""Splits a stream of server-sent events into complete events.

Only complete events are passed on, since an upstream may fail within one.

    splitter = EventSplitter()
    splitter.feed(b"id: 1\\ndata: x\\n\\nid: 2\\nda")   # one event; the remainder is buffered
"""

from __future__ import annotations

from typing import Final, NamedTuple

MAX_EVENT_BYTES: Final = 1 << 20
"""Larger than any event of a few tokens."""
SEPARATOR: Final = b"\n\n"
ID_FIELD: Final = b"id:"


class Event(NamedTuple):
    """A complete event with its separator; `id` is empty if it has none."""

    raw: bytes
    id: str


class EventSplitter:
    """Buffers the bytes of a stream until they make up complete events."""

    def __init__(self) -> None:
        self._buf = bytearray()

    @property
    def remainder(self) -> bytes:
        """The bytes after the last complete event."""
        return bytes(self._buf)

    @property
    def is_endless(self) -> bool:
        """Whether an event has become too large to be one."""
        return len(self._buf) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes; returns the events that they complete."""
        # A separator may begin in the last byte that was there.
        start = max(0, len(self._buf) - len(SEPARATOR) + 1)
        self._buf += data
        events = []
        while (end := self._buf.find(SEPARATOR, start)) >= 0:
            raw = bytes(self._buf[: end + len(SEPARATOR)])
            del self._buf[: end + len(SEPARATOR)]
            start = 0
            events.append(Event(raw, _event_id(raw)))
        return events


def _event_id(raw: bytes) -> str:
    for line in raw.split(b"\n"):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return ""
