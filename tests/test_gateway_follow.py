"""Following the store: a watch that is known to have missed something begins anew."""

from __future__ import annotations

import socket
import time
from typing import NamedTuple

import curio

from ramppost.gateway.follow import Follower, Outage, follow
from ramppost.platform.store import StoreClient
from ramppost.wire.client import Pool
from ramppost.wire.server import Reply, Request, listen, serve


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Store:
    """Lists nothing at revision 5, and lets every watch wait."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    async def handle(self, req: Request, reply: Reply) -> None:
        self.calls.append("watch" if "watch" in req.query else "list")
        if "watch" in req.query:
            await curio.sleep(30)
        await reply.send(200, b'{"items":[],"truncated":false,"current_rev":5}')


class Played(NamedTuple):
    """Calls that the store got, and how many confirmations the follower took from them."""

    calls: list[str]
    confirmed: int


async def _played(wake_after_s: float | None, for_s: float) -> Played:
    confirmed: list[float] = []
    store, port = Store(), free_port()
    await curio.spawn(serve, listen("127.0.0.1", port), store.handle, daemon=True)
    wake = curio.Event()
    follower = Follower(
        "kind", lambda: 20.0, lambda s: None, lambda c: None, confirmed.append, True, wake
    )
    client = StoreClient(f"127.0.0.1:{port}", Pool())
    task = await curio.spawn(follow, client, follower, Outage(), daemon=True)
    began = time.monotonic()
    if wake_after_s is not None:
        await curio.sleep(wake_after_s)
        await wake.set()
    await curio.sleep(for_s - (time.monotonic() - began))
    await task.cancel()
    return Played(store.calls, len(confirmed))


def test_a_watch_that_is_woken_begins_anew() -> None:
    assert curio.run(_played(0.3, 0.8)).calls == ["list", "watch", "watch"]


def test_a_watch_that_is_woken_confirms_nothing() -> None:
    assert curio.run(_played(0.3, 0.8)).confirmed == 1


def test_a_watch_that_is_not_woken_waits() -> None:
    assert curio.run(_played(None, 0.6)) == Played(["list", "watch"], 1)
