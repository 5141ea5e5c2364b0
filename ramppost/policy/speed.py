"""Estimates how fast an engine works, from the prompts and streams that it has served.

Pure.  Engines of one pool may differ in speed by a factor of two, and share their boxes with other
work that slows them for tenths of a second.  While engines are lightly loaded, the time to first
token hardly shows the difference, but the time between tokens does: placed by the former alone,
slow engines get as much work as fast ones and their streams take several times as long.

`EngineSpeed` belongs to one incarnation of an engine and is maintained by the gateway that keeps
its backlog, which sees the prompts and streams of all gateways.  It holds a prefill factor, the
prefill time relative to the usual one of the pool, and the decoding time per token of a single
stream.  The former is the median of recent prompts and the latter a mean of bounded samples, so
that outliers, momentary slowness of the box and a fault that slows some answers hardly change them.

    speed = EngineSpeed()
    speed.record_prefill(0.2, 0.1)
    speed.begin_stream("r1", NOW)
    speed.finish_stream("r1", 300, 1.2, NOW + 1.2)
    speed.figures(NOW + 2.0)
"""

from __future__ import annotations

import math
import statistics
from collections import deque
from collections.abc import Collection, Mapping
from typing import Final, NamedTuple

from ramppost.bounded import drop_oldest

MIN_PREFILL_S: Final = 0.04
"""Prefill time at the pool's rate from which a prompt is a sample; the transit of shorter ones
dominates."""
MIN_STREAM_TOKENS: Final = 20
MIN_SAMPLES: Final = 12
"""Prefills from which a factor is used.  With fewer, the extremes of a pool of equal engines differ
by more than `UNEVEN_RATIO`."""
MAX_SAMPLES: Final = 31
"""Recent prefills whose median is the factor."""
MIN_PREFILL_FACTOR: Final = 0.25
MAX_PREFILL_FACTOR: Final = 4.0
TOKEN_HALF_LIFE_S: Final = 10.0
"""Half-life of decoding samples: several times the duration of a stream."""
TOKEN_VALID_S: Final = 30.0
"""Age of the last sample from which the decoding time counts as unknown, so that an engine that was
slow gets streams again."""
MAX_SAMPLE_RATIO: Final = 5.0
"""Bound of a decoding sample relative to the present estimate, which changes with the load."""
MAX_TOKENS: Final = 100_000
MAX_TOKEN_S: Final = 1.0
SLOWDOWN_PER_STREAM: Final = 0.15
"""Relative increase of the decoding time for each stream that runs beside another, together with
the prompts that are read for it."""
MAX_STREAMS: Final = 1024
MAX_STREAM_S: Final = 30.0
"""Age at which a stream whose end was not reported is dropped; deadlines are shorter."""
UNEVEN_RATIO: Final = 1.7
"""Ratio between slow and fast engines from which a pool counts as uneven.  Gateways predict with
rates of their own, so the estimates of alike engines scatter by a fifth."""
STILL_UNEVEN_RATIO: Final = 1.4
"""Ratio down to which a pool that was uneven stays so."""
MIN_KNOWN_ENGINES: Final = 4


class SpeedFigures(NamedTuple):
    """What is known of an engine's speed; times in seconds.

    `prefill` is its prefill time relative to the pool's, 0 if not known, and `token_s` the time
    between two tokens of a stream beside the `running` ones, 0 if not known.
    """

    running: int = 0
    prefill: float = 0.0
    token_s: float = 0.0

    @property
    def prefill_factor(self) -> float:
        """The factor of predicted prefill times."""
        return self.prefill or 1.0

    @property
    def alone(self) -> SpeedFigures:
        """The same engine without other streams, whose number changes within a second."""
        return SpeedFigures(0, self.prefill, self.single_token_s)

    def or_known(self, known: SpeedFigures) -> SpeedFigures:
        """The same with what was known before in place of what is not known.

        Both are of the same number of streams.
        """
        prefill, token_s = self.prefill or known.prefill, self.token_s or known.token_s
        return SpeedFigures(self.running, prefill, token_s)

    @property
    def single_token_s(self) -> float:
        """The time between two tokens of a stream that runs alone; 0 if not known."""
        return self.token_s / _slowdown(self.running)

    def or_typical(self, single_token_s: float) -> SpeedFigures:
        """The same with a typical decoding time if that of the engine is not known."""
        if self.token_s:
            return self
        return self._replace(token_s=single_token_s * _slowdown(self.running))


UNKNOWN_SPEED: Final = SpeedFigures()


class _Stream(NamedTuple):
    """A stream that runs, and how many others did when it began."""

    began_at: float
    beside: int


