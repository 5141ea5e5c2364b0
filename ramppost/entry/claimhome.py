"""Sends the claims of a shard through one entry, its home, so that they share writes.

The home is found by rendezvous among the entries that the box list holds live;
the next in rank is its deputy.  Both keep the shard's log read.  This is a matter
of cost, not of safety: a shard's log can be written by any entry (see
`ramppost.policy.claims`).  So where neither can take a claim, the entry tries
itself, and finds its own nonce in the log if one of them had written it after all.

Every entry also remembers the claims it was told of, so that it knows a key that
it served when nobody else can be asked.
"""

from __future__ import annotations

from itertools import islice
from typing import Final

import curio

from ramppost import clock, ids
from ramppost.entry.claimlog import (
    GIVE_UP_S,
    ClaimLog,
    Free,
    Granted,
    NoClaim,
    Outcome,
    Taken,
)
from ramppost.entry.unresponsive import UnresponsiveEntries
from ramppost.entry.upstreams import Upstreams
from ramppost.errors import Ran
from ramppost.policy.claims import SHARDS, Shard, shard_of
from ramppost.schema.messages import Claim, ClaimReply, PeekMsg
from ramppost.wire.client import CallFailed, Pool, call
from ramppost.wire.codec import BadMessage, decode, encode

CLAIM_PATH: Final = "/x/claim"
PEEK_PATH: Final = "/x/peek"
ASK_TIMEOUT_S: Final = GIVE_UP_S + 0.5
READERS: Final = 2
MAX_TOLD: Final = 10_000
READ_PERIOD_S: Final = 5.0
BOXES_POLL_S: Final = 0.1

RAN_BY_STATE: Final[dict[str, Ran]] = {"open": "unknown", "done": "yes", "not_run": "no"}


class ClaimHomes:
    """Takes claims through their shards' homes."""

    def __init__(self, log: ClaimLog, ups: Upstreams, pool: Pool, me: str) -> None:
        self.log = log
        self.ups = ups
        self.pool = pool
        self.me = ids.address(me)
        self.shunned = UnresponsiveEntries()
        self.noting = 0
        self.told = Shard()
        self.read_once = False

    def ranked(self, shard: int) -> list[str]:
        """Addresses of a shard's home and deputy."""
        ordered = self.ups.ordered("claim-home", str(shard))
        return list(islice((addr for addr in ordered if addr not in self.shunned), READERS))

    async def claim(self, claim: Claim) -> Outcome:
        """Take a claim; the outcome is final."""
        out = await self._claim(claim)
        if isinstance(out, Granted):
            self.told.add_claim(claim)
        elif isinstance(out, Taken):
            self.told.add_claim(out.held)
        return out

    async def _claim(self, claim: Claim) -> Outcome:
        out = await self._asked(shard_of(claim["key"]), CLAIM_PATH, claim)
        assert not isinstance(out, Free)
        if isinstance(out, Taken) and out.held["nonce"] == claim["nonce"]:
            return Granted()
        held = self.told.conflicting_claim(claim) if isinstance(out, NoClaim) else None
        return out if held is None else Taken(held)

    async def ran(self, key: str) -> Ran:
        """What can truly be said of a key that was not claimed now: whether it ever ran."""
        out = await self._asked(shard_of(key), PEEK_PATH, PeekMsg(key=key))
        if isinstance(out, Taken):
            return RAN_BY_STATE[out.held["state"]]
        told = self.told.get(key)
        if isinstance(out, NoClaim) and told is not None:
            return RAN_BY_STATE[told["state"]]
        return "unknown" if isinstance(out, NoClaim) and not out.sure else "no"

    async def _asked(self, shard: int, path: str, msg: Claim | PeekMsg) -> Outcome | Free:
        """What the home says; where it can't say, the deputy; then this entry's own log."""
        ranks = self.ranked(shard)
        sure, reason = True, ""
        for addr in ranks if self.me in ranks else [*ranks, self.me]:
            out = await (self.own(msg) if addr == self.me else self._ask(addr, path, msg))
            if not isinstance(out, NoClaim):
                return out
            sure, reason = sure and out.sure, out.reason
        return NoClaim(reason, sure)

    async def own(self, msg: Claim | PeekMsg) -> Outcome | Free:
        """What this entry's own log says."""
        if "nonce" in msg:
            return await self.log.claim(msg)
        return await self.log.peek(msg["key"])

    async def note(self, claim: Claim) -> None:
        """Record the end of a claim of ours; nobody waits for it."""
        self.noting += 1
        self.told.add_claim(claim)
        await curio.spawn(self._note, claim, daemon=True)

    @property
    def idle(self) -> bool:
        """Whether nothing is on its way."""
        return not self.noting and self.log.idle

    async def _note(self, claim: Claim) -> None:
        try:
            await self.claim(claim)
        finally:
            self.noting -= 1

    async def keep_read(self) -> None:
        """Keep the logs of this entry's shards read, until cancelled."""
        while not self.ups.boxes:
            await curio.sleep(BOXES_POLL_S)
        while True:
            for shard in range(SHARDS):
                ranks = self.ranked(shard)
                if self.me in ranks:
                    await self._keep_one(shard)
                if self.me == ranks[0]:
                    await self.log.expire(shard)
            self.read_once = True
            self.told.trim(MAX_TOLD)
            await curio.sleep(READ_PERIOD_S)

    async def _keep_one(self, shard: int) -> None:
        age_s = clock.now() - self.log.read_at.get(shard, -READ_PERIOD_S)
        if age_s >= READ_PERIOD_S:
            await self.log.read(shard)

    async def _ask(self, addr: str, path: str, msg: Claim | PeekMsg) -> Outcome | Free:
        """What another entry says; one that gives no answer is not asked for a while."""
        got = await call(self.pool, addr, "POST", path, encode(msg), ASK_TIMEOUT_S)
        if isinstance(got, CallFailed):
            reply: ClaimReply | BadMessage = BadMessage(got.reason)
        else:
            reply = decode(got.body, ClaimReply)
        if isinstance(reply, BadMessage):
            self.shunned.add(addr)
            return NoClaim(f"entry {addr} gave no answer", False)
        return _outcome(reply)


def _outcome(reply: ClaimReply) -> Outcome | Free:
    """What an entry told, as an outcome."""
    if reply["outcome"] == "granted":
        return Granted()
    if reply["outcome"] == "free":
        return Free()
    if reply["outcome"] == "taken" and "held" in reply:
        return Taken(reply["held"])
    return NoClaim(reply["reason"], reply.get("sure", False))


def reply_of(out: Outcome | Free) -> ClaimReply:
    """An outcome as an entry tells it."""
    if isinstance(out, Granted):
        return ClaimReply(outcome="granted", reason="")
    if isinstance(out, Free):
        return ClaimReply(outcome="free", reason="")
    if isinstance(out, Taken):
        return ClaimReply(outcome="taken", reason="", held=out.held)
    return ClaimReply(outcome="no_claim", reason=out.reason, sure=out.sure)
