"""Pools the evidence on versions that are being rolled out over all gateways, without the store.

Each gateway tells others all that answers have shown it so far, in datagrams; a lost one is made up
for by the next.  In a small fleet all tell all.  In a larger one all tell the first in rank, less
often, and these find a bad version and tell the fleet (`ramppost.gateway.rollout_news`).  Who has
just become one of these knows all within `REPEAT_INTERVAL_S`.
"""

from __future__ import annotations

import itertools
from typing import Final

import curio
from loguru import logger

from ramppost import clock
from ramppost.gateway.datagrams import Datagrams
from ramppost.gateway.early import parse_address
from ramppost.gateway.rollout_news import RolloutNews
from ramppost.gateway.rollouts import Rollout, Rollouts
from ramppost.gateway.version_evidence import CountsBySource, VersionEvidence, is_looked_at
from ramppost.ids import new_incarnation
from ramppost.policy.exposure import SentCounts
from ramppost.policy.guard import NO_COUNTS, Counts, Judgement, Source
from ramppost.policy.relays import MAX_FLAT_FLEET, Peers
from ramppost.policy.slowness import LEVELS
from ramppost.schema.messages import EvidenceCell, EvidenceNote, PeerDatagram

INTERVAL_S: Final = 0.2
"""How often running attempts are looked at: a small part of the time in which a bad version must
have been rolled back."""
REPEAT_INTERVAL_S: Final = 1.0
"""How often evidence is told again that has not changed, and how often any is told in a fleet in
which hundreds may tell the same gateway."""
MAX_CELLS_PER_NOTE: Final = 24
DIGITS: Final = 3
"""Decimal places of the counts that are told."""
MAX_COUNT: Final = 1e9


class EvidenceNews:
    """Sends and receives evidence, and judges versions by it."""

    def __init__(
        self,
        peers: Peers,
        datagrams: Datagrams,
        rollouts: Rollouts,
        evidence: VersionEvidence,
        rollout_news: RolloutNews,
    ) -> None:
        self._peers = peers
        self._datagrams = datagrams
        self._rollouts = rollouts
        self._evidence = evidence
        self._rollout_news = rollout_news
        self._own = new_incarnation(peers.own)
        """Names this start of the gateway: what it knew before is still counted."""
        self._told: dict[str, CountsBySource] = {}
        """What was told last, by service."""
        self._repeat_at = 0.0

    async def exchange(self) -> None:
        """Tell and judge until cancelled."""
        while True:
            await curio.sleep(INTERVAL_S)
            self.exchange_once()

    def exchange_once(self) -> None:
        """Tell others what is new, and judge all roll-outs that are under way."""
        now = clock.now()
        repeats = now >= self._repeat_at
        if repeats:
            self._repeat_at = now + REPEAT_INTERVAL_S
        elif self._peers.fleet_size > MAX_FLAT_FLEET:
            return
        for rollout in self._rollouts.all():
            if rollout.order.state != "ordered":
                self._told.pop(rollout.order.service, None)
                if repeats:
                    self._watch_completed(rollout, now)
                continue
            rollout.account.mark(now)
            self._tell(rollout, repeats, now)
            if not rollout.withdrawal_reason:
                self._withdraw_if_bad(rollout, now)

    def judge(self, rollout: Rollout) -> Judgement:
        """What all evidence that is known here says about a version."""
        return rollout.pool.judge(rollout.trial_upstreams)

    def handle_datagram(self, note: EvidenceNote) -> None:
        """Add what another gateway tells to the pool."""
        rollout = self._rollouts.get(note["service"])
        if rollout is None or rollout.order.version != note["version"]:
            return
        sent = SentCounts(note.get("sent_trial", 0), note.get("sent", 0))
        rollout.account.put(note["gateway"], sent, clock.now())
        for cell in note["cells"]:
            source = Source(cell["upstream"], cell["route"], cell["moved"], cell["recent"])
            rollout.pool.put(note["gateway"], source, _counts(cell))

    def _tell(self, rollout: Rollout, repeats: bool, now: float) -> None:
        service, version = rollout.order.service, rollout.order.version
        told = self._told.get(service, {})
        # What a running attempt has shown is taken back where it ends otherwise.
        counts = dict.fromkeys(told, NO_COUNTS) | self._evidence.counts_now(rollout, now)
        changed = {source: found for source, found in counts.items() if told.get(source) != found}
        for source, found in changed.items():
            rollout.pool.put(self._own, source, found)
        self._told[service] = counts
        to_tell = list((counts if repeats else changed).items())
        receivers = self._peers.evidence_receivers(now) if to_tell or repeats else []
        sent = rollout.account.own
        for first in range(0, max(1, len(to_tell)), MAX_CELLS_PER_NOTE):
            some = itertools.islice(to_tell, first, first + MAX_CELLS_PER_NOTE)
            note = EvidenceNote(
                service=service,
                version=version,
                gateway=self._own,
                cells=[_cell(source, found) for source, found in some],
                sent_trial=sent.trial,
                sent=sent.total,
            )
            for name in receivers:
                addr = parse_address(self._peers.addrs[name])
                self._datagrams.send(addr, PeerDatagram(evidence=note))

    def _withdraw_if_bad(self, rollout: Rollout, now: float) -> None:
        rollout.pool.mark(now)
        judgement = self.judge(rollout)
        rollout.suspects = judgement.suspects
        rollout.doubt = judgement.doubt
        if not judgement.bad:
            return
        service, version = rollout.order.service, rollout.order.version
        self._rollout_news.withdraw(service, version, judgement.bad, now)
        logger.warning(
            "version is considered bad: {}",
            judgement.bad,
            service=service,
            version=version,
            rollout_fraction=round(rollout.elapsed_fraction(now), 3),
            answers=judgement.answers,
            gateways=rollout.pool.gateways,
        )

    def _watch_completed(self, rollout: Rollout, now: float) -> None:
        """Log that a version is bad which has been completed, by what this gateway sees of it."""
        if rollout.is_bad_after_all or not is_looked_at(rollout, now):
            return
        for source, counts in rollout.own_evidence.items():
            rollout.pool.put(self._own, source, counts)
        rollout.pool.mark(now)
        judgement = self.judge(rollout)
        if rollout.order.state == "completed" and judgement.bad:
            rollout.is_bad_after_all = True
            logger.warning(
                "completed version is bad: {}",
                judgement.bad,
                service=rollout.order.service,
                version=rollout.order.version,
                answers=judgement.answers,
                most_at_once=rollout.most_at_once,
            )


def _cell(source: Source, counts: Counts) -> EvidenceCell:
    return EvidenceCell(
        upstream=source.upstream,
        route=source.route,
        moved=source.has_moved,
        recent=source.is_recent,
        failures=round(counts.failures, DIGITS),
        answers=round(counts.answers, DIGITS),
        levels=[round(count, DIGITS) for count in counts.levels],
        reached=[round(count, DIGITS) for count in counts.reached],
    )


def _counts(cell: EvidenceCell) -> Counts:
    """What a cell tells; ValueError if it can't be."""
    levels, reached = tuple(cell["levels"]), tuple(cell["reached"])
    numbers = (cell["failures"], cell["answers"], *levels, *reached)
    if len(levels) != LEVELS or len(reached) != LEVELS:
        raise ValueError(f"{len(levels)} and {len(reached)} levels of slowness")
    if not all(0 <= number <= MAX_COUNT for number in numbers):
        raise ValueError("counts that can't be")
    return Counts(cell["failures"], cell["answers"], levels, reached)
