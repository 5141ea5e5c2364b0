"""State of a claim shard: a segmented log of which only the head segment is ever changed.

No I/O; times are arguments.  The head is replaced only by a conditional update on the version
that its writer has read, and a writer has read all segments before the head.  A group of
claims that was written is therefore valid no matter who else writes, and whether or not a
writer was paused meanwhile.  A full head is copied to the key of its sequence number, where it
is never changed again, and the next head begins; since nobody writes to the copies, old ones
can be deleted.  This needs no owner of a shard; sending a shard's claims through one entry
only avoids conflicts.
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
"""A head with this many records is closed.  All entries must use the same value; otherwise one
could close a head to which another still adds records."""


def claim_key(workspace: str, caller_key: str) -> str:
    """Digest that identifies a caller's key within its workspace."""
    text = f"{workspace}\0{caller_key}".encode()
    return hashlib.blake2b(text, digest_size=KEY_BYTES).hexdigest()


def is_claim_key(text: str) -> bool:
    """Whether a string has the format of a claim key."""
    return KEY_PATTERN.fullmatch(text) is not None


def shard_of(key: str) -> int:
    """Number of the shard that a claim key belongs to."""
    return int(key[:4], 16) % SHARDS


def shard_prefix(shard: int) -> str:
    """Key prefix of a shard's objects."""
    return f"claims/{shard:03d}/"


def head_key(shard: int) -> str:
    """Object key of a shard's head, which sorts after those of all closed segments."""
    return f"{shard_prefix(shard)}head"


def segment_key(shard: int, seq: int) -> str:
    """Object key of a closed segment; the keys sort in the order of the sequence numbers."""
    return f"{shard_prefix(shard)}{seq:0{SEQ_DIGITS}d}"


class StoredClaim(NamedTuple):
    """Compact form of a claim, which is kept for hours: without its key, with interned strings."""

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


def _claim_message(key: str, stored: StoredClaim) -> Claim:
    return Claim(
        key=key,
        nonce=stored.nonce,
        generation=stored.generation,
        stage=stored.stage,
        request_id=stored.request_id,
        entry=stored.entry,
        candidates=[Candidate(addr=ids.address(agent), agent=agent) for agent in stored.agents],
        model=stored.model,
        version=stored.version,
        at_s=stored.at_s,
        state=stored.state,  # type: ignore[typeddict-item]
        body=stored.body,
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
    """A closed segment: its sequence number, when it was first read, and its claim keys."""

    seq: int
    seen_at: float
    keys: list[str]


class Shard:
    """State of a shard, as read from its segments and written claims."""

    def __init__(self) -> None:
        self.head = ClaimSegment(seq=0, nonces=[], claims=[], ends=[])
        self.head_version: int | None = None
        self.closed: deque[ClosedSegment] = deque()
        self._claims: dict[str, StoredClaim] = {}

    def add_closed_segment(self, segment: ClaimSegment, now: float) -> None:
        """Add a closed segment; closed segments arrive in order, possibly more than once."""
        if self.closed and segment["seq"] <= self.closed[-1].seq:
            return
        self._add_segment(segment)
        keys = [item["key"] for item in (*segment["claims"], *segment["ends"])]
        self.closed.append(ClosedSegment(segment["seq"], now, keys))

    def update_head(self, segment: ClaimSegment, version: int) -> None:
        """Set the head to its value at a version of its object, if that version is newer."""
        if self.head_version is not None and version <= self.head_version:
            return
        self._add_segment(segment)
        self.head, self.head_version = segment, version

    def next_head(self, nonce: str, claims: list[Claim]) -> ClaimSegment:
        """Return the head with a group added, or a new head with the group if it is full."""
        head = self.head
        opened = [claim for claim in claims if claim["state"] == "open"]
        ends = [_claim_end(claim) for claim in claims if claim["state"] != "open"]
        if len(head["claims"]) + len(head["ends"]) >= MAX_HEAD_RECORDS:
            return ClaimSegment(seq=head["seq"] + 1, nonces=[nonce], claims=opened, ends=ends)
        return ClaimSegment(
            seq=head["seq"],
            nonces=[*head["nonces"], nonce],
            claims=[*head["claims"], *opened],
            ends=[*head["ends"], *ends],
        )

    def add_claim(self, claim: Claim, seq: int = 0) -> None:
        """Add a claim that is known to be written."""
        stored = self._claims.get(claim["key"])
        if stored is None or _supersedes(claim, stored):
            self._claims[claim["key"]] = _stored_claim(claim, seq)

    def get(self, key: str) -> Claim | None:
        """The claim stored for a key, if any."""
        stored = self._claims.get(key)
        return None if stored is None else _claim_message(key, stored)

    def conflicting_claim(self, claim: Claim) -> Claim | None:
        """The stored claim that prevents this one from being written, if any."""
        stored = self._claims.get(claim["key"])
        return (
            None
            if stored is None or _supersedes(claim, stored)
            else _claim_message(claim["key"], stored)
        )

    def drop_segment(self, closed: ClosedSegment) -> None:
        """Drop a closed segment that was deleted, and claims whose latest record was in it."""
        self.closed.remove(closed)
        for key in closed.keys:
            stored = self._claims.get(key)
            if stored is not None and stored.seq <= closed.seq:
                del self._claims[key]

    def trim(self, count: int) -> None:
        """Keep at most `count` claims, those whose keys were added last."""
        for key in list(self._claims)[: max(0, len(self._claims) - count)]:
            del self._claims[key]

    def _add_segment(self, segment: ClaimSegment) -> None:
        for claim in segment["claims"]:
            self.add_claim(claim, segment["seq"])
        for end in segment["ends"]:
            self._add_end(end, segment["seq"])

    def _add_end(self, end: ClaimEnd, seq: int) -> None:
        stored = self._claims.get(end["key"])
        matches = stored and (stored.request_id, stored.generation) == (
            end["request_id"],
            end["generation"],
        )
        if stored and matches and stored.state == "open":
            self._claims[end["key"]] = stored._replace(state=end["state"], seq=seq)


def _supersedes(claim: Claim, stored: StoredClaim) -> bool:
    """Whether a claim is a later generation of the stored claim's request, or ends that claim."""
    if claim["request_id"] != stored.request_id:
        return False
    if claim["generation"] != stored.generation:
        return claim["generation"] > stored.generation
    return stored.state == "open" and claim["state"] != "open"
