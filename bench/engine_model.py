"""A model of engines of uneven speed, and of the load of deployment U, for simulations.

Pure.  The load is that of `docs/design/hard-load.md`, for 24 gateways and 22 engines.  An engine
reads one prompt at a time, the most urgent first, and generates a token for each running stream in
every step; while it reads, streams advance at a fraction of their speed.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import OrderedDict
from typing import Final, NamedTuple

from ramppost.policy.placement import Placement

FAST: Final = 0.55
SLOW: Final = 1.2
SPEED_SPREAD: Final = 0.08
"""Relative spread around `FAST` and `SLOW`: factors are from 0.5 to 1.3."""
SLOTS: Final = 64
MEMORY_TOKENS: Final = 350_051
READ_TOKEN_S: Final = 1 / 48_200
STEP_S: Final = 0.0026
STEP_STREAM_S: Final = 0.00012
SHARE_WHILE_READING: Final = 0.4
"""Speed of the running streams while a prompt is read, relative to their usual speed."""
MODELS: Final = {"small": 1.0, "large": 8.0}
"""Reading time per token, relative to the smallest model."""
AGAIN_SHARE: Final = 0.5
SUBJECTS: Final = 24
"""Shared parts of a kind of request in a fleet of 24 gateways."""
HOT_SHARE: Final = 0.2
"""Share of the requests of a kind that have the same shared part."""
TOKENS_SIGMA: Final = 0.8
HINT_SIGMA: Final = 0.7
"""Standard deviation of the logarithm of a hint relative to the number of tokens."""


class Kind(NamedTuple):
    """Requests of a kind; the shared and own tokens of a prompt, and the median and maximum out."""

    name: str
    per_s: float
    objective_s: float
    deadline_s: float
    rank: int
    shared: int
    own: int
    median_out: int
    max_out: int


KINDS: Final = (
    Kind("long", 18.0, 4.0, 20.0, 2, 5382, 6610, 300, 1000),
    Kind("chat", 33.0, 3.0, 15.0, 1, 300, 700, 300, 1000),
    Kind("notice", 28.0, 3.0, 5.0, 0, 0, 250, 60, 180),
)


class Request(NamedTuple):
    """A request; `again` if the large model answers after the small one has read it."""

    arrived: float
    gateway: int
    kind: Kind
    parts: tuple[tuple[str, int], ...]
    tokens_out: int
    hint: int
    again: bool


class Attempt:
    """A prompt at an engine, sent by a gateway."""

    def __init__(self, key: str, request: Request, model: str, level: int) -> None:
        self.key, self.request, self.model, self.level = key, request, model, level
        self.placed = Placement("", 0.0, 0.0)
        self.sent_at = self.began_at = self.ended_at = 0.0


class Engine:
    """An engine.  Streams advance together, so each ends at a known value of `_generated`."""

    def __init__(self, id: str, hall: str, speed: float) -> None:
        self.id, self.hall, self.speed, self.pace = id, hall, speed, 1.0
        self.waiting: list[tuple[int, int, Attempt]] = []
        self.reading: Attempt | None = None
        self.streams: list[tuple[float, int, Attempt]] = []
        self.read_s = 0.0
        """Time to read all prompts so far at the usual speed."""
        self.tokens_out = 0
        self._left_s = self._generated = self._at = 0.0
        self._cache: OrderedDict[tuple[str, str], int] = OrderedDict()
        self._cached_tokens = 0
        self._numbers = itertools.count()

    def add(self, attempt: Attempt) -> None:
        """Queue a prompt."""
        heapq.heappush(self.waiting, (attempt.level, next(self._numbers), attempt))

    def next_at(self) -> float:
        """When a prompt has been read or a stream ends, if nothing changes before."""
        read_at = self._at + self._left_s * self.speed * self.pace if self.reading else float("inf")
        if not self.streams:
            return read_at
        return min(read_at, self._at + (self.streams[0][0] - self._generated) * self.token_s())

    def advance(self, now: float) -> tuple[list[Attempt], list[Attempt]]:
        """Continue until `now`, without a change before; the prompts read and the streams ended."""
        read, ended, passed_s = [], [], now - self._at
        if self.streams:
            self._generated += passed_s / self.token_s()
        if self.reading is not None:
            self._left_s -= passed_s / (self.speed * self.pace)
        self._at = now
        while self.streams and self.streams[0][0] <= self._generated + 1e-6:
            ended.append(heapq.heappop(self.streams)[2])
        if self.reading is not None and self._left_s <= 1e-9:
            read.append(self.reading)
            self.reading = None
        return read, ended

    def start_stream(self, attempt: Attempt) -> None:
        """Run an answer."""
        tokens = attempt.request.tokens_out
        self.tokens_out += tokens
        heapq.heappush(self.streams, (self._generated + tokens, next(self._numbers), attempt))

    def start_reading(self, now: float) -> tuple[list[str], list[Attempt]]:
        """Start to read the next prompt if possible; the parts read, and prompts that came too late
        to be read."""
        dropped: list[Attempt] = []
        while self.reading is None and self.waiting and len(self.streams) < SLOTS:
            attempt = heapq.heappop(self.waiting)[2]
            if now > attempt.request.arrived + attempt.request.kind.deadline_s:
                dropped.append(attempt)
                continue
            self.reading, parts = attempt, self._uncached(attempt)
            tokens = sum(tokens for _, tokens in parts)
            self._left_s = max(1, tokens) * READ_TOKEN_S * MODELS[attempt.model]
            self.read_s += self._left_s
            return [name for name, _ in parts], dropped
        return [], dropped

    def token_s(self) -> float:
        """Seconds from one token of a stream to the next."""
        share = 1.0 if self.reading is None else SHARE_WHILE_READING
        step_s = STEP_S + STEP_STREAM_S * len(self.streams)
        return step_s * self.speed * self.pace / share

    def _uncached(self, attempt: Attempt) -> list[tuple[str, int]]:
        """The parts that are not cached; from now on they are."""
        parts = attempt.request.parts
        keys = [(attempt.model, name) for name, _ in parts]
        count = next((n for n, key in enumerate(keys) if key not in self._cache), len(keys))
        for key, (_, tokens) in zip(keys, parts, strict=True):
            self._cached_tokens += tokens - self._cache.pop(key, 0)
            self._cache[key] = tokens
        while self._cached_tokens > MEMORY_TOKENS:
            self._cached_tokens -= self._cache.popitem(last=False)[1]
        return list(parts[count:])


def make_engine(number: int, hall: str, rng: random.Random) -> Engine:
    """Every fourth engine is a fast one."""
    usual = FAST if number % 4 == 0 else SLOW
    return Engine(f"i-{number}", hall, usual * rng.uniform(1 - SPEED_SPREAD, 1 + SPEED_SPREAD))


def make_request(
    kind: Kind, number: int, gateway: int, subjects: int, now: float, rng: random.Random
) -> Request:
    """A request with one of so many shared parts and a part of its own."""
    subject = 0 if rng.random() < HOT_SHARE else rng.randrange(1, subjects)
    parts = ((f"{kind.name}-{subject}", kind.shared),) if kind.shared else ()
    tokens = min(kind.max_out, round(rng.lognormvariate(0, TOKENS_SIGMA) * kind.median_out))
    hint = min(kind.max_out, round(rng.lognormvariate(0, HINT_SIGMA) * tokens))
    parts = (*parts, (f"own-{number}", kind.own))
    again = rng.random() < AGAIN_SHARE
    return Request(now, gateway, kind, parts, max(1, tokens), max(1, hint), again)


def is_fast(engine: Engine) -> bool:
    """Whether an engine is one of the fast ones."""
    return engine.speed < 1.0
