"""Clients that don't behave, against real processes, beside ordinary requests.

The machine of the gateway is the smallest of the front boxes that deployments have, and that of the
own interface's front and agents the smallest box beside an upstream.
"""

from __future__ import annotations

import os
from collections.abc import Iterator
from typing import Any, Final

import pytest

from tests.conftest import SMALL_FLEET
from tests.harness.beside import Door, Outcome, Watched, gateway, gateway_doors, play_beside
from tests.harness.cluster import Cluster
from tests.harness.gateways import Deployment
from tests.harness.strangers import BODY, CALM_PLAYS, PLAYS
from tests.harness.strangers_soak import (
    MACHINE_MB,
    MAX_FDS,
    SERVED_SHARE,
    limit_descriptors,
    soak,
    start_site,
)

SIDE_MB: Final = 232
PLAY_S: Final = 4.0
CALM_PLAY_S: Final = 12.0
SEED: Final = 68
SOAK_SEEDS: Final = (2, 5, 6, 10, 124)
SOAK_S: Final = 6.0
OUTER_DOORS: Final = ("route", "ready")
INNER_DOORS: Final = ("no_key", "no_route", "internal")
ALL_DOORS: Final = "RAMPPOST_ALL_DOORS"
"""Environment variable with which each client is played at each door; else at three of them."""


def doors_of(play: str) -> tuple[str, ...]:
    """The doors that a client is played at."""
    if os.environ.get(ALL_DOORS):
        return OUTER_DOORS + INNER_DOORS
    return (*OUTER_DOORS, INNER_DOORS[list(PLAYS).index(play) % len(INNER_DOORS)])


@pytest.fixture(scope="module")
def deployed(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    site = start_site(tmp_path_factory.mktemp("strangers"))
    yield site
    site.stop()


@pytest.fixture
def site(deployed: Deployment) -> Deployment:
    """A gateway that serves; started again where the last test has stopped or hung it."""
    name = deployed.gateways[0]
    if not deployed.ready(name):
        deployed.procs[name].kill()
        deployed.wait_end(name)
        deployed.start_gateway(name)
    limit_descriptors(deployed.procs[name].pid)
    deployed.wait_ready(name)
    deployed.wait_members()
    return deployed


@pytest.fixture(scope="module")
def own_fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    memory = {"memory_mb": SIDE_MB, "open_files": MAX_FDS}
    entry = {"limits": {"header_bytes": 16384, "body_bytes": BODY, "read_timeout_s": 10} | memory}
    entry["limits"]["connections"] = 2000
    changes: dict[str, Any] = {"entry": entry, "agent": {"limits": memory}}
    fleet = Cluster(tmp_path_factory.mktemp("own"), SMALL_FLEET, **changes).start()
    yield fleet
    fleet.stop()


def judge(seen: Outcome, machine_mb: int = MACHINE_MB) -> None:
    """What must hold whatever strangers do."""
    print(seen.line())
    assert seen.alive, seen.line()
    assert seen.peak_mb <= machine_mb, seen.line()
    assert seen.served_share >= SERVED_SHARE, seen.line()
    assert seen.ready_late == 0, seen.line()


@pytest.mark.parametrize(
    ("play", "door"), [(play, door) for play in PLAYS for door in doors_of(play)]
)
def test_strangers_took_memory_or_time_from_others(site: Deployment, play: str, door: str) -> None:
    """Bodies, heads, requests ahead and crowds hung gateways or filled their memory."""
    where = gateway_doors(site)[door]
    judge(play_beside(gateway(site), [(play, where)], MACHINE_MB, PLAY_S, SEED))


@pytest.mark.parametrize("play", CALM_PLAYS)
def test_single_request_inside_the_limits_was_not_served(site: Deployment, play: str) -> None:
    """One body of 4 MiB in chunks of a byte was read for 55 s, in which nobody else was served."""
    where = gateway_doors(site)["route"]
    seen = play_beside(gateway(site), [(play, where)], MACHINE_MB, CALM_PLAY_S, SEED)
    judge(seen)
    assert seen.strangers.get("200") == 1, seen.line()


@pytest.mark.parametrize("play", ["whole_bodies", "one_byte_chunks", "sent_ahead", "one_byte"])
@pytest.mark.parametrize("process", ["entry-1", "agent-1"])
def test_strangers_at_the_own_interface(own_fleet: Cluster, process: str, play: str) -> None:
    """The front and the agents of the own interface had the same reader without bounds."""
    watched, door = own_process(own_fleet, process)
    limit_descriptors(watched.proc.pid)
    judge(play_beside(watched, [(play, door)], SIDE_MB, PLAY_S, SEED), SIDE_MB)


def own_process(fleet: Cluster, name: str) -> tuple[Watched, Door]:
    """An entry at its callers' port, or an agent, and the door that strangers come to."""
    url = fleet.url(name) if name in fleet.entry_names else fleet.internal(name)
    host, _, port = url.removeprefix("http://").rpartition(":")
    addr = (host, int(port))
    asked = Door(addr, "/readyz")
    return Watched(fleet.procs[name], {int(port)}, asked, asked), Door(addr, "/nowhere")


@pytest.mark.parametrize("seed", SOAK_SEEDS)
def test_several_kinds_of_strangers_at_once(seed: int) -> None:
    """A short seeded soak; two of the seeds stop the gateway as planned."""
    assert soak(seed, SOAK_S) == []
