"""The operator API: post an intent, get a plan, confirm it; status, history and reports."""

from __future__ import annotations

from typing import Final

from ramppost import ids
from ramppost.entry.changes import Applied, InDoubt, Stale, apply_change, history_line, read_history
from ramppost.entry.report import collect_reports, collect_status
from ramppost.entry.sink import send_refusal
from ramppost.entry.state import Entry
from ramppost.errors import Refusal, refusal
from ramppost.platform.objects import Absent, Found, Unavailable, get, put
from ramppost.policy.intent import (
    BadIntent,
    apply_intent,
    config_diff,
    expected_effect,
    warnings_for,
)
from ramppost.policy.permissions import operator_by_token
from ramppost.schema.config import ConfigDoc, Operator
from ramppost.schema.messages import Intent, Plan
from ramppost.settings import check_config_doc
from ramppost.wire.codec import BadMessage, decode, encode
from ramppost.wire.server import Reply, Request, bearer

PLANS_PREFIX: Final = "plans/"
RETRY_S: Final = 2.0
ROLE_BY_PATH: Final = {
    "/v1/intents": "plan",
    "/v1/status": "read",
    "/v1/history": "read",
    "/v1/report": "read",
}


async def handle_operator_request(entry: Entry, doc: ConfigDoc, req: Request, reply: Reply) -> None:
    """Serve a request of an operator, if its role allows it."""
    confirming = req.path.startswith("/v1/plans/") and req.path.endswith("/confirm")
    role = "confirm" if confirming else ROLE_BY_PATH.get(req.path)
    if role is None:
        await send_refusal(reply, refusal("not_found", f"no such path: {req.path}"))
        return
    operator = operator_by_token(doc, bearer(req))
    if operator is None:
        await send_refusal(reply, refusal("unauthorized", "operator token missing or unknown"))
        return
    if role not in operator["roles"]:
        await send_refusal(
            reply, refusal("forbidden", f"operator {operator['name']} may not {role}")
        )
        return
    out = await _answer(entry, doc, operator, req, confirming)
    if isinstance(out, Refusal):
        await send_refusal(reply, out)
    else:
        await reply.send(200, out)


async def _answer(
    entry: Entry, doc: ConfigDoc, operator: Operator, req: Request, confirming: bool
) -> bytes | Refusal:
    if confirming:
        plan_id = req.path.removeprefix("/v1/plans/").removesuffix("/confirm")
        return await _confirm(entry, operator, plan_id)
    if req.path == "/v1/intents":
        return await _plan(entry, doc, operator, req)
    if req.path == "/v1/status":
        return encode(await collect_status(entry))
    if req.path == "/v1/report":
        return encode(await collect_reports(entry))
    lines = await read_history(entry)
    if isinstance(lines, Unavailable):
        return _platform_down(lines)
    former = [line for line in lines if line["revision"] < doc["revision"]]
    return encode([*former, history_line(doc)])


def _platform_down(out: Unavailable) -> Refusal:
    return refusal("platform_down", f"the platform gave no answer: {out.reason}", RETRY_S)


async def _plan(entry: Entry, doc: ConfigDoc, operator: Operator, req: Request) -> bytes | Refusal:
    intent = decode(req.body, Intent)
    if isinstance(intent, BadMessage):
        return refusal("bad_intent", f"intent: {intent.reason}")
    new_doc = apply_intent(doc, intent)
    if isinstance(new_doc, BadIntent):
        return refusal("bad_intent", new_doc.reason)
    faults = check_config_doc(new_doc)
    if faults:
        return refusal("bad_intent", "; ".join(faults))
    plan = Plan(
        plan_id=ids.new_id("plan"),
        revision=doc["revision"],
        made_by=operator["name"],
        wish=req.body.decode(),
        difference=config_diff(doc, new_doc),
        checks=["document matches the schema", f"made for revision {doc['revision']}"],
        warnings=warnings_for(doc, intent),
        effect=expected_effect(doc, intent, _request_share(entry, intent.get("model", ""))),
        result=encode(new_doc).decode(),
    )
    out = await put(entry.client, PLANS_PREFIX + plan["plan_id"], plan, None)
    return _platform_down(out) if isinstance(out, Unavailable) else encode(plan | {"result": ""})


def _request_share(entry: Entry, model: str) -> float:
    """Share of this entry's remembered requests that a model served."""
    served = entry.stats.served_requests.values()
    return sum(1 for s in served if s.mv.model == model) / len(served) if served else 0.0


async def _confirm(entry: Entry, operator: Operator, plan_id: str) -> bytes | Refusal:
    found = await get(entry.client, PLANS_PREFIX + plan_id, Plan)
    if isinstance(found, Absent):
        return refusal("not_found", f"no such plan: {plan_id}")
    if isinstance(found, Unavailable):
        return _platform_down(found)
    assert isinstance(found, Found)
    plan = found.value
    doc = decode(plan["result"].encode(), ConfigDoc)
    assert not isinstance(doc, BadMessage), doc
    out = await apply_change(entry, plan["revision"], doc, plan_id, operator["name"])
    if isinstance(out, Applied):
        return encode({"plan_id": plan_id, "revision": out.revision})
    if isinstance(out, Stale):
        return _stale_plan(plan, out.current)
    assert isinstance(out, InDoubt)
    code = "confirm_unknown" if out.written else "platform_down"
    return refusal(code, f"the platform gave no answer: {out.reason}", RETRY_S)


def _stale_plan(plan: Plan, current: ConfigDoc) -> Refusal:
    by = current["changed_by"]
    text = f"made for revision {plan['revision']}, now {current['revision']} by {by}: plan again"
    return refusal("stale_plan", text)
