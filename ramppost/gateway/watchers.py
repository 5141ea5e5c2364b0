"""Watches the store's configuration, upstreams, roll-outs, policies and other kinds."""

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
from ramppost.gateway.follow import FollowConfig, follow
from ramppost.gateway.model import RoutingTable, Upstream
from ramppost.gateway.policies import KEEP_POLICIES, POLICY_KIND
from ramppost.gateway.replica import Handlers, KindReplica
from ramppost.gateway.retention import (
    KEEP_CONFIG,
    KEEP_EVACUATIONS,
    KEEP_NOTHING,
    KEEP_ROLLOUTS,
    KEEP_UPSTREAMS,
    Retention,
)
from ramppost.gateway.rollout_duty import PROGRESS_KIND, progress_changed
from ramppost.gateway.state import Gateway
from ramppost.platform import names
from ramppost.platform.documents import rollout_order, routing_table, upstream, warmup_left_s
from ramppost.platform.store import Change, Snapshot, StoredObject
from ramppost.policy.relays import FOLLOWS_HALL_DEPTH
from ramppost.wire.codec import BadMessage

CONFIG_WATCH_BOUND_RATIO: Final = 0.2
"""Watch timeout as a part of the withdrawal bound.  An answered watch confirms the configuration
as of the time it was sent, so its timeout is the usual age of a confirmation.  At a fifth of the
bound, several watches in a row may fail."""
CONFIG_WATCH_APPLY_RATIO: Final = 0.4
"""Watch timeout as a part of `config_apply_ms`, the time in which a configuration must be in force.
In normal operation a confirmation is up to two timeouts old, and an unknown route or key is
refused for good only under a confirmation younger than `config_apply_ms`."""
UPSTREAM_WATCH_LEAVE_RATIO: Final = 0.4
"""Watch timeout as a part of `upstream_leave_ms`, the time in which an upstream's leaving must be
known.  A relay that lost the store or died is noticed within this timeout, `FEED_SLACK_S` and the
slack of a call; the remaining time is for querying the store instead."""
EVACUATION_WATCH_BOUND_RATIO: Final = 0.3
"""Watch timeout as a part of `evacuate_ms`.  A relay retries an unanswered watch after this plus
the slack of a call; the remaining time is for propagation to the gateways it feeds."""
FEED_SLACK_S: Final = 0.4
"""How much longer than the relay's own watch timeout a gateway waits for the relay's next
confirmation: a slow store answers in some tenths of a second."""
DEPTH_SLACK_LEAVE_RATIO: Final = 0.15
"""How much longer a gateway waits that is fed by another gateway of its hall, as a part of
`upstream_leave_ms`: until that gateway has detected that its relay is silent (0.2 s) and has
received an answer from the store instead.  All these waits together leave an eighth of
`upstream_leave_ms`."""
SLOW_WATCH_TIMEOUT_S: Final = 15.0
"""Watch timeout for kinds that gateways write: a watch returns at once if there is a change."""
ROLLOUT_WATCH_TIMEOUT_S: Final = 6.0
"""Roll-out orders last many seconds, and a gateway also judges versions by itself."""
FALLBACK_DELAY_S: Final = 3.0
"""How long after the last valid feed the store is queried for kinds that gateways write."""
UPSTREAM_WATCH_PAUSE_S: Final = 0.25
"""Delay between two watches of upstreams, since many upstreams change together."""
SWEEP_INTERVAL_S: Final = 0.2


def feed_wait_s(gw: Gateway) -> float:
    """Time within which a gateway that keeps up with the store has a later confirmation to send."""
    return _upstream_watch_timeout_s(gw) + FEED_SLACK_S + _depth_slack_s(gw)


def stale_after_s(gw: Gateway) -> float:
    """Highest age of a confirmation at a gateway that keeps up with the store: a confirmation is
    dated by when its watch was sent, and is the latest until the next watch has ended."""
    return 2 * _upstream_watch_timeout_s(gw) + FEED_SLACK_S + _depth_slack_s(gw)


