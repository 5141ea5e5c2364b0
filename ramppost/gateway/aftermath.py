"""What is done where an answer has broken off: find out whether its upstream has ended.

Then the attempt does not count against the request's own, the upstream is left out of choices, and
it is noted that the request was there (`ramppost.gateway.fatal`).
"""

from __future__ import annotations

from typing import Final

import curio
from loguru import logger

from ramppost import clock
from ramppost.gateway.attempt import Running
from ramppost.gateway.endings import ProbeResult
from ramppost.gateway.job import Job
from ramppost.gateway.links import Broken
from ramppost.gateway.model import Upstream
from ramppost.gateway.state import Gateway
from ramppost.policy.fatal import JUST_BEGUN

LOOK_AGAIN_S: Final = 0.1
"""A process that ends closes its connections one by one, and may take a new one meanwhile."""


async def handle_broken_response(
    gw: Gateway, job: Job, upstream: Upstream, got: Broken, sign: int
) -> None:
    """An answer has broken off; `sign` tells how much speaks against its request, should the
    upstream have ended."""
    if not got.by_peer:
        return
    if not await _is_there(gw, job, upstream, sign):
        return
    if sign == JUST_BEGUN:
        # It may be what ends its upstream: sent on at once, it would end the next one.
        await _look_again(gw, job, upstream, sign)
    else:
        await curio.spawn(_look_again, gw, job, upstream, sign, daemon=True)


async def handle_unframed_end(gw: Gateway, job: Job, running: Running, sign: int) -> None:
    """An answer that only the close of its connection ended was passed on.  It clears its request
    where its upstream is still there, for an end would have closed the connection, too."""
    if await _look_again(gw, job, running.chosen.upstream, sign):
        gw.fatal.record_answer(job.fingerprint, running.head.status)


async def _look_again(gw: Gateway, job: Job, upstream: Upstream, sign: int) -> bool:
    await curio.sleep(LOOK_AGAIN_S)
    return await _is_there(gw, job, upstream, sign)


async def _is_there(gw: Gateway, job: Job, upstream: Upstream, sign: int) -> bool:
    """Whether an upstream still takes connections; what its end means is noted."""
    fate = await gw.endings.probe(upstream)
    if fate != "alive":
        await _note_end(gw, job, upstream, fate, sign)
    return fate == "alive"


async def _note_end(
    gw: Gateway, job: Job, upstream: Upstream, fate: ProbeResult, sign: int
) -> None:
    logger.info(
        "upstream ended under a request",
        request=job.req.attempt_id,
        fingerprint=job.fingerprint,
        upstream=upstream.id,
        fate=fate,
        sign=sign,
    )
    job.upstream_ends += 1
    if fate == "ended":
        # One that is silent may be back at any moment: only its way may be cut.
        gw.members.mark_ended(upstream.key, clock.now())
    await gw.fatal.record_end(upstream.key, job.fingerprint, sign, gone=fate == "ended")
