"""Evidence on a version that is being rolled out, pooled over gateways that tell one another."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any, NamedTuple

import curio
import pytest

from ramppost import clock
from ramppost.gateway import rollout_duty, serve
from ramppost.gateway.load import InFlight
from ramppost.gateway.model import RolloutOrder, Upstream
from ramppost.gateway.rollout_duty import (
    ALL_TOLD_AFTER_S,
    LAST_ANSWER_WAIT_S,
    LAST_WAIT_PART,
    OTHERS_END_IT_S,
    _decide,
)
from ramppost.gateway.rollouts import PlacedRequest, Rollout
from ramppost.platform.store import CALL_TIMEOUT_S, Unavailable
from ramppost.policy.coverage import HEARD_S
from ramppost.policy.exposure import TOLD_S, Balance, Exposure, SentCounts
from ramppost.policy.ramp import plan_ramp
from ramppost.policy.relays import MAX_EVIDENCE_COLLECTORS, MAX_FLAT_FLEET, Peers
from ramppost.policy.sampling import RequestRates, sampling_shares, trial_budget
from ramppost.schema.messages import EvidenceCell, EvidenceNote, RolloutNote
from tests.harness.version_fleet import (
    DURATION_S,
    FIRST_S,
    NEW,
    OLD,
    PORT,
    SERVICE,
    STABLE_ANSWERS,
    Clock,
    Fleet,
    Node,
)


@pytest.fixture
def time(monkeypatch: pytest.MonkeyPatch) -> Clock:
    found = Clock()
    monkeypatch.setattr(clock, "now", found)
    return found


@pytest.fixture
def fleet(time: Clock) -> Fleet:
    found = Fleet(time)
    found.know_the_old()
    found.order(elapsed=0.2)
    return found


class Ends:
    """Stands in for the writes that end a roll-out."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.written: list[bool] = []
        monkeypatch.setattr(rollout_duty, "_finish", self._finish)

    async def _finish(self, gw: Any, rollout: Rollout, completed: bool) -> None:
        self.written.append(completed)

    def decide(self, node: Node, late_s: float, now: float) -> list[bool]:
        """What a gateway has written as a roll-out has been due for so long."""
        part = node.rollout.ramp.complete_at + late_s / DURATION_S
        curio.run(_decide, node, node.rollout, part, now)
        return self.written


@pytest.fixture
def ends(monkeypatch: pytest.MonkeyPatch) -> Ends:
    return Ends(monkeypatch)


def test_slow_answers_were_not_added_up_over_gateways(fleet: Fleet) -> None:
    # Each gateway has seen two, which is no proof; none of them was forwarded.
    for upstream, node in enumerate(fleet.all):
        for other in range(2):
            fleet.answer(node, NEW, times=8.0, upstream=(upstream + other) % 4)
    alone = fleet.all[0]
    fleet.cut = set(fleet.nodes)
    fleet.exchange()
    assert not any(fleet.considered_bad)
    fleet.cut = set()
    fleet.time.now += 1.0
    fleet.exchange()
    assert all(fleet.considered_bad), alone.evidence_news.judge(alone.rollout)


def test_overdue_first_bytes_said_nothing_before_they_came(fleet: Fleet) -> None:
    for upstream, node in enumerate(fleet.all):
        fleet.begin(node, NEW, "chat", upstream)
        fleet.begin(node, NEW, "chat", (upstream + 1) % 4)
    fleet.exchange()
    assert not any(fleet.considered_bad)
    fleet.time.now += 10 * FIRST_S
    fleet.exchange()
    assert all(fleet.considered_bad)


def test_few_milliseconds_made_a_sound_version_slow(fleet: Fleet) -> None:
    # Its engines were idle, and took 8 ms instead of 2.
    for node in fleet.all:
        for _ in range(2 * STABLE_ANSWERS):
            fleet.answer(node, OLD, times=0.002 / FIRST_S)
    for upstream, node in enumerate(fleet.all * 3):
        fleet.answer(node, NEW, times=0.008 / FIRST_S, upstream=upstream % 4)
    fleet.exchange()
    assert not any(fleet.considered_bad)


