"""The intent API at a gateway: plan and confirm a change of policies, look at reports.

The same paths, tokens and messages as an entry's, so the same commands work.  Plans and
the document of policies lie in the store; a confirmation is one conditional write.  What the
platform decides (routes, keys, versions) can't be changed here.
"""

from __future__ import annotations

from typing import Any, Final, TypeVar

import curio
from loguru import logger

from ramppost import ids
from ramppost.errors import Refusal, error_body, refusal
from ramppost.gateway.copies import COPY_PATH, copies
from ramppost.gateway.feed import FEED_PATH, feed
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
from ramppost.policy.intent import BadIntent, apply_intent, difference, effect_of, warnings_for
from ramppost.policy.permissions import operator_of
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

PLAN_KIND: Final = "plans"
STATUS_PATH: Final = "/x/status"
REPORT_PATH: Final = "/x/report"
ASK_TIMEOUT_S: Final = 2.0
RETRY_S: Final = 2.0
"""When to come back where the store gave no answer."""
ROLES: Final = {"/v1/intents": "plan", "/v1/status": "read", "/v1/report": "read"}
WISHES: Final = ("cascade", "compare", "end_compare")

T = TypeVar("T")


def internal(gw: Gateway) -> Handler:
    """What other gateways and operators may ask."""
    told = feed(gw)
    copied = copies(gw)

    async def handle(req: Request, reply: Reply) -> None:
        if req.path == FEED_PATH:
            await told(req, reply)
        elif req.path == COPY_PATH:
            await copied(req, reply)
        elif req.path == STATUS_PATH:
            await reply.send(200, encode(_own_status(gw)))
        elif req.path == REPORT_PATH:
            await reply.send(200, encode(gw.counts.report(gw.cfg["name"])))
        else:
            await _serve_operator(gw, req, reply)

    return handle


async def _serve_operator(gw: Gateway, req: Request, reply: Reply) -> None:
    out = await _answer(gw, req)
    if isinstance(out, Refusal):
        logger.info("operator refused: {}", out.message, code=out.code, path=req.path)
        await reply.send(out.status, error_body(out))
    else:
        await reply.send(200, out)


async def _answer(gw: Gateway, req: Request) -> bytes | Refusal:
    confirming = req.path.startswith("/v1/plans/") and req.path.endswith("/confirm")
    role = "confirm" if confirming else ROLES.get(req.path)
    if role is None:
        return refusal("not_found", f"no such path: {req.path}")
    who = operator_of(gw.policies.config(), bearer(req))
    if who is None:
        return refusal("unauthorized", "operator token missing or unknown")
    if role not in who["roles"]:
        return refusal("forbidden", f"operator {who['name']} may not {role}")
    if confirming:
        plan_id = req.path.removeprefix("/v1/plans/").removesuffix("/confirm")
        return await _confirm(gw, who, plan_id)
    if req.path == "/v1/intents":
        return await _plan(gw, who, req)
    if req.path == "/v1/status":
        return encode(await _status(gw))
    return encode(await _reports(gw))


async def _plan(gw: Gateway, who: Operator, req: Request) -> bytes | Refusal:
    intent = decode(req.body, Intent)
    if isinstance(intent, BadMessage):
        return refusal("bad_intent", f"intent: {intent.reason}")
    if intent["kind"] not in WISHES:
        return refusal("bad_intent", f"{intent['kind']} is the platform's to decide here")
    config = gw.policies.config()
    fresh = apply_intent(config, intent)
    if isinstance(fresh, BadIntent):
        return refusal("bad_intent", fresh.reason)
    plan_id = ids.new_id("plan")
    plan = Plan(
        plan_id=plan_id,
        revision=gw.policies.revision,
        made_by=who["name"],
        wish=req.body.decode(),
        difference=difference(config, fresh),
        checks=[f"made for revision {gw.policies.revision}"],
        warnings=warnings_for(config, intent),
        effect=effect_of(config, intent, 1.0),
        result=encode(from_config(fresh, plan_id, who["name"])).decode(),
    )
    out = await create(gw.store, PLAN_KIND, plan_id, plan)
    if not isinstance(out, StoredObject):
        return _store_away(out)
    return encode(plan | {"result": ""})


