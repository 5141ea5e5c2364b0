"""Entries of gateways in the store: the own one, and applying those of the others."""

from __future__ import annotations

from typing import Final, NotRequired, TypedDict

from loguru import logger

from ramppost.gateway.state import Gateway
from ramppost.platform.store import Snapshot, StoredObject
from ramppost.wire.addr import is_address

GATEWAY_KIND: Final = "gateways"


class GatewayEntry(TypedDict):
    """A gateway's own object in the store."""

    addr: str
    hall: str
    link_mbps: NotRequired[float]


def own_entry(gw: Gateway) -> GatewayEntry:
    """This gateway's own entry."""
    return GatewayEntry(
        addr=f"{gw.cfg['ip']}:{gw.cfg['internal_port']}",
        hall=gw.cfg["hall"],
        link_mbps=gw.cfg.get("link_mbps", 0.0),
    )


def apply_gateway_snapshot(gw: Gateway, snapshot: Snapshot) -> None:
    """Apply a full list of gateways."""
    for obj in snapshot.objects:
        apply_gateway_entry(gw, obj)
    gw.peers.listed = True
    logger.info("gateways listed", gateways=len(gw.peers.addrs))


def apply_gateway_entry(gw: Gateway, obj: StoredObject) -> None:
    """Apply a gateway's entry."""
    entry = gw.unreadable.decode_spec(GATEWAY_KIND, obj, GatewayEntry)
    if entry is None:
        return
    if not is_address(entry["addr"]):
        gw.unreadable.log_once(GATEWAY_KIND, obj, f"invalid address: {entry['addr']!r}")
        return
    if gw.peers.put(obj.name, entry["addr"], entry["hall"], entry.get("link_mbps", 0.0)):
        logger.info("gateway known", peer=obj.name, addr=entry["addr"])
