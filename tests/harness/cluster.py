"""A fleet of real processes behind fault-injecting proxies."""

from __future__ import annotations

import fcntl
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import httpx

from ramppost import clock, ids
from ramppost.policy.permissions import token_hash
from ramppost.standin.fleet import AGENT_PORTS, ENTRY_PORTS, HOST, UPSTREAM_PORTS, FleetPlan, build
from tests.harness.proxy import Proxy

READY_S = 20.0
AGENT_TIMES = {"keep_s": 60, "orphan_s": 2, "witness_s": 2, "linger_s": 2}
POLL_S = 0.05
FIRST_PORT = 22000
PORT_BLOCK = 400
PORT_BLOCKS = 25


_blocks_held: set[int] = set()
"""Base ports of blocks for which this process holds a lock, until it ends."""


def free_base() -> int:
    """A base port whose block is free, and is no other run's until this process has ended."""
    blocks = [(os.getpid() + i) % PORT_BLOCKS for i in range(PORT_BLOCKS)]
    for base in (FIRST_PORT + block * PORT_BLOCK for block in blocks):
        probes = (base, base + ENTRY_PORTS, base + AGENT_PORTS, base + UPSTREAM_PORTS)
        if _hold(base) and all(_free(port) for port in probes):
            return base
    raise RuntimeError("no free block of ports")


def _hold(base: int) -> bool:
    """Keep a block of ports from other runs, which may choose before anything listens there."""
    if base in _blocks_held:
        return True
    path = Path(tempfile.gettempdir(), f"ramppost-ports-{base}.lock")
    lock = os.open(path, os.O_CREAT | os.O_RDWR)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(lock)
        return False
    _blocks_held.add(base)
    return True


