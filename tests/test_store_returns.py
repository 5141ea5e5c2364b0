"""The store comes back from an older copy of its contents, with real processes.

Guards against gateways that order what they know by the store's revisions, which go back at such a
return and are given out again.  On a recorded day, three configurations were written after a
return at revisions that the gateways had seen before, and were passed over: a key that the second
one took away went on working.  The operator and the upstreams write again what they wrote.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, Final

import pytest

from ramppost.gateway.fatal_doc import FATAL_KIND, FATAL_NAME
from ramppost.gateway.peers import GATEWAY_KIND
from ramppost.gateway.plans import PLAN_KIND
from ramppost.gateway.policies import POLICY_KIND, POLICY_NAME
from ramppost.gateway.rollout_duty import PROGRESS_KIND
from ramppost.gateway.store_returns import SETTLE_S
from ramppost.policy.ramp import FIRST_STEP_AT
from tests.harness.gateways import KEYS, SAFE, STREAM, Deployment, Given, config, route
from tests.test_gateway_policies import Operated

WITHDRAWAL_S: Final = 2.0
APPLY_S: Final = 1.0
"""Both as the harness sets them for gateways."""
RETURN_SEEN_S: Final = 1.5
"""Within this all gateways have asked the store, or one that has, after its return."""
WRITTEN_AGAIN_S: Final = 4.0
AWAY_S: Final = 0.5
SECOND_STEP: Final = FIRST_STEP_AT
"""The next step of the roll-out follows so late that it is not what writes its progress again."""
FIRST: Final = "/first/"
SECOND: Final = "/second/"
ONLY_KITCHEN: Final = {"kitchen": KEYS["kitchen"]}


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Deployment]:
    found = Deployment(tmp_path, gateways=3)
    try:
        yield found
    finally:
        found.stop()


def doc(version: int, *prefixes: str, keys: dict[str, str] = KEYS) -> dict[str, Any]:
    """A configuration with more routes."""
    routes = [route(prefix, prefix, "idempotent", "web") for prefix in prefixes]
    return config(version, keys, routes=routes)


def statuses(site: Deployment, prefix: str, key: str = KEYS["kitchen"]) -> set[int]:
    """What each gateway answers a call with."""
    return {site.call(name, prefix, key).status for name in site.gateways}


def everywhere(site: Deployment, within_s: float, true: Callable[[str], bool]) -> None:
    """Wait until something is true at each gateway."""
    for name in site.gateways:
        site.until(lambda name=name: true(name), within_s, name)


def configure_in_steps(site: Deployment, last: dict[str, Any]) -> int:
    """Write four versions, the last one of which is put in force; gives the revision before."""
    before = site.revision()
    for version in (2, 3, 4):
        site.configure(doc(version))
    site.configure(last)
    return before


def come_back(site: Deployment, to: int, rewritten: dict[str, Any] | None = None) -> None:
    """Let the store be away and come back from an older copy, to which the operator writes the
    newest configuration again if that is given."""
    site.fault("store", mode="down")
    time.sleep(AWAY_S)
    site.come_back(to)
    site.fault("store", mode="none")
    if rewritten is not None:
        site.configure(rewritten)


def test_configurations_after_the_stores_return_were_passed_over(site: Deployment) -> None:
    # They got revisions that the gateways had seen before.
    newest = doc(5, FIRST)
    before = configure_in_steps(site, newest)
    everywhere(site, APPLY_S, lambda name: site.call(name, FIRST).status == 200)
    come_back(site, before, newest)
    time.sleep(RETURN_SEEN_S)
    site.configure(doc(6, FIRST, SECOND, keys=ONLY_KITCHEN))
    everywhere(site, APPLY_S, lambda name: site.call(name, SECOND).status == 200)
    time.sleep(WITHDRAWAL_S)
    assert statuses(site, SAFE, KEYS["toll"]) == {401}
    assert statuses(site, SAFE) == {200}


def test_a_key_that_was_taken_away_worked_again_while_the_store_held_its_older_copy(
    site: Deployment,
) -> None:
    # A gateway that starts meanwhile gets the newest configuration from the others.
    before = configure_in_steps(site, doc(5, FIRST, keys=ONLY_KITCHEN))
    everywhere(site, APPLY_S, lambda name: site.call(name, FIRST).status == 200)
    come_back(site, before)
    site.restart_gateway("gateway-2", "")
    until = time.time() + RETURN_SEEN_S + WITHDRAWAL_S
    while time.time() < until:
        assert statuses(site, SAFE, KEYS["toll"]) <= {401, 503, 0, -503}
        assert 404 not in statuses(site, FIRST)
        time.sleep(0.1)
    site.configure(doc(5, FIRST, keys=ONLY_KITCHEN))
    everywhere(site, WITHDRAWAL_S, lambda name: site.call(name, SAFE).status == 200)


def test_gateways_refused_everything_after_several_returns_of_the_store(site: Deployment) -> None:
    # Those that others feed took each younger state for an older one.
    for version in (6, 10, 14):
        newest = doc(version, FIRST, f"/v{version}/")
        before = site.revision()
        for step in (version - 2, version - 1):
            site.configure(doc(step))
        site.configure(newest)
        everywhere(site, APPLY_S, lambda name, v=version: serves(site, name, v))
        come_back(site, before, newest)
    time.sleep(RETURN_SEEN_S + WITHDRAWAL_S)
    assert statuses(site, SAFE) == {200}
    assert statuses(site, STREAM) == {200}
    site.configure(doc(15, SECOND))
    everywhere(site, APPLY_S, lambda name: site.call(name, SECOND).status == 200)


def serves(site: Deployment, gateway: str, version: int) -> bool:
    return site.call(gateway, f"/v{version}/").status == 200


def test_a_withdrawn_version_was_tried_again_after_the_stores_return(site: Deployment) -> None:
    # The older copy holds its order without the end.
    site.start_upstream("new-1", "lm", "v2")
    site.behave("new-1", status=500)
    site.rollout("v2", 6)
    before = site.revision()
    calls(site, lambda: site.rollout_status() == "rolled_back", 10)
    time.sleep(APPLY_S)
    given = len(site.runs("new-1"))
    come_back(site, before, config(1))
    calls(site, lambda: False, WRITTEN_AGAIN_S)
    assert len(site.runs("new-1")) == given
    assert site.rollout_status() == "rolled_back"


def calls(site: Deployment, done: Callable[[], bool], within_s: float) -> list[Given]:
    """Call streams until something is true, for so long at most."""
    got = []
    until = time.time() + within_s
    while time.time() < until and not done():
        got += [site.call(name, STREAM) for name in site.gateways]
    return got


def test_an_evacuation_ended_and_an_ended_one_began_after_the_stores_return(
    tmp_path: Path,
) -> None:
    # The older copy lacked the one and held the other, until the operator wrote both again.
    found = Deployment(tmp_path, gateways=3, evacuate_ms=1500)
    try:
        found.evacuate("lideta")
        everywhere(found, APPLY_S + 1, lambda name: has_logged(found, name, "evacuation started"))
        before = found.revision()
        found.end_evacuation("lideta")
        found.evacuate("kirkos")
        everywhere(found, APPLY_S + 1, lambda name: halls_evacuated(found, name) == {"kirkos"})
        come_back(found, before, config(1))
        time.sleep(RETURN_SEEN_S)
        assert [halls_evacuated(found, name) for name in found.gateways] == 3 * [{"kirkos"}]
        found.end_evacuation("lideta")
        found.evacuate("kirkos")
        time.sleep(SETTLE_S)
        assert [halls_evacuated(found, name) for name in found.gateways] == 3 * [{"kirkos"}]
        found.end_evacuation("kirkos")
        everywhere(found, APPLY_S + 1, lambda name: halls_evacuated(found, name) == set())
    finally:
        found.stop()


def halls_evacuated(site: Deployment, gateway: str) -> set[str]:
    """Evacuated data halls by a gateway's log."""
    halls: set[str] = set()
    for line in site.lines(gateway):
        if "evacuation started" in line["message"]:
            halls.add(line["hall"])
        elif "evacuation ended" in line["message"]:
            halls.discard(line["hall"])
    return halls


