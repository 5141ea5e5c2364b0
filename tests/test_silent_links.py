"""Open connections that go silent for good, without a reset, while new ones work.

A gateway whose connections to its relay and to the store had all gone silent at one moment
noticed the first after 1.4 s, and gave up its first call to the store 1.6 s later.  Then it
took the next idle connection of its pool, which was as silent, and so on: the second version
of a configuration that others had after 1.7 s came into force there 4.8 s after the links had
gone silent, and callers were served by the one before.  What settled it were the lines of one
gateway: `gateway does not answer` 1.4 s after the moment, `store lost: no answer ... in 1.6 s`
1.6 s after that, and `store regained after 2.6 s`, while a new connection needs milliseconds.
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
NOTICED_S = 2.4
"""A relay is found silent after 1.4 s, the store after 1.6 s; the next silent connection would
take as long again."""
READY_S = 6.0
OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class Site:
    """Gateways, of which the last is behind a proxy to the store."""

    def __init__(self, folder: Path, gateways: int) -> None:
        self.site = Deployment(folder, gateways=gateways, **TIMING)
        self.name = "gateway-1" if gateways == 1 else FOLLOWER
        self.link = Proxy(f"{HOST}:{self.site.port('store')}")
        self.site.restart_gateway(self.name, self.link.addr)
        self.site.wait_ready(self.name)
        if gateways > 1:
            self.site.until(lambda: self.site.peers_known(self.name), READY_S, "the other one")
        time.sleep(2 * NOTICED_S)

    def serves(self, prefix: str) -> bool:
        return self.site.call(self.name, prefix).status == 200


@pytest.fixture(params=[1, 2], ids=["alone", "follower"])
def site(request: Any, tmp_path: Path) -> Iterator[Site]:
    found = Site(tmp_path, request.param)
    yield found
    found.site.stop()


def test_a_change_is_known_soon_after_all_open_connections_went_silent(site: Site) -> None:
    site.link.silence()
    if site.name == FOLLOWER and len(site.site.gateways) > 1:
        site.site.signal(RELAY, signal.SIGSTOP)
    new = [route("new", "/new/", "idempotent", "web")]
    site.site.configure(config(2, KEYS, routes=new))
    site.site.until(lambda: site.serves("/new/"), NOTICED_S, "the new route")


async def answers_once(sock: Any, _: Any) -> None:
    """Answer the first request of a connection, and say nothing more on it."""
    async with sock:
        await sock.recv(10000)
        await curio.sleep(0.1)
        await sock.sendall(OK)
        await curio.sleep(60)


async def answers_half(sock: Any, _: Any) -> None:
    """Send the head of an answer and half of its body, and say nothing more."""
    async with sock:
        await sock.recv(10000)
        await sock.sendall(OK[:-1])
        await curio.sleep(60)


def test_an_answer_that_goes_silent_in_the_middle_is_a_failure_like_others() -> None:
    """The time for the next bytes ran out inside the time for the whole, which the event loop
    takes for a mistake: the task that follows the store ended with `Uncaught timeout received`,
    and its gateway refused keyed requests from then on."""

    async def scene() -> Any:
        sock = curio.network.tcp_server_socket(HOST, 0)
        addr = f"{HOST}:{sock.getsockname()[1]}"
        await curio.spawn(curio.network.run_server, sock, answers_half, daemon=True)
        return await fetch(Pool(), addr, "GET", "/", timeout_s=1.0)

    began = clock.now()
    got = curio.run(scene)
    assert isinstance(got, CallFailed)
    assert got.sent and "1 of 2 bytes read" in got.reason
    assert STALL_TIMEOUT_S <= clock.now() - began < 2 * STALL_TIMEOUT_S


def test_a_kept_connection_that_is_silent_speaks_for_all_that_were_kept() -> None:
    async def scene() -> None:
        sock = curio.network.tcp_server_socket(HOST, 0)
        addr = f"{HOST}:{sock.getsockname()[1]}"
        await curio.spawn(curio.network.run_server, sock, answers_once, daemon=True)
        pool = Pool()
        calls = [await curio.spawn(call, pool, addr, "GET", "/") for _ in range(3)]
        for one in calls:
            assert isinstance(await one.join(), Response)
        assert isinstance(await call(pool, addr, "GET", "/", timeout_s=0.3), CallFailed)
        assert isinstance(await call(pool, addr, "GET", "/", timeout_s=0.3), Response)

    curio.run(scene)
