"""The intent API of a gateway: plan and confirm policy changes, read status and reports.

It has the same paths, tokens and messages as the API of an entry, so the same commands work.
Plans and the policy document are in the store; a confirmation is one conditional write.  What
the platform decides (routes, keys, versions) can't be changed here.
"""

from __future__ import annotations

from typing import Any, Final, TypeVar

import curio
from loguru import logger

from ramppost import ids
from ramppost.errors import Refusal, error_body, refusal
from ramppost.gateway.copies import COPY_PATH, copy_handler
from ramppost.gateway.feed import FEED_PATH, feed_handler
from ramppost.gateway.plans import PLAN_KIND
from ramppost.gateway.policies import POLICY_KIND, POLICY_NAME
from ramppost.gateway.state import Gateway
from ramppost.platform.store import (
    Conflict,
    Missing,
    StoredObject,
    Unavailable,
    create,
    read,
    replace,
)
from ramppost.policy.intent import (
    BadIntent,
    apply_intent,
    config_diff,
    expected_effect,
    warnings_for,
)
from ramppost.policy.permissions import operator_by_token
from ramppost.policy.policydoc import from_config
from ramppost.schema.config import Operator, PolicyDoc
from ramppost.schema.messages import (
    EntryStatus,
    Intent,
    Plan,
    ProcessStatus,
    Report,
    StatusReport,
)
from ramppost.wire.client import CallFailed, call
from ramppost.wire.codec import BadMessage, decode, encode
from ramppost.wire.server import Handler, Reply, Request, bearer

STATUS_PATH: Final = "/x/status"
REPORT_PATH: Final = "/x/report"
PEER_TIMEOUT_S: Final = 2.0
RETRY_AFTER_S: Final = 2.0
"""Retry delay given to the operator if the store gave no answer."""
REQUIRED_ROLES: Final = {"/v1/intents": "plan", "/v1/status": "read", "/v1/report": "read"}
ALLOWED_INTENTS: Final = ("cascade", "compare", "end_compare")

T = TypeVar("T")


def internal_handler(gw: Gateway) -> Handler:
    """The handler of requests from other gateways and from operators."""
    serve_feed = feed_handler(gw)
    serve_copy = copy_handler(gw)

    async def handle(req: Request, reply: Reply) -> None:
        if req.path == FEED_PATH:
            await serve_feed(req, reply)
        elif req.path == COPY_PATH:
            await serve_copy(req, reply)
        elif req.path == STATUS_PATH:
            await reply.send(200, encode(_own_status(gw)))
        elif req.path == REPORT_PATH:
            await reply.send(200, encode(gw.counts.report(gw.cfg["name"])))
        else:
            await _serve_operator(gw, req, reply)

    return handle


async def _serve_operator(gw: Gateway, req: Request, reply: Reply) -> None:
    result = await _answer(gw, req)
    if isinstance(result, Refusal):
        logger.info("operator refused: {}", result.message, code=result.code, path=req.path)
        await reply.send(result.status, error_body(result))
    else:
        await reply.send(200, result)


async def _answer(gw: Gateway, req: Request) -> bytes | Refusal:
    confirming = req.path.startswith("/v1/plans/") and req.path.endswith("/confirm")
    role = "confirm" if confirming else REQUIRED_ROLES.get(req.path)
    if role is None:
        return refusal("not_found", f"no such path: {req.path}")
    operator = operator_by_token(gw.policies.config(), bearer(req))
    if operator is None:
        return refusal("unauthorized", "operator token missing or unknown")
    if role not in operator["roles"]:
        return refusal("forbidden", f"operator {operator['name']} may not {role}")
    if confirming:
        plan_id = req.path.removeprefix("/v1/plans/").removesuffix("/confirm")
        return await _confirm_plan(gw, operator, plan_id)
    if req.path == "/v1/intents":
        return await _create_plan(gw, operator, req)
    if req.path == "/v1/status":
        return encode(await _status(gw))
    return encode(await _reports(gw))


