"""Takes claims on callers' keys through the object API, in group commits.

Claims of a shard are collected for a short delay and written as one group to the head of the
shard's log (see `ramppost.policy.claims`).  The delay grows while the platform is busy, so that
more claims share a write.  If the reply to a write is lost, the log is read to its end and
searched for the group's nonce.  If the platform gives no answer within `COMMIT_TIMEOUT_S`, the
claims are not granted, and for `UNAVAILABLE_S` further claims fail at once instead of waiting.

A conflict with a claim that is already known is reported at once, without the platform.  During
an outage, every entry that has read the shard's log therefore still recognizes keys that ran.
"""

from __future__ import annotations

import secrets
from enum import Enum
from typing import Final, NamedTuple

import curio
from loguru import logger

from ramppost import clock
from ramppost.platform.objects import (
    Client,
    Found,
    Unavailable,
    Written,
    delete,
    get,
    list_objects,
    put,
)
from ramppost.policy.claims import Shard, head_key, segment_key, shard_of, shard_prefix
from ramppost.schema.messages import Claim, ClaimSegment
from ramppost.wire.codec import BadMessage, decode, encode

COMMIT_TIMEOUT_S: Final = 1.5
RETRY_S: Final = 0.1
RETENTION_S: Final = 7200
MAX_GROUP_CLAIMS: Final = 500
MAX_EXPIRED_PER_CALL: Final = 20
MAX_ABANDONED_REQUESTS: Final = 10_000
UNAVAILABLE_S: Final = 1.0
BUSY_DELAY_MIN_S: Final = 0.04
BUSY_DELAY_MAX_S: Final = 0.5
BUSY_DELAY_DECAY: Final = 0.95
MAX_READ_AGE_S: Final = 1.0


class Granted(NamedTuple):
    """The claim is written and belongs to this entry; this is never revoked."""


class Taken(NamedTuple):
    """The key is already claimed."""

    held: Claim


class NoClaim(NamedTuple):
    """The platform gave no answer in time.

    `sure` is whether the log was read before and had no claim of the key.
    """

    reason: str
    sure: bool


class Free(NamedTuple):
    """The log has no claim of the key."""


Outcome = Granted | Taken | NoClaim


class WriteResult(Enum):
    """Result of a write: stored, not known to be stored, or refused by a busy platform."""

    DONE = "done"
    IN_DOUBT = "doubt"
    BUSY = "busy"


class _PendingClaim:
    def __init__(self, claim: Claim) -> None:
        self.claim = claim
        self.deadline = clock.now() + COMMIT_TIMEOUT_S
        self.outcome: Outcome | None = None
        self.resolved = curio.Event()

    async def resolve(self, outcome: Outcome) -> None:
        self.outcome = outcome
        await self.resolved.set()


def _first_per_key(group: list[_PendingClaim]) -> list[_PendingClaim]:
    """The first claim of each key; later ones are resolved only after it is written."""
    first: dict[str, _PendingClaim] = {}
    for pending in group:
        first.setdefault(pending.claim["key"], pending)
    return list(first.values())


