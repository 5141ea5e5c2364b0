"""Selects the models to try for a request, and a version of each."""

from __future__ import annotations

from typing import NamedTuple

from ramppost.entry.job import AUTO_MODEL, Job
from ramppost.entry.state import Entry
from ramppost.errors import Refusal, refusal
from ramppost.policy.permissions import (
    ModelVersion,
    allowed,
    model_named,
    policy_named,
    running_rollout,
    version_state,
)
from ramppost.policy.routing import MODEL_ORDERS, PickedVersion, pick_version, policy_for
from ramppost.schema.config import ConfigDoc, Policy

NO_POLICY = ""
NO_UPSTREAM_RETRY_S = 1.0


class Route(NamedTuple):
    """Versions to try in this order, and the policy that selected them, if any."""

    picks: list[PickedVersion]
    policy: Policy | None

    @property
    def policy_name(self) -> str:
        """Name of the policy for statistics; empty if there is none."""
        return self.policy["name"] if self.policy else NO_POLICY


def route(entry: Entry, job: Job, doc: ConfigDoc) -> Route | Refusal:
    """Select the versions to try for a request, according to the active configuration."""
    if job.service:
        return Route([PickedVersion(ModelVersion("", ""), False)], None)
    if job.session is not None:
        return _route_session(job, doc)
    if job.requested_version.model == AUTO_MODEL:
        return _route_by_policy(entry, job, doc)
    if job.requested_version.version:
        return _route_named_version(job, doc)
    return _route_model(entry, job, doc, job.requested_version.model)


def _route_session(job: Job, doc: ConfigDoc) -> Route | Refusal:
    """Select the version that the session is pinned to."""
    assert job.session is not None
    mv = ModelVersion(job.session["model"], job.session["version"])
    if version_state(doc, mv) in ("withdrawn", "unknown"):
        return refusal("session_ended", f"the session's version {mv.text} was withdrawn")
    if not allowed(job.workspace, mv):
        return _forbidden_refusal(job, mv)
    if job.requested_version.model not in (
        AUTO_MODEL,
        mv.model,
    ) or job.requested_version.version not in ("", mv.version):
        return refusal(
            "bad_session",
            f"the session is on {mv.text}, not {job.requested_version.text.strip('@')}",
        )
    return Route([PickedVersion(mv, version_state(doc, mv) == "trial")], None)


def _route_named_version(job: Job, doc: ConfigDoc) -> Route | Refusal:
    """Select the version that the request names."""
    mv = job.requested_version
    state = version_state(doc, mv)
    if state == "unknown":
        return refusal("not_found", f"no such model version: {mv.text}")
    if not allowed(job.workspace, mv):
        return _forbidden_refusal(job, mv)
    if state == "withdrawn":
        return refusal("withdrawn", f"{mv.text} was withdrawn")
    return Route([PickedVersion(mv, state == "trial")], None)


def _route_model(entry: Entry, job: Job, doc: ConfigDoc, model: str) -> Route | Refusal:
    """Select a version of the model that the request names."""
    found = model_named(doc, model)
    if found is None:
        return refusal("not_found", f"no such model: {model}")
    versions = [ModelVersion(model, v["version"]) for v in found["versions"]]
    if not any(allowed(job.workspace, mv) for mv in versions):
        return _forbidden_refusal(job, ModelVersion(model, ""))
    pick = _pick_usable(entry, job, doc, model)
    if pick is None:
        return refusal("no_upstream", f"no live upstream for {model}", NO_UPSTREAM_RETRY_S)
    return Route([pick], None)


def _route_by_policy(entry: Entry, job: Job, doc: ConfigDoc) -> Route | Refusal:
    """Select the models of the workspace's policy and a version of each.

    A request that must not run twice can't go through a cascade and gets only its last model.
    """
    policy = policy_named(doc, policy_for(job.workspace, job.split_key))
    if policy is None:
        return refusal("not_found", f"workspace {job.workspace['name']} has no policy for `auto`")
    usable = [m for m in doc["models"] if _pick_usable(entry, job, doc, m["model"])]
    order = MODEL_ORDERS[policy["kind"]](policy)
    names = order(job.work_class["name"], usable, entry.learned_policy_state, entry.rng)
    if not job.repeatable:
        names = names[-1:]
    picks = [_pick_usable(entry, job, doc, name) for name in names]
    found = [pick for pick in picks if pick is not None]
    if not found:
        return refusal(
            "no_upstream", f"no live upstream for policy {policy['name']}", NO_UPSTREAM_RETRY_S
        )
    return Route(found, policy)


def _pick_usable(entry: Entry, job: Job, doc: ConfigDoc, model: str) -> PickedVersion | None:
    """Pick a permitted version that has usable upstreams.

    A trial version is left out if this entry's share of its exposure cap is used up.
    """

    def is_usable(mv: ModelVersion) -> bool:
        permitted = allowed(job.workspace, mv) and mv not in entry.paused_trials
        return permitted and bool(entry.upstreams.candidates(mv, ""))

    rollout = running_rollout(doc, model)
    if rollout is not None and not entry.may_send_to_trial(rollout):
        trial = rollout["trial"]
        return pick_version(
            doc, model, job.split_key, lambda mv: mv.version != trial and is_usable(mv)
        )
    return pick_version(doc, model, job.split_key, is_usable)


def _forbidden_refusal(job: Job, mv: ModelVersion) -> Refusal:
    name = mv.text.rstrip("@")
    return refusal("forbidden", f"workspace {job.workspace['name']} may not use {name}")
