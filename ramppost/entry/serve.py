"""Serves a checked request: route, obtain, and pass the answer on.

An answer is passed on as it comes, but for the early stages of a cascade, which
are read whole and judged first.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from loguru import logger

from ramppost import clock
from ramppost.entry.dispatch import Running, finish, read_on
from ramppost.entry.job import Job
from ramppost.entry.route import NO_POLICY, Route, route
from ramppost.entry.sink import Sink
from ramppost.entry.start import start_run
from ramppost.entry.start_result import Reroute
from ramppost.entry.state import Entry
from ramppost.entry.stats import ServedRequest
from ramppost.errors import Refusal, refusal
from ramppost.platform.ratings import Rated
from ramppost.policy.permissions import ModelVersion, version_state
from ramppost.policy.routing import PickedVersion, cascade_stops
from ramppost.policy.session import SessionPayload, StreamPayload, mint_token
from ramppost.schema.messages import BillLine, End
from ramppost.wire.server import Gone

MAX_REROUTES: Final = 2
MAX_RATED_CHARS: Final = 4000
TURNS_A_ROUND: Final = 10
RETRIED_CODES: Final = ("upstream_failed", "outcome_unknown")


class Whole(NamedTuple):
    """An answer read whole."""

    run: Running
    pieces: list[str]
    end: End


async def serve_ask(entry: Entry, ask: Job, sink: Sink) -> Refusal | None:
    """Serve a request into a sink; a refusal is returned if nothing was sent yet."""
    ref = await _rounds(entry, ask, sink)
    if ref is not None and ref.ran == "no" and ask.trace.ran != "no":
        ref = ref._replace(ran=ask.trace.ran)
    if ref is not None:
        _count_refused(entry, ask, ref)
    return ref


async def _rounds(entry: Entry, ask: Job, sink: Sink) -> Refusal | None:
    """Route and try; again where the version changed, or where a repeatable one failed."""
    started = clock.now()
    deadline = started + ask.deadline_ms / 1000
    out: Refusal | None = None
    for number in range(MAX_REROUTES + 1):
        assert entry.conf.doc is not None
        chosen = route(entry, ask, entry.conf.doc)
        if isinstance(chosen, Refusal):
            return chosen
        got = await _stages(entry, ask, chosen, sink, deadline, started, number * TURNS_A_ROUND)
        if isinstance(got, Reroute):
            out = refusal("overloaded", f"version {got.reason} while it was chosen", 0.5)
            continue
        if got is None or not _again(entry, ask, sink, got):
            return got
        out = got
    return out


def _rated(entry: Entry, mv: ModelVersion) -> bool:
    """Whether to hand an answer in for rating: a sample, of which a trial has the first half."""
    doc = entry.conf.doc
    trial = doc is not None and version_state(doc, mv) == "trial"
    bucket = entry.rating_bucket()
    if bucket.wait_s(clock.now()) > 0 or not (trial or bucket.level > bucket.burst / 2):
        return False
    bucket.charge(1, clock.now())
    return True


def _again(entry: Entry, ask: Job, sink: Sink, got: Refusal) -> bool:
    """Whether to try again what failed before its caller saw any of it."""
    if not ask.repeatable or sink.started or got.code not in RETRIED_CODES:
        return False
    if not entry.retry_budget.take():
        return False
    entry.stats.retries_total.inc({})
    return True


def _count_refused(entry: Entry, ask: Job, ref: Refusal) -> None:
    served = entry.stats.served_requests.get(ask.request_id)
    entry.stats.policy_stats(served.policy if served else NO_POLICY).refused += 1
    outcome = "refused" if ref.ran == "no" else "failed"
    if ref.status >= 500 or ref.status == 429:
        entry.stats.record_end(ask.ws["name"], ask.cls, outcome, None)


async def _stages(
    entry: Entry,
    ask: Job,
    chosen: Route,
    sink: Sink,
    deadline: float,
    started: float,
    turn: int,
) -> Refusal | Reroute | None:
    """Try the picks in order: all but the last are judged before the next is tried."""
    spare: Whole | None = None
    for stage, pick in enumerate(chosen.picks):
        last = stage == len(chosen.picks) - 1
        if pick.trial and entry.conf.doc is not None:
            entry.count_trial_request(entry.conf.doc, pick.mv)
        run = await start_run(entry, ask, pick.mv, stage, turn, deadline)
        if isinstance(run, Reroute):
            return run
        if isinstance(run, Refusal):
            if spare is None:
                return run
            await _pass_whole(entry, ask, spare, sink, started)
            return None
        if not stage and not turn:
            _count_begun(entry, ask, chosen, pick, run)
        if last:
            return await pass_on(entry, ask, run, sink, started)
        whole = await _read_whole(entry, ask, run)
        if isinstance(whole, Refusal):
            if not ask.repeatable:
                return whole
            continue
        spare = whole
        assert chosen.policy is not None
        if cascade_stops(chosen.policy, whole.end["confidence"]):
            await _pass_whole(entry, ask, whole, sink, started)
            return None
    return refusal("upstream_failed", "no stage of the cascade answered")


def _count_begun(entry: Entry, ask: Job, chosen: Route, pick: PickedVersion, run: Running) -> None:
    count = entry.stats.policy_stats(chosen.policy_name)
    count.requests += 1
    count.trial_requests += pick.trial
    served = ServedRequest(chosen.policy_name, ask.cls["name"], run.mv)
    entry.stats.remember_served(run.request_id, served)


async def _read_whole(entry: Entry, ask: Job, run: Running) -> Whole | Refusal:
    pieces: list[str] = []
    while True:
        frame = await read_on(entry, run)
        if not isinstance(frame, dict):
            await finish(run)
            return refusal("outcome_unknown", f"answer lost on its way: {frame.reason}")
        if "end" not in frame:
            pieces.append(frame["text"])
            continue
        await finish(run)
        await _settle(entry, ask, run, frame["end"], "".join(pieces))
        if frame["end"]["state"] != "done":
            return _failed(frame["end"])
        return Whole(run, pieces, frame["end"])


async def _pass_whole(entry: Entry, ask: Job, whole: Whole, sink: Sink, started: float) -> None:
    """Send an answer that was read before."""
    first_s = clock.now() - started
    await _begin(entry, ask, whole.run, sink)
    for number, text in enumerate(whole.pieces):
        await sink.piece(number, text)
    await sink.end(whole.end)
    entry.stats.record_end(ask.ws["name"], ask.cls, "served", first_s)


async def pass_on(
    entry: Entry, ask: Job, run: Running, sink: Sink, started: float
) -> Refusal | None:
    """Send an answer while it comes.  Of a caller who leaves, the agent sees no reader."""
    pieces: list[str] = []
    first_s: float | None = None
    try:
        while True:
            frame = await read_on(entry, run)
            if not isinstance(frame, dict):
                ref = refusal("outcome_unknown", f"answer lost on its way: {frame.reason}")
                return await _broke(entry, ask, sink, ref, first_s)
            if first_s is None:
                first_s = clock.now() - started
            if "end" not in frame:
                if not pieces:
                    await _begin(entry, ask, run, sink)
                pieces.append(frame["text"])
                await sink.piece(frame["n"], frame["text"])
                continue
            end = frame["end"]
            await _settle(entry, ask, run, end, "".join(pieces))
            if end["state"] in ("failed", "lost"):
                return await _broke(entry, ask, sink, _failed(end), first_s)
            if not pieces:
                await _begin(entry, ask, run, sink)
            await sink.end(end)
            entry.stats.record_end(ask.ws["name"], ask.cls, "served", first_s)
            return None
    except Gone:
        entry.stats.record_end(ask.ws["name"], ask.cls, "left", first_s)
        raise
    finally:
        await finish(run)


def _failed(end: End) -> Refusal:
    """What to say of an attempt that ended badly."""
    code = "outcome_unknown" if end["state"] == "lost" else "upstream_failed"
    return refusal(code, end["reason"])


async def _broke(
    entry: Entry, ask: Job, sink: Sink, ref: Refusal, first_s: float | None
) -> Refusal | None:
    """The answer can't be ended: a refusal if nothing was sent, else an error within it."""
    if not sink.started:
        return ref
    entry.stats.record_end(ask.ws["name"], ask.cls, "failed", first_s)
    await sink.fail(ref)
    return None