class ClaimLog:
    """The claims read from or written to the shards' logs, and those that wait to be written."""

    def __init__(self, client: Client, window_s: float, retention_s: float = RETENTION_S) -> None:
        self.client = client
        self.window_s = window_s
        self.group_delay_s = window_s
        self.retention_s = retention_s
        self.shards: dict[int, Shard] = {}
        self.queues: dict[int, list[_PendingClaim]] = {}
        self.writing_shards: set[int] = set()
        self.abandoned_requests: set[str] = set()
        self.groups_written = 0
        self.read_at: dict[int, float] = {}
        self.unavailable_until = 0.0

    def known_conflict(self, claim: Claim) -> Taken | None:
        """The conflicting claim, if one is known without reading the log."""
        state = self.shards.get(shard_of(claim["key"]))
        found = state.conflicting_claim(claim) if state else None
        return Taken(found) if found is not None else None

    async def claim(self, claim: Claim) -> Outcome:
        """Take a claim and return the final outcome."""
        taken = self.known_conflict(claim)
        if taken is not None:
            return taken
        if clock.now() < self.unavailable_until:
            return self._no_claim(claim, "the platform gave no answer a moment ago")
        pending = _PendingClaim(claim)
        await self._enqueue(pending)
        await pending.resolved.wait()
        assert pending.outcome is not None
        return pending.outcome

    def _no_claim(self, claim: Claim, reason: str) -> NoClaim:
        if len(self.abandoned_requests) >= MAX_ABANDONED_REQUESTS:
            self.abandoned_requests.clear()
        self.abandoned_requests.add(claim["request_id"])
        return NoClaim(reason, shard_of(claim["key"]) in self.shards)

    async def lookup(self, key: str) -> Taken | Free | NoClaim:
        """Look up the claim of a key in the log, read at most `MAX_READ_AGE_S` ago if possible."""
        shard = shard_of(key)
        if clock.now() - self.read_at.get(shard, -MAX_READ_AGE_S) >= MAX_READ_AGE_S:
            await self.read_shard(shard)
        state = self.shards.get(shard)
        if state is None:
            return NoClaim("claims not read", False)
        found = state.get(key)
        return Taken(found) if found is not None else Free()

    async def read_shard(self, shard: int) -> bool:
        """Read a shard's log to its end; false if the platform can't be read."""
        state = await self._load(shard)
        return state is not None and await self._catch_up(shard, state) is not None

    @property
    def idle(self) -> bool:
        """Whether no claim is waiting to be written."""
        return not self.writing_shards

    async def _enqueue(self, pending: _PendingClaim) -> None:
        shard = shard_of(pending.claim["key"])
        self.queues.setdefault(shard, []).append(pending)
        if shard not in self.writing_shards:
            self.writing_shards.add(shard)
            await curio.spawn(self._write_shard, shard, daemon=True)

    async def _write_shard(self, shard: int) -> None:
        """Write the claims of a shard in groups until none is queued."""
        while self.queues.get(shard):
            await curio.sleep(self.group_delay_s)
            group = self.queues[shard][:MAX_GROUP_CLAIMS]
            self.queues[shard] = self.queues[shard][MAX_GROUP_CLAIMS:]
            async with curio.ignore_after(COMMIT_TIMEOUT_S):
                await self._commit_group(shard, group)
            await self._fail_undecided(shard, group)
        self.writing_shards.discard(shard)

    async def _fail_undecided(self, shard: int, group: list[_PendingClaim]) -> None:
        """Fail the claims of a group that have no outcome yet, and queued ones past their deadline.

        Claims of the group that were queued again keep waiting until their deadline.
        """
        now = clock.now()
        queued = set(self.queues[shard])
        unanswered = [p for p in group if p.outcome is None and p not in queued]
        expired = [p for p in self.queues[shard] if p.deadline <= now]
        self.queues[shard] = [p for p in self.queues[shard] if p.deadline > now]
        if unanswered:
            self.unavailable_until = now + UNAVAILABLE_S
        if unanswered or expired:
            logger.warning(
                "{} claims not taken: no answer in time",
                len(unanswered) + len(expired),
            )
        for pending in (*unanswered, *expired):
            reason = "the platform gave no answer in time"
            await pending.resolve(self._no_claim(pending.claim, reason))

    async def _commit_group(self, shard: int, group: list[_PendingClaim]) -> None:
        """Retry writing a group until it is stored, or queue it again if the platform is busy.

        Claims that conflict with stored ones are rejected before each try.
        """
        nonce = secrets.token_hex(8)
        while (state := await self._load(shard)) is not None:
            group = await self._reject_conflicting(state, group)
            if not group:
                return
            first = _first_per_key(group)
            written = await self._write_group(shard, state, nonce, [p.claim for p in first])
            if written is WriteResult.BUSY:
                self.group_delay_s = min(
                    BUSY_DELAY_MAX_S, max(BUSY_DELAY_MIN_S, self.group_delay_s * 2)
                )
                self.queues[shard][:0] = group
                return
            if written is WriteResult.DONE:
                self.group_delay_s = max(self.window_s, self.group_delay_s * BUSY_DELAY_DECAY)
                self.groups_written += 1
                for pending in first:
                    await pending.resolve(Granted())
                rest = [p for p in group if p.outcome is None]
                self.queues[shard][:0] = await self._reject_conflicting(state, rest)
                return

    async def _write_group(
        self, shard: int, state: Shard, nonce: str, claims: list[Claim]
    ) -> WriteResult:
        """Try once to append a group to the log, closing the head first if it is full."""
        head, version = state.head, state.head_version
        segment = state.next_head(nonce, claims)
        full = segment["seq"] > head["seq"]
        if full:
            closed = await put(self.client, segment_key(shard, head["seq"]), head, None)
            if isinstance(closed, Unavailable):
                return WriteResult.BUSY if closed.rate_limited else WriteResult.IN_DOUBT
        out = await put(self.client, head_key(shard), segment, version)
        if isinstance(out, Written):
            if full:
                state.add_closed_segment(head, clock.now())
            state.update_head(segment, out.version)
            self.read_at[shard] = clock.now()
            return WriteResult.DONE
        if isinstance(out, Unavailable):
            if out.rate_limited:
                return WriteResult.BUSY
            logger.info("write of claims to shard {} in doubt: {}", shard, out.reason)
            await curio.sleep(RETRY_S)
        nonces = await self._catch_up(shard, state)
        return WriteResult.DONE if nonces is not None and nonce in nonces else WriteResult.IN_DOUBT

    async def _reject_conflicting(
        self, state: Shard, group: list[_PendingClaim]
    ) -> list[_PendingClaim]:
        """Reject claims that conflict with written ones; return the others."""
        free: list[_PendingClaim] = []
        for pending in group:
            held = state.conflicting_claim(pending.claim)
            if held is None:
                free.append(pending)
            else:
                await pending.resolve(Taken(held))
        return free

    async def _catch_up(self, shard: int, state: Shard) -> set[str] | None:
        """Read the log from the known head to its end; nonces of the groups read, None on failure.

        If a segment on the way was already deleted, the shard's state is dropped, so that the log
        is read from its start next time.
        """
        got = await get(self.client, head_key(shard), ClaimSegment)
        if isinstance(got, Unavailable):
            return None
        nonces: set[str] = set()
        if isinstance(got, Found):
            for seq in range(state.head["seq"], got.value["seq"]):
                closed = await get(self.client, segment_key(shard, seq), ClaimSegment)
                if not isinstance(closed, Found):
                    self.shards.pop(shard, None)
                    return None
                state.add_closed_segment(closed.value, clock.now())
                nonces.update(closed.value["nonces"])
            state.update_head(got.value, got.version)
            nonces.update(got.value["nonces"])
        self.read_at[shard] = clock.now()
        return nonces

    async def _load(self, shard: int) -> Shard | None:
        """The shard's state, read from the platform if it is not in memory."""
        if shard in self.shards:
            return self.shards[shard]
        state = Shard()
        after = ""
        while True:
            page = await list_objects(self.client, shard_prefix(shard), after)
            if isinstance(page, Unavailable):
                return None
            if not page["items"]:
                self.shards[shard] = state
                return state
            for item in page["items"]:
                after = item["key"]
                segment = decode(encode(item["value"]), ClaimSegment)
                if isinstance(segment, BadMessage):
                    logger.error("claims can't be read: {}", segment.reason, key=after)
                    return None
                if after == head_key(shard):
                    state.update_head(segment, item["version"])
                else:
                    state.add_closed_segment(segment, clock.now())

    async def expire(self, shard: int) -> int:
        """Delete closed segments that this process read more than `retention_s` ago; how many.

        The age is the time since this process read the segment, on its own clock, and not a time
        stored by the writer.  A wrong or jumping clock, here or at a writer, must not make claims
        expire early.
        """
        state = self.shards.get(shard)
        deleted = 0
        while state and state.closed and deleted < MAX_EXPIRED_PER_CALL:
            oldest = state.closed[0]
            if oldest.seen_at > clock.now() - self.retention_s:
                break
            if isinstance(await delete(self.client, segment_key(shard, oldest.seq)), Unavailable):
                break
            state.drop_segment(oldest)
            deleted += 1
        return deleted