def _depth_slack_s(gw: Gateway) -> float:
    follows_hall = gw.peers.depth(clock.now()) == FOLLOWS_HALL_DEPTH
    leave_s = gw.cfg["timing"]["upstream_leave_ms"] / 1000
    return DEPTH_SLACK_LEAVE_RATIO * leave_s if follows_hall else 0.0


def _config_watch_timeout_s(gw: Gateway) -> float:
    apply_s = gw.cfg["timing"]["config_apply_ms"] / 1000
    return min(
        CONFIG_WATCH_BOUND_RATIO * gw.freshness.max_age_s,
        CONFIG_WATCH_APPLY_RATIO * apply_s,
        _upstream_watch_timeout_s(gw),
    )


def _upstream_watch_timeout_s(gw: Gateway) -> float:
    return UPSTREAM_WATCH_LEAVE_RATIO * gw.cfg["timing"]["upstream_leave_ms"] / 1000


def _evacuation_watch_timeout_s(gw: Gateway) -> float:
    return EVACUATION_WATCH_BOUND_RATIO * gw.cfg["timing"].get("evacuate_ms", 0) / 1000


async def start_watchers(gw: Gateway) -> None:
    """Start the watch tasks, which end with the process."""
    config = Handlers(
        lambda snapshot: apply_config_snapshot(gw, snapshot),
        lambda change: _apply_config_change(gw, change),
        lambda at: confirm_config(gw, at),
        lambda asked_at: _may_confirm_config(gw, asked_at),
    )
    upstreams = Handlers(
        lambda snapshot: apply_upstream_snapshot(gw, snapshot),
        lambda change: apply_upstream_change(gw, change),
        _ignore_confirmation,
    )
    rollouts = Handlers(
        lambda snapshot: _apply_rollout_snapshot(gw, snapshot),
        lambda change: _apply_rollout_change(gw, change),
        _ignore_confirmation,
    )
    progress = Handlers(
        lambda snapshot: _apply_progress_snapshot(gw, snapshot),
        lambda change: progress_changed(gw, change.obj),
        _ignore_confirmation,
    )
    policies = Handlers(
        lambda snapshot: _apply_policy_snapshot(gw, snapshot),
        lambda change: _apply_policy_change(gw, change),
        _ignore_confirmation,
    )
    await watch_kind(
        gw,
        names.CONFIG_KIND,
        config,
        _config_watch_timeout_s(gw),
        0.0,
        urgent=True,
        retention=KEEP_CONFIG,
    )
    await watch_kind(
        gw,
        names.UPSTREAM_KIND,
        upstreams,
        _upstream_watch_timeout_s(gw),
        0.0,
        urgent=True,
        retention=KEEP_UPSTREAMS,
    )
    await watch_kind(
        gw,
        names.ROLLOUT_KIND,
        rollouts,
        ROLLOUT_WATCH_TIMEOUT_S,
        0.0,
        retention=KEEP_ROLLOUTS,
    )
    await watch_kind(gw, PROGRESS_KIND, progress, SLOW_WATCH_TIMEOUT_S, FALLBACK_DELAY_S)
    await watch_kind(
        gw,
        POLICY_KIND,
        policies,
        SLOW_WATCH_TIMEOUT_S,
        FALLBACK_DELAY_S,
        retention=KEEP_POLICIES,
    )
    fatal = Handlers(
        lambda snapshot: fatal_listed(gw, snapshot),
        lambda change: fatal_changed(gw, change),
        _ignore_confirmation,
    )
    await watch_kind(gw, FATAL_KIND, fatal, SLOW_WATCH_TIMEOUT_S, FALLBACK_DELAY_S)
    if evacuations_enabled(gw):
        evacuations = Handlers(
            lambda snapshot: evacuations_listed(gw, snapshot),
            lambda change: evacuation_changed(gw, change),
            _ignore_confirmation,
        )
        await watch_kind(
            gw,
            names.EVACUATION_KIND,
            evacuations,
            _evacuation_watch_timeout_s(gw),
            0.0,
            retention=KEEP_EVACUATIONS,
        )
    await curio.spawn(_sweep, gw, daemon=True)


