"""How long ago the configuration was known to be the newest.

A key that an operator takes away must stop working at every gateway within a bound,
also at one that can't reach the store.  So a gateway starts work for a key only while
it holds a confirmation, younger than that bound, that no newer configuration existed.
A confirmation is dated by when its call was sent, on the steady clock: whatever the
store acknowledged before that, the answer would have shown.

Operators who would rather be served by the last known keys than be refused while the store
is away say so in the settings (`unconfirmed_keys`); then only a gateway that has never had a
confirmation starts no work for keys.
"""

from __future__ import annotations

from typing import Final

SAFETY_MARGIN_S: Final = 0.3
"""Kept from the bound for the way from this check to the upstream."""


class Freshness:
    """The newest confirmation; times on the steady clock, in seconds."""

    def __init__(self, bound_s: float, serve_unconfirmed: bool = False) -> None:
        self.max_age_s = bound_s
        self.serve_unconfirmed = serve_unconfirmed
        """Whether the last known keys work on while no confirmation can be had."""
        self._confirmed_at = float("-inf")

    def confirm(self, sent_at: float) -> None:
        """A call sent then was answered, and the configuration in force was the newest."""
        self._confirmed_at = max(self._confirmed_at, sent_at)

    @property
    def ever_confirmed(self) -> bool:
        """Whether there was ever a confirmation."""
        return self._confirmed_at > float("-inf")

    def age(self, now: float) -> float:
        """Seconds since the newest confirming call was sent; infinite where there is none."""
        return now - self._confirmed_at

    def is_fresh(self, now: float) -> bool:
        """Whether the configuration is known to be new enough for every withdrawal to count.

        >>> fresh = Freshness(5.0)
        >>> fresh.confirm(100.0)
        >>> fresh.is_fresh(104.0), fresh.is_fresh(105.0)
        (True, False)
        """
        return self.age(now) < self.max_age_s - SAFETY_MARGIN_S

    def may_start(self, now: float) -> bool:
        """Whether work for a key may start.

        Where operators allow it, serving on through an outage of the store turned a day on
        which it is silent for 8 s from 0.48 to 0.72 of worth (mean of three seeds).

        >>> lenient = Freshness(5.0, serve_unconfirmed=True)
        >>> lenient.may_start(100.0)
        False
        >>> lenient.confirm(100.0)
        >>> lenient.is_fresh(200.0), lenient.may_start(200.0)
        (False, True)
        """
        return self.is_fresh(now) or (self.serve_unconfirmed and self.ever_confirmed)
