"""Pure decisions, in tables."""

from __future__ import annotations

import random

import pytest

from ramppost.policy.admission import Admission, Admitted, Queued, QueuedRequest, Rejected
from ramppost.policy.bills import attempt_id, billable_lines
from ramppost.policy.burn import budget_left, burn_rate
from ramppost.policy.choice import AgentView, Ejection, choose_subset, rank_agents
from ramppost.policy.limits import RetryBudget, TokenBucket
from ramppost.policy.pace import Timing, TimingBaseline
from ramppost.policy.permissions import ModelVersion
from ramppost.policy.rollout import (
    OutcomeCounts,
    errors_too_high,
    evaluate_rollout,
    ratings_too_low,
    split_cap,
    too_slow,
)
from ramppost.policy.routing import RunningStats, pick_version, policy_for
from ramppost.schema.config import Rollout
from ramppost.schema.messages import BillLine
from ramppost.schema.settings import Box
from ramppost.standin.fleet import MESOB, config_doc
from ramppost.wire.client import Pool, readable

STABLE = OutcomeCounts(1000, 5)
ERROR_CASES = [
    ("none yet", OutcomeCounts(0, 0), False),
    ("one bad", OutcomeCounts(0, 1), False),
    ("three bad of three", OutcomeCounts(0, 3), True),
    ("half of ten", OutcomeCounts(5, 5), True),
    ("as the stable one", OutcomeCounts(995, 5), False),
    ("twice the stable one's", OutcomeCounts(990, 10), False),
]


@pytest.mark.parametrize(("name", "trial", "bad"), ERROR_CASES, ids=[c[0] for c in ERROR_CASES])
def test_the_guard_on_errors(name: str, trial: OutcomeCounts, bad: bool) -> None:
    assert errors_too_high(STABLE, trial, 0.2) == bad


SLOW_CASES = [
    ("none", OutcomeCounts(50, 0, 0), False),
    ("one of two", OutcomeCounts(2, 0, 1), False),
    ("a burst of four", OutcomeCounts(6, 0, 4), False),
    ("nearly all", OutcomeCounts(12, 0, 11), True),
    ("as the stable one", OutcomeCounts(300, 0, 15), False),
]


@pytest.mark.parametrize(("name", "trial", "bad"), SLOW_CASES, ids=[c[0] for c in SLOW_CASES])
def test_the_guard_on_slow_answers(name: str, trial: OutcomeCounts, bad: bool) -> None:
    assert too_slow(OutcomeCounts(1000, 0, 50), trial, 0.5) == bad


def test_what_is_slow_follows_the_stable_version() -> None:
    pace = TimingBaseline()
    assert not pace.is_slow(Timing(9.0, 9.0))
    for _ in range(20):
        pace.record(Timing(0.2, 0.03))
    seen = [Timing(0.3, 0.04), Timing(0.6, 0.03), Timing(0.2, 0.08)]
    assert [pace.is_slow(timing) for timing in seen] == [False, True, True]
    for _ in range(60):
        pace.record(Timing(0.8, 0.1))
    assert not any(pace.is_slow(timing) for timing in seen)


@pytest.mark.parametrize(("cap", "entries"), [(11, 2), (100, 410), (1, 3), (820, 410)])
def test_parts_of_a_cap_add_up_to_it(cap: int, entries: int) -> None:
    assert sum(split_cap(cap, entries, rank) for rank in range(entries)) == cap


def mean_of(value: float, n: int) -> RunningStats:
    found = RunningStats()
    for number in range(n):
        found.add(value + (0.1 if number % 2 else -0.1))
    return found


RATING_CASES = [
    ("few", 0.5, 1, False),
    ("much worse", 0.5, 10, True),
    ("worse by the drop", 0.75, 60, True),
    ("as good", 0.9, 200, False),
    ("better", 0.95, 200, False),
]


@pytest.mark.parametrize(
    ("name", "value", "n", "bad"), RATING_CASES, ids=[c[0] for c in RATING_CASES]
)
def test_the_guard_on_ratings(name: str, value: float, n: int, bad: bool) -> None:
    assert ratings_too_low(mean_of(0.9, 100), mean_of(value, n), 0.1) == bad


