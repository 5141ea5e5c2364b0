"""Counts what a version that is being rolled out gets of its service's requests.

Pure.  A bad version may get a share of all requests that are sent to its service between the order
and its deadline, and `slack` more.  As nobody knows whether it is bad, every version is held to
that: requests are counted where they are sent, and gateways tell each other the numbers
(`ramppost.gateway.evidence_news`).  A gateway that has not been told lately keeps to its part of
the slack, and to the share of its own requests, so that all together keep to the whole.

    account = ExposureAccount(Exposure(0.15, 30.0), now)
    account.record_sent(is_trial=True)
    account.balance(now, gateways=4).bears(for_s=1.2)
"""

from __future__ import annotations

import math
from collections import deque
from typing import Final, NamedTuple

from ramppost.ids import address

USED_PART: Final = 0.9
"""Part of the permitted exposure that is used: some requests are on their way, and gateways know of
each other's a moment later."""
TOLD_S: Final = 1.5
"""How long what another gateway has told counts as its latest."""
RATE_WINDOWS_S: Final = (0.6, 1.5)
"""Latest times over which the rate is told; the highest counts, as a burst may just have begun."""
MARK_SLACK_S: Final = 0.1
MAX_GATEWAYS: Final = 1024


class Exposure(NamedTuple):
    """What a bad version may get: a share of the requests of its service, and `slack` more."""

    share: float
    slack: float


class SentCounts(NamedTuple):
    """Requests that have been sent to a service since the order, and those of them to the new
    version."""

    trial: int = 0
    total: int = 0


class Balance(NamedTuple):
    """What a gateway may rely on: the requests that count, and the slack that is meant for them.

    `per_s` is the present rate of all of them, in requests per second, and `gateways` is how many
    draw on the balance.
    """

    exposure: Exposure
    trial: float
    total: float
    per_s: float
    gateways: int

    def left(self, more: float) -> float:
        """How many requests the version may get until the service has had so many more."""
        total = self.total + more
        return USED_PART * (self.exposure.share * total + self.exposure.slack) - self.trial

    def bears(self, for_s: float) -> bool:
        """Whether the version may get all requests for so long, at the present rate.

        >>> Balance(Exposure(0.15, 30.0), 20, 150, 30.0, 4).bears(0.6)
        True
        >>> Balance(Exposure(0.15, 30.0), 20, 150, 30.0, 4).bears(1.6)
        False
        """
        more = self.per_s * max(0.0, for_s)
        return more <= self.left(more)


class _Told(NamedTuple):
    counts: SentCounts
    at: float


class _Mark(NamedTuple):
    """Numbers of requests at a moment (steady clock), of this gateway and of all."""

    at: float
    own: int
    all: int


class ExposureAccount:
    """Numbers of requests sent to a service during a roll-out, by all gateways."""

    def __init__(self, exposure: Exposure, now: float) -> None:
        self.exposure = exposure
        self.own = SentCounts()
        self._told: dict[str, _Told] = {}
        self._others = SentCounts()
        self._since = now
        self._marks: deque[_Mark] = deque([_Mark(now, 0, 0)])
        """The totals at a few moments of the last seconds."""

    def record_sent(self, is_trial: bool) -> None:
        """Count a request that is sent, to the new version or not."""
        self.own = SentCounts(self.own.trial + is_trial, self.own.total + 1)

    def put(self, gateway: str, counts: SentCounts, now: float) -> None:
        """Replace what another gateway, by its start, has told."""
        if gateway not in self._told and len(self._told) >= MAX_GATEWAYS:
            return
        before = self._told.get(gateway, _Told(SentCounts(), now)).counts
        self._told[gateway] = _Told(counts, now)
        self._others = SentCounts(
            self._others.trial + counts.trial - before.trial,
            self._others.total + counts.total - before.total,
        )

    @property
    def known(self) -> SentCounts:
        """Requests that are known here, whoever has sent them and told of them last."""
        own, others = self.own, self._others
        return SentCounts(own.trial + others.trial, own.total + others.total)

    def heard(self, now: float, within_s: float) -> set[str]:
        """Names of other gateways that have told of their requests in the last seconds."""
        return {address(start) for start, told in self._told.items() if now - told.at < within_s}

    def heard_gateways(self, now: float) -> int:
        """Number of other gateways whose counts are known well enough to draw on them."""
        return len(self.heard(now, TOLD_S))

    def mark(self, now: float) -> None:
        """Note the totals, from which the rate is told; to be called now and then."""
        self._marks.append(_Mark(now, self.own.total, self.known.total))
        while len(self._marks) > 2 and now - self._marks[1].at >= max(RATE_WINDOWS_S):
            self._marks.popleft()

    def balance(self, now: float, gateways: int) -> Balance:
        """What counts at a gateway of a fleet of so many."""
        gateways = max(1, gateways)
        if self.heard_gateways(now) < gateways - 1:
            exposure = self.exposure._replace(slack=self.exposure.slack / gateways)
            trial, total, gateways = self.own.trial, self.own.total, 1
            course = [(mark.at, mark.own) for mark in self._marks]
        else:
            exposure = self.exposure
            trial, total = self.known
            course = [(mark.at, mark.all) for mark in self._marks]
        return Balance(exposure, trial, total, self._rate(total, course, now), gateways)

    def _rate(self, total: int, course: list[tuple[float, int]], now: float) -> float:
        """The highest rate of the last seconds, with the standard deviation of so many requests, or
        the mean since the order."""
        rates = [total / max(*RATE_WINDOWS_S, now - self._since)]
        for window_s in RATE_WINDOWS_S:
            within = [mark for mark in course if now - mark[0] <= window_s + MARK_SLACK_S]
            at, before = within[0] if within else course[-1]
            lately = max(0, total - before)
            rates.append((lately + math.sqrt(lately)) / max(window_s, now - at))
        return max(rates)
