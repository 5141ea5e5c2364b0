"""Tells other gateways what changes in the store, so that they need not ask it.

A gateway that asks says how far it knows each kind of objects.  It is answered as soon as
something changed or was confirmed later, or when its wait is over.  The answer holds the
latest change of each object since, and how long ago the whole was known to be the newest.
Any gateway answers; how good its answer is shows by these ages.  Large objects are told by name
and revision, and loaded by themselves (`ramppost.gateway.loading`).
"""

from __future__ import annotations

import math
from typing import Final

from ramppost import clock
from ramppost.gateway.follow import KindReplica
from ramppost.gateway.state import Gateway
from ramppost.platform.store import Change
from ramppost.schema.messages import FeedChange, FeedKind, FeedMsg, FeedQuery
from ramppost.wire.codec import BadMessage, decode, encode
from ramppost.wire.packing import pack
from ramppost.wire.server import Handler, Reply, Request

FEED_PATH: Final = "/x/feed"
MAX_WAIT_S: Final = 5.0
"""A call is answered within this, whatever it asks for."""
MIN_CONFIRMATION_GAIN_S: Final = 0.1
"""A confirmation that is so much younger than the asker's own ends its wait."""
LARGE_OBJECT_BYTES: Final = 32768
"""Objects above this are told by name: on a box with 10 Mbit/s, one of 500 KB for ten gateways
would hold up everything else for seconds."""
UNKNOWN_AGE_MS: Final = -1
"""Stands for an age where there was no confirmation."""
COMPRESSION_MIN_BYTES: Final = 2048
"""Bytes of an answer that are worth packing: 3,000 entries of upstreams are 0.9 MB, and a tenth of
it packed."""
COMPRESSED_TYPE: Final = "application/zlib"


def feed_handler(gw: Gateway) -> Handler:
    """Answers what other gateways ask at `FEED_PATH`."""

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
    """The answer, once there is something to tell or the wait is over."""
    received_at = clock.now()
    until = received_at + min(MAX_WAIT_S, query["wait_ms"] / 1000)
    while clock.now() < until and not (
        urgent_kinds_known(gw) and _has_news(gw, query, received_at)
    ):
        await gw.updates.wait(until - clock.now())
    now = clock.now()
    kinds = [
        told
        for mark in query["kinds"]
        if (replica := gw.replicas.get(mark["kind"])) and replica.revision is not None
        for told in [_encode_kind(replica, mark["revision"], now)]
        if replica.urgent or told["full"] or told["changes"]
    ]
    # Rounded so that nothing seems younger than it is.
    return FeedMsg(
        name=gw.cfg["name"],
        waited_ms=int((now - received_at) * 1000),
        reading=any(
            replica.awaiting_response for replica in gw.replicas.values() if replica.urgent
        ),
        kinds=kinds,
    )


def urgent_confirmed_at(gw: Gateway) -> float:
    """Since when what has to be known at once may have changed unnoticed (steady clock)."""
    return min((f.confirmed_at for f in gw.replicas.values() if f.urgent), default=float("-inf"))


def urgent_kinds_known(gw: Gateway) -> bool:
    """Whether all that has to be known at once is known here: a gateway that has just started
    tells nothing until then."""
    return gw.evacuations_known and urgent_confirmed_at(gw) > float("-inf")


def _has_news(gw: Gateway, query: FeedQuery, received_at: float) -> bool:
    """Whether there is a change, or a later confirmation of what has to be known at once."""
    for mark in query["kinds"]:
        replica = gw.replicas.get(mark["kind"])
        if replica is None or (replica.revision or -1) < mark["revision"]:
            continue
        delta = replica.changes_since(mark["revision"])
        if delta.full or delta.changes:
            return True
        age_s = mark["age_ms"] / 1000 if mark["age_ms"] >= 0 else float("inf")
        gain_s = replica.confirmed_at - (received_at - age_s)
        if replica.urgent and gain_s > MIN_CONFIRMATION_GAIN_S:
            return True
    return False


def _encode_kind(replica: KindReplica, since: int, now: float) -> FeedKind:
    """What is known of a kind after a revision."""
    delta = replica.changes_since(since)
    age_s = now - replica.confirmed_at
    return FeedKind(
        kind=replica.kind,
        since=since,
        revision=replica.revision or 0,
        age_ms=math.ceil(age_s * 1000) if replica.confirmed_at > float("-inf") else UNKNOWN_AGE_MS,
        full=delta.full,
        changes=[_encode_change(replica, change) for change in delta.changes],
    )


def _encode_change(replica: KindReplica, change: Change) -> FeedChange:
    obj = change.obj
    small = obj.whole and replica.size_of(obj.name) <= LARGE_OBJECT_BYTES
    message = FeedChange(
        name=obj.name,
        revision=obj.revision,
        removed=change.removed,
        whole=small or change.removed,
    )
    if small and not change.removed:
        message["spec"] = obj.spec
        message["status"] = obj.status
    return message
