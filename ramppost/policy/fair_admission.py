"""Decides whether to refuse a request because engines are short, before it is sent to any.

Pure.  A request is refused only where that serves callers better than to let it wait:

- no engine that was asked can start its answer before its deadline, or
- its wait is above a quarter of its objective, and its workspace sends more than its fair share.

Engines serve more urgent prompts first, so a request only waits for those of its own level and more
urgent ones.  In an overload the least urgent levels therefore become short first, and alone.

The capacity that more urgent ranks leave is divided among the workspaces of a rank by weight; what
one does not use is lent to the others.  A workspace above its share gets the requests through whose
turn it is.  The turn of a request follows from its fingerprint and the time of day: all gateways
agree on it without messages, a caller that repeats its request early is refused again, and one that
returns when told is at the head of the turn at each gateway.
"""

from __future__ import annotations

import random
import statistics
from collections.abc import Mapping
from typing import Final, NamedTuple

from ramppost.policy.room import SampledUse, Shortage
from ramppost.policy.routing import hash_fraction
from ramppost.policy.use import MAX_REPORTED, USE_WINDOW_S

SHORT_OBJECTIVE_RATIO: Final = 0.25
"""Fraction of its objective that a request waits in the median while its service is short."""
FULL_CAPACITY_RATIO: Final = 0.65
"""Fraction of its objective that a request waits while engines are given as much as they read.
With shorter waits they are given more, so that a short burst fills their queues."""
MAX_CAPACITY: Final = 2.0
"""What is given out when a service begins to be short, as a multiple of what engines read."""
BURST_CAPACITY: Final = 1.4
"""Part of what is given out that only those within `MAX_MEDIAN_RATIO` get."""
MIN_CAPACITY: Final = 0.4
"""What is given out at least, however long the waits are."""
MAX_MEDIAN_RATIO: Final = 1.25
"""Most that a workspace may use beyond the capacity of engines, relative to the median of its
rank."""
URGENT_STRETCH: Final = 1.5
"""Use relative to its share from which short prompts of a workspace are refused, too.  They take a
tenth of the engines' time, so refusing the longer ones first frees more."""
MIN_RANK_RATIO: Final = 0.05
"""Fraction of the engines' time that a rank is given if more urgent ones leave less."""
REFUSAL_GAIN: Final = 4.0
"""Fraction of requests refused for each unit of use above the share: a workspace at 1.25 times its
share is refused as many as possible."""
MIN_ADMITTED: Final = 0.05
"""Least fraction of a workspace's requests that is admitted, so that none starves."""
RAISED_RATIO: Final = 0.07
"""Fraction of the requests of a starving class that is sent as most urgent.  A twentieth must be
served, and some are sent before it shows that the class starves."""
TURN_S: Final = 60.0
"""Time in which each request has a turn.  Callers return within seconds, so only a tenth of those
refused do so in their turn; these must fit into the share."""
TURN_MARGIN_S: Final = 0.5
"""How long after the start of its turn a caller is told to return, as clocks of boxes differ."""
MIN_RETRY_S: Final = 0.2


class AdmissionRequest(NamedTuple):
    """A request to decide on; times in seconds.

    `rank` is the rank of its workspace (0 first); `short_prompt` tells whether its prompt is short
    (`ramppost.policy.urgency`).  `first_token_s` is the least predicted time to
    its first token at the engines that were asked, or None if any figure lacks the prompts of other
    gateways.  `left_s` is the time left until its deadline.
    """

    workspace: str
    rank: int
    short_prompt: bool
    fingerprint: str
    objective_s: float
    left_s: float
    first_token_s: float | None

    @property
    def short_from_s(self) -> float:
        """The median wait from which its service counts as short."""
        return SHORT_OBJECTIVE_RATIO * self.objective_s


class Inputs(NamedTuple):
    """What a refusal is based on, for the log; `share` and `fair_share` are fractions of the time
    of the sampled engines, and 0 if they did not matter."""

    request: AdmissionRequest
    shortage: Shortage | None
    share: float
    fair_share: float
    admitted_ratio: float


