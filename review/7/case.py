"""The last runner of a service leaves while the gateway that watches the store is frozen."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import lab2
from lab2 import Head, Lab, Request, Runner

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption is to be there."""
CALL_EVERY_S = 0.05
FROZEN_S = 4.0
"""As `node_freeze` in the second deployment's list of troubles."""
GATEWAYS = 3


async def work(runner: Runner, req: Request, head: Head, writer: asyncio.StreamWriter) -> str:
    """Answer a call."""
    await asyncio.sleep(0.02)
    writer.write(lab2.answer(200, b"done", head))
    await writer.drain()
    return "answered"


def watching_gateway(lab: Lab) -> str:
    """The gateway whose calls the store has had most of lately."""
    ips = [ip for at, ip in lab.store.watches if lab.record.now() - at < 3]
    return max(lab.gateways, key=lambda name: ips.count(lab.ips[name]))


async def case(lab: Lab) -> bool:
    """Whether the runner got a call later than the bound after its entry had gone."""
    route = lab2.route("note", "non_idempotent", "web", target_latency_ms=200, timeout_ms=1500)
    config = lab2.configuration([route], [{"name": "web", "max_conns": 100}])
    runner = Runner(lab, "web", "v1", "bole", work)
    await lab.start(config, [runner], GATEWAYS)
    await asyncio.sleep(5)
    frozen = watching_gateway(lab)
    asked = [name for name in lab.gateways if name != frozen]
    calls = []
    gone_at = 0.0
    began_at = lab.record.now()
    while (now := lab.record.now()) < began_at + 8:
        for name in asked:
            call = lab.ask(lab.ips[name], "POST", "/note/2f", body=b"a" * 600, timeout_s=1.5)
            calls.append(asyncio.create_task(call))
        if not gone_at and now > began_at + 1:
            if HAS_TROUBLE:
                lab.signal(frozen, signal.SIGSTOP)
            runner.leave()
            gone_at = lab.record.now()
        if HAS_TROUBLE and gone_at and now > gone_at + FROZEN_S:
            lab.signal(frozen, signal.SIGCONT)
        await asyncio.sleep(CALL_EVERY_S)
    await asyncio.gather(*calls)
    lab.keep_logs("upstream")
    bound_s = lab.bounds["drain_timeout_ms"] / 1000
    late = [at - gone_at for at in runner.arrivals if at - gone_at > bound_s]
    last = max(at - gone_at for at in runner.arrivals)
    lab.record.write(f"last call {last:.3f} s after the entry went; {len(late)} after {bound_s} s")
    return bool(late)


if __name__ == "__main__":
    sys.exit(lab2.main(case, Path(__file__).resolve().parent))
