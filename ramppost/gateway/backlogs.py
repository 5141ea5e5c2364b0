"""Shares the prompt backlogs of engines between gateways.

The backlog of each engine is kept by a gateway in the engine's data hall, its keeper
(`ramppost.policy.keepers`).  Before placing a prompt, a gateway queries the keepers of the
candidate engines for the work queued there.  It notifies the keeper of the chosen engine when it
sends the prompt and when the first token arrives.  All messages are datagrams
(`ramppost.gateway.datagrams`); losing one only makes a prediction less accurate.  A keeper that
does not answer in time is excluded for a while, and the next gateway in rank takes its place.

A gateway also records its own prompts in its local backlogs, so it still knows those if no keeper
is available.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable, Mapping
from typing import Final, NamedTuple

import curio
from loguru import logger

from ramppost import clock
from ramppost.bounded import drop_oldest
from ramppost.gateway.datagrams import Address, Datagrams
from ramppost.gateway.early import parse_address
from ramppost.gateway.metrics import Metrics
from ramppost.gateway.model import Upstream
from ramppost.policy.backlog import Backlog, PendingPrompt
from ramppost.policy.keepers import KEEPER_EXCLUSION_S, SilentKeepers, keeper_of
from ramppost.policy.placement import PrefillRates
from ramppost.policy.relays import Peers
from ramppost.policy.room import BUSY_WAIT_S
from ramppost.policy.speed import (
    MAX_PREFILL_FACTOR,
    MAX_STREAM_S,
    MAX_STREAMS,
    MAX_TOKEN_S,
    SLOWDOWN_PER_STREAM,
    UNKNOWN_SPEED,
    EngineSpeed,
    SpeedFigures,
    speed_weights,
)
from ramppost.policy.use import highest_use
from ramppost.schema.messages import (
    BacklogAsk,
    BacklogFinish,
    BacklogOver,
    BacklogSent,
    BacklogView,
    PeerDatagram,
    WorkspaceUse,
)

ASK_TIMEOUT_S: Final = 0.05
"""A datagram may queue for 30 ms behind a long prompt on a 5 Mbit/s link.  This timeout is a
fortieth of the tightest objective of a stream."""
MAX_ENGINES: Final = 4096
"""Maximum number of backlogs kept.  It exceeds the number of engines in a fleet and bounds memory
if engine ids are made up."""


class BacklogEstimate(NamedTuple):
    """Estimated work ahead of a prompt at an engine.

    `ahead_s` is the prefill time of the prompts ahead in seconds, `cached_parts` the number of
    leading parts of the prompt that are cached there.  `complete` tells whether the estimate covers
    the prompts of all gateways, because the engine's keeper answered or is this gateway; otherwise
    it covers only this gateway's own prompts.  `speed` is what the keeper said last.
    """

    ahead_s: float
    cached_parts: int
    complete: bool
    speed: SpeedFigures = UNKNOWN_SPEED


EMPTY_ESTIMATE: Final = BacklogEstimate(0.0, 0, False)


class BacklogQuery(NamedTuple):
    """A prompt to be placed: its priority level, the model to run it and the names of its parts."""

    level: int
    model: str
    parts: tuple[str, ...]


UseObserver = Callable[[str, int, Mapping[str, float], float], None]
"""Receives a service, a number of its engines, the prefill seconds that each workspace has recently
sent to these, and the time."""


def _ignore_use(service: str, engines: int, by_workspace: Mapping[str, float], now: float) -> None:
    """Used where no admission control observes the use of engines."""


class _PendingQuery:
    """A query in progress: engines whose keepers have not answered, by query id, and estimates."""

    def __init__(self, engines: dict[int, list[str]], model: str, service: str) -> None:
        self.engines = engines
        self.model = model
        self.service = service
        self.estimates: dict[str, BacklogEstimate] = {}
        self.all_answered = curio.Event()


class Backlogs:
    """The backlogs that this gateway keeps for the fleet, and those of its own prompts."""

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
        self._speeds: dict[str, EngineSpeed] = {}
        """Speeds of the engines that this gateway keeps, and of others that it has kept."""
        self._figures: dict[str, SpeedFigures] = {}
        """The last known figures of each engine without streams, from its keeper."""
        self._silent = SilentKeepers()
        self._keepers: dict[str, str] = {}
        """Cached keepers by engine, for the gateway list and exclusions in `_keepers_valid_for`."""
        self._keepers_valid_for: tuple[int, frozenset[str]] = (-1, frozenset())
        self._pending: dict[int, _PendingQuery] = {}
        self._ids = itertools.count(1)
        self.observe_use: UseObserver = _ignore_use
        """Called with what workspaces have sent to engines, by the keepers that are asked."""

    # --- queries and notifications by this gateway

    async def ask(self, engines: list[Upstream], query: BacklogQuery) -> dict[str, BacklogEstimate]:
        """Estimate the backlogs of candidate engines, with the answers of their keepers."""
        now = clock.now()
        estimates = {engine.key: self.local_estimate(engine.key, query, now) for engine in engines}
        by_keeper: dict[str, list[str]] = {}
        for engine in engines:
            keeper = self.keeper(engine, now)
            if keeper == self.own:
                speed = self._speed(engine.key).figures(now)
                self._figures[engine.key] = speed.alone
                estimates[engine.key] = estimates[engine.key]._replace(complete=True, speed=speed)
            elif keeper:
                by_keeper.setdefault(keeper, []).append(engine.key)
        kept = {key: estimate for key, estimate in estimates.items() if estimate.complete}
        if kept and max(estimate.ahead_s for estimate in kept.values()) > BUSY_WAIT_S:
            self.observe_use(engines[0].service, len(kept), self._use_of(kept, now), now)
        if not by_keeper:
            return estimates
        service = engines[0].service
        for name, reported in (await self._ask_keepers(by_keeper, query, service)).items():
            own = estimates[name]
            estimates[name] = BacklogEstimate(
                max(own.ahead_s, reported.ahead_s),
                max(own.cached_parts, reported.cached_parts),
                True,
                reported.speed,
            )
        return estimates

    def local_estimate(self, engine: str, query: BacklogQuery, now: float) -> BacklogEstimate:
        """Estimate an engine's backlog from local data only."""
        backlog = self._backlogs.get(engine)
        speed = self._figures.get(engine, UNKNOWN_SPEED)
        if backlog is None:
            return EMPTY_ESTIMATE._replace(speed=speed)
        cached = backlog.cached_parts(query.model, query.parts, now)
        return BacklogEstimate(backlog.ahead_s(query.level, now), cached, False, speed)

    def speed_weights(self, engines: Iterable[str], were_uneven: bool) -> dict[str, float]:
        """The relative speeds of engines by key (`ramppost.policy.speed`)."""
        figures = {engine: self._figures.get(engine, UNKNOWN_SPEED) for engine in engines}
        return speed_weights(figures, were_uneven)

    def record_sent(self, engine: Upstream, key: str, prompt: PendingPrompt) -> None:
        """Record a prompt that is being sent to an engine, and notify the keeper."""
        self._backlog(engine.key).add(key, prompt)
        note = BacklogSent(
            key=key,
            engine=engine.key,
            read_ms=round(prompt.read_s * 1000),
            level=prompt.level,
            model=prompt.model,
            parts=list(prompt.parts),
            workspace=prompt.workspace,
            prefill_pct=round(prompt.prefill_factor * 100),
        )
        self._notify_keeper(engine, PeerDatagram(sent=note))

    def record_done(self, engine: Upstream, key: str, began: bool) -> None:
        """Record that a prompt has its first token (`began`) or will not get one at this engine."""
        is_keeper = self.keeper(engine, clock.now()) == self.own
        self._apply_done(engine.key, key, began, is_keeper)
        note = BacklogOver(key=key, engine=engine.key, began=began)
        self._notify_keeper(engine, PeerDatagram(over=note))

    def record_finish(self, engine: Upstream, key: str, tokens: int, took_s: float) -> None:
        """Record that a stream no longer runs at an engine.

        It has generated `tokens` tokens in `took_s` seconds, 0 if that says nothing about it.
        """
        note = BacklogFinish(key=key, engine=engine.key, tokens=tokens, ms=round(took_s * 1000))
        if self.keeper(engine, clock.now()) == self.own:
            self._apply_finish(note)
        else:
            self._notify_keeper(engine, PeerDatagram(finish=note))

    def forget(self, engine: str) -> None:
        """Drop the state of an engine that has left or restarted."""
        self._speeds.pop(engine, None)
        self._figures.pop(engine, None)
        self._backlogs.pop(engine, None)
        self._keepers.pop(engine, None)

    # --- keepers

    def keeper(self, engine: Upstream, now: float) -> str:
        """The gateway that keeps an engine's backlog, or "" if there is none.

        Keepers are recomputed only when the list of gateways or the set of excluded ones changes.
        """
        silent = self._silent.names(now)
        inputs = (self._peers.changes, silent)
        if inputs != self._keepers_valid_for:
            self._keepers_valid_for = inputs
            self._keepers.clear()
        keeper = self._keepers.get(engine.key)
        if keeper is None:
            keeper = keeper_of(engine.key, engine.hall, self._peers.halls, silent)
            self._keepers[engine.key] = keeper
        return keeper

    async def _ask_keepers(
        self, by_keeper: dict[str, list[str]], query: BacklogQuery, service: str
    ) -> dict[str, BacklogEstimate]:
        ids = {next(self._ids): keeper for keeper in by_keeper}
        engines = {query_id: by_keeper[keeper] for query_id, keeper in ids.items()}
        pending = _PendingQuery(engines, query.model, service)
        for query_id, keeper in ids.items():
            self._pending[query_id] = pending
            ask = BacklogAsk(
                id=query_id,
                engines=by_keeper[keeper],
                level=query.level,
                model=query.model,
                parts=list(query.parts),
            )
            self._datagrams.send(parse_address(self._peers.addrs[keeper]), PeerDatagram(ask=ask))
        try:
            await curio.ignore_after(ASK_TIMEOUT_S, pending.all_answered.wait)
        finally:
            for query_id in ids:
                self._pending.pop(query_id, None)
        for query_id, keeper in ids.items():
            self._record_reply(keeper, query_id not in pending.engines)
        return pending.estimates

    def _record_reply(self, keeper: str, answered: bool) -> None:
        """Record whether a keeper answered in time; it is excluded after repeated misses."""
        if self._silent.record_reply(keeper, answered, clock.now()):
            self._metrics.count("ramppost_backlog_silences_total")
            logger.info(
                "keeper of backlogs does not answer", peer=keeper, left_out_s=KEEPER_EXCLUSION_S
            )

    def _notify_keeper(self, engine: Upstream, msg: PeerDatagram) -> None:
        keeper = self.keeper(engine, clock.now())
        if keeper not in ("", self.own):
            self._datagrams.send(parse_address(self._peers.addrs[keeper]), msg)

    # --- messages from other gateways

    async def handle_datagram(self, msg: PeerDatagram, addr: Address) -> None:
        """Process a query, an answer or a notification from another gateway."""
        if "ask" in msg:
            self._datagrams.send(addr, PeerDatagram(view=self._view_for(msg["ask"])))
        if "view" in msg:
            await self._handle_view(msg["view"])
        if "sent" in msg:
            self._apply_sent(msg["sent"])
        if "over" in msg:
            over = msg["over"]
            self._apply_done(over["engine"], over["key"], over["began"], True)
        if "finish" in msg:
            self._apply_finish(msg["finish"])

    def _view_for(self, ask: BacklogAsk) -> BacklogView:
        now = clock.now()
        query = BacklogQuery(ask["level"], ask["model"], tuple(ask["parts"]))
        estimates = [self.local_estimate(engine, query, now) for engine in ask["engines"]]
        speeds = [self._told_speed(engine, now) for engine in ask["engines"]]
        view = BacklogView(
            id=ask["id"],
            ahead_ms=[round(estimate.ahead_s * 1000) for estimate in estimates],
            kept=[estimate.cached_parts for estimate in estimates],
            token_ns=round(self._rates.own_rate_s(ask["model"]) * 1e9),
            running=[speed.running for speed in speeds],
            prefill_pct=[round(speed.prefill * 100) for speed in speeds],
            token_us=[round(speed.token_s * 1e6) for speed in speeds],
        )
        if any(estimate.ahead_s > BUSY_WAIT_S for estimate in estimates):
            view["use"] = [
                WorkspaceUse(workspace=name, read_ms=round(read_s * 1000))
                for name, read_s in self._use_of(ask["engines"], now).items()
            ]
        return view

    def _use_of(self, engines: Iterable[str], now: float) -> dict[str, float]:
        """Prefill seconds that workspaces have recently sent to engines, the highest alone."""
        kept = [self._backlogs[engine] for engine in engines if engine in self._backlogs]
        return dict(highest_use(backlog.use.by_workspace(now) for backlog in kept))

    async def _handle_view(self, view: BacklogView) -> None:
        pending = self._pending.get(view["id"])
        engines = pending.engines.pop(view["id"], None) if pending is not None else None
        if pending is None or engines is None:
            return
        speeds = _speeds_in(view, len(engines))
        for engine, ahead_ms, cached, speed in zip(
            engines, view["ahead_ms"], view["kept"], speeds, strict=False
        ):
            # A keeper that has just started, or is of an earlier version, knows nothing.
            known = self._figures.get(engine, UNKNOWN_SPEED)
            self._figures[engine] = speed.alone.or_known(known)
            self._speeds.pop(engine, None)
            pending.estimates[engine] = BacklogEstimate(ahead_ms / 1000, cached, True, speed)
        drop_oldest(self._figures, MAX_ENGINES)
        if "use" in view:
            use = {entry["workspace"]: entry["read_ms"] / 1000 for entry in view["use"]}
            self.observe_use(pending.service, len(engines), use, clock.now())
        self._rates.accept_peer_rate(pending.model, view["token_ns"] / 1e9)
        if not pending.engines:
            await pending.all_answered.set()

    # --- backlogs

    def _apply_sent(self, note: BacklogSent) -> None:
        prompt = PendingPrompt(
            clock.now(),
            note["read_ms"] / 1000,
            note["level"],
            note["model"],
            tuple(note["parts"]),
            note.get("workspace", ""),
            _bounded(note.get("prefill_pct", 100), MAX_PREFILL_FACTOR * 100) / 100,
        )
        self._backlog(note["engine"]).add(note["key"], prompt)

    def _apply_done(self, engine: str, key: str, began: bool, is_keeper: bool) -> None:
        backlog, now = self._backlog(engine), clock.now()
        if not began:
            backlog.remove(key, now)
            return
        prefill = backlog.record_first_token(key, now)
        if not is_keeper:
            return
        speed = self._speed(engine)
        speed.begin_stream(key, now)
        if prefill is not None:
            speed.record_prefill(prefill.usual_s, prefill.took_s)

    def _apply_finish(self, note: BacklogFinish) -> None:
        speed = self._speeds.get(note["engine"])
        if speed is not None:
            took_s = _bounded(note["ms"], MAX_STREAM_S * 1000) / 1000
            speed.finish_stream(note["key"], note["tokens"], took_s, clock.now())

    def _told_speed(self, engine: str, now: float) -> SpeedFigures:
        """What this gateway tells about the speed of an engine that it is asked about."""
        speed = self._speeds.get(engine)
        if speed is None:
            return self._figures.get(engine, UNKNOWN_SPEED)
        return speed.figures(now)

    def _speed(self, engine: str) -> EngineSpeed:
        """The speed of an engine; a new keeper begins with what it was told last."""
        speed = self._speeds.get(engine)
        if speed is None:
            speed = EngineSpeed(self._figures.get(engine, UNKNOWN_SPEED))
            self._speeds[engine] = speed
            drop_oldest(self._speeds, MAX_ENGINES)
        return speed

    def _backlog(self, engine: str) -> Backlog:
        backlog = self._backlogs.setdefault(engine, Backlog())
        drop_oldest(self._backlogs, MAX_ENGINES)
        return backlog


def _speeds_in(view: BacklogView, count: int) -> list[SpeedFigures]:
    """The speeds in a keeper's answer; a gateway of an earlier version tells none."""
    lists = (view.get("running", []), view.get("prefill_pct", []), view.get("token_us", []))
    if any(len(values) != count for values in lists):
        return [UNKNOWN_SPEED] * count
    return [
        SpeedFigures(
            int(_bounded(running, MAX_STREAMS)),
            _bounded(prefill_pct, MAX_PREFILL_FACTOR * 100) / 100,
            _bounded(token_us, MAX_TOKEN_S * 1e6 * (1 + SLOWDOWN_PER_STREAM * MAX_STREAMS)) / 1e6,
        )
        for running, prefill_pct, token_us in zip(*lists, strict=True)
    ]


def _bounded(value: int, limit: float) -> float:
    """A figure of another gateway within its possible range; messages may hold any integer."""
    return min(limit, max(0, value))
