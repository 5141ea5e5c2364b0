"""Stand-ins for the store, runners and clients of the users' platform, and a starter of gateways.

They need the standard library alone.  Where the pages are silent they behave like a sound platform.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import secrets
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import parse_qs, unquote

ROOT = Path(__file__).resolve().parent.parent
MAX_WAIT_S = 30.0
MAX_CASE_S = 110.0


class Message(NamedTuple):
    """A request or response: its first line, headers in lower case, and body."""

    line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.line.split()[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """The first line and headers of a message; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return lines[0], {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """A whole message with a length or in chunks; None if the connection ends before its end."""
    head = await read_head(reader)
    if head is None:
        return None
    line, headers = head
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            body = b""
            while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(line, headers, body)


def response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """The bytes of a response with a length."""
    told = {"Content-Length": str(len(body)), **headers}
    head = "".join(f"{name}: {value}\r\n" for name, value in told.items())
    return f"HTTP/1.1 {status} Status\r\n{head}\r\n".encode() + body


class Store:
    """The platform's store as PROTOCOL.md describes it."""

    def __init__(self) -> None:
        self.revision = 0
        self.kinds: dict[str, dict[str, dict[str, Any]]] = {}
        self.events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Condition()

    async def put(self, kind: str, name: str, **parts: Any) -> dict[str, Any]:
        """Make an object or replace parts of it."""
        held = self.kinds.setdefault(kind, {}).get(name)
        before = held or {"metadata": {"name": name}, "spec": None, "status": None}
        after = {**before, **parts}
        if held is not None and after == held:
            return held
        self.revision += 1
        after["metadata"] = {
            "name": name,
            "revision": self.revision,
            "create_revision": before["metadata"].get("create_revision", self.revision),
            "finalizers": [],
            "deleting": False,
        }
        self.kinds[kind][name] = after
        await self._tell(kind, after, gone=False)
        return after

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        held = self.kinds.get(kind, {}).pop(name, None)
        if held is not None:
            self.revision += 1
            await self._tell(kind, held, gone=True)

    async def _tell(self, kind: str, obj: dict[str, Any], gone: bool) -> None:
        self.events.append((self.revision, kind, obj, gone))
        async with self._changed:
            self._changed.notify_all()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection."""
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (req := await read_message(reader)) is not None:
                status, body = await self._answer(req)
                kind = {"Content-Type": "application/json"}
                writer.write(response(status, kind, json.dumps(body).encode()))
                await writer.drain()
        writer.close()

    async def _answer(self, req: Message) -> tuple[int, Any]:
        method, target, _ = req.line.split()
        path, _, text = target.partition("?")
        query = {name: values[0] for name, values in parse_qs(text).items()}
        parts = [unquote(part) for part in path.strip("/").split("/")][1:]
        if method == "GET" and len(parts) == 1:
            return await self._list(parts[0], query)
        held = self.kinds.get(parts[0], {}).get(parts[1]) if len(parts) > 1 else None
        if method == "GET":
            return (200, held) if held else (404, {})
        body = json.loads(req.body or b"{}")
        if method == "POST":
            name = body["metadata"]["name"]
            if found := self.kinds.get(parts[0], {}).get(name):
                return 409, found
            return 201, await self.put(parts[0], name, spec=body.get("spec"))
        if held is None:
            return 404, {}
        revision = body.get("metadata", {}).get("revision", query.get("revision"))
        if revision is not None and int(revision) != held["metadata"]["revision"]:
            return 409, held
        if method == "DELETE":
            await self.remove(parts[0], parts[1])
            return 200, held
        part = "status" if len(parts) > 2 else "spec"
        return 200, await self.put(parts[0], parts[1], **{part: body.get(part)})

    async def _list(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        if "watch" not in query:
            items = sorted(self.kinds.get(kind, {}).items())
            rest = [obj for name, obj in items if name > query.get("after", "")]
            more = len(rest) > 500
            return 200, {"items": rest[:500], "truncated": more, "current_rev": self.revision}
        since, until = int(query["watch"]), time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            found = [e for e in self.events if e[0] > since and e[1] == kind]
            left_s = min(MAX_WAIT_S, until - time.monotonic())
            if found or left_s <= 0:
                events = [{"object": obj, "tombstone": gone} for _, _, obj, gone in found]
                return 200, {"events": events, "current_rev": self.revision}
            async with self._changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left_s)


class Run(NamedTuple):
    """A request that a runner has run, and the body of its whole answer."""

    attempt_id: str
    runner: str
    at: float
    body: bytes


Answer = Callable[["Runner", Message, asyncio.StreamWriter], Any]


class Runner:
    """A runner of an application service; `answer` runs a request and writes its answer."""

    def __init__(self, service: str, zone: str, answer: Answer, slots: int = 6) -> None:
        self.id = f"i-{secrets.token_hex(5)}"
        self.service, self.zone, self.slots = service, zone, slots
        self.answer = answer
        self.running = 0
        self.addr = ""
        self.runs: list[Run] = []
        self.conns: set[asyncio.StreamWriter] = set()

    def entry(self) -> dict[str, Any]:
        """Its entry in the store."""
        return {
            "service": self.service,
            "addr": self.addr,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "call_seq": 0,
        }

    def head(self, req: Message, run: bool) -> dict[str, str]:
        """The headers of its answer to a request, that it ran or refused."""
        told = {
            "X-Attempt-Id": req.headers.get("x-attempt-id", ""),
            "X-Runner-Load": f"{self.running},0,{self.slots}",
        }
        if run:
            told["X-Runner-Stamp"] = f"{secrets.token_hex(2)}.{self.id}"
        else:
            told["X-Not-Executed"] = "1"
        return told

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection, one after the other."""
        self.conns.add(writer)
        try:
            while (req := await read_message(reader)) is not None:
                if req.headers.get("x-expect-instance", self.id) != self.id:
                    writer.write(response(421, self.head(req, run=False), b""))
                elif self.running >= self.slots:
                    writer.write(response(503, self.head(req, run=False), b""))
                else:
                    self.running += 1
                    try:
                        await self.answer(self, req, writer)
                    finally:
                        self.running -= 1
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.conns.discard(writer)
            writer.close()


def free_ports(ips: list[str], count: int) -> list[int]:
    """Ports that are free on all addresses."""
    found: list[int] = []
    while len(found) < count:
        port = secrets.randbelow(20000) + 20000
        with contextlib.ExitStack() as held:
            try:
                for ip in ips:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        sock = held.enter_context(socket.socket(socket.AF_INET, kind))
                        sock.bind((ip, port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
    return found


def filled(template: str, fields: dict[str, Any]) -> str:
    """A template of settings, filled as DEPLOY.md says."""

    def value(name: str) -> Any:
        found: Any = fields
        for part in name.split("."):
            key: Any = int(part) if isinstance(found, list) else part
            try:
                found = found[key]
            except (KeyError, IndexError, TypeError):
                return None
        return found

    def section(match: re.Match[str]) -> str:
        given = value(match[2]) not in (None, False, [], {})
        return match[3] if given == (match[1] == "#") else ""

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)\|json\}\}", lambda m: json.dumps(value(m[1])), text)


