"""Decodes the platform's documents into the types of `ramppost.gateway.model`.

A document with a missing field or a field of the wrong type gives a `BadMessage` with the
path of the error; unknown fields are ignored.
"""

from __future__ import annotations

from typing import Annotated, Any, Final, Literal, NotRequired, TypedDict

import msgspec

from ramppost.gateway.model import (
    CallerLimits,
    Engine,
    RolloutOrder,
    RolloutState,
    Route,
    RoutingTable,
    Service,
    Target,
    Upstream,
    Workspace,
)
from ramppost.platform.store import StoredObject
from ramppost.wire.addr import is_address
from ramppost.wire.codec import BadMessage

STREAMING: Final = "streaming"
IDEMPOTENT: Final = "idempotent"
DRAINING: Final = "draining"
COMPLETED: Final = "completed"
ROLLED_BACK: Final = "rolled_back"

MAX_SLOTS: Final = 1_000_000
MAX_MS: Final = 10**15
"""Largest time in milliseconds, which no date of the next thousands of years exceeds."""

DEFAULT_LIMITS: Final = CallerLimits(16384, 4194304, 3.0, 15.0)


class _Split(TypedDict):
    service: str
    weight: float


class _Route(TypedDict):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float  # Objective: time to the response, or a stream's first event.
    max_attempts: int
    priority: NotRequired[int]
    allow_anonymous: NotRequired[bool]
    stream_resume: NotRequired[bool]
    gap_aim_ms: NotRequired[float]  # Objective for the longest pause between two events.
    sizes: NotRequired[list[str]]  # Models that may serve the route, the smallest first.
    service: NotRequired[str]
    traffic_split: NotRequired[list[_Split]]
    allowed_regions: NotRequired[list[str] | None]


class _Model(TypedDict):
    name: str
    cost: float


class _Engine(TypedDict):
    slots: int
    kv_capacity: int  # Capacity of an engine's KV cache, in tokens.
    stride: NotRequired[int]  # Tokens per event of a stream.
    models: NotRequired[list[_Model]]


class _Service(TypedDict):
    name: str
    max_conns: int
    engine: NotRequired[_Engine | None]
    cold_per_s: NotRequired[float]  # Requests per second that it can handle during warm-up.
    cold_start_s: NotRequired[float]  # Warm-up duration after a start.


class _Workspace(TypedDict):
    name: str
    api_keys: list[str]
    priority: NotRequired[int]
    allowed_regions: NotRequired[list[str] | None]


class _Limits(TypedDict):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Config(TypedDict):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: NotRequired[_Limits]
    tenants: NotRequired[list[_Workspace] | None]


_Name = Annotated[str, msgspec.Meta(min_length=1)]


class _Upstream(TypedDict):
    service: _Name
    addr: str
    zone: str
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    born: NotRequired[Annotated[int, msgspec.Meta(ge=0, le=MAX_MS)]]  # Start; ids may be reused.
    cold_left_ms: NotRequired[Annotated[float, msgspec.Meta(ge=0, le=MAX_MS)]]  # Warm-up left.


