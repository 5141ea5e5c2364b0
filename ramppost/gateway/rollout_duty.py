"""Drives roll-outs to their end: completes them on time, or rolls back as soon as a version fails.

Any gateway may end a roll-out with a conditional write of its status.  Once a version is considered
bad (`ramppost.gateway.evidence_news`), no request is sent to it, even if the store can't be
written, but for those of sessions that run there: these wait for the status for a while.  A version
is completed by a gateway that is told all evidence, if there is some and it does not speak against
the version; without that, it is rolled back.  An end that the store has lost by coming back from
an older copy is written again.
"""

from __future__ import annotations

from typing import Annotated, Final, NamedTuple, TypedDict

import curio
import msgspec
from loguru import logger

from ramppost import clock
from ramppost.gateway.evidence_news import REPEAT_INTERVAL_S
from ramppost.gateway.model import RolloutOrder
from ramppost.gateway.rollouts import Rollout
from ramppost.gateway.state import Gateway
from ramppost.platform import names
from ramppost.platform.documents import rollout_order, rollout_status
from ramppost.platform.store import (
    CALL_TIMEOUT_S,
    Conflict,
    Missing,
    StoredObject,
    Unavailable,
    create,
    read,
    replace,
    set_status,
)
from ramppost.policy.coverage import HEARD_S, Coverage, coverage
from ramppost.policy.guard import Judgement, RouteAnswers
from ramppost.policy.ramp import FIRST_STEP_AT, UNPIN_AT
from ramppost.policy.routing import hash_fraction
from ramppost.wire.codec import BadMessage

CHECK_INTERVAL_S: Final = 0.1
WRITE_SPREAD_S: Final = 0.25
"""Relays spread their writes over this time, and the other gateways do so after them."""
MARGIN_SPREAD_PART: Final = 1 / 3
"""Most of the time before the deadline over which relays spread the writes of an end."""
END_TIMEOUTS_S: Final = (0.35, CALL_TIMEOUT_S)
"""Timeouts of the writes of an end, in turn: a connection that has gone silent is given up soon,
and a store that is slow is given its time."""
WITHDRAWAL_CHECK_S: Final = 0.02
RETRY_DELAY_S: Final = 0.3
OTHERS_END_IT_S: Final = 2.0
"""How long a gateway that is not told all evidence waits for an end by those that are."""
LAST_WAIT_PART: Final = 0.6
"""Part of the time before the deadline for which more answers are waited for, or, by a gateway that
hears of too few others, their end of the roll-out."""
ALL_TOLD_AFTER_S: Final = 1.2 * REPEAT_INTERVAL_S
"""How long after it has seen the order a gateway has been told what the others know."""
MIN_REQUESTS_TO_TRUST: Final = 100
"""Requests to a service during a roll-out from which its version must be known to be sound."""
LAST_ANSWER_WAIT_S: Final = 1.0
"""How long a version is waited for that has given no answer when its roll-out should end."""
TELL_SESSIONS_INTERVAL_S: Final = 1.0
"""A keeper that has started, or was not reached, knows the sessions in progress after this time."""
PROGRESS_KIND: Final = "rollout-progress"
PROGRESS_MARKS: Final = (0.0, FIRST_STEP_AT, 0.3, 0.5, 0.6, 0.7, 0.8, 0.9)
"""Fractions of a roll-out's time at which its progress is saved: a fleet that is ended as a whole
goes on from the last."""


class Progress(TypedDict):
    """Progress of a roll-out, for gateways that saw the order late or start in the middle."""

    version: str
    part: Annotated[float, msgspec.Meta(ge=0, le=1)]


async def drive_rollouts(gw: Gateway) -> None:
    """Drive all roll-outs and end those that are due, until cancelled."""
    saved_marks: dict[str, _SavedMark] = {}
    while True:
        await curio.sleep(CHECK_INTERVAL_S)
        for rollout in gw.rollouts.all():
            now = clock.now()
            if rollout.order.state != "ordered":
                await _write_lost_end(gw, rollout, now)
                continue
            if _is_order_lost(gw, rollout):
                continue
            part = rollout.elapsed_fraction(now - _end_delay_s(gw, rollout, now))
            if rollout.withdrawal_reason:
                await _finish(gw, rollout, completed=False)
            elif part >= rollout.ramp.complete_at:
                await _decide(gw, rollout, part, now)
            else:
                _tell_sessions(gw, rollout, now)
                await _save_progress(gw, rollout, part, saved_marks)


