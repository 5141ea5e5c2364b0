"""Judges a version during its roll-out by the evidence of all gateways.

No I/O.  Each gateway counts how attempts at the new version ended, by upstream and route, and how
those at the versions in service did in the same time, and tells the others; `EvidencePool` adds up
what all tell.  Each answer of the new version has a log likelihood ratio: how much likelier it is
of a version that fails or slows a share of its answers than of one that is like those in service.
As the share is not known, likelihood ratios are averaged over a few.

A sequential test of the sums withdraws the version, for all routes together, for the latest answers
or for one route, where the bound is the higher the more tests there are.  At the end of a roll-out
a version is trusted only if the answers on all routes speak for it.  A sound version may run on a
box that fails or slows all its answers.  Therefore an upstream counts by its likelihood ratio to a
null hypothesis that includes this, and none decides alone; where answers are slow, so does a
gateway, which may be in trouble itself.

    pool = EvidencePool()
    pool.put("gateway-1", Source("engine-7", "chat"), Counts(failures=1, answers=1))
    judgement = pool.judge(trial_upstreams=4)
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Collection
from typing import Final, Literal, NamedTuple, TypeVar

from ramppost.policy.slowness import (
    LEVELS,
    MOVED_TAILS,
    SLOW_LEVEL,
    LevelWeights,
    level_weights,
    log_ratio,
    sound_tails,
)

BAD_SHARES: Final = (0.15, 0.35, 0.6)
"""Shares of failed or slow answers of a bad version, each as likely as the others."""
TYPICAL_SHARE: Final = 1
"""Index of the share by which a single upstream is judged."""
MIN_ERROR_SHARE: Final = 0.01
MAX_ERROR_SHARE: Final = 0.95
ERROR_DEVIATIONS: Final = 0.5
"""Standard deviations that are added to failures of the versions in service: a few by chance would
else make a sound version look bad on a route that fails often."""
ERROR_PRIOR_WEIGHT: Final = 10.0
"""Number of answers that the share of the service, or the least one, counts as."""
MIN_ROUTE_ANSWERS: Final = 8
"""Answers of the versions in service on a route from which those of a new version are compared."""
UPSTREAM_TROUBLE_SHARE: Final = 0.08
"""Probability that an upstream of a sound version is in trouble by itself."""
GATEWAY_TROUBLE_SHARE: Final = 0.015
"""Probability that all upstreams seem slow to a gateway that is in trouble itself."""
WITHDRAW_BOUND: Final = math.log(55)
"""Odds for a bad version from which it is withdrawn."""
SINGLE_UPSTREAM_BOUND: Final = math.log(1000)
"""The same for a version with one upstream, whose box may be in trouble."""
MIN_BAD_ANSWERS: Final = 3
SUSPECT_BOUND: Final = math.log(20)
"""Odds from which an upstream answers badly, for whatever reason."""
DOUBT_BOUND: Final = math.log(4)
"""Odds for a bad version from which it is not completed."""
TRUST_BOUND: Final = math.log(1.5)
"""Odds for a sound version from which it may be completed."""
ALONE_TRUST_BOUND: Final = math.log(20)
"""The same for a gateway that does not hear most others: these may know better."""
MIN_DOUBTFUL_ANSWERS: Final = 2
MIN_TRUSTED_ANSWERS: Final = 4
MIN_ROUTE_SHARE: Final = 0.1
"""Part of a service's answers from which a route must be known to be sound by itself."""
MIN_ANSWERS_OF_ROUTE: Final = 3
MIN_ROUTE_VALUE: Final = 0.5
"""How much an answer of such a route tells at least, 0 to 1."""
ROUTE_DOUBT_BOUND: Final = math.log(2)
"""Odds for a bad version on such a route from which the answers on others don't vouch for it."""
MARK_INTERVAL_S: Final = 0.5
LATE_ANSWERS: Final = (8, 16)
"""Latest answers that are judged by themselves, at least: a version may turn bad late, when many
sound answers are known of it."""
LATE_TESTS: Final = 1 + len(LATE_ANSWERS)
MAX_MARKS: Final = 128
MAX_GATEWAYS: Final = 1024
MAX_SOURCES: Final = 16_384
"""Sources of which evidence is kept."""

