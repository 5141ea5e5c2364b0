"""Polls a relay's feed of the store's changes.

The age in a relay's response and the time for which the relay held the request date its
confirmation on the local steady clock, so it is never taken for younger than it is.  While a
relay keeps up with the store, `Gateway.feed_valid_until` advances and the store is not queried.
If the relay falls behind, other gateways are polled, and meanwhile the store itself is queried.
A relay that lost the store polls other gateways too, and keeps querying the store.
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
    mark_position,
    note_settled,
    urgent_confirmed_at,
    urgent_kinds_known,
)
from ramppost.gateway.replica import KindReplica
from ramppost.gateway.state import Gateway
from ramppost.gateway.watchers import feed_wait_s, stale_after_s
from ramppost.platform.store import Change, Changes, Snapshot, StoredObject
from ramppost.policy.position import NOTHING_KNOWN
from ramppost.policy.relays import REFUSED_SKIP_S, UNREACHABLE_SKIP_S
from ramppost.schema.messages import FeedChange, FeedKind, FeedMark, FeedMsg, FeedQuery
from ramppost.wire.client import CallFailed, Response, fetch
from ramppost.wire.codec import BadMessage, decode, encode
from ramppost.wire.packing import unpack

ANSWER_SLACK_S: Final = 0.2
"""How late after its wait time a response may begin: many round-trip times."""
FEED_GRACE_S: Final = 0.05
"""How much longer a feed stays valid than the next request may take.  A request without a response
has closed the idle connections by then, so the store is queried over a new one."""
START_WAIT_S: Final = 0.3
"""Wait time of a gateway's requests during its startup: a gateway that knows everything answers
at once, and one that has just started itself is not worth a longer wait."""
WAIT_ROUNDING_S: Final = 0.002
"""Responses give the wait time in whole milliseconds, rounded down."""
MAX_REFUSAL_TIME_S: Final = 0.1
"""A connection that fails within this was refused: the box is up, its process is not."""
IDLE_POLL_S: Final = 0.25
"""Poll interval of a gateway that has no other gateway to follow, or needs none."""
POLL_PAUSE_S: Final = 0.03
"""Delay between two requests, so that changes close together cost one request, and so that
needlessly repeated responses can't saturate a link."""
FAILURE_BACKOFF_S: Final = 0.1
"""Delay after a request that did not help, so that failures can't cause a busy loop."""


async def subscribe(gw: Gateway) -> None:
    """Poll a gateway that keeps up with the store, until cancelled."""
    name, helped = "", False
    while True:
        now = clock.now()
        if not needs_feed(gw, now):
            name, helped = "", False
            await curio.sleep(IDLE_POLL_S)
            continue
        if _waits_for_feed(gw, now):
            # Any other gateway may have just started too; those that feed others are fed first.
            name = ""
        name = gw.peers.choose_source(name, helped, now, gw.rng)
        if not name:
            await curio.sleep(IDLE_POLL_S)
            continue
        helped = await poll_once(gw, name)
        await curio.sleep(POLL_PAUSE_S if helped else FAILURE_BACKOFF_S)


def needs_feed(gw: Gateway, now: float) -> bool:
    """Whether to poll others: yes unless this gateway is a relay that keeps up with the store."""
    behind = gw.store_outage.failing_since is not None or gw.freshness.age(now) > stale_after_s(gw)
    return behind or not gw.peers.is_relay(now)


class _Query(NamedTuple):
    """A feed request to a gateway.

    `sent_at` is on the steady clock, `wait_s` limits how long the response may be held, and
    `starting` means that the urgent kinds are not all known here yet.
    """

    name: str
    sent_at: float
    wait_s: float
    starting: bool


async def poll_once(gw: Gateway, name: str) -> bool:
    """Poll a gateway once; true if it keeps up with the store or is reading from it."""
    starting = not urgent_kinds_known(gw)
    wait_s = START_WAIT_S if starting else feed_wait_s(gw)
    query = _Query(name, clock.now(), wait_s, starting)
    answer = await _send_query(gw, query)
    msg = BadMessage(answer.reason) if isinstance(answer, CallFailed) else _decode_feed(answer)
    gw.peers_reachable = not isinstance(msg, BadMessage)
    if isinstance(msg, BadMessage):
        logger.info("gateway does not answer: {}", msg.reason, peer=name)
        _handle_no_answer(gw, query, isinstance(answer, CallFailed) and not answer.sent)
        return False
    gw.peers.record_call(name, True, clock.now())
    previously_confirmed_at = urgent_confirmed_at(gw)
    await _apply_feed(gw, query, msg)
    if _is_behind(gw, query, msg):
        return _handle_behind(gw, query, msg)
    now = clock.now()
    confirmed = urgent_confirmed_at(gw) > previously_confirmed_at
    if not gw.peers.is_relay(now) and (confirmed or msg.get("held_back", False)):
        # A relay that is cut off may return what it has got from this gateway, which confirms
        # nothing.
        gw.feed_valid_until = now + feed_wait_s(gw) + ANSWER_SLACK_S + FEED_GRACE_S
    return True


async def _send_query(gw: Gateway, query: _Query) -> Response | CallFailed:
    marks = [_mark(replica, query.sent_at) for replica in gw.replicas.values()]
    body = encode(FeedQuery(wait_ms=round(query.wait_s * 1000), kinds=marks))
    timeout_s = query.wait_s + ANSWER_SLACK_S
    return await fetch(
        gw.store.pool, gw.peers.addrs[query.name], "POST", FEED_PATH, body, timeout_s
    )


