"""Collects what each attempt shows about the version of its upstream, also while it runs.

An attempt is compared with what its prompt, the prompts ahead of it and the streams beside it let
expect.  Attempts at a version that is being rolled out are evidence for or against it, compared
with those at the versions in service in the same time (`ramppost.policy.guard`), whatever becomes
of their answers: forwarded, dropped for a larger model's, cut off, or not even begun when they are
overdue.

    timing = gw.evidence.begin(expected, now)
    timing.record_head(200, now)
    timing.record_events(3, now)
    timing.end(now)
"""

from __future__ import annotations

import math
from collections import Counter
from typing import Final, NamedTuple

from loguru import logger

from ramppost.bounded import drop_oldest
from ramppost.gateway.rollouts import Rollout, Rollouts
from ramppost.policy.guard import NO_COUNTS, Counts, Source, at_level
from ramppost.policy.slowness import SLOW_LEVEL, UsualTimes, level_of

MIN_USUAL_FIRST_S: Final = 0.03
"""Transit and the first token, added to the time until the prompt has been read."""
UNNOTICED_S: Final = 0.01
"""Added to the times that are compared, in seconds: between a few milliseconds nobody notices a
difference, and gateways and boxes cause some."""
MIN_GAPS: Final = 8
"""Gaps between events from which their mean is compared."""
MIN_GAPS_SO_FAR: Final = 16
"""The same while the answer runs, as a single prompt that is read beside it makes a long gap."""
MAX_ROUTES: Final = 256
MAX_SOURCES: Final = 1024
"""Sources of which evidence is kept for a roll-out."""
HALF_LIFE_S: Final = 20.0
"""Half-life of what is known of the versions in service before a roll-out."""
RECENT_HALF_LIFE_S: Final = 4.0
MAX_EARLIER_ANSWERS: Final = 20.0
"""Answers on a route before a roll-out that count beside those during it."""

WATCH_COMPLETED_S: Final = 120.0
"""How long the answers of a version are looked at after it was completed."""

BEGUN_WELL: Final = Counts(answers=1.0)
"""An answer that runs and has not failed, as its head tells; how slow it is shows later."""

CountsBySource = dict[Source, Counts]


class ExpectedAnswer(NamedTuple):
    """What is expected of an attempt.

    `first_s` is the time until its first byte at the usual speed, in seconds, or for a plain
    service relative to that of an idle upstream.  `gap` is the time between events relative to
    that of a stream that runs alone; 0 if the answer has no events.  `timed` is false where times
    say nothing, as at an upstream that is warming up.
    """

    service: str
    route: str
    model: str
    upstream: str
    version: str
    first_s: float
    gap: float = 0.0
    timed: bool = True


class _FadingCounts(NamedTuple):
    """Counts of the versions in service, of which the latest weigh most."""

    counts: Counts
    at: float
    half_life_s: float

    def faded(self, now: float) -> Counts:
        """The counts as they weigh now."""
        return NO_COUNTS.plus(self.counts, math.exp2(-max(0.0, now - self.at) / self.half_life_s))

    def plus(self, counts: Counts, now: float) -> _FadingCounts:
        """The sum with new ones."""
        return _FadingCounts(self.faded(now).plus(counts), now, self.half_life_s)


class _ServiceHistory:
    """How the versions in service of one service have answered."""

    def __init__(self) -> None:
        self.times = UsualTimes()
        self.by_route: dict[str, _FadingCounts] = {}
        self.recent_by_route: dict[str, _FadingCounts] = {}

    def add(self, route: str, counts: Counts, now: float) -> None:
        """Count an answer."""
        _add_fading(self.by_route, route, counts, now, HALF_LIFE_S)
        _add_fading(self.recent_by_route, route, counts, now, RECENT_HALF_LIFE_S)

    def recent(self, now: float) -> CountsBySource:
        """The counts of the last seconds."""
        return {
            Source("", route, is_recent=True): history.faded(now)
            for route, history in self.recent_by_route.items()
        }

    def limited(self, now: float) -> CountsBySource:
        """What counts beside the answers during a roll-out that begins now."""
        found = {}
        for route, history in self.by_route.items():
            counts = history.faded(now)
            factor = min(1.0, MAX_EARLIER_ANSWERS / max(1.0, counts.answers))
            found[Source("", route)] = NO_COUNTS.plus(counts, factor)
        return found


def _add_fading(
    by_route: dict[str, _FadingCounts], route: str, counts: Counts, now: float, half_life_s: float
) -> None:
    known = by_route.pop(route, _FadingCounts(NO_COUNTS, now, half_life_s))
    by_route[route] = known.plus(counts, now)
    drop_oldest(by_route, MAX_ROUTES)


