"""Notices that the store has come back from an older copy of its contents.

The store then has lost what it acknowledged after that copy was made, and gives the same revisions
out again.  It counts its returns: every answer names its era, which rises by one each time.
"""

from __future__ import annotations

from loguru import logger

from ramppost.gateway.metrics import Metrics


class StoreReturns:
    """The newest era of the store that this gateway knows of."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self.era: int | None = None
        """None before the first answer of the store."""

    def note_era(self, era: int) -> None:
        """Record the era that an answer of the store names."""
        if self.era is not None and era <= self.era:
            return
        if self.era is not None:
            logger.warning("store came back from an older copy", era=era, before=self.era)
        self.era = era
        self._metrics.gauges["ramppost_store_era"] = era
