"""Follows a relay: asks it for what changed in the store, again and again.

The age that a relay tells, with the time it held the question, dates its confirmation on
our own steady clock: it is never taken for younger than it is.  While a relay keeps up with
the store, `Gateway.fed_until` moves on and the store is not asked.  Where it does not, others
are asked, and meanwhile the store itself.  A relay that lost the store asks others, too, and
goes on asking the store.
"""

from __future__ import annotations

import time
from typing import Final

import curio
from loguru import logger

from ramppost.gateway.feed import FEED_PATH, NEVER_MS, PACKED_TYPE
from ramppost.gateway.follow import Followed
from ramppost.gateway.state import Gateway
from ramppost.gateway.watchers import feed_wait_s, oldest_s
from ramppost.platform.store import Change, Changes, Snapshot, StoredObject
from ramppost.policy.relays import DEAD_S, REFUSED_S
from ramppost.schema.messages import FeedChange, FeedKind, FeedMark, FeedMsg, FeedQuery
from ramppost.wire.client import Answer, CallFailed, fetch
from ramppost.wire.codec import BadMessage, decode, encode
from ramppost.wire.packing import unpack

ANSWER_SLACK_S: Final = 0.2
"""How late an answer may begin after its wait: many times the way there and back."""
FED_GRACE_S: Final = 0.05
"""How much longer a gateway counts as fed than the next question may take: one that ends in
silence has dropped the idle connections by then, and the store is asked on a new one."""
FIRST_WAIT_S: Final = 0.3
"""Wait of a gateway's first questions: whoever knows everything tells it at once, and one that
has just started itself may be the wrong one to wait for."""
REFUSED_WITHIN_S: Final = 0.1
"""A connection that fails so soon was refused: the box is there, and its process is not."""
IDLE_S: Final = 0.25
"""How often a gateway that has nobody to follow looks again."""
BACKOFF_S: Final = 0.1
"""Kept between calls that did not help, so that they can't follow each other at once."""


async def subscribe(gw: Gateway) -> None:
    """Follow whoever helps, until cancelled."""
    name, helped = "", False
    while True:
        now = time.monotonic()
        if not wants_feed(gw, now):
            name, helped = "", False
            await curio.sleep(IDLE_S)
            continue
        name = gw.peers.to_follow(name, helped, now, gw.rng)
        if not name:
            await curio.sleep(IDLE_S)
            continue
        helped = await ask_once(gw, name)
        if not helped:
            await curio.sleep(BACKOFF_S)


def wants_feed(gw: Gateway, now: float) -> bool:
    """Whether to ask others: unless this gateway is a relay that keeps up with the store."""
    behind = gw.outage.failing_since is not None or gw.fresh.age(now) > oldest_s(gw)
    return behind or not gw.peers.is_relay(now)


async def ask_once(gw: Gateway, name: str) -> bool:
    """Ask a gateway once; whether it keeps up with the store."""
    sent_at = time.monotonic()
    starting = _urgent_known_at(gw) == float("-inf")
    wait_s = FIRST_WAIT_S if starting else feed_wait_s(gw)
    marks = [_mark(followed, sent_at) for followed in gw.followed.values()]
    body = encode(FeedQuery(wait_ms=round(wait_s * 1000), kinds=marks))
    timeout_s = wait_s + ANSWER_SLACK_S
    addr = gw.peers.addrs[name]
    got = await fetch(gw.store.pool, addr, "POST", FEED_PATH, body, timeout_s)
    msg = BadMessage(got.reason) if isinstance(got, CallFailed) else _message(got)
    gw.peers_answer = not isinstance(msg, BadMessage)
    now = time.monotonic()
    if isinstance(msg, BadMessage):
        logger.info("gateway does not answer: {}", msg.reason, peer=name)
        refused = isinstance(got, CallFailed) and not got.sent and now - sent_at < REFUSED_WITHIN_S
        if not (starting and refused):
            gw.peers.heard(name, False, now, REFUSED_S if refused else DEAD_S)
        # Idle connections to the store and to others may be as silent as this one.
        gw.store.pool.drop_all()
        return False
    gw.peers.heard(name, True, now)
    known_at = _urgent_known_at(gw)
    for told in msg["kinds"]:
        if told["kind"] in gw.followed:
            await _take(gw, told, sent_at + msg["waited_ms"] / 1000, name)
    now = time.monotonic()
    age_s = _urgent_age_s(gw, msg)
    if msg["waited_ms"] / 1000 >= wait_s or age_s > oldest_s(gw):
        logger.info("gateway lags behind the store", peer=name, age_s=round(min(age_s, 999.0), 3))
        if gw.outage.failing_since is None and not gw.peers.is_relay(now) and not starting:
            # The store is better off with others: let the next in rank be a relay instead.
            # A relay that asks is cut off itself and may not have noticed; who followed it
            # lags as it does, and is the one to ask in a moment.
            gw.peers.heard(name, False, now)
        return False
    if not gw.peers.is_relay(now) and _urgent_known_at(gw) > known_at:
        # A relay that is cut off tells what it has heard from us: that confirms nothing.
        gw.fed_until = now + timeout_s + FED_GRACE_S
    return True


def _message(got: Answer) -> FeedMsg | BadMessage:
    if got.headers.get("content-type") != PACKED_TYPE:
        return decode(got.body, FeedMsg)
    body = unpack(got.body)
    return body if isinstance(body, BadMessage) else decode(body, FeedMsg)


def _urgent_known_at(gw: Gateway) -> float:
    """Since when what has to be known at once may have changed unnoticed (steady clock)."""
    return min((f.confirmed_at for f in gw.followed.values() if f.urgent), default=float("-inf"))


def _urgent_age_s(gw: Gateway, msg: FeedMsg) -> float:
    """The oldest confirmation of what has to be known at once; infinite where one lacks."""
    ages_ms = {told["kind"]: told["age_ms"] for told in msg["kinds"]}
    urgent = [ages_ms.get(kind, NEVER_MS) for kind, f in gw.followed.items() if f.urgent]
    return max(age_ms / 1000 if age_ms >= 0 else float("inf") for age_ms in urgent)


def _mark(followed: Followed, now: float) -> FeedMark:
    age_s = now - followed.confirmed_at
    known = followed.confirmed_at > float("-inf")
    return FeedMark(
        kind=followed.kind,
        revision=followed.revision or 0,
        age_ms=round(age_s * 1000) if known else NEVER_MS,
    )


async def _take(gw: Gateway, told: FeedKind, answered_at: float, teller: str) -> None:
    """Take in what was told of a kind; `answered_at` is no later than when it was told."""
    followed = gw.followed[told["kind"]]
    if told["age_ms"] < 0:
        return
    at = answered_at - told["age_ms"] / 1000
    changes = [_change(item) for item in told["changes"]]
    if told["full"]:
        objects = [change.obj for change in changes]
        await followed.listed(Snapshot(objects, told["revision"]), at, teller)
    else:
        await followed.advanced(told["since"], Changes(changes, told["revision"]), at, teller)


def _change(item: FeedChange) -> Change:
    obj = StoredObject(
        item["name"], item["revision"], item.get("spec"), item.get("status"), item["whole"]
    )
    return Change(obj, item["removed"])