class Deployment:
    """Gateways as processes, and the stand-ins that run in this one."""

    def __init__(self, zones: list[str], bounds: dict[str, Any], memory_mb: int = 300) -> None:
        self.zones, self.bounds, self.memory_mb = zones, bounds, memory_mb
        self.store = Store()
        self.store_addr = ""
        self.servers: list[asyncio.Server] = []
        self.procs: dict[str, asyncio.subprocess.Process] = {}
        self.folder = Path(tempfile.mkdtemp(prefix="ramppost-review-"))
        # A net of its own, as the gateways' port for metrics is the same on all machines.
        net = f"127.{1 + secrets.randbelow(250)}.{secrets.randbelow(250)}"
        self.ips = [f"{net}.{10 + i}" for i in range(len(zones))]
        self.front, self.ready, self.inner = free_ports(self.ips, 3)
        self.names = [f"front-{zone}-1" for zone in zones]
        self.role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]

    async def listen(self, serve: Any) -> str:
        """Serve on a free port; gives the address."""
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.servers.append(server)
        host, port = server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def add_runner(self, runner: Runner) -> None:
        """Start a runner and enter it in the store."""
        runner.addr = await self.listen(runner.serve)
        await self.store.put("servers", runner.id, spec=runner.entry())

    def settings(self, i: int) -> dict[str, Any]:
        """The fields of a process's settings."""
        ip = self.ips[i]
        return {
            "node_name": self.names[i],
            "zone": self.zones[i],
            "ip": ip,
            "internal_ports": [self.inner, self.inner + 15],
            "zones": dict.fromkeys(self.zones, "scl"),
            "listen_addrs": {"front": f"{ip}:{self.front}", "ready": f"{ip}:{self.ready}"},
            "limits": {"link_mbps": 1000.0, "memory_mb": self.memory_mb},
            "heartbeat_ms": 1200,
            "bounds": self.bounds,
            "platform": {"addr": self.store_addr, "writes_per_s": 400, "reads_per_s": 2000},
        }

    async def start(self, config: dict[str, Any], runners: list[Runner]) -> None:
        """Start everything; returns when all gateways say that they are ready."""
        self.store_addr = await self.listen(self.store.serve)
        await self.store.put("config", "main", spec=config)
        for runner in runners:
            await self.add_runner(runner)
        for i in range(len(self.names)):
            await self.start_gateway(i)
        for i in range(len(self.names)):
            await self.wait_ready(i)
        await asyncio.sleep(2.0)

    async def start_gateway(self, i: int) -> None:
        """Start a gateway with the command of the deploy file."""
        path = self.folder / f"{self.names[i]}.json5"
        template = (ROOT / self.role["template"]).read_text()
        path.write_text(filled(template, self.settings(i)))
        log = (self.folder / f"{self.names[i]}.log").open("ab")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"RAMPPOST_CONFIG": str(path), "PYTHONPATH": str(ROOT / "target/deps")}
        self.procs[self.names[i]] = await asyncio.create_subprocess_exec(
            *self.role["run"].split(), cwd=ROOT, env=env, stdout=log, stderr=log
        )
        log.close()

    async def wait_ready(self, i: int, within_s: float = 15.0) -> None:
        """Wait until a gateway answers `GET /ready` with 200."""
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            with contextlib.suppress(OSError):
                got = await call(f"{self.ips[i]}:{self.ready}", "GET", "/ready", {}, b"", 2.0)
                if isinstance(got, Message) and got.status == 200:
                    return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.names[i]} is not ready after {within_s:g} s")

    def addr(self, i: int) -> str:
        """Where clients reach a gateway."""
        return f"{self.ips[i]}:{self.front}"

    async def stop(self) -> None:
        """End all that was started."""
        for proc in self.procs.values():
            if proc.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    proc.send_signal(signal.SIGKILL)
                await proc.wait()
        for server in self.servers:
            server.close()
        shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case can't run here."""


