"""Joins the other gateways at the start, and is told by them what stands in the store.

A gateway that starts finds the others in the store's list, with a read that may be seconds old:
that is enough to know whom to ask.  One that is listed as it is now writes nothing.  Then it
waits a moment for the others to tell it everything before it asks the store itself: of 2,125
calls that a fleet of 68 made in 36 s of a calm day, 1,461 were of its first seven, and as many
again would follow whenever all were killed.

The first start of a whole fleet finds nobody.  Then each enters itself, waits until the others
have done so, and looks again.
"""

from __future__ import annotations

from typing import Final

import curio
from loguru import logger

from ramppost import clock
from ramppost.gateway.follow import Handlers
from ramppost.gateway.peers import (
    GATEWAY_KIND,
    GatewayEntry,
    apply_gateway_entry,
    apply_gateway_snapshot,
    own_entry,
)
from ramppost.gateway.state import Gateway
from ramppost.gateway.subscribe import subscribe
from ramppost.gateway.watchers import (
    FALLBACK_DELAY_S,
    SLOW_WATCH_TIMEOUT_S,
    start_watchers,
    watch_kind,
)
from ramppost.platform.store import Snapshot, StoredObject, Unavailable, list_kind, put
from ramppost.policy.relays import start_hold_s

REGISTER_RETRY_S: Final = 0.25
JOINT_START_S: Final = 0.8
"""Boxes of a fleet start within 0.3 s of each other, and their processes need half a second."""
MAX_LISTS: Final = 3
"""Lists that are read until one shows the own entry, and so is as new as that."""
LIST_RETRY_S: Final = 0.2


async def join(gw: Gateway) -> None:
    """Find the others, follow what stands in the store, and enter the own name."""
    entry = own_entry(gw)
    seen = await list_kind(gw.store, GATEWAY_KIND, stale_ok=True)
    registered = _is_registered(gw, seen, entry)
    if isinstance(seen, Snapshot) and not seen.objects:
        await _register(gw, entry)
        registered = True
        seen = await _list_joint_start(gw, entry)
    if isinstance(seen, Snapshot):
        apply_gateway_snapshot(gw, seen)
    now = clock.now()
    if not gw.peers.is_relay(now):
        gw.feed_valid_until = now + start_hold_s(gw.peers.fleet_size, gw.rng.random())
    await start_watchers(gw)
    await _follow_gateways(gw, seen)
    await curio.spawn(subscribe, gw, daemon=True)
    if not registered:
        await _register(gw, entry)


async def _list_joint_start(gw: Gateway, entry: GatewayEntry) -> Snapshot | Unavailable:
    """The list of gateways once those that start with this one have registered."""
    await curio.sleep(JOINT_START_S)
    for _ in range(MAX_LISTS):
        seen = await list_kind(gw.store, GATEWAY_KIND, stale_ok=True)
        if _is_registered(gw, seen, entry):
            break
        await curio.sleep(LIST_RETRY_S)
    return seen


async def _follow_gateways(gw: Gateway, seen: Snapshot | Unavailable) -> None:
    """Follow the gateways' entries, on from what was listed."""
    handlers = Handlers(
        lambda snapshot: apply_gateway_snapshot(gw, snapshot),
        lambda change: None if change.removed else apply_gateway_entry(gw, change.obj),
        lambda at: None,
    )
    await watch_kind(gw, GATEWAY_KIND, handlers, SLOW_WATCH_TIMEOUT_S, FALLBACK_DELAY_S)
    if isinstance(seen, Snapshot):
        await gw.replicas[GATEWAY_KIND].apply_snapshot(seen, float("-inf"))


async def _register(gw: Gateway, entry: GatewayEntry) -> None:
    """Write the own entry, however long the store is away."""
    while not isinstance(await put(gw.store, GATEWAY_KIND, gw.cfg["name"], entry), StoredObject):
        await curio.sleep(REGISTER_RETRY_S)
    logger.info("entered among the gateways", addr=entry["addr"])


def _is_registered(gw: Gateway, seen: Snapshot | Unavailable, entry: GatewayEntry) -> bool:
    """Whether a list shows the own entry as it is."""
    if isinstance(seen, Unavailable):
        return False
    return any(obj.name == gw.cfg["name"] and obj.spec == entry for obj in seen.objects)
