"""Determines the orders that an upstream must receive according to the configuration.

No I/O.  The trial version of a running rollout is loaded wherever its stable version is served,
before any request for it can be sent there.  Versions are never unloaded by order: a withdrawn
version costs only memory, and its sessions may return to it.

An order carries the configuration's revision as its fencing token.  An agent never goes back to
an earlier revision, so the tokens of its own orders never decrease.  An engine that checks them
rejects the orders of an agent that was paused while another agent replaced it.
"""

from __future__ import annotations

from typing import NamedTuple

from ramppost.policy.permissions import ModelVersion
from ramppost.schema.config import ConfigDoc


class LoadOrder(NamedTuple):
    """Order to load a version's weights; `fence` is the configuration revision it is based on."""

    fence: int
    mv: ModelVersion


def orders_due(doc: ConfigDoc, served: set[ModelVersion]) -> list[LoadOrder]:
    """Return the orders due for an upstream that serves the given versions.

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
