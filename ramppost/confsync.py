"""Keeps a process at the newest configuration revision.

Three sources are used at once: a long-poll watch on the platform, a request to a random peer
every two seconds, and a fetch from any process whose message carries a higher revision.  A
revision is adopted only if it is higher than the one in force, so a delayed, stale or
unavailable source never causes a rollback.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final

import curio
from loguru import logger

from ramppost import clock
from ramppost.platform.objects import Client, Unavailable, watch
from ramppost.schema.config import ConfigDoc
from ramppost.wire.client import CallFailed, Pool
from ramppost.wire.client import fetch as http_fetch
from ramppost.wire.codec import BadMessage, decode, encode

CONFIG_PREFIX: Final = "config/"
CONFIG_KEY: Final = "config/current"
CONFIG_PATH: Final = "/x/config"
WATCH_S: Final = 25.0
BACKOFF_MIN_S: Final = 0.5
BACKOFF_MAX_S: Final = 3.0
PEER_PERIOD_S: Final = 2.0
PEER_TIMEOUT_S: Final = 1.0

AdoptListener = Callable[[ConfigDoc], None]


class ConfigState:
    """The configuration in force in this process."""

    def __init__(self) -> None:
        self.doc: ConfigDoc | None = None
        self.encoded = b""
        self.adopt_listeners: list[AdoptListener] = []
        self.last_contact_at = float("-inf")

    def record_contact(self) -> None:
        """Record that the platform or a peer has just reported its revision."""
        self.last_contact_at = clock.now()

    @property
    def rev(self) -> int:
        """The revision in force, or 0 before the first one."""
        return self.doc["revision"] if self.doc else 0

    def adopt(self, doc: ConfigDoc, source: str) -> bool:
        """Put a document in force if its revision is higher; return whether it was."""
        if doc["revision"] <= self.rev:
            return False
        self.doc = doc
        self.encoded = encode(doc)
        logger.info("configuration revision {} in force, from {}", doc["revision"], source)
        for listener in self.adopt_listeners:
            listener(doc)
        return True


async def watch_platform(state: ConfigState, client: Client) -> None:
    """Watch the platform for new revisions until cancelled."""
    last_version = 0
    backoff_s = BACKOFF_MIN_S
    while True:
        changes = await watch(client, CONFIG_PREFIX, last_version, WATCH_S)
        if isinstance(changes, Unavailable):
            await curio.sleep(backoff_s * random.uniform(0.5, 1.5))
            backoff_s = min(BACKOFF_MAX_S, backoff_s * 2)
            continue
        backoff_s = BACKOFF_MIN_S
        state.record_contact()
        for item in changes["items"]:
            last_version = max(last_version, item["version"])
            doc = decode(encode(item["value"]), ConfigDoc)
            if isinstance(doc, BadMessage):
                logger.error("configuration in the platform is malformed: {}", doc.reason)
            elif item["key"] == CONFIG_KEY:
                state.adopt(doc, "platform")


async def poll_peers(state: ConfigState, pool: Pool, peers: Callable[[], list[str]]) -> None:
    """Ask every peer until there is a first configuration, then a random one periodically."""
    while state.doc is None:
        for addr in peers():
            await fetch_config(state, pool, addr)
        await curio.sleep(BACKOFF_MIN_S if state.doc is None else 0)
    while True:
        await curio.sleep(PEER_PERIOD_S * random.uniform(0.75, 1.25))
        addrs = peers()
        if addrs:
            await fetch_config(state, pool, random.choice(addrs))


async def fetch_config(state: ConfigState, pool: Pool, addr: str) -> bool:
    """Fetch the configuration of a process if it is newer; return whether it was put in force."""
    path = f"{CONFIG_PATH}?rev={state.rev}"
    response = await http_fetch(pool, addr, "GET", path, timeout_s=PEER_TIMEOUT_S)
    if not isinstance(response, CallFailed) and response.status in (200, 304):
        state.record_contact()
    if isinstance(response, CallFailed) or response.status != 200:
        return False
    doc = decode(response.body, ConfigDoc)
    return not isinstance(doc, BadMessage) and state.adopt(doc, addr)
