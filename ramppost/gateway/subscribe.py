"""Follows a relay: asks it for what changed in the store, again and again.

The age that a relay tells, with the time it held the question, dates its confirmation on
our own steady clock: it is never taken for younger than it is.  While a relay keeps up with
the store, `Gateway.fed_until` moves on and the store is not asked.  Where it does not, others
are asked, and meanwhile the store itself.  A relay that lost the store asks others, too, and
goes on asking the store.
"""

from __future__ import annotations

from typing import Final, NamedTuple

import curio
from loguru import logger

from ramppost import clock
from ramppost.gateway.feed import FEED_PATH, NEVER_MS, PACKED_TYPE, knows, urgent_known_at
from ramppost.gateway.follow import Followed
from ramppost.gateway.state import Gateway
from ramppost.gateway.watchers import feed_wait_s, oldest_s
from ramppost.platform.store import Change, Changes, Snapshot, StoredObject
from ramppost.policy.relays import REFUSED_SKIP_S, UNREACHABLE_SKIP_S
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
ROUNDED_S: Final = 0.002
"""Waits are told in whole milliseconds, rounded down."""
REFUSED_WITHIN_S: Final = 0.1
"""A connection that fails so soon was refused: the box is there, and its process is not."""
IDLE_S: Final = 0.25
"""How often a gateway that has nobody to follow looks again."""
PAUSE_S: Final = 0.03
"""Kept between two questions, so that changes that come together cost one, and so that whatever
is told again for nothing can't fill a link."""
BACKOFF_S: Final = 0.1
"""Kept between calls that did not help, so that they can't follow each other at once."""


async def subscribe(gw: Gateway) -> None:
    """Follow whoever helps, until cancelled."""
    name, helped = "", False
    while True:
        now = clock.now()
        if not wants_feed(gw, now):
            name, helped = "", False
            await curio.sleep(IDLE_S)
            continue
        if _holds(gw, now):
            # Any other may have just started, too; those who tell are told first.
            name = ""
        name = gw.peers.choose_source(name, helped, now, gw.rng)
        if not name:
            await curio.sleep(IDLE_S)
            continue
        helped = await ask_once(gw, name)
        await curio.sleep(PAUSE_S if helped else BACKOFF_S)


def wants_feed(gw: Gateway, now: float) -> bool:
    """Whether to ask others: unless this gateway is a relay that keeps up with the store."""
    behind = gw.outage.failing_since is not None or gw.fresh.age(now) > oldest_s(gw)
    return behind or not gw.peers.is_relay(now)


class _Asking(NamedTuple):
    """A question to a gateway: when it was sent (steady clock), how long its answer may be held,
    seconds, and whether nothing that must be known at once is known here yet."""

    name: str
    sent_at: float
    wait_s: float
    starting: bool


async def ask_once(gw: Gateway, name: str) -> bool:
    """Ask a gateway once; whether it keeps up with the store, or reads what it has answered."""
    starting = not knows(gw)
    wait_s = FIRST_WAIT_S if starting else feed_wait_s(gw)
    asking = _Asking(name, clock.now(), wait_s, starting)
    got = await _call(gw, asking)
    msg = BadMessage(got.reason) if isinstance(got, CallFailed) else _message(got)
    gw.peers_answer = not isinstance(msg, BadMessage)
    if isinstance(msg, BadMessage):
        logger.info("gateway does not answer: {}", msg.reason, peer=name)
        _pass_over(gw, asking, isinstance(got, CallFailed) and not got.sent)
        return False
    gw.peers.record_call(name, True, clock.now())
    known_at = urgent_known_at(gw)
    await _take_all(gw, asking, msg)
    if _lags(gw, asking, msg):
        return _heard_late(gw, asking, msg)
    now = clock.now()
    if not gw.peers.is_relay(now) and urgent_known_at(gw) > known_at:
        # A relay that is cut off tells what it has heard from us: that confirms nothing.
        gw.fed_until = now + feed_wait_s(gw) + ANSWER_SLACK_S + FED_GRACE_S
    return True


async def _call(gw: Gateway, asking: _Asking) -> Answer | CallFailed:
    marks = [_mark(followed, asking.sent_at) for followed in gw.followed.values()]
    body = encode(FeedQuery(wait_ms=round(asking.wait_s * 1000), kinds=marks))
    timeout_s = asking.wait_s + ANSWER_SLACK_S
    return await fetch(
        gw.store.pool, gw.peers.addrs[asking.name], "POST", FEED_PATH, body, timeout_s
    )


def _pass_over(gw: Gateway, asking: _Asking, not_sent: bool) -> None:
    """A gateway has not answered: ask others for a while, and on new connections.

    A start that may still be told goes on asking those who tell: where all start at once they
    are busy first of all.
    """
    now = clock.now()
    refused = not_sent and now - asking.sent_at < REFUSED_WITHIN_S
    if not _holds(gw, now):
        gw.peers.record_call(
            asking.name, False, now, REFUSED_SKIP_S if refused else UNREACHABLE_SKIP_S
        )
    # Idle connections to the store and to others may be as silent as this one.
    gw.store.pool.drop_all()


async def _take_all(gw: Gateway, asking: _Asking, msg: FeedMsg) -> None:
    for told in msg["kinds"]:
        if told["kind"] in gw.followed:
            await _take(gw, told, asking.sent_at + msg["waited_ms"] / 1000, asking.name)


def _lags(gw: Gateway, asking: _Asking, msg: FeedMsg) -> bool:
    """Whether who has answered does not keep up with the store."""
    waited_s = msg["waited_ms"] / 1000
    return waited_s >= asking.wait_s - ROUNDED_S or _urgent_age_s(gw, msg) > oldest_s(gw)


def _heard_late(gw: Gateway, asking: _Asking, msg: FeedMsg) -> bool:
    """A gateway lags: whether it is asked again, for its store answers; else others are asked."""
    reading = msg.get("reading", False)
    logger.info(
        "gateway lags behind the store",
        peer=asking.name,
        age_s=round(min(_urgent_age_s(gw, msg), 999.0), 3),
        reading=reading,
    )
    now = clock.now()
    if reading:
        # It has the newest as soon as that is whole, and tells it over another link: passed over,
        # its followers had a configuration one transfer of a thin link later, 1.4 s.
        return True
    if gw.outage.failing_since is None and not gw.peers.is_relay(now) and not asking.starting:
        # The store is better off with others: let the next in rank be a relay instead.
        # A relay that asks is cut off itself and may not have noticed; who followed it
        # lags as it does, and is the one to ask in a moment.
        gw.peers.record_call(asking.name, False, now)
    return False


def _message(got: Answer) -> FeedMsg | BadMessage:
    if got.headers.get("content-type") != PACKED_TYPE:
        return decode(got.body, FeedMsg)
    body = unpack(got.body)
    return body if isinstance(body, BadMessage) else decode(body, FeedMsg)


def _holds(gw: Gateway, now: float) -> bool:
    """Whether this gateway has just started, and waits to be told before it asks the store."""
    return not knows(gw) and now < gw.fed_until


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
    # What was never confirmed there is taken in, and confirms nothing here.
    at = answered_at - told["age_ms"] / 1000 if told["age_ms"] >= 0 else float("-inf")
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
