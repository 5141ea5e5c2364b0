"""A gateway's side of callers' connections, without the rest of a gateway."""

from __future__ import annotations

from ramppost.gateway.caller_buffer import CallerBuffers
from ramppost.gateway.inbound import CallerConnections, Reply, Serve, ServerHooks
from ramppost.gateway.metrics import Metrics
from ramppost.gateway.model import CallerLimits, CallerRequest
from ramppost.wire.intake import Intake


async def _admit(req: CallerRequest, reply: Reply, read_at: float) -> bool:
    return False


def caller_connections(
    serve: Serve, limits: CallerLimits, closing: bool = False, intake: Intake | None = None
) -> tuple[CallerConnections, ServerHooks]:
    """Connections whose requests are all admitted, and served as given."""
    hooks = ServerHooks(lambda: limits, lambda: closing, serve, _admit, lambda refusal: b"")
    return CallerConnections(CallerBuffers(Metrics()), intake or Intake()), hooks
