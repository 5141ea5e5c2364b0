"""A seeded soak: clients that don't behave, several at once, at any doors, beside stops.

    python -m tests.harness.strangers_soak --seeds 1 2 3 --duration-s 8

Each seed draws two to four plays with their doors, and what happens to the gateway meanwhile:
nothing, a reload, a planned stop, or a kill.  Memory and the ordinary requests are judged as in the
single plays; where the gateway ended as planned, what counts is that it ended in time.
"""

from __future__ import annotations

import argparse
import json
import random
import resource
import signal
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Final

from tests.harness.beside import Outcome, gateway, gateway_doors, play_beside
from tests.harness.gateways import Deployment, config
from tests.harness.strangers import BODY, PLAYS

MACHINE_MB: Final = 88
MAX_FDS: Final = 3075
FDS_FOR_FILES: Final = 200
CONFIG_APPLY_S: Final = 1.5
SERVED_SHARE: Final = 0.95
STOP_S: Final = 8.0
"""The limit of a planned stop in these deployments is 6 s."""
EVENTS: Final = ("none", "none", "reload", "stop", "kill")
MAX_CONNECTIONS: Final = 4000
"""Of all plays together: what these clients and the watch may have open."""
LIMITS: Final = {
    "max_header_bytes": 16384,
    "max_body_bytes": BODY,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def drawn_plays(rng: random.Random) -> list[str]:
    """Plays that are within the limit on connections."""
    found: list[str] = []
    for play in rng.sample(list(PLAYS), rng.randrange(2, 5)):
        if sum(PLAYS[other].connections for other in [*found, play]) <= MAX_CONNECTIONS:
            found.append(play)
    return found


def start_site(folder: Path) -> Deployment:
    """A gateway on the smallest machine, with the limits of the deployments."""
    limits = {"memory_mb": MACHINE_MB, "open_files": MAX_FDS}
    site = Deployment(folder, gateways=1, limits=limits)
    site.configure(config(2) | {"limits": LIMITS})
    time.sleep(CONFIG_APPLY_S)
    limit_descriptors(site.procs[site.gateways[0]].pid)
    return site


def limit_descriptors(pid: int) -> None:
    """Give a process no more sockets than its machine has."""
    sockets = MAX_FDS - FDS_FOR_FILES
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (sockets, sockets))


def disturb(site: Deployment, event: str, at_s: float) -> None:
    """Let something happen to the gateway, and start it again where it ends."""
    name = site.gateways[0]
    time.sleep(at_s)
    if event == "reload":
        settings = site.folder / f"{name}.json"
        settings.write_text(json.dumps(json.loads(settings.read_text()) | {"link_mbps": 900}))
        site.signal(name, signal.SIGHUP)
    elif event in ("stop", "kill"):
        site.signal(name, signal.SIGTERM if event == "stop" else signal.SIGKILL)
        code = site.wait_end(name, STOP_S)
        assert event == "kill" or code == 0, f"ended with {code}"


def faults(seen: Outcome, event: str) -> list[str]:
    """What did not hold."""
    found = []
    if seen.peak_mb > MACHINE_MB:
        found.append("memory")
    if event in ("none", "reload"):
        found += [] if seen.alive else ["ended"]
        found += [] if seen.served_share >= SERVED_SHARE else ["ordinary requests"]
        found += [] if seen.ready_late == 0 else ["ready"]
    return found


def soak(seed: int, duration_s: float) -> list[str]:
    """Play one seed; gives what did not hold."""
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory() as folder:
        site = start_site(Path(folder))
        try:
            doors = gateway_doors(site)
            plays = [(play, doors[rng.choice(list(doors))]) for play in drawn_plays(rng)]
            event = rng.choice(EVENTS)
            at_s = rng.uniform(0.5, duration_s / 2)
            disturbing = threading.Thread(target=disturb, args=(site, event, at_s), daemon=True)
            disturbing.start()
            seen = play_beside(gateway(site), plays, MACHINE_MB, duration_s, seed)
            disturbing.join(STOP_S)
            found = faults(seen, event) + (["stop"] if disturbing.is_alive() else [])
        finally:
            site.stop()
    names = [f"{play} at {door.path}:{door.addr[1] % 8}" for play, door in plays]
    print(f"seed {seed}: {found or 'held'}; {event}; {names}; {seen.line()}", flush=True)
    return found


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, nargs="+", required=True)
    parser.add_argument("--duration-s", type=float, default=8.0)
    args = parser.parse_args()
    broken = [seed for seed in args.seeds if soak(seed, args.duration_s)]
    print(f"{len(args.seeds)} seeds, broken: {broken}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
