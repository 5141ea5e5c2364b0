"""Clients that never take their answers, or are given up and send on: their connections end, and
what these hold is free."""

from __future__ import annotations

import socket
from typing import Any, Final

import curio
import curio.socket
import pytest

from ramppost.gateway.inbound import Reply, _serve_connection
from ramppost.gateway.model import CallerLimits, CallerRequest
from ramppost.wire import server
from ramppost.wire.intake import Intake
from tests.harness.caller_connection import caller_connections

IDLE_S: Final = 0.3
WITHIN_S: Final = 5.0
ANSWER: Final = bytes(5_000_000)
REQUEST: Final = b"GET /x HTTP/1.1\r\nhost: h\r\n\r\n"
CHUNKED: Final = b"POST /x HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
CHUNK: Final = b"1000\r\n" + bytes(4096) + b"\r\n"
ENDS_WITHIN_S: Final = 1.0
"""A box is asked every second whether it is ready, and nobody may be accepted meanwhile."""


async def until_closed(intake: Intake) -> None:
    """Wait until no connection is left."""
    await curio.sleep(IDLE_S / 3)
    assert intake.connections == 1
    while intake.connections:
        await curio.sleep(0.02)


def test_caller_that_took_nothing_was_kept_for_ever() -> None:
    """The rest of a refusal was awaited without a limit of time."""

    async def serve(req: CallerRequest, reply: Reply, read_at: float) -> None:
        await reply.send(404, (), ANSWER)

    async def played() -> None:
        limits = CallerLimits(4096, 4096, IDLE_S, IDLE_S)
        callers, hooks = caller_connections(serve, limits)
        own, caller = curio.socket.socketpair()
        caller._socket.sendall(REQUEST)
        slot = callers.intake.open(own)
        await curio.spawn(_serve_connection, slot, callers, hooks, daemon=True)
        await until_closed(callers.intake)
        await caller.close()

    curio.run(curio.timeout_after, WITHIN_S, played())


def test_client_that_took_nothing_was_kept_for_ever(monkeypatch: pytest.MonkeyPatch) -> None:
    """A server of boxes awaited that its answer was taken without a limit of time."""
    monkeypatch.setattr(server, "WRITE_TIMEOUT_S", IDLE_S)

    async def answer(req: server.Request, reply: server.Reply) -> None:
        await reply.send(200, 2 * ANSWER)

    async def played() -> None:
        sock: Any = server.listen("127.0.0.1", 0)
        intake = Intake()
        await curio.spawn(lambda: server.serve(sock, answer, intake=intake), daemon=True)
        with socket.create_connection(sock.getsockname()) as client:
            client.sendall(REQUEST)
            await until_closed(intake)

    curio.run(curio.timeout_after, WITHIN_S, played())


def test_client_that_was_given_up_was_read_as_long_as_it_sent() -> None:
    """Nobody was accepted while several were read on."""
    intake = Intake()
    limits = server.Limits(body_bytes=1 << 40, keeps_bodies=False)

    async def answer(req: server.Request, reply: server.Reply) -> None:
        await reply.send(200, b"")

    async def send(client: Any) -> None:
        try:
            await client.sendall(CHUNKED)
            while True:
                await client.sendall(CHUNK)
        except OSError:
            await client.close()

    async def played() -> None:
        sock: Any = server.listen("127.0.0.1", 0)
        await curio.spawn(lambda: server.serve(sock, answer, limits, intake=intake), daemon=True)
        client = await curio.open_connection(*sock.getsockname())
        sending = await curio.spawn(send, client)
        await curio.sleep(IDLE_S)
        assert intake.connections == 1 and intake.make_room(1)
        async with curio.timeout_after(ENDS_WITHIN_S):
            while intake.connections:
                await curio.sleep(0.02)
        await sending.join()

    curio.run(curio.timeout_after, WITHIN_S, played())