async def call(
    addr: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    timeout_s: float,
    kept: list[Any] | None = None,
) -> Message | str:
    """Send a request, on a kept connection if there is one; the response or how it ended."""
    host, _, port = addr.rpartition(":")
    told = {"Host": "site.example", "Content-Length": str(len(body)), **headers}
    head = "".join(f"{name}: {value}\r\n" for name, value in told.items())
    reader, writer = kept.pop() if kept else await asyncio.open_connection(host, int(port))
    got: Message | None = None
    try:
        async with asyncio.timeout(timeout_s):
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
            await writer.drain()
            got = await read_message(reader)
    except TimeoutError:
        return "client gave up"
    except ConnectionError:
        return "connection closed"
    finally:
        closes = got is None or got.headers.get("connection", "").lower() == "close"
        if kept is None or closes:
            writer.close()
        else:
            kept.append((reader, writer))
    return got if got is not None else "connection closed"


async def _until_stopped(case: Coroutine[Any, Any, bool]) -> bool:
    """Run a case, which ends what it has started also when it is told to stop."""
    running = asyncio.create_task(case)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, running.cancel)
    return await asyncio.wait_for(running, MAX_CASE_S)


def run_case(case: Callable[[bool, list[str]], Any], folder: Path) -> None:
    """Run a case and end with its exit code: 1 if the rule was broken, 0 if it held, else 2."""
    record: list[str] = []
    code = 2
    try:
        trouble = os.environ.get("TROUBLE", "1") != "0"
        code = 1 if asyncio.run(_until_stopped(case(trouble, record))) else 0
    except (CannotRun, OSError, TimeoutError, asyncio.CancelledError) as exc:
        record.append(f"the case could not run: {exc!r}")
    finally:
        (folder / "record.txt").write_text("\n".join(record) + "\n")
    print("\n".join(record[-6:]))
    sys.exit(code)
