"""`ramppost agent`: runs the HTTP handler and background tasks of an agent, and its shutdown."""

from __future__ import annotations

from typing import Final

import curio
from loguru import logger

from ramppost import clock
from ramppost.agent.engine import fetch_versions
from ramppost.agent.handler import agent_handler
from ramppost.agent.orders import send_due_orders
from ramppost.agent.runner import cancel_attempt
from ramppost.agent.service import is_service_up
from ramppost.agent.state import Agent
from ramppost.confsync import poll_peers, watch_platform
from ramppost.schema.settings import AgentSettings
from ramppost.wire.intake import Intake, intake_limits
from ramppost.wire.server import Limits, listen, serve
from ramppost.wire.signals import Signals

HOUSEKEEPING_INTERVAL_S: Final = 0.5
PROBE_INTERVAL_S: Final = 1.0
SHUTDOWN_POLL_INTERVAL_S: Final = 0.05


async def run(cfg: AgentSettings, signals: Signals | None = None) -> None:
    """Run until a signal requests a graceful shutdown, or until cancelled."""
    agent = Agent(cfg)
    listen_address = cfg["listen"]
    logger.info(
        "starting agent {} of {} on {}:{}",
        agent.name,
        cfg["name"],
        listen_address["host"],
        listen_address["port"],
    )
    sock = listen(listen_address["host"], listen_address["port"])
    tasks = [
        await curio.spawn(watch_platform, agent.conf, agent.client, daemon=True),
        await curio.spawn(poll_peers, agent.conf, agent.pool, lambda: cfg["peers"], daemon=True),
        await curio.spawn(_poll_upstream, agent, daemon=True),
        await curio.spawn(_run_housekeeping, agent, daemon=True),
        await curio.spawn(send_due_orders, agent, daemon=True),
        await curio.spawn(agent.filer.run, daemon=True),
        await curio.spawn(
            serve,
            sock,
            agent_handler(agent),
            Limits(),
            None,
            None,
            agent.meter,
            _intake(cfg),
            daemon=True,
        ),
    ]
    try:
        if signals is None:
            await curio.sleep(float("inf"))
            return
        await signals.wait()
        await _shut_down(agent)
    finally:
        for task in tasks:
            await task.cancel(blocking=False)


def _intake(cfg: AgentSettings) -> Intake:
    """What clients may make the process hold."""
    limits = cfg.get("limits", {})
    return Intake(intake_limits(limits.get("memory_mb"), limits.get("open_files")))


async def _shut_down(agent: Agent) -> None:
    """Shut down gracefully: accept no new attempts, finish the running ones and file all bills."""
    logger.info("shutting down: {} attempts in progress", agent.attempts.active_count)
    agent.leaving = True
    deadline = clock.now() + agent.cfg.get("drain_s", 600.0)
    await curio.sleep(agent.cfg.get("linger_s", 3.0))
    while clock.now() < deadline:
        readers = sum(item.readers for item in agent.attempts.by_id.values())
        if (
            not agent.attempts.active_count
            and not readers
            and not agent.unsettled_bills
            and agent.filer.empty
        ):
            logger.info("left")
            return
        await curio.sleep(SHUTDOWN_POLL_INTERVAL_S)
    logger.warning(
        "left with {} unfinished attempts and {} unfiled bills",
        agent.attempts.active_count,
        len(agent.unsettled_bills),
    )


async def _poll_upstream(agent: Agent) -> None:
    """Poll whether the upstream responds, and which versions an engine serves."""
    upstream = agent.cfg["upstream"]
    while True:
        if upstream["kind"] == "engine":
            versions = await fetch_versions(agent.pool, upstream["addr"])
            agent.upstream_up = versions is not None
            agent.versions = versions if versions is not None else agent.versions
        else:
            agent.upstream_up = await is_service_up(agent.pool, upstream["addr"])
        await curio.sleep(PROBE_INTERVAL_S)


async def _run_housekeeping(agent: Agent) -> None:
    """File bills that no entry has settled, cancel orphaned runs and evict old attempts.

    A run is orphaned if nobody has read its answer for `orphan_s`; only repeatable ones are
    cancelled.
    """
    witness_s = agent.cfg.get("witness_s", 10.0)
    orphan_s = agent.cfg.get("orphan_s", 10.0)
    while True:
        await curio.sleep(HOUSEKEEPING_INTERVAL_S)
        now = clock.now()
        for attempt, (since, line) in list(agent.unsettled_bills.items()):
            if now - since > witness_s or (agent.leaving and now - since > min(2.0, witness_s)):
                agent.filer.add(line)
                agent.unsettled_bills[attempt] = (float("inf"), line)
        for item in list(agent.attempts.by_id.values()):
            unread = not item.readers and now - item.last_read_at > orphan_s
            if unread and not item.ended_at and item.msg and item.msg["repeatable"]:
                await cancel_attempt(agent, item)
        agent.attempts.evict(now)
