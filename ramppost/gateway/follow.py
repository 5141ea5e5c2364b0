"""Replicates a kind of object from the store: list once, then watch.

`follow` runs until cancelled.  It lists again if the store no longer has the history or has come
back from an older copy, backs off while the store is unavailable, and logs once when the store is
lost and once when it is back.
While a relay feeds this gateway (`ramppost.gateway.subscribe`), the store is not queried.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final, NamedTuple

import curio
from loguru import logger

from ramppost import clock
from ramppost.gateway.replica import KindReplica
from ramppost.platform.store import (
    Changes,
    HistoryExpired,
    StoreClient,
    Unavailable,
    list_kind,
    watch,
)

FIRST_BACKOFF_S: Final = 0.1
MAX_BACKOFF_S: Final = 0.5
"""Calls to an unavailable store are billed too, and its return must be noticed soon."""
HELD_BACK_WATCH_TIMEOUT_S: Final = 0.2
"""Watch timeout while answers confirm nothing yet, since the store has just come back from an older
copy: what is needed is a later answer."""
START_FALLBACK_DELAY_S: Final = 1.0
"""Upper limit on the fallback delay of a kind that has not been listed yet, so that startup does
not wait longer for a feed."""
SHORT_WATCH_TIMEOUT_S: Final = 0.005
"""Watch timeout if the last confirmation is stale: then the response itself is what is needed,
not a change."""


class FollowConfig(NamedTuple):
    """How a kind is replicated.

    `watch_timeout_s` limits the duration of a watch; `pause_s` is the delay between two watches,
    so that changes close together cost one call.  `feed_valid_until` returns the time (steady
    clock) until which another gateway keeps this one up to date; the store is queried
    `fallback_delay_s` after that.  A kind with `probes_store` keeps calling an unavailable store;
    the others wait until one of its calls is answered.  `is_settled` returns whether those who had
    written what an older copy of the store lacks have had the time to write it again.
    """

    replica: KindReplica
    watch_timeout_s: float
    pause_s: float
    fallback_delay_s: float
    feed_valid_until: Callable[[], float]
    probes_store: bool
    is_settled: Callable[[], bool] = lambda: True


class StoreOutage:
    """Since when the store has been unavailable (steady clock), if it is."""

    def __init__(self) -> None:
        self.failing_since: float | None = None

    def call_failed(self, kind: str, reason: str) -> None:
        """Record a call without a usable response."""
        if self.failing_since is None:
            self.failing_since = clock.now()
            logger.warning("store lost: {}", reason, kind=kind)

    def call_answered(self, kind: str) -> None:
        """Record an answered call, which ends an outage."""
        if self.failing_since is None:
            return
        outage_s = clock.now() - self.failing_since
        self.failing_since = None
        logger.info("store regained after {:.1f} s", outage_s, kind=kind)


async def follow(client: StoreClient, config: FollowConfig, outage: StoreOutage) -> None:
    """List a kind, then watch it; list again if needed."""
    replica = config.replica
    backoff_s = FIRST_BACKOFF_S
    while True:
        await _wait_while_fed(config)
        failure = await _ask_store(client, config)
        if failure is None:
            outage.call_answered(replica.kind)
            backoff_s = FIRST_BACKOFF_S
            await curio.sleep(config.pause_s)
            continue
        outage.call_failed(replica.kind, failure.reason)
        await curio.sleep(backoff_s * random.uniform(0.5, 1.0))
        backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
        if not config.probes_store:
            await _wait_for_outage_end(config, outage)


async def _ask_store(client: StoreClient, config: FollowConfig) -> Unavailable | None:
    """Call the store once and apply the response; returns the failure if there was none."""
    if _needs_list(config, client.era):
        return await _list(client, config)
    return await _watch(client, config)


def _needs_list(config: FollowConfig, era: int) -> bool:
    """Whether a whole list is needed instead of the changes since the replica's position."""
    replica = config.replica
    if replica.needs_list or replica.position is None or replica.position.era < era:
        return True
    return not replica.position.settled and config.is_settled()


async def _list(client: StoreClient, config: FollowConfig) -> Unavailable | None:
    replica = config.replica
    sent_at = clock.now()
    snapshot = await list_kind(client, replica.kind)
    if isinstance(snapshot, Unavailable):
        return snapshot
    snapshot = snapshot._replace(settled=not replica.settles or config.is_settled())
    logger.info(
        "listed",
        kind=replica.kind,
        revision=snapshot.revision,
        era=snapshot.era,
        settled=snapshot.settled,
    )
    await replica.apply_snapshot(snapshot, sent_at)
    if replica.needs_list:
        return Unavailable(f"the store has an older state of {replica.kind} than this box", True)
    return None


async def _watch(client: StoreClient, config: FollowConfig) -> Unavailable | None:
    replica = config.replica
    since = replica.position
    assert since is not None
    sent_at = clock.now()
    result = await watch(
        client,
        replica.kind,
        since.revision,
        _watch_timeout_s(config, sent_at),
        replica.response_started,
    )
    replica.awaiting_response = isinstance(result, Changes)
    if isinstance(result, Unavailable):
        return result
    if isinstance(result, HistoryExpired):
        logger.info(
            "the store no longer has the changes since revision {}; listing again",
            since.revision,
            kind=replica.kind,
        )
        replica.needs_list = True
        return None
    if result.era == since.era:
        result = result._replace(settled=since.settled)
        await replica.apply_changes(since.revision, result, sent_at)
    replica.awaiting_response = _is_confirmation_old(config, clock.now())
    return None


def _watch_timeout_s(config: FollowConfig, now: float) -> float:
    """Timeout of the next watch.

    It is short if the last confirmation of an urgent kind is stale: a gateway that has lost its
    relay, or the store for a while, can't serve callers until the next confirmation.
    """
    if not _is_confirmation_old(config, now):
        return config.watch_timeout_s
    held_back = config.replica.held_back_at > float("-inf")
    short_s = HELD_BACK_WATCH_TIMEOUT_S if held_back else SHORT_WATCH_TIMEOUT_S
    return min(short_s, config.watch_timeout_s)


def _is_confirmation_old(config: FollowConfig, now: float) -> bool:
    """Whether an urgent kind was last confirmed longer ago than in normal operation."""
    age_s = now - config.replica.confirmed_at
    return config.replica.urgent and age_s > 2 * config.watch_timeout_s + config.pause_s


async def _wait_while_fed(config: FollowConfig) -> None:
    """Wait while the feed is valid and `fallback_delay_s` longer; less before the first list."""
    while True:
        fallback_delay_s = config.fallback_delay_s
        if config.replica.position is None:
            fallback_delay_s = min(fallback_delay_s, START_FALLBACK_DELAY_S)
        left_s = config.feed_valid_until() + fallback_delay_s - clock.now()
        if left_s <= 0:
            return
        await curio.sleep(left_s)


async def _wait_for_outage_end(config: FollowConfig, outage: StoreOutage) -> None:
    """Wait until the store has answered another call, or a feed is valid again."""
    while outage.failing_since is not None and config.feed_valid_until() < clock.now():
        await curio.sleep(FIRST_BACKOFF_S)
