"""A request on its way through the gateway."""

from __future__ import annotations

from typing import NamedTuple

from ramppost.gateway.admit import Admitted
from ramppost.gateway.backlogs import BacklogEstimate
from ramppost.gateway.model import CallerRequest
from ramppost.policy.fingerprint import fingerprint


class BacklogSnapshot(NamedTuple):
    """What was told of engines for a model, and when (steady clock)."""

    model: str
    backlogs: dict[str, BacklogEstimate]
    taken_at: float


class Job:
    """A request, what has been tried for it, and until when; times on the steady clock."""

    def __init__(self, req: CallerRequest, admitted: Admitted, read_at: float) -> None:
        self.req = req
        self.route = admitted.route
        self.workspace = admitted.workspace
        caller = admitted.workspace.name if admitted.workspace is not None else ""
        self.fingerprint = fingerprint(req.host, req.target, caller, req.body)
        """What it has in common with its other tries, at any gateway."""
        self.read_at = read_at
        self.deadline = read_at + min(req.deadline_s, admitted.route.timeout_s)
        self.attempts = 0
        """Upstreams that it was sent to, those that refused it among them."""
        self.upstream_ends = 0
        """Those of them that ended while they had it."""
        self.may_have_run = False
        """Whether an upstream got it and did not say that it had not run it."""
        self.tried_upstreams: set[str] = set()
        self.backlog_snapshot: BacklogSnapshot | None = None
        """The last look at engines that may take it."""
        self.failed_versions: set[str] = set()
        """Versions of upstreams that answered with a failure which was tried again."""
        self.policy = ""
        """Name of the policy that chose its models, empty where the caller named one."""
        self.cost = 0.0
        """What its answers have cost so far, dropped ones too, in the platform's prices."""
        self.confidence: float | None = None
        """Of the answer that was passed on, 0 to 100."""
        self.head_at: float | None = None
        """When the head of that answer came (steady clock)."""
        self.forwarded_events = 0
        """Events of a stream that were passed on."""
        self.last_event_id = ""
        """Of the last event passed on, as the upstream gave it."""

    @property
    def counted_attempts(self) -> int:
        """Attempts that count against the route's: an upstream's end says nothing of a request
        that ran beside others, and one that ends upstreams is stopped by itself."""
        return self.attempts - self.upstream_ends

    def left_s(self, now: float) -> float:
        """Seconds until it has to be answered."""
        return self.deadline - now