async def _create_plan(gw: Gateway, operator: Operator, req: Request) -> bytes | Refusal:
    intent = decode(req.body, Intent)
    if isinstance(intent, BadMessage):
        return refusal("bad_intent", f"intent: {intent.reason}")
    if intent["kind"] not in ALLOWED_INTENTS:
        return refusal("bad_intent", f"{intent['kind']} is the platform's to decide here")
    config = gw.policies.config()
    changed = apply_intent(config, intent)
    if isinstance(changed, BadIntent):
        return refusal("bad_intent", changed.reason)
    plan_id = ids.new_id("plan")
    plan = Plan(
        plan_id=plan_id,
        revision=gw.policies.revision,
        made_for=gw.policies.doc["plan_id"],
        made_by=operator["name"],
        wish=req.body.decode(),
        difference=config_diff(config, changed),
        checks=[f"made for revision {gw.policies.revision}"],
        warnings=warnings_for(config, intent),
        effect=expected_effect(config, intent, 1.0),
        result=encode(from_config(changed, plan_id, operator["name"])).decode(),
    )
    created = await create(gw.store, PLAN_KIND, plan_id, plan)
    if not isinstance(created, StoredObject):
        return _store_refusal(created)
    gw.plans.add(plan, created.era)
    return encode(plan | {"result": ""})


async def _confirm_plan(gw: Gateway, operator: Operator, plan_id: str) -> bytes | Refusal:
    stored = await read(gw.store, PLAN_KIND, plan_id)
    if isinstance(stored, Missing) and gw.store_returns.is_settled():
        return refusal("not_found", f"no such plan: {plan_id}")
    if isinstance(stored, Missing):
        return _rewriting_refusal(f"plan {plan_id}")
    if isinstance(stored, Unavailable):
        return _store_refusal(stored)
    plan = decode(encode(stored.spec), Plan)
    if isinstance(plan, BadMessage):
        return refusal("not_found", f"the plan {plan_id} can't be read: {plan.reason}")
    return await _put_in_force(gw, operator, plan)


async def _put_in_force(gw: Gateway, operator: Operator, plan: Plan) -> bytes | Refusal:
    """Replace the document that the plan was made for.

    A repeated confirmation, or one after a lost response, finds its own document already stored.
    """
    current = await read(gw.store, POLICY_KIND, POLICY_NAME)
    if isinstance(current, Unavailable):
        return _store_refusal(current)
    if isinstance(current, Missing):
        lost = gw.policies.revision > 0 and not gw.store_returns.is_settled()
        return _rewriting_refusal("the policies") if lost else _stale_plan_refusal(plan, current)
    if gw.policies.is_newer_than(current):
        return _rewriting_refusal("the policies")
    if _plan_id(current) == plan["plan_id"]:
        return _confirmed(gw, plan, current)
    if not _is_made_for(plan, current):
        return _stale_plan_refusal(plan, current)
    doc = _confirmed_doc(operator, plan, current)
    written = await replace(gw.store, POLICY_KIND, POLICY_NAME, current.position, doc)
    if isinstance(written, StoredObject):
        return _confirmed(gw, plan, written)
    stored = await read(gw.store, POLICY_KIND, POLICY_NAME)
    if isinstance(stored, Unavailable):
        code = "confirm_unknown" if isinstance(written, Unavailable) else "platform_down"
        return refusal(code, f"the store gave no answer: {stored.reason}", RETRY_AFTER_S)
    if isinstance(stored, Missing) or _plan_id(stored) != plan["plan_id"]:
        return _stale_plan_refusal(plan, stored)
    return _confirmed(gw, plan, stored)


def _plan_id(stored: StoredObject) -> Any:
    """The plan that a document names; None if it can't be read, as anybody may have written it."""
    return stored.spec.get("plan_id") if isinstance(stored.spec, dict) else None


