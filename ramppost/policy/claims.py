"""State of a claim shard: a log of segments, each written once.

Pure.  Segment N of a shard can be created by one writer only, and only a writer
that has read all segments before N creates it knowingly; so a group of claims
that was written is valid, whoever else writes, paused or not.  Nobody has to
own a shard for that; sending a shard's claims through one entry only saves
conflicts.
"""

from __future__ import annotations

import hashlib
from typing import Final

from ramppost.schema.messages import Claim, ClaimSegment

SHARDS: Final = 16
SEQ_DIGITS: Final = 10


def claim_key(workspace: str, caller_key: str) -> str:
    """Digest that names a caller's key within its workspace."""
    text = f"{workspace}\0{caller_key}".encode()
    return hashlib.blake2b(text, digest_size=16).hexdigest()


def shard_of(key: str) -> int:
    """The shard of a claim key."""
    return int(key[:4], 16) % SHARDS


def shard_prefix(shard: int) -> str:
    """Prefix of a shard's objects."""
    return f"claims/{shard:03d}/"


def segment_key(shard: int, seq: int) -> str:
    """Object key of a segment; keys sort as their numbers."""
    return f"{shard_prefix(shard)}{seq:0{SEQ_DIGITS}d}"


def segment_seq(object_key: str) -> int:
    """Number of a segment from its object key."""
    return int(object_key.rpartition("/")[2])


class Shard:
    """What is known of a shard: claims by key, and the next segment's number."""

    def __init__(self) -> None:
        self.next_seq = 0
        self.claims: dict[str, Claim] = {}

    def apply(self, seq: int, segment: ClaimSegment) -> None:
        """Take in a segment; a later generation or state replaces a former one."""
        for claim in segment["claims"]:
            self.take(claim)
        self.next_seq = max(self.next_seq, seq + 1)

    def take(self, claim: Claim) -> None:
        """Take in a claim that is known to be written."""
        held = self.claims.get(claim["key"])
        if held is None or _follows(claim, held):
            self.claims[claim["key"]] = claim

    def forget(self, before_s: float) -> None:
        """Forget claims made before a time."""
        self.claims = {k: c for k, c in self.claims.items() if c["at_s"] >= before_s}

    def holder(self, claim: Claim) -> Claim | None:
        """The claim that stands against this one, if any."""
        held = self.claims.get(claim["key"])
        return None if held is None or _follows(claim, held) else held


def _follows(claim: Claim, held: Claim) -> bool:
    """Whether a claim is a later generation of the request held, or its end."""
    if claim["request_id"] != held["request_id"]:
        return False
    if claim["generation"] != held["generation"]:
        return claim["generation"] > held["generation"]
    return held["state"] == "open" and claim["state"] != "open"
