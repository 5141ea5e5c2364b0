"""Starts a request with an idempotency key, at most once however often it is repeated.

The key is claimed first. A claim names up to three agents by ticket, and only the entry that made
the claim may dispatch the request, only to these agents. An entry that finds an existing claim
joins its answer. If there is none, it has all of these agents set a tombstone for the attempt, so
that it can never run, and then claims the next generation.
"""

from __future__ import annotations

import secrets
import time
from typing import Final

import curio

from ramppost import clock
from ramppost.entry.claimlog import Granted, NoClaim, Taken
from ramppost.entry.dispatch import (
    NotRun,
    Outcome,
    Running,
    Unknown,
    attach,
    make_candidate,
    make_run_msg,
    resolve,
    send_run,
)
from ramppost.entry.job import Job
from ramppost.entry.run_result import (
    MIN_RETRY_AFTER_S,
    Reroute,
    RunResult,
    refusal_for_outcome,
    with_request_id,
)
from ramppost.entry.state import Entry
from ramppost.entry.upstreams import Upstream
from ramppost.errors import Refusal, refusal
from ramppost.policy.bills import attempt_id
from ramppost.policy.claims import claim_key, shard_of
from ramppost.policy.permissions import ModelVersion
from ramppost.schema.messages import Claim

MAX_GENERATIONS: Final = 4
MAX_CANDIDATES: Final = 3
JOIN_GRACE_S: Final = 0.6
JOIN_POLL_S: Final = 0.1
CLAIM_RETRY_AFTER_S: Final = 2.0


async def obtain_keyed_run(
    entry: Entry, job: Job, mv: ModelVersion, stage: int, deadline: float
) -> RunResult:
    """Obtain a run of a request with a key: a new one, or the one of an earlier claim."""
    key = stage_claim_key(job, stage)
    generation, request_id = 0, job.request_id
    for _ in range(MAX_GENERATIONS):
        upstreams = entry.upstreams.ranked_agents(mv, job.service, job.prefix)[:MAX_CANDIDATES]
        if not upstreams:
            existing = _known_claim(entry, key)
            if existing is None:
                return refusal_for_outcome(NotRun("no_upstream", MIN_RETRY_AFTER_S), mv)
        claim = Claim(
            key=key,
            nonce=secrets.token_hex(6),
            generation=generation,
            stage=stage,
            request_id=request_id,
            entry=entry.name,
            candidates=[make_candidate(upstream) for upstream in upstreams],
            model=mv.model,
            version=mv.version,
            at_s=int(time.time()),
            state="open",
            body=job.body_digest,
        )
        result = await entry.claim_homes.claim(claim)
        job.execution.key_looked_up = True
        if isinstance(result, NoClaim):
            message = "the key can't be recorded now, so the request was not begun"
            if result.sure:
                return refusal("claim_unavailable", message, CLAIM_RETRY_AFTER_S)
            message += "; whether an earlier one with this key was can't be told now"
            return refusal("claim_unavailable", message, CLAIM_RETRY_AFTER_S, "unknown")
        if isinstance(result, Granted):
            return await _dispatch_claim(entry, job, claim, upstreams, deadline)
        assert isinstance(result, Taken)
        if result.held["body"] != claim["body"]:
            return refusal("bad_request", "Idempotency-Key was used for another request")
        outcome = await join_claim(entry, result.held)
        if isinstance(outcome, Running):
            return with_request_id(outcome, result.held["request_id"])
        if isinstance(outcome, Unknown):
            return _lost_answer_refusal(result.held, outcome)
        generation, request_id = result.held["generation"] + 1, result.held["request_id"]
    return refusal("overloaded", "the key is contended", MIN_RETRY_AFTER_S)


def stage_claim_key(job: Job, stage: int = 0) -> str:
    """The claim key of a cascade stage of a request."""
    return claim_key(job.workspace["name"], f"{stage}:{job.key}")


