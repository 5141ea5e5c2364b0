"""Drives roll-outs and takes in ratings.

Every entry does the same; whoever is first writes the next step by conditional
update, the others find it done.  Nothing is kept between: the roll-out's state
is in the configuration, and any entry carries on from there.
"""

from __future__ import annotations

import time
from typing import Final

import curio
from loguru import logger

from ramppost import ids
from ramppost.entry.changes import change
from ramppost.entry.state import Entry
from ramppost.platform.objects import Unavailable
from ramppost.platform.ratings import hand_in, ratings_after
from ramppost.policy.intent import advance, finish, withdraw_trial
from ramppost.policy.permissions import ModelVersion
from ramppost.policy.rollout import Counts, Verdict, judge
from ramppost.policy.routing import Mean
from ramppost.schema.config import ConfigDoc, Rollout

PERIOD_S: Final = 0.2
RATINGS_PERIOD_S: Final = 0.5
CALM_PERIOD_S: Final = 2.0
CONTROLLER: Final = "rollout-controller"
MAX_UNRATED: Final = 2000


class Step:
    """When this entry first saw a step, and the trial's requests until then."""

    def __init__(self, name: tuple[str, str, int], since: float, counts: Counts) -> None:
        self.name = name
        self.since = since
        self.counts = counts


async def drive(entry: Entry) -> None:
    """Judge running roll-outs until cancelled."""
    steps: dict[str, Step] = {}
    while True:
        await curio.sleep(PERIOD_S)
        doc = entry.conf.doc
        for rollout in doc["rollouts"] if doc else []:
            if doc is not None and rollout["state"] == "running":
                await _judge_one(entry, doc, rollout, steps)


async def _judge_one(
    entry: Entry, doc: ConfigDoc, rollout: Rollout, steps: dict[str, Step]
) -> None:
    model = rollout["model"]
    trial = ModelVersion(model, rollout["trial"])
    stable = ModelVersion(model, rollout["stable"])
    now = time.monotonic()
    counts = entry.ups.totals(trial)
    name = (model, rollout["trial"], rollout["step"])
    if model not in steps or steps[model].name != name:
        steps[model] = Step(name, now, counts)
    step = steps[model]
    verdict = judge(
        rollout,
        entry.ups.totals(stable),
        counts,
        entry.ratings.get(stable, Mean()),
        entry.ratings.get(trial, Mean()),
        now - step.since,
        counts.ok + counts.bad - step.counts.ok - step.counts.bad,
    )
    if verdict.action == "withdraw":
        entry.paused.add(trial)
    if verdict.action != "wait":
        await _carry_out(entry, doc, rollout, verdict)


async def _carry_out(entry: Entry, doc: ConfigDoc, rollout: Rollout, verdict: Verdict) -> None:
    model = rollout["model"]
    if verdict.action == "withdraw":
        fresh = withdraw_trial(doc, model, verdict.reason)
    elif verdict.action == "advance":
        fresh = advance(doc, model)
    else:
        fresh = finish(doc, model)
    logger.info("roll-out of {}: {} ({})", model, verdict.action, verdict.reason)
    await change(entry, doc["revision"], fresh, ids.new_id("auto"), CONTROLLER)


async def rate(entry: Entry) -> None:
    """Hand answers in for rating and take in late ratings, until cancelled."""
    after = 0
    platform = entry.cfg["platform"]
    while True:
        await curio.sleep(RATINGS_PERIOD_S if _rolling(entry) else CALM_PERIOD_S)
        if entry.to_rate:
            batch, entry.to_rate = entry.to_rate, []
            if not await hand_in(entry.pool, platform, batch):
                entry.to_rate = [*batch, *entry.to_rate][-MAX_UNRATED:]
        found = await ratings_after(entry.pool, platform, after)
        for rating in [] if isinstance(found, Unavailable) else found:
            after = max(after, rating["seq"])
            mv = ModelVersion(rating["model"], rating["version"])
            entry.ratings.setdefault(mv, Mean()).add(rating["score"])
            _learn(entry, rating["request_id"], rating["class_name"], mv, rating["score"])


def _rolling(entry: Entry) -> bool:
    """Whether a roll-out is under way, so that ratings are urgent."""
    doc = entry.conf.doc
    return doc is not None and any(r["state"] == "running" for r in doc["rollouts"])


def _learn(entry: Entry, request_id: str, class_name: str, mv: ModelVersion, score: float) -> None:
    """Every entry learns from every rating; policies are counted where they chose."""
    entry.learned.rate(class_name, mv.model, score)
    served = entry.stats.served.get(request_id)
    if served is None:
        return
    entry.stats.policy(served.policy).ratings.add(score)
    doc = entry.conf.doc
    for policy in doc["policies"] if doc else []:
        if policy["name"] == served.policy and policy["kind"] == "learned":
            entry.learned.steer(policy.get("target", 0.0), score)