Symptom = Literal["failed", "slow"]
SYMPTOMS: Final[tuple[Symptom, ...]] = ("failed", "slow")
NO_LEVELS: Final = (0.0,) * LEVELS
Key = TypeVar("Key")


class Source(NamedTuple):
    """Where answers come from; `upstream` is empty for all of the versions in service.

    `has_moved` tells that the answers are to prompts sent when the share of the new version had
    begun to grow, and no cache of it was warm.  `is_recent` tells of answers of the versions in
    service that those of the last seconds count most.
    """

    upstream: str
    route: str
    has_moved: bool = False
    is_recent: bool = False


class Counts(NamedTuple):
    """Numbers of answers.

    `answers` have begun, `failures` of them as failed.  `levels` is how many were how slow, and
    `reached` how many run, or were given up before they began, that had come to a slow level.
    """

    failures: float = 0.0
    answers: float = 0.0
    levels: tuple[float, ...] = NO_LEVELS
    reached: tuple[float, ...] = NO_LEVELS

    def plus(self, other: Counts, factor: float = 1.0) -> Counts:
        """The sum with a multiple of others."""
        return Counts(
            self.failures + factor * other.failures,
            self.answers + factor * other.answers,
            tuple(a + factor * b for a, b in zip(self.levels, other.levels, strict=True)),
            tuple(a + factor * b for a, b in zip(self.reached, other.reached, strict=True)),
        )

    def without_negatives(self) -> Counts:
        """The same, with nothing below 0."""
        return Counts(
            max(0.0, self.failures),
            max(0.0, self.answers),
            tuple(max(0.0, count) for count in self.levels),
            tuple(max(0.0, count) for count in self.reached),
        )

    @property
    def slow(self) -> float:
        """Answers that are slow."""
        return sum(self.levels[SLOW_LEVEL:]) + sum(self.reached)

    @property
    def all_levels(self) -> tuple[float, ...]:
        """Answers by the level that they have come to at least."""
        return tuple(a + b for a, b in zip(self.levels, self.reached, strict=True))


NO_COUNTS: Final = Counts()


def at_level(level: int) -> tuple[float, ...]:
    """One answer at a level.

    >>> at_level(1)
    (0.0, 1.0, 0.0, 0.0, 0.0)
    """
    return tuple(float(level == other) for other in range(LEVELS))


class Judgement(NamedTuple):
    """What the evidence of all gateways says.

    `bad` is why the version must be withdrawn, and `doubt` why it must not be completed; empty
    where nothing speaks for that.  `is_trusted` tells that enough answers speak for the version,
    and `is_trusted_alone` that they do even if what others know is missing.  `answers` is the
    number of answers that have begun.  `unsure_route` is a route of which too few are known for
    that, or whose failures speak against it, if there is one.  `worst` is the strongest evidence,
    and `excess` by how much its log odds exceed the bound.  `suspects` are upstreams that answer
    badly: either the version is bad, or they are in trouble by themselves, which the others can
    tell.
    """

    bad: str
    doubt: str
    is_trusted: bool
    is_trusted_alone: bool
    log_odds: float
    answers: int
    unsure_route: str
    worst: str
    excess: float
    suspects: frozenset[str]


class RouteAnswers(NamedTuple):
    """Answers of the new version on a route: how many have begun, how many of these failed, and how
    many are slow, begun or not."""

    answers: float = 0.0
    failures: float = 0.0
    slow: float = 0.0


class _Finding(NamedTuple):
    """Evidence for a symptom: its log odds, and by how much they exceed the bound from which a
    version is withdrawn, and that from which it is not completed."""

    excess: float
    doubt: float
    log_odds: float
    bad_answers: float
    answers: float
    reason: str
    route: str
    symptom: Symptom


