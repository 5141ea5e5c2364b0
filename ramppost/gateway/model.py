"""What a gateway knows of its deployment, in the project's own terms.

The adapter in `ramppost.platform` decodes these from the platform's documents; the
rest of the gateway reads nothing else.  All are immutable: a new configuration is a
new `RoutingTable`.
"""

from __future__ import annotations

from typing import Literal, NamedTuple

RetryMode = Literal["any", "never"]
"""Whether a request may be run again after its first run may have begun."""

RolloutState = Literal["ordered", "completed", "rolled_back"]


class Target(NamedTuple):
    """A service that takes a share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """How requests below a path of a host are served; times in seconds."""

    name: str
    host: str
    prefix: str
    streams: bool
    retry_mode: RetryMode
    resumable: bool
    timeout_s: float
    objective_s: float
    gap_objective_s: float
    attempts: int
    priority: int
    anonymous: bool
    models: tuple[str, ...]
    targets: tuple[Target, ...]
    home_regions: tuple[str, ...] = ()
    """Regions in which its requests may run; empty means any region."""


class Engine(NamedTuple):
    """What a service's model engines have in common."""

    slots: int
    memory_tokens: int
    tokens_per_event: int
    prices: dict[str, float]


class Service(NamedTuple):
    """A pool of upstreams; `engine` is None for a plain service.

    After a start or an idle period, an upstream warms up for about `warmup_s` seconds, during which
    it can handle `warmup_per_s` requests per second; 0 means that there is no such limit.
    """

    name: str
    max_connections: int
    engine: Engine | None
    warmup_per_s: float = 0.0
    warmup_s: float = 0.0


class Workspace(NamedTuple):
    """Whom a key belongs to; priority 0 goes first."""

    name: str
    priority: int
    home_regions: tuple[str, ...] = ()
    """Regions in which its requests may run; empty means any region."""


class CallerLimits(NamedTuple):
    """What a caller may send and how long it may take; seconds and bytes."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class RoutingTable(NamedTuple):
    """A configuration.  `routes` of a host are sorted by prefix, longest first.

    `keys` is None where the configuration has no workspaces, so that no key is asked for.
    """

    version: int
    revision: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    keys: dict[str, Workspace] | None
    limits: CallerLimits


class Upstream(NamedTuple):
    """A running upstream.  It may start again under its `id`, and then knows nothing of before;
    `born` is the time of its start, milliseconds since 1970, or 0 where it does not tell."""

    id: str
    addr: str
    service: str
    hall: str
    version: str
    slots: int
    draining: bool
    started_ms: int = 0

    @property
    def key(self) -> str:
        """Names this start of the upstream: what is known of it is kept by this.

        >>> Upstream("i-1", "10.0.0.1:80", "lm", "bole", "v1", 8, False, 7).key
        'i-1@7'
        """
        return f"{self.id}@{self.started_ms}" if self.started_ms else self.id


class RolloutOrder(NamedTuple):
    """An operator's order to move a service to a version, and what became of it."""

    service: str
    version: str
    duration_s: float
    state: RolloutState
    revision: int


class Prompt(NamedTuple):
    """What a caller told of a prompt: the parts it shares with others, and sizes in tokens."""

    parts: tuple[tuple[str, int], ...]
    tokens_in: int
    max_tokens_out: int

    @property
    def part_names(self) -> tuple[str, ...]:
        """Names of the parts, in order."""
        return tuple(name for name, _ in self.parts)


class CallerRequest(NamedTuple):
    """A request as it came in.  `headers` are those that travel on, as they were sent."""

    method: str
    target: str
    host: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    attempt_id: str
    key: str
    deadline_s: float
    session: str
    last_event_id: str
    any_model: bool
    prompt: Prompt | None
