"""Fixtures that the features share."""

from __future__ import annotations

import os
from collections.abc import Iterator

import pytest

from ramppost.standin.fleet import MESOB_CLASSES, FleetPlan
from tests.harness.cluster import Cluster

SMALL = FleetPlan(
    base_port=0,
    halls=["bole", "kirkos"],
    entries=2,
    engines=2,
    services=1,
    engine_pool="model-runner",
    service_name="site",
    workspaces=["mesob", "toll"],
    classes=MESOB_CLASSES,
)


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    """A small fleet, started once for a module."""
    ablate = os.environ.get("RAMPPOST_ABLATE", "")
    cluster = Cluster(tmp_path_factory.mktemp("fleet"), SMALL, ablate).start()
    yield cluster
    cluster.stop()


@pytest.fixture
def cluster(fleet: Cluster) -> Iterator[Cluster]:
    """The small fleet, healed before each scenario."""
    fleet.heal()
    yield fleet
