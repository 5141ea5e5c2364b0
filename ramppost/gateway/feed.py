"""Serves a feed of the store's changes to other gateways, so that they need not query the store.

A feed request (a long poll) holds the position that the requester has of each kind of object.  It
is answered as soon as there is a change or a later confirmation, or when its wait time is over.
The response holds the latest change of each object since that revision, and how long ago the
state was known to be the newest.  Every gateway answers; the ages show how fresh its answer is.
Large objects are announced by name and revision only, and loaded separately
(`ramppost.gateway.loading`).
"""

from __future__ import annotations

import math
from typing import Final

from ramppost import clock
from ramppost.gateway.replica import KindReplica
from ramppost.gateway.state import Gateway
from ramppost.platform.store import Change
from ramppost.policy.position import Position
from ramppost.schema.messages import FeedChange, FeedKind, FeedMark, FeedMsg, FeedQuery
from ramppost.wire.codec import BadMessage, decode, encode
from ramppost.wire.packing import pack
from ramppost.wire.server import Handler, Reply, Request

FEED_PATH: Final = "/x/feed"
MAX_WAIT_S: Final = 5.0
"""Upper limit on the wait time that a request may ask for."""
MIN_CONFIRMATION_GAIN_S: Final = 0.1
"""A confirmation newer than the requester's by more than this ends the wait."""
LARGE_OBJECT_BYTES: Final = 32768
"""Objects above this size are announced by name only: on a box with a 10 Mbit/s link, sending one
of 500 KB to ten gateways would delay all other traffic for seconds."""
HELD_BACK_S: Final = 1.0
"""How long an answer of the store that confirmed nothing shows that the store is in reach: several
watches, of a slow store too."""
UNKNOWN_AGE_MS: Final = -1
"""Age on the wire if there was no confirmation."""
COMPRESSION_MIN_BYTES: Final = 2048
"""Responses from this size on are compressed: 3,000 upstream entries take 0.9 MB, and a tenth of
that compressed."""
COMPRESSED_TYPE: Final = "application/zlib"


def feed_handler(gw: Gateway) -> Handler:
    """The handler of feed requests at `FEED_PATH`."""

    async def handle(req: Request, reply: Reply) -> None:
        query = decode(req.body, FeedQuery)
        if isinstance(query, BadMessage):
            await reply.send(400, encode({"error": query.reason}))
            return
        body = encode(await _answer(gw, query))
        if len(body) < COMPRESSION_MIN_BYTES:
            await reply.send(200, body)
        else:
            await reply.send(200, pack(body), COMPRESSED_TYPE)

    return handle


async def _answer(gw: Gateway, query: FeedQuery) -> FeedMsg:
    """The response, once there is an update or the wait time is over."""
    received_at = clock.now()
    for mark in query["kinds"]:
        note_settled(gw, mark)
    until = received_at + min(MAX_WAIT_S, query["wait_ms"] / 1000)
    while clock.now() < until and not (
        urgent_kinds_known(gw) and _has_update(gw, query, received_at)
    ):
        await gw.updates.wait(until - clock.now())
    now = clock.now()
    kinds = [
        kind_msg
        for mark in query["kinds"]
        if (replica := gw.replicas.get(mark["kind"])) and replica.position is not None
        for kind_msg in [_encode_kind(replica, replica.position, mark, now)]
        if replica.urgent or kind_msg["full"] or kind_msg["changes"]
    ]
    # Times are rounded so that no confirmation seems younger than it is.
    return FeedMsg(
        name=gw.cfg["name"],
        waited_ms=int((now - received_at) * 1000),
        reading=any(
            replica.awaiting_response for replica in gw.replicas.values() if replica.urgent
        ),
        held_back=any(
            now - replica.held_back_at < HELD_BACK_S
            for replica in gw.replicas.values()
            if replica.urgent
        ),
        kinds=kinds,
    )


def urgent_confirmed_at(gw: Gateway) -> float:
    """When the least recently confirmed urgent kind was confirmed (steady clock): since then it
    may have changed unnoticed."""
    return min((r.confirmed_at for r in gw.replicas.values() if r.urgent), default=float("-inf"))


def urgent_kinds_known(gw: Gateway) -> bool:
    """Whether all urgent kinds are known here; a gateway that has just started announces nothing
    until then."""
    return gw.evacuations_known and urgent_confirmed_at(gw) > float("-inf")


def _has_update(gw: Gateway, query: FeedQuery, received_at: float) -> bool:
    """Whether there is a change, or a later confirmation of an urgent kind."""
    for mark in query["kinds"]:
        replica = gw.replicas.get(mark["kind"])
        if replica is None or replica.position is None or replica.position < mark_position(mark):
            continue
        delta = replica.changes_after(mark_position(mark))
        if delta.full or delta.changes:
            return True
        age_s = mark["age_ms"] / 1000 if mark["age_ms"] >= 0 else float("inf")
        gain_s = replica.confirmed_at - (received_at - age_s)
        if replica.urgent and gain_s > MIN_CONFIRMATION_GAIN_S:
            return True
    return False


def mark_position(mark: FeedMark | FeedKind) -> Position:
    """The state of the store that a message names; the era is missing where a gateway knows none
    of eras."""
    return Position(mark.get("era", 0), mark.get("settled", True), mark["revision"])


def note_settled(gw: Gateway, mark: FeedMark | FeedKind) -> None:
    """Learn from a message that an era of the store is settled: a gateway that has just started
    can't know how long ago the store came back."""
    replica = gw.replicas.get(mark["kind"])
    position = mark_position(mark)
    if replica is not None and replica.settles and position.settled:
        gw.store_returns.note_settled(position.era)


def _encode_kind(replica: KindReplica, position: Position, mark: FeedMark, now: float) -> FeedKind:
    """The feed's part for a kind, with the changes after the mark."""
    delta = replica.changes_after(mark_position(mark))
    age_s = now - replica.confirmed_at
    is_confirmed = replica.confirmed_at > float("-inf") and not replica.confirms_nothing
    return FeedKind(
        kind=replica.kind,
        since=mark["revision"],
        revision=position.revision,
        era=position.era,
        settled=position.settled,
        age_ms=math.ceil(age_s * 1000) if is_confirmed else UNKNOWN_AGE_MS,
        full=delta.full,
        changes=[_encode_change(replica, change) for change in delta.changes],
    )


def _encode_change(replica: KindReplica, change: Change) -> FeedChange:
    obj = change.obj
    small = obj.whole and replica.size_of(obj.name) <= LARGE_OBJECT_BYTES
    message = FeedChange(
        name=obj.name,
        revision=obj.revision,
        era=obj.era,
        removed=change.removed,
        whole=small or change.removed,
    )
    if small and not change.removed:
        message["spec"] = obj.spec
        message["status"] = obj.status
    return message
