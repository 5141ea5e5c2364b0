"""Detects fatal requests, which crash the upstreams that run them, so that no gateway runs them.

A gateway that had a request at an upstream that ended reports this in datagrams: to all gateways of
a small fleet, in a larger one to the first in rank.  Each recipient applies the same rules
(`ramppost.policy.fatal`).  Requests found to be fatal are published in one document in the store,
which also reaches gateways that start later; until a gateway has read it, it uses its own verdict.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

import curio
from loguru import logger

from ramppost import clock
from ramppost.bounded import drop_oldest
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
"""Collects the requests that one upstream's end interrupts, so that they go in one datagram."""
RESEND_DELAY_S: Final = 0.3
"""Each report is sent twice because a datagram may be lost."""
MIN_ERROR_STATUS: Final = 400
"""The lowest HTTP status that does not count as success."""
MAX_REQUESTS_PER_DATAGRAM: Final = 100
"""This many requests take 5 KB."""


class FatalRequests:
    """This gateway's evidence and verdicts on requests that crash upstreams."""

    def __init__(self, peers: Peers, datagrams: Datagrams, metrics: Metrics) -> None:
        self._peers = peers
        self._datagrams = datagrams
        self._metrics = metrics
        self.evidence = CrashHistory()
        self.published: dict[str, FatalRequest] = {}
        """Contents of the document in the store, by fingerprint."""
        self.unpublished: dict[str, FatalRequest] = {}
        """Findings of this gateway that are not in the document yet, by fingerprint."""
        self.cleared: set[str] = set()
        """Fingerprints in the document that have since been answered successfully here."""
        self._removed: dict[str, int] = {}
        """When the requests that were removed from the document had been found, by fingerprint."""
        self._document_era = 0
        """The era of the store that `published` is of."""
        self._awaiting_head: dict[str, set[Exchange]] = {}
        """Exchanges that have not received their response head, by fingerprint."""
        self._unsent_ends: dict[tuple[str, bool], list[RequestUnder]] = {}
        self._has_unsent_ends = curio.Event()

    def is_fatal(self, fingerprint: str) -> bool:
        """Whether a request is known to be fatal and must not be run."""
        now = clock.now()
        if self.evidence.is_harmless(fingerprint, now):
            return False
        known = self.published.get(fingerprint) or self.unpublished.get(fingerprint)
        if known is not None and known["certain"] and fingerprint not in self.cleared:
            return True
        self._evaluate(fingerprint, now)
        return fingerprint in self.evidence.fatal

    async def record_end(
        self, upstream: str, fingerprint: str, sign: int, gone: bool = True
    ) -> None:
        """Record and report that an upstream ended while it had a request of this gateway.

        `gone` is false if its box does not respond at all and so may return at any moment.
        """
        self._record(upstream, fingerprint, sign)
        request = RequestUnder(fingerprint=fingerprint, sign=sign)
        self._unsent_ends.setdefault((upstream, gone), []).append(request)
        await self._has_unsent_ends.set()

    def record_answer(self, fingerprint: str, status: int) -> None:
        """Record a complete answer; a successful one clears the request of suspicion."""
        if status >= MIN_ERROR_STATUS:
            return
        if self._clear(fingerprint):
            self._send_to_judges(PeerDatagram(harmless=HarmlessNote(fingerprint=fingerprint)))
        self.unpublished.pop(fingerprint, None)
        if fingerprint in self.published:
            self.cleared.add(fingerprint)

    @contextmanager
    def abort_if_fatal(self, fingerprint: str, exchange: Exchange) -> Iterator[None]:
        """Abort the exchange if its request is found to be fatal while in this context.

        A request that is still waiting at its upstream has not crashed it yet.
        """
        self._awaiting_head.setdefault(fingerprint, set()).add(exchange)
        try:
            yield
        finally:
            waiting = self._awaiting_head[fingerprint]
            waiting.discard(exchange)
            if not waiting:
                del self._awaiting_head[fingerprint]

    # --- reports from other gateways and the document

    def handle_datagram(self, msg: PeerDatagram) -> None:
        """Process a report from another gateway."""
        if "ended" in msg:
            for request in msg["ended"]["under"][:MAX_REQUESTS_PER_DATAGRAM]:
                self._record(msg["ended"]["upstream"], request["fingerprint"], request["sign"])
        if "harmless" in msg:
            self._clear(msg["harmless"]["fingerprint"])

    def reset(self) -> None:
        """Discard all evidence and verdicts, so that every request may run again."""
        self.evidence = CrashHistory()
        self._record_removals(self.published)
        self.published = {}
        self.unpublished = {}
        self.cleared = set()

    def apply_document(self, requests: list[FatalRequest], era: int = 0) -> None:
        """Replace the known contents of the document by those in an era of the store."""
        previous, self.published = self.published, {}
        for request in requests[-MAX_FATAL:]:
            self.published[request["fingerprint"]] = request
        missing = {f: request for f, request in previous.items() if f not in self.published}
        if era > self._document_era:
            self._document_era = era
            self._restore(missing)
        else:
            self._record_removals(missing)
        self.cleared &= set(self.published)
        for fingerprint, request in self.published.items():
            if request == previous.get(fingerprint):
                continue
            logger.info("fatal request known", fingerprint=fingerprint, certain=request["certain"])
            if fingerprint in self.unpublished and not _is_stronger(
                self.unpublished[fingerprint], request
            ):
                del self.unpublished[fingerprint]
            if request["certain"]:
                self._abort_waiting(fingerprint)
            else:
                self._add_published_evidence(request)

    def is_lost_in(self, era: int) -> bool:
        """Whether a document that this era of the store lacks was lost, and not deleted."""
        return era > self._document_era

    def _restore(self, lost: dict[str, FatalRequest]) -> None:
        """Queue what an older copy of the document lacks, and take out what is back in it."""
        self.unpublished = {
            **{f: request for f, request in lost.items() if f not in self.cleared},
            **self.unpublished,
        }
        self.cleared |= {
            fingerprint
            for fingerprint, request in self.published.items()
            if self._removed.get(fingerprint) == request["at"]
        }

    def _record_removals(self, removed: dict[str, FatalRequest]) -> None:
        for fingerprint, request in removed.items():
            self._removed[fingerprint] = request["at"]
        drop_oldest(self._removed, MAX_FATAL)

    def mark_published(self, requests: dict[str, FatalRequest]) -> None:
        """Mark findings as written, including those that did not fit into a full document."""
        for fingerprint, request in requests.items():
            if self.unpublished.get(fingerprint) is request:
                del self.unpublished[fingerprint]

    def _add_published_evidence(self, request: FatalRequest) -> None:
        """Count ends that other gateways saw; those gateways may no longer exist."""
        for upstream in request["upstreams"][:FATAL_START_ENDS]:
            self._record(upstream, request["fingerprint"], JUST_BEGUN)

    def _clear(self, fingerprint: str) -> bool:
        """Clear a request of suspicion; returns whether there was any evidence against it."""
        if not self.evidence.record_answer(fingerprint, clock.now()):
            return False
        logger.info("request cleared", fingerprint=fingerprint)
        return True

    # --- sending reports

    async def send_ends(self) -> None:
        """Send reports of ended upstreams to other gateways, until cancelled."""
        while True:
            await self._has_unsent_ends.wait()
            await curio.sleep(BATCH_DELAY_S)
            self._has_unsent_ends.clear()
            unsent, self._unsent_ends = self._unsent_ends, {}
            # Resending runs in its own task so that it does not delay later reports.
            await curio.spawn(self._send_ends_twice, unsent, daemon=True)

    async def _send_ends_twice(self, unsent: dict[tuple[str, bool], list[RequestUnder]]) -> None:
        self._send_ends_once(unsent)
        await curio.sleep(RESEND_DELAY_S)
        self._send_ends_once(unsent)

    def _send_ends_once(self, unsent: dict[tuple[str, bool], list[RequestUnder]]) -> None:
        for (upstream, gone), requests in unsent.items():
            strongest = sorted(requests, key=lambda request: -request["sign"])[
                :MAX_REQUESTS_PER_DATAGRAM
            ]
            note = UpstreamEnded(upstream=upstream, gone=gone, under=strongest)
            self._send_to_judges(PeerDatagram(ended=note))

    def _send_to_judges(self, msg: PeerDatagram) -> None:
        for name in self._peers.evidence_collectors(clock.now()):
            self._datagrams.send(parse_address(self._peers.addrs[name]), msg)

    # --- verdicts

    def _record(self, upstream: str, fingerprint: str, sign: int) -> None:
        now = clock.now()
        self.evidence.record_end(upstream, fingerprint, sign, now)
        self._evaluate(fingerprint, now)

    def _evaluate(self, fingerprint: str, now: float) -> None:
        """Check whether the evidence proves a request fatal or is strong enough to be stored."""
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
        """Queue a finding for the document unless an equally strong one is already known."""
        found = FatalRequest(
            fingerprint=fingerprint, at=int(time.time()), certain=certain, upstreams=list(ends)
        )
        known = self.unpublished.get(fingerprint) or self.published.get(fingerprint)
        if known is None or _is_stronger(found, known):
            self.unpublished[fingerprint] = found

    def _abort_waiting(self, fingerprint: str) -> None:
        for exchange in self._awaiting_head.get(fingerprint, ()):
            exchange.shut_down()


def _is_stronger(found: FatalRequest, known: FatalRequest) -> bool:
    """Whether a new finding is stronger than the known one."""
    return found["certain"] and not known["certain"]
