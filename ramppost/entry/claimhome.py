"""Sends the claims of a shard through one entry, its home, so that they share writes.

The home is found by rendezvous among the entries that the box list holds live.
It is a matter of cost, not of safety: a shard's log can be written by any entry
(see `ramppost.policy.claims`).  So an entry that gets no answer from a home
takes the claim itself, and finds its own nonce in the log if the home had
written it after all.
"""

from __future__ import annotations

import time
from typing import Final

import curio

from ramppost import ids
from ramppost.entry.claimlog import ClaimLog, Granted, NoClaim, Outcome, Taken
from ramppost.entry.upstreams import Upstreams
from ramppost.policy.claims import shard_of
from ramppost.policy.routing import unit
from ramppost.schema.messages import Claim, ClaimReply
from ramppost.wire.client import CallFailed, Pool, call
from ramppost.wire.codec import BadMessage, decode, encode

CLAIM_PATH: Final = "/x/claim"
ASK_TIMEOUT_S: Final = 1.0
SHUN_S: Final = 3.0


class ClaimHomes:
    """Takes claims through their shards' homes."""

    def __init__(self, log: ClaimLog, ups: Upstreams, pool: Pool, me: str) -> None:
        self.log = log
        self.ups = ups
        self.pool = pool
        self.me = ids.address(me)
        self.shunned: dict[str, float] = {}
        self.noting = 0

    def home_of(self, shard: int) -> str:
        """Address of the entry that a shard's claims go through now."""
        now = time.monotonic()
        live = [
            box["addr"]
            for box in self.ups.boxes
            if box["role"] == "entry" and box["state"] == "live"
        ]
        usable = [addr for addr in live if self.shunned.get(addr, 0.0) < now]
        return min(usable or [self.me], key=lambda addr: unit("claim-home", str(shard), addr))

    async def claim(self, claim: Claim) -> Outcome:
        """Take a claim; the outcome is final."""
        home = self.home_of(shard_of(claim["key"]))
        if home != self.me:
            out = await self._ask(home, claim)
            if out is not None:
                return out
            self.shunned[home] = time.monotonic() + SHUN_S
        got = await self.log.claim(claim)
        if isinstance(got, Taken) and got.held["nonce"] == claim["nonce"]:
            return Granted()
        return got

    async def note(self, claim: Claim) -> None:
        """Record the end of a claim of ours; nobody waits for it."""
        self.noting += 1
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

    async def _ask(self, home: str, claim: Claim) -> Outcome | None:
        """What the home says; None where it does not answer."""
        got = await call(self.pool, home, "POST", CLAIM_PATH, encode(claim), ASK_TIMEOUT_S)
        if isinstance(got, CallFailed) or got.status != 200:
            return None
        reply = decode(got.body, ClaimReply)
        if isinstance(reply, BadMessage):
            return None
        if reply["outcome"] == "granted":
            return Granted()
        if reply["outcome"] == "no_claim":
            return NoClaim(reply["reason"])
        return Taken(reply["held"]) if "held" in reply else None


def reply_of(out: Outcome) -> ClaimReply:
    """An outcome as the home tells it."""
    if isinstance(out, Granted):
        return ClaimReply(outcome="granted", reason="")
    if isinstance(out, Taken):
        return ClaimReply(outcome="taken", reason="", held=out.held)
    return ClaimReply(outcome="no_claim", reason=out.reason)
