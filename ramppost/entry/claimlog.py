"""Takes claims on callers' keys through the object API, many in one write.

Claims of a shard wait a moment for each other, then go as one segment of the
shard's log (see `ramppost.policy.claims`).  A write whose reply is lost is read
back by its nonce.  Where the platform can't say within `GIVE_UP_S`, the claims
are not granted, and for a moment nobody waits for the next try either.

A claim that is known to stand is told at once, without the platform.  So a key
that ran is known as such in an outage, by whoever has read the shard's log.
"""

from __future__ import annotations

import secrets
import time
from typing import Final, NamedTuple

import curio
from loguru import logger

from ramppost.platform.objects import (
    Absent,
    Client,
    Found,
    Unavailable,
    Written,
    delete,
    get,
    listing,
    put,
)
from ramppost.policy.claims import Shard, segment_key, segment_seq, shard_of, shard_prefix
from ramppost.schema.messages import Claim, ClaimSegment
from ramppost.wire.codec import BadMessage, decode, encode

GIVE_UP_S: Final = 1.5
RETRY_S: Final = 0.1
RETENTION_S: Final = 7200
MAX_GROUP: Final = 2000
DOWN_S: Final = 1.0
FRESH_S: Final = 1.0


class Granted(NamedTuple):
    """The claim is ours, for good."""


class Taken(NamedTuple):
    """The key is claimed already."""

    held: Claim


class NoClaim(NamedTuple):
    """The platform could not say in time.

    `sure` is whether the log was read before, and holds no claim of the key.
    """

    reason: str
    sure: bool


class Free(NamedTuple):
    """No claim of the key stands."""


Outcome = Granted | Taken | NoClaim


class _Pending:
    def __init__(self, claim: Claim) -> None:
        self.claim = claim
        self.outcome: Outcome | None = None
        self.decided = curio.Event()

    async def decide(self, outcome: Outcome) -> None:
        self.outcome = outcome
        await self.decided.set()


def _one_a_key(group: list[_Pending]) -> list[_Pending]:
    """The first of each key; the others hear of it only once it is written."""
    first: dict[str, _Pending] = {}
    for pending in group:
        first.setdefault(pending.claim["key"], pending)
    return list(first.values())


