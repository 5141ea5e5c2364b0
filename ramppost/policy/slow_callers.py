"""Chooses the responses that are aborted when the buffers for slow callers exceed their limit.

Pure.  The least urgent response is aborted first, and among equally urgent ones the one with the
largest buffer, which frees the most memory for the fewest callers.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final, NamedTuple, TypeVar

Rank = tuple[int, int]
"""The ranks of a response's workspace and route; 0 is the most urgent of each."""

MOST_URGENT: Final[Rank] = (0, 0)

Key = TypeVar("Key")


class BufferedResponse(NamedTuple):
    """A response with bytes that its caller has not taken yet."""

    rank: Rank
    size: int


def responses_to_abort(
    buffered: Iterable[tuple[Key, BufferedResponse]], excess_bytes: int
) -> list[Key]:
    """The keys of the responses to abort, in order, until `excess_bytes` are freed.

    >>> buffered = [
    ...     ("urgent", BufferedResponse((0, 0), 900)),
    ...     ("small", BufferedResponse((0, 1), 100)),
    ...     ("large", BufferedResponse((0, 1), 300)),
    ... ]
    >>> responses_to_abort(buffered, 300), responses_to_abort(buffered, 301)
    (['large'], ['large', 'small'])
    >>> responses_to_abort(buffered, 0)
    []
    """
    aborted: list[Key] = []
    least_urgent_first = sorted(buffered, key=lambda item: item[1], reverse=True)
    for key, response in least_urgent_first:
        if excess_bytes <= 0:
            break
        aborted.append(key)
        excess_bytes -= response.size
    return aborted
