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
from ramppost.gateway.feed import (
    COMPRESSED_TYPE,
    FEED_PATH,
    UNKNOWN_AGE_MS,
    urgent_confirmed_at,
    urgent_kinds_known,
)
from ramppost.gateway.follow import KindReplica
from ramppost.gateway.state import Gateway
from ramppost.gateway.watchers import feed_wait_s, stale_after_s
from ramppost.platform.store import Change, Changes, Snapshot, StoredObject
from ramppost.policy.relays import REFUSED_SKIP_S, UNREACHABLE_SKIP_S
from ramppost.schema.messages import FeedChange, FeedKind, FeedMark, FeedMsg, FeedQuery
from ramppost.wire.client import Answer, CallFailed, fetch
from ramppost.wire.codec import BadMessage, decode, encode
from ramppost.wire.packing import unpack

ANSWER_SLACK_S: Final = 0.2
"""How late an answer may begin after its wait: many times the way there and back."""
FEED_GRACE_S: Final = 0.05
"""How much longer a gateway counts as fed than the next question may take: one that ends in
silence has dropped the idle connections by then, and the store is asked on a new one."""
START_WAIT_S: Final = 0.3
"""Wait of a gateway's first questions: whoever knows everything tells it at once, and one that
has just started itself may be the wrong one to wait for."""
WAIT_ROUNDING_S: Final = 0.002
"""Waits are told in whole milliseconds, rounded down."""
MAX_REFUSAL_TIME_S: Final = 0.1
"""A connection that fails so soon was refused: the box is there, and its process is not."""
IDLE_POLL_S: Final = 0.25
"""How often a gateway that has nobody to follow looks again."""
POLL_PAUSE_S: Final = 0.03
"""Kept between two questions, so that changes that come together cost one, and so that whatever
is told again for nothing can't fill a link."""
FAILURE_BACKOFF_S: Final = 0.1
"""Kept between calls that did not help, so that they can't follow each other at once."""


async def subscribe(gw: Gateway) -> None:
    """Follow whoever helps, until cancelled."""
    name, helped = "", False
    while True:
        now = clock.now()
        if not needs_feed(gw, now):
            name, helped = "", False
            await curio.sleep(IDLE_POLL_S)
            continue
        if _waits_for_feed(gw, now):
            # Any other may have just started, too; those who tell are told first.
            name = ""
        name = gw.peers.choose_source(name, helped, now, gw.rng)
        if not name:
            await curio.sleep(IDLE_POLL_S)
            continue
        helped = await poll_once(gw, name)
        await curio.sleep(POLL_PAUSE_S if helped else FAILURE_BACKOFF_S)


def needs_feed(gw: Gateway, now: float) -> bool:
    """Whether to ask others: unless this gateway is a relay that keeps up with the store."""
    behind = gw.store_outage.failing_since is not None or gw.freshness.age(now) > stale_after_s(gw)
    return behind or not gw.peers.is_relay(now)


class _Query(NamedTuple):
    """A question to a gateway: when it was sent (steady clock), how long its answer may be held,
    seconds, and whether nothing that must be known at once is known here yet."""

    name: str
    sent_at: float
    wait_s: float
    starting: bool


async def poll_once(gw: Gateway, name: str) -> bool:
    """Ask a gateway once; whether it keeps up with the store, or reads what it has answered."""
    starting = not urgent_kinds_known(gw)
    wait_s = START_WAIT_S if starting else feed_wait_s(gw)
    query = _Query(name, clock.now(), wait_s, starting)
    got = await _send_query(gw, query)
    msg = BadMessage(got.reason) if isinstance(got, CallFailed) else _decode_feed(got)
    gw.peers_reachable = not isinstance(msg, BadMessage)
    if isinstance(msg, BadMessage):
        logger.info("gateway does not answer: {}", msg.reason, peer=name)
        _handle_no_answer(gw, query, isinstance(got, CallFailed) and not got.sent)
        return False
    gw.peers.record_call(name, True, clock.now())
    known_at = urgent_confirmed_at(gw)
    await _apply_feed(gw, query, msg)
    if _is_behind(gw, query, msg):
        return _handle_behind(gw, query, msg)
    now = clock.now()
    if not gw.peers.is_relay(now) and urgent_confirmed_at(gw) > known_at:
        # A relay that is cut off tells what it has heard from us: that confirms nothing.
        gw.feed_valid_until = now + feed_wait_s(gw) + ANSWER_SLACK_S + FEED_GRACE_S
    return True


