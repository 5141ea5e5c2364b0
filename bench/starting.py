"""Where the time goes when all gateways of a fleet are killed and start again at once.

    python -m bench.starting --gateways 10 40 100 --upstreams 600

Prints, for each number of gateways, seconds from the start of the processes until the middle and
the last of them had begun to run, had the configuration in force and knew the upstreams, and the
processor time of a start.  All run on this machine, so the last line of the account is what its
cores need for the starts alone: what is near that is the machine's time and not the fleet's.
"""

from __future__ import annotations

import argparse
import os
import signal
import statistics
import tempfile
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any, Final, NamedTuple

from ramppost import clock
from tests.harness.gateways import Deployment, written_at

STEPS: Final = ("starting", "configuration in force", "upstreams listed")
"""Lines that a gateway writes as it starts, in the order in which they are asked for here."""
SETTLED_S: Final = 3.0
"""After a first start, until all know one another."""
KNOWN_WITHIN_S: Final = 120.0
CPU_FIELDS: Final = slice(13, 15)
"""Of `/proc/PID/stat`: ticks in the process and in the kernel for it."""


class Started(NamedTuple):
    """Seconds from the start of all processes to each step, by step and gateway, and seconds of
    processor time of each gateway until all knew everything."""

    steps: dict[str, list[float]]
    cpu_s: list[float]


def fill(site: Deployment, upstreams: int) -> None:
    """Enter upstreams of a service that nobody asks for."""
    for number in range(upstreams):
        site.put_entry(f"idle-{number}", "idle", f"127.0.0.1:{number + 1}")


def start_all(site: Deployment) -> float:
    """Kill all gateways and start them at once; gives when (time of day)."""
    for name in site.gateways:
        site.signal(name, signal.SIGKILL)
    for name in site.gateways:
        site.wait_end(name)
    began_at = time.time()
    for name in site.gateways:
        site.start_gateway(name)
    return began_at


def last_start(lines: list[dict[str, Any]], began_at: float) -> dict[str, float]:
    """When each step was first taken by the process that started last; seconds from `began_at`."""
    found: dict[str, float] = {}
    for line in lines:
        after_s = written_at(line) - began_at
        if after_s > 0 and line["message"] in STEPS:
            found.setdefault(line["message"], after_s)
    return found


def measured(site: Deployment) -> Started:
    """Start all at once, and wait until each knows everything."""
    began_at = start_all(site)
    until = clock.now() + KNOWN_WITHIN_S
    while True:
        found = [last_start(site.lines(name), began_at) for name in site.gateways]
        if all(len(steps) == len(STEPS) for steps in found):
            break
        if clock.now() > until:
            raise SystemExit(f"not all gateways know everything after {KNOWN_WITHIN_S:g} s")
        time.sleep(1.0)
    steps = {step: [one[step] for one in found] for step in STEPS}
    return Started(steps, [cpu_s(site.procs[name].pid) for name in site.gateways])


def cpu_s(pid: int) -> float:
    """Seconds of processor time of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().split()
    return sum(int(ticks) for ticks in fields[CPU_FIELDS]) / os.sysconf("SC_CLK_TCK")


def show(gateways: int, started: Started) -> None:
    """Print what was measured."""
    print(f"{gateways} gateways")
    for step, after_s in started.steps.items():
        print(f"  {step:24} {statistics.median(after_s):6.2f} {max(after_s):6.2f} s (middle, last)")
    total_s = sum(started.cpu_s)
    cores = len(os.sched_getaffinity(0))
    print(
        f"  processor time of a start, middle {statistics.median(started.cpu_s):.2f} s; of all "
        f"{total_s:.1f} s, that is {total_s / cores:.2f} s of {cores} cores",
        flush=True,
    )


def play(sizes: Iterable[int], upstreams: int) -> None:
    """Measure each size in a deployment of its own."""
    for gateways in sizes:
        with tempfile.TemporaryDirectory(prefix="starting-") as folder:
            site = Deployment(Path(folder), gateways=gateways, engines=1, services=1)
            try:
                fill(site, upstreams)
                time.sleep(SETTLED_S)
                show(gateways, measured(site))
            finally:
                site.stop()


def main() -> None:
    """Measure what the arguments say."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--gateways", type=int, nargs="+", default=[10, 40])
    parser.add_argument("--upstreams", type=int, default=600)
    args = parser.parse_args()
    play(args.gateways, args.upstreams)


if __name__ == "__main__":
    main()
