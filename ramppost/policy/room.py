"""Estimates how short of engines a fleet is, from the replies of keepers to a gateway's queries.

Pure.  Each query returns the waits at a few engines, and what workspaces have sent there lately.
The engines of successive queries are a sample of the fleet, so no further messages are needed.

    room = Room()
    room.observe("lm", 3, [0.2, 1.4, 1.6], NOW)
    room.shortage("lm", 3, NOW + 0.1)    # Shortage(wait_s=1.4, since=NOW, samples=3, age_s=0.1)
    room.observe_use("lm", 4, {"kitchen": 3.0}, NOW)
    room.use("lm", NOW + 0.1)            # SampledUse(engines=4, by_workspace={"kitchen": 3.0})
"""

from __future__ import annotations

import statistics
from collections import deque
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

from ramppost.policy.use import total_use

MAX_AGE_S: Final = 0.5
"""Age from which replies are not used: a burst fills the queues within a second."""
MAX_REPLIES: Final = 16
"""Maximum number of replies used, the latest ones.  A busy gateway gets as many in a tenth of a
second."""
BUSY_WAIT_S: Final = 0.1
"""Median wait above which engines have a queue."""


class Shortage(NamedTuple):
    """The shortage of engines of a service for a level of urgency.

    `wait_s` is the median wait at the sampled engines, `since` when engines began to have a queue
    without interruption (infinite if they have none), `samples` the number of waits, and `age_s`
    the age of the latest.
    """

    wait_s: float
    since: float
    samples: int
    age_s: float


class SampledUse(NamedTuple):
    """Prefill seconds that each workspace has sent to `engines` engines in the use window.

    Engines that occur in several replies count several times.
    """

    engines: int
    by_workspace: dict[str, float]


NO_USE: Final = SampledUse(0, {})


class _Waits:
    """Replies for one service and level."""

    def __init__(self) -> None:
        self.replies: deque[tuple[float, tuple[float, ...]]] = deque(maxlen=MAX_REPLIES)
        self.busy_since = float("inf")


class Room:
    """The recent replies.  Times are in seconds on the clock of the gateway."""

    def __init__(self) -> None:
        self._waits: dict[tuple[str, int], _Waits] = {}
        self._uses: dict[str, deque[tuple[float, SampledUse]]] = {}

    def observe(self, service: str, level: int, waits: Sequence[float], now: float) -> None:
        """Add the waits in seconds at engines whose keepers have just replied."""
        if not waits:
            return
        seen = self._waits.setdefault((service, level), _Waits())
        _drop_expired(seen.replies, now)
        was_empty = not seen.replies
        seen.replies.append((now, tuple(waits)))
        if _median_s(seen.replies) <= BUSY_WAIT_S:
            seen.busy_since = float("inf")
        elif was_empty or seen.busy_since == float("inf"):
            seen.busy_since = now

    def observe_use(
        self, service: str, engines: int, by_workspace: Mapping[str, float], now: float
    ) -> None:
        """Add what workspaces have sent to some engines, by a keeper that has just replied."""
        replies = self._uses.setdefault(service, deque(maxlen=MAX_REPLIES))
        replies.append((now, SampledUse(engines, dict(by_workspace))))

    def shortage(self, service: str, level: int, now: float) -> Shortage | None:
        """The shortage for a level; None without a recent reply.

        >>> room = Room()
        >>> room.observe("lm", 3, [0.2, 1.4, 1.6], 50.0)
        >>> room.shortage("lm", 3, 50.5)
        Shortage(wait_s=1.4, since=50.0, samples=3, age_s=0.5)
        >>> room.shortage("lm", 3, 53.0) is None
        True
        """
        seen = self._waits.get((service, level))
        if seen is None:
            return None
        _drop_expired(seen.replies, now)
        if not seen.replies:
            return None
        samples = sum(len(waits) for _, waits in seen.replies)
        age_s = now - seen.replies[-1][0]
        return Shortage(_median_s(seen.replies), seen.busy_since, samples, age_s)

    def use(self, service: str, now: float) -> SampledUse:
        """What workspaces have sent to the sampled engines; `NO_USE` without a recent reply."""
        replies = self._uses.get(service)
        if replies is None:
            return NO_USE
        _drop_expired(replies, now)
        totals = total_use(part for _, reply in replies for part in reply.by_workspace.items())
        return SampledUse(sum(reply.engines for _, reply in replies), totals)


def _median_s(replies: deque[tuple[float, tuple[float, ...]]]) -> float:
    return statistics.median(wait_s for _, waits in replies for wait_s in waits)


def _drop_expired(
    replies: deque[tuple[float, tuple[float, ...]]] | deque[tuple[float, SampledUse]], now: float
) -> None:
    while replies and now - replies[0][0] > MAX_AGE_S:
        replies.popleft()