async def _send_query(gw: Gateway, query: _Query) -> Answer | CallFailed:
    marks = [_known_revision(replica, query.sent_at) for replica in gw.replicas.values()]
    body = encode(FeedQuery(wait_ms=round(query.wait_s * 1000), kinds=marks))
    timeout_s = query.wait_s + ANSWER_SLACK_S
    return await fetch(
        gw.store.pool, gw.peers.addrs[query.name], "POST", FEED_PATH, body, timeout_s
    )


def _handle_no_answer(gw: Gateway, query: _Query, not_sent: bool) -> None:
    """A gateway has not answered: ask others for a while, and on new connections.

    A start that may still be told goes on asking those who tell: where all start at once they
    are busy first of all.
    """
    now = clock.now()
    refused = not_sent and now - query.sent_at < MAX_REFUSAL_TIME_S
    if not _waits_for_feed(gw, now):
        gw.peers.record_call(
            query.name, False, now, REFUSED_SKIP_S if refused else UNREACHABLE_SKIP_S
        )
    # Idle connections to the store and to others may be as silent as this one.
    gw.store.pool.drop_all()


async def _apply_feed(gw: Gateway, query: _Query, msg: FeedMsg) -> None:
    for told in msg["kinds"]:
        if told["kind"] in gw.replicas:
            await _apply_kind(gw, told, query.sent_at + msg["waited_ms"] / 1000, query.name)


def _is_behind(gw: Gateway, query: _Query, msg: FeedMsg) -> bool:
    """Whether who has answered does not keep up with the store."""
    waited_s = msg["waited_ms"] / 1000
    return waited_s >= query.wait_s - WAIT_ROUNDING_S or _urgent_age_s(gw, msg) > stale_after_s(gw)


def _handle_behind(gw: Gateway, query: _Query, msg: FeedMsg) -> bool:
    """A gateway lags: whether it is asked again, for its store answers; else others are asked."""
    reading = msg.get("reading", False)
    logger.info(
        "gateway lags behind the store",
        peer=query.name,
        age_s=round(min(_urgent_age_s(gw, msg), 999.0), 3),
        reading=reading,
    )
    now = clock.now()
    if reading:
        # It has the newest as soon as that is whole, and tells it over another link: passed over,
        # its followers had a configuration one transfer of a thin link later, 1.4 s.
        return True
    if gw.store_outage.failing_since is None and not gw.peers.is_relay(now) and not query.starting:
        # The store is better off with others: let the next in rank be a relay instead.
        # A relay that asks is cut off itself and may not have noticed; who followed it
        # lags as it does, and is the one to ask in a moment.
        gw.peers.record_call(query.name, False, now)
    return False


def _decode_feed(got: Answer) -> FeedMsg | BadMessage:
    if got.headers.get("content-type") != COMPRESSED_TYPE:
        return decode(got.body, FeedMsg)
    body = unpack(got.body)
    return body if isinstance(body, BadMessage) else decode(body, FeedMsg)


def _waits_for_feed(gw: Gateway, now: float) -> bool:
    """Whether this gateway has just started, and waits to be told before it asks the store."""
    return not urgent_kinds_known(gw) and now < gw.feed_valid_until


def _urgent_age_s(gw: Gateway, msg: FeedMsg) -> float:
    """The oldest confirmation of what has to be known at once; infinite where one lacks."""
    ages_ms = {told["kind"]: told["age_ms"] for told in msg["kinds"]}
    urgent = [ages_ms.get(kind, UNKNOWN_AGE_MS) for kind, f in gw.replicas.items() if f.urgent]
    return max(age_ms / 1000 if age_ms >= 0 else float("inf") for age_ms in urgent)


def _known_revision(replica: KindReplica, now: float) -> FeedMark:
    age_s = now - replica.confirmed_at
    known = replica.confirmed_at > float("-inf")
    return FeedMark(
        kind=replica.kind,
        revision=replica.revision or 0,
        age_ms=round(age_s * 1000) if known else UNKNOWN_AGE_MS,
    )


async def _apply_kind(gw: Gateway, told: FeedKind, answered_at: float, source: str) -> None:
    """Take in what was told of a kind; `answered_at` is no later than when it was told."""
    replica = gw.replicas[told["kind"]]
    # What was never confirmed there is taken in, and confirms nothing here.
    at = answered_at - told["age_ms"] / 1000 if told["age_ms"] >= 0 else float("-inf")
    changes = [_decode_change(item) for item in told["changes"]]
    if told["full"]:
        objects = [change.obj for change in changes]
        await replica.apply_snapshot(Snapshot(objects, told["revision"]), at, source)
    else:
        await replica.apply_changes(told["since"], Changes(changes, told["revision"]), at, source)


def _decode_change(item: FeedChange) -> Change:
    obj = StoredObject(
        item["name"], item["revision"], item.get("spec"), item.get("status"), item["whole"]
    )
    return Change(obj, item["removed"])