class _RouteWeights(NamedTuple):
    """Log likelihood ratios of the answers on a route."""

    failed: float
    not_failed: float
    levels: LevelWeights
    moved_levels: LevelWeights

    def weigh(self, source: Source, counts: Counts, symptom: Symptom) -> float:
        """The sum for some answers."""
        if symptom == "failed":
            succeeded = counts.answers - counts.failures
            return counts.failures * self.failed + succeeded * self.not_failed
        levels = self.moved_levels if source.has_moved else self.levels
        return _dot(counts.levels, levels.ended) + _dot(counts.reached, levels.reached)


class _SoundAnswers(NamedTuple):
    """How the answers of a sound version on a route are: the share that fails, and that at each
    level of slowness or above."""

    error_share: float
    tails: list[float]

    def weights(self, bad_share: float) -> _RouteWeights:
        """What answers say if a bad version has such a share of bad ones."""
        moved_tails = [max(of) for of in zip(self.tails, MOVED_TAILS, strict=True)]
        return _RouteWeights(
            log_ratio(1.0, self.error_share, bad_share),
            log_ratio(0.0, 1 - self.error_share, bad_share),
            level_weights(self.tails, bad_share),
            level_weights(moved_tails, bad_share),
        )


class _NewAnswers(NamedTuple):
    """Answers of the new version, as sums over all gateways and over all upstreams."""

    by_upstream: dict[Source, Counts]
    by_gateway: dict[tuple[str, Source], Counts]

    def on_routes(self, routes: Collection[str]) -> _NewAnswers:
        """Those on some routes."""
        return _NewAnswers(
            {s: c for s, c in self.by_upstream.items() if s.route in routes},
            {key: c for key, c in self.by_gateway.items() if key[1].route in routes},
        )

    def since(self, earlier: _NewAnswers) -> _NewAnswers:
        """Those that have come since."""
        return _NewAnswers(
            _difference(self.by_upstream, earlier.by_upstream),
            _difference(self.by_gateway, earlier.by_gateway),
        )


class _Mark(NamedTuple):
    """What was known at a moment (steady clock)."""

    at: float
    answers: float
    new: _NewAnswers