async def watch_kind(
    gw: Gateway,
    kind: str,
    handlers: Handlers,
    watch_timeout_s: float,
    fallback_delay_s: float,
    urgent: bool = False,
    retention: Retention = KEEP_NOTHING,
) -> None:
    """Start to replicate a kind."""
    replica = KindReplica(kind, handlers, gw.updates, urgent, retention)
    gw.replicas[kind] = replica
    follow_config = FollowConfig(
        replica,
        watch_timeout_s,
        UPSTREAM_WATCH_PAUSE_S if kind == names.UPSTREAM_KIND else 0.0,
        fallback_delay_s,
        lambda: gw.feed_valid_until,
        probes_store=kind == names.CONFIG_KIND,
        is_settled=gw.store_returns.is_settled,
    )
    await curio.spawn(follow, gw.store, follow_config, gw.store_outage, daemon=True)


def _ignore_confirmation(confirmed_at: float) -> None:
    """Handler for kinds where nothing depends on the age of the confirmation."""


def apply_config_snapshot(gw: Gateway, snapshot: Snapshot) -> None:
    for obj in snapshot.objects:
        apply_config(gw, obj)


def _may_confirm_config(gw: Gateway, asked_at: float | None) -> bool:
    """Whether what the store was asked for then can show a configuration to be the newest.

    After its return it may hold an older one than it has acknowledged, until the operator has
    written the newest again.  A gateway that sends a state has looked at that itself.
    """
    if gw.replicas[names.CONFIG_KIND].keeps_earlier_objects:
        return False
    return asked_at is None or gw.store_returns.confirms(asked_at)


def confirm_config(gw: Gateway, sent_at: float) -> None:
    """Confirm the configuration as of `sent_at` if the newest one received is in force."""
    if gw.table is not None and gw.table.position >= gw.config_seen:
        gw.freshness.confirm(sent_at)


def apply_config(gw: Gateway, obj: StoredObject) -> None:
    """Put a configuration in force unless the current one is as new.

    Its version orders it: the store may come back from an older copy, with an older configuration
    at a state that is newer.
    """
    if obj.name != names.CONFIG_NAME:
        return
    table = routing_table(obj)
    if isinstance(table, BadMessage):
        gw.config_seen = max(gw.config_seen, obj.position)
        logger.error("invalid configuration: {}", table.reason, revision=obj.revision, era=obj.era)
        return
    if gw.table is not None and not _replaces(table, gw.table):
        if table.version != gw.table.version:
            _log_passed_over(table, gw.table)
        return
    gw.config_seen = max(gw.config_seen, obj.position)
    _log_config(gw.table, table)
    gw.table = table
    gw.policies.set_table(table)
    gw.metrics.gauges["ramppost_config_version"] = table.version


def _replaces(found: RoutingTable, current: RoutingTable) -> bool:
    """Whether a configuration is newer than the one in force, or the same at a newer state."""
    return (found.version, found.position) > (current.version, current.position)


def _log_passed_over(found: RoutingTable, current: RoutingTable) -> None:
    logger.info(
        "configuration passed over",
        version=found.version,
        revision=found.revision,
        era=found.era,
        in_force=current.version,
        in_force_revision=current.revision,
        in_force_era=current.era,
    )


def _apply_config_change(gw: Gateway, change: Change) -> None:
    if change.removed:
        logger.error("configuration was removed from the store; the last one stays in force")
    else:
        apply_config(gw, change.obj)


def _log_config(previous: RoutingTable | None, current: RoutingTable) -> None:
    logger.info(
        "configuration in force",
        version=current.version,
        before=previous.version if previous else None,
        revision=current.revision,
        era=current.era,
        routes=sum(len(routes) for routes in current.routes.values()),
        keys=len(current.keys) if current.keys is not None else None,
    )


