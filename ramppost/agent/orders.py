"""Gives an engine the orders that it is due, and nobody else does.

Weights come from a store with a rate, so all agents must not order at the same
moment: each waits a random part of `spread_s` first, and as long as the engine
says where the store has no room.

An agent that was paused may hold an old configuration and not know it.  It gives
orders only within `FRESH_S` of having heard from the platform or a peer, by a
clock that runs on while the process is stopped; the fence guards the rest where
the engine checks it.
"""

from __future__ import annotations

import random
from typing import Final

import curio
from loguru import logger

from ramppost import clock
from ramppost.agent.engine import OrderRefused, order_load
from ramppost.agent.state import Agent
from ramppost.policy.orders import LoadOrder, orders_due
from ramppost.policy.permissions import ModelVersion, parse_model

PERIOD_S: Final = 0.5
FRESH_S: Final = 6.0
REORDER_DELAY_S: Final = 5.0
SPREAD_S: Final = 2.0


async def give_orders(agent: Agent) -> None:
    """Give the engine what it is due, until cancelled; a plain service is due nothing."""
    if agent.cfg["upstream"]["kind"] != "engine":
        return
    not_before: dict[LoadOrder, float] = {}
    while True:
        await curio.sleep(PERIOD_S)
        now = clock.now()
        doc = agent.conf.doc
        if doc is None or not agent.up or now - agent.conf.last_contact_at > FRESH_S:
            continue
        served: set[ModelVersion] = {parse_model(text) for text in agent.versions}
        due = orders_due(doc, served)
        not_before = {order: at for order, at in not_before.items() if order in due}
        for order in due:
            spread_s = agent.cfg.get("order_spread_s", SPREAD_S)
            at = not_before.setdefault(order, now + random.uniform(0, spread_s))
            if now >= at:
                not_before[order] = now + await _give(agent, order)


async def _give(agent: Agent, order: LoadOrder) -> float:
    """Give one order; seconds until it may be given again if nothing came of it."""
    out = await order_load(agent.pool, agent.cfg["upstream"]["addr"], order)
    if isinstance(out, OrderRefused):
        logger.info("order to load {} not taken: {}", order.mv.text, out.reason)
        return max(REORDER_DELAY_S * random.uniform(0.5, 1.0), out.retry_after_s)
    logger.info("ordered to load {} under fence {}", order.mv.text, order.fence)
    return REORDER_DELAY_S
