"""Orders states of the store, whose revisions go back when it returns from an older copy.

Pure.  The store counts its returns: every answer names its era, which rises by one at each.  After
a return, revisions that it had given out before are given out again for other changes, so a
revision alone orders nothing.
"""

from __future__ import annotations

from typing import Final, NamedTuple


class Position(NamedTuple):
    """A state of the store, or of an object in it.  Positions compare as tuples: the greater one is
    the newer state.

    A gateway that sees a return keeps what it knew before until those who wrote it have had the
    time to write it again; `settled` is false for what it holds of that era until then.

    >>> Position(1, False, 20) > Position(0, True, 27)
    True
    >>> Position(1, True, 20) > Position(1, False, 22)
    True
    """

    era: int
    settled: bool
    revision: int


NOTHING_KNOWN: Final = Position(0, False, 0)
"""Older than every state that a store has told."""