def apply_upstream_snapshot(gw: Gateway, snapshot: Snapshot) -> None:
    now = clock.now()
    upstreams = [up for obj in snapshot.objects if (up := _decode_upstream(gw, obj)) is not None]
    returned = gw.members_listed and snapshot.era > gw.members_era
    gw.members.replace_all(upstreams, now, returned)
    gw.members_listed, gw.members_era = True, snapshot.era
    _forget_removed(gw)
    logger.info("upstreams listed", count=len(upstreams), revision=snapshot.revision)


def _decode_upstream(gw: Gateway, obj: StoredObject) -> Upstream | None:
    """Decode an upstream's entry; an upstream whose entry is invalid is no longer used."""
    decoded = upstream(obj)
    if isinstance(decoded, BadMessage):
        gw.unreadable.log_once(names.UPSTREAM_KIND, obj, decoded.reason)
        gw.members.drop(obj.name)
        return None
    gw.warmups.record_entry(decoded, warmup_left_s(obj), clock.now())
    return decoded


def _forget_removed(gw: Gateway) -> None:
    """Drop the state kept for upstreams that have left or restarted."""
    for removed in gw.members.take_ended_incarnations():
        gw.forget_upstream(removed.key)
    for started in gw.members.take_new_incarnations():
        gw.rests.record_start(started)


def apply_upstream_change(gw: Gateway, change: Change) -> None:
    now = clock.now()
    if change.removed:
        if gw.members.remove(change.obj.name, now):
            logger.info("upstream's entry gone", upstream=change.obj.name)
        _forget_removed(gw)
        return
    decoded = _decode_upstream(gw, change.obj)
    if decoded is not None and gw.members.put(decoded):
        logger.info(
            "upstream {}",
            "leaving" if decoded.draining else "there",
            upstream=decoded.id,
            service=decoded.service,
            version=decoded.version,
            addr=decoded.addr,
            born=decoded.started_ms,
        )
    if decoded is not None and decoded.draining:
        gw.connections.drop_upstream(decoded.key)
    _forget_removed(gw)


def _apply_rollout_snapshot(gw: Gateway, snapshot: Snapshot) -> None:
    services = {obj.name for obj in snapshot.objects}
    for running in gw.rollouts.all():
        if running.order.service not in services:
            _remove_rollout(gw, running.order.service)
    for obj in snapshot.objects:
        _apply_rollout(gw, obj)


def _apply_rollout_change(gw: Gateway, change: Change) -> None:
    if change.removed:
        _remove_rollout(gw, change.obj.name)
    else:
        _apply_rollout(gw, change.obj)


def _remove_rollout(gw: Gateway, service: str) -> None:
    gw.rollouts.remove(service)
    logger.info("roll-out removed", service=service)


def _apply_progress_snapshot(gw: Gateway, snapshot: Snapshot) -> None:
    gw.rollouts.forget_progress()
    for obj in snapshot.objects:
        progress_changed(gw, obj)


def _apply_policy_snapshot(gw: Gateway, snapshot: Snapshot) -> None:
    for obj in snapshot.objects:
        gw.policies.update(obj)


def _apply_policy_change(gw: Gateway, change: Change) -> None:
    if change.removed:
        logger.warning("policies were removed from the store; the last ones stay in force")
    else:
        gw.policies.update(change.obj)


def _apply_rollout(gw: Gateway, obj: StoredObject) -> None:
    order = rollout_order(obj)
    if isinstance(order, BadMessage):
        gw.unreadable.log_once(names.ROLLOUT_KIND, obj, order.reason)
        return
    gw.rollouts.update(order, clock.now())
    rollout = gw.rollouts.get(order.service)
    logger.info(
        "roll-out {}",
        rollout.order.state if rollout is not None else order.state,
        service=order.service,
        version=order.version,
        duration_s=order.duration_s,
        revision=order.revision,
    )


async def _sweep(gw: Gateway) -> None:
    """Periodically drop upstreams whose entries did not come back and close expired connections."""
    while True:
        await curio.sleep(SWEEP_INTERVAL_S)
        now = clock.now()
        for dropped in gw.members.drop_expired(now):
            logger.info("upstream dropped: its entry did not come back", upstream=dropped.id)
        _forget_removed(gw)
        gw.connections.close_expired(now)