def test_attempts_that_were_given_up_said_nothing(fleet: Fleet) -> None:
    timings = [fleet.begin(node, NEW, "chat", u) for u, node in enumerate(fleet.all * 2)]
    fleet.time.now += 10 * FIRST_S
    for timing in timings:
        timing.end(fleet.time.now)
    fleet.exchange()
    assert all(fleet.considered_bad)


def test_streams_that_ran_behind_said_nothing(fleet: Fleet) -> None:
    for node in fleet.all:
        for _ in range(STABLE_ANSWERS):
            timing = fleet.begin(node, OLD, "chat")
            timing.record_head(200, fleet.time.now)
            timing.record_events(40, fleet.time.now + 4.0)
            timing.end(fleet.time.now + 4.0)
    timings = [fleet.begin(node, NEW, "chat", u) for u, node in enumerate(fleet.all * 2)]
    for timing in timings:
        timing.record_head(200, fleet.time.now)
    fleet.time.now += 1.0
    fleet.exchange()
    assert not any(fleet.considered_bad)
    for timing in timings:
        timing.record_events(20, fleet.time.now)
    fleet.time.now += 20.0
    fleet.exchange()
    assert all(fleet.considered_bad)


def test_answers_at_ten_times_the_time_weighed_no_more_than_at_three(fleet: Fleet) -> None:
    node = fleet.all[0]
    fleet.answer(node, NEW, times=3.0)
    fleet.exchange()
    mild = node.evidence_news.judge(node.rollout).excess
    fleet.answer(node, NEW, times=10.0)
    fleet.exchange()
    strong = node.evidence_news.judge(node.rollout).excess
    assert strong - mild > 0.5


def test_version_that_is_bad_on_one_route_was_diluted(time: Clock) -> None:
    fleet = Fleet(time)
    fleet.know_the_old(("chat", "prices"), failed_share=0.02)
    fleet.order(elapsed=0.2)
    for i, node in enumerate(fleet.all * 10):
        fleet.answer(node, NEW, "chat", upstream=i % 4)
    for i, node in enumerate(fleet.all * 3):
        fleet.answer(node, NEW, "prices", upstream=i % 4, failed=i % 3 == 0)
    fleet.exchange()
    assert all(fleet.considered_bad)
    assert "prices" in fleet.all[0].rollout.withdrawal_reason


def test_bad_version_was_kept_as_all_its_requests_went_to_one_upstream(fleet: Fleet) -> None:
    upstreams = [
        Upstream(f"{NEW}-{i}", "127.0.0.1:1", SERVICE, "hall", NEW, 8, False) for i in range(4)
    ]
    for node in fleet.all:
        node.rollouts.eligible_upstreams(SERVICE, upstreams, PlacedRequest("r"), fleet.time.now)
    for _ in range(8):
        for node in fleet.all:
            # The first is the best by all that placement knows.
            best = node.rollout.split(upstreams, [], fleet.time.now).new[0]
            fleet.answer(node, NEW, times=8.0, upstream=upstreams.index(best))
        fleet.exchange()
    assert all(fleet.considered_bad)


def test_failures_of_one_route_hid_those_of_another(time: Clock) -> None:
    fleet = Fleet(time)
    fleet.know_the_old(("chat", "prices"))
    fleet.fail_the_old("prices", every=2)
    fleet.order(elapsed=0.2)
    for i, node in enumerate(fleet.all * 2):
        fleet.answer(node, NEW, "chat", upstream=i % 4, failed=i % 3 == 0)
    fleet.exchange()
    assert all(fleet.considered_bad)


def test_version_that_failed_a_fifth_by_chance_was_completed(time: Clock, ends: Ends) -> None:
    fleet = Fleet(time)
    fleet.know_the_old(("chat", "prices"))
    fleet.fail_the_old("prices", every=3)
    fleet.order(elapsed=0.2)
    by_upstream = ("...", "......xxx", "......", "x")
    for upstream, answers in enumerate(by_upstream):
        for i, answer in enumerate(answers):
            fleet.answer(fleet.all[i % 4], NEW, "chat", upstream=upstream, failed=answer == "x")
    for i, answer in enumerate("xx..x....."):
        fleet.answer(fleet.all[i % 4], NEW, "prices", upstream=i % 4, failed=answer == "x")
    fleet.exchange()
    assert ends.decide(fleet.all[0], 0.1, time.now) == [False]


