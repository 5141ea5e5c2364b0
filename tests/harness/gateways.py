"""A small deployment of gateways as real processes: a store, upstreams, gateways."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Collection
from datetime import datetime
from pathlib import Path
from typing import Any, NamedTuple

import httpx

from ramppost import clock
from ramppost.platform import names
from tests.harness.cluster import free_base

HOST = "127.0.0.1"
FIRST_GATEWAY_IP = 10
"""Last part of the address of the first gateway."""
READY_S = 15.0
POLL_S = 0.03
KEYS = {"kitchen": "key-kitchen", "toll": "key-toll"}
SITE = "site.example"
PRICES = {"small": 0.1, "middle": 0.4, "large": 1.0}
MODELS = list(PRICES)
STREAM, ONCE, SAFE, OPEN = "/stream/", "/once/", "/safe/", "/open/"


UPSTREAMS = {STREAM: ("lm-1", "lm-2"), SAFE: ("web-1", "web-2")}
"""The upstreams of a deployment of two of each, by the kind of call that they serve."""


class Given(NamedTuple):
    """What a caller got."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def events(self) -> list[int]:
        """Ids of the whole events of a stream."""
        lines = self.body.decode("latin-1").split("\n\n")[:-1]
        return [int(line.partition("id: ")[2].partition("\n")[0]) for line in lines]


def written_at(line: dict[str, Any]) -> float:
    """When a log line was written (time of day)."""
    return datetime.fromisoformat(line["at"]).timestamp()