def _end_delay_s(gw: Gateway, rollout: Rollout, now: float) -> float:
    """How much later than others this gateway writes the end of a roll-out."""
    order = rollout.order
    margin_s = (1 - rollout.ramp.complete_at) * order.duration_s
    spread_s = min(WRITE_SPREAD_S, MARGIN_SPREAD_PART * margin_s)
    return gw.peers.write_delay_s(
        spread_s, hash_fraction("duty", gw.cfg["name"], order.service), now
    )


async def _decide(gw: Gateway, rollout: Rollout, part: float, now: float) -> None:
    """End a roll-out whose time has come, on the evidence of all gateways.

    A version without any answer is given a little longer.  Gateways that are not told all evidence,
    or have just started, leave it to the others unless these don't end it.
    """
    judgement = gw.evidence_news.judge(rollout)
    order = rollout.order
    late_s = (part - rollout.ramp.complete_at) * order.duration_s
    is_told = _knows_enough(gw, rollout, judgement, now)
    if not judgement.doubt and not is_told and late_s < _wait_for_others_s(gw, rollout, now):
        _log_decision(gw, rollout, judgement, "left to others", now)
        return
    lack = (
        _lack_of_evidence(gw, rollout, judgement, now)
        if is_told
        else _lack_of_word(gw, rollout, now)
    )
    waits = is_told and judgement.is_trusted and late_s < _last_wait_s(rollout)
    if not judgement.doubt and lack and waits:
        _log_decision(gw, rollout, judgement, f"more answers are waited for: {lack}", now)
        return
    if judgement.doubt or lack:
        await _withdraw(gw, rollout, judgement, judgement.doubt or lack, now)
        return
    _log_decision(gw, rollout, judgement, "nothing speaks against it", now)
    is_known = judgement.answers > 0 or not gw.rollouts.has_requests(order.service, now)
    if is_known or not is_told:
        gw.rollout_news.tell_sound(rollout)
        await _finish(gw, rollout, completed=True)
    elif late_s >= LAST_ANSWER_WAIT_S:
        await _withdraw(gw, rollout, judgement, "it has given no answer", now)


def _log_decision(
    gw: Gateway, rollout: Rollout, judgement: Judgement, decision: str, now: float
) -> None:
    """Log on what grounds this gateway ends a roll-out or waits, once for each decision."""
    if rollout.logged_decision == decision:
        return
    rollout.logged_decision = decision
    logger.info(
        "end of the roll-out is due: {}",
        decision,
        service=rollout.order.service,
        version=rollout.order.version,
        answers=judgement.answers,
        log_odds=round(judgement.log_odds, 2),
        is_trusted=judgement.is_trusted,
        strongest_evidence=judgement.worst,
        excess=round(judgement.excess, 2),
        by_route=rollout.pool.answers_by_route(),
        evidence_of=rollout.pool.gateways,
        listed=gw.peers.fleet_size,
        not_passed_over=1 + len(gw.peers.alive(now)),
        heard=_heard_part(gw, rollout, now).heard,
        sent=rollout.account.known,
        upstreams=rollout.trial_upstreams,
        most_at_once=rollout.most_at_once,
    )


def _heard_part(gw: Gateway, rollout: Rollout, now: float) -> Coverage:
    """How many of the listed gateways this one hears of."""
    return coverage(gw.peers, rollout.account.heard(now, HEARD_S), now)


def _knows_enough(gw: Gateway, rollout: Rollout, judgement: Judgement, now: float) -> bool:
    """Whether this gateway may end a roll-out by the evidence that it has: it is told that of most
    gateways, or has enough of its own."""
    if not gw.peers.has_all_evidence(now) or now - rollout.seen_at < ALL_TOLD_AFTER_S:
        return False
    is_sure = judgement.is_trusted_alone and not judgement.unsure_route
    return is_sure or _heard_part(gw, rollout, now).has_majority


def _wait_for_others_s(gw: Gateway, rollout: Rollout, now: float) -> float:
    """How long a gateway that does not know enough waits for others to end a roll-out."""
    if not gw.peers.has_all_evidence(now) or now - rollout.seen_at < ALL_TOLD_AFTER_S:
        return OTHERS_END_IT_S
    return _last_wait_s(rollout)


def _last_wait_s(rollout: Rollout) -> float:
    """How long an end that is due may be put off so that it is still written in time."""
    return LAST_WAIT_PART * (1 - rollout.ramp.complete_at) * rollout.order.duration_s


def _lack_of_evidence(gw: Gateway, rollout: Rollout, judgement: Judgement, now: float) -> str:
    """Why a version is doubtful of which nothing bad is known: there were requests enough to learn
    more of it.  Empty if there were not, or enough is known."""
    sent, heard = rollout.account.known, _heard_part(gw, rollout, now)
    if heard.extrapolate(sent.total) < MIN_REQUESTS_TO_TRUST:
        return ""
    if judgement.is_trusted and judgement.unsure_route:
        known = rollout.pool.answers_by_route().get(judgement.unsure_route, RouteAnswers())
        answers = f"{known.answers:.0f} answers on {judgement.unsure_route}"
        return f"{answers}, {known.failures:.0f} failed" if known.failures else answers
    if judgement.is_trusted:
        return ""
    return f"of {sent.total} requests it had {sent.trial}, {judgement.answers} ended"


