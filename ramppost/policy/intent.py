"""Applies operator intents to a configuration document.

No I/O.  `apply_intent` returns the document that would be in force, or why the intent can't be
applied; `config_diff` lists what would change, one line per change.
"""

from __future__ import annotations

import copy
import secrets
from collections.abc import Callable
from itertools import pairwise
from typing import Any, Final, NamedTuple

from ramppost.policy.permissions import (
    ModelVersion,
    model_named,
    policy_named,
    running_rollout,
    version_state,
    workspace_named,
)
from ramppost.policy.rollout import DEFAULT_SLOW_SHARE
from ramppost.schema.config import ConfigDoc, Model, Policy, PolicyShare, Rollout, SessionKey
from ramppost.schema.messages import Intent

DEFAULT_STEPS: Final = [0.01, 0.1, 0.5, 1.0]
DEFAULT_STEP_S: Final = 600.0
DEFAULT_MAX_ERROR_SHARE: Final = 0.2
DEFAULT_MAX_RATING_DROP: Final = 0.1
DEFAULT_MIN_REQUESTS: Final = 20
MAX_PAST_ROLLOUTS: Final = 20
MAX_SESSION_KEYS: Final = 2


class BadIntent(NamedTuple):
    """Why an intent can't be applied."""

    reason: str


def apply_intent(doc: ConfigDoc, intent: Intent) -> ConfigDoc | BadIntent:
    """Return a copy of the document with the intent applied; the revision is not changed."""
    updated = copy.deepcopy(doc)
    error = INTENT_HANDLERS[intent["kind"]](updated, intent)
    return BadIntent(error) if error else updated


def _start_rollout(doc: ConfigDoc, intent: Intent) -> str:
    mv = ModelVersion(intent.get("model", ""), intent.get("version", ""))
    model = model_named(doc, mv.model)
    if model is None:
        return f"no such model: {mv.model!r}"
    if running_rollout(doc, mv.model):
        return f"a roll-out of {mv.model} is under way; withdraw its trial first"
    stable = [v["version"] for v in model["versions"] if v["state"] == "stable"]
    if not stable or mv.version in stable:
        return f"{mv.text} is stable already, or {mv.model} has no stable version"
    steps = intent.get("steps", DEFAULT_STEPS)
    if not steps or steps[-1] != 1 or any(a >= b for a, b in pairwise(steps)):
        return "steps must rise and end with 1"
    _set_state(model, mv.version, "trial")
    rollout = Rollout(
        model=mv.model,
        stable=stable[-1],
        trial=mv.version,
        steps=steps,
        step=0,
        step_s=intent.get("step_s", DEFAULT_STEP_S),
        state="running",
        max_error_share=intent.get("max_error_share", DEFAULT_MAX_ERROR_SHARE),
        max_rating_drop=intent.get("max_rating_drop", DEFAULT_MAX_RATING_DROP),
        since_revision=doc["revision"] + 1,
        max_slow_share=intent.get("max_slow_share", DEFAULT_SLOW_SHARE),
        min_requests=intent.get("min_requests", DEFAULT_MIN_REQUESTS),
    )
    if "max_exposed" in intent:
        rollout["max_exposed"] = intent["max_exposed"]
    doc["rollouts"] = [*doc["rollouts"][-MAX_PAST_ROLLOUTS:], rollout]
    return ""


def _withdraw_version(doc: ConfigDoc, intent: Intent) -> str:
    mv = ModelVersion(intent.get("model", ""), intent.get("version", ""))
    model = model_named(doc, mv.model)
    if model is None or version_state(doc, mv) == "unknown":
        return f"no such model version: {mv.text}"
    _set_state(model, mv.version, "withdrawn")
    rollout = running_rollout(doc, mv.model)
    if rollout is not None and rollout["trial"] == mv.version:
        rollout["state"] = "withdrawn"
        rollout["note"] = "withdrawn by an operator"
    return ""


