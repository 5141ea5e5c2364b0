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

BATCH_DELAY_S: Final = 0.02
"""What breaks off at one moment is told in one datagram."""
RESEND_DELAY_S: Final = 0.3
"""A datagram may be lost."""
MIN_ERROR_STATUS: Final = 400
"""The least status that is none of a success."""
MAX_REQUESTS_PER_DATAGRAM: Final = 100
"""Requests in one datagram: 5 KB."""


class FatalRequests:
    """What this gateway knows of requests that end upstreams."""

    def __init__(self, peers: Peers, datagrams: Datagrams, metrics: Metrics) -> None:
        self._peers = peers
        self._datagrams = datagrams
        self._metrics = metrics
        self.evidence = CrashHistory()
        self.published: dict[str, FatalRequest] = {}
        """What stands in the document, by fingerprint."""
        self.unpublished: dict[str, FatalRequest] = {}
        """What was found here and is not in the document yet."""
        self.cleared: set[str] = set()
        """What stands in the document and was answered well here."""
        self._awaiting_head: dict[str, set[Exchange]] = {}
        """Requests that wait for the head of their answer."""
        self._unsent_ends: dict[tuple[str, bool], list[RequestUnder]] = {}
        self._has_unsent_ends = curio.Event()

    def is_fatal(self, fingerprint: str) -> bool:
        """Whether a request must not be run."""
        now = clock.now()
        if self.evidence.is_harmless(fingerprint, now):
            return False
        if fingerprint in self.published and self.published[fingerprint]["certain"]:
            return True
        self._evaluate(fingerprint, now)
        return fingerprint in self.evidence.fatal

    async def record_end(
        self, upstream: str, fingerprint: str, sign: int, gone: bool = True
    ) -> None:
        """An upstream has ended that had a request of this gateway; `gone` unless its box is silent
        and so may be back at any moment."""
        self._record(upstream, fingerprint, sign)
        under = RequestUnder(fingerprint=fingerprint, sign=sign)
        self._unsent_ends.setdefault((upstream, gone), []).append(under)
        await self._has_unsent_ends.set()

    def record_answer(self, fingerprint: str, status: int) -> None:
        """A request was answered whole; with success, it was run and nothing ended of it."""
        if status >= MIN_ERROR_STATUS:
            return
        if self._clear(fingerprint):
            self._send_to_judges(PeerDatagram(harmless=HarmlessNote(fingerprint=fingerprint)))
        self.unpublished.pop(fingerprint, None)
        if fingerprint in self.published:
            self.cleared.add(fingerprint)

    @contextmanager
    def abort_if_fatal(self, fingerprint: str, exchange: Exchange) -> Iterator[None]:
        """While inside, the exchange is cut where its request turns out to be fatal: one that
        still waits at its upstream has not ended it yet."""
        self._awaiting_head.setdefault(fingerprint, set()).add(exchange)
        try:
            yield
        finally:
            waiting = self._awaiting_head[fingerprint]
            waiting.discard(exchange)
            if not waiting:
                del self._awaiting_head[fingerprint]

    # --- what others tell

    def handle_datagram(self, msg: PeerDatagram) -> None:
        """Take in what another gateway tells."""
        if "ended" in msg:
            for under in msg["ended"]["under"][:MAX_REQUESTS_PER_DATAGRAM]:
                self._record(msg["ended"]["upstream"], under["fingerprint"], under["sign"])
        if "harmless" in msg:
            self._clear(msg["harmless"]["fingerprint"])

    def reset(self) -> None:
        """All may run again, whatever was seen until now."""
        self.evidence = CrashHistory()
        self.published = {}
        self.unpublished = {}
        self.cleared = set()

    def apply_document(self, requests: list[FatalRequest]) -> None:
        """These stand in the document, and no others."""
        before, self.published = self.published, {}
        for one in requests[-MAX_FATAL:]:
            self.published[one["fingerprint"]] = one
        self.cleared &= set(self.published)
        for fingerprint, one in self.published.items():
            if one == before.get(fingerprint):
                continue
            logger.info("fatal request known", fingerprint=fingerprint, certain=one["certain"])
            if fingerprint in self.unpublished and not _is_stronger(
                self.unpublished[fingerprint], one
            ):
                del self.unpublished[fingerprint]
            if one["certain"]:
                self._abort_waiting(fingerprint)
            else:
                self._add_published_evidence(one)

    def mark_published(self, requests: dict[str, FatalRequest]) -> None:
        """These were written, also if a full document has no place for them."""
        for fingerprint, one in requests.items():
            if self.unpublished.get(fingerprint) is one:
                del self.unpublished[fingerprint]

    def _add_published_evidence(self, one: FatalRequest) -> None:
        """Count what other gateways saw, which may be gone since."""
        for upstream in one["upstreams"][:FATAL_START_ENDS]:
            self._record(upstream, one["fingerprint"], JUST_BEGUN)

    def _clear(self, fingerprint: str) -> bool:
        """Nothing speaks against a request any more; whether something did."""
        if not self.evidence.record_answer(fingerprint, clock.now()):
            return False
        logger.info("request cleared", fingerprint=fingerprint)
        return True

    # --- telling

    async def send_ends(self) -> None:
        """Tell others what ended here, until cancelled."""
        while True:
            await self._has_unsent_ends.wait()
            await curio.sleep(BATCH_DELAY_S)
            self._has_unsent_ends.clear()
            untold, self._unsent_ends = self._unsent_ends, {}
            # What ends next is not kept waiting until this is told again.
            await curio.spawn(self._send_ends_twice, untold, daemon=True)

    async def _send_ends_twice(self, untold: dict[tuple[str, bool], list[RequestUnder]]) -> None:
        self._send_ends_once(untold)
        await curio.sleep(RESEND_DELAY_S)
        self._send_ends_once(untold)

    def _send_ends_once(self, untold: dict[tuple[str, bool], list[RequestUnder]]) -> None:
        for (upstream, gone), under in untold.items():
            strongest = sorted(under, key=lambda one: -one["sign"])[:MAX_REQUESTS_PER_DATAGRAM]
            note = UpstreamEnded(upstream=upstream, gone=gone, under=strongest)
            self._send_to_judges(PeerDatagram(ended=note))

    def _send_to_judges(self, msg: PeerDatagram) -> None:
        for name in self._peers.evidence_collectors(clock.now()):
            self._datagrams.send(parse_address(self._peers.addrs[name]), msg)

    # --- judging

    def _record(self, upstream: str, fingerprint: str, sign: int) -> None:
        now = clock.now()
        self.evidence.record_end(upstream, fingerprint, sign, now)
        self._evaluate(fingerprint, now)

    def _evaluate(self, fingerprint: str, now: float) -> None:
        """Find out whether a request is certain by now to end upstreams, or close to it."""
        if fingerprint in self.evidence.fatal or not self.evidence.is_suspect(fingerprint):
            return
        if not self.evidence.is_fatal(fingerprint, now, self._peers.has_all_evidence(now)):
            ends = self.evidence.start_ends(fingerprint, now)
            if len(ends) >= MIN_STORED_ENDS:
                self._queue_for_publication(fingerprint, ends, certain=False)
            return
        ends = self.evidence.fatal[fingerprint]
        self._metrics.count("ramppost_fatal_requests_found_total")
        logger.warning("request held to be fatal", fingerprint=fingerprint, upstreams=list(ends))
        self._abort_waiting(fingerprint)
        self._queue_for_publication(fingerprint, ends, certain=True)

    def _queue_for_publication(
        self, fingerprint: str, ends: tuple[str, ...], certain: bool
    ) -> None:
        """Have it written to the document, unless that says as much."""
        found = FatalRequest(
            fingerprint=fingerprint, at=int(time.time()), certain=certain, upstreams=list(ends)
        )
        held = self.unpublished.get(fingerprint) or self.published.get(fingerprint)
        if held is None or _is_stronger(found, held):
            self.unpublished[fingerprint] = found

    def _abort_waiting(self, fingerprint: str) -> None:
        for exchange in self._awaiting_head.get(fingerprint, ()):
            exchange.shut_down()


def _is_stronger(found: FatalRequest, held: FatalRequest) -> bool:
    """Whether what was found says more than what is held."""
    return found["certain"] and not held["certain"]
