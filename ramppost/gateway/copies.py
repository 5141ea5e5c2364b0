"""Serves compressed copies of large objects to other gateways.

A configuration of 0.87 MB occupies a link of 0.6 MB/s for 1.5 s.  Compression reduces it to a
thirteenth: 4,000 routes with random names are 757 KB as JSON and 59 KB as a copy.  Therefore every
gateway that has the complete object serves it, and only the relays read it from the store.  The
client side is `ramppost.gateway.loading`.

    GET /x/copy?kind=config&name=main&era=1&revision=80
"""

from __future__ import annotations

from typing import Final, NamedTuple

from ramppost import clock
from ramppost.gateway.replica import KindReplica
from ramppost.gateway.state import Gateway
from ramppost.platform.store import StoredObject
from ramppost.policy.position import Position
from ramppost.schema.messages import ObjectCopy
from ramppost.wire import packing
from ramppost.wire.codec import BadMessage, decode, encode
from ramppost.wire.digits import parse_digits
from ramppost.wire.server import Handler, Reply, Request

COPY_PATH: Final = "/x/copy"
COPY_TYPE: Final = "application/octet-stream"
LOADING_WAIT_S: Final = 0.3
"""How long a response is delayed for an object that is being loaded here.  It covers the transfer
of several copies and is shorter than the time that the client waits for a response to start."""


class PackedCopy(NamedTuple):
    """An encoded copy and the state of the object that it contains."""

    position: Position
    data: bytes


def copy_handler(gw: Gateway) -> Handler:
    """A handler for `COPY_PATH`; answers 404 if it lacks the object in that or a later state."""
    cache: dict[tuple[str, str], PackedCopy] = {}

    async def handle(req: Request, reply: Reply) -> None:
        kind, name = req.query.get("kind", ""), req.query.get("name", "")
        replica = gw.replicas.get(kind)
        obj = await _wait_for_object(gw, replica, name) if replica is not None else None
        requested = _requested_position(req)
        if obj is None or requested is None or obj.position < requested:
            await reply.send(404, encode({"error": "not here, or not as new"}))
            return
        cached = cache.get((kind, name))
        if cached is None or cached.position != obj.position:
            cached = cache[kind, name] = PackedCopy(obj.position, encode_copy(obj))
        await reply.send(200, cached.data, COPY_TYPE)

    return handle


async def _wait_for_object(gw: Gateway, replica: KindReplica, name: str) -> StoredObject | None:
    """Return the object, waiting briefly if it is still being loaded."""
    deadline = clock.now() + LOADING_WAIT_S
    while name in replica.pending and (left_s := deadline - clock.now()) > 0:
        await gw.updates.wait(left_s)
    return replica.complete_object(name)


def _requested_position(req: Request) -> Position | None:
    """The requested state; None if the query has no valid one."""
    revision = parse_digits(req.query.get("revision", ""))
    era = parse_digits(req.query.get("era", "0"))
    return None if revision is None or era is None else Position(era, True, revision)


def encode_copy(obj: StoredObject) -> bytes:
    """Encode and compress an object for sending."""
    copy = ObjectCopy(revision=obj.revision, era=obj.era, spec=obj.spec, status=obj.status)
    return packing.pack(encode(copy))


def decode_copy(name: str, data: bytes) -> StoredObject | BadMessage:
    """Decompress and decode a received object.

    >>> decode_copy("main", encode_copy(StoredObject("main", 7, {"version": 1}, None)))
    StoredObject(name='main', revision=7, spec={'version': 1}, status=None, whole=True, era=0)
    >>> decode_copy("main", b"no copy")  # doctest: +ELLIPSIS
    BadMessage(reason='decompression failed: Error -3 ... incorrect header check')
    """
    body = packing.unpack(data)
    if isinstance(body, BadMessage):
        return body
    copy = decode(body, ObjectCopy)
    if isinstance(copy, BadMessage):
        return copy
    return StoredObject(
        name, copy["revision"], copy["spec"], copy["status"], era=copy.get("era", 0)
    )