class EvidencePool:
    """The evidence on a version, as all gateways have told it."""

    def __init__(self) -> None:
        self._told: dict[str, dict[Source, Counts]] = {}
        """What each gateway told last."""
        self._by_upstream: dict[Source, Counts] = {}
        """Sums of all gateways; those of the versions in service have an empty upstream."""
        self._by_gateway: dict[tuple[str, Source], Counts] = {}
        """Sums of all upstreams of the new version, by gateway."""
        self._marks: deque[_Mark] = deque(maxlen=MAX_MARKS)
        """What was known at a few moments, from which the latest parts are told apart."""

    def mark(self, now: float) -> None:
        """Note what is known now; to be called now and then."""
        if self._marks and now - self._marks[-1].at < MARK_INTERVAL_S:
            return
        answers = self._answers()
        self._marks.append(_Mark(now, answers, self._new_answers()))
        while len(self._marks) > 1 and self._marks[1].answers <= answers - max(LATE_ANSWERS):
            self._marks.popleft()

    def put(self, gateway: str, source: Source, counts: Counts) -> None:
        """Replace what a gateway has told of a source."""
        if gateway not in self._told and len(self._told) >= MAX_GATEWAYS:
            return
        if source not in self._by_upstream and len(self._by_upstream) >= MAX_SOURCES:
            return
        told = self._told.setdefault(gateway, {})
        change = counts.plus(told.get(source, NO_COUNTS), -1)
        told[source] = counts
        self._by_upstream[source] = self._by_upstream.get(source, NO_COUNTS).plus(change)
        if source.upstream:
            key = (gateway, source._replace(upstream=""))
            self._by_gateway[key] = self._by_gateway.get(key, NO_COUNTS).plus(change)

    @property
    def gateways(self) -> int:
        """Number of gateways, by their starts, that have told something."""
        return len(self._told)

    def value_by_route(self) -> dict[str, float]:
        """How much an answer of each route tells, 0 to 1: nothing where the versions in service
        fail half of the time or more, or too little is known."""
        return {
            source.route: max(0.0, 1 - 2 * counts.failures / counts.answers)
            for source, counts in self._by_upstream.items()
            if not source.upstream and not source.is_recent and counts.answers >= MIN_ROUTE_ANSWERS
        }

    def answers_by_route(self) -> dict[str, RouteAnswers]:
        """How the new version has answered so far, by route."""
        found: dict[str, RouteAnswers] = {}
        for source, counts in self._new_answers().by_upstream.items():
            known = found.get(source.route, RouteAnswers())
            found[source.route] = RouteAnswers(
                known.answers + counts.answers,
                known.failures + counts.failures,
                known.slow + counts.slow,
            )
        return found

    def judge(self, trial_upstreams: int) -> Judgement:
        """Judge the version, which runs on so many upstreams."""
        sound = self._sound_answers()
        new = self._new_answers().on_routes(sound)
        weights = [
            {route: answers.weights(share) for route, answers in sound.items()}
            for share in BAD_SHARES
        ]
        scopes = [_Scope(new, "", 1), *self._late_scopes(new, sound), *_route_scopes(new)]
        is_single = trial_upstreams <= 1
        findings = [
            _finding(scope, weights, symptom, is_single)
            for scope in scopes
            for symptom in scope.symptoms
        ]
        worst = max(findings)
        for_trust = self._findings_for_trust(findings[: len(SYMPTOMS)], is_single)
        on_all_routes = max(found.log_odds for found in for_trust)
        is_bad = worst.excess >= 0 and worst.bad_answers >= MIN_BAD_ANSWERS
        doubts = [
            found
            for found in findings
            if found.doubt >= 0 and found.bad_answers >= MIN_DOUBTFUL_ANSWERS
        ]
        has_answers = self._answers() >= MIN_TRUSTED_ANSWERS
        return Judgement(
            worst.reason if is_bad else "",
            max(doubts, key=lambda found: found.doubt).reason if doubts else "",
            has_answers and on_all_routes <= -TRUST_BOUND,
            has_answers and on_all_routes <= -ALONE_TRUST_BOUND,
            on_all_routes,
            round(self._answers()),
            self._unseen_route() or _doubtful_route(findings, self._telling_routes()),
            worst.reason,
            worst.excess,
            _suspects(new, weights[TYPICAL_SHARE]),
        )

    def _telling_routes(self) -> list[str]:
        """The routes that have a good part of all answers of the versions in service, and whose
        answers tell something."""
        values = self.value_by_route()
        in_service = {
            source.route: counts.answers
            for source, counts in self._by_upstream.items()
            if not source.upstream and not source.is_recent
        }
        least = MIN_ROUTE_SHARE * sum(in_service.values())
        return [
            route
            for route, answers in in_service.items()
            if answers >= least and values.get(route, 0.0) >= MIN_ROUTE_VALUE
        ]

    def _unseen_route(self) -> str:
        """The telling route with the fewest answers of the new version; empty if it has enough."""
        new = self.answers_by_route()
        seen = {
            route: new[route].answers if route in new else 0.0 for route in self._telling_routes()
        }
        route = min(seen, key=lambda name: seen[name], default="")
        return route if route and seen[route] < MIN_ANSWERS_OF_ROUTE else ""

    def _findings_for_trust(
        self, on_known_routes: list[_Finding], is_single: bool
    ) -> list[_Finding]:
        """The evidence on all routes together.  Where next to nothing is known of the versions in
        service, as after all gateways have been restarted, failures are compared with what is least
        expected of any version; how long an answer should take is not known then."""
        new = self._new_answers()
        if on_known_routes[0].answers >= min(MIN_TRUSTED_ANSWERS, self._answers()):
            return on_known_routes
        least = _sound_on_route(NO_COUNTS, NO_COUNTS, NO_COUNTS)
        routes = {source.route for source in new.by_upstream}
        weights = [dict.fromkeys(routes, least.weights(share)) for share in BAD_SHARES]
        return [_finding(_Scope(new, "", 1), weights, "failed", is_single)]

    def _answers(self) -> float:
        """Number of answers of the new version that have begun."""
        return sum(c.answers for s, c in self._by_upstream.items() if s.upstream)

    def _new_answers(self) -> _NewAnswers:
        by_upstream = {s: c for s, c in self._by_upstream.items() if s.upstream}
        return _NewAnswers(by_upstream, dict(self._by_gateway))

    def _late_scopes(self, new: _NewAnswers, routes: Collection[str]) -> list[_Scope]:
        """The latest parts of the evidence, each by itself."""
        answers, scopes = self._answers(), []
        for latest in LATE_ANSWERS:
            marks = [mark for mark in self._marks if 0 < mark.answers <= answers - latest]
            if marks:
                lately = new.since(marks[-1].new.on_routes(routes))
                scopes.append(_Scope(lately, "", LATE_TESTS, ("failed",)))
        return scopes

    def _sound_answers(self) -> dict[str, _SoundAnswers]:
        """How answers of a sound version are, by route; without those on which too little is
        known."""
        in_service = [(s, c) for s, c in self._by_upstream.items() if not s.upstream]
        usual = {source.route: counts for source, counts in in_service if not source.is_recent}
        recent = {source.route: counts for source, counts in in_service if source.is_recent}
        all_counts = NO_COUNTS
        for counts in usual.values():
            all_counts = all_counts.plus(counts)
        return {
            route: _sound_on_route(counts, all_counts, recent.get(route, NO_COUNTS))
            for route, counts in usual.items()
            if counts.answers >= MIN_ROUTE_ANSWERS
        }


