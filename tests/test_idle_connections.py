"""Connections of callers that rest as a gateway closes them before its planned stop."""

from __future__ import annotations

from typing import Any

import curio
import curio.socket
import pytest

from ramppost.gateway import inbound
from ramppost.gateway.inbound import Reply, _serve_connection
from ramppost.gateway.model import CallerLimits, CallerRequest
from tests.harness.caller_connection import caller_connections

REQUEST = b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\nok"
LIMITS = CallerLimits(4096, 4096, 5.0, 5.0)
CONNECTIONS = 5
WITHIN_S = 5.0


async def close_as_requests_arrive() -> tuple[list[str], list[bytes]]:
    """The requests that were served, and what callers read until the end of their connections."""
    served: list[str] = []

    async def serve(req: CallerRequest, reply: Reply, read_at: float) -> None:
        served.append(req.target)
        await reply.send(200, (), b"whole")

    callers, hooks = caller_connections(serve, LIMITS, closing=True)
    ends = []
    for _ in range(CONNECTIONS):
        own, caller = curio.socket.socketpair()
        await curio.spawn(_serve_connection, callers.intake.open(own), callers, hooks, daemon=True)
        ends.append(caller)
    while len(callers.idle) < CONNECTIONS:
        await curio.sleep(0)
    for caller in ends:
        caller._socket.sendall(REQUEST)
    callers.close_idle()
    got = [await read_to_end(caller) for caller in ends]
    while callers.intake.connections:
        await curio.sleep(0.01)
    return served, got


async def read_to_end(sock: Any) -> bytes:
    found = b""
    while piece := await sock.recv(65536):
        found += piece
    return found


def test_request_that_had_arrived_was_passed_on_though_its_connection_was_closed() -> None:
    served, got = curio.run(curio.timeout_after, WITHIN_S, close_as_requests_arrive())
    assert len(served) == CONNECTIONS
    assert all(answer.endswith(b"whole") for answer in got)


def test_request_that_arrived_as_its_connection_was_closed_was_passed_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(inbound, "readable", lambda fd: False, raising=False)
    served, got = curio.run(curio.timeout_after, WITHIN_S, close_as_requests_arrive())
    assert not served
    assert not any(got)
