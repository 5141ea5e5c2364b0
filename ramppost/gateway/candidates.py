"""Finds the upstreams that may be sent a request: by region, version, earlier attempts and limits.

`ramppost.gateway.pick` selects among them.
"""

from __future__ import annotations

from typing import Final

from ramppost.gateway.job import Job
from ramppost.gateway.model import Upstream
from ramppost.gateway.rollouts import PlacedRequest
from ramppost.gateway.send_limits import least_wait_s, within_limits
from ramppost.gateway.state import Gateway

MAX_FAILED_UPSTREAMS: Final = 2
"""Upstreams of a version that may answer a request with errors before its session, which is not
known before it, goes to another version."""


def candidates(gw: Gateway, job: Job, service_name: str, now: float) -> list[Upstream]:
    """Suitable upstreams, except those that may not be sent more requests now."""
    suitable = _suitable(gw, job, service_name, now)
    service = gw.table.services.get(service_name) if gw.table is not None else None
    return suitable if service is None else within_limits(gw, service, suitable, now)


def send_wait_s(gw: Gateway, job: Job, service_name: str, now: float) -> float | None:
    """Seconds until a suitable upstream may be sent a request under the limits that apply to it.

    Infinite if this gateway has no share of any of them, None if no upstream is suitable.
    """
    suitable = _suitable(gw, job, service_name, now)
    service = gw.table.services.get(service_name) if gw.table is not None else None
    if service is None or not suitable:
        return None
    return least_wait_s(gw, service, suitable, now)


def any_send_wait_s(gw: Gateway, job: Job, service_name: str, now: float) -> float:
    """Seconds until any upstream of a service, tried or not, may be sent a request of this job."""
    service = gw.table.services.get(service_name) if gw.table is not None else None
    if service is None:
        return float("inf")
    return least_wait_s(gw, service, allowed_upstreams(gw, job, service_name, now), now)


def allowed_upstreams(gw: Gateway, job: Job, service_name: str, now: float) -> list[Upstream]:
    """Usable upstreams in the regions in which the request may run."""
    listed = gw.members.usable(service_name, now)
    workspace_regions = job.workspace.home_regions if job.workspace is not None else ()
    return gw.regions.filter_upstreams(listed, job.route.home_regions, workspace_regions)


def _suitable(gw: Gateway, job: Job, service_name: str, now: float) -> list[Upstream]:
    """Untried upstreams of the version that the request is to run on.

    Upstreams of a version that has failed this request are used only if no others are left, because
    a version that is being rolled out may fail on all its upstreams.  A session in progress stays
    on its version: its requests go there again instead.  Limits on requests are not considered
    here: falling back to another version would change a session's version.
    """
    usable = allowed_upstreams(gw, job, service_name, now)
    placed = PlacedRequest(
        job.req.attempt_id,
        job.session_label,
        job.session_version,
        job.session_is_new,
        route=job.route.name,
    )
    side = gw.rollouts.eligible_upstreams(service_name, usable, placed, now)
    if side.reason == "session" and _gives_up(job, side.preferred):
        placed = placed._replace(gives_up=True)
        side = gw.rollouts.eligible_upstreams(service_name, usable, placed, now)
    for avoided_versions in (job.failed_versions, set()):
        for group in (side.preferred, side.fallback):
            untried = _untried(group, job.tried_upstreams, avoided_versions)
            if untried:
                job.version_reason = side.reason if group is side.preferred else "fallback"
                return untried
    if side.reason == "session":
        return _without_answer(side.preferred, job)
    return []


def _gives_up(job: Job, upstreams: list[Upstream]) -> bool:
    """Whether a request that is the first of its session has met enough errors of its version.

    Two upstreams of a good version hardly ever answer the same request with errors; a bad version
    may on all of them.
    """
    failed = sum(upstream.key in job.failed_upstreams for upstream in upstreams)
    if job.session_was_known or not failed:
        return False
    is_last = job.counted_attempts >= job.route.attempts - 1
    return is_last or failed >= min(MAX_FAILED_UPSTREAMS, len(upstreams))


def _without_answer(group: list[Upstream], job: Job) -> list[Upstream]:
    """The upstreams of a group that may be tried again, as they have not refused the request; the
    last one only if there is no other."""
    again = [u for u in group if u.key in job.answerless_upstreams]
    return [u for u in again if u.key != job.last_upstream] or again


def _untried(group: list[Upstream], tried: set[str], avoided_versions: set[str]) -> list[Upstream]:
    """The untried upstreams of a group, without the versions to avoid.

    Returns the same list object if that is all of them, so that values cached for it are reused.
    """
    if not tried and not avoided_versions:
        return group
    return [u for u in group if u.key not in tried and u.version not in avoided_versions]
