"""Notices that the store has come back from an older copy of its contents.

The store then has lost what it acknowledged after that copy was made, and gives the same revisions
out again.  It counts its returns: every answer names its era, which rises by one each time.  The
operator and the upstreams write again what they had written, which takes a moment.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from loguru import logger

from ramppost import clock
from ramppost.gateway.metrics import Metrics

REWRITE_S: Final = 0.5
"""Within this after its return was seen, the operator has written the newest configuration again.
What the store answers before that does not show that there is no newer one."""
SETTLE_S: Final = 10.0
"""Within this everybody has written everything again, so that what is not there was removed."""


class StoreReturns:
    """The newest era of the store that this gateway knows of, and when it learned of it.

    `on_return` is called when a later one is seen.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self.on_return: Callable[[], None] = lambda: None
        self.era: int | None = None
        """None before the first answer of the store."""
        self.seen_at = float("-inf")
        """When its first answer was seen (steady clock)."""
        self._settled_era = 0
        """The newest era that another gateway knows to be settled."""

    def note_era(self, era: int) -> None:
        """Record the era that an answer of the store, or another gateway, names."""
        if self.era is not None and era <= self.era:
            return
        previous, self.era = self.era, era
        self.seen_at = clock.now()
        self._metrics.gauges["ramppost_store_era"] = era
        if previous is not None:
            logger.warning("store came back from an older copy", era=era, before=previous)
            self.on_return()

    def confirms(self, asked_at: float) -> bool:
        """Whether what the store was asked for then shows all that it has acknowledged.

        A gateway that has just started can't know when the store came back last.
        """
        return not self.era or asked_at >= self.seen_at + REWRITE_S

    def note_settled(self, era: int) -> None:
        """Record that another gateway knows an era to be settled, which it may have seen first."""
        self._settled_era = max(self._settled_era, era)

    def is_settled(self) -> bool:
        """Whether everybody has had the time to write again what an older copy lacked."""
        if not self.era or self.era <= self._settled_era:
            return True
        return clock.now() >= self.seen_at + SETTLE_S
