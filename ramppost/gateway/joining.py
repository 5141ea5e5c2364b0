"""Joins the fleet of gateways at startup and gets the store's state from them.

A starting gateway lists the others with a read that may be seconds old, which is good enough to
know whom to poll.  If the list contains its own, unchanged entry, it writes nothing.  Then it waits
briefly for a feed from the others before it queries the store itself: of 2,125 store calls that a
fleet of 68 made in 36 s of a calm day, 1,461 fell into its first seven seconds, and as many again
would follow whenever all gateways were killed.

The first start of a whole fleet finds an empty list.  Then each gateway writes its own entry,
waits until the others have done so, and lists again.
"""

from __future__ import annotations

from typing import Final

import curio

from ramppost import clock
from ramppost.gateway.departures import announce_return
from ramppost.gateway.peers import (
    GATEWAY_KIND,
    GatewayEntry,
    apply_gateway_entry,
    apply_gateway_snapshot,
    own_entry,
)
from ramppost.gateway.replica import Handlers
from ramppost.gateway.rewriting import keep_entry, write_entry
from ramppost.gateway.state import Gateway
from ramppost.gateway.subscribe import subscribe
from ramppost.gateway.watchers import (
    FALLBACK_DELAY_S,
    SLOW_WATCH_TIMEOUT_S,
    start_watchers,
    watch_kind,
)
from ramppost.platform.store import Snapshot, Unavailable, list_kind
from ramppost.policy.relays import start_hold_s

JOINT_START_S: Final = 0.8
"""How long a fleet's first start takes: its boxes start within 0.3 s of each other, and their
processes need half a second."""
MAX_LISTS: Final = 3
"""Maximum number of lists read until one contains the own entry, and so is as new as that."""
LIST_RETRY_S: Final = 0.2


async def join(gw: Gateway) -> None:
    """Find the other gateways, replicate the store's kinds, and write the own entry."""
    entry = own_entry(gw)
    listing = await list_kind(gw.store, GATEWAY_KIND, stale_ok=True)
    registered = _is_registered(gw, listing, entry)
    if isinstance(listing, Snapshot) and not listing.objects:
        await write_entry(gw, entry)
        registered = True
        listing = await _list_joint_start(gw, entry)
    if isinstance(listing, Snapshot):
        apply_gateway_snapshot(gw, listing)
    now = clock.now()
    if not gw.peers.is_relay(now):
        gw.feed_valid_until = now + start_hold_s(gw.peers.fleet_size, gw.rng.random())
    await start_watchers(gw)
    await _follow_gateways(gw, listing)
    announce_return(gw)
    await curio.spawn(subscribe, gw, daemon=True)
    era = listing.era if isinstance(listing, Snapshot) else 0
    if not registered:
        era = await write_entry(gw, entry)
    await curio.spawn(keep_entry, gw, entry, era, daemon=True)


async def _list_joint_start(gw: Gateway, entry: GatewayEntry) -> Snapshot | Unavailable:
    """The list of gateways once those that start together with this one have registered."""
    await curio.sleep(JOINT_START_S)
    for _ in range(MAX_LISTS):
        listing = await list_kind(gw.store, GATEWAY_KIND, stale_ok=True)
        if _is_registered(gw, listing, entry):
            break
        await curio.sleep(LIST_RETRY_S)
    return listing


async def _follow_gateways(gw: Gateway, listing: Snapshot | Unavailable) -> None:
    """Replicate the gateways' entries, starting from the given list."""
    handlers = Handlers(
        lambda snapshot: apply_gateway_snapshot(gw, snapshot),
        lambda change: None if change.removed else apply_gateway_entry(gw, change.obj),
        lambda at: None,
    )
    await watch_kind(gw, GATEWAY_KIND, handlers, SLOW_WATCH_TIMEOUT_S, FALLBACK_DELAY_S)
    if isinstance(listing, Snapshot):
        await gw.replicas[GATEWAY_KIND].apply_snapshot(listing, float("-inf"))


def _is_registered(gw: Gateway, listing: Snapshot | Unavailable, entry: GatewayEntry) -> bool:
    """Whether a list contains the own entry with its current contents."""
    if isinstance(listing, Unavailable):
        return False
    return any(obj.name == gw.cfg["name"] and obj.spec == entry for obj in listing.objects)