def test_version_was_completed_though_a_third_of_its_answers_had_failed(
    time: Clock, ends: Ends
) -> None:
    # Most of them on a route that fails often with any version, and never two of one upstream.
    fleet = Fleet(time)
    fleet.know_the_old(("prices", "names", "looks"))
    fleet.fail_the_old("faulty", every=3)
    fleet.order(elapsed=0.2)
    for node in fleet.all:
        for _ in range(40):
            fleet.answer(node, OLD, "prices")
    by_route = {"names": ".......x", "faulty": "xx.x.xx.", "looks": "..", "prices": ".."}
    answers = [(route, answer) for route, all_of in by_route.items() for answer in all_of]
    for i, (route, answer) in enumerate(answers):
        fleet.answer(fleet.all[i % 4], NEW, route, upstream=i % 4, failed=answer == "x")
    fleet.exchange()
    assert ends.decide(fleet.all[0], 0.1, time.now) == [False]


def test_gateway_that_was_not_there_completed_what_another_had_found_bad(fleet: Fleet) -> None:
    late = fleet.all[-1]
    fleet.cut = {"10.0.0.4"}
    for i, node in enumerate(fleet.all[:3] * 4):
        fleet.answer(node, NEW, upstream=i % 4, failed=True)
    fleet.exchange()
    assert fleet.considered_bad == [True, True, True, False]
    fleet.cut = set()
    note = RolloutNote(service=SERVICE, version=NEW, elapsed_ms=0.0, asks=True)
    for name in fleet.nodes:
        late.rollout_news.handle_datagram(note, (name, PORT))
    fleet.all[0].rollout_news.handle_datagram(note, ("10.0.0.4", PORT))
    assert all(fleet.considered_bad)


