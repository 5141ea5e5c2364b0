"""Policies of a deployment whose routes, keys and models are the platform's.

Pure.  What operators wish is carried out by `ramppost.policy.intent` on a whole
configuration document, as at an entry: `to_config` makes one of the policies and of what
the platform tells, and `from_config` takes the policies out again.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from ramppost.policy.permissions import policy_named, workspace_named
from ramppost.policy.routing import policy_for
from ramppost.schema.config import (
    ConfigDoc,
    Model,
    Operator,
    Policy,
    PolicyDoc,
    Version,
    WorkClass,
    Workspace,
    WorkspacePolicies,
)

SMALLEST: Final = "smallest"
LARGEST: Final = "largest"
"""Stand for a route's first and last model, so that one policy serves many routes."""
DEFAULT_POLICY: Final = Policy(name="default", kind="learned", models=[], threshold=0.5)
"""A cascade over a route's models whose threshold gives way while engines are short.  On calm
days thresholds of 0.5 and 0.6 are worth the same and 0.4 loses 0.02; on days with trouble lower
ones are worth more (one run of each day)."""
INPUT_PRICE_RATIO: Final = 0.25
"""What a token read costs, as a part of one that is made (the platform's prices)."""
ANY_VERSION: Final = "any"


class PlatformCatalog(NamedTuple):
    """What the platform tells: prices of a thousand tokens by model, and names of workspaces."""

    prices: dict[str, float]
    workspaces: list[str]


def empty_doc(operators: list[Operator]) -> PolicyDoc:
    """A document with the default policy alone."""
    return PolicyDoc(plan_id="", changed_by="", policies=[], workspaces=[], operators=operators)


def to_config(doc: PolicyDoc, revision: int, known: PlatformCatalog) -> ConfigDoc:
    """The whole configuration that the policies are a part of."""
    prices = known.prices
    by_price = sorted(prices, key=lambda name: prices[name])
    named = {SMALLEST: by_price[0], LARGEST: by_price[-1]} if by_price else {}
    models = [_model(name, price) for name, price in prices.items()]
    models += [_model(word, prices[name]) for word, name in named.items()]
    shares = {item["name"]: item["policies"] for item in doc["workspaces"]}
    default = [{"policy": DEFAULT_POLICY["name"], "share": 1.0}]
    return ConfigDoc(
        revision=revision,
        plan_id=doc["plan_id"],
        changed_by=doc["changed_by"],
        models=models,
        classes=[WorkClass(name="any", priority=0, repeatable=False, deadline_ms=1)],
        workspaces=[
            Workspace(
                name=name,
                token_hashes=[],
                allow=list(prices),
                services=[],
                tokens_per_s=0,
                burst_tokens=0,
                concurrency=0,
                policies=shares.get(name, default),  # type: ignore[arg-type]
            )
            for name in known.workspaces
        ],
        policies=[_listed(DEFAULT_POLICY, by_price), *doc["policies"]],
        rollouts=[],
        session_keys=[],
        operators=doc["operators"],
    )


def from_config(config: ConfigDoc, plan_id: str, changed_by: str) -> PolicyDoc:
    """The policies of a configuration."""
    default = DEFAULT_POLICY["name"]
    return PolicyDoc(
        plan_id=plan_id,
        changed_by=changed_by,
        policies=[p for p in config["policies"] if p["name"] != default],
        workspaces=[
            WorkspacePolicies(name=ws["name"], policies=ws["policies"])
            for ws in config["workspaces"]
            if [part["policy"] for part in ws["policies"]] != [default]
        ],
        operators=config["operators"],
    )


def effective_policy(config: ConfigDoc, workspace: str, who: str) -> Policy:
    """The policy that a session or request of a workspace falls to.

    >>> config = to_config(empty_doc([]), 1, PlatformCatalog({}, []))
    >>> effective_policy(config, "kitchen", "s1")["name"]
    'default'
    """
    ws = workspace_named(config, workspace)
    name = policy_for(ws, who) if ws is not None else ""
    if name in ("", DEFAULT_POLICY["name"]):
        return DEFAULT_POLICY
    return policy_named(config, name) or DEFAULT_POLICY


def select_models(policy: Policy, route_models: tuple[str, ...]) -> tuple[str, ...]:
    """The models of a route that a policy asks, in the order that the policy names them.

    All of the route's where the policy names none that the route has.

    >>> select_models(Policy(name="p", kind="fixed", models=["largest"]), ("s", "m", "l"))
    ('l',)
    """
    words = {SMALLEST: route_models[0], LARGEST: route_models[-1]}
    named = [words.get(name, name) for name in policy["models"]]
    found = tuple(dict.fromkeys(name for name in named if name in route_models))
    if not found:
        return route_models
    return found[:1] if policy["kind"] == "fixed" else found


def _model(name: str, price: float) -> Model:
    return Model(model=name, price=price, versions=[Version(version=ANY_VERSION, state="stable")])


def _listed(policy: Policy, models: list[str]) -> Policy:
    return Policy(
        name=policy["name"],
        kind=policy["kind"],
        models=models,
        threshold=policy.get("threshold", 0.0),
    )
