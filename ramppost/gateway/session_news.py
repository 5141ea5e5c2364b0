"""Shares the versions of sessions between gateways, so that no roll-out moves one in progress.

A session's requests may come to any gateway.  Which version it runs on is kept by two gateways
that all find by the same hash, its keepers (`ramppost.policy.keepers`).  A gateway tells them as it
sends a request and as the answer has ended, whether a roll-out is under way or not, so that nothing
depends on when an order is seen.  While a roll-out is in its first half, it tells them again every
second, for keepers that have just started or were not reached.  A gateway that stops hands on all
that it knows.

In the first half of a roll-out a gateway asks the keepers for each request of a session, which may
have gone on at another gateway.  A session that none knows may be moved only if a keeper that has
been there for as long as a session lasts does not know it.

Only sessions that the first step of a roll-out may move are told: the versions of all others follow
from the step.  All messages are datagrams (`ramppost.gateway.datagrams`).
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Set
from typing import Final, NamedTuple

import curio
from loguru import logger

from ramppost import clock
from ramppost.gateway.datagrams import Address, Datagrams
from ramppost.gateway.early import parse_address
from ramppost.gateway.metrics import Metrics
from ramppost.policy.fingerprint import session_label
from ramppost.policy.keepers import (
    KEEPER_EXCLUSION_S,
    SessionRing,
    SilentKeepers,
    session_keepers,
    session_ring,
)
from ramppost.policy.ramp import is_early
from ramppost.policy.relays import Peers
from ramppost.policy.session_pins import KeptSessions, SessionKey, SessionPins
from ramppost.schema.messages import PeerDatagram, SessionAnswer, SessionAsk, SessionNote

ASK_TIMEOUT_S: Final = 0.05
"""A round trip between distant regions."""
ASKS: Final = 2
"""How often a keeper that does not answer is asked, as links lose datagrams."""
MAX_NOTES: Final = 40
"""Sessions in a datagram: some 100 bytes each."""
START_S: Final = 2.0
"""From the start of a gateway until all others know it as a keeper."""
MAX_LEFT_S: Final = 600.0
"""Longest time for which a session is taken to be in progress after it was told."""


class Learned(NamedTuple):
    """What a gateway has found out about a session: its version, empty if nobody knows one, and
    whether it is certain then that it is not in progress anywhere."""

    version: str
    is_new: bool


class _Question:
    """A question to the keepers of a session; `open_ids` are those that have not answered."""

    def __init__(self, open_ids: dict[int, str]) -> None:
        self.open_ids = open_ids
        self.version = ""
        self.left_s = 0.0
        self.certain = False
        self.decided = curio.Event()


class SessionNews:
    """The sessions that this gateway serves and keeps."""

    def __init__(
        self, peers: Peers, datagrams: Datagrams, metrics: Metrics, pins: SessionPins
    ) -> None:
        self.pins = pins
        self._peers = peers
        self._datagrams = datagrams
        self._metrics = metrics
        self._kept = KeptSessions()
        self._started_at = clock.now()
        self._ring: SessionRing = session_ring(())
        self._ring_valid_for = -1
        self._stopping = False
        self._silent = SilentKeepers()
        self._questions: dict[int, _Question] = {}
        self._ids = itertools.count(1)

    # --- sessions that this gateway serves

    def begin(self, service: str, session: str) -> None:
        """Record the first attempt of a request."""
        self.pins.begin(_key(service, session), clock.now())

    def assign(self, service: str, session: str, version: str, deadline: float) -> str:
        """Record that a request is being sent to a version, and tell the keepers.

        `deadline` is that of the request (steady clock).  Returns the version before, empty if none
        was known.
        """
        key, now = _key(service, session), clock.now()
        before = self.pins.assign(key, version, now)
        if version:
            left_s = max(0.0, deadline - now) + self.pins.lasting_s
            self._tell_if_early(key, version, left_s, ended=False)
        return before

    def end(self, service: str, session: str) -> None:
        """Record the end of a request, and tell the keepers."""
        key, now = _key(service, session), clock.now()
        self.pins.end(key, now)
        version = self.pins.version(key, now)
        if version:
            self._tell_if_early(key, version, self.pins.lasting_s, ended=True)

    def version(self, service: str, session: str) -> str:
        """The version of a session in progress; empty if this gateway does not know it."""
        return self.pins.version(_key(service, session), clock.now())

    async def learn(self, service: str, session: str) -> Learned:
        """Find out about a session from its keepers."""
        key, now = _key(service, session), clock.now()
        kept = self._kept.find(key, now)
        if kept is not None:
            self.pins.adopt(key, kept.version, kept.until - now, now)
            return Learned(kept.version, False)
        names = [name for name in self._keepers(key, now) if name != self._peers.own]
        question = await self._ask(names, key)
        if question.version:
            self.pins.adopt(key, question.version, question.left_s, clock.now())
            return Learned(question.version, False)
        return Learned("", question.certain or self._would_have_been_told(key, now))

    def tell_all(self) -> None:
        """Tell the keepers of all sessions in progress that this gateway serves."""
        now = clock.now()
        notes = [
            _note(key, self.pins.version(key, now), self.pins.left_s(key, now), ended=False)
            for key in self.pins.in_progress(now)
            if is_early(key.service, key.label)
        ]
        self._send(notes)

    def hand_over(self) -> None:
        """Tell other gateways all that this one knows, since it is about to end."""
        self._stopping = True
        now = clock.now()
        notes = [
            _note(key, kept.version, kept.until - now, ended=False)
            for key, kept in self._kept.in_progress(now)
        ]
        self._send(notes)
        self.tell_all()
        logger.info("sessions handed over", kept=len(notes))

    # --- keepers

    def _keepers(self, key: SessionKey, now: float) -> list[str]:
        """Those of a session, without gateways that have not answered lately."""
        return self._select_keepers(key, self._silent.names(now) | self._peers.stopping(now))

    def _select_keepers(self, key: SessionKey, unavailable: Set[str] = frozenset()) -> list[str]:
        """Those that follow the session on the ring; never this gateway while it stops."""
        if self._ring_valid_for != self._peers.changes:
            self._ring_valid_for = self._peers.changes
            self._ring = session_ring(self._peers.names)
        if self._stopping:
            unavailable = unavailable | {self._peers.own}
        return session_keepers(key.label, self._ring, self._peers.halls, unavailable)

    def _would_have_been_told(self, key: SessionKey, now: float) -> bool:
        """Whether this gateway would know a session if it were in progress: it has been one of its
        keepers for long enough, whoever else does not answer."""
        if self._peers.fleet_size == 0 or now - self._started_at < self.pins.lasting_s + START_S:
            return False
        return self._peers.own in self._select_keepers(key, self._peers.stopping(now))

    def _tell_if_early(self, key: SessionKey, version: str, left_s: float, ended: bool) -> None:
        if is_early(key.service, key.label):
            self._send([_note(key, version, left_s, ended)])

    def _send(self, notes: Iterable[SessionNote]) -> None:
        now = clock.now()
        by_keeper: dict[str, list[SessionNote]] = {}
        for note in notes:
            key = SessionKey(note["service"], note["session"])
            # One that is silent or stops may be asked by gateways that don't know that.
            for name in {*self._select_keepers(key), *self._keepers(key, now)}:
                by_keeper.setdefault(name, []).append(note)
        for name, told in by_keeper.items():
            if name == self._peers.own:
                self._record(told)
                continue
            addr = parse_address(self._peers.addrs[name])
            for start in range(0, len(told), MAX_NOTES):
                self._datagrams.send(addr, PeerDatagram(sessions=told[start : start + MAX_NOTES]))

    async def _ask(self, names: list[str], key: SessionKey) -> _Question:
        question = _Question({next(self._ids): name for name in names})
        asked = dict(question.open_ids)
        self._questions |= dict.fromkeys(asked, question)
        try:
            for _ in range(ASKS):
                if question.open_ids and not question.version:
                    self._send_asks(question, key)
                    await curio.ignore_after(ASK_TIMEOUT_S, question.decided.wait)
        finally:
            for ask_id in asked:
                self._questions.pop(ask_id, None)
        if not question.version:
            for ask_id, name in asked.items():
                self._record_reply(name, ask_id not in question.open_ids)
        return question

    def _send_asks(self, question: _Question, key: SessionKey) -> None:
        """Ask the keepers that have not answered."""
        for ask_id, name in question.open_ids.items():
            ask = SessionAsk(id=ask_id, service=key.service, session=key.label)
            addr = parse_address(self._peers.addrs[name])
            self._datagrams.send(addr, PeerDatagram(session_ask=ask))

    def _record_reply(self, name: str, answered: bool) -> None:
        """Record whether a keeper answered in time; it is left out after repeated misses."""
        if self._silent.record_reply(name, answered, clock.now()):
            self._metrics.count("ramppost_session_keeper_silences_total")
            logger.info(
                "keeper of sessions does not answer", peer=name, left_out_s=KEEPER_EXCLUSION_S
            )

    # --- messages from other gateways

    async def handle_datagram(self, msg: PeerDatagram, addr: Address) -> None:
        """Process what another gateway tells or asks about sessions."""
        if "sessions" in msg:
            self._record(msg["sessions"][:MAX_NOTES])
        if "session_ask" in msg:
            answer = self._answer(msg["session_ask"])
            self._datagrams.send(addr, PeerDatagram(session_answer=answer))
        if "session_answer" in msg:
            await self._handle_answer(msg["session_answer"])

    def _record(self, notes: Iterable[SessionNote]) -> None:
        now = clock.now()
        for note in notes:
            key = SessionKey(note["service"], note["session"])
            left_s = min(MAX_LEFT_S, max(0, note["left_ms"]) / 1000)
            self._kept.record(key, note["version"], left_s, note["ended"], now)

    def _answer(self, ask: SessionAsk) -> SessionAnswer:
        key, now = SessionKey(ask["service"], ask["session"]), clock.now()
        answer = SessionAnswer(id=ask["id"], certain=self._would_have_been_told(key, now))
        kept = self._kept.find(key, now)
        version, left_s = self.pins.version(key, now), self.pins.left_s(key, now)
        if kept is not None:
            version, left_s = kept.version, kept.until - now
        if version:
            answer["version"] = version
            answer["left_ms"] = round(left_s * 1000)
        return answer

    async def _handle_answer(self, answer: SessionAnswer) -> None:
        question = self._questions.get(answer["id"])
        if question is None or question.open_ids.pop(answer["id"], None) is None:
            return
        question.certain |= answer["certain"]
        if answer.get("version"):
            question.version = answer["version"]
            question.left_s = min(MAX_LEFT_S, max(0, answer.get("left_ms", 0)) / 1000)
        if question.version or not question.open_ids:
            await question.decided.set()


def _key(service: str, session: str) -> SessionKey:
    return SessionKey(service, session_label(session))


def _note(key: SessionKey, version: str, left_s: float, ended: bool) -> SessionNote:
    return SessionNote(
        service=key.service,
        session=key.label,
        version=version,
        left_ms=round(left_s * 1000),
        ended=ended,
    )
