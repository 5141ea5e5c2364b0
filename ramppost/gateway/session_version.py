"""Finds out which version the session of a request runs on, and records where its attempts go."""

from __future__ import annotations

from ramppost import clock
from ramppost.gateway.job import Job
from ramppost.gateway.state import Gateway
from ramppost.policy.ramp import is_early


async def learn_session(gw: Gateway, job: Job, service: str) -> None:
    """Find out about a request's session before an upstream is chosen.

    The keepers know of its latest request, which may have come to another gateway since this one
    has served the session.
    """
    if not job.req.session:
        return
    known = job.session_version = gw.sessions.version(service, job.req.session)
    job.session_was_known = bool(known)
    asks = gw.rollouts.depends_on_session(service, clock.now())
    if not asks or not is_early(service, job.session_label):
        return
    learned = await gw.sessions.learn(service, job.req.session)
    job.session_version = learned.version or known
    job.session_was_known = bool(job.session_version)
    job.session_is_new = learned.is_new and not known


def pin_session(gw: Gateway, job: Job, service: str, version: str) -> str:
    """Record the version that a request is being sent to; returns the one before.

    An empty version takes back one to which the request was not sent.
    """
    if not job.req.session:
        return ""
    if not job.session_begun:
        job.session_begun = service
        gw.sessions.begin(service, job.req.session)
    job.session_version = version
    return gw.sessions.assign(service, job.req.session, version, job.deadline)


def end_session_request(gw: Gateway, job: Job) -> None:
    """Record the end of a request."""
    if job.session_begun:
        gw.sessions.end(job.session_begun, job.req.session)