def _handle_no_answer(gw: Gateway, query: _Query, not_sent: bool) -> None:
    """Skip a gateway that has not answered for a while, and use new connections.

    A starting gateway that still waits for a feed skips none: if all start at once, those that
    feed others are the busiest.
    """
    now = clock.now()
    refused = not_sent and now - query.sent_at < MAX_REFUSAL_TIME_S
    if not _waits_for_feed(gw, now):
        gw.peers.record_call(
            query.name, False, now, REFUSED_SKIP_S if refused else UNREACHABLE_SKIP_S
        )
    # Idle connections to the store and to other gateways may be dead as well.
    gw.store.pool.close_all_idle()


async def _apply_feed(gw: Gateway, query: _Query, msg: FeedMsg) -> None:
    for kind_msg in msg["kinds"]:
        if kind_msg["kind"] in gw.replicas:
            await _apply_kind(gw, kind_msg, query.sent_at + msg["waited_ms"] / 1000, query.name)


def _is_behind(gw: Gateway, query: _Query, msg: FeedMsg) -> bool:
    """Whether the gateway that has answered does not keep up with the store.

    One that the store answers without confirming anything, after its return, does as well as any.
    """
    if msg.get("held_back", False):
        return False
    waited_s = msg["waited_ms"] / 1000
    return waited_s >= query.wait_s - WAIT_ROUNDING_S or _urgent_age_s(gw, msg) > stale_after_s(gw)


def _handle_behind(gw: Gateway, query: _Query, msg: FeedMsg) -> bool:
    """Handle a gateway that lags behind the store; true if it should be polled again."""
    reading = msg.get("reading", False)
    logger.info(
        "gateway lags behind the store",
        peer=query.name,
        age_s=round(min(_urgent_age_s(gw, msg), 999.0), 3),
        reading=reading,
    )
    now = clock.now()
    if reading:
        # It is receiving the newest state and can send it on over another link.  When such
        # relays were skipped, their followers got a configuration later by one transfer over a
        # slow link, 1.4 s.
        return True
    if gw.store_outage.failing_since is None and not gw.peers.is_relay(now) and not query.starting:
        # The store answers other gateways, so let the next one in rank become a relay instead.
        # A relay that polls others is cut off itself and may not have noticed.  Its followers lag
        # as it does, but will soon be the ones to poll, so they must not be skipped.
        gw.peers.record_call(query.name, False, now)
    return False


def _decode_feed(answer: Response) -> FeedMsg | BadMessage:
    if answer.headers.get("content-type") != COMPRESSED_TYPE:
        return decode(answer.body, FeedMsg)
    body = unpack(answer.body)
    return body if isinstance(body, BadMessage) else decode(body, FeedMsg)


def _waits_for_feed(gw: Gateway, now: float) -> bool:
    """Whether this gateway is starting and still waits for a feed before it queries the store."""
    return not urgent_kinds_known(gw) and now < gw.feed_valid_until


def _urgent_age_s(gw: Gateway, msg: FeedMsg) -> float:
    """Highest age of an urgent kind's confirmation in a response; infinite if one is missing."""
    ages_ms = {kind_msg["kind"]: kind_msg["age_ms"] for kind_msg in msg["kinds"]}
    urgent = [ages_ms.get(kind, UNKNOWN_AGE_MS) for kind, r in gw.replicas.items() if r.urgent]
    return max(age_ms / 1000 if age_ms >= 0 else float("inf") for age_ms in urgent)


def _mark(replica: KindReplica, now: float) -> FeedMark:
    """What is known here of a kind."""
    age_s = now - replica.confirmed_at
    known = replica.confirmed_at > float("-inf")
    position = replica.position or NOTHING_KNOWN
    return FeedMark(
        kind=replica.kind,
        revision=position.revision,
        era=position.era,
        settled=position.settled,
        age_ms=round(age_s * 1000) if known else UNKNOWN_AGE_MS,
    )


async def _apply_kind(gw: Gateway, kind_msg: FeedKind, answered_at: float, source: str) -> None:
    """Apply a kind's part of a response; `answered_at` is no later than when it was sent."""
    replica = gw.replicas[kind_msg["kind"]]
    position = mark_position(kind_msg)
    gw.note_era(position.era)
    note_settled(gw, kind_msg)
    # Data that was never confirmed there is applied, but confirms nothing here.
    confirmed_at = (
        answered_at - kind_msg["age_ms"] / 1000 if kind_msg["age_ms"] >= 0 else float("-inf")
    )
    changes = [_decode_change(item) for item in kind_msg["changes"]]
    if kind_msg["full"]:
        objects = [change.obj for change in changes]
        snapshot = Snapshot(objects, position.revision, position.era, position.settled)
        await replica.apply_snapshot(snapshot, confirmed_at, source)
    else:
        delta = Changes(changes, position.revision, position.era, position.settled)
        await replica.apply_changes(kind_msg["since"], delta, confirmed_at, source)


def _decode_change(item: FeedChange) -> Change:
    obj = StoredObject(
        item["name"],
        item["revision"],
        item.get("spec"),
        item.get("status"),
        item["whole"],
        item.get("era", 0),
    )
    return Change(obj, item["removed"])