def test_a_roll_out_advances_and_finishes() -> None:
    rollout = Rollout(
        model="m", stable="a", trial="b", steps=[0.1, 1.0], step=0, step_s=10, state="running",
        max_error_share=0.2, max_rating_drop=0.1, min_requests=20,
    )  # fmt: skip
    good = OutcomeCounts(100, 0)
    ask = [(5.0, 50, 0), (11.0, 5, 0), (11.0, 50, 0), (11.0, 50, 1)]
    actions = []
    for age, requests, step in ask:
        rollout["step"] = step
        verdict = evaluate_rollout(
            rollout, STABLE, good, RunningStats(), RunningStats(), age, requests
        )
        actions.append(verdict.action)
    assert actions == ["wait", "wait", "advance", "finish"]


def test_urgent_work_goes_first_and_the_rest_is_not_starved() -> None:
    adm = Admission(1, 100)
    assert adm.request_slot(QueuedRequest("a", 5, 1e9), 0) == Admitted()
    for number in range(40):
        adm.request_slot(QueuedRequest(f"urgent-{number}", 0, 1e9), 0)
    adm.request_slot(QueuedRequest("batch", 8, 1e9), 0)
    left = [adm.release_slot(0.0) for _ in range(25)]
    names = [who.name for who in left if who]
    assert names[0] == "urgent-0" and "batch" in names[15:21]


def test_slots_are_kept_for_the_urgent() -> None:
    adm = Admission(4, 100, reserved=1)
    routine = [adm.request_slot(QueuedRequest(f"r{i}", 5, 1e9), 0) for i in range(4)]
    assert routine == [Admitted(), Admitted(), Admitted(), Queued(None)]
    assert adm.request_slot(QueuedRequest("u", 0, 1e9), 0) == Admitted()
    assert adm.release_slot(None) is None
    assert adm.release_slot(1.0) == QueuedRequest("r3", 5, 1e9)


def test_a_full_line_puts_out_the_lowest_and_refuses_with_when_to_come_back() -> None:
    adm = Admission(1, 1)
    adm.request_slot(QueuedRequest("a", 5, 1e9), 0)
    assert adm.request_slot(QueuedRequest("b", 8, 1e9), 0) == Queued(None)
    assert adm.request_slot(QueuedRequest("c", 0, 1e9), 0) == Queued("b")
    got = adm.request_slot(QueuedRequest("d", 8, 1e9), 0)
    assert isinstance(got, Rejected) and got.retry_after_s > 0


def test_what_can_not_be_begun_in_time_is_refused_at_once() -> None:
    adm = Admission(1, 100)
    adm.request_slot(QueuedRequest("a", 5, 1e9), 0)
    adm.release_slot(2.0)
    adm.request_slot(QueuedRequest("b", 5, 1e9), 0)
    adm.request_slot(QueuedRequest("c", 5, 1e9), 0)
    assert isinstance(adm.request_slot(QueuedRequest("d", 5, 2.0), 0), Rejected)
    assert adm.request_slot(QueuedRequest("e", 5, 60.0), 0) == Queued(None)


def seen(addr: str, own: int = 0, reported: int = 0, hall: str = "bole") -> AgentView:
    return AgentView(addr, hall, own, reported, 0.0, 4)


def test_two_choices_avoid_the_loaded_and_the_far() -> None:
    rng = random.Random(1)
    agents = [seen("a", own=4), seen("b")]
    assert {rank_agents(agents, 0.0, "bole", "", rng)[0] for _ in range(20)} == {"b"}
    halls = [seen("near"), seen("far", hall="yeka")]
    assert {rank_agents(halls, 0.0, "bole", "", rng)[0] for _ in range(20)} == {"near"}


def test_a_prefix_has_its_own_agent_until_that_is_loaded() -> None:
    rng = random.Random(1)
    agents = [seen(str(i)) for i in range(6)]
    homes = {rank_agents(agents, 0.0, "bole", "prompt", rng)[0] for _ in range(20)}
    assert len(homes) == 1
    home = homes.pop()
    loaded = [seen(a.addr, own=8) if a.addr == home else a for a in agents]
    assert rank_agents(loaded, 0.0, "bole", "prompt", rng)[0] != home


