"""`ramppost dev`: the whole path in one process on loopback, for a laptop."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path
from typing import Any, Final

import curio

from ramppost import logs
from ramppost.programs import PROGRAM_MAINS, run_loop
from ramppost.standin.fleet import DEV, ENTRY_PORTS, OPERATOR_TOKEN, build, token_of
from ramppost.wire.client import Pool, Response, call
from ramppost.wire.signals import Signals

READY_POLL_S: Final = 0.1
FIRST_PORT: Final = 1024 + ENTRY_PORTS
"""The lowest port of the entry: the ports below 1024 are for root."""
LAST_PORT: Final = 65535 - 1000
"""The highest: those of agents and upstreams lie above it."""

BANNER: Final = """
ramppost is up. Plain, then streamed:

curl -s http://{addr}/v1/chat/completions -H 'Authorization: Bearer {token}' -H 'Content-Type: application/json' -d '{{"model":"auto","messages":[{{"role":"user","content":"injera for ten"}}]}}'

curl -sN http://{addr}/v1/chat/completions -H 'Authorization: Bearer {other}' -H 'Content-Type: application/json' -d '{{"model":"large","stream":true,"messages":[{{"role":"user","content":"summarise the appeal"}}]}}'

Operators: RAMPPOST_TOKEN={operator} ramppost status --entry {addr}
Stop with Ctrl-C.
"""


async def dev(port: int, signals: Signals) -> None:
    """Run entry, agents and stand-ins as tasks until a signal; the entry listens on `port`, and
    the others on ports that follow from it."""
    fleet = build(DEV._replace(base_port=port - ENTRY_PORTS))
    with tempfile.TemporaryDirectory() as folder:
        seed = Path(folder) / "config.json"
        seed.write_text(json.dumps(fleet.doc), encoding="utf-8")
        fleet.platform["seed"] = str(seed)
        groups: list[dict[str, Any]] = [
            {"platform": fleet.platform},
            dict(fleet.engines),
            dict(fleet.services),
            dict(fleet.agents),
            dict(fleet.entries),
        ]
        logs.set_up(DEV.log, "dev")
        for cfg in (cfg for group in groups for cfg in group.values()):
            await curio.spawn(PROGRAM_MAINS[cfg["program"]], cfg, daemon=True)
        where = fleet.entries["entry-1"]["listen"]
        addr = f"{where['host']}:{where['port']}"
        await _ready(addr, token_of("mesob"))
        banner = BANNER.format(
            addr=addr, token=token_of("mesob"), other=token_of("toll"), operator=OPERATOR_TOKEN
        )
        print(banner, flush=True)
        await signals.wait()


async def _ready(addr: str, token: str) -> None:
    """Wait until a request is served."""
    pool = Pool()
    body = b'{"model":"auto","messages":[{"role":"user","content":"hello"}],"max_tokens":1}'
    head = (("authorization", f"Bearer {token}"), ("content-type", "application/json"))
    while True:
        got = await call(pool, addr, "POST", "/v1/chat/completions", body, 5.0, head)
        if isinstance(got, Response) and got.status == 200:
            return
        await curio.sleep(READY_POLL_S)


def run_dev(port: int) -> None:
    """Run until a signal."""
    run_loop(dev, port, Signals())
