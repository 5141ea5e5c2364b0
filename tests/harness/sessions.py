"""Sessions that go on at one gateway after the other, and which of them a roll-out has moved."""

from __future__ import annotations

import itertools
import threading
import time
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Final, NamedTuple

from ramppost.platform import names
from ramppost.policy.fingerprint import session_label
from ramppost.policy.ramp import is_early
from tests.harness.gateways import STREAM, Deployment

SERVICE: Final = "lm"
MAX_MOVED: Final = 3
"""Requests that a roll-out may move in spite of their session."""
TOLD_MOVES: Final = 8
SESSION_LENGTH: Final = 5
STAGGER_S: Final = 2.5
"""Over this time callers begin, so that long streams don't all end together."""


class SessionCall(NamedTuple):
    """A request of a session that was answered by a version; times of day."""

    session: str
    gateway: str
    version: str
    sent_at: float
    ended_at: float


class Rollout(NamedTuple):
    """A roll-out to a good version, and when it was ordered (time of day)."""

    version: str
    ordered_at: float
    duration_s: float


class Move(NamedTuple):
    """Two consecutive requests of a session that ran on different versions."""

    before: SessionCall
    after: SessionCall

    def __str__(self) -> str:
        gap_s = self.after.sent_at - self.before.ended_at
        return (
            f"{self.after.session}: {self.before.version} at {self.before.gateway}, "
            f"{gap_s:.2f} s later {self.after.version} at {self.after.gateway}"
        )


def early_sessions() -> Iterator[str]:
    """Names of sessions that the first step of a roll-out moves, if they are new."""
    for number in itertools.count():
        session = f"session-{time.time_ns():x}-{number}"
        if is_early(SERVICE, session_label(session)):
            yield session


def moves(calls: Iterable[SessionCall], rollout: Rollout, session_s: float) -> list[Move]:
    """Sessions in progress that were moved to the version in the first half of its roll-out, or
    back from it."""
    half_at = rollout.ordered_at + rollout.duration_s / 2
    last: dict[str, SessionCall] = {}
    found = []
    for call in sorted(calls, key=lambda call: call.sent_at):
        before = last.get(call.session)
        last[call.session] = call
        if before is None or before.version == call.version:
            continue
        if call.sent_at - before.ended_at >= session_s:
            continue
        to_new = call.version == rollout.version
        if not to_new or call.sent_at < half_at:
            found.append(Move(before, call))
    return found


class SessionLoad:
    """Callers whose sessions each make some requests, every one at the next gateway."""

    def __init__(self, site: Deployment, callers: int = 12, pause_s: float = 0.0) -> None:
        self.site = site
        self.calls: list[SessionCall] = []
        self.failed = 0
        self.away: set[str] = set()
        """Gateways that callers don't choose, as the load balancer has taken them out."""
        self._pause_s = pause_s
        self._sessions = early_sessions()
        self._lock = threading.Lock()
        self._ending = threading.Event()
        self._threads = [threading.Thread(target=self._call, args=(i,)) for i in range(callers)]
        for thread in self._threads:
            thread.start()

    def _call(self, number: int) -> None:
        turn = number
        time.sleep(STAGGER_S * number / len(self._threads))
        while not self._ending.is_set():
            with self._lock:
                session = next(self._sessions)
            for _ in range(SESSION_LENGTH):
                turn += 1
                here = [name for name in self.site.gateways if name not in self.away]
                self._ask(session, here[turn % len(here)])
                time.sleep(self._pause_s)

    def _ask(self, session: str, gateway: str) -> None:
        sent_at = time.time()
        got = self.site.call(gateway, STREAM, headers={names.SESSION.decode(): session})
        if got.status != 200:
            self.failed += 1
            return
        upstream = got.headers[names.SIGNATURE.decode()].partition(".")[2]
        version = self.site.versions[upstream]
        self.calls.append(SessionCall(session, gateway, version, sent_at, time.time()))

    def end(self) -> list[SessionCall]:
        """Let the callers finish; gives what they got."""
        self._ending.set()
        for thread in self._threads:
            thread.join()
        return self.calls


def roll_out(site: Deployment, version: str, duration_s: float, engines: int = 2) -> Rollout:
    """Order a roll-out and start the engines of its version beside the old ones."""
    ordered_at = time.time()
    site.rollout(version, duration_s)
    start_engines(site, version, engines)
    return Rollout(version, ordered_at, duration_s)


def start_engines(site: Deployment, version: str, engines: int = 2) -> None:
    """Start engines of a version."""
    for number in range(engines):
        site.start_upstream(f"new-{number + 1}", SERVICE, version, wait=False)


def tell(load: SessionLoad, rollout: Rollout, found: list[Move]) -> str:
    """What a run was, for the message of an assertion."""
    on_new = sum(call.version == rollout.version for call in load.calls)
    kinds = Counter(f"to {move.after.version}" for move in found)
    lines = [f"{len(load.calls)} calls, {on_new} on {rollout.version}, {load.failed} failed"]
    lines += [f"moved: {dict(kinds)}", *(_describe(move, rollout) for move in found[:TOLD_MOVES])]
    return "\n".join(lines)


def _describe(move: Move, rollout: Rollout) -> str:
    at_s = move.after.sent_at - rollout.ordered_at
    return f"{at_s:.2f} s after the order: {move}"
