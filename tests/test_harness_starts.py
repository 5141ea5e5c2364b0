"""Deployments whose processes do not start in time leave no process running.

Guards against leaked processes: on a busy machine a stand-in needed 15 s to its first line, the
tests failed, and nine of their processes kept running beside all later tests.
"""

from __future__ import annotations

import subprocess
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from tests.conftest import SMALL_FLEET
from tests.harness import cluster, gateways

StartFunction = Callable[[Path], object]


def start_cluster(folder: Path) -> object:
    return cluster.Cluster(folder, SMALL_FLEET).start()


def start_deployment(folder: Path) -> object:
    return gateways.Deployment(folder)


def fail_wait_ready(site: gateways.Deployment, name: str) -> None:
    raise AssertionError(f"{name} did not start")


@pytest.mark.parametrize("start", [start_cluster, start_deployment])
def test_a_failed_start_leaves_no_process(
    start: StartFunction, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    started: list[subprocess.Popen[bytes]] = []
    popen = subprocess.Popen

    def recording_popen(*args: Any, **kwargs: Any) -> subprocess.Popen[bytes]:
        started.append(popen(*args, **kwargs))
        return started[-1]

    monkeypatch.setattr(subprocess, "Popen", recording_popen)
    monkeypatch.setattr(cluster, "READY_S", 0.0)
    monkeypatch.setattr(gateways.Deployment, "wait_ready", fail_wait_ready)
    with pytest.raises((TimeoutError, AssertionError)):
        start(tmp_path)
    assert started
    assert [proc for proc in started if proc.poll() is None] == []
