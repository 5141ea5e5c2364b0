"""Which models to try for a request, and which version of each."""

from __future__ import annotations

from typing import NamedTuple

from ramppost.entry.job import AUTO, Job
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
RETRY_S = 1.0


class Route(NamedTuple):
    """Versions to try in order, and the policy that chose them, if one did."""

    picks: list[PickedVersion]
    policy: Policy | None

    @property
    def policy_name(self) -> str:
        """The policy's name, for counting."""
        return self.policy["name"] if self.policy else NO_POLICY


def route(entry: Entry, ask: Job, doc: ConfigDoc) -> Route | Refusal:
    """The versions to try for a request by the configuration in force."""
    if ask.service:
        return Route([PickedVersion(ModelVersion("", ""), False)], None)
    if ask.session is not None:
        return _route_session(ask, doc)
    if ask.requested_version.model == AUTO:
        return _auto(entry, ask, doc)
    if ask.requested_version.version:
        return _named(ask, doc)
    return _model(entry, ask, doc, ask.requested_version.model)


def _route_session(ask: Job, doc: ConfigDoc) -> Route | Refusal:
    """A session keeps its version."""
    assert ask.session is not None
    mv = ModelVersion(ask.session["model"], ask.session["version"])
    if version_state(doc, mv) in ("withdrawn", "unknown"):
        return refusal("session_ended", f"the session's version {mv.text} was withdrawn")
    if not allowed(ask.ws, mv):
        return _forbidden(ask, mv)
    if ask.requested_version.model not in (AUTO, mv.model) or ask.requested_version.version not in (
        "",
        mv.version,
    ):
        return refusal(
            "bad_session",
            f"the session is on {mv.text}, not {ask.requested_version.text.strip('@')}",
        )
    return Route([PickedVersion(mv, version_state(doc, mv) == "trial")], None)


def _named(ask: Job, doc: ConfigDoc) -> Route | Refusal:
    mv = ask.requested_version
    state = version_state(doc, mv)
    if state == "unknown":
        return refusal("not_found", f"no such model version: {mv.text}")
    if not allowed(ask.ws, mv):
        return _forbidden(ask, mv)
    if state == "withdrawn":
        return refusal("withdrawn", f"{mv.text} was withdrawn")
    return Route([PickedVersion(mv, state == "trial")], None)


def _model(entry: Entry, ask: Job, doc: ConfigDoc, model: str) -> Route | Refusal:
    found = model_named(doc, model)
    if found is None:
        return refusal("not_found", f"no such model: {model}")
    versions = [ModelVersion(model, v["version"]) for v in found["versions"]]
    if not any(allowed(ask.ws, mv) for mv in versions):
        return _forbidden(ask, ModelVersion(model, ""))
    pick = _pick(entry, ask, doc, model)
    if pick is None:
        return refusal("no_upstream", f"no live upstream for {model}", RETRY_S)
    return Route([pick], None)


def _auto(entry: Entry, ask: Job, doc: ConfigDoc) -> Route | Refusal:
    """What the policy says; a request that may run only once has no cascade, but its last model."""
    policy = policy_named(doc, policy_for(ask.ws, ask.who))
    if policy is None:
        return refusal("not_found", f"workspace {ask.ws['name']} has no policy for `auto`")
    usable = [m for m in doc["models"] if _pick(entry, ask, doc, m["model"])]
    order = MODEL_ORDERS[policy["kind"]](policy)
    names = order(ask.cls["name"], usable, entry.learned_policy_state, entry.rng)
    if not ask.repeatable:
        names = names[-1:]
    picks = [_pick(entry, ask, doc, name) for name in names]
    found = [pick for pick in picks if pick is not None]
    if not found:
        return refusal("no_upstream", f"no live upstream for policy {policy['name']}", RETRY_S)
    return Route(found, policy)


def _pick(entry: Entry, ask: Job, doc: ConfigDoc, model: str) -> PickedVersion | None:
    def may(mv: ModelVersion) -> bool:
        free = allowed(ask.ws, mv) and mv not in entry.paused_trials
        return free and bool(entry.upstreams.candidates(mv, ""))

    rollout = running_rollout(doc, model)
    if rollout is not None and not entry.may_send_to_trial(rollout):
        trial = rollout["trial"]
        return pick_version(doc, model, ask.who, lambda mv: mv.version != trial and may(mv))
    return pick_version(doc, model, ask.who, may)


def _forbidden(ask: Job, mv: ModelVersion) -> Refusal:
    name = mv.text.rstrip("@")
    return refusal("forbidden", f"workspace {ask.ws['name']} may not use {name}")
