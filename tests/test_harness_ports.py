"""Concurrent test runs use separate port blocks.

Guards against two runs that choose the same free block at the same moment: stores and upstreams
ended with `Address already in use`, and gateways called the other run's processes, which answered
401, until the tests failed with `gateway-2 did not come in 15.0 s`.
"""

from __future__ import annotations

import subprocess
import sys

from tests.harness.cluster import free_base

RUNS = 4
CHOOSE_PORTS = (
    "import os; os.getpid = lambda: 7\n"
    "from tests.harness.cluster import free_base; print(free_base(), flush=True); input()"
)
"""Chooses a block with a fixed process ID, so that all runs start at the same block."""


def test_concurrent_runs_get_separate_ports() -> None:
    """No run listens on its ports yet when the others choose theirs."""
    runs = [
        subprocess.Popen(
            [sys.executable, "-c", CHOOSE_PORTS],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(RUNS)
    ]
    bases = [run.stdout.readline() for run in runs if run.stdout is not None]
    for run in runs:
        run.communicate("\n")
    assert len(set(bases)) == RUNS


def test_a_run_gets_the_same_ports_again() -> None:
    assert free_base() == free_base()
