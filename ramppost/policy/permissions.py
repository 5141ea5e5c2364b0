"""Lookups and permission checks on a configuration: workspaces, models, versions, classes.

Entries and agents both use them, each with the newest revision that it has.
"""

from __future__ import annotations

import hashlib
from typing import Literal, NamedTuple

from ramppost.schema.config import ConfigDoc, Model, Operator, Policy, Rollout, WorkClass, Workspace

VersionState = Literal["stable", "trial", "paused", "withdrawn", "unknown"]


class ModelVersion(NamedTuple):
    """A version of a model."""

    model: str
    version: str

    @property
    def text(self) -> str:
        """The form used by callers, `model@version`."""
        return f"{self.model}@{self.version}"


def parse_model(text: str) -> ModelVersion:
    """Parse `model` or `model@version`; the version is empty if none is given."""
    model, _, version = text.partition("@")
    return ModelVersion(model, version)


def token_hash(token: str) -> str:
    """Hexadecimal SHA-256 of a bearer token, as stored in the configuration."""
    return hashlib.sha256(token.encode()).hexdigest()


def workspace_by_token(doc: ConfigDoc, token: str) -> Workspace | None:
    """The workspace that a bearer token belongs to."""
    digest = token_hash(token)
    return next((ws for ws in doc["workspaces"] if digest in ws["token_hashes"]), None)


def operator_by_token(doc: ConfigDoc, token: str) -> Operator | None:
    """The operator that a bearer token belongs to."""
    digest = token_hash(token)
    return next((op for op in doc["operators"] if digest == op["token_hash"]), None)


def workspace_named(doc: ConfigDoc, name: str) -> Workspace | None:
    """The workspace with a name, if any."""
    return next((ws for ws in doc["workspaces"] if ws["name"] == name), None)


def model_named(doc: ConfigDoc, name: str) -> Model | None:
    """The model with a name, if any."""
    return next((m for m in doc["models"] if m["model"] == name), None)


def class_named(doc: ConfigDoc, name: str) -> WorkClass | None:
    """The request class with a name, if any."""
    return next((c for c in doc["classes"] if c["name"] == name), None)


def policy_named(doc: ConfigDoc, name: str) -> Policy | None:
    """The policy with a name, if any."""
    return next((p for p in doc["policies"] if p["name"] == name), None)


def running_rollout(doc: ConfigDoc, model: str) -> Rollout | None:
    """The running rollout of a model, if any."""
    running = (r for r in doc["rollouts"] if r["model"] == model and r["state"] == "running")
    return next(running, None)


def version_state(doc: ConfigDoc, mv: ModelVersion) -> VersionState:
    """The state of a version; `unknown` if the configuration does not contain it."""
    model = model_named(doc, mv.model)
    for version in model["versions"] if model else []:
        if version["version"] == mv.version:
            return version["state"]
    return "unknown"


def allowed(ws: Workspace, mv: ModelVersion) -> bool:
    """Whether a workspace may use a version: its model or the version itself is allowed."""
    return mv.model in ws["allow"] or mv.text in ws["allow"]


def denial_reason(doc: ConfigDoc, workspace: str, mv: ModelVersion) -> str:
    """Why a workspace may not run a version now; empty if it may."""
    ws = workspace_named(doc, workspace)
    if ws is None or not allowed(ws, mv):
        return "forbidden"
    state = version_state(doc, mv)
    return "withdrawn" if state in ("withdrawn", "unknown") else ""
