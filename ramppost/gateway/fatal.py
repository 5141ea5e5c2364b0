"""Requests that end the upstreams that run them: found by all gateways, and run by none.

Whoever had a request at an upstream that has ended tells the others in datagrams: all of them in
a small fleet, in a larger one the first in rank.  Each judges by the same rules
(`ramppost.policy.fatal`).  What is certain is told to everybody, and to those that start later, by
one document in the store; until that is read, a gateway goes by its own judgement.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

import curio
from loguru import logger

from ramppost import clock
from ramppost.gateway.datagrams import Datagrams
from ramppost.gateway.early import parse_address
from ramppost.gateway.links import Exchange
from ramppost.gateway.metrics import Metrics
from ramppost.policy.fatal import (
    FATAL_START_ENDS,
    JUST_BEGUN,
    MAX_FATAL,
    MIN_STORED_ENDS,
    CrashHistory,
)
from ramppost.policy.relays import Peers
from ramppost.schema.messages import (
    FatalRequest,
    HarmlessNote,
    PeerDatagram,
    RequestUnder,
    UpstreamEnded,
)

GATHER_S: Final = 0.02
"""What breaks off at one moment is told in one datagram."""
TELL_AGAIN_S: Final = 0.3
"""A datagram may be lost."""
LEAST_FAILURE: Final = 400
"""The least status that is none of a success."""
MOST_TOLD: Final = 100
"""Requests in one datagram: 5 KB."""


class FatalRequests:
    """What this gateway knows of requests that end upstreams."""

    def __init__(self, peers: Peers, datagrams: Datagrams, metrics: Metrics) -> None:
        self._peers = peers
        self._datagrams = datagrams
        self._metrics = metrics
        self.docket = CrashHistory()
        self.agreed: dict[str, FatalRequest] = {}
        """What stands in the document, by fingerprint."""
        self.unwritten: dict[str, FatalRequest] = {}
        """What was found here and is not in the document yet."""
        self.cleared: set[str] = set()
        """What stands in the document and was answered well here."""
        self._waiting: dict[str, set[Exchange]] = {}
        """Requests that wait for the head of their answer."""
        self._untold: dict[tuple[str, bool], list[RequestUnder]] = {}
        self._to_tell = curio.Event()

    def is_fatal(self, fingerprint: str) -> bool:
        """Whether a request must not be run."""
        now = clock.now()
        if self.docket.is_harmless(fingerprint, now):
            return False
        if fingerprint in self.agreed and self.agreed[fingerprint]["certain"]:
            return True
        self._judge(fingerprint, now)
        return fingerprint in self.docket.fatal

    async def ended(self, upstream: str, fingerprint: str, sign: int, gone: bool = True) -> None:
        """An upstream has ended that had a request of this gateway; `gone` unless its box is silent
        and so may be back at any moment."""
        self._note(upstream, fingerprint, sign)
        under = RequestUnder(fingerprint=fingerprint, sign=sign)
        self._untold.setdefault((upstream, gone), []).append(under)
        await self._to_tell.set()

    def answered(self, fingerprint: str, status: int) -> None:
        """A request was answered whole; with success, it was run and nothing ended of it."""
        if status >= LEAST_FAILURE:
            return
        if self._clear(fingerprint):
            self._tell_all(PeerDatagram(harmless=HarmlessNote(fingerprint=fingerprint)))
        self.unwritten.pop(fingerprint, None)
        if fingerprint in self.agreed:
            self.cleared.add(fingerprint)

    @contextmanager
    def waiting(self, fingerprint: str, exchange: Exchange) -> Iterator[None]:
        """While inside, the exchange is cut where its request turns out to be fatal: one that
        still waits at its upstream has not ended it yet."""
        self._waiting.setdefault(fingerprint, set()).add(exchange)
        try:
            yield
        finally:
            waiting = self._waiting[fingerprint]
            waiting.discard(exchange)
            if not waiting:
                del self._waiting[fingerprint]

    # --- what others tell

    def take(self, msg: PeerDatagram) -> None:
        """Take in what another gateway tells."""
        if "ended" in msg:
            for under in msg["ended"]["under"][:MOST_TOLD]:
                self._note(msg["ended"]["upstream"], under["fingerprint"], under["sign"])
        if "harmless" in msg:
            self._clear(msg["harmless"]["fingerprint"])

    def release(self) -> None:
        """All may run again, whatever was seen until now."""
        self.docket = CrashHistory()
        self.agreed = {}
        self.unwritten = {}
        self.cleared = set()

    def agree(self, requests: list[FatalRequest]) -> None:
        """These stand in the document, and no others."""
        before, self.agreed = self.agreed, {}
        for one in requests[-MAX_FATAL:]:
            self.agreed[one["fingerprint"]] = one
        self.cleared &= set(self.agreed)
        for fingerprint, one in self.agreed.items():
            if one == before.get(fingerprint):
                continue
            logger.info("fatal request known", fingerprint=fingerprint, certain=one["certain"])
            if fingerprint in self.unwritten and not _adds(self.unwritten[fingerprint], one):
                del self.unwritten[fingerprint]
            if one["certain"]:
                self._cut(fingerprint)
            else:
                self._take_over(one)

    def written(self, requests: dict[str, FatalRequest]) -> None:
        """These were written, also if a full document has no place for them."""
        for fingerprint, one in requests.items():
            if self.unwritten.get(fingerprint) is one:
                del self.unwritten[fingerprint]

    def _take_over(self, one: FatalRequest) -> None:
        """Count what other gateways saw, which may be gone since."""
        for upstream in one["upstreams"][:FATAL_START_ENDS]:
            self._note(upstream, one["fingerprint"], JUST_BEGUN)

    def _clear(self, fingerprint: str) -> bool:
        """Nothing speaks against a request any more; whether something did."""
        if not self.docket.record_answer(fingerprint, clock.now()):
            return False
        logger.info("request cleared", fingerprint=fingerprint)
        return True

    # --- telling

    async def tell(self) -> None:
        """Tell others what ended here, until cancelled."""
        while True:
            await self._to_tell.wait()
            await curio.sleep(GATHER_S)
            self._to_tell.clear()
            untold, self._untold = self._untold, {}
            # What ends next is not kept waiting until this is told again.
            await curio.spawn(self._tell_twice, untold, daemon=True)

    async def _tell_twice(self, untold: dict[tuple[str, bool], list[RequestUnder]]) -> None:
        self._tell_ends(untold)
        await curio.sleep(TELL_AGAIN_S)
        self._tell_ends(untold)

    def _tell_ends(self, untold: dict[tuple[str, bool], list[RequestUnder]]) -> None:
        for (upstream, gone), under in untold.items():
            strongest = sorted(under, key=lambda one: -one["sign"])[:MOST_TOLD]
            note = UpstreamEnded(upstream=upstream, gone=gone, under=strongest)
            self._tell_all(PeerDatagram(ended=note))

    def _tell_all(self, msg: PeerDatagram) -> None:
        for name in self._peers.evidence_collectors(clock.now()):
            self._datagrams.send(parse_address(self._peers.addrs[name]), msg)

    # --- judging

    def _note(self, upstream: str, fingerprint: str, sign: int) -> None:
        now = clock.now()
        self.docket.record_end(upstream, fingerprint, sign, now)
        self._judge(fingerprint, now)

    def _judge(self, fingerprint: str, now: float) -> None:
        """Find out whether a request is certain by now to end upstreams, or close to it."""
        if fingerprint in self.docket.fatal or not self.docket.is_suspect(fingerprint):
            return
        if not self.docket.is_fatal(fingerprint, now, self._peers.has_all_evidence(now)):
            ends = self.docket.start_ends(fingerprint, now)
            if len(ends) >= MIN_STORED_ENDS:
                self._keep(fingerprint, ends, certain=False)
            return
        ends = self.docket.fatal[fingerprint]
        self._metrics.count("ramppost_fatal_requests_found_total")
        logger.warning("request held to be fatal", fingerprint=fingerprint, upstreams=list(ends))
        self._cut(fingerprint)
        self._keep(fingerprint, ends, certain=True)

    def _keep(self, fingerprint: str, ends: tuple[str, ...], certain: bool) -> None:
        """Have it written to the document, unless that says as much."""
        found = FatalRequest(
            fingerprint=fingerprint, at=int(time.time()), certain=certain, upstreams=list(ends)
        )
        held = self.unwritten.get(fingerprint) or self.agreed.get(fingerprint)
        if held is None or _adds(found, held):
            self.unwritten[fingerprint] = found

    def _cut(self, fingerprint: str) -> None:
        for exchange in self._waiting.get(fingerprint, ()):
            exchange.shut_down()


def _adds(found: FatalRequest, held: FatalRequest) -> bool:
    """Whether what was found says more than what is held."""
    return found["certain"] and not held["certain"]