async def _confirm(gw: Gateway, who: Operator, plan_id: str) -> bytes | Refusal:
    found = await read(gw.store, PLAN_KIND, plan_id)
    if isinstance(found, Missing):
        return refusal("not_found", f"no such plan: {plan_id}")
    if isinstance(found, Unavailable):
        return _store_away(found)
    plan = decode(encode(found.spec), Plan)
    assert not isinstance(plan, BadMessage), plan
    doc = decode(plan["result"].encode(), PolicyDoc)
    assert not isinstance(doc, BadMessage), doc
    doc["changed_by"] = who["name"]
    return await _write(gw, plan, doc)


async def _write(gw: Gateway, plan: Plan, doc: PolicyDoc) -> bytes | Refusal:
    """Put a document in force; confirming again, or after a lost answer, finds it there."""
    out = await replace(gw.store, POLICY_KIND, POLICY_NAME, plan["revision"], doc)
    if not isinstance(out, StoredObject):
        held = await read(gw.store, POLICY_KIND, POLICY_NAME)
        if isinstance(held, Unavailable):
            code = "confirm_unknown" if isinstance(out, Unavailable) else "platform_down"
            return refusal(code, f"the store gave no answer: {held.reason}", RETRY_S)
        if isinstance(held, Missing) or held.spec.get("plan_id") != plan["plan_id"]:
            return _stale(plan, held)
        out = held
    gw.policies.seen(out)
    logger.info("plan confirmed", plan=plan["plan_id"], revision=out.revision)
    return encode({"plan_id": plan["plan_id"], "revision": out.revision})


def _stale(plan: Plan, held: StoredObject | Missing) -> Refusal:
    now = held.revision if isinstance(held, StoredObject) else 0
    return refusal("stale_plan", f"made for revision {plan['revision']}, now {now}: plan again")


def _store_away(out: Unavailable | Conflict) -> Refusal:
    why = out.reason if isinstance(out, Unavailable) else "the object is there already"
    return refusal("platform_down", f"the store gave no answer: {why}", RETRY_S)


# --- reports


def _own_status(gw: Gateway) -> EntryStatus:
    return EntryStatus(
        entry=gw.cfg["name"],
        name=gw.cfg["name"],
        hall=gw.cfg["hall"],
        rev=gw.policies.revision,
        state="leaving" if gw.leaving else "live",
    )


async def _status(gw: Gateway) -> StatusReport:
    """The revision of the policies in force at every gateway that is known."""
    found = await _of_others(gw, STATUS_PATH, EntryStatus)
    lines = [_line(gw.cfg["name"], "", _own_status(gw))]
    lines += [_line(name, gw.peers.addrs[name], status) for name, status in found.items()]
    rollouts = [f"{r.order.service}: {r.order.version} {r.order.state}" for r in gw.rollouts.all()]
    return StatusReport(revision=gw.policies.revision, rollouts=rollouts, processes=lines)


def _line(name: str, addr: str, status: EntryStatus | None) -> ProcessStatus:
    return ProcessStatus(
        name=name,
        role="gateway",
        addr=addr,
        hall=status["hall"] if status else "",
        rev=status["rev"] if status else 0,
        state=status["state"] if status else "no answer",
    )


async def _reports(gw: Gateway) -> list[Report]:
    """The reports of all gateways that answer."""
    found = await _of_others(gw, REPORT_PATH, Report)
    own = gw.counts.report(gw.cfg["name"])
    return [own, *(report for report in found.values() if report is not None)]


async def _of_others(gw: Gateway, path: str, kind: type[T]) -> dict[str, T | None]:
    """What every other gateway answers, None where one does not."""
    tasks = {
        name: await curio.spawn(_ask, gw, addr, path, kind) for name, addr in gw.peers.addrs.items()
    }
    return {name: await task.join() for name, task in tasks.items()}


async def _ask(gw: Gateway, addr: str, path: str, kind: type[T]) -> T | None:
    got = await call(gw.store.pool, addr, "GET", path, timeout_s=ASK_TIMEOUT_S)
    if isinstance(got, CallFailed) or got.status != 200:
        logger.info("gateway does not answer", addr=addr, path=path)
        return None
    found: Any = decode(got.body, kind)
    return None if isinstance(found, BadMessage) else found