def test_caller_that_left_as_a_larger_model_was_chosen_left_its_attempt_behind(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def leave(*args: Any) -> str:
        raise curio.TaskCancelled

    async def abort() -> None:
        pass

    monkeypatch.setattr(serve, "choose_larger_model", leave)
    node, work = fleet.all[0], InFlight()
    work.requests = 1
    timing = fleet.begin(node, NEW, "chat")
    exchange = SimpleNamespace(abort=abort)
    running = SimpleNamespace(work=work, timing=timing, key="", exchange=exchange)
    with pytest.raises(curio.TaskCancelled):
        curio.run(serve._choose_or_release, node, None, SERVICE, None, running)
    assert not node.evidence.running
    assert not work.requests


def test_version_that_never_answered_was_completed_by_the_time_alone(
    fleet: Fleet, ends: Ends
) -> None:
    node = fleet.all[0]
    node.rollouts.record_request(SERVICE, "chat", fleet.time.now)
    assert ends.decide(node, 0.1, fleet.time.now) == []
    assert ends.decide(node, LAST_ANSWER_WAIT_S + 0.1, fleet.time.now) == [False]
    assert all(fleet.considered_bad)


def test_service_without_requests_is_rolled_out_by_the_time_alone(fleet: Fleet, ends: Ends) -> None:
    assert ends.decide(fleet.all[0], 0.1, fleet.time.now) == [True]


def test_version_with_sound_answers_is_completed(fleet: Fleet, ends: Ends) -> None:
    for i, node in enumerate(fleet.all):
        node.rollouts.record_request(SERVICE, "chat", fleet.time.now)
        fleet.answer(node, NEW, upstream=i)
    fleet.exchange()
    assert ends.decide(fleet.all[0], 0.1, fleet.time.now) == [True]


def test_sound_version_was_rolled_back_as_nothing_was_known_of_the_former_one(
    time: Clock, ends: Ends
) -> None:
    # All gateways had been restarted, and most requests went to the new version by then.
    fleet = Fleet(time)
    fleet.order(elapsed=0.2)
    for i, node in enumerate(fleet.all * 30):
        node.rollouts.record_request(SERVICE, "chat", time.now)
        fleet.answer(node, NEW, upstream=i % 4)
    time.now += ALL_TOLD_AFTER_S
    fleet.exchange()
    assert ends.decide(fleet.all[0], 0.1, time.now) == [True]


def test_version_of_which_more_spoke_against_it_than_for_it_was_completed(
    fleet: Fleet, ends: Ends
) -> None:
    for i in range(2):
        fleet.answer(fleet.all[i], NEW, upstream=i, failed=True)
    fleet.exchange()
    assert not any(fleet.considered_bad)
    assert ends.decide(fleet.all[0], 0.1, fleet.time.now) == [False]


def test_gateway_that_had_just_started_completed_what_it_knew_nothing_of(
    fleet: Fleet, ends: Ends
) -> None:
    for i, node in enumerate(fleet.all[1:] * 4):
        fleet.answer(node, NEW, upstream=i % 4, failed=True)
    started = fleet.all[0]
    started.rollout.seen_at = fleet.time.now
    assert ends.decide(started, 0.1, fleet.time.now) == []
    fleet.time.now += ALL_TOLD_AFTER_S
    fleet.exchange()
    assert ends.decide(started, 0.1 + ALL_TOLD_AFTER_S, fleet.time.now) == [False]


def test_gateway_that_is_not_told_all_evidence_completed_a_version(time: Clock, ends: Ends) -> None:
    fleet = Fleet(time, gateways=MAX_FLAT_FLEET + 10)
    fleet.order(elapsed=0.2)
    knowing = [node.peers.has_all_evidence(time.now) for node in fleet.all]
    assert sum(knowing) == MAX_EVIDENCE_COLLECTORS
    other = fleet.all[knowing.index(False)]
    assert ends.decide(other, 0.1, time.now) == []
    assert ends.decide(other, OTHERS_END_IT_S + 0.1, time.now) == [True]


def test_gateway_that_is_not_told_all_evidence_completed_a_version_on_a_single_answer(
    time: Clock, ends: Ends
) -> None:
    fleet = Fleet(time, gateways=MAX_FLAT_FLEET + 10)
    fleet.know_the_old()
    fleet.order(elapsed=0.2)
    knowing = [node.peers.has_all_evidence(time.now) for node in fleet.all]
    other = fleet.all[knowing.index(False)]
    other.rollouts.record_request(SERVICE, "chat", time.now)
    fleet.answer(other, NEW)
    time.now += ALL_TOLD_AFTER_S
    fleet.exchange()
    assert ends.decide(other, OTHERS_END_IT_S + 0.1, time.now) == [False]


def test_gateway_that_is_not_told_all_evidence_completes_what_one_that_is_has_found_sound(
    time: Clock, ends: Ends
) -> None:
    fleet = Fleet(time, gateways=MAX_FLAT_FLEET + 10)
    fleet.order(elapsed=0.2)
    time.now += ALL_TOLD_AFTER_S
    fleet.exchange()
    knowing = [node.peers.has_all_evidence(time.now) for node in fleet.all]
    other = fleet.all[knowing.index(False)]
    other.rollouts.record_request(SERVICE, "chat", time.now)
    ends.decide(fleet.all[knowing.index(True)], 0.1, time.now)
    assert ends.decide(other, OTHERS_END_IT_S + 0.1, time.now) == [True, True]


def test_gateway_that_heard_of_no_other_completed_a_version_on_its_own_answers(
    fleet: Fleet, ends: Ends
) -> None:
    cut_off = fleet.all[0]
    cut_off.rollouts.record_request(SERVICE, "chat", fleet.time.now)
    fleet.cut = {next(iter(fleet.nodes))}
    fleet.time.now += ALL_TOLD_AFTER_S + TOLD_S
    fleet.exchange()
    fleet.answer(cut_off, NEW)
    fleet.exchange()
    assert ends.decide(cut_off, 0.1, fleet.time.now) == []
    assert ends.decide(cut_off, OTHERS_END_IT_S + 0.1, fleet.time.now) == [False]


def pass_over(fleet: Fleet, passed_over: str) -> None:
    """Let a gateway and the others take each other for gone, as calls between them failed."""
    for name, node in fleet.nodes.items():
        for other in fleet.nodes:
            if name != other and passed_over in (name, other):
                node.peers.record_call(other, False, fleet.time.now)


def cut_off(fleet: Fleet) -> Node:
    """Cut the first gateway off for so long that it hears nothing of the others any more."""
    first = next(iter(fleet.nodes))
    fleet.time.now += ALL_TOLD_AFTER_S
    fleet.exchange()
    fleet.cut = {first}
    fleet.time.now += HEARD_S + TOLD_S
    pass_over(fleet, first)
    fleet.exchange()
    return fleet.nodes[first]


def give_sound_answers(fleet: Fleet, node: Node, count: int) -> None:
    for i in range(count):
        node.rollouts.record_request(SERVICE, "chat", fleet.time.now)
        fleet.answer(node, NEW, upstream=i % 4)
    fleet.exchange()


@pytest.mark.parametrize("sound_answers", [0, 6])
def test_gateway_that_took_all_others_for_gone_completed_a_version(
    fleet: Fleet, ends: Ends, sound_answers: int
) -> None:
    # Nobody answered it for ten seconds, so that it knew of no other, and had heard all there was.
    node = cut_off(fleet)
    give_sound_answers(fleet, node, sound_answers)
    node.rollouts.record_request(SERVICE, "chat", fleet.time.now)
    assert ends.decide(node, 0.1, fleet.time.now) == []
    assert ends.decide(node, OTHERS_END_IT_S + 0.1, fleet.time.now) == [False]


def test_gateway_that_heard_a_minority_completed_a_version(time: Clock, ends: Ends) -> None:
    fleet = Fleet(time, gateways=5)
    fleet.know_the_old()
    fleet.order(elapsed=0.2)
    names = list(fleet.nodes)
    time.now += ALL_TOLD_AFTER_S
    fleet.exchange()
    fleet.cut = set(names[2:])
    time.now += HEARD_S + TOLD_S
    give_sound_answers(fleet, fleet.all[0], 6)
    time.now += ALL_TOLD_AFTER_S
    fleet.exchange()
    assert ends.decide(fleet.all[0], 0.1, time.now) == []


def test_last_gateway_that_runs_completes_a_version_on_strong_evidence(
    fleet: Fleet, ends: Ends
) -> None:
    node = cut_off(fleet)
    give_sound_answers(fleet, node, 30)
    assert ends.decide(node, 0.1, fleet.time.now) == [True]


def test_sound_version_was_rolled_back_as_one_of_the_gateways_had_ended(
    fleet: Fleet, ends: Ends
) -> None:
    cut_off(fleet)
    for node in fleet.all[1:]:
        give_sound_answers(fleet, node, 4)
    assert ends.decide(fleet.all[1], 0.1, fleet.time.now) == [True]


def test_finding_was_not_told_to_a_gateway_that_was_passed_over(fleet: Fleet) -> None:
    # It could be reached again, and completed the version 0.4 s later.
    node = cut_off(fleet)
    fleet.cut = set()
    others = fleet.all[1:]
    others[0].rollout_news.withdraw(SERVICE, NEW, "it fails", fleet.time.now)
    assert all(other.rollout.withdrawal_reason for other in others)
    assert node.rollout.withdrawal_reason


def test_evidence_was_not_told_to_a_gateway_that_was_passed_over(fleet: Fleet) -> None:
    node = cut_off(fleet)
    fleet.cut = set()
    for other in fleet.all[1:]:
        fleet.answer(other, NEW, failed=True)
    fleet.exchange()
    assert node.evidence_news.judge(node.rollout).answers == 3


def test_gateway_that_was_cut_off_moved_all_sessions_of_the_fleet(fleet: Fleet) -> None:
    node = cut_off(fleet)
    node.rollouts.exposure = Exposure(0.15, 1000.0)
    step = len(node.rollout.ramp.steps) - 1
    fleet.time.now += node.rollout.ramp.steps[step].start * DURATION_S
    for number in range(step + 1):
        request = PlacedRequest(f"r{number}")
        node.rollouts.eligible_upstreams(SERVICE, [], request, fleet.time.now)
    assert not node.rollout.has_grown
    fleet.cut = set()
    fleet.exchange()
    assert not any(other.rollout.has_grown for other in fleet.all)


def test_gateway_that_had_restarted_was_heard_twice(fleet: Fleet) -> None:
    account = fleet.all[0].rollout.account
    account.put("10.0.0.9#1", SentCounts(1, 10), fleet.time.now)
    heard = account.heard_gateways(fleet.time.now)
    account.put("10.0.0.9#2", SentCounts(1, 10), fleet.time.now)
    assert account.heard_gateways(fleet.time.now) == heard


def test_gateway_that_had_not_read_the_list_of_gateways_completed_a_version(
    time: Clock, ends: Ends
) -> None:
    fleet = Fleet(time, gateways=1)
    fleet.know_the_old()
    fleet.order(elapsed=0.2)
    time.now += ALL_TOLD_AFTER_S
    give_sound_answers(fleet, fleet.all[0], 6)
    assert ends.decide(fleet.all[0], 0.1, time.now) == []
    fleet.all[0].peers.listed = True
    assert ends.decide(fleet.all[0], 0.1, time.now) == [True]


@pytest.mark.parametrize(
    ("answers", "failures", "state"), [(2, 0, False), (6, 0, True), (3, 1, False), (12, 1, True)]
)
def test_version_was_trusted_on_a_route_for_its_answers_on_another(
    time: Clock, ends: Ends, answers: int, failures: int, state: bool
) -> None:
    # It had 17 answers on one route, 2 on that with a third of the requests, and failed half there,
    # or 3 of which one had failed.
    fleet = Fleet(time)
    fleet.know_the_old(("chat", "brief"))
    fleet.order(elapsed=0.2)
    time.now += ALL_TOLD_AFTER_S
    for node in fleet.all:
        for _ in range(STABLE_ANSWERS):
            fleet.answer(node, OLD, "brief")
    for i in range(17 + answers):
        node = fleet.all[i % 4]
        node.rollouts.record_request(SERVICE, "chat", time.now)
        route = "chat" if i < 17 else "brief"
        fleet.answer(node, NEW, route, upstream=i % 4, failed=17 <= i < 17 + failures)
    fleet.exchange()
    ends.decide(fleet.all[0], 0.1, time.now)
    margin_s = (1 - fleet.all[0].rollout.ramp.complete_at) * DURATION_S
    assert ends.decide(fleet.all[0], LAST_WAIT_PART * margin_s + 0.1, time.now)[-1] == state


def test_streams_that_had_begun_well_were_not_seen(fleet: Fleet) -> None:
    # A good version was rolled back, as the answers of its last step ended after the roll-out.
    for i, node in enumerate(fleet.all):
        fleet.begin(node, NEW, "chat", i).record_head(200, fleet.time.now)
    fleet.exchange()
    assert fleet.all[0].evidence_news.judge(fleet.all[0].rollout).unsure_route == ""


def test_verdict_that_came_while_the_end_was_written_was_not_looked_at(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    written: list[str] = []

    async def write(*args: Any) -> Unavailable:
        fleet.all[0].rollout_news.withdraw(SERVICE, NEW, "it fails", fleet.time.now)
        await curio.sleep(1.0)
        written.append(args[4]["state"])
        return Unavailable("late", refused=False)

    monkeypatch.setattr(rollout_duty, "set_status", write)
    gw: Any = SimpleNamespace(store=None, peers=fleet.all[0].peers)
    curio.run(rollout_duty._finish, gw, fleet.all[0].rollout, True)
    assert not written


def test_datagrams_with_impossible_counts_are_refused(fleet: Fleet) -> None:
    cell = EvidenceCell(
        upstream="v2-0",
        route="chat",
        moved=False,
        recent=False,
        failures=float("nan"),
        answers=1,
        levels=[0.0] * 5,
        reached=[0.0] * 5,
    )
    note = EvidenceNote(service=SERVICE, version=NEW, gateway="x", cells=[cell])
    with pytest.raises(ValueError, match="can't be"):
        fleet.all[0].evidence_news.handle_datagram(note)


@pytest.mark.parametrize("duration_s", [6.0, 16.0, 24.0])
def test_short_roll_out_was_completed_late_as_the_writes_of_its_end_are_spread(
    duration_s: float,
) -> None:
    rollout = Rollout(RolloutOrder(SERVICE, NEW, duration_s, "ordered", 1), 0.0)
    margin_s = (1 - rollout.ramp.complete_at) * duration_s
    for number in range(50):
        name = f"g{number}"
        gw: Any = SimpleNamespace(peers=Peers(name), cfg={"name": name})
        assert rollout_duty._end_delay_s(gw, rollout, 0.0) <= margin_s / 3


def test_end_was_written_late_as_all_waited_on_silent_connections_to_the_store(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    given: list[float] = []

    async def write(*args: Any) -> Unavailable:
        given.append(args[5] if len(args) > 5 else CALL_TIMEOUT_S)
        return Unavailable("no answer", refused=False)

    monkeypatch.setattr(rollout_duty, "set_status", write)
    monkeypatch.setattr(rollout_duty, "RETRY_DELAY_S", 0.0)
    for node in fleet.all:
        gw: Any = SimpleNamespace(store=None, peers=node.peers)
        for _ in range(2):
            curio.run(rollout_duty._finish, gw, node.rollout, False)
    margin_s = (1 - fleet.all[0].rollout.ramp.complete_at) * 16.0
    for round_of_writes in (given[::2], given[1::2]):
        assert min(round_of_writes) < margin_s / 2
        assert max(round_of_writes) == CALL_TIMEOUT_S


class Weather(NamedTuple):
    """Beside what a good version is rolled out: how much slower all answers are for a third of the
    time, and how many of four upstreams of each version are how much slower."""

    title: str
    burst: float = 1.0
    slow_upstreams: int = 0
    slow_factor: float = 1.0
    failed_share: float = 0.02


WEATHERS = (
    Weather("calm"),
    Weather("burst", burst=5.0),
    Weather("slow upstream", slow_upstreams=1, slow_factor=4.0),
    Weather("errors of both", failed_share=0.2),
)
ROLLOUTS_EACH = 50
NEW_ANSWERS = 40


@pytest.mark.parametrize("weather", WEATHERS, ids=[weather.title for weather in WEATHERS])
def test_good_versions_were_withdrawn(time: Clock, weather: Weather) -> None:
    withdrawn = sum(plays_badly(time, weather, seed) for seed in range(ROLLOUTS_EACH))
    assert withdrawn <= ROLLOUTS_EACH // 50


def plays_badly(time: Clock, weather: Weather, seed: int) -> bool:
    """Whether a good version is withdrawn by the answers of a roll-out."""
    rng = random.Random(seed)
    fleet = Fleet(time, gateways=2)
    fleet.know_the_old(("chat", "prices"), weather.failed_share)
    fleet.order(elapsed=0.1)
    for i in range(NEW_ANSWERS):
        is_burst = NEW_ANSWERS // 3 <= i < 2 * NEW_ANSWERS // 3
        for version in (NEW, *[OLD] * 5):
            upstream = rng.randrange(4)
            times = rng.lognormvariate(0.0, 0.4) * (weather.burst if is_burst else 1.0)
            times *= weather.slow_factor if upstream < weather.slow_upstreams else 1.0
            node = rng.choice(fleet.all)
            failed = rng.random() < weather.failed_share
            fleet.answer(node, version, rng.choice(("chat", "prices")), times, upstream, failed)
        fleet.exchange()
        time.now += 0.4
    return any(fleet.considered_bad)


# --- requests that try a version


def test_service_with_little_traffic_saw_too_few_answers_of_a_seldom_route() -> None:
    ramp, exposure, gateways = plan_ramp(0.15, 24.0), Exposure(0.15, 30.0), 4
    rates = {"often": 2.4, "seldom": 0.8}
    tried = {"often": 0.0, "seldom": 0.0}
    step_s, started_s = 0.5, ramp.steps[1].start * 24.0
    for step in range(int((ramp.growth_at * 24.0 - started_s) / step_s)):
        elapsed_s = started_s + step * step_s
        total = sum(rates.values()) * elapsed_s * gateways
        balance = Balance(exposure, sum(tried.values()) * gateways, total, 0.0, gateways)
        budget = trial_budget(balance, ramp, 24.0, elapsed_s / 24.0)
        shares = sampling_shares(rates, dict.fromkeys(rates, 1.0), budget, ramp.steps[1].share)
        for route, share in shares.items():
            tried[route] += share * rates[route] * step_s
    assert tried["seldom"] > 3
    exposed = sum(tried.values()) + sum(rates.values()) * (1 - ramp.growth_at) * 24.0
    assert exposed <= 0.15 * sum(rates.values()) * 24.0 + 30.0 / gateways


def test_rates_were_taken_for_lower_right_after_a_start() -> None:
    rates = RequestRates()
    for number in range(60):
        rates.record("a", number / 20)
    assert rates.per_s("a", 3.0) == pytest.approx(20, rel=0.2)
