"""Stand-in for a plain service: answers any call with what it was asked, after a while."""

from __future__ import annotations

import time

import curio
from loguru import logger

from ramppost.schema.settings import ServiceStandinSettings
from ramppost.standin.engine import Run
from ramppost.standin.faults import Faults, with_faults
from ramppost.wire.codec import encode
from ramppost.wire.server import Reply, Request, listen, serve


async def run(cfg: ServiceStandinSettings) -> None:
    """Serve until cancelled."""
    log: list[Run] = []

    async def handle(req: Request, reply: Reply) -> None:
        if req.path == "/_log":
            await reply.send(200, encode(log))
            return
        if req.path == "/load":
            await reply.send(200, b"{}")
            return
        line = Run(
            at=time.time(),
            request_id=req.headers.get("x-request-id", ""),
            attempt=req.headers.get("x-attempt", ""),
            idempotency_key=req.headers.get("idempotency-key", ""),
            model="",
            version="",
            workspace=req.headers.get("x-workspace", ""),
            session=req.headers.get("x-session", ""),
            priority=int(req.headers.get("x-priority", "5")),
            state="running",
        )
        log.append(line)
        await curio.sleep(cfg["work_ms"] / 1000)
        line["state"] = "done"
        answer = {
            "service": cfg["service"],
            "method": req.method,
            "path": req.path,
            "runs": len(log),
        }
        await reply.send(200, encode(answer))

    where = cfg["listen"]
    logger.info("service stand-in on {}:{}", where["host"], where["port"])
    await serve(listen(where["host"], where["port"]), with_faults(Faults(), handle))