class AttemptTiming:
    """Times of one attempt (steady clock)."""

    def __init__(self, owner: VersionEvidence, expected: ExpectedAnswer, now: float) -> None:
        self.expected = expected
        self._owner = owner
        self.sent_at = now
        self.sent_after_growth = False
        """Whether it was sent when the share of a new version had grown beyond the first step."""
        self._status = 0
        self._first_at: float | None = None
        self._last_at = now
        self._events = 0
        self._gaps_valid = True

    def record_head(self, status: int, now: float) -> None:
        """Record the head of the answer, which comes with its first byte."""
        self._status = status
        self._first_at = self._last_at = now

    def record_events(self, count: int, now: float) -> None:
        """Record events of a stream."""
        self._events += count
        self._last_at = now

    def ignore_gaps(self) -> None:
        """Disregard the times between events, as the caller held them up."""
        self._gaps_valid = False

    def discard(self) -> None:
        """End the attempt without evidence, as its upstream has not run it."""
        if self in self._owner.running:
            self._owner.remove(self)

    def end(self, now: float) -> None:
        """End the attempt with what it has shown; further calls do nothing."""
        if self in self._owner.running:
            self._owner.remove(self)
            self._owner.settle(self, now)

    @property
    def failed(self) -> bool | None:
        """Whether the upstream failed the request; None if it has not said or refused it."""
        if self._status >= 500:
            return True
        return False if 0 < self._status < 400 else None

    @property
    def has_begun(self) -> bool:
        """Whether the answer has begun."""
        return self._first_at is not None

    def first_sample(self, now: float) -> float:
        """Time to the first byte, so far if there is none, relative to the expected one."""
        first_at = now if self._first_at is None else self._first_at
        return (first_at - self.sent_at) / self.expected.first_s

    def gap_sample(self, now: float) -> float | None:
        """Mean time between events relative to the expected one; None for too few events.

        While the answer runs, it is what the mean will be at least if the next event comes now.
        """
        if self._first_at is None or not self._gaps_valid or not self.expected.gap:
            return None
        if self in self._owner.running:
            gaps, last_at = max(self._events, MIN_GAPS_SO_FAR), now
        else:
            gaps, last_at = self._events - 1, self._last_at
        if gaps < MIN_GAPS:
            return None
        return (last_at - self._first_at) / gaps / self.expected.gap


class VersionEvidence:
    """What is known of the versions in service, and the evidence of this gateway on roll-outs."""

    def __init__(self, rollouts: Rollouts) -> None:
        self.running: set[AttemptTiming] = set()
        """Attempts that have not ended."""
        self._at_upstream: Counter[str] = Counter()
        """Number of these by upstream."""
        self._rollouts = rollouts
        self._histories: dict[str, _ServiceHistory] = {}

    def begin(self, expected: ExpectedAnswer, now: float) -> AttemptTiming:
        """Record that an attempt has been sent."""
        rollout = self._rollouts.get(expected.service)
        timing = AttemptTiming(self, expected, now)
        self.running.add(timing)
        self._at_upstream[expected.upstream] += 1
        if rollout is not None:
            at_once = self._at_upstream[expected.upstream]
            most = rollout.most_at_once.get(expected.version, 0)
            rollout.most_at_once[expected.version] = max(most, at_once)
        if rollout is not None and rollout.order.state == "ordered":
            rollout.account.record_sent(expected.version == rollout.order.version)
            timing.sent_after_growth = rollout.has_grown
        return timing

    def remove(self, timing: AttemptTiming) -> None:
        """Forget an attempt that no longer runs."""
        upstream = timing.expected.upstream
        self.running.remove(timing)
        self._at_upstream[upstream] -= 1
        if not self._at_upstream[upstream]:
            del self._at_upstream[upstream]

    def settle(self, timing: AttemptTiming, now: float) -> None:
        """Count an attempt that has ended."""
        expected = timing.expected
        history = self._history(expected.service)
        rollout = self._rollouts.get(expected.service)
        is_new = rollout is not None and rollout.order.version == expected.version
        counts = _counts_of(history.times, timing, now)
        if rollout is None or not is_new or rollout.order.state == "completed":
            history.add(expected.route, counts, now)
            _record_times(history.times, timing, now)
        if rollout is None or not is_looked_at(rollout, now):
            return
        self._start_evidence(rollout, now)
        _add(rollout.own_evidence, _source(rollout, timing), counts)
        if is_new and (counts.failures or counts.slow):
            _log_bad(timing, now)

    def counts_now(self, rollout: Rollout, now: float) -> CountsBySource:
        """What this gateway has seen of a roll-out, with attempts that still run."""
        self._start_evidence(rollout, now)
        history = self._history(rollout.order.service)
        found = rollout.own_evidence | history.recent(now)
        for timing in self.running:
            if timing.expected.service == rollout.order.service:
                if timing.failed is False:
                    _add(found, _source(rollout, timing), BEGUN_WELL)
                level = _level(history.times, timing, now)
                if level is not None and level >= SLOW_LEVEL:
                    source, counts = _source(rollout, timing), Counts(reached=at_level(level))
                    _add(found, source, counts)
                    if not source.upstream:
                        _add(found, source._replace(is_recent=True), counts)
        return found

    def _history(self, service: str) -> _ServiceHistory:
        return self._histories.setdefault(service, _ServiceHistory())

    def _start_evidence(self, rollout: Rollout, now: float) -> None:
        """Let what is known from before count beside what comes during a roll-out."""
        if not rollout.evidence_started:
            rollout.evidence_started = True
            rollout.own_evidence |= self._history(rollout.order.service).limited(now)