class EngineSpeed:
    """Speed of one incarnation of an engine (seconds on any steady clock).

    `start` is what another gateway knew of it before, without streams.
    """

    def __init__(self, start: SpeedFigures = UNKNOWN_SPEED) -> None:
        self._start = start
        self._prefills: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._streams: dict[str, _Stream] = {}
        self._tokens = float(MIN_STREAM_TOKENS) if start.token_s else 0.0
        self._token_time_s = self._tokens * start.token_s
        self._updated_at: float | None = None

    def record_prefill(self, usual_s: float, took_s: float) -> None:
        """Record a prefill that takes `usual_s` seconds at the usual speed.

        >>> speed = EngineSpeed()
        >>> for _ in range(40): speed.record_prefill(0.2, 0.1)
        >>> 0.48 < speed.figures(0.0).prefill < 0.52
        True
        """
        if usual_s >= MIN_PREFILL_S:
            factor = took_s / usual_s
            self._prefills.append(min(MAX_PREFILL_FACTOR, max(MIN_PREFILL_FACTOR, factor)))

    def begin_stream(self, key: str, now: float) -> None:
        """Record a stream that begins to run."""
        self._streams[key] = _Stream(now, len(self._streams))
        drop_oldest(self._streams, MAX_STREAMS)

    def finish_stream(self, key: str, tokens: int, took_s: float, now: float) -> None:
        """Record the end of a stream that has generated `tokens` tokens in `took_s` seconds."""
        stream = self._streams.pop(key, None)
        if stream is None or not MIN_STREAM_TOKENS <= tokens <= MAX_TOKENS:
            return
        beside = (stream.beside + len(self._streams)) / 2
        sample_s = max(0.0, took_s) / tokens / _slowdown(beside)
        known_s = self._single_token_s(now)
        if known_s:
            sample_s = min(MAX_SAMPLE_RATIO * known_s, max(known_s / MAX_SAMPLE_RATIO, sample_s))
        since_s = 0.0 if self._updated_at is None else max(0.0, now - self._updated_at)
        kept = math.exp2(-since_s / TOKEN_HALF_LIFE_S) if known_s else 0.0
        self._tokens = self._tokens * kept + tokens
        self._token_time_s = self._token_time_s * kept + sample_s * tokens
        self._updated_at = now

    def figures(self, now: float) -> SpeedFigures:
        """The present estimates."""
        self._drop_expired(now)
        running = len(self._streams)
        known = len(self._prefills) >= MIN_SAMPLES
        prefill = statistics.median(self._prefills) if known else self._start.prefill
        token_s = min(MAX_TOKEN_S, self._single_token_s(now))
        return SpeedFigures(running, prefill, token_s * _slowdown(running))

    def _single_token_s(self, now: float) -> float:
        is_old = self._updated_at is not None and now - self._updated_at > TOKEN_VALID_S
        return 0.0 if is_old or not self._tokens else self._token_time_s / self._tokens

    def _drop_expired(self, now: float) -> None:
        expired = [k for k, s in self._streams.items() if now - s.began_at > MAX_STREAM_S]
        for key in expired:
            del self._streams[key]


def _slowdown(beside: float) -> float:
    """The decoding time beside so many streams, relative to that of a single one."""
    return 1.0 + SLOWDOWN_PER_STREAM * beside


def typical_token_s(figures: Collection[SpeedFigures]) -> float:
    """The median decoding time per token of a single stream among the engines where it is known.

    >>> typical_token_s([SpeedFigures(0, 1.0, 0.004), SpeedFigures(), SpeedFigures(0, 1.0, 0.006)])
    0.006
    """
    known = sorted(engine.single_token_s for engine in figures if engine.token_s)
    return known[len(known) // 2] if known else 0.0


def speed_weights(engines: Mapping[str, SpeedFigures], were_uneven: bool) -> dict[str, float]:
    """The speeds of the engines of a pool relative to the usual one; empty if they don't differ.

    Engines whose speed is not known are left out.

    >>> pool = {"a": 0.5, "b": 0.5, "c": 1.25, "d": 1.25, "e": 0.0}
    >>> figures = {id: SpeedFigures(prefill=prefill) for id, prefill in pool.items()}
    >>> speed_weights(figures, False)
    {'a': 2.0, 'b': 2.0, 'c': 0.8, 'd': 0.8}
    """
    if not is_uneven(engines.values(), were_uneven):
        return {}
    return {id: 1 / engine.prefill for id, engine in engines.items() if engine.prefill}


def is_uneven(figures: Collection[SpeedFigures], was_uneven: bool = False) -> bool:
    """Whether the engines of a pool differ in speed beyond the error of the estimates.

    The second slowest is compared with the second fastest, so that a single wrong estimate does not
    decide.  A pool that `was_uneven` stays so down to a smaller ratio.

    >>> pool = [SpeedFigures(prefill=0.55)] * 2 + [SpeedFigures(prefill=1.2)] * 6
    >>> is_uneven(pool), is_uneven(pool[2:]), is_uneven([])
    (True, False, False)
    """
    known = sorted(engine.prefill for engine in figures if engine.prefill)
    if len(known) < MIN_KNOWN_ENGINES:
        return False
    return known[-2] / known[1] >= (STILL_UNEVEN_RATIO if was_uneven else UNEVEN_RATIO)
