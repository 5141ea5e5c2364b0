"""State of a claim shard: a log in segments, of which only the head is ever changed.

Pure; times are arguments.  The head is replaced only by an update on the version
that its writer has read, and a writer has read all segments before it; so a group
of claims that was written is valid, whoever else writes, paused or not.  A full
head is copied under its number and never changed again, and the next begins; old
copies can be deleted, since nobody ever writes there.  Nobody has to own a shard
for that; sending a shard's claims through one entry only saves conflicts.
"""

from __future__ import annotations

import hashlib
import re
import sys
from collections import deque
from typing import Final, NamedTuple

from ramppost import ids
from ramppost.schema.messages import Candidate, Claim, ClaimEnd, ClaimSegment

SHARDS: Final = 16
SEQ_DIGITS: Final = 10
KEY_BYTES: Final = 16
KEY_PATTERN: Final = re.compile(f"[0-9a-f]{{{2 * KEY_BYTES}}}")
MAX_HEAD_RECORDS: Final = 64
"""A head with so many records is closed.  All entries must agree on it: where they
don't, one could close a head that another still adds to."""


def claim_key(workspace: str, caller_key: str) -> str:
    """Digest that names a caller's key within its workspace."""
    text = f"{workspace}\0{caller_key}".encode()
    return hashlib.blake2b(text, digest_size=KEY_BYTES).hexdigest()


def is_claim_key(text: str) -> bool:
    """Whether a text has the form of a claim key."""
    return KEY_PATTERN.fullmatch(text) is not None


def shard_of(key: str) -> int:
    """The shard of a claim key."""
    return int(key[:4], 16) % SHARDS


def shard_prefix(shard: int) -> str:
    """Prefix of a shard's objects."""
    return f"claims/{shard:03d}/"


def head_key(shard: int) -> str:
    """Object key of a shard's head; it sorts after all closed segments."""
    return f"{shard_prefix(shard)}head"


def segment_key(shard: int, seq: int) -> str:
    """Object key of a closed segment; keys sort as their numbers."""
    return f"{shard_prefix(shard)}{seq:0{SEQ_DIGITS}d}"


class StoredClaim(NamedTuple):
    """A claim as it is kept for hours: without its key, and sharing what repeats."""

    seq: int
    nonce: str
    generation: int
    stage: int
    request_id: str
    entry: str
    agents: tuple[str, ...]
    model: str
    version: str
    at_s: int
    state: str
    body: str


def _stored_claim(claim: Claim, seq: int) -> StoredClaim:
    return StoredClaim(
        seq,
        claim["nonce"],
        claim["generation"],
        claim["stage"],
        claim["request_id"],
        sys.intern(claim["entry"]),
        tuple(sys.intern(named["agent"]) for named in claim["candidates"]),
        sys.intern(claim["model"]),
        sys.intern(claim["version"]),
        claim["at_s"],
        sys.intern(claim["state"]),
        claim["body"],
    )


def _claim_message(key: str, held: StoredClaim) -> Claim:
    return Claim(
        key=key,
        nonce=held.nonce,
        generation=held.generation,
        stage=held.stage,
        request_id=held.request_id,
        entry=held.entry,
        candidates=[Candidate(addr=ids.address(t), agent=t) for t in held.agents],
        model=held.model,
        version=held.version,
        at_s=held.at_s,
        state=held.state,  # type: ignore[typeddict-item]
        body=held.body,
    )


def _claim_end(claim: Claim) -> ClaimEnd:
    assert claim["state"] != "open"
    return ClaimEnd(
        key=claim["key"],
        request_id=claim["request_id"],
        generation=claim["generation"],
        state=claim["state"],
    )


class ClosedSegment(NamedTuple):
    """A closed segment: its number, when it was first seen, and its keys."""

    seq: int
    seen_at: float
    keys: list[str]


class Shard:
    """What is known of a shard."""

    def __init__(self) -> None:
        self.head = ClaimSegment(seq=0, nonces=[], claims=[], ends=[])
        self.head_version: int | None = None
        self.closed: deque[ClosedSegment] = deque()
        self._claims: dict[str, StoredClaim] = {}

    def add_closed_segment(self, segment: ClaimSegment, now: float) -> None:
        """Take in a closed segment; closed ones come in order, maybe twice."""
        if self.closed and segment["seq"] <= self.closed[-1].seq:
            return
        self._add_segment(segment)
        keys = [item["key"] for item in (*segment["claims"], *segment["ends"])]
        self.closed.append(ClosedSegment(segment["seq"], now, keys))

    def update_head(self, segment: ClaimSegment, version: int) -> None:
        """Take in the head as it was at a version of its object, if that is news."""
        if self.head_version is not None and version <= self.head_version:
            return
        self._add_segment(segment)
        self.head, self.head_version = segment, version

    def next_head(self, nonce: str, claims: list[Claim]) -> ClaimSegment:
        """The head with a group added, or a new one begun with it if it is full."""
        head = self.head
        begun = [claim for claim in claims if claim["state"] == "open"]
        ends = [_claim_end(claim) for claim in claims if claim["state"] != "open"]
        if len(head["claims"]) + len(head["ends"]) >= MAX_HEAD_RECORDS:
            return ClaimSegment(seq=head["seq"] + 1, nonces=[nonce], claims=begun, ends=ends)
        return ClaimSegment(
            seq=head["seq"],
            nonces=[*head["nonces"], nonce],
            claims=[*head["claims"], *begun],
            ends=[*head["ends"], *ends],
        )

    def add_claim(self, claim: Claim, seq: int = 0) -> None:
        """Take in a claim that is known to be written."""
        held = self._claims.get(claim["key"])
        if held is None or _supersedes(claim, held):
            self._claims[claim["key"]] = _stored_claim(claim, seq)

    def get(self, key: str) -> Claim | None:
        """The claim of a key."""
        held = self._claims.get(key)
        return None if held is None else _claim_message(key, held)

    def conflicting_claim(self, claim: Claim) -> Claim | None:
        """The claim that stands against this one, if any."""
        held = self._claims.get(claim["key"])
        return (
            None if held is None or _supersedes(claim, held) else _claim_message(claim["key"], held)
        )

    def drop_segment(self, closed: ClosedSegment) -> None:
        """Forget the claims whose last word is in a closed segment that was deleted."""
        self.closed.remove(closed)
        for key in closed.keys:
            held = self._claims.get(key)
            if held is not None and held.seq <= closed.seq:
                del self._claims[key]

    def trim(self, count: int) -> None:
        """Keep no more than so many claims, the last taken in."""
        for key in list(self._claims)[: max(0, len(self._claims) - count)]:
            del self._claims[key]

    def _add_segment(self, segment: ClaimSegment) -> None:
        for claim in segment["claims"]:
            self.add_claim(claim, segment["seq"])
        for end in segment["ends"]:
            self._add_end(end, segment["seq"])

    def _add_end(self, end: ClaimEnd, seq: int) -> None:
        held = self._claims.get(end["key"])
        same = held and (held.request_id, held.generation) == (end["request_id"], end["generation"])
        if held and same and held.state == "open":
            self._claims[end["key"]] = held._replace(state=end["state"], seq=seq)


def _supersedes(claim: Claim, held: StoredClaim) -> bool:
    """Whether a claim is a later generation of the request held, or its end."""
    if claim["request_id"] != held.request_id:
        return False
    if claim["generation"] != held.generation:
        return claim["generation"] > held.generation
    return held.state == "open" and claim["state"] != "open"
