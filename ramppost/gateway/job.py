"""The state of a request while the gateway processes it."""

from __future__ import annotations

from typing import Final, NamedTuple

from ramppost.gateway.admit import Admitted
from ramppost.gateway.backlogs import BacklogEstimate
from ramppost.gateway.model import CallerRequest
from ramppost.policy.fingerprint import fingerprint, session_label
from ramppost.policy.suspects import part_key

MAX_LOGGED_PARTS: Final = 8


class BacklogSnapshot(NamedTuple):
    """Backlogs of engines for a model, and when they were queried (steady clock)."""

    model: str
    backlogs: dict[str, BacklogEstimate]
    taken_at: float


class Job:
    """A request with its attempts and deadline; times on the steady clock."""

    def __init__(self, req: CallerRequest, admitted: Admitted, read_at: float) -> None:
        self.req = req
        self.route = admitted.route
        self.workspace = admitted.workspace
        self.fingerprint = fingerprint(req.host, req.target, self.workspace_name, req.body)
        """Identifies all submissions of the same request, at any gateway."""
        self.suspect_parts = tuple(part_key(name) for name in dict.fromkeys(self.shared_parts))
        """What may crash upstreams besides the request itself (`ramppost.policy.suspects`)."""
        self.read_at = read_at
        self.deadline = read_at + min(req.deadline_s, admitted.route.timeout_s)
        self.attempts = 0
        """Number of upstreams that the request was sent to, including those that refused it."""
        self.upstream_ends = 0
        """Number of these upstreams that ended while they had the request."""
        self.upstream_ended_at = float("-inf")
        """When the last of these was found to have ended (steady clock)."""
        self.may_have_run = False
        """Whether an upstream was sent the request and has not reported that it did not run it."""
        self.tried_upstreams: set[str] = set()
        self.full_upstreams: set[str] = set()
        """Those of them that have refused the request because no slot was free."""
        self.backlog_snapshot: BacklogSnapshot | None = None
        """The last query of the engines that may run the request."""
        self.admission_decided = False
        """Whether admission control has admitted it."""
        self.raised = False
        """Whether admission control has admitted it as one of the most urgent, so that its class
        does not starve."""
        self.failed_versions: set[str] = set()
        """Versions of upstreams that returned an error status that was retried."""
        self.session_version = ""
        """The version that its session runs on; empty if it is not known or not decided."""
        self.session_was_known = False
        """Whether that was known before its own attempts."""
        self.session_is_new = False
        """Whether its session is known not to be in progress at any gateway."""
        self.session_begun = ""
        """The service at which it counts as a request under way of its session."""
        self.last_upstream = ""
        """The one that it was sent to last, by key."""
        self.failed_upstreams: set[str] = set()
        """Upstreams that answered it with an error of their own."""
        self.answerless_upstreams: set[str] = set()
        """Upstreams from which it has got no usable answer though they may have run it."""
        self.version_reason = ""
        """Why it was last placed on the version of its upstream, for the log."""
        self.policy = ""
        """Name of the policy that selected the models, empty if the caller named one."""
        self.cost = 0.0
        """Cost of its responses so far, including discarded ones, in the platform's prices."""
        self.confidence: float | None = None
        """Confidence of the forwarded response, 0 to 100."""
        self.head_at: float | None = None
        """When the head of that response arrived (steady clock)."""
        self.forwarded_events = 0
        """Number of stream events that were forwarded."""
        self.last_event_id = ""
        """Id of the last forwarded event, as set by the upstream."""

    @property
    def workspace_name(self) -> str:
        """Name of its workspace; empty if it carries no key."""
        return self.workspace.name if self.workspace is not None else ""

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Names of the parts of its prompt that other requests may hold: all but the last."""
        return self.req.prompt.part_names[:-1] if self.req.prompt is not None else ()

    @property
    def logged_parts(self) -> tuple[str, ...]:
        """The first of these, for log lines."""
        return self.shared_parts[:MAX_LOGGED_PARTS]

    @property
    def session_label(self) -> str:
        """Names its session in log lines; empty if it has none."""
        return session_label(self.req.session) if self.req.session else ""

    @property
    def workspace_rank(self) -> int:
        """Priority of its workspace, 0 being the most urgent, as for a request without a key."""
        return self.workspace.priority if self.workspace is not None else 0

    @property
    def counted_attempts(self) -> int:
        """Attempts that count against the limit of the route.

        Attempts whose upstream ended are not counted: the end says nothing about a request that ran
        beside others, and a request that ends upstreams is stopped separately.
        """
        return self.attempts - self.upstream_ends

    def left_s(self, now: float) -> float:
        """Seconds left until the deadline."""
        return self.deadline - now
