"""A gateway whose box was suspended for some seconds.

The monotonic clock does not advance while a box is suspended.  A gateway resumed after ten seconds
treated its confirmation as no older than before and admitted a key that had been revoked in the
meantime.  It also reported that age to other gateways, which dated their confirmations by it, and
gave upstreams time for requests whose callers had gone.  Ages and deadlines therefore use a clock
that includes suspended time.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace

import curio
import pytest

import ramppost
from ramppost import clock
from ramppost.errors import Refusal
from ramppost.gateway.admit import Admitted
from ramppost.gateway.feed import _answer
from ramppost.gateway.job import Job
from ramppost.gateway.replica import Handlers
from ramppost.gateway.serve import _try_upstreams
from ramppost.gateway.state import Gateway
from ramppost.gateway.watchers import apply_upstream_snapshot, watch_kind
from ramppost.platform import names
from ramppost.platform.headers import caller_request
from ramppost.platform.store import Snapshot
from ramppost.schema.messages import FeedMark, FeedQuery
from tests.harness.gateways import KEYS, OPEN, SAFE, SITE, STREAM
from tests.test_gateway_state import SETTINGS, admit_request, entry, set_config

SUSPENDED_S = 10.0
Suspend = Callable[[], None]


@pytest.fixture
def suspend(monkeypatch: pytest.MonkeyPatch) -> Suspend:
    """Simulates suspension of the box: the monotonic clock stops and the others advance."""
    monotonic_s, gettime = time.monotonic(), time.clock_gettime
    suspended_s = {time.CLOCK_BOOTTIME: 0.0, time.CLOCK_REALTIME: 0.0}
    monkeypatch.setattr(time, "monotonic", lambda: monotonic_s)
    monkeypatch.setattr(
        time, "clock_gettime", lambda which: gettime(which) + suspended_s.get(which, 0.0)
    )

    def suspend_box() -> None:
        for which in suspended_s:
            suspended_s[which] += SUSPENDED_S

    return suspend_box


@pytest.fixture
def gw(suspend: Suspend) -> Gateway:
    """A gateway with a configuration that has just been confirmed."""
    found = Gateway(SETTINGS)
    set_config(found, 5, 1)
    return found


async def apply_urgent_snapshots(gw: Gateway) -> None:
    """Apply snapshots of the urgent kinds."""
    for kind in (names.CONFIG_KIND, names.UPSTREAM_KIND):
        followed = gw.replicas[kind]
        await followed.apply_snapshot(Snapshot([], 5), clock.now())


def test_key_is_refused_on_confirmation_before_suspension(gw: Gateway, suspend: Suspend) -> None:
    gw.members_listed = True
    gw.freshness.confirm(clock.now())
    assert isinstance(admit_request(gw, SAFE), Admitted)
    assert gw.ready
    suspend()
    got = admit_request(gw, SAFE)
    assert isinstance(got, Refusal) and got.code == "not_ready"
    unknown = admit_request(gw, SAFE, "unknown")
    assert isinstance(unknown, Refusal) and unknown.code == "not_ready"
    assert isinstance(admit_request(gw, OPEN, KEYS["toll"]), Refusal)
    assert not gw.ready


def test_reported_age_includes_suspended_time(gw: Gateway, suspend: Suspend) -> None:
    async def scenario() -> float:
        unused = Handlers(lambda snapshot: None, lambda change: None, lambda at: None)
        for kind in (names.CONFIG_KIND, names.UPSTREAM_KIND):
            await watch_kind(gw, kind, unused, 1.0, 1e6, urgent=True)
        await apply_urgent_snapshots(gw)
        suspend()
        marks = [FeedMark(kind=names.CONFIG_KIND, revision=0, age_ms=-1)]
        msg = await _answer(gw, FeedQuery(wait_ms=0, kinds=marks))
        return msg["kinds"][0]["age_ms"] / 1000

    assert curio.run(scenario) >= SUSPENDED_S


def test_no_age_is_taken_from_a_clock_that_stands() -> None:
    """All modules use one clock, so that their times can be compared."""
    root = Path(ramppost.__file__).parent
    reading = [
        str(path.relative_to(root))
        for path in root.rglob("*.py")
        if "monotonic" in path.read_text(encoding="utf-8").lower()
    ]
    assert reading == ["clock.py"]


class Upstream:
    """The socket of an upstream that accepts all data."""

    def __init__(self) -> None:
        self.got: list[bytes] = []
        self._socket = self

    async def sendall(self, data: bytes) -> None:
        self.got.append(data)

    async def recv(self, size: int) -> bytes:
        return b""

    def setsockopt(self, *option: int) -> None:
        """Ignores socket options."""

    def shutdown(self, how: int) -> None:
        """Does nothing."""

    def close(self) -> None:
        """Does nothing."""


def test_request_suspended_before_sending_is_not_sent(
    gw: Gateway, suspend: Suspend, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The box is suspended after the key check, while the connection is being opened."""
    upstream = Upstream()

    async def connect(addr: str, source: tuple[str, int], timeout_s: float) -> Upstream:
        suspend()
        return upstream

    monkeypatch.setattr("ramppost.gateway.links.connect", connect)
    apply_upstream_snapshot(gw, Snapshot([entry("a")], 6))
    gw.freshness.confirm(clock.now())
    admitted = admit_request(gw, STREAM)
    assert isinstance(admitted, Admitted)
    head = ((b"host", SITE.encode()),)
    job = Job(caller_request("POST", STREAM, head, b""), admitted, clock.now())
    got = curio.run(_try_upstreams, gw, job, "lm", "m", SimpleNamespace(started=False))
    assert upstream.got == []
    assert isinstance(got, Refusal)
    assert (got.status, got.ran) == (503, "no")