def _set_permissions(doc: ConfigDoc, intent: Intent) -> str:
    ws = workspace_named(doc, intent.get("workspace", ""))
    if ws is None:
        return f"no such workspace: {intent.get('workspace', '')!r}"
    allow = intent.get("allow")
    if allow is None:
        return "allow is missing"
    unknown = [name for name in allow if model_named(doc, name.partition("@")[0]) is None]
    if unknown:
        return f"no such model: {', '.join(unknown)}"
    ws["allow"] = allow
    return ""


def _set_limits(doc: ConfigDoc, intent: Intent) -> str:
    ws = workspace_named(doc, intent.get("workspace", ""))
    if ws is None:
        return f"no such workspace: {intent.get('workspace', '')!r}"
    ws["tokens_per_s"] = intent.get("tokens_per_s", ws["tokens_per_s"])
    ws["burst_tokens"] = intent.get("burst_tokens", ws["burst_tokens"])
    ws["concurrency"] = intent.get("concurrency", ws["concurrency"])
    if min(ws["tokens_per_s"], ws["burst_tokens"], ws["concurrency"]) < 0:
        return "limits must not be below zero"
    return ""


def _set_cascade(doc: ConfigDoc, intent: Intent) -> str:
    name, models = intent.get("policy", ""), intent.get("models", [])
    unknown = [m for m in models if model_named(doc, m) is None]
    if not name or not models or unknown:
        return f"policy and models are needed; unknown models: {', '.join(unknown) or 'none'}"
    policy = Policy(
        name=name, kind="cascade", models=models, threshold=intent.get("threshold", 0.7)
    )
    doc["policies"] = [p for p in doc["policies"] if p["name"] != name] + [policy]
    return ""


def _start_comparison(doc: ConfigDoc, intent: Intent) -> str:
    ws = workspace_named(doc, intent.get("workspace", ""))
    split = intent.get("split", [])
    if ws is None or not split:
        return "workspace and split are needed"
    unknown = [p["policy"] for p in split if policy_named(doc, p["policy"]) is None]
    if unknown:
        return f"no such policy: {', '.join(unknown)}"
    ws["policies"] = [PolicyShare(policy=p["policy"], share=p["share"]) for p in split]
    return ""


def _end_comparison(doc: ConfigDoc, intent: Intent) -> str:
    name = intent.get("policy", "")
    if policy_named(doc, name) is None:
        return f"no such policy: {name!r}"
    ws = workspace_named(doc, intent.get("workspace", ""))
    if ws is None:
        return f"no such workspace: {intent.get('workspace', '')!r}"
    ws["policies"] = [PolicyShare(policy=name, share=1.0)]
    return ""


def _rotate_session_key(doc: ConfigDoc, intent: Intent) -> str:
    new_key = SessionKey(id=secrets.token_hex(3), secret=secrets.token_hex(32))
    doc["session_keys"] = [new_key, *doc["session_keys"]][:MAX_SESSION_KEYS]
    return ""


INTENT_HANDLERS: Final[dict[str, Callable[[ConfigDoc, Intent], str]]] = {
    "rollout": _start_rollout,
    "withdraw": _withdraw_version,
    "permissions": _set_permissions,
    "limits": _set_limits,
    "cascade": _set_cascade,
    "compare": _start_comparison,
    "end_compare": _end_comparison,
    "rotate_session_key": _rotate_session_key,
}


def _set_state(model: Model, version: str, state: str) -> None:
    for item in model["versions"]:
        if item["version"] == version:
            item["state"] = state  # type: ignore[typeddict-item]
            return
    model["versions"].append({"version": version, "state": state})  # type: ignore[typeddict-item]


def advance_rollout(doc: ConfigDoc, model: str) -> ConfigDoc:
    """Return the document with a model's rollout advanced by one step."""
    updated = copy.deepcopy(doc)
    rollout = running_rollout(updated, model)
    assert rollout is not None
    rollout["step"] += 1
    return updated


