"""A randomized soak of a roll-out: sessions go on from gateway to gateway, amid faults.

    python -m tests.harness.rollout_soak --seeds 1 2 3

Gateways are killed, stopped as planned and paused, the store is disturbed and comes back from older
copies, links are cut and go silent, engines of both versions are replaced and lose answers, while
a good version is rolled out. No session in progress may be moved in the first half, or back, but
next to an unplanned disturbance of gateways or of their links; and the roll-out has to end.
"""

from __future__ import annotations

import argparse
import random
import signal
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Final, NamedTuple

from ramppost import clock
from tests.harness.gateways import Deployment
from tests.harness.sessions import MAX_MOVED, Move, SessionLoad, moves, roll_out, tell
from tests.harness.soak import Soak, audited, play_seeds

VERSION: Final = "v2"
NEW: Final = ("new-1", "new-2")
DURATION_S: Final = 14.0
SESSION_S: Final = 2.0
"""As the harness sets it for gateways."""
CONTACT_S: Final = 3.0
"""How long a gateway has to be undisturbed until it is held to what it must know."""
END_SLACK_S: Final = 8.0
"""For a store that is disturbed, or comes back, as the end is due."""


class Disturbance(NamedTuple):
    """What was done to a gateway or its links, empty for all; times of day."""

    gateway: str
    since: float
    until: float
    planned: bool


class RolloutSoak(Soak):
    """A deployment in which a version is rolled out under faults drawn from a seed."""

    def __init__(self, folder: Path, seed: int) -> None:
        super().__init__(folder, seed, further=("returns",))
        self._locks |= {name: threading.Lock() for name in NEW}
        self.disturbances: list[Disturbance] = []
        self.load = SessionLoad(self.site, callers=8, pause_s=0.1)

    def step(self, rng: random.Random) -> None:
        """One fault, or the end of one, and a pause."""
        super().step(rng)
        time.sleep(rng.uniform(0.0, 2.0))

    def faults(self) -> list[Callable[[random.Random], None]]:
        """The faults that the first schedules draw from."""
        return [
            self.kill_gateway,
            self.stop_gateway,
            self.stop_gateway,
            self.pause_gateway,
            self.disturb_store,
            self.disturb_link,
            self.disturb_peers,
            self.silence_links,
            self.replace_upstream,
            self.replace_new,
            self.lose_answers,
        ]

    def kill_gateway(self, rng: random.Random) -> None:
        self._disturb(super().kill_gateway, rng, "")

    def pause_gateway(self, rng: random.Random) -> None:
        self._disturb(super().pause_gateway, rng, "")

    def disturb_link(self, rng: random.Random) -> None:
        self._disturb(super().disturb_link, rng, self.site.gateways[0])

    def disturb_peers(self, rng: random.Random) -> None:
        self._disturb(super().disturb_peers, rng, self.site.gateways[1])

    def silence_links(self, rng: random.Random) -> None:
        self._disturb(super().silence_links, rng, "")

    def stop_gateway(self, rng: random.Random) -> None:
        name = rng.choice(self.site.gateways)
        with self._locks[name]:
            since = time.time()
            self.load.away.add(name)
            self.site.signal(name, signal.SIGTERM)
            self.site.wait_end(name, 12)
            self._start(name)
            self.site.wait_ready(name)
            self.load.away.discard(name)
            self.disturbances.append(Disturbance(name, since, time.time(), True))

    def replace_new(self, rng: random.Random) -> None:
        """Kill an engine of the new version and start another in its place."""
        name = rng.choice(NEW)
        with self._locks[name]:
            self.site.signal(name, signal.SIGKILL)
            self.site.wait_end(name)
            self.site.start_upstream(name, "lm", VERSION)

    def lose_answers(self, rng: random.Random) -> None:
        """Let both engines of the new version lose their answers for a moment."""
        for lose in (True, False):
            for name in NEW:
                self._behave(name, lose=lose)
            time.sleep(rng.uniform(0.05, 0.4))

    def _disturb(
        self, fault: Callable[[random.Random], None], rng: random.Random, gateway: str
    ) -> None:
        since = time.time()
        fault(rng)
        self.disturbances.append(Disturbance(gateway, since, time.time(), False))

    def is_excused(self, move: Move) -> bool:
        """Whether a gateway was disturbed unplanned since the request before, or one of those that
        sent the two was not in touch."""
        return any(
            (not d.planned and d.since <= move.after.sent_at and d.until >= move.before.sent_at)
            or any(
                d.gateway in ("", call.gateway) and d.since <= call.sent_at <= d.until + CONTACT_S
                for call in (move.before, move.after)
            )
            for d in self.disturbances
        )


def soak(folder: Path, seed: int) -> list[str]:
    """Play a seed; gives the promises that were broken."""
    played = RolloutSoak(folder, seed)
    try:
        time.sleep(1.0)
        rollout = roll_out(played.site, VERSION, DURATION_S)
        played.play(clock.now() + DURATION_S)
        ended = _wait_for_end(played.site)
        calls = played.load.end()
        moved = moves(calls, rollout, SESSION_S)
        found = [move for move in moved if not played.is_excused(move)]
        on_new = sum(call.version == VERSION for call in calls)
        print(f"seed {seed}: {', '.join(played.done)}; {len(calls)} calls, {on_new} on {VERSION}")
        print(f"seed {seed}: {len(moved)} moved, {len(found)} of them not excused", flush=True)
        lines = [f"not completed: {played.site.rollout_status()!r}"] if not ended else []
        if len(found) > MAX_MOVED:
            lines.append(tell(played.load, rollout, found))
        return lines + [line for line in audited(folder) if "sessions: " not in line]
    finally:
        played.load.end()
        played.site.stop()


def _wait_for_end(site: Deployment) -> bool:
    """Whether the roll-out is completed in time."""
    deadline = clock.now() + END_SLACK_S
    while site.rollout_status() != "completed":
        if clock.now() > deadline:
            return False
        time.sleep(0.1)
    return True


def main() -> int:
    """Play the seeds that the arguments name, or one drawn now."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, nargs="*", default=[])
    return play_seeds(parser.parse_args().seeds, "rollout-soak", soak)


if __name__ == "__main__":
    sys.exit(main())
