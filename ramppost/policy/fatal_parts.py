"""Chooses which part of prompts to blame when upstreams end under several.

Pure.  A fatal prompt holds other parts as well, which sound prompts share and which may have been
there at the same ends.  The more specific explanation is preferred: a part that occurs in all
requests with another part does not explain more than that one, however often it was seen itself.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from typing import Final, NamedTuple

MAX_REQUESTS_PER_SIGHTING: Final = 8


class PartSighting:
    """The requests that held a part at the end of an upstream, and the parts that all of them
    held."""

    def __init__(self) -> None:
        self.requests: set[str] = set()
        self.common: frozenset[str] = frozenset()

    def record(self, fingerprint: str, parts: Collection[str]) -> None:
        """Record a request with its suspect parts."""
        self.common = self.common.intersection(parts) if self.requests else frozenset(parts)
        if len(self.requests) < MAX_REQUESTS_PER_SIGHTING:
            self.requests.add(fingerprint)


class PartCandidate(NamedTuple):
    """A part that may be fatal, with the ends of upstreams that it explains.

    `group` are the parts that all requests with it held at these ends, itself included.
    """

    part: str
    group: frozenset[str]
    ends: tuple[str, ...]


def choose_candidate(candidates: Sequence[PartCandidate]) -> PartCandidate | None:
    """The candidate to blame first; None if there is none.

    All prompts below hold "shared", and those that crash an upstream "bad", too:

    >>> shared = PartCandidate("shared", frozenset({"shared"}), ("e1", "e2", "e3", "e4"))
    >>> bad = PartCandidate("bad", frozenset({"bad", "shared"}), ("e1", "e2", "e3"))
    >>> sorted(choose_candidate([shared, bad]).group)
    ['bad', 'shared']
    """
    specific = [c for c in candidates if not any(_refines(d, c) for d in candidates)]
    return max(specific, key=lambda c: (len(c.ends), len(c.group), c.part), default=None)


def _refines(specific: PartCandidate, general: PartCandidate) -> bool:
    """Whether all requests with one candidate's part hold the other's, and not vice versa."""
    return general.part in specific.group and specific.part not in general.group
