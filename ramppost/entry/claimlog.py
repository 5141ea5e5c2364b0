"""Takes claims on callers' keys through the object API, many in one write.

Claims of a shard wait a moment for each other, then go as one group into the head
of the shard's log (see `ramppost.policy.claims`); they wait longer while the platform
is busy, so that more share a write.  A write whose reply is lost is read back by its
nonce.  Where the platform can't say within `GIVE_UP_S`, the claims are not granted,
and for a moment nobody waits for the next try either.

A claim that is known to stand is told at once, without the platform.  So a key
that ran is known as such in an outage, by whoever has read the shard's log.
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
BUSY_MIN_S: Final = 0.04
BUSY_MAX_S: Final = 0.5
BUSY_DECAY: Final = 0.95
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


class Write(Enum):
    """What became of a write: it stands, it may not, or the platform had no room for it."""

    DONE = "done"
    DOUBT = "doubt"
    BUSY = "busy"


class _Pending:
    def __init__(self, claim: Claim) -> None:
        self.claim = claim
        self.until = clock.now() + GIVE_UP_S
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
        self.busy_s = window_s
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
        found = state.conflicting_claim(claim) if state else None
        return Taken(found) if found is not None else None

    async def claim(self, claim: Claim) -> Outcome:
        """Take a claim; the outcome is final."""
        taken = self.held(claim)
        if taken is not None:
            return taken
        if clock.now() < self.down_until:
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
        if clock.now() - self.read_at.get(shard, -FRESH_S) >= FRESH_S:
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
            await curio.sleep(self.busy_s)
            group = self.queues[shard][:MAX_GROUP]
            self.queues[shard] = self.queues[shard][MAX_GROUP:]
            async with curio.ignore_after(GIVE_UP_S):
                await self._commit(shard, group)
            await self._give_up(shard, group)
        self.writing.discard(shard)

    async def _give_up(self, shard: int, group: list[_Pending]) -> None:
        """Tell those of a group who are undecided that there is no claim.

        Those who are in line again go on waiting, if their time is not up.
        """
        now = clock.now()
        waiting = set(self.queues[shard])
        lost = [p for p in group if p.outcome is None and p not in waiting]
        late = [p for p in self.queues[shard] if p.until <= now]
        self.queues[shard] = [p for p in self.queues[shard] if p.until > now]
        if lost:
            self.down_until = now + DOWN_S
        if lost or late:
            logger.warning("{} claims not taken: no answer in time", len(lost) + len(late))
        for pending in (*lost, *late):
            reason = "the platform gave no answer in time"
            await pending.decide(self._no_claim(pending.claim, reason))

    async def _commit(self, shard: int, group: list[_Pending]) -> None:
        """Write a group, again and again until it stands, all of it is taken, or it must wait."""
        nonce = secrets.token_hex(8)
        while (state := await self._loaded(shard)) is not None:
            group = await self._turn_away_taken(state, group)
            if not group:
                return
            first = _one_a_key(group)
            written = await self._written(shard, state, nonce, [p.claim for p in first])
            if written is Write.BUSY:
                self.busy_s = min(BUSY_MAX_S, max(BUSY_MIN_S, self.busy_s * 2))
                self.queues[shard][:0] = group
                return
            if written is Write.DONE:
                self.busy_s = max(self.window_s, self.busy_s * BUSY_DECAY)
                self.groups += 1
                for pending in first:
                    await pending.decide(Granted())
                rest = [p for p in group if p.outcome is None]
                self.queues[shard][:0] = await self._turn_away_taken(state, rest)
                return

    async def _written(self, shard: int, state: Shard, nonce: str, claims: list[Claim]) -> Write:
        """Add a group at the log's end."""
        head, version = state.head, state.head_version
        segment = state.next_head(nonce, claims)
        full = segment["seq"] > head["seq"]
        if full:
            closed = await put(self.client, segment_key(shard, head["seq"]), head, None)
            if isinstance(closed, Unavailable):
                return Write.BUSY if closed.busy else Write.DOUBT
        out = await put(self.client, head_key(shard), segment, version)
        if isinstance(out, Written):
            if full:
                state.add_closed_segment(head, clock.now())
            state.update_head(segment, out.version)
            self.read_at[shard] = clock.now()
            return Write.DONE
        if isinstance(out, Unavailable):
            if out.busy:
                return Write.BUSY
            logger.info("claims of shard {} in doubt: {}", shard, out.reason)
            await curio.sleep(RETRY_S)
        nonces = await self._catch_up(shard, state)
        return Write.DONE if nonces is not None and nonce in nonces else Write.DOUBT

    async def _turn_away_taken(self, state: Shard, group: list[_Pending]) -> list[_Pending]:
        """Those of a group that no written claim stands against."""
        free: list[_Pending] = []
        for pending in group:
            held = state.conflicting_claim(pending.claim)
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
                state.add_closed_segment(closed.value, clock.now())
                nonces.update(closed.value["nonces"])
            state.update_head(got.value, got.version)
            nonces.update(got.value["nonces"])
        self.read_at[shard] = clock.now()
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
                    state.update_head(segment, item["version"])
                else:
                    state.add_closed_segment(segment, clock.now())

    async def expire(self, shard: int) -> int:
        """Delete closed segments that were seen long ago by this process; how many.

        Ages are by this process's own clock since it read them: a clock that jumps
        must not make claims old, here or at their writers.
        """
        state = self.shards.get(shard)
        deleted = 0
        while state and state.closed and deleted < EXPIRE_GROUP:
            oldest = state.closed[0]
            if oldest.seen_at > clock.now() - self.retention_s:
                break
            if isinstance(await delete(self.client, segment_key(shard, oldest.seq)), Unavailable):
                break
            state.drop_segment(oldest)
            deleted += 1
        return deleted
