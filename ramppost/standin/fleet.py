"""Builds the settings of a whole fleet on one machine: stand-ins, agents, entries.

`ramppost dev`, the examples, the tests and the benches all start from here.
Ports follow from `base_port`: the platform first, entries from 10 on, agents from
100 on, upstreams from 300 on.
"""

from __future__ import annotations

import copy
from typing import Final, NamedTuple

from ramppost.policy.permissions import token_hash
from ramppost.schema.config import (
    ConfigDoc,
    Model,
    Operator,
    Policy,
    SessionKey,
    WorkClass,
    Workspace,
)
from ramppost.schema.settings import (
    AgentSettings,
    Box,
    EngineStandinSettings,
    EntrySettings,
    InputLimits,
    Listen,
    Log,
    PlatformStandinSettings,
    ServiceStandinSettings,
    StandinModel,
    Upstream,
)

HOST: Final = "127.0.0.1"
ENTRY_PORTS: Final = 10
AGENT_PORTS: Final = 100
UPSTREAM_PORTS: Final = 300
OPERATOR_TOKEN: Final = "operator-dev"
READER_TOKEN: Final = "reader-dev"

ENGINE_MODELS: Final = [
    StandinModel(model="small", version="v1", quality=0.62, token_ms=4),
    StandinModel(model="large", version="v1", quality=0.9, token_ms=10),
    StandinModel(model="large", version="v2", quality=0.92, token_ms=10),
]

MESOB_CLASSES: Final = [
    WorkClass(name="cooking_question", priority=3, repeatable=True, deadline_ms=30000),
    WorkClass(name="page_lookup", priority=0, repeatable=True, deadline_ms=2000, objective_ms=600),
    WorkClass(name="suggestion", priority=0, repeatable=True, deadline_ms=1000, objective_ms=600),
    WorkClass(
        name="adaptation", priority=4, repeatable=False, deadline_ms=120000, objective_ms=5000
    ),
    WorkClass(name="tagging", priority=7, repeatable=True, deadline_ms=120000, objective_ms=30000),
]
TOLL_CLASSES: Final = [
    WorkClass(name="agent_reply", priority=2, repeatable=True, deadline_ms=30000, objective_ms=600),
    WorkClass(name="dispute", priority=0, repeatable=True, deadline_ms=30000, objective_ms=600),
    WorkClass(name="waiver", priority=0, repeatable=True, deadline_ms=30000, objective_ms=600),
    WorkClass(name="billing_note", priority=3, repeatable=False, deadline_ms=60000),
    WorkClass(name="plate_note", priority=5, repeatable=True, deadline_ms=60000),
    WorkClass(name="tag_check", priority=5, repeatable=True, deadline_ms=60000),
    WorkClass(
        name="night_batch", priority=8, repeatable=True, deadline_ms=600000, objective_ms=60000
    ),
]


class FleetPlan(NamedTuple):
    """What fleet to build."""

    base_port: int
    halls: list[str]
    entries: int
    engines: int
    services: int
    engine_pool: str
    service_name: str
    workspaces: list[str]
    classes: list[WorkClass]
    slots: int = 4
    engine_models: list[StandinModel] = ENGINE_MODELS
    log: Log = Log(form="json", level="INFO")


class Fleet(NamedTuple):
    """Settings of every process, by name, and the configuration document."""

    doc: ConfigDoc
    platform: PlatformStandinSettings
    entries: dict[str, EntrySettings]
    agents: dict[str, AgentSettings]
    engines: dict[str, EngineStandinSettings]
    services: dict[str, ServiceStandinSettings]


MESOB: Final = FleetPlan(
    base_port=20000,
    halls=["bole", "kirkos", "yeka", "lideta"],
    entries=3,
    engines=10,
    services=4,
    engine_pool="model-runner",
    service_name="site",
    workspaces=["mesob", "cooks", "volunteers", "sellers"],
    classes=MESOB_CLASSES,
)
TOLL: Final = FleetPlan(
    base_port=21000,
    halls=["quilicura", "maipu", "lampa", "pudahuel"],
    entries=3,
    engines=6,
    services=4,
    engine_pool="model-serving",
    service_name="clearing",
    workspaces=["toll", "disputes", "call-centre", "batch"],
    classes=TOLL_CLASSES,
)
DEV: Final = FleetPlan(
    base_port=8070,
    halls=["bole", "quilicura"],
    entries=1,
    engines=2,
    services=1,
    engine_pool="engines",
    service_name="site",
    workspaces=["mesob", "toll"],
    classes=[*MESOB_CLASSES, *(c for c in TOLL_CLASSES)],
    log=Log(form="human", level="INFO"),
)


def token_of(workspace: str) -> str:
    """The bearer token of a workspace of a built fleet."""
    return f"{workspace}-dev"


def build(plan: FleetPlan) -> Fleet:
    """Settings for a plan."""
    entries = {f"entry-{i + 1}": _entry(plan, i) for i in range(plan.entries)}
    agents = {f"agent-{i + 1}": _agent(plan, i) for i in range(plan.engines + plan.services)}
    engines = {f"engine-{i + 1}": _engine(plan, i) for i in range(plan.engines)}
    services = {f"service-{i + 1}": _service(plan, i) for i in range(plan.services)}
    return Fleet(config_doc(plan), _platform(plan), entries, agents, engines, services)