def _lack_of_word(gw: Gateway, rollout: Rollout, now: float) -> str:
    """Why a version is doubtful to a gateway that does not know enough: none that does has found it
    sound.  Empty if one has, or the service has no requests."""
    if rollout.is_found_sound:
        return ""
    heard = _heard_part(gw, rollout, now)
    if gw.peers.has_all_evidence(now) and not heard.has_majority:
        return f"only {heard.heard} of {heard.listed} gateways are heard of"
    if not gw.rollouts.has_requests(rollout.order.service, now):
        return ""
    return "no gateway that knows the evidence has found it sound"


async def _withdraw(
    gw: Gateway, rollout: Rollout, judgement: Judgement, doubt: str, now: float
) -> None:
    """Roll back a version that must not be completed."""
    order = rollout.order
    gw.rollout_news.withdraw(order.service, order.version, doubt, now)
    logger.warning(
        "version is doubtful: {}",
        doubt,
        service=order.service,
        version=order.version,
        log_odds=round(judgement.log_odds, 2),
        sent=rollout.account.known,
    )
    _log_decision(gw, rollout, judgement, "doubtful", now)
    await _finish(gw, rollout, completed=False)


def _is_order_lost(gw: Gateway, rollout: Rollout) -> bool:
    """Whether the store came back without an order, which the operator is about to write again."""
    retained = _orders_retained(gw)
    return rollout.order.service in retained and retained[rollout.order.service] is None


def _orders_retained(gw: Gateway) -> dict[str, StoredObject | None]:
    """Orders that the store lacks or holds without their end, with what it holds."""
    replica = gw.replicas.get(names.ROLLOUT_KIND)
    return replica.retained if replica is not None else {}


def _order_without_end(gw: Gateway, order: RolloutOrder) -> StoredObject | None:
    """The order as the store holds it, if that lacks the end which is known here."""
    replica = gw.replicas.get(names.ROLLOUT_KIND)
    if replica is None:
        return None
    stored = replica.retained.get(order.service) or replica.complete_object(order.service)
    found = rollout_order(stored) if stored is not None else None
    if found is None or isinstance(found, BadMessage):
        return None
    # A replica that has not yet seen the end that was just written is at an earlier state.
    lost = found.state == "ordered" and found.position >= order.position
    return stored if lost and found.version == order.version else None


async def _write_lost_end(gw: Gateway, rollout: Rollout, now: float) -> None:
    """Write the end of a roll-out again that the store holds without it."""
    order = rollout.order
    stored = _order_without_end(gw, order)
    if stored is None:
        rollout.write_end_at = float("inf")
        return
    if rollout.write_end_at == float("inf"):
        spread = hash_fraction("duty", gw.cfg["name"], order.service)
        rollout.write_end_at = now + gw.peers.write_delay_s(WRITE_SPREAD_S, spread, now)
    if now < rollout.write_end_at:
        return
    rollout.write_end_at = now + RETRY_DELAY_S
    status = rollout_status(order, order.state == "completed")
    got = await set_status(gw.store, names.ROLLOUT_KIND, order.service, stored.position, status)
    logger.info(
        "end of the roll-out written again",
        service=order.service,
        version=order.version,
        state=order.state,
        outcome=type(got).__name__,
    )


async def _finish(gw: Gateway, rollout: Rollout, completed: bool) -> None:
    """Write the status that ends a roll-out, unless it already has one."""
    order = rollout.order
    status = rollout_status(order, completed)
    got = await _write_status(gw, rollout, status, completed)
    if got is None:
        logger.info("write of the end given up", service=order.service, version=order.version)
        return
    if isinstance(got, Unavailable):
        logger.warning(
            "failed to write the end of the roll-out: {}", got.reason, service=order.service
        )
        await curio.sleep(RETRY_DELAY_S)
        return
    if isinstance(got, Conflict):
        await _refresh(gw, order)
        return
    logger.info(
        "roll-out {}",
        status["state"],
        service=order.service,
        version=order.version,
        reason=rollout.withdrawal_reason,
    )
    seen = rollout_order(got)
    if not isinstance(seen, BadMessage):
        gw.rollouts.update(seen, clock.now())


