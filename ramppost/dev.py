"""`ramppost dev`: runs an entry, agents and stand-ins in one process on the loopback interface."""

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
"""The lowest port for the entry, so that no derived port is below 1024, which requires root."""
LAST_PORT: Final = 65535 - 1000
"""The highest port for the entry; the ports of agents and upstreams are above it."""

BANNER: Final = """
ramppost is up. Plain, then streamed:

curl -s http://{addr}/v1/chat/completions -H 'Authorization: Bearer {token}' -H 'Content-Type: application/json' -d '{{"model":"auto","messages":[{{"role":"user","content":"injera for ten"}}]}}'

curl -sN http://{addr}/v1/chat/completions -H 'Authorization: Bearer {other}' -H 'Content-Type: application/json' -d '{{"model":"large","stream":true,"messages":[{{"role":"user","content":"summarise the appeal"}}]}}'

Operators: RAMPPOST_TOKEN={operator} ramppost status --entry {addr}
Stop with Ctrl-C.
"""


async def dev(port: int, signals: Signals) -> None:
    """Run an entry, agents and stand-ins as tasks until a signal arrives.

    The entry listens on `port`; the ports of the other programs are derived from it.
    """
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
        listen = fleet.entries["entry-1"]["listen"]
        addr = f"{listen['host']}:{listen['port']}"
        await _wait_until_ready(addr, token_of("mesob"))
        banner = BANNER.format(
            addr=addr, token=token_of("mesob"), other=token_of("toll"), operator=OPERATOR_TOKEN
        )
        print(banner, flush=True)
        await signals.wait()


async def _wait_until_ready(addr: str, token: str) -> None:
    """Send requests until one is served."""
    pool = Pool()
    body = b'{"model":"auto","messages":[{"role":"user","content":"hello"}],"max_tokens":1}'
    headers = (("authorization", f"Bearer {token}"), ("content-type", "application/json"))
    while True:
        response = await call(pool, addr, "POST", "/v1/chat/completions", body, 5.0, headers)
        if isinstance(response, Response) and response.status == 200:
            return
        await curio.sleep(READY_POLL_S)


def run_dev(port: int) -> None:
    """Run the development setup until a signal arrives."""
    run_loop(dev, port, Signals())