def is_looked_at(rollout: Rollout, now: float) -> bool:
    """Whether answers are evidence on a roll-out; after its end that is only logged."""
    state, ended_s = rollout.order.state, now - rollout.started_at - rollout.order.duration_s
    return state == "ordered" or (state == "completed" and ended_s < WATCH_COMPLETED_S)


def _source(rollout: Rollout, timing: AttemptTiming) -> Source:
    """Where the answer of an attempt comes from, as evidence on a roll-out."""
    expected = timing.expected
    if expected.version != rollout.order.version:
        return Source("", expected.route)
    has_caches = expected.gap > 0
    return Source(expected.upstream, expected.route, has_caches and timing.sent_after_growth)


def _groups(expected: ExpectedAnswer, what: str) -> tuple[str, str]:
    """The groups of samples that an attempt belongs to, the narrower one first."""
    return f"{what} {expected.route} {expected.model}", what


def _ratio(times: UsualTimes, expected: ExpectedAnswer, what: str, sample: float) -> float | None:
    """A sample relative to the usual one of its route and model, or of the service while that is
    not known."""
    narrow, wide = (times.ratio(group, sample) for group in _groups(expected, what))
    return wide if narrow is None else narrow


def _first_ratio(times: UsualTimes, timing: AttemptTiming, now: float) -> float | None:
    """The time to the first byte relative to the usual one."""
    sample = timing.first_sample(now)
    ratio = _ratio(times, timing.expected, "first", sample)
    if not ratio:
        return ratio
    first_s = sample * timing.expected.first_s
    return (first_s + UNNOTICED_S) / (first_s / ratio + UNNOTICED_S)


def _level(times: UsualTimes, timing: AttemptTiming, now: float) -> int | None:
    """The level of slowness that an attempt has come to; None if it can't be told."""
    expected = timing.expected
    if not expected.timed or timing.failed:
        return None
    ratios = [_first_ratio(times, timing, now)]
    gap = timing.gap_sample(now)
    if gap is not None:
        ratios.append(_ratio(times, expected, "gap", gap))
    known = [ratio for ratio in ratios if ratio is not None]
    return level_of(max(known)) if known else None


def _counts_of(times: UsualTimes, timing: AttemptTiming, now: float) -> Counts:
    """An attempt that has ended, as counts."""
    level = _level(times, timing, now)
    if not timing.has_begun:
        is_slow = level is not None and level >= SLOW_LEVEL
        return Counts(reached=at_level(level)) if is_slow and level is not None else NO_COUNTS
    if timing.failed is None:
        return NO_COUNTS
    counts = Counts(failures=float(timing.failed), answers=1.0)
    return counts if level is None else counts._replace(levels=at_level(level))


def _record_times(times: UsualTimes, timing: AttemptTiming, now: float) -> None:
    """Record an attempt at a version in service."""
    expected = timing.expected
    if not expected.timed or timing.failed is not False:
        return
    samples = {"first": timing.first_sample(now), "gap": timing.gap_sample(now)}
    for what, sample in samples.items():
        if sample is not None:
            for group in _groups(expected, what):
                times.record(group, sample)


def _add(found: CountsBySource, source: Source, counts: Counts) -> None:
    if source in found or len(found) < MAX_SOURCES:
        found[source] = found.get(source, NO_COUNTS).plus(counts)


def _log_bad(timing: AttemptTiming, now: float) -> None:
    expected = timing.expected
    logger.info(
        "answer speaks against a new version: {}",
        "it failed" if timing.failed else "it was slow",
        service=expected.service,
        route=expected.route,
        model=expected.model,
        upstream=expected.upstream,
        version=expected.version,
        first=round(timing.first_sample(now), 3),
        gap=timing.gap_sample(now),
        ended=timing.has_begun,
    )