def _free(port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True


def _on_home(addr: str) -> str:
    """An address as it is in a built fleet, before its process moved to its hall."""
    return f"{HOST}:{addr.rpartition(':')[2]}"


def _incarnation(line: Any) -> str:
    return ids.parse_ticket(line["agent"]).incarnation


class Cluster:
    """Processes by name: platform, engine-1, service-1, agent-1, entry-1 and so on."""

    def __init__(self, folder: Path, plan: FleetPlan, ablate: str = "", **changes: Any) -> None:
        self.folder = folder
        self.plan = plan._replace(base_port=free_base())
        self.ablate = ablate
        self.procs: dict[str, subprocess.Popen[bytes]] = {}
        self.frozen: set[str] = set()
        self.agent_proxy: dict[str, Proxy] = {}
        self.platform_proxy: dict[str, Proxy] = {}
        self.upstream_proxy: dict[str, Proxy] = {}
        self.entry_proxy: dict[str, Proxy] = {}
        self.fleet = build(self.plan)
        self._bar(changes.pop("barred", ""))
        self.http = httpx.Client(timeout=30, limits=httpx.Limits(max_keepalive_connections=0))
        self._wire(changes)

    def _bar(self, workspace: str) -> None:
        """Let a workspace use the small model only, and give one to the barred if it has none."""
        spaces = self.fleet.doc["workspaces"]
        if workspace and workspace not in [ws["name"] for ws in spaces]:
            fresh = spaces[0] | {
                "name": workspace,
                "token_hashes": [token_hash(f"{workspace}-dev")],
            }
            spaces.append(fresh)
        for ws in spaces:
            if ws["name"] == workspace:
                ws["allow"] = ["small"]

    def _wire(self, changes: dict[str, Any]) -> None:
        """Give each hall an address, and put a proxy before each process and the platform."""
        fleet = self.fleet
        self._move_to_halls()
        platform = self._addr(fleet.platform["listen"])
        self.platform = f"http://{platform}"
        outer: dict[str, str] = {}
        for name, entry in fleet.entries.items():
            inner = self._addr(entry["internal"])
            proxy = self.entry_proxy[name] = Proxy(inner)
            outer[_on_home(inner)] = entry["advertise"] = proxy.addr
            entry.update({"bill_window_s": 0.3, "linger_s": 1} | changes.get("entry", {}))
        for name, agent in fleet.agents.items():
            listen = self._addr(agent["listen"])
            proxy = self.agent_proxy[name] = Proxy(listen)
            outer[_on_home(listen)] = agent["advertise"] = proxy.addr
            proxy = self.upstream_proxy[name] = Proxy(agent["upstream"]["addr"])
            agent["upstream"]["addr"] = proxy.addr
            agent.update(AGENT_TIMES | changes.get("agent", {}))
        for cfg in (*fleet.entries.values(), *fleet.agents.values()):
            cfg["peers"] = [outer[addr] for addr in cfg["peers"]]
        for entry in fleet.entries.values():
            entry["agents"] = [outer[a] for a in entry["agents"]]
        for box in fleet.platform["boxes"]:
            box["addr"] = outer[box["addr"]]
        fleet.platform.update(**changes.get("platform", {}))
        for name, cfg in {**fleet.agents, **fleet.entries}.items():
            proxy = self.platform_proxy[name] = Proxy(platform)
            cfg["platform"] = proxy.addr
        self.settings: dict[str, Any] = {
            "platform": fleet.platform,
            **fleet.engines,
            **fleet.services,
            **fleet.agents,
            **fleet.entries,
        }
        self.rewrite()

    def _move_to_halls(self) -> None:
        """Entries and agents listen on, and call from, the loopback address of their hall."""
        for entry in self.fleet.entries.values():
            entry["listen"]["host"] = entry["internal"]["host"] = self.hall_ip(entry["hall"])
        for agent in self.fleet.agents.values():
            agent["listen"]["host"] = self.hall_ip(agent["hall"])

    def hall_ip(self, hall: str) -> str:
        """The loopback address of a hall."""
        return f"127.0.{self.plan.halls.index(hall) + 2}.1"

    def in_hall(self, hall: str) -> list[str]:
        """Entries and agents of a hall."""
        cfgs = {**self.fleet.entries, **self.fleet.agents}
        return [name for name, cfg in cfgs.items() if cfg["hall"] == hall]

    def entry_in(self, hall: str) -> str:
        """An entry of a hall."""
        return next(name for name in self.in_hall(hall) if name in self.fleet.entries)

    def part(self, *far: str) -> None:
        """Cut these halls off from the others, in both directions; none ends the cut."""
        ips = {hall: self.hall_ip(hall) for hall in self.plan.halls}
        beyond = {ip for hall, ip in ips.items() if hall in far} if far else set()
        here = set(ips.values()) - beyond if far else set()
        for name, proxy in {**self.entry_proxy, **self.agent_proxy}.items():
            proxy.part(here if self.settings[name]["hall"] in far else beyond)

    def rewrite(self) -> None:
        """Write the configuration document and all settings."""
        (self.folder / "config.json").write_text(json.dumps(self.fleet.doc))
        for name, cfg in self.settings.items():
            (self.folder / f"{name}.json").write_text(json.dumps(cfg))

    @staticmethod
    def _addr(listen: Any) -> str:
        return f"{listen['host']}:{listen['port']}"

    def start(self) -> Cluster:
        """Start all processes and wait until requests are served through each entry; where that
        takes too long, end them."""
        try:
            for name in self.settings:
                self.spawn(name)
            self.wait_ready()
        except BaseException:
            self.stop()
            raise
        return self

    def spawn(self, name: str) -> None:
        """Start one process."""
        program = self.settings[name]["program"].split("-")
        module = ["-m", "tests.harness.ablated", self.ablate] if self.ablate else ["-m", "ramppost"]
        command = [
            sys.executable,
            *module,
            *program,
            "--settings",
            str(self.folder / f"{name}.json"),
        ]
        root = Path(__file__).parents[2]
        with open(self.folder / f"{name}.log", "ab") as log:
            self.procs[name] = subprocess.Popen(command, stdout=log, stderr=log, cwd=root)

    def wait_ready(self, entries: list[str] | None = None) -> None:
        """Wait until each entry serves each engine's model and service."""
        deadline = clock.now() + READY_S
        for name in entries or self.entry_names:
            while not self._serves(name):
                if clock.now() > deadline:
                    raise TimeoutError(f"{name} does not serve; see {self.folder}")
                time.sleep(POLL_S)

    def _serves(self, name: str) -> bool:
        try:
            ready = self.http.get(self.internal(name) + "/readyz", timeout=2)
            token = f"{self.plan.workspaces[0]}-dev"
            got = self.chat(name, tokens=1, timeout=5, token=token)
            seen = self.http.get(self.internal(name) + "/x/upstreams", timeout=2).json()
            running = self._agents_now()
        except (httpx.HTTPError, ValueError):
            return False
        served = ready.status_code == 200 and got.status_code == 200
        return served and running <= {_incarnation(u) for u in seen if u["usable"]}

    def _agents_now(self) -> set[str]:
        """Incarnations of the agents that run, by their own word."""
        names = [n for n in self.fleet.agents if n in self.procs]
        return {_incarnation(self.agent_status(name)) for name in names}

    def agent_status(self, name: str) -> dict[str, Any]:
        """What an agent says of itself."""
        asked = {"entry": "test:0#0", "rev": 0}
        got = self.http.post(self.internal(name) + "/a/status", json=asked, timeout=2)
        return dict(got.json())

    @property
    def entry_names(self) -> list[str]:
        """Names of the entries."""
        return list(self.fleet.entries)

    def url(self, name: str) -> str:
        """Where callers reach an entry."""
        return "http://" + self._addr(self.fleet.entries[name]["listen"])

    def internal(self, name: str) -> str:
        """Internal address of a process."""
        cfg = self.settings[name]
        return "http://" + self._addr(cfg.get("internal", cfg["listen"]))

    def chat(
        self,
        entry: str,
        key: str = "",
        tokens: int = 8,
        model: str = "large",
        stream: bool = False,
        timeout: float = 30,
        token: str = "mesob-dev",
        content: str = "",
        **headers: str,
    ) -> httpx.Response:
        """A chat request, answered whole."""
        head = {
            "authorization": f"Bearer {token}",
            **{k.replace("_", "-"): v for k, v in headers.items()},
        }
        if key:
            head["idempotency-key"] = key
        body = {
            "model": model,
            "max_tokens": tokens,
            "stream": stream,
            "messages": [{"role": "user", "content": content or key or "hello"}],
        }
        url = self.url(entry) + "/v1/chat/completions"
        return self.http.post(url, json=body, headers=head, timeout=timeout)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.procs[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process at once."""
        self.procs[name].kill()
        self.procs[name].wait()
        del self.procs[name]
        self.frozen.discard(name)

    def freeze(self, name: str) -> None:
        """Stop a process without ending it."""
        self.signal(name, signal.SIGSTOP)
        self.frozen.add(name)

    def thaw(self, name: str) -> None:
        """Let a frozen process go on."""
        self.signal(name, signal.SIGCONT)
        self.frozen.discard(name)

    def stop_planned(self, name: str, timeout: float = 30) -> int:
        """Ask for a planned stop and give its exit code."""
        self.signal(name, signal.SIGTERM)
        code = self.procs[name].wait(timeout)
        del self.procs[name]
        return code

    def fault(self, name: str, **fault: Any) -> None:
        """Put a fault in force at a stand-in."""
        self.http.post(self.internal(name) + "/_fault", json=fault)

    def heal(self) -> None:
        """End all faults, start what is dead, and wait until all is served again."""
        self.part()
        groups = (self.entry_proxy, self.agent_proxy, self.platform_proxy, self.upstream_proxy)
        for proxy in (proxy for group in groups for proxy in group.values()):
            proxy.set("pass")
        for name in list(self.frozen):
            self.thaw(name)
        for name in self.settings:
            proc = self.procs.get(name)
            if proc is None or proc.poll() is not None:
                self.spawn(name)
        time.sleep(POLL_S)
        for name in ("platform", *self.fleet.engines, *self.fleet.services):
            self._until_up(name)
            self.fault(name, mode="none")
        self.wait_ready()

    def _until_up(self, name: str) -> None:
        deadline = clock.now() + READY_S
        while clock.now() < deadline:
            try:
                self.http.get(self.internal(name) + "/_log", timeout=5)
                return
            except httpx.HTTPError:
                time.sleep(POLL_S)

    def stop(self) -> None:
        """Kill everything."""
        for name in list(self.procs):
            if name in self.frozen:
                self.thaw(name)
            self.kill(name)
        self.http.close()