async def _write_status(
    gw: Gateway, rollout: Rollout, status: dict[str, str], completed: bool
) -> StoredObject | Conflict | Unavailable | None:
    """Write a status; None if a version that was to be completed is found to be bad meanwhile."""
    order = rollout.order
    timeout_s = _next_timeout_s(gw, rollout)
    async with curio.TaskGroup(wait=any) as group:
        writing = await group.spawn(
            set_status,
            gw.store,
            names.ROLLOUT_KIND,
            order.service,
            order.position,
            status,
            timeout_s,
        )
        if completed:
            await group.spawn(_wait_for_withdrawal, rollout)
    return writing.result if group.completed is writing else None


def _next_timeout_s(gw: Gateway, rollout: Rollout) -> float:
    """The timeout of the next write of an end; every other gateway begins with the longer one, so
    that some give up soon whenever the store is back."""
    place = sorted(gw.peers.names).index(gw.peers.own)
    timeout_s = END_TIMEOUTS_S[(place + rollout.end_tries) % len(END_TIMEOUTS_S)]
    rollout.end_tries += 1
    return timeout_s


async def _wait_for_withdrawal(rollout: Rollout) -> None:
    while not rollout.withdrawal_reason:
        await curio.sleep(WITHDRAWAL_CHECK_S)


async def _refresh(gw: Gateway, order: RolloutOrder) -> None:
    """Read the order after a conflict with another gateway or with an earlier write by this one."""
    got = await read(gw.store, names.ROLLOUT_KIND, order.service)
    if isinstance(got, StoredObject):
        seen = rollout_order(got)
        if not isinstance(seen, BadMessage):
            gw.rollouts.update(seen, clock.now())
            return
    logger.info(
        "roll-out was changed concurrently", service=order.service, found=type(got).__name__
    )
    if isinstance(got, Missing) and gw.store_returns.is_settled():
        gw.rollouts.remove(order.service)
    else:
        await curio.sleep(RETRY_DELAY_S)


def _tell_sessions(gw: Gateway, rollout: Rollout, now: float) -> None:
    """Tell the keepers of sessions again while they must not be moved."""
    if rollout.elapsed_fraction(now) < UNPIN_AT and now >= rollout.tell_sessions_at:
        rollout.tell_sessions_at = now + TELL_SESSIONS_INTERVAL_S
        gw.sessions.tell_all()


class _SavedMark(NamedTuple):
    """How many of `PROGRESS_MARKS` a roll-out had passed when its progress was saved last, and the
    store's era then."""

    era: int
    passed: int


async def _save_progress(
    gw: Gateway, rollout: Rollout, part: float, saved_marks: dict[str, _SavedMark]
) -> None:
    """Save progress to the store when a roll-out passes a mark, or when the store has come back
    without it."""
    passed = sum(part >= mark for mark in PROGRESS_MARKS)
    key = f"{rollout.order.service}/{rollout.order.version}"
    saved = saved_marks.get(key, _SavedMark(0, 0))
    replica = gw.replicas.get(PROGRESS_KIND)
    era = replica.position.era if replica is not None and replica.position is not None else 0
    if not passed or (era, passed) <= saved:
        return
    saved_marks[key] = _SavedMark(era, passed)
    if passed <= saved.passed:
        # All gateways notice a return at the same moment.
        spread = hash_fraction("progress", gw.cfg["name"])
        await curio.sleep(gw.peers.write_delay_s(WRITE_SPREAD_S, spread, clock.now()))
    if gw.rollouts.reported_fraction(rollout.order) < PROGRESS_MARKS[passed - 1]:
        await write_progress(gw, rollout, part)


async def write_progress(gw: Gateway, rollout: Rollout, part: float) -> None:
    """Write a roll-out's progress unless the store already has a later one."""
    order = rollout.order
    spec = Progress(version=order.version, part=part)
    found = await read(gw.store, PROGRESS_KIND, order.service)
    if isinstance(found, Missing):
        await create(gw.store, PROGRESS_KIND, order.service, spec)
    elif isinstance(found, StoredObject) and not _is_ahead(gw, found, spec):
        await replace(gw.store, PROGRESS_KIND, order.service, found.position, spec)


def progress_changed(gw: Gateway, obj: StoredObject) -> None:
    """Apply the progress of a roll-out from the store."""
    progress = gw.unreadable.decode_spec(PROGRESS_KIND, obj, Progress)
    if progress is None:
        return
    gw.rollouts.update_progress(obj.name, progress["version"], progress["part"], clock.now())


def _is_ahead(gw: Gateway, found: StoredObject, spec: Progress) -> bool:
    stored = gw.unreadable.decode_spec(PROGRESS_KIND, found, Progress)
    return (
        stored is not None
        and stored["version"] == spec["version"]
        and stored["part"] >= spec["part"]
    )
