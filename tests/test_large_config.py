"""Large configurations on thin links, with real processes.

A configuration grew to 4,249 routes, 0.87 MB.  Gateways whose box had a link of 0.6 MB/s read
it for the 1 s that any call to the store had, and threw away what had come.  They asked again,
from the store and from each other at once, so that each transfer got a part of the link and
none ended: all fifteen thin links carried 480 to 680 KB inwards in every second for more than
ten seconds, at 1 to 3 % of processor, and callers were served by the configuration before.
What settled it were ten lines `large object not read: no whole answer ... in 1 s` within 25 ms,
exactly 1 s after the wide links had the same version in force, and a store that had refused and
dropped no call.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.harness.gateways import HOST, KEYS, SAFE, Deployment, config, route
from tests.harness.proxy import Proxy

ROUTES = 4000
RATE = 500_000.0
"""Bytes a second: the configuration takes some 1.8 s, more than a call to the store had."""
IN_FORCE_S = 6.0
"""Two transfers and a half, for a version that is written while an older one is read."""
GATEWAY = "gateway-1"


def large(version: int, *prefixes: str) -> dict[str, object]:
    """A configuration with many routes, and these that callers may tell apart."""
    many = [route(f"many-{i}", f"/many-{i}/", "idempotent", "web") for i in range(ROUTES)]
    new = [route(prefix, prefix, "idempotent", "web") for prefix in prefixes]
    return config(version, KEYS, routes=[*many, *new])


class Thin:
    """One gateway behind a thin link to the store."""

    def __init__(self, folder: Path) -> None:
        self.site = Deployment(folder, gateways=1)
        self.link = Proxy(f"{HOST}:{self.site.port('store')}")
        self.link.rate = RATE

    def restart(self) -> None:
        """Start the gateway anew, behind the thin link."""
        self.site.restart_gateway(GATEWAY, self.link.addr)

    def serves(self, prefix: str) -> bool:
        return self.site.call(GATEWAY, prefix).status == 200


@pytest.fixture
def thin(tmp_path: Path) -> Iterator[Thin]:
    found = Thin(tmp_path)
    yield found
    found.site.stop()


def test_a_large_configuration_comes_into_force_on_a_thin_link(thin: Thin) -> None:
    thin.restart()
    thin.site.wait_ready(GATEWAY)
    thin.site.configure(large(2, "/second/"))
    thin.site.until(lambda: thin.serves("/second/"), IN_FORCE_S, "the second version")
    thin.site.configure(large(3, "/second/", "/third/"))
    time.sleep(0.5)
    thin.site.configure(large(4, "/second/", "/third/", "/fourth/"))
    thin.site.until(lambda: thin.serves("/fourth/"), IN_FORCE_S, "the fourth version")
    assert thin.serves(SAFE)


def test_a_gateway_starts_with_a_large_configuration_on_a_thin_link(thin: Thin) -> None:
    thin.site.configure(large(2, "/second/"))
    thin.restart()
    thin.site.until(lambda: thin.serves("/second/"), IN_FORCE_S, "the configuration")
    assert thin.site.ready(GATEWAY)
