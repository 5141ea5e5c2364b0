"""Random bytes, and requests with random faults: no connection's task ends by an error."""

from __future__ import annotations

import logging
import random
from collections.abc import Awaitable, Callable
from typing import Any, Final

import curio
import curio.socket
import h11
import pytest

from ramppost.gateway.inbound import Reply, _serve_connection
from ramppost.gateway.model import CallerLimits, CallerRequest
from ramppost.wire import server
from ramppost.wire.intake import ClientSlot, Intake
from tests.harness.caller_connection import caller_connections

REQUESTS: Final = [
    b"GET /x HTTP/1.1\r\nhost: h\r\n\r\n",
    b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n\r\nhello",
    b"POST /x HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\nt: u\r\n\r\n",
    b"POST /x HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\ncontent-length: 3\r\n\r\nabc",
    b"CONNECT h:80 HTTP/1.1\r\nhost: h\r\n\r\n",
    b"GET /x HTTP/1.1\r\nhost: h\r\nconnection: upgrade\r\nupgrade: websocket\r\n\r\n",
    b"GET /x HTTP/1.0\r\nhost: h\r\n\r\n",
    b"GET /x HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n",
    b"HEAD /x HTTP/1.1\r\nhost: h\r\n\r\n",
    b"OPTIONS * HTTP/1.1\r\nhost: h\r\n\r\n",
]
EXPECTED: Final = (OSError, server.ClientDisconnected, curio.TaskTimeout, h11.LocalProtocolError)
"""How a connection may end; its task takes note of these."""
WITHIN_S: Final = 60.0
CASES: Final = 250


def drawn_bytes(rng: random.Random) -> bytes:
    """Some requests, with some bytes changed, left out or added."""
    data = bytearray(b"".join(rng.choices(REQUESTS, k=rng.randrange(1, 5))))
    for _ in range(rng.choice([0, 0, 1, 2, 5])):
        at = rng.randrange(len(data))
        if rng.random() < 0.4:
            del data[at : at + rng.randrange(1, 9)]
        elif rng.random() < 0.5:
            data[at:at] = rng.choice([b"\r\n", b"\n", b"\0", b";", b":", b"\xff", b"99999999999"])
        else:
            data[at : at + 1] = bytes([rng.randrange(256)])
        data += b" "
    return bytes(data)


async def send(caller: Any, rng: random.Random, data: bytes) -> None:
    """Send bytes in some pieces, and leave in one of several ways."""
    try:
        for begin in range(0, len(data), size := rng.choice([1, 7, 100, 10_000])):
            await caller.sendall(data[begin : begin + size])
        if rng.random() < 0.5:
            await caller.shutdown(curio.socket.SHUT_WR)
            await curio.timeout_after(0.05, caller.recv(100_000))
    except (OSError, curio.TaskTimeout):
        pass
    await caller.close()


def gateway_connection(intake: Intake) -> Callable[[ClientSlot], Awaitable[None]]:
    """Connections of callers."""

    async def serve(req: CallerRequest, reply: Reply, read_at: float) -> None:
        await reply.send(200, (), b"" if req.method == "HEAD" else b"whole")

    limits = CallerLimits(4096, 4096, 0.2, 0.2)
    callers, hooks = caller_connections(serve, limits, intake=intake)
    return lambda slot: _serve_connection(slot, callers, hooks)


def server_connection(intake: Intake) -> Callable[[ClientSlot], Awaitable[None]]:
    """Connections of other ports."""

    async def answer(req: server.Request, reply: server.Reply) -> None:
        await reply.send(200, b"" if req.method == "HEAD" else b"whole")

    own = server._Server(answer, server.Limits(4096, 4096, 0.2), None, None, server.Meter(), intake)
    return lambda slot: server._serve_all(slot, own)


@pytest.mark.parametrize("kind", [gateway_connection, server_connection])
@pytest.mark.parametrize("seed", range(4))
def test_odd_bytes_ended_a_task(
    kind: Callable[[Intake], Any], seed: int, caplog: pytest.LogCaptureFixture
) -> None:
    """What nobody foresaw in a request ended its connection's task, and what it held stayed."""
    rng = random.Random(seed)
    intake = Intake()

    async def played() -> None:
        start = kind(intake)
        for _ in range(CASES):
            own, caller = curio.socket.socketpair()
            slot = intake.open(own)
            task = await curio.spawn(start, slot)
            await send(caller, rng, drawn_bytes(rng))
            try:
                await task.join()
            except curio.TaskError as exc:
                assert isinstance(exc.__cause__, EXPECTED), exc.__cause__
            if kind is server_connection:
                await own.close()
                slot.close()
        assert (intake.connections, intake.small_bytes, intake.large_bytes) == (0, 0, 0)

    curio.run(curio.timeout_after, WITHIN_S, played())
    if kind is gateway_connection:
        assert not [record for record in caplog.records if record.levelno >= logging.ERROR]
