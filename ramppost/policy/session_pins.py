"""Remembers the version that each session in progress runs on.

No I/O.  A session is in progress from when a request of it is sent until `session_s` after the end
of the last answer.  `SessionPins` holds the sessions that this gateway has served, and what it was
told of others when it asked.  `KeptSessions` holds what other gateways have told it as their keeper
(`ramppost.policy.keepers`).
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final, NamedTuple

from ramppost.bounded import drop_oldest

MAX_SESSIONS: Final = 20000
END_SLACK_S: Final = 0.5
"""An answer ends for its caller, and for the next request, later than at this gateway."""


class SessionKey(NamedTuple):
    """A session of a service; `label` is the hash that names it (`session_label`)."""

    service: str
    label: str


class SessionPin(NamedTuple):
    """The version of a session, empty while it is not decided, and the number of requests under
    way.  Without any, the session is in progress until `until` (steady clock)."""

    version: str
    open_requests: int
    until: float

    def is_in_progress(self, now: float) -> bool:
        """Whether the next request belongs to the same session."""
        return self.open_requests > 0 or now < self.until


NO_PIN: Final = SessionPin("", 0, float("-inf"))


class SessionPins:
    """The versions of the sessions that this gateway knows, the latest `MAX_SESSIONS`.

    >>> pins, key = SessionPins(5.0), SessionKey("lm", "s")
    >>> pins.begin(key, 0.0)
    >>> pins.assign(key, "v1", 0.0)
    ''
    >>> pins.end(key, 8.0)
    >>> pins.version(key, 13.0), pins.version(key, 14.0)
    ('v1', '')
    """

    def __init__(self, session_s: float) -> None:
        self.session_s = session_s
        self._pins: dict[SessionKey, SessionPin] = {}

    @property
    def lasting_s(self) -> float:
        """How long after the end of an answer the next request belongs to its session, seconds."""
        return self.session_s + END_SLACK_S

    def begin(self, key: SessionKey, now: float) -> None:
        """Record the first attempt of a request."""
        pin = self._known(key, now)
        self._put(key, pin._replace(open_requests=pin.open_requests + 1))

    def assign(self, key: SessionKey, version: str, now: float) -> str:
        """Record the version of an attempt; returns the one before, empty if there was none."""
        pin = self._known(key, now)
        self._put(key, pin._replace(version=version))
        return pin.version

    def end(self, key: SessionKey, now: float) -> None:
        """Record the end of a request."""
        pin = self._pins.get(key)
        if pin is None:
            return
        left = max(0, pin.open_requests - 1)
        self._put(key, SessionPin(pin.version, left, now + self.lasting_s))

    def adopt(self, key: SessionKey, version: str, left_s: float, now: float) -> None:
        """Record the version of a session that is in progress elsewhere for `left_s` more."""
        pin = self._known(key, now)
        self._put(key, pin._replace(version=version, until=max(pin.until, now + left_s)))

    def version(self, key: SessionKey, now: float) -> str:
        """The version of a session in progress; empty if it is not known."""
        return self._known(key, now).version

    def left_s(self, key: SessionKey, now: float) -> float:
        """How much longer a session is in progress at least, seconds; a whole session while a
        request is under way."""
        pin = self._known(key, now)
        return self.lasting_s if pin.open_requests else max(0.0, pin.until - now)

    def in_progress(self, now: float) -> Iterator[SessionKey]:
        """The sessions in progress whose version is known."""
        for key, pin in self._pins.items():
            if pin.version and pin.is_in_progress(now):
                yield key

    def _known(self, key: SessionKey, now: float) -> SessionPin:
        pin = self._pins.get(key, NO_PIN)
        return pin if pin.is_in_progress(now) else NO_PIN

    def _put(self, key: SessionKey, pin: SessionPin) -> None:
        self._pins.pop(key, None)
        self._pins[key] = pin
        drop_oldest(self._pins, MAX_SESSIONS)


class KeptSession(NamedTuple):
    """The version that a session runs on, and until when it is in progress (steady clock)."""

    version: str
    until: float


class KeptSessions:
    """The sessions that gateways have told this one of, the latest `MAX_SESSIONS`.

    >>> kept, key = KeptSessions(), SessionKey("lm", "s")
    >>> kept.record(key, "v1", 5.0, False, 0.0)
    >>> kept.find(key, 4.0)
    KeptSession(version='v1', until=5.0)
    >>> kept.find(key, 6.0)
    """

    def __init__(self) -> None:
        self._kept: dict[SessionKey, KeptSession] = {}

    def record(self, key: SessionKey, version: str, left_s: float, ended: bool, now: float) -> None:
        """Record that a session is in progress for `left_s` more.

        Only the end of a request shortens what was told before.
        """
        known = self._kept.pop(key, None)
        until = now + left_s
        if known is not None and not ended and known.version == version:
            until = max(until, known.until)
        self._kept[key] = KeptSession(version, until)
        drop_oldest(self._kept, MAX_SESSIONS)

    def find(self, key: SessionKey, now: float) -> KeptSession | None:
        """A session in progress; None if none is known."""
        kept = self._kept.get(key)
        return kept if kept is not None and now < kept.until else None

    def in_progress(self, now: float) -> Iterator[tuple[SessionKey, KeptSession]]:
        """All sessions in progress."""
        return ((key, kept) for key, kept in self._kept.items() if now < kept.until)
