"""Keeps the own entry among the gateways, and knows the others by theirs."""

from __future__ import annotations

from typing import Final, NotRequired, TypedDict

import curio
from loguru import logger

from ramppost.gateway.follow import Handlers
from ramppost.gateway.state import Gateway
from ramppost.gateway.watchers import PATIENCE_S, SLOW_WAIT_S, watch_kind
from ramppost.platform.store import Snapshot, StoredObject, put
from ramppost.wire.addr import is_address
from ramppost.wire.codec import BadMessage, decode, encode

GATEWAY_KIND: Final = "gateways"
PUT_AGAIN_S: Final = 0.25
LIST_FIRST_S: Final = 1.5
"""Boxes start within a second of each other; entries that come together cost one list."""


class GatewayEntry(TypedDict):
    """A gateway's own object in the store."""

    addr: str
    hall: str
    link_mbps: NotRequired[float]


async def keep_listed(gw: Gateway) -> None:
    """Write the own entry, and follow those of others."""
    entry = GatewayEntry(
        addr=f"{gw.cfg['ip']}:{gw.cfg['internal_port']}",
        hall=gw.cfg["hall"],
        link_mbps=gw.cfg.get("link_mbps", 0.0),
    )
    while not isinstance(await put(gw.store, GATEWAY_KIND, gw.cfg["name"], entry), StoredObject):
        await curio.sleep(PUT_AGAIN_S)
    await curio.sleep(gw.rng.uniform(0.5, 1.0) * LIST_FIRST_S)
    handlers = Handlers(
        lambda snapshot: _listed(gw, snapshot),
        lambda change: None if change.removed else _found(gw, change.obj),
        lambda at: None,
    )
    await watch_kind(gw, GATEWAY_KIND, handlers, SLOW_WAIT_S, PATIENCE_S)


def _listed(gw: Gateway, snapshot: Snapshot) -> None:
    for obj in snapshot.objects:
        _found(gw, obj)
    gw.peers.listed = True
    logger.info("gateways listed", gateways=len(gw.peers.addrs))


def _found(gw: Gateway, obj: StoredObject) -> None:
    entry = decode(encode(obj.spec), GatewayEntry)
    if isinstance(entry, BadMessage):
        gw.unreadable.note(GATEWAY_KIND, obj, entry.reason)
        return
    if not is_address(entry["addr"]):
        gw.unreadable.note(GATEWAY_KIND, obj, f"no address: {entry['addr']!r}")
        return
    if gw.peers.put(obj.name, entry["addr"], entry["hall"], entry.get("link_mbps", 0.0)):
        logger.info("gateway known", peer=obj.name, addr=entry["addr"])
