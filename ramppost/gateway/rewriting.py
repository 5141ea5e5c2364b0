"""Writes again what the store has lost of a gateway's by coming back from an older copy.

Every gateway writes its own entry, if the older copy lacks it or holds an earlier one, and the
plans that were made at it.  The confirmed policies are written by the first gateway that finds them
missing.  The writes of a large fleet are spread, because they would exceed the store's rate.
"""

from __future__ import annotations

from typing import Final

import curio
from loguru import logger

from ramppost import clock
from ramppost.gateway.peers import GATEWAY_KIND, GatewayEntry
from ramppost.gateway.plans import PLAN_KIND
from ramppost.gateway.policies import POLICY_KIND, POLICY_NAME
from ramppost.gateway.state import Gateway
from ramppost.platform.store import StoredObject, Unavailable, create, put, replace
from ramppost.policy.routing import hash_fraction

CHECK_INTERVAL_S: Final = 0.2
RETRY_DELAY_S: Final = 0.25
WRITE_SPREAD_S: Final = 0.2
"""Relays spread their writes over this time, and the other gateways do so after them."""
ENTRIES_PER_S: Final = 100.0
"""Rate at which a fleet writes its entries: a quarter of the writes that a store takes, for those
who write at the same time."""


async def keep_entry(gw: Gateway, entry: GatewayEntry, checked_era: int) -> None:
    """Write the own entry again after each return of the store that has lost it, until cancelled.

    The entry was in the store in `checked_era`.  Within an era, one that somebody else has changed
    is left as it is.
    """
    while True:
        await curio.sleep(CHECK_INTERVAL_S)
        position = gw.replicas[GATEWAY_KIND].position
        if position is None or position.era <= checked_era:
            continue
        checked_era = position.era
        if not _is_stored(gw, entry):
            await curio.sleep(gw.rng.random() * gw.peers.fleet_size / ENTRIES_PER_S)
            checked_era = await write_entry(gw, entry)


async def write_entry(gw: Gateway, entry: GatewayEntry) -> int:
    """Write the own entry, until the store takes it; returns the store's era then."""
    while True:
        stored = await put(gw.store, GATEWAY_KIND, gw.cfg["name"], entry)
        if isinstance(stored, StoredObject):
            logger.info("entered among the gateways", addr=entry["addr"])
            return stored.era
        await curio.sleep(RETRY_DELAY_S)


def _is_stored(gw: Gateway, entry: GatewayEntry) -> bool:
    """Whether the store holds the own entry as it is."""
    stored = gw.replicas[GATEWAY_KIND].complete_object(gw.cfg["name"])
    return stored is not None and stored.spec == entry


async def keep_policies(gw: Gateway) -> None:
    """Write the confirmed policies again when the store lacks them or holds older ones, until
    cancelled."""
    fraction = hash_fraction("policies", gw.cfg["name"])
    while True:
        await curio.sleep(CHECK_INTERVAL_S)
        if not _are_policies_lost(gw):
            continue
        await curio.sleep(gw.peers.write_delay_s(WRITE_SPREAD_S, fraction, clock.now()))
        while _are_policies_lost(gw):
            await _write_policies(gw)
            await curio.sleep(RETRY_DELAY_S)


def _are_policies_lost(gw: Gateway) -> bool:
    """Whether a later era of the store holds older policies than those in force here, or none."""
    replica = gw.replicas.get(POLICY_KIND)
    if replica is None or replica.position is None or gw.policies.position.revision == 0:
        return False
    if POLICY_NAME in replica.retained:
        return True
    stored = replica.complete_object(POLICY_NAME)
    later_era = replica.position.era > gw.policies.position.era
    return later_era and (stored is None or gw.policies.is_newer_than(stored))


async def _write_policies(gw: Gateway) -> None:
    replica = gw.replicas[POLICY_KIND]
    stored = replica.retained.get(POLICY_NAME, replica.complete_object(POLICY_NAME))
    doc = gw.policies.doc
    if stored is None:
        got = await create(gw.store, POLICY_KIND, POLICY_NAME, doc)
    else:
        got = await replace(gw.store, POLICY_KIND, POLICY_NAME, stored.position, doc)
    logger.info("policies written again", plan=doc["plan_id"], outcome=type(got).__name__)


async def keep_plans(gw: Gateway) -> None:
    """Write plans made here again after each return of the store, until cancelled."""
    while True:
        await curio.sleep(CHECK_INTERVAL_S)
        for plan in gw.plans.perhaps_lost(gw.store.era):
            got = await create(gw.store, PLAN_KIND, plan["plan_id"], plan)
            if isinstance(got, Unavailable):
                break
            # A conflict says that the copy held it.
            gw.plans.mark_written(plan["plan_id"], gw.store.era)
            logger.info("plan written again", plan=plan["plan_id"], outcome=type(got).__name__)
