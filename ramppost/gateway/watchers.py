"""What a gateway follows in the store: configuration, upstreams, roll-outs."""

from __future__ import annotations

from typing import Final

import curio
from loguru import logger

from ramppost import clock
from ramppost.gateway.evacuations import (
    evacuation_changed,
    evacuations_enabled,
    evacuations_listed,
)
from ramppost.gateway.fatal_doc import FATAL_KIND, fatal_changed, fatal_listed
from ramppost.gateway.follow import Followed, Follower, Handlers, follow
from ramppost.gateway.model import RoutingTable, Upstream
from ramppost.gateway.policies import POLICY_KIND
from ramppost.gateway.rollout_duty import PROGRESS_KIND, progress_seen
from ramppost.gateway.state import Gateway
from ramppost.platform import names
from ramppost.platform.documents import rollout_order, routing_table, upstream, warmup_left_s
from ramppost.platform.store import Change, Snapshot, StoredObject
from ramppost.policy.relays import FOLLOWS_HALL_DEPTH
from ramppost.wire.codec import BadMessage

CONFIG_WAIT_OF_BOUND: Final = 0.2
"""Each answered watch confirms the configuration as of when it was sent, so its wait is how
old a confirmation usually grows: a fifth of the bound, so that several may fail in a row."""
CONFIG_WAIT_OF_APPLY: Final = 0.4
"""Of the time in which a configuration must be in force: a confirmation is up to two waits old
in calm times, and unknown routes and keys are refused for good only by one that is younger."""
UPSTREAM_WAIT_OF_BOUND: Final = 0.4
"""Part of the time in which an upstream's leaving must be known.  A relay that lost the store
or died is noticed within this, `FEED_SLACK_S` and the slack of a call; the rest is for asking
the store instead."""
EVACUATION_WAIT_OF_BOUND: Final = 0.3
"""Watch timeout as a part of `evacuate_ms`.  A relay retries an unanswered watch after this plus
the slack of a call; the remaining time is for propagation to the gateways it feeds."""
FEED_SLACK_S: Final = 0.4
"""How much longer than a relay's own watch a gateway waits for its next confirmation: a store
that is slow answers in some tenths of a second."""
DEPTH_SLACK_OF_BOUND: Final = 0.15
"""How much longer a gateway waits that is told by another of its hall, as a part of the time in
which an upstream's leaving must be known: until that one has found its relay silent (0.2 s) and
has been answered by the store instead.  All waits together leave an eighth of that time."""
SLOW_WAIT_S: Final = 15.0
"""For what other gateways write: a watch is answered at once where there is something."""
ROLLOUT_WAIT_S: Final = 6.0
"""Orders last many seconds, and a gateway also judges versions by itself."""
PATIENCE_S: Final = 3.0
"""What other gateways write is asked of the store only so long after a relay has helped."""
GATHER_S: Final = 0.25
"""Kept between two watches of upstreams: many change together."""
SWEEP_S: Final = 0.2


def feed_wait_s(gw: Gateway) -> float:
    """Within this, whoever keeps up with the store has a later confirmation to tell."""
    return _upstream_wait_s(gw) + FEED_SLACK_S + _depth_slack_s(gw)


def oldest_s(gw: Gateway) -> float:
    """How old a confirmation grows at one that keeps up: it is dated by when a watch was
    sent, and stands until the next watch has ended."""
    return 2 * _upstream_wait_s(gw) + FEED_SLACK_S + _depth_slack_s(gw)


def _depth_slack_s(gw: Gateway) -> float:
    behind_hall = gw.peers.depth(clock.now()) == FOLLOWS_HALL_DEPTH
    leave_s = gw.cfg["timing"]["upstream_leave_ms"] / 1000
    return DEPTH_SLACK_OF_BOUND * leave_s if behind_hall else 0.0


def _config_wait_s(gw: Gateway) -> float:
    apply_s = gw.cfg["timing"]["config_apply_ms"] / 1000
    return min(
        CONFIG_WAIT_OF_BOUND * gw.fresh.bound_s,
        CONFIG_WAIT_OF_APPLY * apply_s,
        _upstream_wait_s(gw),
    )


def _upstream_wait_s(gw: Gateway) -> float:
    return UPSTREAM_WAIT_OF_BOUND * gw.cfg["timing"]["upstream_leave_ms"] / 1000


def _evacuation_wait_s(gw: Gateway) -> float:
    return EVACUATION_WAIT_OF_BOUND * gw.cfg["timing"].get("evacuate_ms", 0) / 1000