class ClaimLog:
    """The claims this entry knows of, and those on their way."""

    def __init__(self, client: Client, window_s: float) -> None:
        self.client = client
        self.window_s = window_s
        self.shards: dict[int, Shard] = {}
        self.queues: dict[int, list[_Pending]] = {}
        self.writing: set[int] = set()
        self.abandoned: set[str] = set()
        self.groups = 0
        self.read_at: dict[int, float] = {}
        self.down_until = 0.0

    def held(self, claim: Claim) -> Taken | None:
        """What is known, without asking, to stand against a claim."""
        state = self.shards.get(shard_of(claim["key"]))
        found = state.holder(claim) if state else None
        return Taken(found) if found is not None else None

    async def claim(self, claim: Claim) -> Outcome:
        """Take a claim; the outcome is final."""
        taken = self.held(claim)
        if taken is not None:
            return taken
        if time.monotonic() < self.down_until:
            return self._no_claim(claim, "the platform gave no answer a moment ago")
        pending = _Pending(claim)
        await self._queue(pending)
        await pending.decided.wait()
        assert pending.outcome is not None
        return pending.outcome

    def _no_claim(self, claim: Claim, reason: str) -> NoClaim:
        self.abandoned.add(claim["request_id"])
        return NoClaim(reason, shard_of(claim["key"]) in self.shards)

    async def peek(self, key: str) -> Taken | Free | NoClaim:
        """Whether a claim of a key stands, by the log as it was a moment ago at most."""
        shard = shard_of(key)
        if time.monotonic() - self.read_at.get(shard, -FRESH_S) >= FRESH_S:
            await self.read(shard)
        state = self.shards.get(shard)
        if state is None:
            return NoClaim("claims not read", False)
        found = state.claims.get(key)
        return Taken(found) if found is not None else Free()

    async def read(self, shard: int) -> bool:
        """Read a shard's log to its end; false where the platform can't be read."""
        state = await self._loaded(shard)
        while state is not None:
            seq = state.next_seq
            got = await get(self.client, segment_key(shard, seq), ClaimSegment)
            if isinstance(got, Absent):
                self.read_at[shard] = time.monotonic()
                return True
            if not isinstance(got, Found):
                return False
            state.apply(seq, got.value)
        return False

    @property
    def idle(self) -> bool:
        """Whether nothing is on its way."""
        return not self.writing

    async def _queue(self, pending: _Pending) -> None:
        shard = shard_of(pending.claim["key"])
        self.queues.setdefault(shard, []).append(pending)
        if shard not in self.writing:
            self.writing.add(shard)
            await curio.spawn(self._write_shard, shard, daemon=True)

    async def _write_shard(self, shard: int) -> None:
        """Write groups of a shard until none waits."""
        while self.queues.get(shard):
            await curio.sleep(self.window_s)
            group = self.queues[shard][:MAX_GROUP]
            self.queues[shard] = self.queues[shard][MAX_GROUP:]
            async with curio.ignore_after(GIVE_UP_S):
                await self._commit(shard, group)
            await self._give_up(group)
        self.writing.discard(shard)

    async def _give_up(self, group: list[_Pending]) -> None:
        """Tell those of a group who are neither decided nor in line again: no claim."""
        line = self.queues.get(shard_of(group[0].claim["key"]), [])
        undecided = [p for p in group if p.outcome is None and p not in line]
        if not undecided:
            return
        logger.warning("claims not taken: {} without an answer", len(undecided))
        self.down_until = time.monotonic() + DOWN_S
        for pending in undecided:
            reason = "the platform gave no answer in time"
            await pending.decide(self._no_claim(pending.claim, reason))

    async def _commit(self, shard: int, group: list[_Pending]) -> None:
        """Write a group, again and again until it stands or all of it is taken."""
        nonce = secrets.token_hex(8)
        state = await self._loaded(shard)
        while state is not None:
            group = await self._turn_away_taken(state, group)
            if not group:
                return
            first = _one_a_key(group)
            segment = ClaimSegment(nonce=nonce, claims=[p.claim for p in first])
            if await self._written(shard, state, segment):
                self.groups += 1
                for pending in first:
                    await pending.decide(Granted())
                rest = [p for p in group if p.outcome is None]
                self.queues[shard][:0] = await self._turn_away_taken(state, rest)
                return

    async def _written(self, shard: int, state: Shard, segment: ClaimSegment) -> bool:
        """Write a segment at the log's end; false where that may or does not stand there."""
        seq = state.next_seq
        out = await put(self.client, segment_key(shard, seq), segment, None)
        if isinstance(out, Written):
            state.apply(seq, segment)
            self.read_at[shard] = time.monotonic()
            return True
        if isinstance(out, Unavailable):
            logger.info("segment {} of shard {} in doubt: {}", seq, shard, out.reason)
            await curio.sleep(RETRY_S)
        return await self._read_back(shard, state, seq, segment["nonce"])

    async def _turn_away_taken(self, state: Shard, group: list[_Pending]) -> list[_Pending]:
        """Those of a group that no written claim stands against."""
        free: list[_Pending] = []
        for pending in group:
            held = state.holder(pending.claim)
            if held is None:
                free.append(pending)
            else:
                await pending.decide(Taken(held))
        return free

    async def _read_back(self, shard: int, state: Shard, seq: int, nonce: str) -> bool:
        """Read segment `seq`, whoever wrote it; true if it was this writer's."""
        got = await get(self.client, segment_key(shard, seq), ClaimSegment)
        if not isinstance(got, Found):
            return False
        state.apply(seq, got.value)
        segment: ClaimSegment = got.value
        return segment["nonce"] == nonce

    async def _loaded(self, shard: int) -> Shard | None:
        """The shard's state, read from the platform the first time."""
        if shard in self.shards:
            return self.shards[shard]
        state = Shard()
        after = ""
        while True:
            page = await listing(self.client, shard_prefix(shard), after)
            if isinstance(page, Unavailable):
                return None
            if not page["items"]:
                self.shards[shard] = state
                return state
            for item in page["items"]:
                after = item["key"]
                segment = decode(encode(item["value"]), ClaimSegment)
                assert not isinstance(segment, BadMessage), f"{after}: {segment}"
                state.apply(segment_seq(after), segment)

    async def expire(self, shard: int, now_s: float) -> int:
        """Delete segments whose claims are all old, but never the last; how many."""
        page = await listing(self.client, shard_prefix(shard))
        if isinstance(page, Unavailable):
            return 0
        deleted = 0
        for item in page["items"][:-1]:
            segment = decode(encode(item["value"]), ClaimSegment)
            if isinstance(segment, BadMessage):
                continue
            if any(c["at_s"] > now_s - RETENTION_S for c in segment["claims"]):
                break
            await delete(self.client, item["key"])
            deleted += 1
        state = self.shards.get(shard)
        if state is not None:
            state.forget(now_s - RETENTION_S)
        return deleted