def finish_rollout(doc: ConfigDoc, model: str) -> ConfigDoc:
    """Return the document with a model's trial version made stable.

    The former stable version is paused, and keeps its sessions.
    """
    updated = copy.deepcopy(doc)
    rollout, model_entry = running_rollout(updated, model), model_named(updated, model)
    assert rollout is not None and model_entry is not None
    rollout["state"] = "done"
    _set_state(model_entry, rollout["trial"], "stable")
    _set_state(model_entry, rollout["stable"], "paused")
    return updated


def withdraw_trial(doc: ConfigDoc, model: str, reason: str) -> ConfigDoc:
    """Return the document with a model's trial version withdrawn by the rollout guards."""
    updated = copy.deepcopy(doc)
    rollout, model_entry = running_rollout(updated, model), model_named(updated, model)
    assert rollout is not None and model_entry is not None
    rollout["state"] = "withdrawn"
    rollout["note"] = reason
    _set_state(model_entry, rollout["trial"], "withdrawn")
    return updated


SECRET_FIELDS: Final = ("secret", "token_hash", "token_hashes")


def config_diff(old: Any, new: Any, path: str = "$") -> list[str]:
    """List the differences of two values, one line each; secrets are left out."""
    if old == new:
        return []
    if path.rpartition(".")[2] in SECRET_FIELDS:
        return [f"{path}: changed"]
    if isinstance(old, dict) and isinstance(new, dict):
        lines = []
        for key in sorted({*old, *new}):
            lines += config_diff(old.get(key), new.get(key), f"{path}.{key}")
        return lines
    if isinstance(old, list) and isinstance(new, list) and len(old) == len(new):
        lines = []
        for index, (a, b) in enumerate(zip(old, new, strict=True)):
            lines += config_diff(a, b, f"{path}[{index}]")
        return lines
    if isinstance(old, list) and isinstance(new, list):
        removed = [f"{path}: - {_without_secrets(a)}" for a in old if a not in new]
        return removed + [f"{path}: + {_without_secrets(b)}" for b in new if b not in old]
    return [f"{path}: {_without_secrets(old)} -> {_without_secrets(new)}"]


def _without_secrets(value: Any) -> str:
    if isinstance(value, dict):
        value = {k: v for k, v in value.items() if k not in SECRET_FIELDS}
    return str(value)


def warnings_for(doc: ConfigDoc, intent: Intent) -> list[str]:
    """Warnings that are shown to the operator before the plan is confirmed."""
    lines = []
    kind = intent["kind"]
    if kind == "withdraw":
        model = model_named(doc, intent.get("model", ""))
        stable = [v for v in (model["versions"] if model else []) if v["state"] == "stable"]
        if [v["version"] for v in stable] == [intent.get("version")]:
            lines.append("this is the model's only stable version: its requests will be refused")
        lines.append("sessions on this version end")
    if kind == "permissions" and not intent.get("allow"):
        lines.append("the workspace will be able to use no model")
    if kind == "rotate_session_key":
        lines.append(f"sessions made with a key older than the last {MAX_SESSION_KEYS} end")
    return lines


def expected_effect(doc: ConfigDoc, intent: Intent, traffic_share: float) -> str:
    """Describe the expected effect; `traffic_share` is the model's share of requests here."""
    kind = intent["kind"]
    if kind == "rollout":
        steps = intent.get("steps", DEFAULT_STEPS)
        at_most = steps[0] * traffic_share
        share = f"{steps[0]:.1%} of the model's new sessions, {at_most:.2%} of all requests"
        return f"step 1 sends {share}, to the trial"
    if kind == "withdraw":
        return f"{traffic_share:.1%} of requests move to the model's other versions or are refused"
    prices = sorted(m["price"] for m in doc["models"])
    return f"models cost {prices[0]:g} to {prices[-1]:g} a thousand tokens" if prices else "none"
