"""Evaluates running rollouts, and exchanges answers and ratings with the rating service.

Every entry evaluates every rollout.  The first one writes the next step by a conditional update,
and the others find it written.  The state of a rollout is in the configuration only, so any
entry can continue it.
"""

from __future__ import annotations

from typing import Final

import curio
from loguru import logger

from ramppost import clock, ids
from ramppost.entry.changes import apply_change
from ramppost.entry.state import Entry
from ramppost.platform.objects import Unavailable
from ramppost.platform.ratings import ratings_after, submit_answers
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

EVALUATION_PERIOD_S: Final = 0.2
RATINGS_PERIOD_S: Final = 0.5
IDLE_RATINGS_PERIOD_S: Final = 5.0
CONTROLLER_NAME: Final = "rollout-controller"
MAX_UNRATED_ANSWERS: Final = 2000


class RolloutProgress:
    """Progress of a running rollout at this entry: its step, and the counts when the step began."""

    def __init__(self) -> None:
        self.step = -1
        self.step_started_at = 0.0
        self.counts_at_step_start = OutcomeCounts()


async def run_rollouts(entry: Entry) -> None:
    """Evaluate running rollouts periodically until cancelled."""
    progress_by_trial: dict[CountKey, RolloutProgress] = {}
    while True:
        await curio.sleep(EVALUATION_PERIOD_S)
        doc = entry.conf.doc
        running = [r for r in doc["rollouts"] if r["state"] == "running"] if doc else []
        rollout_by_trial = {trial_count_key(r): r for r in running}
        progress_by_trial = {
            trial: progress
            for trial, progress in progress_by_trial.items()
            if trial in rollout_by_trial
        }
        for trial, rollout in rollout_by_trial.items():
            if trial not in progress_by_trial:
                progress_by_trial[trial] = RolloutProgress()
                entry.paused_trials.discard(trial.mv)
            assert doc is not None
            await _evaluate(entry, doc, rollout, trial, progress_by_trial[trial])


async def _evaluate(
    entry: Entry, doc: ConfigDoc, rollout: Rollout, trial: CountKey, progress: RolloutProgress
) -> None:
    stable = ModelVersion(rollout["model"], rollout["stable"])
    now = clock.now()
    counts = entry.upstreams.total_counts(trial.mv, trial.since)
    if progress.step != rollout["step"]:
        progress.step, progress.step_started_at, progress.counts_at_step_start = (
            rollout["step"],
            now,
            counts,
        )
    in_step = counts_since(counts, progress.counts_at_step_start)
    verdict = evaluate_rollout(
        rollout,
        entry.upstreams.total_counts(stable),
        counts,
        entry.ratings.get(stable, Ratings()).all,
        entry.ratings.get(trial.mv, Ratings()).since(trial.since),
        now - progress.step_started_at,
        in_step.ok + in_step.bad,
    )
    if verdict.action == "withdraw":
        entry.paused_trials.add(trial.mv)
    if verdict.action != "wait":
        await _apply_verdict(entry, doc, rollout, verdict)


async def _apply_verdict(entry: Entry, doc: ConfigDoc, rollout: Rollout, verdict: Verdict) -> None:
    model = rollout["model"]
    if verdict.action == "withdraw":
        new_doc = withdraw_trial(doc, model, verdict.reason)
    elif verdict.action == "advance":
        new_doc = advance_rollout(doc, model)
    else:
        new_doc = finish_rollout(doc, model)
    logger.info("rollout of {}: {} ({})", model, verdict.action, verdict.reason)
    await apply_change(entry, doc["revision"], new_doc, ids.new_id("auto"), CONTROLLER_NAME)


async def exchange_ratings(entry: Entry) -> None:
    """Submit answers for rating and read new ratings until cancelled.

    Without a running rollout this is done every `IDLE_RATINGS_PERIOD_S` only.
    """
    last_seq = 0
    since_exchange_s = 0.0
    platform = entry.cfg["platform"]
    while True:
        await curio.sleep(RATINGS_PERIOD_S)
        since_exchange_s += RATINGS_PERIOD_S
        if not _has_running_rollout(entry) and since_exchange_s < IDLE_RATINGS_PERIOD_S:
            continue
        since_exchange_s = 0.0
        if entry.unrated_answers:
            batch, entry.unrated_answers = entry.unrated_answers, []
            if not await submit_answers(entry.pool, platform, batch):
                entry.unrated_answers = [*batch, *entry.unrated_answers][-MAX_UNRATED_ANSWERS:]
        found = await ratings_after(entry.pool, platform, last_seq)
        for rating in [] if isinstance(found, Unavailable) else found:
            last_seq = max(last_seq, rating["seq"])
            mv = ModelVersion(rating["model"], rating["version"])
            revision = ids.revision_of(rating["request_id"])
            entry.ratings.setdefault(mv, Ratings()).add(revision, rating["score"])
            _record_rating(entry, rating["request_id"], rating["class_name"], mv, rating["score"])


def _has_running_rollout(entry: Entry) -> bool:
    """Whether a rollout is running, so that ratings are urgent."""
    doc = entry.conf.doc
    return doc is not None and any(r["state"] == "running" for r in doc["rollouts"])


def _record_rating(
    entry: Entry, request_id: str, class_name: str, mv: ModelVersion, score: float
) -> None:
    """Record a rating of an answer.

    Every entry updates its learned state from every rating; only the entry that served the
    request counts the rating for the policy that routed it.
    """
    entry.learned_policy_state.add_rating(class_name, mv.model, score)
    served = entry.stats.served_requests.get(request_id)
    if served is None:
        return
    entry.stats.policy_stats(served.policy).ratings.add(score)
    doc = entry.conf.doc
    for policy in doc["policies"] if doc else []:
        if policy["name"] == served.policy and policy["kind"] == "learned":
            entry.learned_policy_state.update_quality_price(policy.get("target", 0.0), score)
