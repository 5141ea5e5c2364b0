"""Remembers which parts of prompts each upstream has run without harm.

Pure.  An upstream that has just run other prompts with a part did not crash because of that part.
This tells a part that all prompts share from one that is fatal, even if all upstreams crash at once
and none is left to answer a prompt.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from ramppost.bounded import drop_oldest

VALID_S: Final = 10.0
"""How long a run without harm speaks for a part at its upstream."""
MAX_SURVIVALS: Final = 16384
"""Pairs of upstreams and parts that are remembered: those that were used last."""


class Survivals:
    """When prompts with a part last survived at an upstream, as this gateway saw it.

    >>> survivals = Survivals()
    >>> survivals.record("e1", ["part:aa"], 5.0)
    >>> survivals.survived("e1", "part:aa", 6.0), survivals.survived("e2", "part:aa", 6.0)
    (True, False)
    """

    def __init__(self) -> None:
        self._last_at: dict[tuple[str, str], float] = {}

    def record(self, upstream: str, parts: Iterable[str], now: float) -> None:
        """Record that an upstream has run a prompt with these parts without harm."""
        for part in parts:
            self._last_at.pop((upstream, part), None)
            self._last_at[upstream, part] = now
        drop_oldest(self._last_at, MAX_SURVIVALS)

    def survived(self, upstream: str, part: str, now: float) -> bool:
        """Whether an upstream has run the part without harm lately."""
        at = self._last_at.get((upstream, part))
        return at is not None and now - at < VALID_S
