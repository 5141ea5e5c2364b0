"""Gateways help each other while some can't reach the store.

Each gateway keeps an object with its internal address in the store and lists those of
the others now and then.  One whose confirmation grows old asks others for theirs: the
age that it is told, added to the time since it asked, dates the confirmation, so it is
never taken for younger than it is.  A newer configuration is taken over with it.
"""

from __future__ import annotations

import time
from typing import Final, TypedDict

import curio
import msgspec
from loguru import logger

from ramppost.gateway.state import Gateway
from ramppost.gateway.watchers import take_config
from ramppost.platform import names
from ramppost.platform.store import (
    Conflict,
    StoredObject,
    Unavailable,
    create,
    list_kind,
    read,
    replace,
)
from ramppost.schema.messages import ConfigMsg, ConfirmationMsg
from ramppost.wire.client import CallFailed, call
from ramppost.wire.codec import BadMessage, decode, encode
from ramppost.wire.server import Handler, Reply, Request

GATEWAY_KIND: Final = "gateways"
CONFIRMATION_PATH: Final = "/x/confirmation"
CONFIG_PATH: Final = "/x/config"
ASK_FROM: Final = 0.45
"""Part of the bound on withdrawals from which the confirmation is asked of others: twice the
age that it reaches while the store answers."""
ASK_EVERY_S: Final = 0.25
ASKED_AT_ONCE: Final = 2
ASK_TIMEOUT_S: Final = 0.3
LIST_FIRST_S: Final = 3.0
"""Boxes start within a second of each other."""
LIST_EVERY_S: Final = 20.0
MAX_PEERS: Final = 64
"""Addresses kept at most: any few reachable ones do."""


class GatewayEntry(TypedDict):
    """A gateway's own object in the store."""

    addr: str
    hall: str


def internal(gw: Gateway) -> Handler:
    """What other gateways may ask."""

    async def handle(req: Request, reply: Reply) -> None:
        if req.path == CONFIRMATION_PATH:
            await reply.send(200, encode(_confirmation(gw)))
        elif req.path == CONFIG_PATH and gw.config_obj is not None:
            obj = gw.config_obj
            msg = ConfigMsg(name=gw.cfg["name"], revision=obj.revision, spec=obj.spec)
            await reply.send(200, encode(msg))
        else:
            await reply.send(404, b'{"error":"no such path"}')

    return handle


def _confirmation(gw: Gateway) -> ConfirmationMsg:
    revision = gw.table.revision if gw.table is not None else 0
    age_s = gw.fresh.age(time.monotonic())
    age_ms = age_s * 1000 if gw.fresh.known else -1.0
    return ConfirmationMsg(name=gw.cfg["name"], revision=revision, age_ms=age_ms)


async def keep_listed(gw: Gateway) -> None:
    """Keep the own entry, and know those of others, until cancelled."""
    entry = GatewayEntry(addr=f"{gw.cfg['ip']}:{gw.cfg['internal_port']}", hall=gw.cfg["hall"])
    while not await _write_entry(gw, entry):
        await curio.sleep(ASK_EVERY_S)
    await curio.sleep(gw.rng.uniform(0.5, 1.0) * LIST_FIRST_S)
    while True:
        await _list_others(gw)
        await curio.sleep(gw.rng.uniform(0.5, 1.5) * LIST_EVERY_S)


async def _write_entry(gw: Gateway, entry: GatewayEntry) -> bool:
    """Write the own entry where it is not there already; false to try again."""
    name = gw.cfg["name"]
    got = await create(gw.store, GATEWAY_KIND, name, entry)
    if not isinstance(got, Conflict):
        return not isinstance(got, Unavailable)
    held = await read(gw.store, GATEWAY_KIND, name)
    if not isinstance(held, StoredObject):
        return False
    if held.spec == entry:
        return True
    written = await replace(gw.store, GATEWAY_KIND, name, held.revision, entry)
    return isinstance(written, StoredObject)


async def _list_others(gw: Gateway) -> None:
    got = await list_kind(gw.store, GATEWAY_KIND)
    if isinstance(got, Unavailable):
        logger.info("gateways not listed: {}", got.reason)
        return
    others = [obj for obj in got.objects if obj.name != gw.cfg["name"]]
    found = [str(obj.spec["addr"]) for obj in others]
    gw.rng.shuffle(found)
    gw.peers = found[:MAX_PEERS]
    logger.info("gateways listed", gateways=len(found))


async def borrow(gw: Gateway) -> None:
    """Ask others for a confirmation while the own one is old, until cancelled."""
    while True:
        await curio.sleep(ASK_EVERY_S)
        age_s = gw.fresh.age(time.monotonic())
        if age_s < ASK_FROM * gw.fresh.bound_s or not gw.peers or gw.table is None:
            continue
        asked = gw.rng.sample(gw.peers, min(ASKED_AT_ONCE, len(gw.peers)))
        async with curio.TaskGroup() as group:
            for addr in asked:
                await group.spawn(_ask, gw, addr)
        gw.peers_answer = any(task.result for task in group.tasks)


async def _ask(gw: Gateway, addr: str) -> bool:
    """Ask one gateway; false where it does not answer."""
    sent_at = time.monotonic()
    got = await call(gw.store.pool, addr, "GET", CONFIRMATION_PATH, timeout_s=ASK_TIMEOUT_S)
    if isinstance(got, CallFailed):
        return False
    msg = decode(got.body, ConfirmationMsg)
    if isinstance(msg, BadMessage):
        logger.warning("confirmation not understood: {}", msg.reason, peer=addr)
        return False
    confirmed_at = sent_at - msg["age_ms"] / 1000
    if msg["age_ms"] < 0 or gw.fresh.age(sent_at) <= msg["age_ms"] / 1000:
        return True
    if gw.table is not None and msg["revision"] > gw.table.revision:
        await _take_newer(gw, addr, msg["revision"])
    if gw.table is not None and msg["revision"] == gw.table.revision:
        gw.fresh.confirm(confirmed_at)
        logger.info("confirmation borrowed", peer=msg["name"], age_ms=round(msg["age_ms"], 1))
    return True


async def _take_newer(gw: Gateway, addr: str, revision: int) -> None:
    """Take a newer configuration over from a gateway that has it."""
    got = await call(gw.store.pool, addr, "GET", CONFIG_PATH, timeout_s=ASK_TIMEOUT_S)
    if isinstance(got, CallFailed):
        logger.info("newer configuration not had: {}", got.reason, peer=addr, revision=revision)
        return
    msg = decode(got.body, ConfigMsg)
    if isinstance(msg, BadMessage):
        logger.warning("configuration not understood: {}", msg.reason, peer=addr)
        return
    spec = msgspec.to_builtins(msg["spec"])
    take_config(gw, StoredObject(names.CONFIG_NAME, msg["revision"], spec, None))