async def _begin(entry: Entry, ask: Job, run: Running, sink: Sink) -> None:
    assert entry.conf.doc is not None
    keys = entry.conf.doc["session_keys"]
    held = ask.session
    session = SessionPayload(
        kind="session",
        session=held["session"] if held else f"ses-{run.request_id}",
        workspace=ask.ws["name"],
        model=run.mv.model,
        version=run.mv.version,
    )
    place = StreamPayload(
        kind="stream",
        workspace=ask.ws["name"],
        request_id=run.request_id,
        attempt=run.attempt,
        agent=run.agent,
        model=run.mv.model,
        version=run.mv.version,
    )
    await sink.begin(run.request_id, run.mv, mint_token(keys, session), mint_token(keys, place))


async def _settle(entry: Entry, ask: Job, run: Running, end: End, text: str) -> None:
    """Bill, charge and hand in for rating an attempt that has ended."""
    logger.bind(request=run.request_id, workspace=ask.ws["name"]).info(
        "{} {} {} tokens {}", run.mv.text, end["state"], end["tokens_out"], end["reason"]
    )
    if run.claim is not None:
        await entry.claim_homes.record_end(run.claim | {"state": "done"})
    if end["state"] in ("failed", "lost"):
        return
    line = BillLine(
        request_id=run.request_id,
        attempt=run.attempt,
        workspace=ask.ws["name"],
        model=run.mv.model,
        version=run.mv.version,
        tokens=end["tokens_out"],
        cost=end["cost"],
    )
    entry.queue_bill_line(line, run.addr)
    entry.token_bucket(ask.ws).charge(end["tokens_out"], clock.now())
    entry.learned_policy_state.add_token_count(ask.cls["name"], end["tokens_out"])
    entry.stats.cost_total.add({"workspace": ask.ws["name"]}, end["cost"])
    entry.stats.tokens_total.add(
        {"model": run.mv.model, "version": run.mv.version}, end["tokens_out"]
    )
    served = entry.stats.served_requests.get(run.request_id)
    if served is not None:
        entry.stats.policy_stats(served.policy).cost += end["cost"]
    if text and not ask.service and _rated(entry, run.mv):
        rated = Rated(
            request_id=run.request_id,
            model=run.mv.model,
            version=run.mv.version,
            class_name=ask.cls["name"],
            text=text[-MAX_RATED_CHARS:],
        )
        entry.unrated_answers.append(rated)
