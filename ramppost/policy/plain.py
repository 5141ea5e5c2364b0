"""Ranks plain upstreams by predicted response time, and decides what to do when all are full.

Pure.  The prediction is the idle latency, stretched by the pace of the host, the gateway's own
requests, and the requests that an upstream has beyond its slots by its last report.  Upstreams
that report nothing are ranked by latency and the gateway's own requests alone.

A request is held or refused only where every upstream is known to be full.  In doubt it is sent:
an upstream that has no slot refuses it within a round trip.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from typing import Final, NamedTuple

from ramppost.policy.placement import CROSS_HALL_PENALTY_S, FAILURE_PENALTY_S, SCORE_JITTER

REPORT_HALF_LIFE_S: Final = 0.25
"""A report that is 1 s old has a sixteenth of its weight."""
KNOWN_FULL_S: Final = 0.5
"""Age up to which a report tells that an upstream is full."""
MAX_REPORT_AGE_S: Final = 1.0
"""Age up to which a report tells how many requests an upstream can't have finished yet."""
MAX_HOLD_RATIO: Final = 0.1
"""Fraction of its objective for which a request may be held."""
MAX_RESPONSE_RATIO: Final = 0.5
"""Fraction of its objective that the least response time of a request may take.  The real one is
longer, because others send requests too."""
MIN_RUN_S: Final = 0.001
MIN_RETRY_S: Final = 0.01
"""The resolution of the time that callers are told."""
MAX_RETRY_SPREAD: Final = 2.0
"""Callers refused at the same moment retry spread over up to this multiple of the time told."""


class PlainUpstreamView(NamedTuple):
    """What a gateway knows about an upstream that is not an engine.

    `load` is the gateway's own requests per slot.  `latency_s` is the response time of an idle
    upstream at the usual pace, and `pace` how much longer work takes on its host.  `others` and
    `own` are the requests of other gateways and of this one that run or wait there.  `others` and
    `slots` are from a report that is `report_age_s` seconds old, infinite if there is none.
    """

    id: str
    hall: str
    load: float
    latency_s: float
    failure_rate: float
    pace: float = 1.0
    others: int = 0
    own: int = 0
    slots: int = 1
    report_age_s: float = math.inf

    @property
    def run_s(self) -> float:
        """Predicted time to run a request that need not wait."""
        return max(MIN_RUN_S, self.latency_s * self.pace)

    @property
    def least_requests(self) -> float:
        """Requests there now if others have sent none since the report; 0 without a report.

        A host that is slower than usual may have been as fast as usual since the report.

        >>> view = PlainUpstreamView("a", "h", 0, 0.05, 0, others=40, own=2, slots=10)
        >>> view._replace(report_age_s=0.1).least_requests
        22.0
        """
        if self.report_age_s == math.inf:
            return 0.0
        fastest_run_s = max(MIN_RUN_S, self.latency_s * min(1.0, self.pace))
        finished = self.report_age_s * self.slots / fastest_run_s
        is_recent = self.report_age_s <= MAX_REPORT_AGE_S
        return self.own + (max(0.0, self.others - finished) if is_recent else 0.0)

    @property
    def known_full(self) -> bool:
        """Whether reports show that there is no free slot."""
        if self.least_requests >= self.slots:
            return True
        return self.report_age_s <= KNOWN_FULL_S and self.others + self.own >= self.slots


def rank_plain_upstreams(
    views: Sequence[PlainUpstreamView], hall: str, rng: random.Random, needs_slot: bool = False
) -> list[str]:
    """Rank upstreams that are not engines by predicted response time, best first.

    With `needs_slot`, those known to be full come last: a request that may run only once can't be
    sent elsewhere while it waits for a slot there.
    """

    def score_s(view: PlainUpstreamView) -> float:
        hall_penalty_s = 0.0 if view.hall == hall else CROSS_HALL_PENALTY_S
        report_weight = math.exp2(-view.report_age_s / REPORT_HALF_LIFE_S)
        estimated = report_weight * max(0, view.others + view.own + 1 - view.slots)
        excess = max(estimated, view.least_requests + 1 - view.slots) / view.slots
        expected_s = (
            view.latency_s * view.pace * (1 + view.load + excess)
            + hall_penalty_s
            + view.failure_rate * FAILURE_PENALTY_S
        )
        return expected_s * rng.uniform(1 - SCORE_JITTER, 1 + SCORE_JITTER)

    ranked = sorted(views, key=score_s)
    if needs_slot:
        ranked.sort(key=lambda view: view.known_full)
    return [view.id for view in ranked]