class _Rollout(TypedDict):
    service: str
    target_version: str
    duration_s: Annotated[float, msgspec.Meta(gt=0, le=MAX_MS // 1000)]


class _RolloutStatus(TypedDict):
    state: str
    target_version: NotRequired[str]  # Version of the order that this status belongs to.


def routing_table(obj: StoredObject) -> RoutingTable | BadMessage:
    """Decodes a configuration."""
    doc: _Config | BadMessage = _convert(obj.spec, _Config)
    if isinstance(doc, BadMessage):
        return doc
    by_host: dict[str, list[Route]] = {}
    for item in doc["routes"]:
        by_host.setdefault(item["host"], []).append(_decode_route(item))
    routes = {
        host: tuple(sorted(host_routes, key=lambda r: len(r.prefix), reverse=True))
        for host, host_routes in by_host.items()
    }
    services = {item["name"]: _decode_service(item) for item in doc["services"]}
    limits = _decode_limits(doc["limits"]) if "limits" in doc else DEFAULT_LIMITS
    return RoutingTable(
        doc["version"],
        obj.revision,
        routes,
        services,
        _workspaces_by_key(doc),
        limits,
        obj.era,
    )


def configuration_version(obj: StoredObject) -> int | None:
    """Returns the version of a configuration, of which nothing else is checked; None if invalid."""
    version = obj.spec.get("version") if isinstance(obj.spec, dict) else None
    return version if isinstance(version, int) else None


def upstream(obj: StoredObject) -> Upstream | BadMessage:
    """Decodes the entry that an upstream keeps in the store; the name of the entry is its id.

    An entry without a name or a valid address gives a `BadMessage`, because no connection to it
    could be attempted.
    """
    doc: _Upstream | BadMessage = _convert(obj.spec, _Upstream)
    if isinstance(doc, BadMessage):
        return doc
    if not obj.name or not is_address(doc["addr"]):
        return BadMessage(f"invalid upstream entry: name {obj.name!r}, address {doc['addr']!r}")
    return Upstream(
        obj.name,
        doc["addr"],
        doc["service"],
        doc["zone"],
        doc["version"],
        doc["slots"],
        doc["state"] == DRAINING,
        doc.get("born", 0),
    )


def warmup_left_s(obj: StoredObject) -> float:
    """Returns the remaining warm-up time in an upstream's entry; 0 if the entry is invalid."""
    doc: _Upstream | BadMessage = _convert(obj.spec, _Upstream)
    return 0.0 if isinstance(doc, BadMessage) else doc.get("cold_left_ms", 0.0) / 1000


def rollout_order(obj: StoredObject) -> RolloutOrder | BadMessage:
    """Decodes an order to roll out a version, with its current state.

    A status with another version belongs to the previous order, which this one has replaced, and
    is ignored: when it was applied to the new order, a bad version got 1,333 of 1,375 requests.
    """
    doc: _Rollout | BadMessage = _convert(obj.spec, _Rollout)
    if isinstance(doc, BadMessage):
        return doc
    state: RolloutState = "ordered"
    status: _RolloutStatus | BadMessage = _convert(obj.status or {"state": ""}, _RolloutStatus)
    if isinstance(status, BadMessage):
        return status
    if status.get("target_version", doc["target_version"]) != doc["target_version"]:
        state = "ordered"
    elif status["state"] == COMPLETED:
        state = "completed"
    elif status["state"] == ROLLED_BACK:
        state = "rolled_back"
    return RolloutOrder(
        doc["service"], doc["target_version"], doc["duration_s"], state, obj.revision, obj.era
    )


def rollout_status(order: RolloutOrder, completed: bool) -> dict[str, str]:
    """Returns the status to store when an order has ended."""
    state = COMPLETED if completed else ROLLED_BACK
    return {"state": state, "target_version": order.version}


def _convert(value: Any, kind: type[Any]) -> Any:
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as exc:
        return BadMessage(str(exc))


def _decode_route(item: _Route) -> Route:
    streams = item["kind"] == STREAMING
    resumable = streams and item.get("stream_resume", False)
    objective_s = item["target_latency_ms"] / 1000
    gap_ms = item.get("gap_aim_ms")
    split = item.get("traffic_split") or [_Split(service=item.get("service", ""), weight=1)]
    return Route(
        name=item["name"],
        host=item["host"],
        prefix=item["path_prefix"],
        streams=streams,
        retry_mode="any" if item["kind"] == IDEMPOTENT or resumable else "never",
        resumable=resumable,
        timeout_s=item["timeout_ms"] / 1000,
        objective_s=objective_s,
        gap_objective_s=gap_ms / 1000 if gap_ms else objective_s,
        attempts=max(1, item["max_attempts"]),
        priority=item.get("priority", 0),
        anonymous=item.get("allow_anonymous", False),
        models=tuple(item.get("sizes") or ()),
        targets=tuple(Target(part["service"], part["weight"]) for part in split),
        home_regions=tuple(item.get("allowed_regions") or ()),
    )


def _decode_service(item: _Service) -> Service:
    engine = item.get("engine")
    warmup = (item.get("cold_per_s", 0.0), item.get("cold_start_s", 0.0))
    if engine is None:
        return Service(item["name"], item["max_conns"], None, *warmup)
    cost_by_model = {model["name"]: model["cost"] for model in engine.get("models", [])}
    decoded_engine = Engine(
        engine["slots"], engine["kv_capacity"], engine.get("stride", 1), cost_by_model
    )
    return Service(item["name"], item["max_conns"], decoded_engine, *warmup)


def _decode_limits(item: _Limits) -> CallerLimits:
    return CallerLimits(
        item["max_header_bytes"],
        item["max_body_bytes"],
        item["header_timeout_ms"] / 1000,
        item["idle_timeout_ms"] / 1000,
    )


def _workspaces_by_key(doc: _Config) -> dict[str, Workspace] | None:
    """Returns the workspaces by API key; None if the configuration has no list of workspaces."""
    workspaces = doc.get("tenants")
    if workspaces is None:
        return None
    return {
        key: Workspace(
            item["name"], item.get("priority", 0), tuple(item.get("allowed_regions") or ())
        )
        for item in workspaces
        for key in item["api_keys"]
    }
