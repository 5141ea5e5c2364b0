"""Connections of a crowd, while a server has as many as it may."""

from __future__ import annotations

import socket
from typing import Any, Final

import curio
import curio.socket

from ramppost.wire import accepting
from ramppost.wire.intake import INNER_CONNECTIONS, Intake, intake_limits
from ramppost.wire.server import Reply, Request, listen, serve

LIMIT: Final = 4
CROWD: Final = 300
WITHIN_S: Final = 5.0
REQUEST: Final = b"GET /x HTTP/1.1\r\nhost: h\r\n\r\n"


async def answer(req: Request, reply: Reply) -> None:
    await reply.send(200, b"{}")


async def ask(addr: Any) -> bytes:
    """What an ordinary request gets on a connection that it keeps."""
    client = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    await client.connect(addr)
    await client.sendall(REQUEST)
    return bytes(await curio.timeout_after(1.0, client.recv(1000)))


async def start(sent: bytes) -> tuple[Any, Intake, list[socket.socket]]:
    """A server before a crowd, of which each has sent the same bytes."""
    sock: Any = listen("127.0.0.1", 0)
    intake = Intake(intake_limits(connections=LIMIT))
    await curio.spawn(lambda: serve(sock, answer, intake=intake), daemon=True)
    crowd = [socket.create_connection(sock.getsockname()) for _ in range(CROWD)]
    for client in crowd:
        client.sendall(sent)
    await curio.sleep(0.2)
    return sock.getsockname(), intake, crowd


def play(sent: bytes) -> None:
    async def played() -> None:
        addr, intake, crowd = await start(sent)
        for _ in range(20):
            assert (await ask(addr)).startswith(b"HTTP/1.1 200 ")
        waiting = CROWD - LIMIT - INNER_CONNECTIONS
        assert intake.given_up >= waiting - accepting.MAX_WAITING
        for client in crowd:
            client.close()

    curio.run(curio.timeout_after, WITHIN_S, played())


def test_crowd_that_sent_nothing_kept_others_out() -> None:
    """Nobody was accepted until silent connections had timed out."""
    play(b"")


def test_crowd_that_sent_half_a_head_kept_others_out() -> None:
    """Nobody was accepted until half heads had timed out."""
    play(REQUEST[:-2])
