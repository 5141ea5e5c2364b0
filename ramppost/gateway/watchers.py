"""What a gateway follows in the store: configuration, upstreams, roll-outs."""

from __future__ import annotations

import time
from typing import Final

import curio
from loguru import logger

from ramppost.gateway.follow import Follower, follow
from ramppost.gateway.model import RoutingTable, Upstream
from ramppost.gateway.rollout_duty import PROGRESS_KIND, progress_seen
from ramppost.gateway.state import Gateway
from ramppost.platform import names
from ramppost.platform.documents import rollout_order, routing_table, upstream
from ramppost.platform.store import Change, Snapshot, StoredObject
from ramppost.wire.codec import BadMessage

CONFIG_WAIT_OF_BOUND: Final = 0.2
"""Each answered watch confirms the configuration as of when it was sent, so its wait is how
old a confirmation usually grows: a fifth of the bound, so that several may fail in a row."""
UPSTREAM_WAIT_S: Final = 2.5
"""A watch that died unseen is noticed within this and its slack, which is less than the time
after an outage in which upstreams that leave must be known."""
LONG_WAIT_S: Final = 15.0
"""For gateways that are no scouts: they are told by others when a watch has missed something."""
ROLLOUT_WAIT_S: Final = 6.0
"""Orders last many seconds, and a gateway also judges versions by itself."""
ASK_SELF_FROM: Final = 0.6
"""Part of the bound on withdrawals from which a gateway whose scouts don't help asks the store."""
SWEEP_S: Final = 0.2


async def start_watchers(gw: Gateway) -> None:
    """Start following; the tasks end with the process."""
    followers = (
        Follower(
            names.CONFIG_KIND,
            lambda: _wait_s(gw, CONFIG_WAIT_OF_BOUND * gw.fresh.bound_s),
            lambda snapshot: config_listed(gw, snapshot),
            lambda change: _config_changed(gw, change),
            lambda sent_at: confirmed(gw, sent_at),
            probes=True,
            wake=gw.wake_config,
        ),
        Follower(
            names.UPSTREAM_KIND,
            lambda: _wait_s(gw, UPSTREAM_WAIT_S),
            lambda snapshot: upstreams_listed(gw, snapshot),
            lambda change: upstream_changed(gw, change),
            lambda sent_at: None,
            probes=False,
            wake=gw.wake_upstreams,
        ),
        Follower(
            names.ROLLOUT_KIND,
            lambda: ROLLOUT_WAIT_S,
            lambda snapshot: _rollouts_listed(gw, snapshot),
            lambda change: _rollout_changed(gw, change),
            lambda sent_at: None,
            probes=False,
            wake=curio.Event(),
        ),
        Follower(
            PROGRESS_KIND,
            lambda: LONG_WAIT_S,
            lambda snapshot: _progress_listed(gw, snapshot),
            lambda change: progress_seen(gw, change.obj),
            lambda sent_at: None,
            probes=False,
            wake=curio.Event(),
        ),
    )
    for follower in followers:
        await curio.spawn(follow, gw.store, follower, gw.outage, daemon=True)
    await curio.spawn(_sweep, gw, daemon=True)


def _wait_s(gw: Gateway, scouting_s: float) -> float:
    """How long a watch waits: shortly at a scout, and where no scout has helped; else long."""
    now = time.monotonic()
    alone = gw.fresh.age(now) >= ASK_SELF_FROM * gw.fresh.bound_s
    return scouting_s if alone or gw.roll.is_scout(now) else LONG_WAIT_S


def config_listed(gw: Gateway, snapshot: Snapshot) -> None:
    for obj in snapshot.objects:
        take_config(gw, obj)


def confirmed(gw: Gateway, sent_at: float) -> None:
    """The store was asked at that time, and what it answered is in force."""
    if gw.table is not None and gw.table.revision >= gw.config_seen:
        gw.fresh.confirm(sent_at)


