"""Sends an engine the load orders that are due.

Only the agent of an engine sends it orders.  Model weights come from a store of limited
throughput, so agents must not all send orders at the same time: each delays an order by a random
part of `order_spread_s`, and by the retry delay of the engine if the store has no capacity.

An agent whose process was paused may hold an outdated configuration without noticing.  It sends
orders only within `MAX_CONTACT_AGE_S` of its last contact with the platform or a peer, by a clock
that advances while the process is stopped.  In the remaining cases the fencing token protects an
engine that checks it.
"""

from __future__ import annotations

import random
from typing import Final

import curio
from loguru import logger

from ramppost import clock
from ramppost.agent.engine import OrderRefused, send_load_order
from ramppost.agent.state import Agent
from ramppost.policy.orders import LoadOrder, orders_due
from ramppost.policy.permissions import ModelVersion, parse_model

POLL_INTERVAL_S: Final = 0.5
MAX_CONTACT_AGE_S: Final = 6.0
REORDER_DELAY_S: Final = 5.0
DEFAULT_SPREAD_S: Final = 2.0


async def send_due_orders(agent: Agent) -> None:
    """Send the engine its due orders until cancelled; return at once for a plain service."""
    if agent.cfg["upstream"]["kind"] != "engine":
        return
    not_before: dict[LoadOrder, float] = {}
    while True:
        await curio.sleep(POLL_INTERVAL_S)
        now = clock.now()
        doc = agent.conf.doc
        if (
            doc is None
            or not agent.upstream_up
            or now - agent.conf.last_contact_at > MAX_CONTACT_AGE_S
        ):
            continue
        served: set[ModelVersion] = {parse_model(text) for text in agent.versions}
        due = orders_due(doc, served)
        not_before = {order: send_at for order, send_at in not_before.items() if order in due}
        for order in due:
            spread_s = agent.cfg.get("order_spread_s", DEFAULT_SPREAD_S)
            send_at = not_before.setdefault(order, now + random.uniform(0, spread_s))
            if now >= send_at:
                not_before[order] = now + await _send_order(agent, order)


async def _send_order(agent: Agent, order: LoadOrder) -> float:
    """Send an order; return the seconds until it may be sent again if it has had no effect."""
    result = await send_load_order(agent.pool, agent.cfg["upstream"]["addr"], order)
    if isinstance(result, OrderRefused):
        logger.info("order to load {} not taken: {}", order.mv.text, result.reason)
        return max(REORDER_DELAY_S * random.uniform(0.5, 1.0), result.retry_after_s)
    logger.info("ordered the engine to load {} with fence {}", order.mv.text, order.fence)
    return REORDER_DELAY_S
