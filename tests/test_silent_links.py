"""Open connections that stop delivering data without a reset, while new ones work.

Guards against timing out on one dead pooled connection after another.  When all connections of a
gateway to its relay and to the store went dead at once, it detected the first after 1.4 s and
abandoned its first store call 1.6 s later.  Then it took the next idle connection of its pool,
which was dead as well, and so on.  A configuration that other gateways had after 1.7 s was applied
there 4.8 s after the failure, and requests were served under the previous one.  The evidence was
the log of one gateway: `gateway does not answer` 1.4 s after the failure, `store lost: no answer
... in 1.6 s` 1.6 s later, and `store regained after 2.6 s`, while a new connection takes
milliseconds.
"""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import curio
import pytest

from ramppost import clock
from ramppost.policy.relays import rank_gateways
from ramppost.wire.client import STALL_TIMEOUT_S, CallFailed, Pool, Response, call, fetch
from tests.harness.gateways import HOST, KEYS, Deployment, config, route
from tests.harness.proxy import Proxy

RELAY, FOLLOWER = rank_gateways(["gateway-1", "gateway-2"])
TIMING = {"upstream_leave_ms": 2000, "config_apply_ms": 2000, "withdrawal_ms": 5000}
DETECTION_S = 2.4
"""A dead relay connection is detected after 1.4 s and a dead store connection after 1.6 s; a second
dead connection would take as long again."""
READY_TIMEOUT_S = 6.0
OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class Site:
    """One or two gateways, the last of which reaches the store through a proxy."""

    def __init__(self, folder: Path, gateways: int) -> None:
        self.site = Deployment(folder, gateways=gateways, **TIMING)
        self.name = "gateway-1" if gateways == 1 else FOLLOWER
        self.link = Proxy(f"{HOST}:{self.site.port('store')}")
        self.site.restart_gateway(self.name, self.link.addr)
        self.site.wait_ready(self.name)
        if gateways > 1:
            self.site.until(
                lambda: self.site.peers_known(self.name), READY_TIMEOUT_S, "the other gateway"
            )
        time.sleep(2 * DETECTION_S)

    def serves(self, prefix: str) -> bool:
        return self.site.call(self.name, prefix).status == 200


@pytest.fixture(params=[1, 2], ids=["alone", "follower"])
def site(request: Any, tmp_path: Path) -> Iterator[Site]:
    found = Site(tmp_path, request.param)
    yield found
    found.site.stop()


def test_change_is_applied_after_open_connections_go_silent(site: Site) -> None:
    site.link.silence()
    if site.name == FOLLOWER and len(site.site.gateways) > 1:
        site.site.signal(RELAY, signal.SIGSTOP)
    new = [route("new", "/new/", "idempotent", "web")]
    site.site.configure(config(2, KEYS, routes=new))
    site.site.until(lambda: site.serves("/new/"), DETECTION_S, "the new route")


async def serve_one_response(sock: Any, _: Any) -> None:
    """Respond to the first request on a connection, then stay silent."""
    async with sock:
        await sock.recv(10000)
        await curio.sleep(0.1)
        await sock.sendall(OK)
        await curio.sleep(60)


async def serve_partial_response(sock: Any, _: Any) -> None:
    """Send the head of a response and half of its body, then stay silent."""
    async with sock:
        await sock.recv(10000)
        await sock.sendall(OK[:-1])
        await curio.sleep(60)


def test_response_that_stalls_midway_is_a_failed_call() -> None:
    """The stall timeout expired inside the timeout for the whole response, which the event loop
    treats as a programming error: the task that follows the store died with `Uncaught timeout
    received`, and its gateway refused requests with keys from then on."""

    async def scenario() -> Any:
        sock = curio.network.tcp_server_socket(HOST, 0)
        addr = f"{HOST}:{sock.getsockname()[1]}"
        await curio.spawn(curio.network.run_server, sock, serve_partial_response, daemon=True)
        return await fetch(Pool(), addr, "GET", "/", timeout_s=1.0)

    began = clock.now()
    got = curio.run(scenario)
    assert isinstance(got, CallFailed)
    assert got.sent and "1 of 2 bytes read" in got.reason
    assert STALL_TIMEOUT_S <= clock.now() - began < 2 * STALL_TIMEOUT_S


def test_silent_pooled_connection_discards_all_pooled_ones() -> None:
    async def scenario() -> None:
        sock = curio.network.tcp_server_socket(HOST, 0)
        addr = f"{HOST}:{sock.getsockname()[1]}"
        await curio.spawn(curio.network.run_server, sock, serve_one_response, daemon=True)
        pool = Pool()
        calls = [await curio.spawn(call, pool, addr, "GET", "/") for _ in range(3)]
        for one in calls:
            assert isinstance(await one.join(), Response)
        assert isinstance(await call(pool, addr, "GET", "/", timeout_s=0.3), CallFailed)
        assert isinstance(await call(pool, addr, "GET", "/", timeout_s=0.3), Response)

    curio.run(scenario)
