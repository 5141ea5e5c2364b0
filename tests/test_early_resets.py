"""Clients that reset their connection before it is served."""

from __future__ import annotations

import socket
from pathlib import Path
from typing import Final

import curio
import pytest

from ramppost.wire.server import ReloadingTlsContext, Reply, Request, listen, serve
from tests.harness.scripted import reset
from tests.test_dev import certificate

HOST: Final = "127.0.0.1"


async def answer(req: Request, reply: Reply) -> None:
    await reply.send(200, b"{}")


@pytest.mark.parametrize("sent", [b"", b"x", b"GET / HTTP/1.1\r\n\r\n"])
@pytest.mark.parametrize("over_tls", [False, True])
def test_front_accepted_nobody_after_an_early_reset(
    tmp_path: Path, over_tls: bool, sent: bytes
) -> None:
    """Over TLS a client that had sent bytes and reset before it was accepted ended the server."""
    tls = ReloadingTlsContext(*map(str, certificate(tmp_path, "front", HOST))) if over_tls else None

    async def played() -> None:
        sock = listen(HOST, 0)
        serving = await curio.spawn(lambda: serve(sock, answer, tls=tls))
        for _ in range(20):
            with socket.create_connection(sock.getsockname()) as client:
                client.sendall(sent)
                reset(client)
        await curio.sleep(0.3)
        assert not serving.terminated
        await serving.cancel()

    curio.run(played)