class Admit(NamedTuple):
    """The request is sent; `raised` if it is to be sent as one of the most urgent."""

    raised: bool = False


class Reject(NamedTuple):
    """The request is refused: `reason` is `deadline` or `share`."""

    reason: str
    retry_after_s: float
    inputs: Inputs


class FairAdmission:
    """The admission rules with the configured weights; workspaces without one have 1."""

    def __init__(self, weights: Mapping[str, float]) -> None:
        self.weights = weights

    def decide(
        self,
        request: AdmissionRequest,
        shortage: Shortage | None,
        use: SampledUse,
        ranks: Mapping[str, int],
        time_of_day: float,
        rng: random.Random,
    ) -> Admit | Reject:
        """Decide on a request that has not been sent to any upstream.

        `ranks` are the ranks of all workspaces; `time_of_day` is in seconds since 1970.
        """
        is_short = shortage is not None and shortage.wait_s > request.short_from_s
        if shortage is not None and is_short:
            is_starved = _is_starved(request, use, ranks, shortage.wait_s)
            if is_starved and _is_raised(request, time_of_day):
                return Admit(raised=True)
        first_token_s = request.first_token_s
        if first_token_s is not None and first_token_s > request.left_s:
            inputs = Inputs(request, shortage, 0.0, 0.0, 0.0)
            return Reject("deadline", _drained_after_s(first_token_s, rng), inputs)
        if shortage is None or not is_short:
            return Admit()
        used_s = _use_of(request.workspace, use)
        fair_s = self._fair_share_s(request, use, ranks, shortage.wait_s)
        admitted = admitted_ratio(used_s, fair_s)
        position = turn_position(request.fingerprint, time_of_day)
        if position < admitted:
            return Admit()
        total_s = use.engines * USE_WINDOW_S
        inputs = Inputs(request, shortage, used_s / total_s, fair_s / total_s, admitted)
        return Reject("share", (1 - position) * TURN_S + TURN_MARGIN_S, inputs)

    def _fair_share_s(
        self,
        request: AdmissionRequest,
        use: SampledUse,
        ranks: Mapping[str, int],
        wait_s: float,
    ) -> float:
        """Prefill seconds that the request's workspace may send in the use window."""
        total_s = use.engines * USE_WINDOW_S
        more_urgent_s = _more_urgent_s(request, use, ranks)
        same_rank = {
            name: used_s
            for name, used_s in use.by_workspace.items()
            if ranks.get(name, 0) == request.rank
        }
        same_rank[request.workspace] = _use_of(request.workspace, use)

        def share_of(capacity: float) -> float:
            rank_s = max(MIN_RANK_RATIO * total_s, capacity * total_s - more_urgent_s)
            return fair_unit(same_rank, self.weights, rank_s)

        given = capacity_given(wait_s / request.objective_s)
        lasting = share_of(max(MIN_CAPACITY, given - BURST_CAPACITY))
        unit_s = min(share_of(given), max(lasting, burst_unit(same_rank, self.weights)))
        stretch = URGENT_STRETCH if request.short_prompt else 1.0
        return self.weights.get(request.workspace, 1.0) * unit_s * stretch


def burst_unit(used: Mapping[str, float], weights: Mapping[str, float]) -> float:
    """What a weight of 1 may use beyond the capacity of engines, in a burst: little more than half
    of the workspaces do, so that one alone can't fill the queues.

    >>> burst_unit({"a": 1.0, "b": 1.2, "c": 9.0}, {})
    1.5
    """
    by_weight = [used_s / weights.get(name, 1.0) for name, used_s in used.items()]
    return MAX_MEDIAN_RATIO * statistics.median(by_weight) if by_weight else float("inf")


