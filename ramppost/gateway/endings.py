"""Tells an upstream that has ended from one that only closed a connection.

A response that breaks off proves little, because connections are reset and responses corrupted.  If
the process of an upstream has ended, its box refuses the next connection; an unreachable box does
not respond to it.  So a connection is attempted after a response has broken off, once for all
responses that broke off at the upstream at that moment.
"""

from __future__ import annotations

from typing import Final, Literal

import curio
from loguru import logger

from ramppost import clock
from ramppost.bounded import drop_oldest
from ramppost.gateway.links import ConnectionPool
from ramppost.gateway.model import Upstream
from ramppost.wire.client import CallFailed, connect

ProbeResult = Literal["alive", "silent", "ended"]
"""Whether the box of an upstream accepts a connection, does not respond, or refuses it."""

PROBE_TIMEOUT_S: Final = 0.25
"""A reachable box responds within one round trip; an unreachable one never does."""
RECHECK_DELAY_S: Final = 0.1
"""A process that ends closes its connections one by one, and may accept a new one meanwhile."""
RESULT_VALID_S: Final[dict[ProbeResult, float]] = {
    "alive": 0.05,
    "silent": 0.5,
    "ended": float("inf"),
}
"""How long a result is valid: long enough for all responses that broke off at one moment, and for a
silent upstream longer than a probe takes."""
MAX_RESULTS: Final = 1024
"""Maximum number of upstream starts whose results are kept."""


class _Probe:
    """A probe of an upstream, under way or done."""

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.done = curio.Event()
        self.result: ProbeResult = "alive"


class UpstreamProbes:
    """Probes of upstreams whose responses broke off, by start of the upstream."""

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._probes: dict[str, _Probe] = {}

    async def probe(self, upstream: Upstream) -> ProbeResult:
        """Probe an upstream after a response broke off, or reuse a result that is still valid."""
        now = clock.now()
        probe = self._probes.get(upstream.key)
        if probe is not None and now - probe.started_at < RESULT_VALID_S[probe.result]:
            await probe.done.wait()
            return probe.result
        probe = self._remember(upstream.key, _Probe(now))
        try:
            probe.result = await self._connect(upstream)
        finally:
            await probe.done.set()
        if probe.result != "alive":
            logger.info(
                "upstream has ended" if probe.result == "ended" else "upstream went silent",
                upstream=upstream.id,
                service=upstream.service,
                addr=upstream.addr,
            )
        return probe.result

    def record_answer(self, upstream_key: str) -> None:
        """Discard the result of an upstream that had ended: it has started again, as it answers."""
        probe = self._probes.get(upstream_key)
        if probe is not None and probe.result == "ended":
            del self._probes[upstream_key]

    def forget(self, upstream_key: str) -> None:
        """Discard the result of an upstream that has left or restarted."""
        self._probes.pop(upstream_key, None)

    def _remember(self, upstream_key: str, probe: _Probe) -> _Probe:
        self._probes.pop(upstream_key, None)
        self._probes[upstream_key] = probe
        drop_oldest(self._probes, MAX_RESULTS)
        return probe

    async def _connect(self, upstream: Upstream) -> ProbeResult:
        sock = await connect(upstream.addr, (self._pool.source_host, 0), PROBE_TIMEOUT_S)
        if isinstance(sock, CallFailed):
            return "ended" if sock.refused else "silent"
        await sock.close()
        return "alive"
