"""`ramppost agent`: starts the door, its housekeeping and the planned stop."""

from __future__ import annotations

from typing import Final

import curio
from loguru import logger

from ramppost import clock
from ramppost.agent.engine import versions_of
from ramppost.agent.handler import agent_handler
from ramppost.agent.orders import give_orders
from ramppost.agent.runner import cancel
from ramppost.agent.service import service_up
from ramppost.agent.state import Agent
from ramppost.confsync import poll_peers, watch_platform
from ramppost.schema.settings import AgentSettings
from ramppost.wire.server import Limits, listen, serve
from ramppost.wire.signals import Signals

HOUSEKEEPING_S: Final = 0.5
PROBE_S: Final = 1.0
STOP_POLL_S: Final = 0.05


async def run(cfg: AgentSettings, signals: Signals | None = None) -> None:
    """Run until a signal asks for a planned stop, or until cancelled."""
    agent = Agent(cfg)
    where = cfg["listen"]
    logger.info("agent {} of {} on {}:{}", agent.name, cfg["name"], where["host"], where["port"])
    sock = listen(where["host"], where["port"])
    tasks = [
        await curio.spawn(watch_platform, agent.conf, agent.client, daemon=True),
        await curio.spawn(poll_peers, agent.conf, agent.pool, lambda: cfg["peers"], daemon=True),
        await curio.spawn(_probe, agent, daemon=True),
        await curio.spawn(_housekeeping, agent, daemon=True),
        await curio.spawn(give_orders, agent, daemon=True),
        await curio.spawn(agent.filer.run, daemon=True),
        await curio.spawn(
            serve, sock, agent_handler(agent), Limits(), None, None, agent.meter, daemon=True
        ),
    ]
    try:
        if signals is None:
            await curio.sleep(float("inf"))
            return
        await signals.wait()
        await _stop(agent)
    finally:
        for task in tasks:
            await task.cancel(blocking=False)


async def _stop(agent: Agent) -> None:
    """Planned stop: no new work, running answers to their end, bills filed."""
    logger.info("leaving: {} attempts under way", agent.attempts.live)
    agent.leaving = True
    deadline = clock.now() + agent.cfg.get("drain_s", 600.0)
    await curio.sleep(agent.cfg.get("linger_s", 3.0))
    while clock.now() < deadline:
        readers = sum(item.readers for item in agent.attempts.table.values())
        if not agent.attempts.live and not readers and not agent.witness and agent.filer.empty:
            logger.info("left")
            return
        await curio.sleep(STOP_POLL_S)
    logger.warning("left with {} attempts and {} bills", agent.attempts.live, len(agent.witness))


async def _probe(agent: Agent) -> None:
    """Learn what the upstream serves, and whether it answers."""
    upstream = agent.cfg["upstream"]
    while True:
        if upstream["kind"] == "engine":
            found = await versions_of(agent.pool, upstream["addr"])
            agent.up = found is not None
            agent.versions = found if found is not None else agent.versions
        else:
            agent.up = await service_up(agent.pool, upstream["addr"])
        await curio.sleep(PROBE_S)


async def _housekeeping(agent: Agent) -> None:
    """File bills that no entry settled, stop runs that nobody reads, forget the old."""
    witness_s = agent.cfg.get("witness_s", 10.0)
    orphan_s = agent.cfg.get("orphan_s", 10.0)
    while True:
        await curio.sleep(HOUSEKEEPING_S)
        now = clock.now()
        for attempt, (since, line) in list(agent.witness.items()):
            if now - since > witness_s or (agent.leaving and now - since > min(2.0, witness_s)):
                agent.filer.add(line)
                agent.witness[attempt] = (float("inf"), line)
        for item in list(agent.attempts.table.values()):
            unread = not item.readers and now - item.unread_since > orphan_s
            if unread and not item.over_at and item.msg and item.msg["repeatable"]:
                await cancel(agent, item)
        agent.attempts.sweep(now)
