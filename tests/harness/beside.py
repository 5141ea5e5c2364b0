"""Ordinary traffic and a watch on memory, beside clients that don't behave.

The watch counts what a process holds and what has arrived for it and is not read yet, and stops
the process when that passes the memory of its machine.
"""

from __future__ import annotations

import collections
import contextlib
import json
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import Final, NamedTuple

from ramppost import clock
from tests.harness.gateways import HOST, KEYS, SAFE, SITE, Deployment
from tests.harness.strangers import MIB

PAUSE_S: Final = 0.05
SERVED_WITHIN_S: Final = 2.0
READY_WITHIN_S: Final = 1.0
SAMPLE_S: Final = 0.02
CALM_S: Final = 0.5
"""How long ordinary requests are watched after the strangers have gone."""
Addr = tuple[str, int]
STRANGERS_KEY: Final = KEYS["toll"]


class Door(NamedTuple):
    """Where strangers go: an address and a path; `key` is empty for none."""

    addr: Addr
    path: str
    key: str = ""


class Watched(NamedTuple):
    """The process that is played against, what is asked of it beside, and where it listens."""

    proc: subprocess.Popen[bytes]
    ports: set[int]
    ordinary: Door
    ready: Door


def gateway(site: Deployment) -> Watched:
    """The only gateway of a deployment."""
    name = site.gateways[0]
    port = site.port(name)
    ports = {port, port + 1, port + 2, port + 3}
    ordinary = Door((HOST, port), f"{SAFE}o", KEYS["kitchen"])
    return Watched(site.procs[name], ports, ordinary, Door((HOST, port + 1), "/ready"))


def gateway_doors(site: Deployment) -> dict[str, Door]:
    """Each kind of path that a gateway has a door for."""
    name = site.gateways[0]
    callers = (HOST, site.port(name))
    return {
        "route": Door(callers, f"{SAFE}x", STRANGERS_KEY),
        "no_key": Door(callers, f"{SAFE}x"),
        "no_route": Door(callers, "/nowhere/x", STRANGERS_KEY),
        "ready": Door((HOST, site.port(name) + 1), "/ready"),
        "internal": Door((site.ip(name), site.port(name) + 2), "/nowhere"),
    }


class Outcome(NamedTuple):
    """What was seen: times in seconds, memory in MB of the watched process."""

    alive: bool
    peak_mb: float
    left_mb: float
    times: list[float]
    failed: list[str]
    ready_late: int
    strangers: dict[str, int]

    @property
    def served_share(self) -> float:
        return len(self.times) / max(1, len(self.times) + len(self.failed))

    @property
    def worst_s(self) -> float:
        return max(self.times, default=0.0)

    def line(self) -> str:
        """One line of a table."""
        count = len(self.times) + len(self.failed)
        memory = f"{self.peak_mb:.0f} MB, then {self.left_mb:.0f} MB"
        served = f"ordinary {len(self.times)}/{count}, worst {self.worst_s:.2f} s"
        failed = f"{sorted(set(self.failed))}; ready late twice {self.ready_late}"
        end = "alive" if self.alive else "ENDED"
        return f"{memory}; {served}, {failed}; strangers {self.strangers}; {end}"


def _resident_bytes(pid: int) -> int:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    row = next((line for line in lines if line.startswith("VmRSS")), "VmRSS: 0 kB")
    return int(row.split()[1]) * 1024


def _unread_bytes(ports: set[int]) -> int:
    """What has arrived at these ports and is not read yet."""
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[3] != "0A" and int(fields[1].partition(":")[2], 16) in ports:
            total += int(fields[4].partition(":")[2], 16)
    return total


