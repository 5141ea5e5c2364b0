"""Detects fatal requests, which crash the upstreams that run them, so that no gateway runs them.

A gateway that had a request at an upstream that ended reports this in datagrams: to all gateways of
a small fleet, in a larger one to the first in rank.  A report also names the parts of the request's
prompt that may be the cause, and parts that the upstream had run without harm.  Each recipient
applies the same rules (`ramppost.policy.fatal`).  Requests and parts found to be fatal are sent to
all gateways, and published in one document in the store, which also reaches gateways that start
later; until a gateway has read it, it uses its own verdict and those that it was sent.
"""

from __future__ import annotations

import time
from collections.abc import Collection, Iterator
from contextlib import contextmanager
from typing import Final, NamedTuple

import curio
from loguru import logger

from ramppost import clock
from ramppost.bounded import drop_oldest
from ramppost.gateway.datagrams import Datagrams
from ramppost.gateway.early import parse_address
from ramppost.gateway.links import Exchange
from ramppost.gateway.metrics import Metrics
from ramppost.policy.fatal import (
    ANSWERED_WAIT_S,
    FATAL_START_ENDS,
    JUST_BEGUN,
    MAX_FATAL,
    MIN_STORED_ENDS,
    RAN,
    CrashHistory,
    FatalParts,
)
from ramppost.policy.relays import Peers
from ramppost.policy.survivals import Survivals
from ramppost.policy.suspects import group_key
from ramppost.schema.messages import (
    FatalRequest,
    HarmlessNote,
    PeerDatagram,
    RequestUnder,
    UpstreamEnded,
)
from ramppost.wire.codec import encode

BATCH_DELAY_S: Final = 0.02
"""Collects the requests that one upstream's end interrupts, so that they go in one datagram."""
RESEND_DELAY_S: Final = 0.3
"""Each report is sent twice because a datagram may be lost."""
MIN_ERROR_STATUS: Final = 400
"""The lowest HTTP status that does not count as success."""
MAX_REQUESTS_PER_DATAGRAM: Final = 100
"""This many requests without parts take 5 KB."""
MAX_BATCH_BYTES: Final = 5000
"""Requests in one datagram; the rest of it is for the parts that survived."""
MAX_DATAGRAMS_PER_END: Final = 4
MAX_PARTS_PER_REQUEST: Final = 32
MAX_SURVIVED_PER_DATAGRAM: Final = 50
JUDGE_INTERVAL_S: Final = 0.1
MAX_JUDGE_CPU_RATIO: Final = 0.1
"""Part of its time that a gateway may spend on judging if there are very many suspects."""
EVIDENCE_USE_S: Final = ANSWERED_WAIT_S + 1.0
"""For how long evidence may become a verdict by itself, as other gateways have said nothing."""
FINDING_RESEND_S: Final = 2.0
"""How often a finding that is not in the store is sent to all gateways, as some have just started
or were cut off."""
MAX_FINDINGS_RESENT: Final = 20
CLEARING_MARGIN_S: Final = 2.0
"""An answer that began so long before a finding still contradicts it: the finding follows the ends
after some time, and its time of day is rounded down."""


class _EndReport:
    """What this gateway had at an upstream that has ended, not yet sent to the others."""

    def __init__(self) -> None:
        self.under: list[RequestUnder] = []
        self.survived: set[str] = set()


class Observed(NamedTuple):
    """A request with the suspects among the parts of its prompt (`ramppost.policy.suspects`)."""

    fingerprint: str
    parts: tuple[str, ...]