class HeldRequest(NamedTuple):
    """A request for which all upstreams may be full.

    `objective_left_s` and `deadline_left_s` are the times left until its objective and its
    deadline.  `held_s` is how long the gateway has had it, and `ahead` how many held requests are
    served before it.  `refused` is whether a full upstream has refused it since it was last held.
    """

    objective_s: float
    objective_left_s: float
    deadline_left_s: float
    held_s: float
    ahead: int
    refused: bool


class Send(NamedTuple):
    """Send the request now."""


class Hold(NamedTuple):
    """Hold the request for some seconds, until a slot is likely to be free."""

    seconds: float


class Reject(NamedTuple):
    """Refuse the request; a slot is likely to be free for it after `retry_after_s`."""

    retry_after_s: float
    reason: str


def decide_full(
    views: Sequence[PlainUpstreamView], request: HeldRequest, rng: random.Random
) -> Send | Hold | Reject:
    """Decide whether to send a request, to hold it until a slot is free, or to refuse it.

    >>> full = PlainUpstreamView("a", "h", 0, 0.04, 0, 1.0, others=4, slots=4, report_age_s=0)
    >>> request = HeldRequest(0.2, 0.2, 1.6, held_s=0, ahead=0, refused=False)
    >>> decide_full([full], request, random.Random(1))
    Hold(seconds=0.01)
    >>> decide_full([full._replace(others=3)], request, random.Random(1))
    Send()
    """
    if not views or not all(view.known_full for view in views):
        return Send()
    run_s = min(view.run_s for view in views)
    response_s = min(_queue_s(view) + view.run_s for view in views)
    queued = all(_queue_s(view) > 0 for view in views)
    if queued and response_s > _longest_response_s(request):
        return Reject(_retry_after_s(response_s, run_s, rng), "no slot is free in time")
    if any(_queue_s(view) > 0 for view in views):
        # An upstream that has requests waiting keeps them in its own queue.
        return Send()
    slot_s = (request.ahead + 1) / sum(view.slots / view.run_s for view in views)
    if slot_s <= _hold_left_s(request, run_s):
        return Hold(slot_s)
    spent = request.held_s >= MAX_HOLD_RATIO * request.objective_s
    if request.ahead == 0 and not (request.refused and (spent or _all_just_full(views))):
        return Send()
    return Reject(_retry_after_s(slot_s, run_s, rng), "no slot became free")


def _queue_s(view: PlainUpstreamView) -> float:
    """Predicted wait for the requests that an upstream has beyond its slots.

    Others are assumed to send as many as it finishes, but only while the upstream can't have
    finished so many that a slot is free.
    """
    if view.least_requests < view.slots:
        return 0.0
    return (view.others + view.own - view.slots) * view.run_s / view.slots


def _longest_response_s(request: HeldRequest) -> float:
    """The longest least response time with which a request is sent.

    A request that has missed its objective in earlier attempts is late anyway.
    """
    if request.objective_left_s <= 0:
        return request.deadline_left_s
    return min(MAX_RESPONSE_RATIO * request.objective_s, request.objective_left_s)


def _hold_left_s(request: HeldRequest, run_s: float) -> float:
    """How much longer a request may be held; it must be left the time to run."""
    left_s = MAX_HOLD_RATIO * request.objective_s - request.held_s
    return min(left_s, request.deadline_left_s - run_s)


def _all_just_full(views: Sequence[PlainUpstreamView]) -> bool:
    """Whether all reports are younger than a run, in which each slot is free once."""
    return all(view.report_age_s < view.run_s for view in views)


def _retry_after_s(wait_s: float, run_s: float, rng: random.Random) -> float:
    """When to retry: each slot is free once within the time of a run."""
    return max(wait_s, run_s, MIN_RETRY_S) * rng.uniform(1.0, MAX_RETRY_SPREAD)
