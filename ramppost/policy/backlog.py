"""Tracks an engine's queue of prompts and its prefix cache, from the prompts sent to it.

Pure.  An engine prefills one prompt at a time, the most urgent first, so a new prompt waits for the
prefill of those sent before it.  An engine's load reports give request counts, not tokens, and are
seconds old, whereas the times at which gateways send prompts are known to the millisecond.  With
the prompts of all gateways, the prediction error of the time to first token is 0.02 s in the median
and 0.3 s at the 95th percentile; with reports and a gateway's own prompts alone it was 0.07 s and
1.1 s (smallest model, a day without faults).

    backlog = Backlog()
    backlog.add("r1", PendingPrompt(NOW, 0.4, 3, "m", ("aa", "bb")))
    backlog.ahead_s(3, NOW + 0.1)        # 0.3
    backlog.record_first_token("r1", NOW + 0.4)
    backlog.cached_parts("m", ("aa", "cc"), NOW + 1)   # 1
"""

from __future__ import annotations

from typing import Final, NamedTuple

from ramppost.bounded import drop_oldest
from ramppost.policy.use import RecentUse

OVERDUE_SHARE: Final = 0.2
"""Share of the predicted prefill time that an overdue prompt is assumed to need still: inaccurate
predictions are off by a fifth."""
MAX_WAIT_S: Final = 20.0
"""Time after which a prompt without a first token is dropped, since its gateway has failed.  The
longest latency objective is 4 s and the usual deadline 20 s."""
CACHE_TTL_S: Final = 20.0
"""How long a prompt part is assumed to stay in the engine's cache, which evicts the oldest."""
MAX_PENDING: Final = 1024
"""Maximum number of pending prompts of an engine: several times its slots and queue."""
MAX_PARTS: Final = 4096
"""Maximum number of cached parts of an engine: more than fit into its memory."""


class PendingPrompt(NamedTuple):
    """A prompt that was sent to an engine and has no first token yet.

    `read_s` is the predicted prefill time of the part that the engine has not cached, `level` the
    urgency level (0 is the most urgent), and `parts` the names of the prompt's parts in order.
    """

    sent_at: float
    read_s: float
    level: int
    model: str
    parts: tuple[str, ...]
    workspace: str = ""
    """The workspace that sent it, empty for a request without one."""
    prefill_factor: float = 1.0
    """The factor for the engine's speed that `read_s` contains, 0 if the rate of the model was not
    known and `read_s` says nothing about the engine."""


class Prefill(NamedTuple):
    """A completed prefill without the prompts ahead: the seconds that it takes at the usual speed,
    0 if that is not known, and those that it took."""

    usual_s: float
    took_s: float


class Backlog:
    """The backlog of one engine.  Times are in seconds on the clock of whoever maintains it."""

    def __init__(self) -> None:
        self._pending: dict[str, PendingPrompt] = {}
        self._head_started_at = float("-inf")
        """When the engine started the prefill of the first pending prompt."""
        self._cached_at: dict[tuple[str, str], float] = {}
        """When each part was last processed, by model and part name."""
        self.use = RecentUse()
        """What workspaces have sent to the engine lately."""

    def add(self, key: str, prompt: PendingPrompt) -> None:
        """Add a prompt that is being sent.

        `key` identifies it until `record_first_token` or `remove`.
        """
        if not self._pending:
            self._head_started_at = prompt.sent_at
        self._pending[key] = prompt
        self.use.record(prompt.workspace, prompt.read_s, prompt.sent_at)
        drop_oldest(self._pending, MAX_PENDING)

    def record_first_token(self, key: str, now: float) -> Prefill | None:
        """Record a prompt's first token: its parts are now cached, and the next prefill starts.

        Returns how long the prefill took, None for a prompt that is not known.
        """
        prompt = self._pending.pop(key, None)
        if prompt is None:
            return None
        took_s = now - max(prompt.sent_at, self._head_started_at)
        self._head_started_at = now
        for name in prompt.parts:
            self._cached_at.pop((prompt.model, name), None)
            self._cached_at[prompt.model, name] = now
        drop_oldest(self._cached_at, MAX_PARTS)
        factor = prompt.prefill_factor
        return Prefill(prompt.read_s / factor if factor else 0.0, took_s)

    def remove(self, key: str, now: float) -> None:
        """Remove a prompt that was not sent, that failed, or whose caller disconnected."""
        if self._pending.pop(key, None) is not None:
            self._head_started_at = now

    def ahead_s(self, level: int, now: float) -> float:
        """Seconds of prefill that are served before a new prompt of a level.

        >>> backlog = Backlog()
        >>> backlog.add("a", PendingPrompt(10.0, 1.0, 5, "m", ()))
        >>> backlog.add("b", PendingPrompt(10.0, 0.5, 5, "m", ()))
        >>> round(backlog.ahead_s(5, 10.2), 3), round(backlog.ahead_s(0, 10.2), 3)
        (1.3, 0.8)
        """
        self._drop_expired(now)
        ahead_s = 0.0
        for position, prompt in enumerate(self._pending.values()):
            if position == 0:
                # The first is assumed to be in prefill, which more urgent prompts don't preempt.
                remaining_s = prompt.read_s - (now - self._head_started_at)
                ahead_s += max(OVERDUE_SHARE * prompt.read_s, remaining_s)
            elif prompt.level <= level:
                ahead_s += prompt.read_s
        return ahead_s

    def cached_parts(self, model: str, parts: tuple[str, ...], now: float) -> int:
        """The number of a prompt's first parts that are cached.

        Parts of pending prompts count, because these are processed before a new prompt.
        """
        pending_names = {
            name for p in self._pending.values() if p.model == model for name in p.parts
        }
        for position, name in enumerate(parts):
            cached_at = self._cached_at.get((model, name), float("-inf"))
            if now - cached_at > CACHE_TTL_S and name not in pending_names:
                return position
        return len(parts)

    def _drop_expired(self, now: float) -> None:
        expired = [key for key, p in self._pending.items() if now - p.sent_at > MAX_WAIT_S]
        for key in expired:
            del self._pending[key]
