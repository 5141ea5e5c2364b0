"""Decodes the platform's documents into the types of `ramppost.gateway.model`.

A document that lacks a field or has one of another type gives `BadMessage` with the
path of the fault; unknown fields are passed over.
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
    target_latency_ms: float  # The objective: time to the answer, or to a stream's first event.
    max_attempts: int
    priority: NotRequired[int]
    allow_anonymous: NotRequired[bool]
    stream_resume: NotRequired[bool]
    gap_aim_ms: NotRequired[float]  # The longest pause between events that is still on time.
    sizes: NotRequired[list[str]]  # Models that may answer, the smallest first.
    service: NotRequired[str]
    traffic_split: NotRequired[list[_Split]]
    allowed_regions: NotRequired[list[str] | None]


class _Model(TypedDict):
    name: str
    cost: float


class _Engine(TypedDict):
    slots: int
    kv_capacity: int  # Tokens that fit into an engine's memory.
    stride: NotRequired[int]  # Tokens in one event of a stream.
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
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: Literal["ready", "draining"]
    born: NotRequired[Annotated[int, msgspec.Meta(ge=0)]]  # Its start; the id may be had again.
    cold_left_ms: NotRequired[Annotated[float, msgspec.Meta(ge=0)]]  # Remaining warm-up time.


class _Rollout(TypedDict):
    service: str
    target_version: str
    duration_s: float


class _RolloutStatus(TypedDict):
    state: str
    target_version: NotRequired[str]  # The version whose order ended so; the next may stand beside.


def routing_table(obj: StoredObject) -> RoutingTable | BadMessage:
    """A configuration."""
    doc: _Config | BadMessage = _convert(obj.spec, _Config)
    if isinstance(doc, BadMessage):
        return doc
    by_host: dict[str, list[Route]] = {}
    for item in doc["routes"]:
        by_host.setdefault(item["host"], []).append(_route(item))
    routes = {
        host: tuple(sorted(found, key=lambda r: len(r.prefix), reverse=True))
        for host, found in by_host.items()
    }
    services = {item["name"]: _service(item) for item in doc["services"]}
    limits = _limits(doc["limits"]) if "limits" in doc else DEFAULT_LIMITS
    return RoutingTable(doc["version"], obj.revision, routes, services, _keys(doc), limits)


def upstream(obj: StoredObject) -> Upstream | BadMessage:
    """An upstream's own entry in the store; its name there is its id.

    One that is out of range names no upstream: a connection to it could not even be tried.
    """
    doc: _Upstream | BadMessage = _convert(obj.spec, _Upstream)
    if isinstance(doc, BadMessage):
        return doc
    if not obj.name or not is_address(doc["addr"]):
        return BadMessage(f"no upstream: name {obj.name!r}, address {doc['addr']!r}")
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
    """Remaining warm-up time that an upstream's entry reports; 0 if the entry is invalid."""
    doc: _Upstream | BadMessage = _convert(obj.spec, _Upstream)
    return 0.0 if isinstance(doc, BadMessage) else doc.get("cold_left_ms", 0.0) / 1000


def rollout_order(obj: StoredObject) -> RolloutOrder | BadMessage:
    """An order to roll a version out, with its state so far.

    A status of another version is that of the order before, over which this one was written:
    taken for this one's, it gave a bad version 1,333 of 1,375 requests.
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
        doc["service"], doc["target_version"], doc["duration_s"], state, obj.revision
    )


def rollout_status(order: RolloutOrder, completed: bool) -> dict[str, str]:
    """The status that ends an order."""
    state = COMPLETED if completed else ROLLED_BACK
    return {"state": state, "target_version": order.version}


def _convert(value: Any, kind: type[Any]) -> Any:
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as exc:
        return BadMessage(str(exc))


def _route(item: _Route) -> Route:
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


def _service(item: _Service) -> Service:
    engine = item.get("engine")
    warmup = (item.get("cold_per_s", 0.0), item.get("cold_start_s", 0.0))
    if engine is None:
        return Service(item["name"], item["max_conns"], None, *warmup)
    prices = {model["name"]: model["cost"] for model in engine.get("models", [])}
    common = Engine(engine["slots"], engine["kv_capacity"], engine.get("stride", 1), prices)
    return Service(item["name"], item["max_conns"], common, *warmup)


def _limits(item: _Limits) -> CallerLimits:
    return CallerLimits(
        item["max_header_bytes"],
        item["max_body_bytes"],
        item["header_timeout_ms"] / 1000,
        item["idle_timeout_ms"] / 1000,
    )


def _keys(doc: _Config) -> dict[str, Workspace] | None:
    """Workspaces by key; None where the configuration names no workspaces at all."""
    found = doc.get("tenants")
    if found is None:
        return None
    return {
        key: Workspace(
            item["name"], item.get("priority", 0), tuple(item.get("allowed_regions") or ())
        )
        for item in found
        for key in item["api_keys"]
    }
