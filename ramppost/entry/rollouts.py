"""Drives roll-outs and takes in ratings.

Every entry does the same; whoever is first writes the next step by conditional
update, the others find it done.  Nothing is kept between: the roll-out's state
is in the configuration, and any entry carries on from there.
"""

from __future__ import annotations

from typing import Final

import curio
from loguru import logger

from ramppost import clock, ids
from ramppost.entry.changes import change
from ramppost.entry.state import Entry
from ramppost.platform.objects import Unavailable
from ramppost.platform.ratings import hand_in, ratings_after
from ramppost.policy.intent import advance_rollout, finish_rollout, withdraw_trial
from ramppost.policy.permissions import ModelVersion
from ramppost.policy.rollout import (
    CountKey,
    OutcomeCounts,
    Ratings,
    Verdict,
    counts_since,
    evaluate_rollout,
    trial_count_key,
)
from ramppost.schema.config import ConfigDoc, Rollout

PERIOD_S: Final = 0.2
RATINGS_PERIOD_S: Final = 0.5
CALM_PERIOD_S: Final = 5.0
CONTROLLER: Final = "rollout-controller"
MAX_UNRATED: Final = 2000


class Watched:
    """A running roll-out as this entry sees it: its step, and what was counted before that."""

    def __init__(self) -> None:
        self.step = -1
        self.step_since = 0.0
        self.step_before = OutcomeCounts()


async def drive(entry: Entry) -> None:
    """Judge running roll-outs until cancelled."""
    watched: dict[CountKey, Watched] = {}
    while True:
        await curio.sleep(PERIOD_S)
        doc = entry.conf.doc
        running = [r for r in doc["rollouts"] if r["state"] == "running"] if doc else []
        now = {trial_count_key(r): r for r in running}
        watched = {trial: seen for trial, seen in watched.items() if trial in now}
        for trial, rollout in now.items():
            if trial not in watched:
                watched[trial] = Watched()
                entry.paused.discard(trial.mv)
            assert doc is not None
            await _judge_one(entry, doc, rollout, trial, watched[trial])


async def _judge_one(
    entry: Entry, doc: ConfigDoc, rollout: Rollout, trial: CountKey, seen: Watched
) -> None:
    stable = ModelVersion(rollout["model"], rollout["stable"])
    now = clock.now()
    counts = entry.ups.totals(trial.mv, trial.since)
    if seen.step != rollout["step"]:
        seen.step, seen.step_since, seen.step_before = rollout["step"], now, counts
    in_step = counts_since(counts, seen.step_before)
    verdict = evaluate_rollout(
        rollout,
        entry.ups.totals(stable),
        counts,
        entry.ratings.get(stable, Ratings()).all,
        entry.ratings.get(trial.mv, Ratings()).since(trial.since),
        now - seen.step_since,
        in_step.ok + in_step.bad,
    )
    if verdict.action == "withdraw":
        entry.paused.add(trial.mv)
    if verdict.action != "wait":
        await _carry_out(entry, doc, rollout, verdict)


async def _carry_out(entry: Entry, doc: ConfigDoc, rollout: Rollout, verdict: Verdict) -> None:
    model = rollout["model"]
    if verdict.action == "withdraw":
        fresh = withdraw_trial(doc, model, verdict.reason)
    elif verdict.action == "advance":
        fresh = advance_rollout(doc, model)
    else:
        fresh = finish_rollout(doc, model)
    logger.info("roll-out of {}: {} ({})", model, verdict.action, verdict.reason)
    await change(entry, doc["revision"], fresh, ids.new_id("auto"), CONTROLLER)


async def rate(entry: Entry) -> None:
    """Hand answers in for rating and take in late ratings, until cancelled."""
    after = 0
    waited_s = 0.0
    platform = entry.cfg["platform"]
    while True:
        await curio.sleep(RATINGS_PERIOD_S)
        waited_s += RATINGS_PERIOD_S
        if not _rolling(entry) and waited_s < CALM_PERIOD_S:
            continue
        waited_s = 0.0
        if entry.to_rate:
            batch, entry.to_rate = entry.to_rate, []
            if not await hand_in(entry.pool, platform, batch):
                entry.to_rate = [*batch, *entry.to_rate][-MAX_UNRATED:]
        found = await ratings_after(entry.pool, platform, after)
        for rating in [] if isinstance(found, Unavailable) else found:
            after = max(after, rating["seq"])
            mv = ModelVersion(rating["model"], rating["version"])
            revision = ids.revision_of(rating["request_id"])
            entry.ratings.setdefault(mv, Ratings()).add(revision, rating["score"])
            _learn(entry, rating["request_id"], rating["class_name"], mv, rating["score"])


def _rolling(entry: Entry) -> bool:
    """Whether a roll-out is under way, so that ratings are urgent."""
    doc = entry.conf.doc
    return doc is not None and any(r["state"] == "running" for r in doc["rollouts"])


def _learn(entry: Entry, request_id: str, class_name: str, mv: ModelVersion, score: float) -> None:
    """Every entry learns from every rating; policies are counted where they chose."""
    entry.learned.add_rating(class_name, mv.model, score)
    served = entry.stats.served.get(request_id)
    if served is None:
        return
    entry.stats.policy(served.policy).ratings.add(score)
    doc = entry.conf.doc
    for policy in doc["policies"] if doc else []:
        if policy["name"] == served.policy and policy["kind"] == "learned":
            entry.learned.update_quality_price(policy.get("target", 0.0), score)