async def start_watchers(gw: Gateway) -> None:
    """Start following; the tasks end with the process."""
    config = Handlers(
        lambda snapshot: config_listed(gw, snapshot),
        lambda change: _config_changed(gw, change),
        lambda at: confirmed(gw, at),
    )
    upstreams = Handlers(
        lambda snapshot: upstreams_listed(gw, snapshot),
        lambda change: upstream_changed(gw, change),
        _unused,
    )
    rollouts = Handlers(
        lambda snapshot: _rollouts_listed(gw, snapshot),
        lambda change: _rollout_changed(gw, change),
        _unused,
    )
    progress = Handlers(
        lambda snapshot: _progress_listed(gw, snapshot),
        lambda change: progress_seen(gw, change.obj),
        _unused,
    )
    policies = Handlers(
        lambda snapshot: _policies_listed(gw, snapshot),
        lambda change: _policies_changed(gw, change),
        _unused,
    )
    await watch_kind(gw, names.CONFIG_KIND, config, _config_wait_s(gw), 0.0, urgent=True)
    await watch_kind(gw, names.UPSTREAM_KIND, upstreams, _upstream_wait_s(gw), 0.0, urgent=True)
    await watch_kind(gw, names.ROLLOUT_KIND, rollouts, ROLLOUT_WAIT_S, 0.0)
    await watch_kind(gw, PROGRESS_KIND, progress, SLOW_WAIT_S, PATIENCE_S)
    await watch_kind(gw, POLICY_KIND, policies, SLOW_WAIT_S, PATIENCE_S)
    fatal = Handlers(
        lambda snapshot: fatal_listed(gw, snapshot),
        lambda change: fatal_changed(gw, change),
        _unused,
    )
    await watch_kind(gw, FATAL_KIND, fatal, SLOW_WAIT_S, PATIENCE_S)
    if evacuations_enabled(gw):
        evacuations = Handlers(
            lambda snapshot: evacuations_listed(gw, snapshot),
            lambda change: evacuation_changed(gw, change),
            _unused,
        )
        await watch_kind(gw, names.EVACUATION_KIND, evacuations, _evacuation_wait_s(gw), 0.0)
    await curio.spawn(_sweep, gw, daemon=True)


async def watch_kind(
    gw: Gateway,
    kind: str,
    handlers: Handlers,
    wait_s: float,
    patience_s: float,
    urgent: bool = False,
) -> None:
    """Follow a kind from now on."""
    followed = Followed(kind, handlers, gw.news, urgent)
    gw.followed[kind] = followed
    follower = Follower(
        followed,
        wait_s,
        GATHER_S if kind == names.UPSTREAM_KIND else 0.0,
        patience_s,
        lambda: gw.fed_until,
        probes=kind == names.CONFIG_KIND,
    )
    await curio.spawn(follow, gw.store, follower, gw.outage, daemon=True)


def _unused(at: float) -> None:
    """Nothing depends on how old this kind's confirmation is."""


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
    gw.policies.learn(table)
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
    now = clock.now()
    listed = [up for obj in snapshot.objects if (up := _upstream(gw, obj)) is not None]
    gw.members.replace_all(listed, now)
    gw.members_listed = True
    _forget_gone(gw)
    logger.info("upstreams listed", count=len(listed), revision=snapshot.revision)


def _upstream(gw: Gateway, obj: StoredObject) -> Upstream | None:
    """The upstream of an entry; one whose entry names none is not used any more."""
    found = upstream(obj)
    if isinstance(found, BadMessage):
        gw.unreadable.note(names.UPSTREAM_KIND, obj, found.reason)
        gw.members.drop(obj.name)
        return None
    gw.warmups.note_entry(found, warmup_left_s(obj), clock.now())
    return found


def _forget_gone(gw: Gateway) -> None:
    """Drop what is known of upstreams that have left or started again."""
    for gone in gw.members.take_gone():
        gw.forget(gone.key)


def upstream_changed(gw: Gateway, change: Change) -> None:
    now = clock.now()
    if change.removed:
        if gw.members.remove(change.obj.name, now):
            logger.info("upstream's entry gone", upstream=change.obj.name)
        _forget_gone(gw)
        return
    found = _upstream(gw, change.obj)
    if found is not None and gw.members.put(found):
        logger.info(
            "upstream {}",
            "leaving" if found.leaving else "there",
            upstream=found.id,
            service=found.service,
            version=found.version,
            addr=found.addr,
            born=found.born,
        )
    if found is not None and found.leaving:
        gw.links.forget(found.key)
    _forget_gone(gw)


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


def _policies_listed(gw: Gateway, snapshot: Snapshot) -> None:
    for obj in snapshot.objects:
        gw.policies.seen(obj)


def _policies_changed(gw: Gateway, change: Change) -> None:
    if change.removed:
        logger.warning("policies removed from the store; the last ones stay in force")
    else:
        gw.policies.seen(change.obj)


def _take_rollout(gw: Gateway, obj: StoredObject) -> None:
    order = rollout_order(obj)
    if isinstance(order, BadMessage):
        gw.unreadable.note(names.ROLLOUT_KIND, obj, order.reason)
        return
    gw.rollouts.seen(order, clock.now())
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
        now = clock.now()
        for gone in gw.members.sweep(now):
            logger.info("upstream dropped: its entry did not come back", upstream=gone.id)
        _forget_gone(gw)
        gw.links.close_expired(now)
