"""What a configuration allows: workspaces, models, versions, classes.

Entry and agent both ask here, each against the newest revision it knows.
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
        """As callers write it, `model@version`."""
        return f"{self.model}@{self.version}"


def parse_model(text: str) -> ModelVersion:
    """`m` or `m@v`; the version is empty where none is named."""
    model, _, version = text.partition("@")
    return ModelVersion(model, version)


def token_hash(token: str) -> str:
    """SHA-256 of a bearer token, hexadecimal, as the configuration keeps it."""
    return hashlib.sha256(token.encode()).hexdigest()


def workspace_by_token(doc: ConfigDoc, token: str) -> Workspace | None:
    """The workspace that a bearer token names."""
    digest = token_hash(token)
    return next((ws for ws in doc["workspaces"] if digest in ws["token_hashes"]), None)


def operator_by_token(doc: ConfigDoc, token: str) -> Operator | None:
    """The operator that a bearer token names."""
    digest = token_hash(token)
    return next((op for op in doc["operators"] if digest == op["token_hash"]), None)


def workspace_named(doc: ConfigDoc, name: str) -> Workspace | None:
    """A workspace by name."""
    return next((ws for ws in doc["workspaces"] if ws["name"] == name), None)


def model_named(doc: ConfigDoc, name: str) -> Model | None:
    """A model by name."""
    return next((m for m in doc["models"] if m["model"] == name), None)


def class_named(doc: ConfigDoc, name: str) -> WorkClass | None:
    """A class of work by name."""
    return next((c for c in doc["classes"] if c["name"] == name), None)


def policy_named(doc: ConfigDoc, name: str) -> Policy | None:
    """A policy by name."""
    return next((p for p in doc["policies"] if p["name"] == name), None)


def running_rollout(doc: ConfigDoc, model: str) -> Rollout | None:
    """The roll-out under way for a model."""
    found = (r for r in doc["rollouts"] if r["model"] == model and r["state"] == "running")
    return next(found, None)


def version_state(doc: ConfigDoc, mv: ModelVersion) -> VersionState:
    """The state of a version; `unknown` where the configuration has none."""
    model = model_named(doc, mv.model)
    for item in model["versions"] if model else []:
        if item["version"] == mv.version:
            return item["state"]
    return "unknown"


def allowed(ws: Workspace, mv: ModelVersion) -> bool:
    """Whether a workspace may use a version: by its model, or by name."""
    return mv.model in ws["allow"] or mv.text in ws["allow"]


def denial_reason(doc: ConfigDoc, workspace: str, mv: ModelVersion) -> str:
    """Why a workspace may not run a version now; empty where it may."""
    ws = workspace_named(doc, workspace)
    if ws is None or not allowed(ws, mv):
        return "forbidden"
    state = version_state(doc, mv)
    return "withdrawn" if state in ("withdrawn", "unknown") else ""
