"""Backlogs of engines: tells their keepers what this gateway sends, and asks before it sends.

Each engine's backlog is kept by a gateway in its data hall (`ramppost.policy.keepers`).  Before
a prompt is placed, the keepers of its candidates are asked what these have ahead of them;
what is sent, and its first token, is told to the keeper of the engine that was chosen.  All of
it goes in datagrams (`ramppost.gateway.datagrams`): a lost one costs a worse prediction and
nothing else.  Whoever does not answer in time is left out for a while, and the next in rank is
told and asked.

A gateway notes what it sends itself in its own backlogs, too, so without any keeper it still
knows its own prompts.
"""

from __future__ import annotations

import itertools
from typing import Final, NamedTuple

import curio
from loguru import logger

from ramppost import clock
from ramppost.gateway.datagrams import Address, Datagrams
from ramppost.gateway.early import parse_address
from ramppost.gateway.metrics import Metrics
from ramppost.gateway.model import Upstream
from ramppost.policy.backlog import Backlog, PendingPrompt
from ramppost.policy.keepers import keeper_of
from ramppost.policy.placement import PrefillRates
from ramppost.policy.relays import Peers
from ramppost.schema.messages import BacklogAsk, BacklogOver, BacklogSent, BacklogView, PeerDatagram

ASK_TIMEOUT_S: Final = 0.05
"""A datagram waits behind a long prompt on a link of 5 Mbit/s for 30 ms; this is a fortieth of
the tightest objective of a stream."""
MAX_MISSED_REPLIES: Final = 2
"""Questions in a row that a keeper may leave unanswered: links lose a datagram now and then."""
KEEPER_EXCLUSION_S: Final = 2.0
"""How long a keeper that did not answer is left out."""
MAX_ENGINES: Final = 4096
"""Backlogs that are kept: more than a fleet has engines, should ids be made up."""


class BacklogEstimate(NamedTuple):
    """What is known of an engine's backlog: by the word of all gateways (`complete`), where its
    keeper has answered or is this one, or by own prompts alone.

    `ahead_s` is the reading that goes before a prompt, seconds, `kept` how many of its first
    parts need not be read.
    """

    ahead_s: float
    cached_parts: int
    complete: bool


EMPTY_ESTIMATE: Final = BacklogEstimate(0.0, 0, False)


class BacklogQuery(NamedTuple):
    """A prompt that is to be placed: its level, the model that reads it, names of its parts."""

    level: int
    model: str
    parts: tuple[str, ...]


class _PendingQuery:
    """A question under way: keepers that have not answered, and what the others told."""

    def __init__(self, engines: dict[int, list[str]], model: str) -> None:
        self.engines = engines
        self.model = model
        self.estimates: dict[str, BacklogEstimate] = {}
        self.all_answered = curio.Event()