def capacity_given(wait_ratio: float) -> float:
    """The work to give engines, as a multiple of what they read, by the wait as a fraction of the
    objective.

    >>> [round(capacity_given(ratio), 2) for ratio in (0.25, 0.65, 0.85, 3.0)]
    [2.0, 1.0, 0.5, 0.4]
    """
    slope = (MAX_CAPACITY - 1) / (FULL_CAPACITY_RATIO - SHORT_OBJECTIVE_RATIO)
    return max(MIN_CAPACITY, 1 + slope * (FULL_CAPACITY_RATIO - wait_ratio))


def admitted_ratio(used_s: float, fair_s: float) -> float:
    """The fraction of requests to admit that brings a workspace to its share.

    >>> [round(admitted_ratio(used_s, 2.0), 2) for used_s in (1.0, 2.0, 2.2, 3.0)]
    [1.0, 1.0, 0.6, 0.05]
    """
    if used_s <= fair_s:
        return 1.0
    return max(MIN_ADMITTED, 1 - REFUSAL_GAIN * (used_s / fair_s - 1))


def fair_unit(used: Mapping[str, float], weights: Mapping[str, float], capacity_s: float) -> float:
    """The fair share of a weight of 1; infinite if all use fits into the capacity.

    Workspaces that use less than their share leave the rest to the others.

    >>> fair_unit({"a": 1.0, "b": 4.0, "c": 9.0}, {"c": 2.0}, 10.0)
    3.0
    >>> fair_unit({"a": 1.0}, {}, 10.0)
    inf
    """
    left_s = capacity_s
    weight = sum(weights.get(name, 1.0) for name in used)
    by_need = sorted(used, key=lambda name: used[name] / weights.get(name, 1.0))
    for name in by_need:
        own_weight = weights.get(name, 1.0)
        if used[name] / own_weight > left_s / weight:
            return left_s / weight
        left_s -= used[name]
        weight -= own_weight
    return float("inf")


def turn_position(fingerprint: str, time_of_day: float) -> float:
    """How far the turn of a request has passed: 0 at its start, 1 at the next.

    >>> position = turn_position("ab12", 1000.0)
    >>> round(turn_position("ab12", 1000.0 + (1 - position) * TURN_S), 6) % 1
    0.0
    """
    return (time_of_day / TURN_S - hash_fraction("turn", fingerprint)) % 1.0


def _use_of(workspace: str, use: SampledUse) -> float:
    """What a workspace has sent; at most the least that is reported if keepers report no more
    workspaces."""
    if workspace not in use.by_workspace and len(use.by_workspace) >= MAX_REPORTED:
        return min(use.by_workspace.values())
    return use.by_workspace.get(workspace, 0.0)


def _more_urgent_s(request: AdmissionRequest, use: SampledUse, ranks: Mapping[str, int]) -> float:
    """Prefill seconds that more urgent ranks have sent."""
    used = use.by_workspace.items()
    return sum(used_s for name, used_s in used if ranks.get(name, 0) < request.rank)


def _is_starved(
    request: AdmissionRequest, use: SampledUse, ranks: Mapping[str, int], wait_s: float
) -> bool:
    """Whether requests of this level are served late or not at all: more urgent ones that arrive
    later overtake them, which the present wait does not show."""
    left_s = use.engines * USE_WINDOW_S * (1 - MIN_RANK_RATIO)
    return wait_s > request.objective_s or _more_urgent_s(request, use, ranks) > left_s > 0


def _is_raised(request: AdmissionRequest, time_of_day: float) -> bool:
    """Whether a request is among the few that are served although more urgent ones take all
    engines.  Repeating it does not change that until the next turn."""
    turn = str(int(time_of_day // TURN_S))
    return hash_fraction("raised", request.fingerprint, turn) < RAISED_RATIO


def _drained_after_s(excess_s: float, rng: random.Random) -> float:
    """When to return after a wait has drained: engines drain a second of it in a second.

    Callers are spread over the same time again.
    """
    return max(MIN_RETRY_S, excess_s) * (1 + rng.random())
