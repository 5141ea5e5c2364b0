"""Takes claims on callers' keys through the object API, many in one write.

Claims of a shard wait a moment for each other, then go as one group into the head
of the shard's log (see `ramppost.policy.claims`).  A write whose reply is lost is
read back by its nonce.  Where the platform can't say within `GIVE_UP_S`, the claims
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
    Client,
    Found,
    Unavailable,
    Written,
    delete,
    get,
    listing,
    put,
)
from ramppost.policy.claims import Shard, head_key, segment_key, shard_of, shard_prefix
from ramppost.schema.messages import Claim, ClaimSegment
from ramppost.wire.codec import BadMessage, decode, encode

GIVE_UP_S: Final = 1.5
RETRY_S: Final = 0.1
RETENTION_S: Final = 7200
MAX_GROUP: Final = 500
EXPIRE_GROUP: Final = 20
MAX_ABANDONED: Final = 10_000
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

    def __init__(self, client: Client, window_s: float, retention_s: float = RETENTION_S) -> None:
        self.client = client
        self.window_s = window_s
        self.retention_s = retention_s
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
        if len(self.abandoned) >= MAX_ABANDONED:
            self.abandoned.clear()
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
        found = state.get(key)
        return Taken(found) if found is not None else Free()

    async def read(self, shard: int) -> bool:
        """Read a shard's log to its end; false where the platform can't be read."""
        state = await self._loaded(shard)
        return state is not None and await self._catch_up(shard, state) is not None

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
        while (state := await self._loaded(shard)) is not None:
            group = await self._turn_away_taken(state, group)
            if not group:
                return
            first = _one_a_key(group)
            if await self._written(shard, state, nonce, [p.claim for p in first]):
                self.groups += 1
                for pending in first:
                    await pending.decide(Granted())
                rest = [p for p in group if p.outcome is None]
                self.queues[shard][:0] = await self._turn_away_taken(state, rest)
                return

    async def _written(self, shard: int, state: Shard, nonce: str, claims: list[Claim]) -> bool:
        """Add a group at the log's end; false where it does not stand there, or may not."""
        head, version = state.head, state.head_version
        segment = state.next_head(nonce, claims)
        full = segment["seq"] > head["seq"]
        if full and not await self._closed(shard, head):
            return False
        out = await put(self.client, head_key(shard), segment, version)
        if isinstance(out, Written):
            if full:
                state.close(head, time.monotonic())
            state.take_head(segment, out.version)
            self.read_at[shard] = time.monotonic()
            return True
        if isinstance(out, Unavailable):
            logger.info("claims of shard {} in doubt: {}", shard, out.reason)
            await curio.sleep(RETRY_S)
        nonces = await self._catch_up(shard, state)
        return nonces is not None and nonce in nonces

    async def _closed(self, shard: int, head: ClaimSegment) -> bool:
        """Copy a full head under its number; whoever else did so wrote the same."""
        out = await put(self.client, segment_key(shard, head["seq"]), head, None)
        return not isinstance(out, Unavailable)

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

    async def _catch_up(self, shard: int, state: Shard) -> set[str] | None:
        """Read on to the log's end; nonces of the groups read, None if that can't be done.

        Where segments to be read are deleted already, the shard is read anew next time.
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
                state.close(closed.value, time.monotonic())
                nonces.update(closed.value["nonces"])
            state.take_head(got.value, got.version)
            nonces.update(got.value["nonces"])
        self.read_at[shard] = time.monotonic()
        return nonces

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
                if after == head_key(shard):
                    state.take_head(segment, item["version"])
                else:
                    state.close(segment, time.monotonic())

    async def expire(self, shard: int) -> int:
        """Delete closed segments that were seen long ago by this process; how many.

        Ages are by this process's own clock since it read them: a clock that jumps
        must not make claims old, here or at their writers.
        """
        state = self.shards.get(shard)
        deleted = 0
        while state and state.closed and deleted < EXPIRE_GROUP:
            oldest = state.closed[0]
            if oldest.seen_at > time.monotonic() - self.retention_s:
                break
            if isinstance(await delete(self.client, segment_key(shard, oldest.seq)), Unavailable):
                break
            state.forget(oldest)
            deleted += 1
        return deleted
