"""Which orders an upstream is due by the configuration.

Pure.  A version on trial is loaded wherever its stable one is served, before any
request for it can be sent there.  Nothing is unloaded by order: a withdrawn
version costs memory only, and may have sessions to come back to.

An order carries the configuration's revision as its fence.  Revisions never go
back in an agent, so its own orders never do; an engine that checks fences refuses
those of an agent that was paused while another took its place.
"""

from __future__ import annotations

from typing import NamedTuple

from ramppost.policy.permissions import ModelVersion
from ramppost.schema.config import ConfigDoc


class LoadOrder(NamedTuple):
    """Load a version's weights; `fence` is the revision that it goes by."""

    fence: int
    mv: ModelVersion


def orders_due(doc: ConfigDoc, served: set[ModelVersion]) -> list[LoadOrder]:
    """Orders for an upstream that serves these versions.

    >>> rollout = {"model": "large", "stable": "v1", "trial": "v2", "state": "running"}
    >>> orders_due({"revision": 7, "rollouts": [rollout]}, {ModelVersion("large", "v1")})
    [LoadOrder(fence=7, mv=ModelVersion(model='large', version='v2'))]
    """
    due: list[LoadOrder] = []
    for rollout in doc["rollouts"]:
        trial = ModelVersion(rollout["model"], rollout["trial"])
        stable = ModelVersion(rollout["model"], rollout["stable"])
        if rollout["state"] == "running" and stable in served and trial not in served:
            due.append(LoadOrder(doc["revision"], trial))
    return due
