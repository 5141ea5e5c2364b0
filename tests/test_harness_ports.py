"""Runs of tests beside each other, each with processes on ports of its own.

Two runs chose the same free block of ports at the same moment: stores and upstreams ended with
`Address already in use`, gateways asked the other run's processes, which answered 401, and the
tests gave up with `gateway-2 did not come in 15.0 s`.
"""

from __future__ import annotations

import subprocess
import sys

from tests.harness.cluster import free_base

RUNS = 4
CHOOSE = (
    "import os; os.getpid = lambda: 7\n"
    "from tests.harness.cluster import free_base; print(free_base(), flush=True); input()"
)
"""As runs whose numbers lead to the same block do."""


def test_runs_beside_each_other_have_ports_of_their_own() -> None:
    """None of them listens yet when the others choose."""
    runs = [
        subprocess.Popen(
            [sys.executable, "-c", CHOOSE], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        for _ in range(RUNS)
    ]
    bases = [run.stdout.readline() for run in runs if run.stdout is not None]
    for run in runs:
        run.communicate("\n")
    assert len(set(bases)) == RUNS


def test_a_run_may_have_its_ports_again() -> None:
    assert free_base() == free_base()