def _is_made_for(plan: Plan, current: StoredObject) -> bool:
    """Whether a plan changes this document.  Its revision says so in one era of the store only."""
    if "made_for" in plan:
        return bool(_plan_id(current) == plan["made_for"])
    return current.revision == plan["revision"]


def _confirmed_doc(operator: Operator, plan: Plan, current: StoredObject) -> PolicyDoc:
    doc = decode(plan["result"].encode(), PolicyDoc)
    assert not isinstance(doc, BadMessage), doc
    doc["changed_by"] = operator["name"]
    doc["era"] = current.era
    doc["generation"] = current.spec.get("generation", 0) + 1
    return doc


def _confirmed(gw: Gateway, plan: Plan, written: StoredObject) -> bytes:
    gw.policies.update(written)
    logger.info("plan confirmed", plan=plan["plan_id"], revision=written.revision)
    return encode({"plan_id": plan["plan_id"], "revision": written.revision})


def _rewriting_refusal(what: str) -> Refusal:
    reason = f"the store came back from an older copy, and {what} may be written to it again"
    return refusal("platform_down", reason, RETRY_AFTER_S)


def _stale_plan_refusal(plan: Plan, stored: StoredObject | Missing) -> Refusal:
    now = stored.revision if isinstance(stored, StoredObject) else 0
    return refusal("stale_plan", f"made for revision {plan['revision']}, now {now}: plan again")


def _store_refusal(failure: Unavailable | Conflict) -> Refusal:
    reason = failure.reason if isinstance(failure, Unavailable) else "the object is there already"
    return refusal("platform_down", f"the store gave no answer: {reason}", RETRY_AFTER_S)


# --- status and reports


def _own_status(gw: Gateway) -> EntryStatus:
    return EntryStatus(
        entry=gw.cfg["name"],
        name=gw.cfg["name"],
        hall=gw.cfg["hall"],
        rev=gw.policies.revision,
        state="leaving" if gw.draining else "live",
    )


async def _status(gw: Gateway) -> StatusReport:
    """The revision of the policies in force at every known gateway."""
    statuses = await _ask_peers(gw, STATUS_PATH, EntryStatus)
    lines = [_process_status(gw.cfg["name"], "", _own_status(gw))]
    lines += [
        _process_status(name, gw.peers.addrs[name], status) for name, status in statuses.items()
    ]
    rollouts = [f"{r.order.service}: {r.order.version} {r.order.state}" for r in gw.rollouts.all()]
    return StatusReport(revision=gw.policies.revision, rollouts=rollouts, processes=lines)


def _process_status(name: str, addr: str, status: EntryStatus | None) -> ProcessStatus:
    return ProcessStatus(
        name=name,
        role="gateway",
        addr=addr,
        hall=status["hall"] if status else "",
        rev=status["rev"] if status else 0,
        state=status["state"] if status else "no answer",
    )


async def _reports(gw: Gateway) -> list[Report]:
    """The reports of all gateways that answer, this one first."""
    reports = await _ask_peers(gw, REPORT_PATH, Report)
    own = gw.counts.report(gw.cfg["name"])
    return [own, *(report for report in reports.values() if report is not None)]


async def _ask_peers(gw: Gateway, path: str, kind: type[T]) -> dict[str, T | None]:
    """The response of every other gateway; None for one that does not answer."""
    tasks = {
        name: await curio.spawn(_ask_peer, gw, addr, path, kind)
        for name, addr in gw.peers.addrs.items()
    }
    return {name: await task.join() for name, task in tasks.items()}


async def _ask_peer(gw: Gateway, addr: str, path: str, kind: type[T]) -> T | None:
    answer = await call(gw.store.pool, addr, "GET", path, timeout_s=PEER_TIMEOUT_S)
    if isinstance(answer, CallFailed) or answer.status != 200:
        logger.info("gateway does not answer", addr=addr, path=path)
        return None
    decoded: Any = decode(answer.body, kind)
    return None if isinstance(decoded, BadMessage) else decoded
