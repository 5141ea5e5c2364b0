"""Which engine takes a generation: the least predicted work ahead of its first token.

Pure.  Work is counted in prompt tokens, since reading prompts is what delays a first
token most.  Ahead of a request is what this gateway sent that has not begun, what
others run there, and that part of its own prompt that the engine does not keep.  A
shared part is believed to be kept where this gateway sent it lately, and with less
certainty at the engine that rendezvous hashing names its home, so that gateways agree
on a home without talking to each other.
"""

from __future__ import annotations

import math
import random
from typing import Final, NamedTuple

from ramppost.policy.routing import unit

RUNNING_TOKENS: Final = 300.0
"""Prompt tokens that a request running for others counts as."""
WAITING_TOKENS: Final = 2000.0
"""Prompt tokens that a request waiting at the engine counts as."""
OTHER_HALL_TOKENS: Final = 200.0
"""What the way to another hall counts as: bytes between halls are paid for."""
FAILING_TOKENS: Final = 60000.0
"""What constant failures count as: more than any prompt, so that only failing ones are worse."""
OTHER_HALL_S: Final = 0.005
"""Seconds that the way to another hall counts as, there and back, with the price of bytes."""
FAILING_S: Final = 2.0
HOME_BELIEF: Final = 0.8
"""Probability that a shared part is kept at its home."""
REPORT_HALF_LIFE_S: Final = 2.0
KEPT_S: Final = 20.0
"""How long a part is believed to be kept where it was sent; engines drop the oldest."""
NOISE: Final = 0.05
"""Relative noise on scores, so that gateways with the same report don't all agree."""
MAX_PARTS: Final = 4096


class EngineView(NamedTuple):
    """What a gateway knows of an engine; `pending_tokens` are of its own requests that
    have not begun, `others_running` and `waiting` by the engine's last report.
    `failing` is 0 for one that answers well, 1 for one that always fails."""

    id: str
    hall: str
    pending_tokens: float
    others_running: int
    waiting: int
    reported_at: float
    failing: float


class KeptParts:
    """Which parts of prompts were sent to which engine, and when."""

    def __init__(self) -> None:
        self._sent: dict[tuple[str, str], float] = {}

    def sent(self, engine: str, parts: tuple[tuple[str, int], ...], now: float) -> None:
        """A prompt with these parts has begun at an engine."""
        for name, _ in parts:
            self._sent.pop((engine, name), None)
            self._sent[engine, name] = now
        while len(self._sent) > MAX_PARTS:
            del self._sent[next(iter(self._sent))]

    def kept_tokens(self, engine: str, parts: tuple[tuple[str, int], ...], now: float) -> int:
        """Tokens of a prompt's first parts that the engine is believed to keep."""
        total = 0
        for name, tokens in parts:
            at = self._sent.get((engine, name))
            if at is None or now - at > KEPT_S:
                break
            total += tokens
        return total


def home_tokens(engines: list[EngineView], parts: tuple[tuple[str, int], ...]) -> tuple[str, float]:
    """The home of a prompt's shared parts, and the tokens that it is believed to keep."""
    shared = parts[:-1]
    if not shared or not engines:
        return "", 0.0
    name = shared[-1][0]
    home = min(engines, key=lambda engine: unit("home", name, engine.id))
    return home.id, HOME_BELIEF * sum(tokens for _, tokens in shared)


def ranked(
    engines: list[EngineView],
    parts: tuple[tuple[str, int], ...],
    tokens_in: int,
    kept: KeptParts,
    hall: str,
    now: float,
    rng: random.Random,
) -> list[str]:
    """Engines by predicted work ahead of the first token, best first."""
    home, believed = home_tokens(engines, parts)

    def score(engine: EngineView) -> float:
        known = kept.kept_tokens(engine.id, parts, now)
        saved = max(known, believed if engine.id == home else 0.0)
        age = max(0.0, now - engine.reported_at)
        fresh = math.exp2(-age / REPORT_HALF_LIFE_S)
        others = engine.others_running * RUNNING_TOKENS + engine.waiting * WAITING_TOKENS
        away = 0.0 if engine.hall == hall else OTHER_HALL_TOKENS
        ahead = engine.pending_tokens + fresh * others + away + max(0.0, tokens_in - saved)
        ahead += engine.failing * FAILING_TOKENS
        return ahead * rng.uniform(1 - NOISE, 1 + NOISE)

    return [engine.id for engine in sorted(engines, key=score)]


class PlainView(NamedTuple):
    """What a gateway knows of a plain upstream; `load` is its requests for each slot."""

    id: str
    hall: str
    load: float
    latency_s: float
    failing: float


def plain_ranked(views: list[PlainView], hall: str, rng: random.Random) -> list[str]:
    """Plain upstreams by predicted time to answer, best first."""

    def score(view: PlainView) -> float:
        away_s = 0.0 if view.hall == hall else OTHER_HALL_S
        expected_s = view.latency_s * (1 + view.load) + away_s + view.failing * FAILING_S
        return expected_s * rng.uniform(1 - NOISE, 1 + NOISE)

    return [view.id for view in sorted(views, key=score)]