def _hall(plan: FleetPlan, index: int) -> str:
    return plan.halls[index % len(plan.halls)]


def _listen(plan: FleetPlan, offset: int) -> Listen:
    return Listen(host=HOST, port=plan.base_port + offset)


def _addr(plan: FleetPlan, offset: int) -> str:
    return f"{HOST}:{plan.base_port + offset}"


def _entry_addrs(plan: FleetPlan) -> list[str]:
    return [_addr(plan, ENTRY_PORTS + 2 * i + 1) for i in range(plan.entries)]


def _entry(plan: FleetPlan, index: int) -> EntrySettings:
    peers = [addr for i, addr in enumerate(_entry_addrs(plan)) if i != index]
    count = plan.engines + plan.services
    return EntrySettings(
        program="entry",
        name=f"entry-{index + 1}",
        hall=_hall(plan, index),
        listen=_listen(plan, ENTRY_PORTS + 2 * index),
        internal=_listen(plan, ENTRY_PORTS + 2 * index + 1),
        platform=_addr(plan, 0),
        peers=peers,
        agents=[_addr(plan, AGENT_PORTS + i) for i in range(count)],
        subset=16,
        log=plan.log,
        limits=InputLimits(
            header_bytes=65536, body_bytes=1048576, read_timeout_s=10, connections=2000
        ),
    )


def _agent(plan: FleetPlan, index: int) -> AgentSettings:
    engine = index < plan.engines
    addr = _addr(plan, UPSTREAM_PORTS + index)
    upstream = Upstream(kind="engine", addr=addr, slots=plan.slots, exact_stream=True)
    upstream["reserved"] = plan.slots // 4
    if not engine:
        upstream = Upstream(kind="service", addr=addr, slots=plan.slots, service=plan.service_name)
    return AgentSettings(
        program="agent",
        name=f"agent-{index + 1}",
        hall=_hall(plan, index),
        pool=_pool(plan, index),
        listen=_listen(plan, AGENT_PORTS + index),
        platform=_addr(plan, 0),
        peers=_entry_addrs(plan),
        upstream=upstream,
        log=plan.log,
    )


def _pool(plan: FleetPlan, index: int) -> str:
    return plan.engine_pool if index < plan.engines else plan.service_name


def _engine(plan: FleetPlan, index: int) -> EngineStandinSettings:
    return EngineStandinSettings(
        program="standin-engine",
        listen=_listen(plan, UPSTREAM_PORTS + index),
        slots=plan.slots,
        models=plan.engine_models,
        log=plan.log,
    )


def _service(plan: FleetPlan, index: int) -> ServiceStandinSettings:
    return ServiceStandinSettings(
        program="standin-service",
        listen=_listen(plan, UPSTREAM_PORTS + plan.engines + index),
        service=plan.service_name,
        work_ms=20,
        log=plan.log,
    )


def _platform(plan: FleetPlan) -> PlatformStandinSettings:
    boxes = [
        Box(name=f"entry-{i + 1}", addr=addr, hall=_hall(plan, i), role="entry", state="live")
        for i, addr in enumerate(_entry_addrs(plan))
    ]
    boxes += [
        Box(
            name=f"agent-{i + 1}",
            addr=_addr(plan, AGENT_PORTS + i),
            hall=_hall(plan, i),
            role="agent",
            pool=_pool(plan, i),
            state="live",
        )
        for i in range(plan.engines + plan.services)
    ]
    return PlatformStandinSettings(
        program="standin-platform",
        listen=_listen(plan, 0),
        seed="config.json",
        boxes=boxes,
        log=plan.log,
    )


def config_doc(plan: FleetPlan) -> ConfigDoc:
    """The first configuration document of a plan."""
    models = [
        Model(model="small", price=0.2, versions=[{"version": "v1", "state": "stable"}]),
        Model(
            model="large",
            price=2.0,
            versions=[{"version": "v1", "state": "stable"}, {"version": "v2", "state": "paused"}],
        ),
    ]
    policies = [
        Policy(name="best", kind="fixed", models=["large"]),
        Policy(name="cheapest", kind="fixed", models=["small"]),
        Policy(name="cascade", kind="cascade", models=["small", "large"], threshold=0.7),
        Policy(name="learned", kind="learned", models=["small", "large"], target=0.8),
    ]
    operators = [
        Operator(
            name="dev", token_hash=token_hash(OPERATOR_TOKEN), roles=["read", "plan", "confirm"]
        ),
        Operator(name="viewer", token_hash=token_hash(READER_TOKEN), roles=["read"]),
    ]
    return ConfigDoc(
        revision=1,
        plan_id="seed",
        changed_by="seed",
        models=models,
        classes=copy.deepcopy(plan.classes),
        workspaces=[_workspace(plan, name) for name in plan.workspaces],
        policies=policies,
        rollouts=[],
        session_keys=[SessionKey(id="k1", secret="00112233445566778899aabbccddeeff")],
        operators=operators,
    )


def _workspace(plan: FleetPlan, name: str) -> Workspace:
    return Workspace(
        name=name,
        token_hashes=[token_hash(token_of(name))],
        allow=["small", "large"],
        services=[plan.service_name],
        tokens_per_s=5000,
        burst_tokens=50000,
        concurrency=200,
        policies=[{"policy": "cascade", "share": 1.0}],
    )