def test_entries_of_gateways_that_the_store_had_lost_were_not_written_again(
    site: Deployment,
) -> None:
    come_back(site, 1, config(1))
    everywhere(site, WRITTEN_AGAIN_S, lambda name: site.stored(GATEWAY_KIND, name) is not None)
    entries = [site.stored(GATEWAY_KIND, name) for name in site.gateways]
    assert [entry["spec"]["addr"] for entry in entries if entry] == [
        site.internal_addr(name) for name in site.gateways
    ]


def test_confirmed_policies_that_the_store_had_lost_were_not_written_again(
    site: Deployment,
) -> None:
    # A plan made before the return can be confirmed after it, and a confirmation counts once.
    operated = Operated(site)
    assert operated.init().returncode == 0
    site.until(lambda: "revision" in operated.cli("status").stdout, 10)
    before = site.revision()
    operated.carry_out("cascade", "--policy", "best", "--models", "largest")
    plan = operated.plan("compare", "--workspace", "kitchen", "--split", "best=1")
    come_back(site, before, config(1))
    site.until(lambda: "best" in str(site.stored(POLICY_KIND, POLICY_NAME)), WRITTEN_AGAIN_S)
    site.until(lambda: site.stored(PLAN_KIND, plan) is not None, WRITTEN_AGAIN_S)
    got = operated.cli("confirm", plan, "--wait")
    assert got.returncode == 0 and "in force everywhere" in got.stdout, got
    stored = site.stored(POLICY_KIND, POLICY_NAME)
    assert stored is not None and stored["spec"]["plan_id"] == plan


def test_progress_of_a_rollout_that_the_store_had_lost_was_not_written_again(
    site: Deployment,
) -> None:
    site.start_upstream("new-1", "lm", "v2")
    site.rollout("v2", 40)
    before = site.revision()
    site.until(lambda: progress(site) >= SECOND_STEP, 8, "progress")
    come_back(site, before, config(1))
    site.until(lambda: progress(site) >= SECOND_STEP, WRITTEN_AGAIN_S, "progress")


def progress(site: Deployment) -> float:
    """The progress of the engines' roll-out that the store holds; -1 for none."""
    stored = site.stored(PROGRESS_KIND, "lm")
    return float(stored["spec"]["part"]) if stored is not None else -1.0


def test_fatal_requests_that_the_store_had_lost_were_not_written_again(site: Deployment) -> None:
    before = site.revision()
    known = {"fingerprint": "f" * 16, "at": int(time.time()), "certain": True, "upstreams": ["x"]}
    site.put(FATAL_KIND, FATAL_NAME, {"requests": [known]})
    everywhere(site, APPLY_S + 1, lambda name: has_logged(site, name, "fatal request known"))
    come_back(site, before, config(1))
    site.until(lambda: site.stored(FATAL_KIND, FATAL_NAME) is not None, WRITTEN_AGAIN_S, "document")
    assert not any(has_logged(site, name, "all may run again") for name in site.gateways)


def has_logged(site: Deployment, gateway: str, text: str) -> bool:
    return any(text in line["message"] for line in site.lines(gateway))