def _known_claim(entry: Entry, key: str) -> Claim | None:
    """A claim of this key that this entry knows without asking another one, if any."""
    shard = entry.claim_log.shards.get(shard_of(key))
    existing = shard.get(key) if shard else None
    return existing or entry.claim_homes.known_claims.get(key)


def _lost_answer_refusal(existing: Claim, outcome: Unknown) -> Refusal:
    """The refusal for a claim whose answer can't be read from any of its agents."""
    if existing["state"] == "done":
        return refusal("answer_lost", f"it ran; its answer is no longer kept: {outcome.reason}")
    return refusal("outcome_unknown", f"can't tell whether it ran: {outcome.reason}")


def claim_attempt_id(claim: Claim) -> str:
    """The id of a claim's attempt, which is the same at each of its agents."""
    return attempt_id(claim["request_id"], claim["stage"], claim["generation"])


async def _dispatch_claim(
    entry: Entry, job: Job, claim: Claim, upstreams: list[Upstream], deadline: float
) -> RunResult:
    """Dispatch a request under this entry's claim, to the agents of the claim in turn."""
    mv = ModelVersion(claim["model"], claim["version"])
    outcome: Outcome = NotRun("no_upstream", MIN_RETRY_AFTER_S)
    for candidate, upstream in zip(claim["candidates"], upstreams, strict=True):
        remaining_s = deadline - clock.now()
        if remaining_s <= 0:
            outcome = NotRun("deadline", MIN_RETRY_AFTER_S)
            break
        msg = make_run_msg(entry, job, mv, candidate["agent"], claim_attempt_id(claim), remaining_s)
        outcome = await send_run(entry, upstream, msg, job.execution)
        if isinstance(outcome, Running):
            outcome.claim = claim
            return with_request_id(outcome, claim["request_id"])
        if isinstance(outcome, Unknown):
            return refusal_for_outcome(outcome, mv)
        if outcome.reason == "tombstoned":
            return await _follow_successor(entry, job, claim)
    await entry.claim_homes.record_end(claim | {"state": "not_run"})
    if isinstance(outcome, NotRun) and outcome.reason in ("withdrawn", "forbidden"):
        return Reroute(outcome.reason)
    return refusal_for_outcome(outcome, mv)


async def _follow_successor(entry: Entry, job: Job, claim: Claim) -> RunResult:
    """Join the claim of an entry that took the key over and had this attempt tombstoned."""
    result = await entry.claim_homes.claim(claim | {"nonce": ""})
    if isinstance(result, Taken) and result.held["generation"] > claim["generation"]:
        outcome = await join_claim(entry, result.held)
        if isinstance(outcome, Running):
            return with_request_id(outcome, result.held["request_id"])
    return refusal("outcome_unknown", "the key was taken over by another entry")


async def join_claim(entry: Entry, existing: Claim) -> Outcome:
    """Join the answer of an existing claim, or return `NotRun` if all its agents have a tombstone.

    For `JOIN_GRACE_S`, agents are asked without setting tombstones, as the entry that made the
    claim may be about to dispatch the request.
    """
    if existing["state"] == "not_run":
        return NotRun("not_run", 0.0)
    mv = ModelVersion(existing["model"], existing["version"])
    attempt = claim_attempt_id(existing)
    grace_end = clock.now() + JOIN_GRACE_S
    while clock.now() < grace_end:
        for candidate in existing["candidates"]:
            outcome = await attach(
                entry, candidate["addr"], candidate["agent"], attempt, 0, mv, tombstone=False
            )
            if isinstance(outcome, Running):
                return outcome
        if (
            existing["state"] == "done"
            or existing["request_id"] in entry.claim_log.abandoned_requests
        ):
            break
        await curio.sleep(JOIN_POLL_S)
    unknown: Unknown | None = None
    for candidate in existing["candidates"]:
        outcome = await resolve(entry, candidate["addr"], candidate["agent"], attempt, 0, mv)
        if isinstance(outcome, Running):
            return outcome
        if isinstance(outcome, Unknown):
            unknown = outcome
    return unknown if unknown is not None else NotRun("barred", 0.0)