def _doubtful_route(findings: list[_Finding], routes: Collection[str]) -> str:
    """Of some routes, that on which failures speak most against the version, if they do."""
    on_routes = [f for f in findings if f.route in routes and f.symptom == "failed"]
    worst = max(on_routes, key=lambda found: found.log_odds, default=None)
    return worst.route if worst is not None and worst.log_odds > ROUTE_DOUBT_BOUND else ""


class _Scope(NamedTuple):
    """Answers that are judged together: those on one route, or on all if it is empty; `tests` is
    how many scopes of the kind there are."""

    answers: _NewAnswers
    route: str
    tests: int
    symptoms: tuple[Symptom, ...] = SYMPTOMS


def _route_scopes(new: _NewAnswers) -> list[_Scope]:
    """The answers of each route, if there are several routes."""
    routes = sorted({source.route for source in new.by_upstream})
    if len(routes) <= 1:
        return []
    tested = [route for route in routes if _can_be_bad(new.by_upstream, route)]
    return [_Scope(new.on_routes((route,)), route, len(tested)) for route in tested]


def _finding(
    scope: _Scope, weights: list[dict[str, _RouteWeights]], symptom: Symptom, is_single: bool
) -> _Finding:
    """The evidence for a symptom; `weights` are those of each share of bad answers."""
    log_odds = _log_mean_exp(
        [_log_odds(scope.answers, of_share, symptom, is_single) for of_share in weights]
    )
    bound = SINGLE_UPSTREAM_BOUND if is_single else WITHDRAW_BOUND
    bound += math.log(scope.tests)
    doubt_bound = DOUBT_BOUND + bound - WITHDRAW_BOUND
    found = scope.answers.by_upstream.values()
    bad = sum(c.failures if symptom == "failed" else c.slow for c in found)
    answers = sum(counts.answers for counts in found)
    where = f" on {scope.route}" if scope.route else ""
    reason = f"{bad:.0f} answers {symptom}{where}, {answers:.0f} ended"
    excess, doubt = log_odds - bound, log_odds - doubt_bound
    return _Finding(excess, doubt, log_odds, bad, answers, reason, scope.route, symptom)