def route(name: str, prefix: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    usual = {
        "name": name,
        "host": SITE,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 400,
        "max_attempts": 3,
        "service": service,
        "allow_anonymous": False,
    }
    return usual | more


def config(version: int, keys: dict[str, str] = KEYS, **more: Any) -> dict[str, Any]:
    """A configuration with a stream, a call that may run once, one that may repeat, an open one."""
    routes = [
        route("stream", STREAM, "streaming", "lm", sizes=MODELS, stream_resume=True),
        route("once", ONCE, "non_idempotent", "web"),
        route("safe", SAFE, "idempotent", "web", max_attempts=2),
        route("open", OPEN, "idempotent", "web", allow_anonymous=True),
    ]
    engine = {
        "slots": 8,
        "kv_capacity": 100000,
        "models": [{"name": m, "cost": cost} for m, cost in PRICES.items()],
    }
    return {
        "version": version,
        "routes": routes + more.get("routes", []),
        "services": [
            {"name": "lm", "max_conns": 100, "engine": engine},
            {"name": "web", "max_conns": 100},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 200000,
            "header_timeout_ms": 1000,
            "idle_timeout_ms": 5000,
        },
        "tenants": [{"name": name, "api_keys": [key]} for name, key in keys.items()],
    }


class Deployment:
    """Processes by name: store, lm-1, web-1, gateway-1 and so on."""

    def __init__(
        self,
        folder: Path,
        gateways: int = 2,
        engines: int = 2,
        services: int = 2,
        regions: dict[str, str] | None = None,
        limits: dict[str, int] | None = None,
        upstream_settings: dict[str, Any] | None = None,
        **timing: Any,
    ) -> None:
        self.folder = folder
        self.base = free_base()
        self.timing = timing
        self.regions = regions or {}
        self.limits = limits or {}
        self.procs: dict[str, subprocess.Popen[bytes]] = {}
        self.ports: dict[str, int] = {"store": self.base}
        self._ips: dict[str, str] = {}
        self.http = httpx.Client(timeout=10, limits=httpx.Limits(max_keepalive_connections=0))
        (folder / "seed.json").write_text(json.dumps(config(1)))
        self.gateways = [f"gateway-{i + 1}" for i in range(gateways)]
        self.starts = 0
        self.upstream_settings = upstream_settings or {}
        """Further settings of upstreams that are started from now on."""
        self.ids: dict[str, str] = {}
        """Ids of the upstreams' last incarnations."""
        self.versions: dict[str, str] = {}
        """Versions of all upstreams that were started, by id."""
        self.operator_wrote: dict[tuple[str, str], Any] = {}
        """What the operator has written last, by kind and name; None for a removed object."""
        try:
            self._start_all(engines, services)
        except BaseException:
            self._end_all()
            raise

    def stop(self) -> None:
        """End every process this deployment started."""
        self._end_all()
        self._check_logs()

    def _start_all(self, engines: int, services: int) -> None:
        self._start_store()
        for i in range(engines):
            self.start_upstream(f"lm-{i + 1}", "lm", "v1")
        for i in range(services):
            self.start_upstream(f"web-{i + 1}", "web", "v1")
        for name in self.gateways:
            self.start_gateway(name)
        for name in self.gateways:
            self.wait_ready(name)
        self.wait_members()

    def _end_all(self) -> None:
        for proc in self.procs.values():
            if proc.poll() is None:
                proc.send_signal(signal.SIGCONT)
                proc.kill()
            proc.wait()
        self.http.close()

    def _check_logs(self) -> None:
        """No gateway has crashed a task or forgotten to wait for one."""
        for name in self.gateways:
            text = (self.folder / f"{name}.log").read_text()
            for sign in ("Traceback", "RuntimeWarning", "Task Crash", "serving failed"):
                assert sign not in text, f"{name}: {sign}"

    # --- processes

    def port(self, name: str) -> int:
        """The port of a process, the same for its life and later ones."""
        if name not in self.ports:
            self.ports[name] = self.base + 8 * len(self.ports)
        return self.ports[name]

    def ip(self, gateway: str) -> str:
        """The address that a gateway sends from, by which an upstream knows it, and that its
        internal port and its metrics are at."""
        return self._ips.setdefault(gateway, f"127.0.0.{FIRST_GATEWAY_IP + len(self._ips)}")

    def internal_addr(self, gateway: str) -> str:
        """Where other gateways reach a gateway."""
        return f"{self.ip(gateway)}:{self.port(gateway) + 2}"

    def metrics_url(self, gateway: str) -> str:
        """Where a gateway's metrics are."""
        return f"http://{self.ip(gateway)}:{self.port(gateway) + 3}/metrics"

    def _start_store(self) -> None:
        cfg = {
            "program": "standin-store",
            "listen": {"host": HOST, "port": self.port("store")},
            "seed": "seed.json",
            "log": {"form": "human", "level": "WARNING"},
        }
        self._start("store", cfg, ["-m", "ramppost", "standin", "store", "--settings"])
        self._wait_until(lambda: self._answers(f"{self.store}/_log"), "store")

    def start_upstream(
        self,
        name: str,
        service: str,
        version: str,
        again: bool = False,
        hall: str = "bole",
        wait: bool = True,
    ) -> str:
        """Start an upstream as a new incarnation; gives its id, which is new unless it starts
        `again` under the last one."""
        if not again:
            self.starts += 1
            self.ids[name] = f"i-{name}-{self.starts}"
        upstream_id = self.ids[name]
        self.versions[upstream_id] = version
        cfg = {
            "program": "standin-upstream",
            "listen": {"host": HOST, "port": self.port(name)},
            "store": f"{HOST}:{self.port('store')}",
            "id": upstream_id,
            "service": service,
            "hall": hall,
            "version": version,
            "slots": 8,
            "work_ms": 5,
            "log": {"form": "human", "level": "WARNING"},
        } | self.upstream_settings
        self._start(name, cfg, ["-m", "ramppost", "standin", "upstream", "--settings"])
        if wait:
            self._wait_until(lambda: self._answers(f"{self.url(name)}/_log"), name)
        return upstream_id

    def start_gateway(self, name: str, store: str = "") -> None:
        """Start a gateway, perhaps by another way to the store."""
        port, ip = self.port(name), self.ip(name)
        timing = {
            "withdrawal_ms": 2000,
            "config_apply_ms": 1000,
            "upstream_leave_ms": 1000,
            "stop_s": 6,
            "session_s": 2,
            "heartbeat_ms": 400,
        }
        cfg = {
            "program": "gateway",
            "name": name,
            "hall": "bole",
            "ip": ip,
            "listen": f"{HOST}:{port}",
            "health": f"{HOST}:{port + 1}",
            "internal_port": port + 2,
            "regions": self.regions,
            "metrics_port": port + 3,
            "store": {
                "addr": store or f"{HOST}:{self.port('store')}",
                "writes_per_s": 400,
                "reads_per_s": 2000,
            },
            "timing": timing | self.timing,
            "retries": {"ratio": 0.9, "window_s": 10, "slack": 50},
            "exposure": {"share": 0.15, "slack": 30, "rollback_ms": 5000},
            "limits": self.limits,
            "log": {"form": "json", "level": "INFO"},
        }
        self._start(name, cfg, ["-m", "ramppost.gateway"])

    def _start(self, name: str, cfg: dict[str, Any], command: list[str]) -> None:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(cfg))
        args = [sys.executable, *command, *([str(path)] if command[-1] == "--settings" else [])]
        with (self.folder / f"{name}.log").open("ab") as log:
            self.procs[name] = subprocess.Popen(
                args,
                stdout=log,
                stderr=log,
                env=os.environ | {"RAMPPOST_CONFIG": str(path)},
            )

    def restart_gateway(self, name: str, store: str) -> None:
        """Kill a gateway and start it by another way to the store."""
        self.procs[name].kill()
        self.wait_end(name)
        self.start_gateway(name, store)

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process."""
        self.procs[name].send_signal(number)

    def wait_end(self, name: str, within_s: float = 10.0) -> int:
        """Exit code of a process that ends."""
        return self.procs[name].wait(within_s)

    # --- what they say

    @property
    def store(self) -> str:
        """URL of the store."""
        return self.url("store")

    def url(self, name: str) -> str:
        """URL of a process."""
        return f"http://{HOST}:{self.port(name)}"

    def peers_known(self, name: str) -> bool:
        """Whether a gateway that was started last knows another."""
        lines = self.lines(name)
        start = max(i for i, line in enumerate(lines) if line["message"] == "starting")
        return any(
            line.get("gateways") or line["message"] == "gateway known" for line in lines[start:]
        )

    def ready(self, name: str) -> bool:
        """Whether a gateway wants callers."""
        return self._answers(f"http://{HOST}:{self.port(name) + 1}/ready")

    def wait_ready(self, name: str) -> None:
        """Wait until a gateway wants callers."""
        self._wait_until(lambda: self.ready(name), name)

    def wait_members(self) -> None:
        """Wait until each gateway serves each kind of call."""
        for name in self.gateways:
            self._wait_until(lambda name=name: self.call(name, SAFE).status == 200, name)
            self._wait_until(lambda name=name: self.call(name, STREAM).status == 200, name)

    def lines(self, name: str) -> list[dict[str, Any]]:
        """Log lines of a gateway."""
        found = []
        for text in (self.folder / f"{name}.log").read_text().splitlines():
            if text.startswith("{"):
                found.append(json.loads(text))
        return found

    def runs(self, *upstreams: str) -> list[dict[str, Any]]:
        """Runs that upstreams tell."""
        found: list[dict[str, Any]] = []
        for name in upstreams:
            found += self.http.get(f"{self.url(name)}/_log").json()
        return found

    def arrivals(self, *upstreams: str) -> list[dict[str, Any]]:
        """Requests that arrived at upstreams, in order of time."""
        found: list[dict[str, Any]] = []
        for name in upstreams:
            found += self.http.get(f"{self.url(name)}/_arrivals").json()
        return sorted(found, key=lambda arrival: float(arrival["at"]))

    def _answers(self, url: str) -> bool:
        try:
            return self.http.get(url).status_code == 200
        except httpx.HTTPError:
            return False

    def _wait_until(self, true: Any, what: str, within_s: float = READY_S) -> None:
        deadline = clock.now() + within_s
        while clock.now() < deadline:
            if true():
                return
            time.sleep(POLL_S)
        raise AssertionError(f"{what} did not come in {within_s} s")

    def until(self, true: Any, within_s: float, what: str = "it") -> None:
        """Wait until something is true."""
        self._wait_until(true, what, within_s)

    # --- what is done to them

    def behave(self, name: str, **how: Any) -> None:
        """Tell an upstream how to answer from now on."""
        self.http.post(f"{self.url(name)}/_behave", json=how).raise_for_status()

    def notices_of_all(self, upstreams: Collection[str], **told: Any) -> None:
        """Change what several upstreams tell of themselves."""
        for name in upstreams:
            self.notices(name, **told)

    def notices(self, name: str, **told: Any) -> None:
        """Change what an upstream tells of itself in its answers; None ends one of them."""
        self.http.post(f"{self.url(name)}/_notices", json=told).raise_for_status()

    def host(self, name: str, **change: Any) -> None:
        """Change how long work takes at an upstream (`HostChange`); None restores a value."""
        self.http.post(f"{self.url(name)}/_host", json=change).raise_for_status()

    def fault(self, name: str, **fault: Any) -> None:
        """Put a fault in force at the store."""
        self.http.post(f"{self.url(name)}/_fault", json=fault).raise_for_status()

    def come_back(self, to: int = 0, age_s: float = 0.0) -> int:
        """Let the store come back from the copy that it held at a revision, or some seconds ago;
        gives its revision then."""
        query = f"to={to}" if to else f"age_s={age_s}"
        got = self.http.post(f"{self.store}/_return?{query}")
        got.raise_for_status()
        return int(got.json()["revision"])

    def revision(self) -> int:
        """The store's revision."""
        got = self.http.get(f"{self.store}/objects/{names.CONFIG_KIND}")
        return int(got.json()["current_rev"])

    def stored(self, kind: str, name: str) -> dict[str, Any] | None:
        """An object as the store holds it; None where it doesn't."""
        got = self.http.get(f"{self.store}/objects/{kind}/{name}")
        return dict(got.json()) if got.status_code == 200 else None

    def put_entry(self, name: str, service: str, addr: str) -> None:
        """Enter an upstream that is no process of this deployment."""
        self.ids[name] = f"i-{name}"
        entry = {
            "service": service,
            "addr": addr,
            "zone": "bole",
            "version": "v1",
            "slots": 8,
            "state": "ready",
        }
        self.put(names.UPSTREAM_KIND, self.ids[name], entry)

    def remove_entry(self, name: str) -> None:
        """Let the entry of an upstream's last incarnation go, as the store does after its end."""
        url = f"{self.store}/objects/{names.UPSTREAM_KIND}/{self.ids[name]}"
        self.http.delete(url).raise_for_status()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write to the store as the operator does."""
        url = f"{self.store}/_put/{kind}/{name}"
        self.http.post(url, content=json.dumps(spec)).raise_for_status()

    def write(self, kind: str, name: str, spec: Any) -> None:
        """Write what the operator writes again after a return of the store."""
        self.operator_wrote[kind, name] = spec
        self.put(kind, name, spec)

    def write_again(self) -> None:
        """Write all again that the operator has written, as after a return of the store."""
        for (kind, name), spec in list(self.operator_wrote.items()):
            if spec is None:
                self.http.delete(f"{self.store}/objects/{kind}/{name}").raise_for_status()
            else:
                self.put(kind, name, spec)

    def configure(self, doc: dict[str, Any]) -> None:
        """Write a new configuration."""
        self.write(names.CONFIG_KIND, names.CONFIG_NAME, doc)

    def rollout(self, version: str, duration_s: float) -> None:
        """Order a roll-out of the engines' service."""
        order = {"service": "lm", "target_version": version, "duration_s": duration_s}
        self.write(names.ROLLOUT_KIND, "lm", order)

    def evacuate(self, hall: str) -> None:
        """Start the evacuation of a data hall."""
        self.write(names.EVACUATION_KIND, hall, {})

    def end_evacuation(self, hall: str) -> None:
        """End the evacuation of a data hall."""
        self.operator_wrote[names.EVACUATION_KIND, hall] = None
        url = f"{self.store}/objects/{names.EVACUATION_KIND}/{hall}"
        self.http.delete(url).raise_for_status()

    def rollout_status(self) -> str:
        """The state that the roll-out of the engines' service was given, empty while none."""
        got = self.http.get(f"{self.store}/objects/{names.ROLLOUT_KIND}/lm").json()
        return str((got.get("status") or {}).get("state", ""))

    def call(
        self,
        gateway: str,
        prefix: str,
        key: str = KEYS["kitchen"],
        attempt: str = "",
        deadline_ms: int = 4000,
        headers: dict[str, str] | None = None,
        body: bytes = b"question",
        http: httpx.Client | None = None,
        event_bytes: int = 0,
        pause_s: float = 0.0,
    ) -> Given:
        """Make a request as a caller, on a new connection or one that `http` keeps; the status
        is 0 or below where the connection broke.  Events are padded by `event_bytes`, and the
        caller pauses after the first bytes."""
        head = {
            "Host": SITE,
            names.ATTEMPT_ID.decode(): attempt or os.urandom(8).hex(),
            names.DEADLINE_MS.decode(): str(deadline_ms),
        }
        if key:
            head[names.API_KEY.decode()] = key
        if prefix == STREAM:
            head[names.TOKEN_COUNTS.decode()] = "100,40"
            head[names.PROMPT_PARTS.decode()] = "aa:60,bb:40"
            head[names.MODEL.decode()] = names.ANY_MODEL
        head |= headers or {}
        url = f"{self.url(gateway)}{prefix}x/2f?q=%20a"
        if event_bytes:
            url += f"&event_bytes={event_bytes}"
        got = bytearray()
        status, found = 0, {}
        try:
            with (http or self.http).stream("POST", url, headers=head, content=body) as answer:
                status, found = answer.status_code, dict(answer.headers)
                for piece in answer.iter_raw():
                    got += piece
                    time.sleep(pause_s)
                    pause_s = 0.0
        except httpx.HTTPError:
            return Given(-status, found, bytes(got))
        return Given(status, found, bytes(got))
