"""Policies of a deployment whose routes, keys and models are managed by the platform.

No I/O.  Operator intents are applied by `ramppost.policy.intent` to a whole configuration
document, as on an entry: `to_config` makes one of the policies and the platform's catalog, and
`from_config` extracts the policies again.
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
"""Aliases of a route's first and last model, so that one policy can serve many routes."""
DEFAULT_POLICY: Final = Policy(name="default", kind="learned", models=[], threshold=0.5)
"""A cascade over a route's models whose threshold is lowered while engines are short.  On test
days without faults, thresholds of 0.5 and 0.6 score the same and 0.4 scores 0.02 less; on days
with faults, lower thresholds score more (one run of each day)."""
INPUT_PRICE_RATIO: Final = 0.25
"""Price of an input token relative to an output token (the platform's prices)."""
ANY_VERSION: Final = "any"


class PlatformCatalog(NamedTuple):
    """Data from the platform: prices of a thousand tokens by model, and workspace names."""

    prices: dict[str, float]
    workspaces: list[str]


def empty_doc(operators: list[Operator]) -> PolicyDoc:
    """A document without policies, with which every workspace uses the default policy."""
    return PolicyDoc(plan_id="", changed_by="", policies=[], workspaces=[], operators=operators)


def order_of(doc: PolicyDoc) -> tuple[int, int]:
    """Orders documents by when they were confirmed, over returns of the store from older copies.

    One that was confirmed after a return is newer than any that was lost by it.

    >>> doc = empty_doc([])
    >>> lost = PolicyDoc(**{**doc, "era": 0, "generation": 7})
    >>> order_of(doc) < order_of(lost) < order_of(PolicyDoc(**{**doc, "era": 1, "generation": 5}))
    True
    """
    return (doc.get("era", 0), doc.get("generation", 0))


def to_config(doc: PolicyDoc, revision: int, catalog: PlatformCatalog) -> ConfigDoc:
    """Build the whole configuration document that the policies are a part of."""
    prices = catalog.prices
    by_price = sorted(prices, key=lambda name: prices[name])
    aliases = {SMALLEST: by_price[0], LARGEST: by_price[-1]} if by_price else {}
    models = [_model(name, price) for name, price in prices.items()]
    models += [_model(alias, prices[name]) for alias, name in aliases.items()]
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
            for name in catalog.workspaces
        ],
        policies=[_with_models(DEFAULT_POLICY, by_price), *doc["policies"]],
        rollouts=[],
        session_keys=[],
        operators=doc["operators"],
    )


def from_config(config: ConfigDoc, plan_id: str, changed_by: str) -> PolicyDoc:
    """Extract the policies of a configuration, without the default policy."""
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


def effective_policy(config: ConfigDoc, workspace: str, routing_key: str) -> Policy:
    """The policy that applies to a session or request of a workspace.

    >>> config = to_config(empty_doc([]), 1, PlatformCatalog({}, []))
    >>> effective_policy(config, "kitchen", "s1")["name"]
    'default'
    """
    ws = workspace_named(config, workspace)
    name = policy_for(ws, routing_key) if ws is not None else ""
    if name in ("", DEFAULT_POLICY["name"]):
        return DEFAULT_POLICY
    return policy_named(config, name) or DEFAULT_POLICY


def select_models(policy: Policy, route_models: tuple[str, ...]) -> tuple[str, ...]:
    """The models of a route that a policy uses, in the policy's order.

    All models of the route if the policy names none of them.

    >>> select_models(Policy(name="p", kind="fixed", models=["largest"]), ("s", "m", "l"))
    ('l',)
    """
    aliases = {SMALLEST: route_models[0], LARGEST: route_models[-1]}
    named = [aliases.get(name, name) for name in policy["models"]]
    selected = tuple(dict.fromkeys(name for name in named if name in route_models))
    if not selected:
        return route_models
    return selected[:1] if policy["kind"] == "fixed" else selected


def _model(name: str, price: float) -> Model:
    return Model(model=name, price=price, versions=[Version(version=ANY_VERSION, state="stable")])


def _with_models(policy: Policy, models: list[str]) -> Policy:
    return Policy(
        name=policy["name"],
        kind=policy["kind"],
        models=models,
        threshold=policy.get("threshold", 0.0),
    )