def take_config(gw: Gateway, obj: StoredObject) -> None:
    """Put a configuration in force unless a newer one is."""
    if obj.name != names.CONFIG_NAME:
        return
    gw.config_seen = max(gw.config_seen, obj.revision)
    table = routing_table(obj)
    if isinstance(table, BadMessage):
        logger.error("configuration not understood: {}", table.reason, revision=obj.revision)
        return
    if gw.table is not None and table.revision <= gw.table.revision:
        return
    _log_config(gw.table, table)
    gw.table = table
    gw.config_obj = obj
    gw.metrics.gauges["ramppost_config_version"] = table.version


def _config_changed(gw: Gateway, change: Change) -> None:
    if change.removed:
        logger.error("configuration removed from the store; the last one stays in force")
    else:
        take_config(gw, change.obj)


def _log_config(old: RoutingTable | None, new: RoutingTable) -> None:
    logger.info(
        "configuration in force",
        version=new.version,
        before=old.version if old else None,
        revision=new.revision,
        routes=sum(len(routes) for routes in new.routes.values()),
        keys=len(new.keys) if new.keys is not None else None,
    )


def upstreams_listed(gw: Gateway, snapshot: Snapshot) -> None:
    listed = [up for obj in snapshot.objects if (up := _upstream(obj)) is not None]
    now = time.monotonic()
    gw.members.replace_all(listed, now)
    gw.members_listed = True
    gw.upstreams_revision = max([gw.upstreams_revision, *(o.revision for o in snapshot.objects)])
    logger.info("upstreams listed", count=len(listed), revision=snapshot.revision)


def _upstream(obj: StoredObject) -> Upstream | None:
    found = upstream(obj)
    if isinstance(found, BadMessage):
        logger.error("upstream's entry not understood: {}", found.reason, upstream=obj.name)
        return None
    return found


def upstream_changed(gw: Gateway, change: Change) -> None:
    now = time.monotonic()
    gw.upstreams_revision = max(gw.upstreams_revision, change.obj.revision)
    if change.removed:
        if gw.members.remove(change.obj.name, now):
            logger.info("upstream's entry gone", upstream=change.obj.name)
        if change.obj.name not in gw.members:
            gw.forget(change.obj.name)
        return
    found = _upstream(change.obj)
    if found is not None and gw.members.put(found):
        logger.info(
            "upstream {}",
            "leaving" if found.leaving else "there",
            upstream=found.id,
            service=found.service,
            version=found.version,
            addr=found.addr,
        )
    if found is not None and found.leaving:
        gw.links.forget(found.id)


def _rollouts_listed(gw: Gateway, snapshot: Snapshot) -> None:
    listed = {obj.name for obj in snapshot.objects}
    for running in gw.rollouts.all():
        if running.order.service not in listed:
            gw.rollouts.removed(running.order.service)
    for obj in snapshot.objects:
        _take_rollout(gw, obj)


def _rollout_changed(gw: Gateway, change: Change) -> None:
    if change.removed:
        gw.rollouts.removed(change.obj.name)
    else:
        _take_rollout(gw, change.obj)


def _progress_listed(gw: Gateway, snapshot: Snapshot) -> None:
    for obj in snapshot.objects:
        progress_seen(gw, obj)


def _take_rollout(gw: Gateway, obj: StoredObject) -> None:
    order = rollout_order(obj)
    if isinstance(order, BadMessage):
        logger.error("roll-out not understood: {}", order.reason, service=obj.name)
        return
    gw.rollouts.seen(order, time.monotonic())
    logger.info(
        "roll-out {}",
        order.state,
        service=order.service,
        version=order.version,
        duration_s=order.duration_s,
        revision=order.revision,
    )


async def _sweep(gw: Gateway) -> None:
    """Drop what has not come back, close idle connections."""
    while True:
        await curio.sleep(SWEEP_S)
        now = time.monotonic()
        for gone in gw.members.sweep(now):
            logger.info("upstream dropped: its entry did not come back", upstream=gone.id)
            gw.forget(gone.id)
        gw.links.close_expired(now)