class FatalRequests:
    """This gateway's evidence and verdicts on requests and parts that crash upstreams."""

    def __init__(self, peers: Peers, datagrams: Datagrams, metrics: Metrics) -> None:
        self._peers = peers
        self._datagrams = datagrams
        self._metrics = metrics
        self.evidence = CrashHistory()
        self._survivals = Survivals()
        self.published: dict[str, FatalRequest] = {}
        """Contents of the document in the store, by fingerprint."""
        self.unpublished: dict[str, FatalRequest] = {}
        """Findings of this gateway that are not in the document yet, by fingerprint."""
        self._told: dict[str, FatalRequest] = {}
        """Findings that other gateways have reported, by fingerprint."""
        self.cleared: set[str] = set()
        """Fingerprints in the document that have since been answered successfully here."""
        self._removed: dict[str, int] = {}
        """When the requests that were removed from the document had been found, by fingerprint."""
        self._document_era = 0
        """The era of the store that `published` is of."""
        self._pending: frozenset[str] = frozenset()
        """Parts whose requests wait, because a verdict on them is imminent."""
        self._awaiting_head: dict[Exchange, Observed] = {}
        """Exchanges that have not received their response head."""
        self._unsent_ends: dict[tuple[str, str, bool], _EndReport] = {}
        self._has_unsent_ends = curio.Event()
        self._has_new_evidence = curio.Event()
        self._evidence_at = float("-inf")
        """When evidence was last received."""

    @property
    def _findings(self) -> tuple[dict[str, FatalRequest], ...]:
        """All known findings, by where they are from."""
        return self.published, self.unpublished, self._told

    def is_fatal(self, fingerprint: str, parts: Collection[str] = ()) -> bool:
        """Whether a request is known to be fatal and must not be run."""
        if parts and self.find_fatal_parts(parts):
            return True
        known = self._find_known(fingerprint)
        if known is not None and known["certain"] and fingerprint not in self.cleared:
            return True
        self._evaluate(fingerprint, clock.now())
        return fingerprint in self.evidence.fatal

    def find_fatal_parts(self, parts: Collection[str]) -> tuple[str, ...]:
        """The parts because of which a request is not run; empty if there are none."""
        held = frozenset(parts)
        groups = list(self.evidence.fatal_parts.values())
        for findings in self._findings:
            for key, found in findings.items():
                if found["certain"] and "parts" in found and key not in self.cleared:
                    groups.append(tuple(found["parts"]))
        return next((group for group in groups if held.issuperset(group)), ())

    def is_pending(self, parts: Collection[str]) -> bool:
        """Whether a verdict on a request with these parts is imminent, so that it should wait."""
        return bool(self._pending) and self._pending.issubset(parts)

    def may_be_fatal(self, fingerprint: str, parts: Collection[str]) -> bool:
        """Whether there is evidence against a request or its parts that no answer contradicts.  Of
        a request with parts that are all answered elsewhere, the rest is hardly the cause."""
        now = clock.now()
        return any(
            self.evidence.is_suspect(suspect) and not self.evidence.was_answered(suspect, now)
            for suspect in (parts or (fingerprint,))
        )

    async def record_end(
        self,
        upstream: str,
        fingerprint: str,
        sign: int,
        gone: bool = True,
        parts: Collection[str] = (),
        version: str = "",
    ) -> None:
        """Record and report that an upstream ended while it had a request of this gateway.

        `gone` is false if its box does not respond at all and so may return at any moment.
        """
        now = clock.now()
        survived = {
            part for part in parts if sign <= RAN or self._survivals.survived(upstream, part, now)
        }
        suspects = [part for part in parts if part not in survived]
        # Parts that were never answered come first, as the others are hardly suspects.
        suspects.sort(key=lambda part: self.evidence.was_answered(part, now))
        suspects = suspects[:MAX_PARTS_PER_REQUEST]
        answered = [s for s in (fingerprint, *suspects) if self.evidence.was_answered(s, now)]
        request = RequestUnder(
            fingerprint=fingerprint, sign=sign, parts=suspects, answered=answered
        )
        report = self._unsent_ends.setdefault((upstream, version, gone), _EndReport())
        report.under.append(request)
        report.survived |= survived
        self._record(upstream, request, version)
        self.evidence.record_survived(upstream, survived)
        await self._has_unsent_ends.set()
        await self._note_evidence(now)

    def record_answer(
        self,
        fingerprint: str,
        status: int,
        parts: Collection[str] = (),
        upstream: str = "",
        version: str = "",
        began_at: float | None = None,
    ) -> None:
        """Record a complete answer; a successful one clears the request and its parts of
        suspicion.  `began_at` is when its head arrived (steady clock)."""
        if status >= MIN_ERROR_STATUS:
            return
        now = clock.now()
        age_s = 0.0 if began_at is None else now - began_at
        self._clear(fingerprint, version, age_s)
        self.record_survival(upstream, version, parts, now - age_s)

    def record_survival(
        self, upstream: str, version: str, parts: Collection[str], began_at: float
    ) -> None:
        """Record that an upstream has run a prompt for longer than a fatal part would let it."""
        now = clock.now()
        self._survivals.record(upstream, parts, now)
        for part in parts:
            self._clear(part, version, now - began_at)

    @contextmanager
    def abort_if_fatal(self, observed: Observed, exchange: Exchange) -> Iterator[None]:
        """Abort the exchange if its request is found to be fatal while in this context.

        A request that is still waiting at its upstream has not crashed it yet.
        """
        self._awaiting_head[exchange] = observed
        try:
            yield
        finally:
            del self._awaiting_head[exchange]

    # --- reports from other gateways and the document

    async def handle_datagram(self, msg: PeerDatagram) -> None:
        """Process a report from another gateway."""
        if "ended" in msg:
            await self._handle_ended(msg["ended"])
        if "harmless" in msg:
            note = msg["harmless"]
            self._acquit(note["fingerprint"], note.get("version", ""), note.get("age_s", 0.0))
        if "fatal" in msg:
            self._handle_finding(msg["fatal"])

    async def _handle_ended(self, note: UpstreamEnded) -> None:
        now = clock.now()
        upstream, version = note["upstream"], note.get("version", "")
        survived = set(note.get("survived", ())[:MAX_SURVIVED_PER_DATAGRAM])
        known_here: set[str] = set()
        for request in note["under"][:MAX_REQUESTS_PER_DATAGRAM]:
            self._record(upstream, request, version)
            for part in request.get("parts", ()):
                if part not in survived and self._survivals.survived(upstream, part, now):
                    known_here.add(part)
        self.evidence.record_survived(upstream, survived | known_here)
        if known_here:
            report = self._unsent_ends.setdefault((upstream, version, note["gone"]), _EndReport())
            report.survived |= known_here
            await self._has_unsent_ends.set()
        await self._note_evidence(now)

    def _handle_finding(self, found: FatalRequest) -> None:
        """Take over a finding of another gateway, which may not reach the store."""
        key = found["fingerprint"]
        known = self._find_known(key)
        if self._removed.get(key) == found["at"] or (
            known is not None and not _is_stronger(found, known)
        ):
            return
        self._told[key] = found
        drop_oldest(self._told, MAX_FATAL)
        self._log_known(found)
        self._abort_waiting()

    def reset(self) -> None:
        """Discard all evidence and verdicts, so that every request may run again."""
        self.evidence = CrashHistory()
        self._record_removals(self.published)
        self._record_removals(self._told)
        self.published = {}
        self.unpublished = {}
        self._told = {}
        self._pending = frozenset()
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
            if len(self.published) < MAX_FATAL:
                self._withdraw(missing)
        self.cleared &= set(self.published)
        for fingerprint, request in self.published.items():
            if request == previous.get(fingerprint):
                continue
            self._log_known(request)
            if fingerprint in self.unpublished and not _is_stronger(
                self.unpublished[fingerprint], request
            ):
                del self.unpublished[fingerprint]
            if not request["certain"]:
                self._add_published_evidence(request)
        self._abort_waiting()

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

    def _withdraw(self, removed: dict[str, FatalRequest]) -> None:
        """Let requests run again that an operator has taken out of the document, or a gateway that
        has answered them."""
        for fingerprint in removed:
            self.evidence.withdraw(fingerprint)
            self.unpublished.pop(fingerprint, None)
            self._told.pop(fingerprint, None)
            logger.info("fatal request withdrawn", fingerprint=fingerprint)

    def mark_published(self, requests: dict[str, FatalRequest]) -> None:
        """Mark findings as written, including those that did not fit into a full document."""
        for fingerprint, request in requests.items():
            if self.unpublished.get(fingerprint) is request:
                del self.unpublished[fingerprint]

    def _add_published_evidence(self, request: FatalRequest) -> None:
        """Count ends that other gateways saw; those gateways may no longer exist."""
        parts = request.get("parts", [])
        fingerprint = "" if parts else request["fingerprint"]
        under = RequestUnder(fingerprint=fingerprint, sign=JUST_BEGUN, parts=parts)
        for upstream in request["upstreams"][:FATAL_START_ENDS]:
            self._record(upstream, under, request.get("version", ""))

    def _clear(self, suspect: str, version: str, age_s: float) -> None:
        """Clear a suspect, which was answered here, of suspicion at all gateways."""
        if self._acquit(suspect, version, age_s):
            note = HarmlessNote(fingerprint=suspect, version=version, age_s=age_s)
            self._send_to_judges(PeerDatagram(harmless=note))
        for key in self._keys_of(suspect):
            self._reconsider(key, suspect, version, age_s)

    def _acquit(self, suspect: str, version: str, age_s: float) -> bool:
        """Drop the evidence against a suspect that an answer contradicts; whether there was any.

        `age_s` is how long ago the answer began.
        """
        now = clock.now()
        if not self.evidence.record_answer(suspect, now, now - age_s, version):
            return False
        logger.info("request cleared", fingerprint=suspect)
        return True

    def _keys_of(self, suspect: str) -> list[str]:
        """The known findings on a suspect."""
        return [
            key
            for findings in self._findings
            for key, found in findings.items()
            if key == suspect or suspect in found.get("parts", ())
        ]

    def _reconsider(self, key: str, suspect: str, version: str, age_s: float) -> None:
        """Withdraw a finding after an answer to a suspect that it names, or take the part that was
        answered out of it."""
        found = self._find_known(key)
        if found is None:
            return
        same = not version or version == found.get("version", version)
        if not same or time.time() - age_s + CLEARING_MARGIN_S < found["at"]:
            return
        self.unpublished.pop(key, None)
        self._told.pop(key, None)
        if key in self.published:
            self.cleared.add(key)
        logger.info("fatal request withdrawn", fingerprint=key, answered=suspect)
        remaining = [part for part in found.get("parts", ()) if part != suspect]
        if found["certain"] and remaining:
            reduced_key = group_key(remaining)
            self.unpublished[reduced_key] = {
                **found,
                "fingerprint": reduced_key,
                "parts": remaining,
            }
            self._log_known(self.unpublished[reduced_key])

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

    async def _send_ends_twice(self, unsent: dict[tuple[str, str, bool], _EndReport]) -> None:
        self._send_ends_once(unsent)
        await curio.sleep(RESEND_DELAY_S)
        self._send_ends_once(unsent)

    def _send_ends_once(self, unsent: dict[tuple[str, str, bool], _EndReport]) -> None:
        for (upstream, version, gone), report in unsent.items():
            survived = sorted(report.survived)[:MAX_SURVIVED_PER_DATAGRAM]
            for batch in _batches(report.under)[:MAX_DATAGRAMS_PER_END]:
                note = UpstreamEnded(
                    upstream=upstream, version=version, gone=gone, under=batch, survived=survived
                )
                self._send_to_judges(PeerDatagram(ended=note))

    def _send_to_judges(self, msg: PeerDatagram) -> None:
        for name in self._peers.evidence_receivers(clock.now()):
            self._datagrams.send(parse_address(self._peers.addrs[name]), msg)

    def _send_finding(self, found: FatalRequest) -> None:
        """Send a finding to all gateways, because the store may be unavailable."""
        for addr in self._peers.addrs.values():
            self._datagrams.send(parse_address(addr), PeerDatagram(fatal=found))

    # --- verdicts

    async def judge(self) -> None:
        """Judge parts of prompts as evidence arrives, and send findings that are not in the store
        again and again, until cancelled."""
        resend_at = 0.0
        while True:
            await curio.ignore_after(FINDING_RESEND_S, self._has_new_evidence.wait)
            now = clock.now()
            if now - self._evidence_at > EVIDENCE_USE_S:
                self._has_new_evidence.clear()
                self._pending = frozenset()
            else:
                self._judge_parts(now)
            if now >= resend_at:
                resend_at = now + FINDING_RESEND_S
                self._send_unpublished()
            took_s = clock.now() - now
            await curio.sleep(max(JUDGE_INTERVAL_S, took_s / MAX_JUDGE_CPU_RATIO))

    def _send_unpublished(self) -> None:
        certain = [found for found in self.unpublished.values() if found["certain"]]
        for found in certain[-MAX_FINDINGS_RESENT:]:
            self._send_finding(found)

    def _judge_parts(self, now: float) -> None:
        if not self._peers.has_all_evidence(now):
            self._pending = frozenset()
            return
        for verdict in self.evidence.find_fatal_parts(now):
            logger.warning(
                "part held to be fatal",
                fingerprint=verdict.key,
                parts=verdict.parts,
                upstreams=verdict.upstreams,
                version=verdict.version,
            )
            self._announce(verdict, certain=True)
        pending = self.evidence.pending_parts(now)
        self._pending = frozenset(pending.parts) if pending is not None else frozenset()
        suspected = self.evidence.suspected_parts(now)
        if suspected is not None:
            self._announce(suspected, certain=False)

    async def _note_evidence(self, now: float) -> None:
        self._evidence_at = now
        await self._has_new_evidence.set()

    def _record(self, upstream: str, request: RequestUnder, version: str) -> None:
        now = clock.now()
        self.evidence.record_end(
            upstream,
            request["fingerprint"],
            request["sign"],
            now,
            request.get("parts", [])[:MAX_PARTS_PER_REQUEST],
            request.get("answered", []),
            version,
        )
        self._evaluate(request["fingerprint"], now)

    def _evaluate(self, fingerprint: str, now: float) -> None:
        """Check whether the evidence proves a request fatal or is strong enough to be stored."""
        if fingerprint in self.evidence.fatal or not self.evidence.is_suspect(fingerprint):
            return
        if not self.evidence.is_fatal(fingerprint, now, self._peers.has_all_evidence(now)):
            ends = self.evidence.start_ends(fingerprint, now)
            if len(ends) >= MIN_STORED_ENDS:
                self._announce(FatalParts(fingerprint, (), ends, ""), certain=False)
            return
        ends = self.evidence.fatal[fingerprint]
        logger.warning("request held to be fatal", fingerprint=fingerprint, upstreams=list(ends))
        self._announce(FatalParts(fingerprint, (), ends, ""), certain=True)

    def _announce(self, verdict: FatalParts, certain: bool) -> None:
        """Queue a finding for the document unless an equally strong one is already known; a
        certain one is sent to all gateways, too."""
        found = FatalRequest(
            fingerprint=verdict.key,
            at=int(time.time()),
            certain=certain,
            upstreams=list(verdict.upstreams),
        )
        if verdict.parts:
            found["parts"] = list(verdict.parts)
        if verdict.version:
            found["version"] = verdict.version
        known = self._find_known(verdict.key)
        if known is None or _is_stronger(found, known):
            self.unpublished[verdict.key] = found
        if certain:
            self._metrics.count("ramppost_fatal_requests_found_total")
            self._send_finding(found)
            self._abort_waiting()

    def _find_known(self, key: str) -> FatalRequest | None:
        """The strongest finding that is known under a key."""
        known = [findings[key] for findings in self._findings if key in findings]
        return max(known, key=lambda found: found["certain"], default=None)

    def _log_known(self, found: FatalRequest) -> None:
        logger.info(
            "fatal request known",
            fingerprint=found["fingerprint"],
            certain=found["certain"],
            parts=found.get("parts", []),
        )

    def _abort_waiting(self) -> None:
        """Abort exchanges whose request is known to be fatal by now."""
        for exchange, observed in list(self._awaiting_head.items()):
            if self.is_fatal(observed.fingerprint, observed.parts):
                exchange.shut_down()


def _batches(under: list[RequestUnder]) -> list[list[RequestUnder]]:
    """The requests with the strongest evidence first, as many in each batch as fit into a
    datagram."""
    batches: list[list[RequestUnder]] = [[]]
    size = 0
    for request in sorted(under, key=lambda request: -request["sign"]):
        size += len(encode(request))
        if size > MAX_BATCH_BYTES or len(batches[-1]) >= MAX_REQUESTS_PER_DATAGRAM:
            batches.append([])
            size = len(encode(request))
        batches[-1].append(request)
    return batches


def _is_stronger(found: FatalRequest, known: FatalRequest) -> bool:
    """Whether a new finding is stronger than the known one."""
    return found["certain"] and not known["certain"]
