"""Handles a response that has broken off: finds out whether its upstream has ended.

If so, the attempt does not count against the limit of the request, the upstream is excluded from
selection, and the request is recorded as present at the end (`ramppost.gateway.fatal`).
"""

from __future__ import annotations

import curio
from loguru import logger

from ramppost import clock
from ramppost.gateway.attempt import Running
from ramppost.gateway.endings import RECHECK_DELAY_S, ProbeResult
from ramppost.gateway.job import Job
from ramppost.gateway.links import Broken
from ramppost.gateway.model import Upstream
from ramppost.gateway.state import Gateway
from ramppost.policy.fatal import JUST_BEGUN, WAITED


async def handle_broken_response(
    gw: Gateway, job: Job, upstream: Upstream, broken: Broken, evidence: int
) -> None:
    """Check the upstream of a response that has broken off.

    `evidence` is the level of evidence against its request in case the upstream has ended.
    """
    if not broken.by_peer:
        return
    if not await _is_alive(gw, job, upstream, evidence):
        return
    if evidence == JUST_BEGUN or (evidence == WAITED and job.upstream_ends):
        # The request may be what ended the upstream, and an immediate retry would end the next one.
        await _recheck(gw, job, upstream, evidence)
    else:
        await curio.spawn(_recheck, gw, job, upstream, evidence, daemon=True)


async def handle_unframed_end(gw: Gateway, job: Job, running: Running, evidence: int) -> None:
    """Check the upstream of a forwarded response that ended with the close of its connection.

    The response clears its request only if the upstream is still alive, because the end of the
    upstream would have closed the connection as well.
    """
    if await _recheck(gw, job, running.chosen.upstream, evidence):
        record_whole_answer(gw, job, running)


def record_whole_answer(gw: Gateway, job: Job, running: Running) -> None:
    """Record that an upstream has answered a request completely."""
    upstream = running.chosen.upstream
    gw.fatal.record_answer(
        job.fingerprint,
        running.head.status,
        job.suspect_parts,
        upstream.key,
        upstream.version,
        running.sent_at + running.first_s,
    )


async def _recheck(gw: Gateway, job: Job, upstream: Upstream, evidence: int) -> bool:
    await curio.sleep(RECHECK_DELAY_S)
    return await _is_alive(gw, job, upstream, evidence)


async def _is_alive(gw: Gateway, job: Job, upstream: Upstream, evidence: int) -> bool:
    """Whether an upstream still accepts connections; records its end if it does not."""
    result = await gw.upstream_probes.probe(upstream)
    if result != "alive":
        await _record_end(gw, job, upstream, result, evidence)
    return result == "alive"


async def _record_end(
    gw: Gateway, job: Job, upstream: Upstream, result: ProbeResult, evidence: int
) -> None:
    logger.info(
        "upstream ended under a request",
        request=job.req.attempt_id,
        fingerprint=job.fingerprint,
        parts=job.logged_parts,
        upstream=upstream.id,
        fate=result,
        sign=evidence,
    )
    job.upstream_ends += 1
    job.upstream_ended_at = clock.now()
    if result == "ended":
        # A silent upstream may return at any moment, as only the network path to it may be down.
        gw.members.mark_ended(upstream.key, clock.now())
    await gw.fatal.record_end(
        upstream.key,
        job.fingerprint,
        evidence,
        gone=result == "ended",
        parts=job.suspect_parts,
        version=upstream.version,
    )