def _log_odds(
    answers: _NewAnswers, weights: dict[str, _RouteWeights], symptom: Symptom, is_single: bool
) -> float:
    """Log likelihood ratio of some answers for a symptom."""
    by_upstream: dict[str, float] = {}
    for source, counts in answers.by_upstream.items():
        weight = weights[source.route].weigh(source, counts, symptom)
        by_upstream[source.upstream] = by_upstream.get(source.upstream, 0.0) + weight
    if is_single:
        return sum(by_upstream.values())
    log_odds = _discounted_sum(by_upstream, UPSTREAM_TROUBLE_SHARE)
    if symptom == "failed":
        return log_odds
    by_gateway: dict[str, float] = {}
    for (gateway, source), counts in answers.by_gateway.items():
        weight = weights[source.route].weigh(source, counts, symptom)
        by_gateway[gateway] = by_gateway.get(gateway, 0.0) + weight
    return min(log_odds, _discounted_sum(by_gateway, GATEWAY_TROUBLE_SHARE))


def _suspects(new: _NewAnswers, weights: dict[str, _RouteWeights]) -> frozenset[str]:
    """Upstreams that answer badly."""
    sums: dict[tuple[str, Symptom], float] = {}
    for source, counts in new.by_upstream.items():
        for symptom in SYMPTOMS:
            key = (source.upstream, symptom)
            weight = weights[source.route].weigh(source, counts, symptom)
            sums[key] = sums.get(key, 0.0) + weight
    return frozenset(upstream for (upstream, _), odds in sums.items() if odds >= SUSPECT_BOUND)


def _difference(now: dict[Key, Counts], before: dict[Key, Counts]) -> dict[Key, Counts]:
    """Counts that have been added; what was taken back since counts as nothing."""
    found = {}
    for key, counts in now.items():
        added = counts.plus(before.get(key, NO_COUNTS), -1).without_negatives()
        if added != NO_COUNTS:
            found[key] = added
    return found


def _can_be_bad(new: dict[Source, Counts], route: str) -> bool:
    """Whether there are enough answers on a route to find a version bad there."""
    seen = sum(c.answers + sum(c.reached) for s, c in new.items() if s.route == route)
    return seen >= MIN_BAD_ANSWERS


def _sound_on_route(route: Counts, all_routes: Counts, recent: Counts) -> _SoundAnswers:
    """How answers of a sound version on a route are, given those of the versions in service.

    What has come over these in the last seconds may have come over the new version as well.
    """
    usual = _error_share(route, _error_share(all_routes, MIN_ERROR_SHARE))
    share = max(MIN_ERROR_SHARE, usual, _error_share(recent, usual))
    levels = (route.all_levels, all_routes.all_levels, recent.all_levels)
    return _SoundAnswers(share, sound_tails(*levels))


def _error_share(counts: Counts, usual: float) -> float:
    """Share of answers that fail, at the upper end of what may well be."""
    seen = max(0.0, counts.failures)
    failures = seen + ERROR_DEVIATIONS * math.sqrt(seen) + ERROR_PRIOR_WEIGHT * usual
    return min(MAX_ERROR_SHARE, failures / (counts.answers + ERROR_PRIOR_WEIGHT))


def _log_mean_exp(log_ratios: list[float]) -> float:
    """Logarithm of the mean of likelihood ratios.

    >>> round(_log_mean_exp([0.0, math.log(3.0)]), 2) == round(math.log(2.0), 2)
    True
    """
    highest = max(log_ratios)
    mean = sum(math.exp(each - highest) for each in log_ratios) / len(log_ratios)
    return highest + math.log(mean)


def _dot(counts: tuple[float, ...], weights: tuple[float, ...]) -> float:
    return sum(count * weight for count, weight in zip(counts, weights, strict=True))


def _discounted_sum(by_source: dict[str, float], trouble_share: float) -> float:
    """Sum of the evidence by source, where each may be in trouble by itself."""
    return sum(_discounted(log_odds, trouble_share) for log_odds in by_source.values())


def _discounted(log_odds: float, trouble_share: float) -> float:
    """Log likelihood ratio to the null hypothesis that the source is sound, or with probability
    `trouble_share` in trouble by itself.

    >>> [round(_discounted(odds, 0.1), 2) for odds in (-2.0, 2.0, 9e3)]
    [-1.91, 1.51, 2.3]
    """
    if log_odds < 0:
        return log_odds - math.log(1 - trouble_share + trouble_share * math.exp(log_odds))
    return -math.log((1 - trouble_share) * math.exp(-log_odds) + trouble_share)
