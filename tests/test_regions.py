"""Guards against requests that run outside the home regions of their route or workspace."""

from __future__ import annotations

import random
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from bench.choosing import job_of
from ramppost import clock
from ramppost.gateway.candidates import candidates
from ramppost.gateway.job import Job
from ramppost.gateway.model import Upstream, Workspace
from ramppost.gateway.regions import Regions
from ramppost.gateway.state import Gateway
from ramppost.gateway.watchers import apply_config
from ramppost.platform import names
from ramppost.platform.documents import routing_table
from ramppost.platform.store import StoredObject
from ramppost.schema.settings import GatewaySettings
from ramppost.wire.codec import BadMessage
from tests.harness.gateways import KEYS, SITE, STREAM, Deployment, config
from tests.test_gateway_state import SETTINGS

REGION_BY_HALL = {"bole": "south", "kirkos": "south", "mekelle": "north"}
UPSTREAMS = [
    Upstream(f"i-{hall}", "10.0.0.1:80", "lm", hall, "v1", 24, False, 7)
    for hall in (*REGION_BY_HALL, "nowhere")
]
ALL_UPSTREAM_IDS = ["i-bole", "i-kirkos", "i-mekelle", "i-nowhere"]
SOUTH, NORTH = ("south",), ("north",)


def config_with(route_regions: Any, workspace_regions: Any) -> dict[str, Any]:
    doc = config(1)
    doc["routes"][0]["allowed_regions"] = route_regions
    doc["tenants"][0]["allowed_regions"] = workspace_regions
    return doc


@pytest.mark.parametrize(
    "route_regions, workspace_regions, allowed",
    [
        ((), (), ALL_UPSTREAM_IDS),
        (SOUTH, (), ["i-bole", "i-kirkos"]),
        ((), NORTH, ["i-mekelle"]),
        (SOUTH, ("north", "south"), ["i-bole", "i-kirkos"]),
        (SOUTH, NORTH, []),
        (("elsewhere",), (), []),
    ],
)
def test_upstreams_match_home_regions_of_route_and_workspace(
    route_regions: tuple[str, ...], workspace_regions: tuple[str, ...], allowed: list[str]
) -> None:
    gw = Gateway(GatewaySettings(**{**SETTINGS, "regions": REGION_BY_HALL}))
    apply_config(
        gw, StoredObject(names.CONFIG_NAME, 1, config_with(list(route_regions), None), None)
    )
    for upstream in UPSTREAMS:
        gw.members.put(upstream)
    job: Job = job_of(gw, random.Random(1))
    job.workspace = Workspace("kitchen", 0, workspace_regions)
    found = [upstream.id for upstream in candidates(gw, job, "lm", clock.now())]
    assert found == allowed


def test_retries_stay_in_home_regions() -> None:
    gw = Gateway(GatewaySettings(**{**SETTINGS, "regions": REGION_BY_HALL}))
    apply_config(gw, StoredObject(names.CONFIG_NAME, 1, config_with(["north"], None), None))
    for upstream in UPSTREAMS:
        gw.members.put(upstream)
    job = job_of(gw, random.Random(1))
    job.tried_upstreams = {"i-mekelle@7"}
    assert candidates(gw, job, "lm", clock.now()) == []


def test_filtered_list_is_cached() -> None:
    regions = Regions(REGION_BY_HALL)
    assert regions.filter_upstreams(UPSTREAMS, (), ()) is UPSTREAMS
    found = regions.filter_upstreams(UPSTREAMS, SOUTH, ())
    assert regions.filter_upstreams(UPSTREAMS, SOUTH, ()) is found
    assert regions.filter_upstreams(UPSTREAMS, NORTH, ()) is not found


@pytest.mark.parametrize("home_regions", [None, []])
def test_missing_or_empty_home_regions_allow_any_region(home_regions: Any) -> None:
    table = routing_table(StoredObject("main", 1, config_with(home_regions, home_regions), None))
    assert not isinstance(table, BadMessage) and table.keys is not None
    assert table.keys[KEYS["kitchen"]].home_regions == ()
    assert all(route.home_regions == () for route in table.routes[SITE])


def test_home_regions_of_wrong_type_are_rejected() -> None:
    doc = config_with("north", None)
    assert isinstance(routing_table(StoredObject("main", 1, doc, None)), BadMessage)


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Deployment]:
    deployment = Deployment(tmp_path, engines=1, services=1, regions=REGION_BY_HALL)
    try:
        north_upstream = deployment.start_upstream("lm-north", "lm", "v1", hall="mekelle")
        for name in deployment.gateways:
            deployment.until(
                lambda name=name: any(
                    line.get("upstream") == north_upstream for line in deployment.lines(name)
                ),
                5.0,
                "the upstream in the north",
            )
        yield deployment
    finally:
        deployment.stop()


def test_broken_stream_is_not_resumed_in_another_region(site: Deployment) -> None:
    site.configure(config_with(["north"], None) | {"version": 2})
    for name in site.gateways:
        site.until(
            lambda name=name: any(line.get("version") == 2 for line in site.lines(name)),
            5.0,
            "the configuration",
        )
    runs_before = len(site.runs("lm-1"))
    for name in site.gateways:
        answer = site.call(name, STREAM)
        assert answer.status == 200 and answer.events == [1, 2, 3, 4, 5]
    site.behave("lm-north", cut_after=2)
    for name in site.gateways:
        assert site.call(name, STREAM).events != [1, 2, 3, 4, 5]
    site.behave("lm-north", refuse=True)
    for name in site.gateways:
        assert site.call(name, STREAM).status == 503
    assert len(site.runs("lm-1")) == runs_before
