"""Takes claims on callers' keys through the object API, many in one write.

Claims of a shard wait a moment for each other, then go as one segment of the
shard's log (see `ramppost.policy.claims`).  A write whose reply is lost is read
back by its nonce.  Where the platform can't say within `GIVE_UP_S`, the claims
are not granted; nothing was dispatched, so "not run" is true.
"""

from __future__ import annotations

import secrets
import time
from typing import Final, NamedTuple

import curio
from loguru import logger

from ramppost.platform.objects import Client, Found, Unavailable, Written, delete, get, listing, put
from ramppost.policy.claims import Shard, segment_key, segment_seq, shard_of, shard_prefix
from ramppost.schema.messages import Claim, ClaimSegment
from ramppost.wire.codec import BadMessage, decode, encode

GIVE_UP_S: Final = 2.5
RETRY_S: Final = 0.1
RETENTION_S: Final = 7200
MAX_GROUP: Final = 2000


class Granted(NamedTuple):
    """The claim is ours, for good."""


class Taken(NamedTuple):
    """The key is claimed already."""

    held: Claim


class NoClaim(NamedTuple):
    """The platform could not say in time."""

    reason: str


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

    async def claim(self, claim: Claim) -> Outcome:
        """Take a claim; the outcome is final."""
        pending = _Pending(claim)
        await self._queue(pending)
        await pending.decided.wait()
        assert pending.outcome is not None
        if isinstance(pending.outcome, NoClaim):
            self.abandoned.add(claim["request_id"])
        return pending.outcome

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
            await self._commit(shard, group)
        self.writing.discard(shard)

    async def _commit(self, shard: int, group: list[_Pending]) -> None:
        deadline = time.monotonic() + GIVE_UP_S
        nonce = secrets.token_hex(8)
        state = await self._loaded(shard)
        reason = "claims not read" if state is None else ""
        while state is not None and time.monotonic() < deadline:
            group = await self._turn_away_taken(state, group)
            if not group:
                return
            first = _one_a_key(group)
            segment = ClaimSegment(nonce=nonce, claims=[p.claim for p in first])
            seq = state.next_seq
            out = await put(self.client, segment_key(shard, seq), segment, None)
            if isinstance(out, Unavailable):
                reason = out.reason
                await curio.sleep(RETRY_S)
            if not isinstance(out, Written):
                written = await self._read_back(shard, state, seq, nonce)
            else:
                state.apply(seq, segment)
                written = True
            if written:
                self.groups += 1
                for pending in first:
                    await pending.decide(Granted())
                chosen = set(first)
                rest = [p for p in group if p not in chosen]
                self.queues[shard][:0] = await self._turn_away_taken(state, rest)
                return
        logger.warning("claims not taken: {}", reason)
        for pending in group:
            await pending.decide(NoClaim(reason))

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
