"""Tells an upstream that has ended from one that only closed a connection.

An answer that breaks off says little: connections are reset, answers spoiled.  Where an upstream's
process has ended, its box refuses the next connection.  So whoever finds an answer broken off asks
for one, once for all that broke off there at that moment.
"""

from __future__ import annotations

from typing import Final

import curio
from loguru import logger

from ramppost import clock
from ramppost.gateway.links import Links
from ramppost.gateway.model import Upstream
from ramppost.wire.client import CallFailed, connect

ASK_TIMEOUT_S: Final = 0.25
"""A box that is up answers within the way there and back; a dark one never does."""
ALIVE_GOOD_S: Final = 0.25
"""How long an upstream that was found alive is taken for that: it may end at any moment."""
MAX_KEPT: Final = 1024
"""Starts of upstreams whose answers are remembered."""


class _Question:
    """Whether an upstream has ended: asked, and perhaps answered."""

    def __init__(self, at: float) -> None:
        self.at = at
        self.answered = curio.Event()
        self.ended = False


class Endings:
    """What upstreams were found to be whose answers broke off, by start."""

    def __init__(self, links: Links) -> None:
        self._links = links
        self._asked: dict[str, _Question] = {}

    async def has_ended(self, upstream: Upstream) -> bool:
        """Whether nobody listens any more where this upstream did."""
        now = clock.now()
        asked = self._asked.get(upstream.key)
        if asked is not None and (asked.ended or now - asked.at < ALIVE_GOOD_S):
            await asked.answered.wait()
            return asked.ended
        asked = self._remember(upstream.key, _Question(now))
        try:
            asked.ended = await self._refuses(upstream)
        finally:
            await asked.answered.set()
        if asked.ended:
            logger.info(
                "upstream has ended",
                upstream=upstream.id,
                service=upstream.service,
                addr=upstream.addr,
            )
        return asked.ended

    def forget(self, upstream_key: str) -> None:
        """An upstream is gone, or has started again."""
        self._asked.pop(upstream_key, None)

    def _remember(self, upstream_key: str, asked: _Question) -> _Question:
        self._asked.pop(upstream_key, None)
        self._asked[upstream_key] = asked
        while len(self._asked) > MAX_KEPT:
            del self._asked[next(iter(self._asked))]
        return asked

    async def _refuses(self, upstream: Upstream) -> bool:
        sock = await connect(upstream.addr, (self._links.source, 0), ASK_TIMEOUT_S)
        if isinstance(sock, CallFailed):
            return sock.refused
        await sock.close()
        return False
