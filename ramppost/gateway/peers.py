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
from ramppost.gateway.watchers import ASK_SELF_FROM, take_config
from ramppost.platform import names
from ramppost.platform.store import StoredObject, Unavailable, list_kind, put
from ramppost.schema.messages import ConfigMsg, ConfirmationMsg
from ramppost.wire.client import CallFailed, call
from ramppost.wire.codec import BadMessage, decode, encode
from ramppost.wire.server import Handler, Reply, Request

GATEWAY_KIND: Final = "gateways"
CONFIRMATION_PATH: Final = "/x/confirmation"
CONFIG_PATH: Final = "/x/config"
ASK_FROM: Final = 0.4
"""Part of the bound on withdrawals from which the confirmation is asked of a scout: a scout's
own, which grows to a fifth, stays below it."""
ASK_WIDELY_FROM: Final = 0.5
ASK_EVERY_S: Final = 0.25
ASKED_AT_ONCE: Final = 2
ASK_TIMEOUT_S: Final = 0.3
LIST_FIRST_S: Final = 3.0
"""Boxes start within a second of each other."""
LIST_EVERY_S: Final = 20.0


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
    return ConfirmationMsg(
        name=gw.cfg["name"],
        revision=revision,
        upstreams_revision=gw.upstreams_revision,
        age_ms=age_ms,
    )


async def keep_listed(gw: Gateway) -> None:
    """Keep the own entry, and know those of others, until cancelled."""
    entry = GatewayEntry(addr=f"{gw.cfg['ip']}:{gw.cfg['internal_port']}", hall=gw.cfg["hall"])
    while not isinstance(await put(gw.store, GATEWAY_KIND, gw.cfg["name"], entry), StoredObject):
        await curio.sleep(ASK_EVERY_S)
    await curio.sleep(gw.rng.uniform(0.5, 1.0) * LIST_FIRST_S)
    while True:
        await _list_others(gw)
        await curio.sleep(gw.rng.uniform(0.5, 1.5) * LIST_EVERY_S)


async def _list_others(gw: Gateway) -> None:
    got = await list_kind(gw.store, GATEWAY_KIND)
    if isinstance(got, Unavailable):
        logger.info("gateways not listed: {}", got.reason)
        return
    gw.roll.replace({obj.name: str(obj.spec["addr"]) for obj in got.objects})
    now = time.monotonic()
    logger.info("gateways listed", gateways=len(gw.roll.addrs), scouts=gw.roll.scouts(now))


async def borrow(gw: Gateway) -> None:
    """Ask others for a confirmation while the own one grows old, until cancelled.

    A scout is asked first; with an older one also any other, and then the store itself.
    """
    asks_itself = False
    while True:
        await curio.sleep(ASK_EVERY_S)
        now = time.monotonic()
        if _age_part(gw, now) < ASK_FROM or gw.table is None or not gw.roll.addrs:
            asks_itself = False
            continue
        await _ask_others(gw, now, wide=_age_part(gw, now) >= ASK_WIDELY_FROM)
        if _age_part(gw, now) >= ASK_SELF_FROM and not asks_itself:
            # Ends the long watch once; those that follow are short until one is answered.
            asks_itself = True
            await gw.wake_config.set()


def _age_part(gw: Gateway, now: float) -> float:
    """Age of the confirmation, as a part of the bound on withdrawals."""
    return gw.fresh.age(now) / gw.fresh.bound_s


async def _ask_others(gw: Gateway, now: float, wide: bool) -> None:
    """Ask a scout, or where that has not helped several gateways."""
    alive = gw.roll.alive(now)
    scouts = [name for name in gw.roll.scouts(now) if name in alive]
    asked = gw.rng.sample(scouts, min(1, len(scouts)))
    if wide:
        known = list(gw.roll.addrs)
        asked = list({*asked, *gw.rng.sample(known, min(ASKED_AT_ONCE, len(known)))})
    answers = []
    async with curio.TaskGroup() as group:
        for name in asked:
            answers.append((name, await group.spawn(_ask, gw, name, gw.roll.addrs[name])))
    for name, task in answers:
        gw.roll.heard(name, task.result, time.monotonic())
    if asked:
        gw.peers_answer = any(task.result for _, task in answers)


async def _ask(gw: Gateway, name: str, addr: str) -> bool:
    """Ask one gateway; false where it does not answer."""
    sent_at = time.monotonic()
    got = await call(gw.store.pool, addr, "GET", CONFIRMATION_PATH, timeout_s=ASK_TIMEOUT_S)
    if isinstance(got, CallFailed):
        logger.info("gateway does not answer: {}", got.reason, peer=name)
        return False
    msg = decode(got.body, ConfirmationMsg)
    if isinstance(msg, BadMessage):
        logger.warning("confirmation not understood: {}", msg.reason, peer=name)
        return False
    if msg["upstreams_revision"] > gw.upstreams_revision:
        await gw.wake_upstreams.set()
    await _take_confirmation(gw, addr, msg, sent_at)
    return True


async def _take_confirmation(gw: Gateway, addr: str, msg: ConfirmationMsg, sent_at: float) -> None:
    """Use a confirmation that is younger than the own one."""
    age_s = msg["age_ms"] / 1000
    if msg["age_ms"] < 0 or gw.fresh.age(sent_at) <= age_s:
        return
    if gw.table is not None and msg["revision"] > gw.table.revision:
        await gw.wake_config.set()
        await _take_newer(gw, addr, msg["revision"])
    if gw.table is not None and msg["revision"] == gw.table.revision:
        gw.fresh.confirm(sent_at - age_s)
        logger.debug("confirmation borrowed", peer=msg["name"], age_ms=round(msg["age_ms"], 1))


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
