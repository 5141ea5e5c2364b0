"""Small stand-ins for the scripts of the second review: store, runners, clients, deployment.

Everything but the gateways runs in one asyncio loop of the script.  The gateways are separate
processes, started with the command of `deploy/system.toml` and its template of settings.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import re
import secrets
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy/system.toml").read_text())
ROLE = DEPLOY["roles"]["gateway"]
HOST = "site.example"
KEY = "key-of-kitchen"
TENANT = "kitchen"
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 3000,
    "ack_timeout_ms": 4000,
    "catchup_s": 4,
    "drain_timeout_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 5000,
    "strict_revoke": True,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.9,
    "retry_window_s": 10,
    "retry_slack": 58,
    "expose_share": 0.15,
    "expose_slack": 30,
    "rollback_ms": 5000,
    "recovery_s": 12,
    "pass_ms": 120,
    "retry_after_s": 8.9,
    "session_s": 5,
}
"""The bounds of the first deployment in SYSTEM.md."""

Head = dict[str, str]


class Record:
    """What was sent, answered and run, with the seconds since the start, in `record.txt`."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self.began_at = time.monotonic()

    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self.began_at

    def write(self, what: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now():8.3f}  {what}\n")
        self._file.flush()


class Request:
    """A request that a stand-in has read."""

    def __init__(self, method: str, target: str, headers: Head, body: bytes) -> None:
        self.method = method
        self.target = target
        self.path = urlsplit(target).path
        self.query = {k: v[0] for k, v in parse_qs(urlsplit(target).query).items()}
        self.headers = headers
        self.body = body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Head] | None:
    """The first line and the headers of a message; None if there is none any more."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    parts = [line.partition(":") for line in lines]
    return first, {name.lower(): value.strip() for name, _, value in parts}


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """The next request on a connection."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    try:
        body = await reader.readexactly(int(head[1].get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return Request(method, target, head[1], body)


def answer(status: int, body: bytes = b"", headers: Head | None = None) -> bytes:
    """A whole answer."""
    fields = {"Content-Length": str(len(body))} | (headers or {})
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"HTTP/1.1 {status} X\r\n{lines}\r\n".encode() + body


Handle = Callable[[Request, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]]
"""Answers a request; false if the connection is to be closed."""


async def serve(ip: str, port: int, handle: Handle) -> asyncio.Server:
    """Serve connections with one request at a time on each."""

    async def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (req := await read_request(reader)) is not None:
                if not await handle(req, reader, writer):
                    break
        except (OSError, asyncio.CancelledError):
            pass
        except Exception:
            traceback.print_exc()
        finally:
            writer.close()

    return await asyncio.start_server(connected, ip, port, limit=1 << 20)


class Store:
    """The platform's store: objects by kind and name, watches, conditional writes."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.revision = 0
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.events: list[tuple[int, str, dict[str, Any], bool]] = []
        self.changed = asyncio.Event()
        self.watches: list[tuple[float, str]] = []
        """When the store was asked for changes, and from which address."""
        self.on_write: Callable[[str, str, dict[str, Any]], None] = lambda kind, name, obj: None

    def put(self, kind: str, name: str, **parts: Any) -> dict[str, Any]:
        """Make an object or replace parts of it."""
        held = self.objects.setdefault(kind, {}).get(name)
        before = held or {"metadata": {"name": name}, "spec": None, "status": None}
        if held is not None and all(held[part] == value for part, value in parts.items()):
            return held
        self.revision += 1
        meta = {
            "name": name,
            "revision": self.revision,
            "create_revision": before["metadata"].get("create_revision", self.revision),
            "finalizers": [],
            "deleting": False,
        }
        obj = {**before, **parts, "metadata": meta}
        self.objects[kind][name] = obj
        self._note(kind, obj, False)
        return obj

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        obj = self.objects.get(kind, {}).pop(name, None)
        if obj is not None:
            self.revision += 1
            self._note(kind, obj, True)

    def _note(self, kind: str, obj: dict[str, Any], gone: bool) -> None:
        self.events.append((self.revision, kind, obj, gone))
        what = "gone" if gone else json.dumps({"spec": obj["spec"], "status": obj["status"]})
        self.record.write(f"store {kind}/{obj['metadata']['name']} {what[:200]}")
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def handle(
        self, req: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a call."""
        if "watch" in req.query:
            self.watches.append((self.record.now(), writer.get_extra_info("peername")[0]))
        status, body = await self._answer(req)
        writer.write(answer(status, json.dumps(body).encode()))
        await writer.drain()
        return True

    async def _answer(self, req: Request) -> tuple[int, Any]:
        parts = req.path.strip("/").split("/")[1:]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        if req.method == "GET" and "watch" in req.query:
            return 200, await self._watch(kind, int(req.query["watch"]), req.query)
        if req.method == "GET":
            return self._read(kind, name)
        doc = json.loads(req.body) if req.body else {}
        meta = doc.get("metadata", {})
        name = name or meta.get("name", "")
        held = self.objects.get(kind, {}).get(name)
        if req.method == "POST":
            return (409, held) if held else (200, self._write(kind, name, {"spec": doc["spec"]}))
        if held is None:
            return 404, {}
        wanted = meta.get("revision", req.query.get("revision"))
        if wanted is not None and int(wanted) != held["metadata"]["revision"]:
            return 409, held
        if req.method == "DELETE":
            self.delete(kind, name)
            return 200, held
        part = "status" if len(parts) > 2 else "spec"
        return 200, self._write(kind, name, {part: doc.get(part)})

    def _write(self, kind: str, name: str, parts: dict[str, Any]) -> dict[str, Any]:
        obj = self.put(kind, name, **parts)
        self.on_write(kind, name, obj)
        return obj

    def _read(self, kind: str, name: str) -> tuple[int, Any]:
        held = self.objects.get(kind, {})
        if name:
            return (200, held[name]) if name in held else (404, {})
        items = [held[key] for key in sorted(held)]
        return 200, {"items": items, "truncated": False, "current_rev": self.revision}

    async def _watch(self, kind: str, since: int, query: dict[str, str]) -> Any:
        ends_at = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            changed = self.changed
            found = [
                {"object": obj, "tombstone": gone}
                for revision, of, obj, gone in self.events
                if of == kind and revision > since
            ]
            left_s = ends_at - time.monotonic()
            if found or left_s <= 0:
                return {"events": found, "current_rev": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)


class Runner:
    """A runner that keeps its entry, and answers by `run`."""

    def __init__(self, lab: Lab, service: str, version: str, zone: str, run: Run) -> None:
        self.lab = lab
        self.id = f"i-{secrets.token_hex(4)}"
        self.service = service
        self.version = version
        self.addr = (lab.take_ip(), lab.ports[0])
        self.zone = zone
        self.run = run
        self.slots = 64
        self.running = 0
        self.arrivals: list[float] = []
        """When requests arrived."""
        self._server: asyncio.Server | None = None
        self.state = "ready"

    async def start(self) -> None:
        """Listen, and make the entry."""
        self._server = await serve(*self.addr, self._handle)
        self.enter("ready")

    def enter(self, state: str) -> None:
        """Write the entry."""
        self.state = state
        entry = {
            "service": self.service,
            "addr": f"{self.addr[0]}:{self.addr[1]}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "cold_left_ms": 0,
            "call_seq": 0,
        }
        self.lab.store.put("servers", self.id, spec=entry)

    def leave(self) -> None:
        """Let the entry go."""
        self.lab.store.delete("servers", self.id)

    async def stop(self) -> None:
        """End."""
        if self._server is not None:
            self._server.close()

    async def _handle(
        self, req: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        attempt_id = req.headers.get("x-attempt-id", "")
        self.arrivals.append(self.lab.record.now())
        self.lab.record.write(f"runner {self.id} {self.version} got {attempt_id} {req.target}")
        head = {"X-Attempt-Id": attempt_id}
        if req.headers.get("x-expect-instance") != self.id:
            writer.write(answer(421, b"", head))
            return True
        head |= {
            "X-Runner-Stamp": secrets.token_hex(8),
            "X-Runner-Load": f"{self.running},0,{self.slots}",
            "X-Weight-Versions": "1",
        }
        self.running += 1
        left = asyncio.create_task(reader.read(1))
        work = asyncio.create_task(self.run(self, req, head, writer))
        try:
            await asyncio.wait({left, work}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                work.cancel()
                self.lab.record.write(f"runner {self.id}: {attempt_id} closed by its sender")
                return False
            outcome = work.result()
            self.lab.record.write(f"runner {self.id}: {attempt_id} {outcome}")
            return not left.done()
        finally:
            self.running -= 1
            left.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await left


Run = Callable[[Runner, Request, Head, asyncio.StreamWriter], Awaitable[str]]
"""Runs a request and answers it; gives the outcome, for the record."""


async def send_event(writer: asyncio.StreamWriter, number: int, text: str = "x") -> None:
    """Send an event of a stream as a chunk."""
    event = f"id: {number}\ndata: {text}\n\n".encode()
    writer.write(b"%x\r\n%b\r\n" % (len(event), event))
    await writer.drain()


async def begin_stream(writer: asyncio.StreamWriter, head: Head) -> None:
    """Send the head of a stream."""
    fields = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"} | head
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())
    await writer.drain()


async def end_stream(writer: asyncio.StreamWriter) -> None:
    """Send the end of a stream."""
    writer.write(b"0\r\n\r\n")
    await writer.drain()


class Given:
    """What a client got for a request."""

    def __init__(self, attempt_id: str, sent_at: float) -> None:
        self.attempt_id = attempt_id
        self.sent_at = sent_at
        self.status = 0
        self.body = b""
        self.complete = False
        self.ended_at = 0.0
        self.reason = ""

    @property
    def events(self) -> int:
        """Whole events of a stream."""
        return self.body.count(b"\n\n")


def _lookup(scopes: list[Any], path: str) -> Any:
    if path == ".":
        return scopes[0]
    for scope in scopes:
        value = scope
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        if value is not None:
            return value
    return None


def fill(template: str, fields: dict[str, Any]) -> str:
    """Fill the gaps of a template as DEPLOY.md says, so far as this project's needs it."""
    block = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def one_block(found: re.Match[str]) -> str:
        value = _lookup([fields], found[2])
        stands = bool(value) or (value is not None and value is not False)
        return found[3] if stands == (found[1] == "#") else ""

    text = block.sub(one_block, template)
    return re.sub(
        r"\{\{([\w.]+)\|json\}\}", lambda found: json.dumps(_lookup([fields], found[1])), text
    )


class Lab:
    """A small deployment: a store, runners and gateways on loopback addresses."""

    def __init__(self, folder: Path, bounds: dict[str, Any] | None = None) -> None:
        self.record = Record(folder / "record.txt")
        self.bounds = BOUNDS | (bounds or {})
        self.temporary = tempfile.TemporaryDirectory()
        self.store = Store(self.record)
        self._net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self._next_ip = 1
        self.ports = _free_ports(6)
        self.store_addr = (self.take_ip(), self.ports[0])
        self.gateways: dict[str, subprocess.Popen[bytes]] = {}
        self.ips: dict[str, str] = {}
        self.processes: list[asyncio.subprocess.Process] = []
        """Runners that are processes of their own; they are ended with the gateways."""
        self.tasks: list[asyncio.Task[None]] = []
        """Kept so that they are not collected."""

    def take_ip(self) -> str:
        """The next loopback address."""
        self._next_ip += 1
        return f"{self._net}.{self._next_ip}"

    async def start(self, config: dict[str, Any], runners: list[Runner], gateways: int) -> None:
        """Start all, and wait until each gateway is ready."""
        await serve(*self.store_addr, self.store.handle)
        self.store.put("config", "main", spec=config)
        for runner in runners:
            await runner.start()
        for number in range(gateways):
            self.start_gateway(f"front-bole-{number + 1}")
        for name in self.gateways:
            await self.wait_ready(name)

    def start_gateway(self, name: str) -> None:
        """Start a gateway with the command of the deploy file."""
        ip = self.ips.get(name) or self.ips.setdefault(name, self.take_ip())
        path = Path(self.temporary.name) / f"{name}.json5"
        path.write_text(fill((ROOT / ROLE["template"]).read_text(), self._settings(name, ip)))
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env |= {"RAMPPOST_CONFIG": str(path), "PYTHONPATH": str(ROOT / "target/deps")}
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with (Path(self.temporary.name) / f"{name}.log").open("ab") as log:
            self.gateways[name] = subprocess.Popen(
                shlex.split(ROLE["run"]), cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.record.write(f"gateway {name} started")

    def _settings(self, name: str, ip: str) -> dict[str, Any]:
        return {
            "node_name": name,
            "zone": "bole",
            "ip": ip,
            "listen_addrs": {"front": f"{ip}:{self.ports[1]}", "ready": f"{ip}:{self.ports[2]}"},
            "internal_ports": [self.ports[3], self.ports[3] + 1],
            "limits": {"link_mbps": 1000.0, "memory_mb": 150, "max_fds": 4100},
            "zones": {"bole": "addis"},
            "platform": {
                "addr": f"{self.store_addr[0]}:{self.store_addr[1]}",
                "writes_per_s": 400,
                "reads_per_s": 2000,
            },
            "bounds": self.bounds,
            "heartbeat_ms": 1200,
        }

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a gateway."""
        self.record.write(f"gateway {name} gets {signal.Signals(number).name}")
        self.gateways[name].send_signal(number)

    async def is_ready(self, name: str) -> bool:
        """Ask a gateway at its `ready` address."""
        got = await self.ask(self.ips[name], "GET", "/ready", port=self.ports[2], quiet=True)
        return got.status == 200

    async def wait_ready(self, name: str, within_s: float = 15.0) -> None:
        """Wait until a gateway is ready."""
        ends_at = time.monotonic() + within_s
        while not await self.is_ready(name):
            if time.monotonic() > ends_at:
                raise RuntimeError(f"{name} is not ready")
            await asyncio.sleep(0.05)
        self.record.write(f"gateway {name} ready")

    async def ask(
        self,
        ip: str,
        method: str,
        target: str,
        headers: Head | None = None,
        body: bytes = b"",
        port: int = 0,
        timeout_s: float = 30.0,
        quiet: bool = False,
        may_repeat: bool = False,
    ) -> Given:
        """Make a request as a client, on a connection of its own."""
        given = Given(secrets.token_hex(8), self.record.now())
        fields = {
            "Host": HOST,
            "X-Attempt-Id": given.attempt_id,
            "X-Deadline-Ms": str(int(timeout_s * 1000)),
            "Api-Key": KEY,
            "Content-Length": str(len(body)),
        } | (headers or {})
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        if not quiet:
            self.record.write(f"client sends {given.attempt_id} {method} {target} to {ip}")
        try:
            await asyncio.wait_for(
                self._exchange(given, ip, port, method, target, lines, body), timeout_s
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            given.reason = given.reason or repr(exc)
        given.ended_at = self.record.now()
        if not quiet:
            end = "whole" if given.complete else f"not whole ({given.reason})"
            self.record.write(
                f"client got {given.attempt_id}: {given.status}, {len(given.body)} bytes, {end}"
            )
        return given

    async def _exchange(
        self, given: Given, ip: str, port: int, method: str, target: str, lines: str, body: bytes
    ) -> None:
        reader, writer = await asyncio.open_connection(ip, port or self.ports[1], limit=1 << 20)
        try:
            writer.write(f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode() + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                given.reason = "closed without an answer"
                return
            given.status = int(head[0].split(" ")[1])
            if head[1].get("transfer-encoding") == "chunked":
                await self._read_chunks(given, reader)
            else:
                given.body = await reader.readexactly(int(head[1].get("content-length", "0")))
                given.complete = True
        finally:
            writer.close()

    async def _read_chunks(self, given: Given, reader: asyncio.StreamReader) -> None:
        while True:
            line = await reader.readline()
            if not line.strip():
                given.reason = "closed within its answer"
                return
            size = int(line, 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                given.complete = True
                return
            given.body += piece[:-2]

    def logs(self, name: str) -> list[dict[str, Any]]:
        """What a gateway has written."""
        text = (Path(self.temporary.name) / f"{name}.log").read_text()
        return [json.loads(line) for line in text.splitlines() if line.startswith("{")]

    def keep_logs(self, needle: str) -> None:
        """Write the lines of the gateways that hold a text to the record."""
        for name in self.gateways:
            for line in self.logs(name):
                if needle in line["message"]:
                    self.record.write(f"log of {name}: {json.dumps(line)[:400]}")

    async def start_process(self, *args: str) -> asyncio.subprocess.Process:
        """Start a runner's process, whose output is read through a pipe."""
        process = await asyncio.create_subprocess_exec(*args, stdout=asyncio.subprocess.PIPE)
        self.processes.append(process)
        return process

    async def end(self) -> None:
        """End all processes."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        for gateway in self.gateways.values():
            if gateway.poll() is None:
                gateway.send_signal(signal.SIGCONT)
                gateway.kill()
            gateway.wait()
        self.temporary.cleanup()


def _free_ports(count: int) -> list[int]:
    """Ports that are free; also the one behind each."""
    found: list[int] = []
    while len(found) < count:
        port = random.randint(20000, 30000)
        with socket.socket() as one, socket.socket() as two:
            try:
                one.bind(("0.0.0.0", port))
                two.bind(("0.0.0.0", port + 1))
            except OSError:
                continue
            if not any(abs(port - other) < 2 for other in found):
                found.append(port)
    return found


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """A route of a configuration, at a path of its name."""
    usual = {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 25000,
        "target_latency_ms": 3000,
        "max_attempts": 3,
        "priority": 1,
        "service": service,
        "allow_anonymous": False,
    }
    return usual | more


def configuration(routes: list[dict[str, Any]], services: list[dict[str, Any]]) -> dict[str, Any]:
    """The first configuration."""
    return {
        "version": 1,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY]}],
    }


def engine_service(name: str) -> dict[str, Any]:
    """A service of model runners."""
    engine = {"slots": 64, "kv_capacity": 431395, "stride": 6, "models": []}
    return {"name": name, "max_conns": 370, "engine": engine}


def prompt_headers(shared: str = "5c1e07a2") -> Head:
    """The headers of a generation with a prompt of its own."""
    own = secrets.token_hex(4)
    return {
        "X-Model": "m1",
        "X-Token-Counts": "826,300",
        "X-Prompt-Prefix": f"{shared}:198,{own}:628",
    }


def main(case: Callable[[Lab], Awaitable[bool]], folder: Path, **bounds: Any) -> int:
    """Run a case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""

    async def run() -> int:
        lab = Lab(folder, bounds)
        try:
            lab.record.write(f"TROUBLE={os.environ.get('TROUBLE', '1')}")
            broken = await asyncio.wait_for(case(lab), 110)
            lab.record.write("the rule was broken" if broken else "the rule held")
            print("the rule was broken" if broken else "the rule held")
            return 1 if broken else 0
        except Exception as exc:
            lab.record.write(f"the case couldn't run: {exc!r}")
            traceback.print_exc()
            return 2
        finally:
            await lab.end()

    return asyncio.run(run())
