"""Which plain upstream gets a request, and what happens while all are full.

Guards against requests sent to slow or full upstreams that had said so, and against refusals while
slots were free.
"""

from __future__ import annotations

import random

import curio
import pytest

from ramppost import clock
from ramppost.errors import Refusal
from ramppost.gateway.admit import Admitted
from ramppost.gateway.full import hold_while_full
from ramppost.gateway.job import Job
from ramppost.gateway.model import Upstream
from ramppost.gateway.state import Gateway
from ramppost.platform import names
from ramppost.platform.headers import answer_head, caller_request
from ramppost.policy.placement import CROSS_HALL_PENALTY_S, FAILURE_PENALTY_S, SCORE_JITTER
from ramppost.policy.plain import (
    HeldRequest,
    Hold,
    PlainUpstreamView,
    Reject,
    Send,
    decide_full,
    rank_plain_upstreams,
)
from tests.harness.gateways import ONCE, SITE
from tests.harness.plain_replay import OBJECTIVE_S, Replay
from tests.test_warmup import gateway

FREE = PlainUpstreamView("a", "here", 0.0, 0.045, 0.0, slots=6)
FULL = FREE._replace(others=6, report_age_s=0.01)
REQUEST = HeldRequest(0.218, 0.218, 1.6, held_s=0.0, ahead=0, refused=False)


def decide(*views: PlainUpstreamView, **request: float) -> Send | Hold | Reject:
    return decide_full(views, REQUEST._replace(**request), random.Random(1))  # type: ignore[arg-type]


# --- ranking


@pytest.mark.parametrize(
    "worse",
    [
        {"latency_s": 0.2},
        {"load": 4.0},
        {"failure_rate": 0.5},
        {"pace": 2.5},
        {"others": 12, "report_age_s": 0.0},
    ],
)
def test_a_worse_plain_upstream_comes_last(worse: dict[str, float]) -> None:
    bad = FREE._replace(id="b", **worse)  # type: ignore[arg-type]
    assert rank_plain_upstreams([bad, FREE], "here", random.Random(1)) == ["a", "b"]


def usual_order(views: list[PlainUpstreamView], rng: random.Random) -> list[str]:
    """The order by latency, the gateway's own requests, halls and failures."""

    def score_s(view: PlainUpstreamView) -> float:
        hall_penalty_s = 0.0 if view.hall == "here" else CROSS_HALL_PENALTY_S
        expected_s = (
            view.latency_s * (1 + view.load)
            + hall_penalty_s
            + view.failure_rate * FAILURE_PENALTY_S
        )
        return expected_s * rng.uniform(1 - SCORE_JITTER, 1 + SCORE_JITTER)

    return [view.id for view in sorted(views, key=score_s)]


@pytest.mark.parametrize("reports", [False, True])
def test_order_is_the_usual_one_unless_reports_call_for_another(reports: bool) -> None:
    """Deployments whose upstreams report nothing, or free slots and no pace, must not change."""
    rng = random.Random(3)
    for seed in range(300):
        views = []
        for number in range(5):
            own = rng.randrange(6)
            latency_s = rng.uniform(0.02, 0.06)
            hall = rng.choice(("here", "there"))
            view = PlainUpstreamView(f"u{number}", hall, own / 6, latency_s, rng.random(), own=own)
            view = view._replace(slots=12)
            views.append(view._replace(others=5, report_age_s=0.1) if reports else view)
        expected = usual_order(views, random.Random(seed))
        for needs_slot in (False, True):
            assert rank_plain_upstreams(views, "here", random.Random(seed), needs_slot) == expected


def test_request_that_may_run_once_goes_to_a_free_slot() -> None:
    """It can't be sent elsewhere while it waits for a slot."""
    slow = FREE._replace(id="slow", pace=3.0)
    assert rank_plain_upstreams([slow, FULL], "here", random.Random(1)) == ["a", "slow"]
    assert rank_plain_upstreams([slow, FULL], "here", random.Random(1), True) == ["slow", "a"]


def test_old_report_counts_only_by_what_can_not_have_ended() -> None:
    assert FULL._replace(report_age_s=0.4).known_full
    assert not FULL._replace(report_age_s=0.6).known_full
    assert FULL._replace(report_age_s=0.6, others=200).known_full
    assert not FULL._replace(report_age_s=1.1, others=2000).known_full


# --- while all are full


def test_request_is_sent_in_doubt() -> None:
    """An upstream with no or an old report may have a free slot."""
    assert decide() == Send()
    assert decide(FULL, FREE) == Send()
    assert decide(FULL, FULL._replace(report_age_s=0.6)) == Send()


def test_request_is_held_until_a_slot_is_free() -> None:
    held = decide(FULL)
    assert isinstance(held, Hold) and held.seconds == pytest.approx(0.045 / 6)
    later = decide(FULL, FULL, ahead=3)
    assert isinstance(later, Hold) and later.seconds == pytest.approx(4 * 0.045 / 12)


