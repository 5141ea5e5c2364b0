"""Sends the claims of a shard through one entry, its home, so that they share writes.

The home is chosen by rendezvous hashing among the entries that are live in the box list; the
next entry in rank is its deputy.  Both read the shard's log regularly.  Homes only reduce the
cost; safety does not depend on them, because any entry can write to a shard's log (see
`ramppost.policy.claims`).  If neither home nor deputy can take a claim, the entry therefore
writes it itself.  If one of them has written it after all, the entry finds its own nonce in
the log.

Every entry also remembers the claims that it has learned of, so that it recognizes a key that
it has served when no other entry can be reached.
"""

from __future__ import annotations

from itertools import islice
from typing import Final

import curio

from ramppost import clock, ids
from ramppost.entry.claimlog import (
    COMMIT_TIMEOUT_S,
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
CALL_TIMEOUT_S: Final = COMMIT_TIMEOUT_S + 0.5
READERS_PER_SHARD: Final = 2
MAX_KNOWN_CLAIMS: Final = 10_000
READ_PERIOD_S: Final = 5.0
BOX_LIST_POLL_S: Final = 0.1

RAN_BY_STATE: Final[dict[str, Ran]] = {"open": "unknown", "done": "yes", "not_run": "no"}


class ClaimHomes:
    """Takes and looks up claims through the homes of their shards."""

    def __init__(
        self, claim_log: ClaimLog, upstreams: Upstreams, pool: Pool, entry_name: str
    ) -> None:
        self.claim_log = claim_log
        self.upstreams = upstreams
        self.pool = pool
        self.own_addr = ids.address(entry_name)
        self.unresponsive = UnresponsiveEntries()
        self.pending_ends = 0
        self.known_claims = Shard()
        self.logs_read = False

    def readers(self, shard: int) -> list[str]:
        """Addresses of a shard's home and deputy, in this order."""
        ranked = self.upstreams.ranked_entries("claim-home", str(shard))
        return list(
            islice((addr for addr in ranked if addr not in self.unresponsive), READERS_PER_SHARD)
        )

    async def claim(self, claim: Claim) -> Outcome:
        """Take a claim and return the final outcome."""
        out = await self._claim(claim)
        if isinstance(out, Granted):
            self.known_claims.add_claim(claim)
        elif isinstance(out, Taken):
            self.known_claims.add_claim(out.held)
        return out

    async def _claim(self, claim: Claim) -> Outcome:
        out = await self._ask_in_order(shard_of(claim["key"]), CLAIM_PATH, claim)
        assert not isinstance(out, Free)
        if isinstance(out, Taken) and out.held["nonce"] == claim["nonce"]:
            return Granted()
        held = self.known_claims.conflicting_claim(claim) if isinstance(out, NoClaim) else None
        return out if held is None else Taken(held)

    async def lookup_ran(self, key: str) -> Ran:
        """Whether a request with a key has run, for a key that this request has not claimed.

        "unknown" if a claim of the key is still open, or if the platform can't be read and not all
        entries that were asked had read the shard's log before.
        """
        out = await self._ask_in_order(shard_of(key), PEEK_PATH, PeekMsg(key=key))
        if isinstance(out, Taken):
            return RAN_BY_STATE[out.held["state"]]
        known = self.known_claims.get(key)
        if isinstance(out, NoClaim) and known is not None:
            return RAN_BY_STATE[known["state"]]
        return "unknown" if isinstance(out, NoClaim) and not out.sure else "no"

    async def _ask_in_order(self, shard: int, path: str, msg: Claim | PeekMsg) -> Outcome | Free:
        """Ask home, deputy and this entry's own log, in this order, until one can tell.

        If none can, the result is `sure` only if all of them are.
        """
        readers = self.readers(shard)
        sure, reason = True, ""
        for addr in readers if self.own_addr in readers else [*readers, self.own_addr]:
            out = await (
                self.ask_own_log(msg) if addr == self.own_addr else self._ask_entry(addr, path, msg)
            )
            if not isinstance(out, NoClaim):
                return out
            sure, reason = sure and out.sure, out.reason
        return NoClaim(reason, sure)

    async def ask_own_log(self, msg: Claim | PeekMsg) -> Outcome | Free:
        """Take or look up a claim in this entry's own log."""
        if "nonce" in msg:
            return await self.claim_log.claim(msg)
        return await self.claim_log.lookup(msg["key"])

    async def record_end(self, claim: Claim) -> None:
        """Record the end of a claim of this entry, in the background."""
        self.pending_ends += 1
        self.known_claims.add_claim(claim)
        await curio.spawn(self._write_end, claim, daemon=True)

    @property
    def idle(self) -> bool:
        """Whether no claim or end of a claim is waiting to be written."""
        return not self.pending_ends and self.claim_log.idle

    async def _write_end(self, claim: Claim) -> None:
        try:
            await self.claim(claim)
        finally:
            self.pending_ends -= 1

    async def follow_logs(self) -> None:
        """Read the logs of the shards whose home or deputy is this entry, until cancelled.

        The home also expires old segments.
        """
        while not self.upstreams.boxes:
            await curio.sleep(BOX_LIST_POLL_S)
        while True:
            for shard in range(SHARDS):
                readers = self.readers(shard)
                if self.own_addr in readers:
                    await self._read_if_stale(shard)
                if self.own_addr == readers[0]:
                    await self.claim_log.expire(shard)
            self.logs_read = True
            self.known_claims.trim(MAX_KNOWN_CLAIMS)
            await curio.sleep(READ_PERIOD_S)

    async def _read_if_stale(self, shard: int) -> None:
        age_s = clock.now() - self.claim_log.read_at.get(shard, -READ_PERIOD_S)
        if age_s >= READ_PERIOD_S:
            await self.claim_log.read_shard(shard)

    async def _ask_entry(self, addr: str, path: str, msg: Claim | PeekMsg) -> Outcome | Free:
        """Ask another entry; one that gives no valid answer is skipped for a while."""
        got = await call(self.pool, addr, "POST", path, encode(msg), CALL_TIMEOUT_S)
        if isinstance(got, CallFailed):
            reply: ClaimReply | BadMessage = BadMessage(got.reason)
        else:
            reply = decode(got.body, ClaimReply)
        if isinstance(reply, BadMessage):
            self.unresponsive.add(addr)
            return NoClaim(f"entry {addr} gave no answer", False)
        return _outcome_from_reply(reply)


def _outcome_from_reply(reply: ClaimReply) -> Outcome | Free:
    """Outcome that a reply of another entry reports."""
    if reply["outcome"] == "granted":
        return Granted()
    if reply["outcome"] == "free":
        return Free()
    if reply["outcome"] == "taken" and "held" in reply:
        return Taken(reply["held"])
    return NoClaim(reply["reason"], reply.get("sure", False))


def reply_from_outcome(out: Outcome | Free) -> ClaimReply:
    """Reply that reports an outcome to another entry."""
    if isinstance(out, Granted):
        return ClaimReply(outcome="granted", reason="")
    if isinstance(out, Free):
        return ClaimReply(outcome="free", reason="")
    if isinstance(out, Taken):
        return ClaimReply(outcome="taken", reason="", held=out.held)
    return ClaimReply(outcome="no_claim", reason=out.reason, sure=out.sure)
