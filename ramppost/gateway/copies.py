"""Gives other gateways copies of large objects, compressed.

A configuration of 0.87 MB takes 1.5 s of a link of 0.6 MB/s.  Compressed it is a thirteenth:
4,000 routes with names at random are 757 KB of JSON and 59 KB of a copy.  So whoever has it
whole hands it on, and only the relays read it from the store.  `ramppost.gateway.loading` asks.

    GET /x/copy?kind=config&name=main&revision=80
"""

from __future__ import annotations

from typing import Final, NamedTuple

from ramppost import clock
from ramppost.gateway.follow import KindReplica
from ramppost.gateway.state import Gateway
from ramppost.platform.store import StoredObject
from ramppost.schema.messages import ObjectCopy
from ramppost.wire import packing
from ramppost.wire.codec import BadMessage, decode, encode
from ramppost.wire.server import Handler, Reply, Request

COPY_PATH: Final = "/x/copy"
COPY_TYPE: Final = "application/octet-stream"
LOADING_WAIT_S: Final = 0.3
"""How long an answer is held back for an object that is being loaded here: some copies' time, and
less than whoever asks waits for an answer to begin."""


class PackedCopy(NamedTuple):
    """A copy ready to be sent, and the revision that it holds."""

    revision: int
    data: bytes


def copy_handler(gw: Gateway) -> Handler:
    """Answers what other gateways ask at `COPY_PATH`: 404 for what is not here as new."""
    packed: dict[tuple[str, str], PackedCopy] = {}

    async def handle(req: Request, reply: Reply) -> None:
        kind, name = req.query.get("kind", ""), req.query.get("name", "")
        followed = gw.replicas.get(kind)
        obj = await _wait_for_object(gw, followed, name) if followed is not None else None
        if obj is None or obj.revision < _requested_revision(req):
            await reply.send(404, encode({"error": "not here, or not as new"}))
            return
        held = packed.get((kind, name))
        if held is None or held.revision != obj.revision:
            held = packed[kind, name] = PackedCopy(obj.revision, encode_copy(obj))
        await reply.send(200, held.data, COPY_TYPE)

    return handle


async def _wait_for_object(gw: Gateway, followed: KindReplica, name: str) -> StoredObject | None:
    """The object, also where it is here in a moment."""
    until = clock.now() + LOADING_WAIT_S
    while name in followed.pending and (left_s := until - clock.now()) > 0:
        await gw.updates.wait(left_s)
    return followed.complete_object(name)


def _requested_revision(req: Request) -> float:
    """The revision that is asked for; infinite where that is no number."""
    text = req.query.get("revision", "")
    return int(text) if text.isdecimal() else float("inf")


def encode_copy(obj: StoredObject) -> bytes:
    """An object as it is sent."""
    copy = ObjectCopy(revision=obj.revision, spec=obj.spec, status=obj.status)
    return packing.pack(encode(copy))


def decode_copy(name: str, data: bytes) -> StoredObject | BadMessage:
    """An object as it was sent.

    >>> decode_copy("main", encode_copy(StoredObject("main", 7, {"version": 1}, None)))
    StoredObject(name='main', revision=7, spec={'version': 1}, status=None, whole=True)
    >>> decode_copy("main", b"no copy")  # doctest: +ELLIPSIS
    BadMessage(reason='not unpacked: Error -3 ... incorrect header check')
    """
    body = packing.unpack(data)
    if isinstance(body, BadMessage):
        return body
    copy = decode(body, ObjectCopy)
    if isinstance(copy, BadMessage):
        return copy
    return StoredObject(name, copy["revision"], copy["spec"], copy["status"])
