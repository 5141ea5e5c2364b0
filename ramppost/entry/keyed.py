"""Gets a request with a key running, at most once however often it is repeated.

A claim comes first: it names up to three agents, each by ticket, and only its
entry may dispatch, only to them.  Whoever meets a claim that stands joins its
answer, or has the attempt barred at all of its agents and claims the next
generation.
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
    candidate,
    resolve,
    run_msg,
    send_run,
)
from ramppost.entry.job import Job
from ramppost.entry.start_result import LEAST_RETRY_S, Reroute, StartResult, own, refused
from ramppost.entry.state import Entry
from ramppost.entry.upstreams import Upstream
from ramppost.errors import Refusal, refusal
from ramppost.policy.bills import attempt_id
from ramppost.policy.claims import claim_key, shard_of
from ramppost.policy.permissions import ModelVersion
from ramppost.schema.messages import Claim

MAX_GENERATIONS: Final = 4
CANDIDATES: Final = 3
JOIN_GRACE_S: Final = 0.6
JOIN_PAUSE_S: Final = 0.1
CLAIM_RETRY_AFTER_S: Final = 2.0


async def start_keyed_run(
    entry: Entry, ask: Job, mv: ModelVersion, stage: int, deadline: float
) -> StartResult:
    """An answer running for a request that may run only once."""
    key = key_of(ask, stage)
    generation, request_id = 0, ask.request_id
    for _ in range(MAX_GENERATIONS):
        ups = entry.upstreams.ranked_agents(mv, ask.service, ask.prefix)[:CANDIDATES]
        if not ups:
            held = _known(entry, key)
            if held is None:
                return refused(NotRun("no_upstream", LEAST_RETRY_S), mv)
        claim = Claim(
            key=key,
            nonce=secrets.token_hex(6),
            generation=generation,
            stage=stage,
            request_id=request_id,
            entry=entry.name,
            candidates=[candidate(up) for up in ups],
            model=mv.model,
            version=mv.version,
            at_s=int(time.time()),
            state="open",
            body=ask.body_digest,
        )
        got = await entry.claim_homes.claim(claim)
        ask.trace.claimed = True
        if isinstance(got, NoClaim):
            message = "the key can't be recorded now, so the request was not begun"
            if got.sure:
                return refusal("claim_unavailable", message, CLAIM_RETRY_AFTER_S)
            message += "; whether an earlier one with this key was can't be told now"
            return refusal("claim_unavailable", message, CLAIM_RETRY_AFTER_S, "unknown")
        if isinstance(got, Granted):
            return await _run_claimed(entry, ask, claim, ups, deadline)
        assert isinstance(got, Taken)
        if got.held["body"] != claim["body"]:
            return refusal("bad_request", "Idempotency-Key was used for another request")
        out = await join(entry, got.held)
        if isinstance(out, Running):
            return own(out, got.held["request_id"])
        if isinstance(out, Unknown):
            return _lost(got.held, out)
        generation, request_id = got.held["generation"] + 1, got.held["request_id"]
    return refusal("overloaded", "the key is contended", LEAST_RETRY_S)


def key_of(ask: Job, stage: int = 0) -> str:
    """The claim key of a request's stage."""
    return claim_key(ask.ws["name"], f"{stage}:{ask.key}")


def _known(entry: Entry, key: str) -> Claim | None:
    """A claim of this key that is known without asking."""
    shard = entry.claim_log.shards.get(shard_of(key))
    held = shard.get(key) if shard else None
    return held or entry.claim_homes.known_claims.get(key)


def _lost(held: Claim, out: Unknown) -> Refusal:
    if held["state"] == "done":
        return refusal("answer_lost", f"it ran; its answer is no longer kept: {out.reason}")
    return refusal("outcome_unknown", f"can't tell whether it ran: {out.reason}")


def attempt_of(claim: Claim) -> str:
    """The attempt id of a claim, the same at each of its agents."""
    return attempt_id(claim["request_id"], claim["stage"], claim["generation"])


async def _run_claimed(
    entry: Entry, ask: Job, claim: Claim, ups: list[Upstream], deadline: float
) -> StartResult:
    """Dispatch under a claim of ours, to its agents in turn."""
    mv = ModelVersion(claim["model"], claim["version"])
    out: Outcome = NotRun("no_upstream", LEAST_RETRY_S)
    for named, up in zip(claim["candidates"], ups, strict=True):
        left_s = deadline - clock.now()
        if left_s <= 0:
            out = NotRun("deadline", LEAST_RETRY_S)
            break
        msg = run_msg(entry, ask, mv, named["agent"], attempt_of(claim), left_s)
        out = await send_run(entry, up, msg, ask.trace)
        if isinstance(out, Running):
            out.claim = claim
            return own(out, claim["request_id"])
        if isinstance(out, Unknown):
            return refused(out, mv)
        if out.reason == "tombstoned":
            return await _follow_successor(entry, ask, claim)
    await entry.claim_homes.record_end(claim | {"state": "not_run"})
    if isinstance(out, NotRun) and out.reason in ("withdrawn", "forbidden"):
        return Reroute(out.reason)
    return refused(out, mv)


async def _follow_successor(entry: Entry, ask: Job, claim: Claim) -> StartResult:
    """Another entry had our attempt barred: answer with what came of the key there."""
    got = await entry.claim_homes.claim(claim | {"nonce": ""})
    if isinstance(got, Taken) and got.held["generation"] > claim["generation"]:
        out = await join(entry, got.held)
        if isinstance(out, Running):
            return own(out, got.held["request_id"])
    return refusal("outcome_unknown", "the key was taken over by another entry")


async def join(entry: Entry, held: Claim) -> Outcome:
    """The answer of a claim that stands, or `NotRun` once all its agents have barred it.

    A claim whose entry is just about to dispatch gets a moment to do so.
    """
    if held["state"] == "not_run":
        return NotRun("not_run", 0.0)
    mv = ModelVersion(held["model"], held["version"])
    attempt = attempt_of(held)
    until = clock.now() + JOIN_GRACE_S
    while clock.now() < until:
        for named in held["candidates"]:
            out = await attach(
                entry, named["addr"], named["agent"], attempt, 0, mv, tombstone=False
            )
            if isinstance(out, Running):
                return out
        if held["state"] == "done" or held["request_id"] in entry.claim_log.abandoned_requests:
            break
        await curio.sleep(JOIN_PAUSE_S)
    doubt: Unknown | None = None
    for named in held["candidates"]:
        out = await resolve(entry, named["addr"], named["agent"], attempt, 0, mv)
        if isinstance(out, Running):
            return out
        if isinstance(out, Unknown):
            doubt = out
    return doubt if doubt is not None else NotRun("barred", 0.0)
