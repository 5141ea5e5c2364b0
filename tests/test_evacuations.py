"""Guards against requests being sent to upstreams in an evacuated data hall."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from bench.choosing import job_of
from ramppost import clock
from ramppost.audit.run import audit
from ramppost.errors import Refusal
from ramppost.gateway.admit import admit
from ramppost.gateway.attempt import _compose_request
from ramppost.gateway.evacuations import evacuation_changed, evacuations_listed
from ramppost.gateway.feed import urgent_kinds_known
from ramppost.gateway.links import NotSent, OutgoingRequest
from ramppost.gateway.membership import Members
from ramppost.gateway.model import Upstream
from ramppost.gateway.pick import pick
from ramppost.gateway.state import Gateway
from ramppost.gateway.watchers import apply_config_snapshot, confirm_config
from ramppost.platform import names
from ramppost.platform.store import Change, Snapshot, StoredObject
from ramppost.schema.settings import GatewaySettings
from tests.harness.gateways import ONCE, SAFE, STREAM, Deployment, config
from tests.test_gateway_state import SETTINGS

BOUND_MS = 1500
WITH_EVACUATIONS = GatewaySettings(
    **{**SETTINGS, "timing": {**SETTINGS["timing"], "evacuate_ms": BOUND_MS}}
)
BOLE_UPSTREAM = Upstream("i-1", "10.0.0.1:80", "lm", "bole", "v1", 24, False, 7)
KIRKOS_UPSTREAM = Upstream("i-2", "10.0.0.2:80", "lm", "kirkos", "v1", 24, False, 7)


def evacuation(hall: str, revision: int = 9, spec: object = None) -> StoredObject:
    return StoredObject(hall, revision, {} if spec is None else spec, None)


@pytest.fixture
def gw() -> Gateway:
    found = Gateway(WITH_EVACUATIONS)
    apply_config_snapshot(found, Snapshot([StoredObject(names.CONFIG_NAME, 1, config(1), None)], 5))
    confirm_config(found, clock.now())
    found.members_listed = True
    for upstream in (BOLE_UPSTREAM, KIRKOS_UPSTREAM):
        found.members.put(upstream)
    return found


def test_an_evacuated_hall_has_no_usable_upstreams_until_the_evacuation_ends(gw: Gateway) -> None:
    evacuations_listed(gw, Snapshot([evacuation("kirkos")], 9))
    assert gw.members.usable("lm", clock.now()) == [BOLE_UPSTREAM]
    evacuation_changed(gw, Change(evacuation("kirkos"), removed=True))
    assert gw.members.usable("lm", clock.now()) == [BOLE_UPSTREAM, KIRKOS_UPSTREAM]


def test_an_evacuation_missing_from_the_next_list_ends(gw: Gateway) -> None:
    evacuations_listed(gw, Snapshot([evacuation("kirkos")], 9))
    evacuations_listed(gw, Snapshot([evacuation("bole", 12)], 12))
    assert gw.members.usable("lm", clock.now()) == [KIRKOS_UPSTREAM]


@pytest.mark.parametrize("spec", ["text", 7, ["kirkos"], {"zone": 3}, None])
def test_an_evacuation_takes_effect_whatever_its_spec(gw: Gateway, spec: object) -> None:
    evacuation_changed(gw, Change(StoredObject("kirkos", 9, spec, None), removed=False))
    assert gw.members.usable("lm", clock.now()) == [BOLE_UPSTREAM]


def test_evacuating_an_unknown_hall_affects_no_upstreams(gw: Gateway) -> None:
    evacuations_listed(gw, Snapshot([evacuation("nowhere")], 9))
    assert len(gw.members.usable("lm", clock.now())) == 2


def test_upstreams_added_during_an_evacuation_are_not_usable(gw: Gateway) -> None:
    evacuations_listed(gw, Snapshot([evacuation("kirkos")], 9))
    gw.members.put(KIRKOS_UPSTREAM._replace(id="i-3"))
    assert gw.members.usable("lm", clock.now()) == [BOLE_UPSTREAM]


def test_upstreams_without_an_entry_are_no_last_resort_in_an_evacuated_hall() -> None:
    members = Members()
    members.put(KIRKOS_UPSTREAM)
    members.remove(KIRKOS_UPSTREAM.id, 0.0)
    assert members.usable("lm", 0.1) == [KIRKOS_UPSTREAM]
    members.set_evacuated_halls(frozenset({"kirkos"}))
    assert members.usable("lm", 0.1) == []


def test_an_attempt_chosen_before_the_evacuation_is_not_sent(gw: Gateway) -> None:
    evacuations_listed(gw, Snapshot([evacuation("bole")], 9))
    job = job_of(gw, random.Random(1))
    chosen = pick(gw, job, "lm", "small", clock.now())
    assert chosen is not None and chosen.upstream == KIRKOS_UPSTREAM
    assert isinstance(_compose_request(gw, job, chosen, "small", None), OutgoingRequest)
    evacuations_listed(gw, Snapshot([evacuation("bole"), evacuation("kirkos", 10)], 10))
    got = _compose_request(gw, job, chosen, "small", None)
    assert isinstance(got, NotSent) and got.withheld


def test_no_caller_is_admitted_before_the_evacuations_are_listed(gw: Gateway) -> None:
    job = job_of(gw, random.Random(1))
    assert isinstance(admit(gw, job.req), Refusal)
    assert not gw.ready and not urgent_kinds_known(gw)
    evacuations_listed(gw, Snapshot([], 9))
    found = admit(gw, job.req)
    assert not isinstance(found, Refusal) or found.code != "not_ready"


def test_a_deployment_without_evacuations_does_not_wait_for_them() -> None:
    assert Gateway(SETTINGS).evacuations_known


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Deployment]:
    found = Deployment(tmp_path, gateways=2, engines=1, services=1, evacuate_ms=BOUND_MS)
    try:
        found.start_upstream("lm-far", "lm", "v1", hall="kirkos")
        found.start_upstream("web-far", "web", "v1", hall="kirkos")
        for name in found.gateways:
            found.until(lambda name=name: _knows_all_upstreams(found, name), 5.0, "all upstreams")
        for name in ("web-1", "web-far"):
            # Longer than an untried upstream is assumed to take, so that both halls are used.
            found.behave(name, work_ms=60)
        yield found
    finally:
        found.stop()


def _knows_all_upstreams(site: Deployment, gateway: str) -> bool:
    seen = {line.get("upstream") for line in site.lines(gateway)}
    return {site.ids["lm-far"], site.ids["web-far"]} <= seen


class _BackgroundCalls:
    """Sends requests of each kind to all gateways until stopped; records failed statuses."""

    def __init__(self, site: Deployment) -> None:
        self.site = site
        self.failed: list[int] = []
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(gateway, prefix))
            for gateway in site.gateways
            for prefix in (ONCE, SAFE, STREAM)
        ]
        for thread in self._threads:
            thread.start()

    def _run(self, gateway: str, prefix: str) -> None:
        rng = random.Random(f"{gateway}{prefix}")
        while not self._stopping.is_set():
            # Different prompts have their home at different engines.
            prompt = {names.PROMPT_PARTS.decode(): f"{rng.randrange(100)}:60,own:40"}
            status = self.site.call(
                gateway, prefix, headers=prompt if prefix == STREAM else None
            ).status
            if status != 200:
                self.failed.append(status)

    def stop(self) -> None:
        self._stopping.set()
        for thread in self._threads:
            thread.join()


def _run_counts(site: Deployment) -> list[int]:
    return [len(site.runs(name)) for name in ("lm-1", "web-1")]


def _wait_for_new_runs(site: Deployment) -> None:
    before = _run_counts(site)
    site.until(
        lambda: all(now > then for now, then in zip(_run_counts(site), before, strict=True)),
        5.0,
        "new runs in bole",
    )


def test_an_evacuated_hall_gets_no_requests_after_the_bound_until_the_evacuation_ends(
    site: Deployment,
) -> None:
    calls = _BackgroundCalls(site)
    try:
        _wait_for_new_runs(site)
        site.evacuate("bole")
        time.sleep(BOUND_MS / 1000)
        before = _run_counts(site)
        time.sleep(1.0)
        assert _run_counts(site) == before
        site.end_evacuation("bole")
        _wait_for_new_runs(site)
    finally:
        calls.stop()
    assert calls.failed == []
    found = audit([str(site.folder / f"{name}.log") for name in site.gateways])
    assert found.programs == len(site.gateways)
    assert not any(check.broken for check in found.checks)


def test_an_evacuation_persists_through_a_restart_and_a_store_outage(site: Deployment) -> None:
    site.evacuate("bole")
    time.sleep(BOUND_MS / 1000)
    site.restart_gateway("gateway-2", "")
    site.wait_ready("gateway-2")
    site.fault("store", mode="down")
    calls = _BackgroundCalls(site)
    before = _run_counts(site)
    time.sleep(1.0)
    calls.stop()
    assert _run_counts(site) == before


def test_requests_are_refused_at_once_if_all_halls_are_evacuated(site: Deployment) -> None:
    for hall in ("bole", "kirkos"):
        site.evacuate(hall)
    time.sleep(BOUND_MS / 1000)
    began_at = clock.now()
    got = site.call("gateway-1", ONCE)
    assert got.status == 503 and float(got.headers["retry-after"]) > 0
    assert clock.now() - began_at < 0.2
