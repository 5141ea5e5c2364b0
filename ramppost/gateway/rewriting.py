"""Writes again what the store has lost of a gateway's by coming back from an older copy.

Every gateway writes its own entry, if the older copy lacks it or holds an earlier one.  The writes
of a large fleet are spread, because they would exceed the store's rate.
"""

from __future__ import annotations

from typing import Final

import curio
from loguru import logger

from ramppost.gateway.peers import GATEWAY_KIND, GatewayEntry
from ramppost.gateway.state import Gateway
from ramppost.platform.store import StoredObject, put

CHECK_INTERVAL_S: Final = 0.2
RETRY_DELAY_S: Final = 0.25
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