class Backlogs:
    """The backlogs that this gateway keeps for all, and those of its own prompts."""

    def __init__(
        self,
        own: str,
        peers: Peers,
        rates: PrefillRates,
        datagrams: Datagrams,
        metrics: Metrics,
    ) -> None:
        self.own = own
        self._peers = peers
        self._rates = rates
        self._datagrams = datagrams
        self._metrics = metrics
        self._backlogs: dict[str, Backlog] = {}
        self._silent_until: dict[str, float] = {}
        self._missed_replies: dict[str, int] = {}
        """Questions that keepers have left unanswered in a row."""
        self._keepers: dict[str, str] = {}
        """Keepers by engine, for the gateways that are known and silent in `_ranked_for`."""
        self._keepers_valid_for: tuple[int, frozenset[str]] = (-1, frozenset())
        self._pending: dict[int, _PendingQuery] = {}
        self._ids = itertools.count(1)

    # --- what this gateway sends

    async def ask(
        self, engines: list[Upstream], question: BacklogQuery
    ) -> dict[str, BacklogEstimate]:
        """What is known of engines for a prompt that is to be placed on one of them."""
        now = clock.now()
        told = {engine.key: self.local_estimate(engine.key, question, now) for engine in engines}
        by_keeper: dict[str, list[str]] = {}
        for engine in engines:
            keeper = self.keeper(engine, now)
            if keeper == self.own:
                told[engine.key] = told[engine.key]._replace(complete=True)
            elif keeper:
                by_keeper.setdefault(keeper, []).append(engine.key)
        if not by_keeper:
            return told
        for name, view in (await self._ask_keepers(by_keeper, question)).items():
            own = told[name]
            told[name] = BacklogEstimate(
                max(own.ahead_s, view.ahead_s), max(own.cached_parts, view.cached_parts), True
            )
        return told

    def local_estimate(self, engine: str, question: BacklogQuery, now: float) -> BacklogEstimate:
        """What the backlog here tells of an engine, without asking anybody."""
        backlog = self._backlogs.get(engine)
        if backlog is None:
            return EMPTY_ESTIMATE
        kept = backlog.cached_parts(question.model, question.parts, now)
        return BacklogEstimate(backlog.ahead_s(question.level, now), kept, False)

    def record_sent(self, engine: Upstream, key: str, reading: PendingPrompt) -> None:
        """A prompt is on its way to an engine."""
        self._backlog(engine.key).add(key, reading)
        note = BacklogSent(
            key=key,
            engine=engine.key,
            read_ms=round(reading.read_s * 1000),
            level=reading.level,
            model=reading.model,
            parts=list(reading.parts),
        )
        self._notify_keeper(engine, PeerDatagram(sent=note))

    def record_done(self, engine: Upstream, key: str, began: bool) -> None:
        """A prompt has its first token, or will never have one there."""
        self._apply_done(engine.key, key, began)
        note = BacklogOver(key=key, engine=engine.key, began=began)
        self._notify_keeper(engine, PeerDatagram(over=note))

    def forget(self, engine: str) -> None:
        """An engine has left."""
        self._backlogs.pop(engine, None)
        self._keepers.pop(engine, None)

    # --- keepers

    def keeper(self, engine: Upstream, now: float) -> str:
        """Who keeps an engine's backlog; ranked again only when gateways come or fall silent."""
        silent = frozenset(name for name, until in self._silent_until.items() if until > now)
        known = (self._peers.changes, silent)
        if known != self._keepers_valid_for:
            self._keepers_valid_for = known
            self._keepers.clear()
        found = self._keepers.get(engine.key)
        if found is None:
            found = keeper_of(engine.key, engine.hall, self._peers.halls, silent)
            self._keepers[engine.key] = found
        return found

    async def _ask_keepers(
        self, by_keeper: dict[str, list[str]], question: BacklogQuery
    ) -> dict[str, BacklogEstimate]:
        ids = {next(self._ids): keeper for keeper in by_keeper}
        engines = {number: by_keeper[keeper] for number, keeper in ids.items()}
        asked = _PendingQuery(engines, question.model)
        for number, keeper in ids.items():
            self._pending[number] = asked
            ask = BacklogAsk(
                id=number,
                engines=by_keeper[keeper],
                level=question.level,
                model=question.model,
                parts=list(question.parts),
            )
            self._datagrams.send(parse_address(self._peers.addrs[keeper]), PeerDatagram(ask=ask))
        try:
            await curio.ignore_after(ASK_TIMEOUT_S, asked.all_answered.wait)
        finally:
            for number in ids:
                self._pending.pop(number, None)
        for number, keeper in ids.items():
            self._record_reply(keeper, number not in asked.engines)
        return asked.estimates

    def _record_reply(self, keeper: str, answered: bool) -> None:
        """Whether a keeper has answered a question in time; one that goes on not to is left out."""
        if answered:
            self._missed_replies.pop(keeper, None)
            return
        self._missed_replies[keeper] = self._missed_replies.get(keeper, 0) + 1
        if self._missed_replies[keeper] < MAX_MISSED_REPLIES:
            return
        self._silent_until[keeper] = clock.now() + KEEPER_EXCLUSION_S
        self._metrics.count("ramppost_backlog_silences_total")
        logger.info(
            "keeper of backlogs does not answer", peer=keeper, left_out_s=KEEPER_EXCLUSION_S
        )

    def _notify_keeper(self, engine: Upstream, msg: PeerDatagram) -> None:
        keeper = self.keeper(engine, clock.now())
        if keeper not in ("", self.own):
            self._datagrams.send(parse_address(self._peers.addrs[keeper]), msg)

    # --- what others send

    async def handle_datagram(self, msg: PeerDatagram, addr: Address) -> None:
        """Take in what another gateway asks or tells of engines."""
        if "ask" in msg:
            self._datagrams.send(addr, PeerDatagram(view=self._view_for(msg["ask"])))
        if "view" in msg:
            await self._handle_view(msg["view"])
        if "sent" in msg:
            self._apply_sent(msg["sent"])
        if "over" in msg:
            self._apply_done(msg["over"]["engine"], msg["over"]["key"], msg["over"]["began"])

    def _view_for(self, ask: BacklogAsk) -> BacklogView:
        now = clock.now()
        question = BacklogQuery(ask["level"], ask["model"], tuple(ask["parts"]))
        views = [self.local_estimate(engine, question, now) for engine in ask["engines"]]
        return BacklogView(
            id=ask["id"],
            ahead_ms=[round(view.ahead_s * 1000) for view in views],
            kept=[view.cached_parts for view in views],
            token_ns=round(self._rates.own_rate_s(ask["model"]) * 1e9),
        )

    async def _handle_view(self, view: BacklogView) -> None:
        asked = self._pending.get(view["id"])
        engines = asked.engines.pop(view["id"], None) if asked is not None else None
        if asked is None or engines is None:
            return
        for engine, ahead_ms, kept in zip(engines, view["ahead_ms"], view["kept"], strict=False):
            asked.estimates[engine] = BacklogEstimate(ahead_ms / 1000, kept, True)
        self._rates.accept_peer_rate(asked.model, view["token_ns"] / 1e9)
        if not asked.engines:
            await asked.all_answered.set()

    # --- backlogs

    def _apply_sent(self, note: BacklogSent) -> None:
        reading = PendingPrompt(
            clock.now(),
            note["read_ms"] / 1000,
            note["level"],
            note["model"],
            tuple(note["parts"]),
        )
        self._backlog(note["engine"]).add(note["key"], reading)

    def _apply_done(self, engine: str, key: str, began: bool) -> None:
        backlog = self._backlog(engine)
        if began:
            backlog.record_first_token(key, clock.now())
        else:
            backlog.remove(key, clock.now())

    def _backlog(self, engine: str) -> Backlog:
        backlog = self._backlogs.setdefault(engine, Backlog())
        while len(self._backlogs) > MAX_ENGINES:
            del self._backlogs[next(iter(self._backlogs))]
        return backlog
