"""Tracks evacuated data halls, whose upstreams must not receive requests.

An evacuation stays in the store until the operator removes it.  The object is named after the
data hall and carries no other information, so it takes effect even if its spec can't be parsed.
While the store is unreachable, the last known evacuations remain in effect.

Requests already running on an upstream in the hall run to completion there.  An interrupted stream
is resumed in another hall.  If a service has no upstreams in any other hall, its requests are
refused as not run.
"""

from __future__ import annotations

from loguru import logger

from ramppost import clock
from ramppost.gateway.state import Gateway
from ramppost.platform.store import Change, Snapshot


def evacuations_enabled(gw: Gateway) -> bool:
    """Whether the settings enable evacuations."""
    return gw.cfg["timing"].get("evacuate_ms", 0) > 0


def evacuations_listed(gw: Gateway, snapshot: Snapshot) -> None:
    """Replace the known evacuations with those in the snapshot."""
    listed = {obj.name for obj in snapshot.objects}
    for hall in set(gw.evacuated_halls) - listed:
        _end_evacuation(gw, hall)
    for obj in snapshot.objects:
        _start_evacuation(gw, obj.name, obj.revision)
    gw.evacuations_known = True


def evacuation_changed(gw: Gateway, change: Change) -> None:
    """Apply an evacuation that was added, updated or removed."""
    if change.removed:
        _end_evacuation(gw, change.obj.name)
    else:
        _start_evacuation(gw, change.obj.name, change.obj.revision)


def _start_evacuation(gw: Gateway, hall: str, revision: int) -> None:
    if hall in gw.evacuated_halls:
        return
    gw.evacuated_halls[hall] = clock.now()
    _update_members(gw)
    affected = [upstream for upstream in gw.members.all() if upstream.hall == hall]
    logger.info(
        "data hall evacuation started",
        hall=hall,
        revision=revision,
        upstreams=len(affected),
        running=sum(gw.loads.in_flight(upstream.key).requests for upstream in affected),
    )


def _end_evacuation(gw: Gateway, hall: str) -> None:
    since = gw.evacuated_halls.pop(hall, None)
    if since is None:
        return
    _update_members(gw)
    now = clock.now()
    for upstream in gw.members.all():
        if upstream.hall == hall:
            gw.assume_warming_up(upstream, now)
    logger.info("data hall evacuation ended", hall=hall, evacuated_s=round(now - since, 3))


def _update_members(gw: Gateway) -> None:
    gw.members.set_evacuated_halls(frozenset(gw.evacuated_halls))
    gw.metrics.gauges["ramppost_halls_evacuated"] = len(gw.evacuated_halls)