class MemoryWatch:
    """Samples the memory of a child process; kills it when it passes the limit."""

    def __init__(self, proc: subprocess.Popen[bytes], ports: set[int], limit_mb: int) -> None:
        self._proc = proc
        self._ports = ports
        self._limit = limit_mb * MIB
        self.peak = 0
        self.now = 0
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        while not self._ended.wait(SAMPLE_S) and self._proc.poll() is None:
            with contextlib.suppress(OSError):
                self.now = _resident_bytes(self._proc.pid) + _unread_bytes(self._ports)
            self.peak = max(self.peak, self.now)
            if self.peak > self._limit:
                self._proc.kill()
                return

    def end(self) -> None:
        self._ended.set()
        self._thread.join()


def get(door: Door, within_s: float) -> int:
    """The status of an ordinary request on a new connection; 0 if there is none in time."""
    lines = [f"GET {door.path} HTTP/1.1", f"host: {SITE}", f"x-attempt-id: {time.time_ns():016x}"]
    lines += [f"x-deadline-ms: {int(within_s * 1000)}", "connection: close"]
    lines += [f"api-key: {door.key}"] if door.key else []
    try:
        with socket.create_connection(door.addr, within_s) as sock:
            sock.settimeout(within_s)
            sock.sendall("\r\n".join([*lines, "", ""]).encode())
            got = sock.recv(65536)
            return int(got[9:12]) if got.startswith(b"HTTP/1.1 ") else 0
    except (OSError, ValueError):
        return 0


class Ordinary(threading.Thread):
    """Ordinary requests, some at a time, each begun at its time whatever became of the others."""

    def __init__(self, watched: Watched) -> None:
        super().__init__(daemon=True)
        self._watched = watched
        self.times: list[float] = []
        self.failed: list[str] = []
        self.ready_late = 0
        self._ended = threading.Event()
        self._calls: list[threading.Thread] = []

    def run(self) -> None:
        asks_ready = threading.Thread(target=self._ask_ready, daemon=True)
        asks_ready.start()
        while not self._ended.wait(PAUSE_S):
            call = threading.Thread(target=self._call, daemon=True)
            call.start()
            self._calls.append(call)
        for call in self._calls:
            call.join()
        asks_ready.join()

    def _call(self) -> None:
        began_at = clock.now()
        status = get(self._watched.ordinary, SERVED_WITHIN_S)
        if status == 200:
            self.times.append(clock.now() - began_at)
        else:
            self.failed.append(str(status or "late"))

    def _ask_ready(self) -> None:
        """The balancer asks every second; two answers in a row that are late take a box out."""
        late = 0
        while not self._ended.is_set():
            began_at = clock.now()
            status = get(self._watched.ready, READY_WITHIN_S)
            late = 0 if status == 200 else late + 1
            self.ready_late += late >= 2
            self._ended.wait(max(0.0, began_at + 1.0 - clock.now()))

    def end(self) -> None:
        self._ended.set()
        self.join()


def play_beside(
    watched: Watched, plays: list[tuple[str, Door]], machine_mb: int, for_s: float, seed: int
) -> Outcome:
    """Play strangers beside ordinary requests; the process is stopped if it takes too much."""
    watch = MemoryWatch(watched.proc, watched.ports, machine_mb)
    ordinary = Ordinary(watched)
    ordinary.start()
    players = [_start_player(play, door, for_s, seed) for play, door in plays]
    told = [player.communicate()[0] for player in players]
    time.sleep(CALM_S)
    ordinary.end()
    watch.end()
    strangers: collections.Counter[str] = collections.Counter()
    for text in told:
        strangers.update(json.loads(text or "{}"))
    return Outcome(
        watched.proc.poll() is None,
        watch.peak / MIB,
        watch.now / MIB,
        ordinary.times,
        ordinary.failed,
        ordinary.ready_late,
        dict(strangers),
    )


def _start_player(play: str, door: Door, for_s: float, seed: int) -> subprocess.Popen[str]:
    command = [sys.executable, "-m", "tests.harness.strangers", "--play", play]
    command += ["--addr", f"{door.addr[0]}:{door.addr[1]}", "--path", door.path]
    command += ["--key", door.key, "--for-s", str(for_s), "--seed", str(seed)]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