def test_subsets_are_small_even_and_stable() -> None:
    boxes = [
        Box(name=f"a{i}", addr=f"10.0.0.1:{i}", hall="x", role="agent", pool="p", state="live")
        for i in range(600)
    ]
    counts = dict.fromkeys((box["name"] for box in boxes), 0)
    for node in range(410):
        for box in choose_subset(f"e{node}", boxes, 8):
            counts[box["name"]] += 1
    assert sum(counts.values()) == 410 * 8
    assert max(counts.values()) < 4 * 410 * 8 / 600
    before = {b["name"] for b in choose_subset("e1", boxes, 8)}
    after = {b["name"] for b in choose_subset("e1", boxes[1:], 8)}
    assert len(before - after) <= 1


def test_an_agent_that_fails_is_ejected_for_longer_each_time() -> None:
    health = Ejection()
    spells = []
    for _ in range(6):
        health.record_failure(100.0)
        spells.append(health.ejected_until - 100.0 if health.is_ejected(100.0) else 0.0)
    assert spells == [0.0, 0.0, 1.0, 2.0, 4.0, 8.0]
    health.record_success()
    assert not health.is_ejected(100.0)


def test_shares_of_policies_and_roll_outs() -> None:
    doc = config_doc(MESOB)
    ws = doc["workspaces"][0]
    ws["policies"] = [{"policy": "best", "share": 0.25}, {"policy": "learned", "share": 0.75}]
    picked = [policy_for(ws, f"who-{i}") for i in range(2000)]
    assert 0.2 < picked.count("best") / 2000 < 0.3
    doc["models"][1]["versions"][1]["state"] = "trial"
    doc["rollouts"] = [
        Rollout(
            model="large", stable="v1", trial="v2", steps=[0.1, 1.0], step=0, step_s=1,
            state="running", max_error_share=0.2, max_rating_drop=0.1,
        )
    ]  # fmt: skip
    picks = [pick_version(doc, "large", f"who-{i}", lambda mv: True) for i in range(2000)]
    assert 0.07 < sum(p.trial for p in picks if p) / 2000 < 0.13
    paused = pick_version(doc, "large", "w", lambda mv: mv != ModelVersion("large", "v2"))
    assert paused is not None and not paused.trial


def test_limits() -> None:
    bucket = TokenBucket(10, 100, 0.0)
    bucket.charge(150, 0.0)
    assert bucket.wait_s(0.0) == 5.0 and bucket.wait_s(5.1) == 0.0
    budget = RetryBudget()
    for _ in range(1000):
        budget.record_try()
        budget.take()
    assert budget.retries <= 0.1 * budget.tries


def line(attempt: str) -> BillLine:
    return BillLine(
        request_id="r", attempt=attempt, workspace="w", model="m", version="v", tokens=1, cost=1.0
    )


def test_a_bill_has_the_last_turn_of_each_stage() -> None:
    given = [("r", 0, 0), ("r", 0, 1), ("r", 1, 0), ("r", 0, 10)]
    lines = [line(attempt_id(*place)) for place in given]
    assert [x["attempt"] for x in billable_lines(lines)] == ["r.s0t10", "r.s1t0"]
    assert billable_lines(reversed(lines)) == billable_lines(lines)


def test_burn() -> None:
    assert burn_rate(0.02, 0.99) == 2.0
    assert budget_left(995, 5, 0.99) == pytest.approx(0.5)


def test_a_pool_takes_file_descriptors_over_1023() -> None:
    import os
    import resource
    import socket

    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, 2048), hard))
    one, other = socket.socketpair()
    high = os.dup2(one.fileno(), 1500)
    try:
        assert not readable(high)
        other.send(b"x")
        assert readable(high)
    finally:
        os.close(high)
        one.close()
        other.close()
    assert Pool().take_idle("127.0.0.1:1") is None
