"""Requests that are refused whatever their bodies are, before these have arrived."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from typing import Final

import pytest

from tests.harness.gateways import HOST, KEYS, SAFE, SITE, Deployment

TEN_GB: Final = 10**10
AT_ONCE_S: Final = 1.0


@pytest.fixture(scope="module")
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    found = Deployment(tmp_path_factory.mktemp("by-head"), gateways=1)
    yield found
    found.stop()


@pytest.mark.parametrize(
    ("path", "key", "length", "status"),
    [
        ("/nowhere/", KEYS["toll"], 1000, 404),
        (SAFE, "", 1000, 401),
        (SAFE, "unknown", 1000, 401),
        (SAFE, KEYS["toll"], TEN_GB, 413),
        ("/nowhere/", "", TEN_GB, 404),
    ],
)
def test_refusal_came_after_the_time_for_the_body(
    site: Deployment, path: str, key: str, length: int, status: int
) -> None:
    """A request that withheld its body was answered with 408 after 20 s."""
    head = [f"POST {path} HTTP/1.1", f"host: {SITE}", "x-attempt-id: a1", f"api-key: {key}"]
    head += [f"content-length: {length}", "", ""]
    began_at = time.monotonic()
    with socket.create_connection((HOST, site.port(site.gateways[0])), 30) as sock:
        sock.sendall("\r\n".join(head).encode())
        got = sock.recv(65536)
        assert int(got[9:12]) == status
        assert time.monotonic() - began_at < AT_ONCE_S
        sock.sendall(bytes(1000))
        assert b"connection: close" in got.lower()
