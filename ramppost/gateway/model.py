"""Domain model of a deployment as a gateway sees it.

`ramppost.platform` decodes these types from the platform's documents; the rest of the gateway does
not depend on the format of those documents.  All types are immutable: a new configuration is a new
`RoutingTable`.
"""

from __future__ import annotations

from typing import Final, Literal, NamedTuple

from ramppost.policy.position import Position

RetryMode = Literal["any", "never"]
"""Whether a request may be retried once an upstream may have started to run it."""

TYPICAL_LENGTH_RATIO: Final = 0.5
"""Typical length of an answer relative to its maximum, for callers that give no estimate."""

RolloutState = Literal["ordered", "completed", "rolled_back"]


class Target(NamedTuple):
    """A service that receives a weighted share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """How requests under a path prefix of a host are served; times in seconds."""

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
    """Properties shared by all model engines of a service."""

    slots: int
    memory_tokens: int
    tokens_per_event: int
    prices: dict[str, float]


class Service(NamedTuple):
    """A pool of upstreams; `engine` is None for a plain service.

    After a start or an idle period, an upstream warms up for about `warmup_s` seconds, during which
    it can handle `warmup_per_s` requests per second; 0 means no limit.
    """

    name: str
    max_connections: int
    engine: Engine | None
    warmup_per_s: float = 0.0
    warmup_s: float = 0.0


class Workspace(NamedTuple):
    """The owner of an API key; priority 0 is the most urgent."""

    name: str
    priority: int
    home_regions: tuple[str, ...] = ()
    """Regions in which its requests may run; empty means any region."""


class CallerLimits(NamedTuple):
    """Limits on the size and duration of a caller's request; bytes and seconds."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class RoutingTable(NamedTuple):
    """A decoded configuration.  The routes of each host are sorted by prefix, longest first.

    `keys` is None if the configuration has no workspaces; requests then need no API key.
    """

    version: int
    revision: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    keys: dict[str, Workspace] | None
    limits: CallerLimits
    era: int = 0
    """The era of the store in which it was read."""

    @property
    def position(self) -> Position:
        """The state of the object that it was decoded from."""
        return Position(self.era, True, self.revision)


class Upstream(NamedTuple):
    """A running upstream.  It may restart under the same `id` and then has lost all earlier state.

    `started_ms` is its start time in milliseconds since 1970, or 0 if it does not report one.
    """

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
        """Identifies this incarnation of the upstream; state about it is stored under this key.

        >>> Upstream("i-1", "10.0.0.1:80", "lm", "bole", "v1", 8, False, 7).key
        'i-1@7'
        """
        return f"{self.id}@{self.started_ms}" if self.started_ms else self.id

    def had_started(self, at: float) -> bool:
        """Whether it was running at a time of day (seconds since 1970).  A response of that time
        that names its id or address was then its own, and not its previous incarnation's."""
        return self.started_ms <= at * 1000


class RolloutOrder(NamedTuple):
    """An operator's order to move a service to a version, and its current state."""

    service: str
    version: str
    duration_s: float
    state: RolloutState
    revision: int
    era: int = 0
    """The era of the store in which it was read."""

    @property
    def position(self) -> Position:
        """The state of the object that it was decoded from."""
        return Position(self.era, True, self.revision)


class Prompt(NamedTuple):
    """A prompt as declared by its caller: parts that other prompts may share; sizes in tokens."""

    parts: tuple[tuple[str, int], ...]
    tokens_in: int
    max_tokens_out: int
    length_hint: int = 0
    """The caller's estimate of the tokens of the answer, often far off; 0 if it gives none."""

    @property
    def expected_tokens_out(self) -> float:
        """The number of tokens that the answer is expected to have."""
        hint = self.length_hint or self.max_tokens_out * TYPICAL_LENGTH_RATIO
        return min(hint, self.max_tokens_out)

    @property
    def part_names(self) -> tuple[str, ...]:
        """Names of the parts in prompt order."""
        return tuple(name for name, _ in self.parts)


class CallerRequest(NamedTuple):
    """A request as received.  `headers` are those to forward, unchanged."""

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
