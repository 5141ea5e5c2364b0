"""Tells an upstream that has ended from one that only closed a connection.

An answer that breaks off says little: connections are reset, answers spoiled.  Where an upstream's
process has ended, its box refuses the next connection; one that has gone dark does not answer.  So
whoever finds an answer broken off asks for one, once for all that broke off there at that moment.
"""

from __future__ import annotations

from typing import Final, Literal

import curio
from loguru import logger

from ramppost import clock
from ramppost.gateway.links import ConnectionPool
from ramppost.gateway.model import Upstream
from ramppost.wire.client import CallFailed, connect

ProbeResult = Literal["alive", "silent", "ended"]
"""What an upstream's box does with a connection: takes it, says nothing, or refuses it."""

ASK_TIMEOUT_S: Final = 0.25
"""A box that is up answers within the way there and back; a dark one never does."""
GOOD_S: Final[dict[ProbeResult, float]] = {"alive": 0.05, "silent": 0.5, "ended": float("inf")}
"""How long what was found is good: for all whose answers broke off at one moment, and for a silent
one longer than it takes to ask."""
MAX_KEPT: Final = 1024
"""Starts of upstreams whose answers are remembered."""


class _Question:
    """What has become of an upstream: asked, and perhaps answered."""

    def __init__(self, at: float) -> None:
        self.at = at
        self.answered = curio.Event()
        self.fate: ProbeResult = "alive"


class UpstreamProbes:
    """What upstreams were found to be whose answers broke off, by start."""

    def __init__(self, links: ConnectionPool) -> None:
        self._links = links
        self._asked: dict[str, _Question] = {}

    async def probe(self, upstream: Upstream) -> ProbeResult:
        """What has become of an upstream that broke an answer off."""
        now = clock.now()
        asked = self._asked.get(upstream.key)
        if asked is not None and now - asked.at < GOOD_S[asked.fate]:
            await asked.answered.wait()
            return asked.fate
        asked = self._remember(upstream.key, _Question(now))
        try:
            asked.fate = await self._ask(upstream)
        finally:
            await asked.answered.set()
        if asked.fate != "alive":
            logger.info(
                "upstream has ended" if asked.fate == "ended" else "upstream went silent",
                upstream=upstream.id,
                service=upstream.service,
                addr=upstream.addr,
            )
        return asked.fate

    def forget(self, upstream_key: str) -> None:
        """An upstream is gone, or has started again."""
        self._asked.pop(upstream_key, None)

    def _remember(self, upstream_key: str, asked: _Question) -> _Question:
        self._asked.pop(upstream_key, None)
        self._asked[upstream_key] = asked
        while len(self._asked) > MAX_KEPT:
            del self._asked[next(iter(self._asked))]
        return asked

    async def _ask(self, upstream: Upstream) -> ProbeResult:
        sock = await connect(upstream.addr, (self._links.source, 0), ASK_TIMEOUT_S)
        if isinstance(sock, CallFailed):
            return "ended" if sock.refused else "silent"
        await sock.close()
        return "alive"
