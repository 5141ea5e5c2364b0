"""Serves a parsed request: selects versions, obtains a run and forwards the answer.

An answer is streamed to the caller as it arrives. Only in a cascade, the answers of all stages but
the last are buffered and their confidence is checked first.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from loguru import logger

from ramppost import clock
from ramppost.entry.dispatch import Running, read_frame_resuming, release_run
from ramppost.entry.job import Job
from ramppost.entry.obtain import obtain_run
from ramppost.entry.route import NO_POLICY, Route, route
from ramppost.entry.run_result import Reroute
from ramppost.entry.sink import Sink
from ramppost.entry.state import Entry
from ramppost.entry.stats import ServedRequest
from ramppost.errors import Refusal, refusal
from ramppost.platform.ratings import AnswerToRate
from ramppost.policy.permissions import ModelVersion, version_state
from ramppost.policy.routing import PickedVersion, cascade_stops
from ramppost.policy.session import SessionPayload, StreamPayload, mint_token
from ramppost.schema.messages import BillLine, End
from ramppost.wire.server import ClientDisconnected

MAX_RETRY_ROUNDS: Final = 2
MAX_RATED_CHARS: Final = 4000
ATTEMPT_NUMBERS_PER_ROUND: Final = 10
RETRYABLE_CODES: Final = ("upstream_failed", "outcome_unknown")


class BufferedAnswer(NamedTuple):
    """A complete answer that has not been sent to the caller yet."""

    run: Running
    chunks: list[str]
    end: End


async def serve_job(entry: Entry, job: Job, sink: Sink) -> Refusal | None:
    """Serve a request and write the answer to a sink.

    Returns the refusal if the request failed before anything was sent to the caller.
    """
    ref = await _serve_with_retries(entry, job, sink)
    if ref is not None and ref.ran == "no" and job.execution.ran != "no":
        ref = ref._replace(ran=job.execution.ran)
    if ref is not None:
        _count_refusal(entry, job, ref)
    return ref


async def _serve_with_retries(entry: Entry, job: Job, sink: Sink) -> Refusal | None:
    """Route and run the request, in several rounds if needed.

    A new round starts if the selected version became unavailable or a repeatable request failed.
    """
    started = clock.now()
    deadline = started + job.deadline_ms / 1000
    last_refusal: Refusal | None = None
    for round_number in range(MAX_RETRY_ROUNDS + 1):
        assert entry.conf.doc is not None
        chosen = route(entry, job, entry.conf.doc)
        if isinstance(chosen, Refusal):
            return chosen
        result = await _run_stages(
            entry, job, chosen, sink, deadline, started, round_number * ATTEMPT_NUMBERS_PER_ROUND
        )
        if isinstance(result, Reroute):
            last_refusal = refusal(
                "overloaded", f"version {result.reason} while it was chosen", 0.5
            )
            continue
        if result is None or not _may_retry(entry, job, sink, result):
            return result
        last_refusal = result
    return last_refusal


def _should_rate(entry: Entry, mv: ModelVersion) -> bool:
    """Whether to submit an answer for rating.

    Answers are sampled by a token bucket, whose lower half is reserved for trial versions.
    """
    doc = entry.conf.doc
    trial = doc is not None and version_state(doc, mv) == "trial"
    bucket = entry.rating_bucket()
    if bucket.wait_s(clock.now()) > 0 or not (trial or bucket.level > bucket.burst / 2):
        return False
    bucket.charge(1, clock.now())
    return True


def _may_retry(entry: Entry, job: Job, sink: Sink, result: Refusal) -> bool:
    """Whether to retry a failed request; takes a retry from the budget if so.

    A request is retried only while nothing of its answer has been sent to the caller.
    """
    if not job.repeatable or sink.started or result.code not in RETRYABLE_CODES:
        return False
    if not entry.retry_budget.take():
        return False
    entry.stats.retries_total.inc({})
    return True


def _count_refusal(entry: Entry, job: Job, ref: Refusal) -> None:
    served = entry.stats.served_requests.get(job.request_id)
    entry.stats.policy_stats(served.policy if served else NO_POLICY).refused += 1
    outcome = "refused" if ref.ran == "no" else "failed"
    if ref.status >= 500 or ref.status == 429:
        entry.stats.record_end(job.workspace["name"], job.work_class, outcome, None)


async def _run_stages(
    entry: Entry,
    job: Job,
    chosen: Route,
    sink: Sink,
    deadline: float,
    started: float,
    first_attempt_number: int,
) -> Refusal | Reroute | None:
    """Run the selected versions in order until one gives an acceptable answer.

    Answers of all versions but the last are buffered and checked for confidence. If a later version
    can't be started, the last buffered answer is sent.
    """
    fallback: BufferedAnswer | None = None
    for stage, pick in enumerate(chosen.picks):
        last = stage == len(chosen.picks) - 1
        if pick.trial and entry.conf.doc is not None:
            entry.count_trial_request(entry.conf.doc, pick.mv)
        run = await obtain_run(entry, job, pick.mv, stage, first_attempt_number, deadline)
        if isinstance(run, Reroute):
            return run
        if isinstance(run, Refusal):
            if fallback is None:
                return run
            await _send_buffered(entry, job, fallback, sink, started)
            return None
        if not stage and not first_attempt_number:
            _count_start(entry, job, chosen, pick, run)
        if last:
            return await forward_answer(entry, job, run, sink, started)
        buffered = await _buffer_answer(entry, job, run)
        if isinstance(buffered, Refusal):
            if not job.repeatable:
                return buffered
            continue
        fallback = buffered
        assert chosen.policy is not None
        if cascade_stops(chosen.policy, buffered.end["confidence"]):
            await _send_buffered(entry, job, buffered, sink, started)
            return None
    return refusal("upstream_failed", "no stage of the cascade answered")


def _count_start(entry: Entry, job: Job, chosen: Route, pick: PickedVersion, run: Running) -> None:
    count = entry.stats.policy_stats(chosen.policy_name)
    count.requests += 1
    count.trial_requests += pick.trial
    served = ServedRequest(chosen.policy_name, job.work_class["name"], run.mv)
    entry.stats.remember_served(run.request_id, served)


async def _buffer_answer(entry: Entry, job: Job, run: Running) -> BufferedAnswer | Refusal:
    """Read an answer to its end without sending it."""
    chunks: list[str] = []
    while True:
        frame = await read_frame_resuming(entry, run)
        if not isinstance(frame, dict):
            await release_run(run)
            return refusal("outcome_unknown", f"answer lost on its way: {frame.reason}")
        if "end" not in frame:
            chunks.append(frame["text"])
            continue
        await release_run(run)
        await _settle_attempt(entry, job, run, frame["end"], "".join(chunks))
        if frame["end"]["state"] != "done":
            return _failure_refusal(frame["end"])
        return BufferedAnswer(run, chunks, frame["end"])


async def _send_buffered(
    entry: Entry, job: Job, buffered: BufferedAnswer, sink: Sink, started: float
) -> None:
    """Send a buffered answer to the caller."""
    first_token_s = clock.now() - started
    await _begin_response(entry, job, buffered.run, sink)
    for number, text in enumerate(buffered.chunks):
        await sink.send_chunk(number, text)
    await sink.end(buffered.end)
    entry.stats.record_end(job.workspace["name"], job.work_class, "served", first_token_s)


async def forward_answer(
    entry: Entry, job: Job, run: Running, sink: Sink, started: float
) -> Refusal | None:
    """Send an answer to the caller as it arrives.

    If the caller disconnects, the connection to the agent is closed, so that the agent sees that
    nobody reads the answer.
    """
    chunks: list[str] = []
    first_token_s: float | None = None
    try:
        while True:
            frame = await read_frame_resuming(entry, run)
            if not isinstance(frame, dict):
                ref = refusal("outcome_unknown", f"answer lost on its way: {frame.reason}")
                return await _fail_answer(entry, job, sink, ref, first_token_s)
            if first_token_s is None:
                first_token_s = clock.now() - started
            if "end" not in frame:
                if not chunks:
                    await _begin_response(entry, job, run, sink)
                chunks.append(frame["text"])
                await sink.send_chunk(frame["n"], frame["text"])
                continue
            end = frame["end"]
            await _settle_attempt(entry, job, run, end, "".join(chunks))
            if end["state"] in ("failed", "lost"):
                return await _fail_answer(entry, job, sink, _failure_refusal(end), first_token_s)
            if not chunks:
                await _begin_response(entry, job, run, sink)
            await sink.end(end)
            entry.stats.record_end(job.workspace["name"], job.work_class, "served", first_token_s)
            return None
    except ClientDisconnected:
        entry.stats.record_end(job.workspace["name"], job.work_class, "left", first_token_s)
        raise
    finally:
        await release_run(run)


def _failure_refusal(end: End) -> Refusal:
    """The refusal for an attempt that failed or whose outcome is unknown."""
    code = "outcome_unknown" if end["state"] == "lost" else "upstream_failed"
    return refusal(code, end["reason"])


async def _fail_answer(
    entry: Entry, job: Job, sink: Sink, ref: Refusal, first_token_s: float | None
) -> Refusal | None:
    """Handle an answer that can't be completed.

    Returns the refusal if nothing was sent yet, else sends it as an error within the response.
    """
    if not sink.started:
        return ref
    entry.stats.record_end(job.workspace["name"], job.work_class, "failed", first_token_s)
    await sink.fail(ref)
    return None


async def _begin_response(entry: Entry, job: Job, run: Running, sink: Sink) -> None:
    """Start the response with new session and stream tokens; a given session is kept."""
    assert entry.conf.doc is not None
    keys = entry.conf.doc["session_keys"]
    resumed = job.session
    session = SessionPayload(
        kind="session",
        session=resumed["session"] if resumed else f"ses-{run.request_id}",
        workspace=job.workspace["name"],
        model=run.mv.model,
        version=run.mv.version,
    )
    stream_payload = StreamPayload(
        kind="stream",
        workspace=job.workspace["name"],
        request_id=run.request_id,
        attempt=run.attempt,
        agent=run.agent,
        model=run.mv.model,
        version=run.mv.version,
    )
    await sink.begin(
        run.request_id, run.mv, mint_token(keys, session), mint_token(keys, stream_payload)
    )


async def _settle_attempt(entry: Entry, job: Job, run: Running, end: End, text: str) -> None:
    """Account for an attempt that has ended: log, claim, bill, token limit, metrics and rating."""
    logger.bind(request=run.request_id, workspace=job.workspace["name"]).info(
        "answer of {} ended: state={} tokens={} reason={}",
        run.mv.text,
        end["state"],
        end["tokens_out"],
        end["reason"],
    )
    if run.claim is not None:
        await entry.claim_homes.record_end(run.claim | {"state": "done"})
    if end["state"] in ("failed", "lost"):
        return
    line = BillLine(
        request_id=run.request_id,
        attempt=run.attempt,
        workspace=job.workspace["name"],
        model=run.mv.model,
        version=run.mv.version,
        tokens=end["tokens_out"],
        cost=end["cost"],
    )
    entry.queue_bill_line(line, run.addr)
    entry.token_bucket(job.workspace).charge(end["tokens_out"], clock.now())
    entry.learned_policy_state.add_token_count(job.work_class["name"], end["tokens_out"])
    entry.stats.cost_total.add({"workspace": job.workspace["name"]}, end["cost"])
    entry.stats.tokens_total.add(
        {"model": run.mv.model, "version": run.mv.version}, end["tokens_out"]
    )
    served = entry.stats.served_requests.get(run.request_id)
    if served is not None:
        entry.stats.policy_stats(served.policy).cost += end["cost"]
    if text and not job.service and _should_rate(entry, run.mv):
        rated = AnswerToRate(
            request_id=run.request_id,
            model=run.mv.model,
            version=run.mv.version,
            class_name=job.work_class["name"],
            text=text[-MAX_RATED_CHARS:],
        )
        entry.unrated_answers.append(rated)
