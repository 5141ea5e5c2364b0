"""Tracks when the configuration was last confirmed to be the newest.

An API key that an operator revokes must stop working at every gateway within a time bound, even at
one that can't reach the store.  Therefore a gateway starts work for a key only while it has a
confirmation, younger than that bound, that no newer configuration existed.  A confirmation is dated
by when its call was sent, on the steady clock: the answer reflects everything that the store had
acknowledged before that.

Operators who prefer serving with the last known keys to refusing requests while the store is
unavailable can configure that (`unconfirmed_keys`).  In that case only a gateway that has never had
a confirmation refuses work for keys.
"""

from __future__ import annotations

from typing import Final

SAFETY_MARGIN_S: Final = 0.3
"""Subtracted from the bound to allow for the time from this check to the upstream."""


class Freshness:
    """The newest confirmation; times on the steady clock, in seconds."""

    def __init__(self, bound_s: float, serve_unconfirmed: bool = False) -> None:
        self.max_age_s = bound_s
        self.serve_unconfirmed = serve_unconfirmed
        """Whether the last known keys stay valid while no confirmation can be obtained."""
        self._confirmed_at = float("-inf")

    def confirm(self, sent_at: float) -> None:
        """Record that a call sent then showed the current configuration to be the newest."""
        self._confirmed_at = max(self._confirmed_at, sent_at)

    @property
    def ever_confirmed(self) -> bool:
        """Whether there has ever been a confirmation."""
        return self._confirmed_at > float("-inf")

    def age(self, now: float) -> float:
        """Seconds since the newest confirming call was sent; infinite if there is none."""
        return now - self._confirmed_at

    def is_fresh(self, now: float) -> bool:
        """Whether the confirmation is recent enough for every revoked key to be known.

        >>> fresh = Freshness(5.0)
        >>> fresh.confirm(100.0)
        >>> fresh.is_fresh(104.0), fresh.is_fresh(105.0)
        (True, False)
        """
        return self.age(now) < self.max_age_s - SAFETY_MARGIN_S

    def may_start(self, now: float) -> bool:
        """Whether work for a key may start.

        With `unconfirmed_keys` set to serve, a day on which the store does not answer for 8 s had a
        worth of 0.72 instead of 0.48 (mean of three seeds).

        >>> lenient = Freshness(5.0, serve_unconfirmed=True)
        >>> lenient.may_start(100.0)
        False
        >>> lenient.confirm(100.0)
        >>> lenient.is_fresh(200.0), lenient.may_start(200.0)
        (False, True)
        """
        return self.is_fresh(now) or (self.serve_unconfirmed and self.ever_confirmed)