def test_request_that_was_held_as_long_as_allowed() -> None:
    """The first in the queue is sent once more unless all upstreams have just been full."""
    assert decide(FULL, held_s=0.02) == Send()
    assert isinstance(decide(FULL, held_s=0.02, ahead=1), Reject)
    assert isinstance(decide(FULL, held_s=0.02, refused=True), Reject)
    assert decide(FULL._replace(report_age_s=0.1), held_s=0.02, refused=True) == Send()
    assert isinstance(decide(FULL._replace(report_age_s=0.1), held_s=0.022, refused=True), Reject)
    assert decide(FULL, deadline_left_s=0.04) == Send()


def test_queue_of_upstreams_decides_by_the_time_it_takes() -> None:
    assert decide(FULL._replace(others=10)) == Send()
    rejected = decide(FULL._replace(others=40))
    assert isinstance(rejected, Reject) and 0.2 < rejected.retry_after_s < 0.7
    assert decide(FULL._replace(others=40), objective_left_s=-1.0) == Send()


def full_service(
    monkeypatch: pytest.MonkeyPatch, report: bytes
) -> tuple[Gateway, Job, list[float]]:
    """A gateway with one upstream that has just reported, a request for it, and its sleeps."""
    now = [1000.0]
    sleeps: list[float] = []

    async def sleep(seconds: float) -> None:
        sleeps.append(seconds)
        now[0] += seconds

    monkeypatch.setattr(clock, "now", lambda: now[0])
    monkeypatch.setattr(curio, "sleep", sleep)
    gw = gateway("g-1", 1, 0.0)
    upstream = Upstream("i-1", "10.0.0.1:80", "web", "bole", "v1", 6, False, 7)
    gw.members.put(upstream)
    head = answer_head(503, ((names.NOT_RUN, b"1"), (names.LOAD, report)))
    gw.connections.observe_head(upstream, head, now[0])
    assert gw.table is not None
    route = next(route for route in gw.table.routes[SITE] if route.prefix == ONCE)
    req = caller_request("POST", ONCE + "x", ((b"host", SITE.encode()),), b"")
    job = Job(req, Admitted(route._replace(objective_s=OBJECTIVE_S), None), now[0])
    job.tried_upstreams.add(upstream.key)
    job.full_upstreams.add(upstream.key)
    return gw, job, sleeps


def test_full_upstream_is_tried_again_after_a_hold(monkeypatch: pytest.MonkeyPatch) -> None:
    gw, job, sleeps = full_service(monkeypatch, b"6,0,6")
    assert curio.run(hold_while_full, gw, job, "web") is None
    assert (len(sleeps), job.tried_upstreams) == (1, set())
    assert sum(sleeps) <= OBJECTIVE_S / 10


def test_refusal_of_a_full_service_is_immediate(monkeypatch: pytest.MonkeyPatch) -> None:
    gw, job, sleeps = full_service(monkeypatch, b"6,60,6")
    refused = curio.run(hold_while_full, gw, job, "web")
    assert isinstance(refused, Refusal) and (refused.code, refused.ran) == ("overloaded", "no")
    assert refused.retry_after_s > 0 and not sleeps


# --- replay of a service of 4 upstreams whose hosts are slow by turns


@pytest.mark.parametrize("queues", [False, True])
@pytest.mark.parametrize(("load", "least_gain"), [(0.6, 0.01), (0.9, 0.04), (1.5, 0.04)])
def test_replay_serves_more_in_time_with_reports(
    load: float, least_gain: float, queues: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Refusals must be quick, and there must be none while half of the slots are free."""
    shares = {}
    refused = []
    for tells in ("nothing", "load", "pace"):
        replay = Replay(6, tells, queues, monkeypatch)
        replay.play(0.5, 1.0)
        ended = replay.play(load, 3.0)
        shares[tells] = replay.served_in_time()
        if tells != "nothing":
            refused += [end for end in ended if end.status != 200]
    assert min(shares["load"], shares["pace"]) - shares["nothing"] >= least_gain
    assert all(end.took_s <= OBJECTIVE_S / 8 for end in refused)
    assert all(end.in_use >= (0.9 if queues else 0.5) for end in refused)


def test_request_was_refused_because_the_upstream_without_a_queue_was_slower() -> None:
    slow = PlainUpstreamView("a", "h", 0, 0.05, 0, 2.5, others=6, slots=6, report_age_s=0.45)
    fast = PlainUpstreamView("b", "h", 0, 0.02, 0, 1.0, others=70, slots=6, report_age_s=0.0)
    request = HeldRequest(0.218, 0.218, 1.6, held_s=0, ahead=0, refused=False)
    assert not isinstance(decide_full([slow, fast], request, random.Random(1)), Reject)
