"""Deployments whose processes don't come up in time leave none behind.

On a busy machine a stand-in needed 15 s to its first line, the tests gave up, and nine processes of
theirs ran on beside all that followed, until somebody ended them.
"""

from __future__ import annotations

import subprocess
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from tests.conftest import SMALL_FLEET
from tests.harness import cluster, gateways

Start = Callable[[Path], object]


def start_cluster(folder: Path) -> object:
    return cluster.Cluster(folder, SMALL_FLEET).start()


def start_deployment(folder: Path) -> object:
    return gateways.Deployment(folder)


def never(site: gateways.Deployment, name: str) -> None:
    raise AssertionError(f"{name} did not come")


@pytest.mark.parametrize("start", [start_cluster, start_deployment])
def test_what_was_started_ends(
    start: Start, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    started: list[subprocess.Popen[bytes]] = []
    popen = subprocess.Popen

    def noted(*args: Any, **kwargs: Any) -> subprocess.Popen[bytes]:
        started.append(popen(*args, **kwargs))
        return started[-1]

    monkeypatch.setattr(subprocess, "Popen", noted)
    monkeypatch.setattr(cluster, "READY_S", 0.0)
    monkeypatch.setattr(gateways.Deployment, "wait_ready", never)
    with pytest.raises((TimeoutError, AssertionError)):
        start(tmp_path)
    assert started
    assert [proc for proc in started if proc.poll() is None] == []
