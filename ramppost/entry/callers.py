"""The callers' listener: OpenAI's paths, plain services, and the operators' API."""

from __future__ import annotations

from loguru import logger

from ramppost import clock
from ramppost.entry.dispatch import Running, resolve
from ramppost.entry.job import KEY_HEADER, Job, read_chat, read_service, workspace_for
from ramppost.entry.keyed import key_of
from ramppost.entry.operators import handle_operator_request
from ramppost.entry.serve import pass_on, serve_ask
from ramppost.entry.sink import STREAM_HEADER, Sink, StreamSink, WholeSink, send_refusal
from ramppost.entry.state import Entry
from ramppost.errors import Ran, Refusal, error_body, refusal
from ramppost.policy.permissions import ModelVersion, allowed, version_state
from ramppost.policy.session import BadToken, verify_stream_token
from ramppost.schema.config import ConfigDoc, Workspace
from ramppost.wire.codec import encode
from ramppost.wire.server import BadInput, Handler, Reply, Request

NOT_READY_RETRY_S = 1.0
CHAT_PATH = "/v1/chat/completions"
CODES = {408: "too_slow", 413: "too_large", 431: "too_large"}


def encode_bad_input(bad: BadInput) -> bytes:
    """The body for input that could not be read."""
    return error_body(refusal(CODES.get(bad.status, "bad_request"), bad.reason))


def callers_handler(entry: Entry) -> Handler:
    """The handler of an entry's callers' listener."""

    async def handle(req: Request, reply: Reply) -> None:
        doc = entry.conf.doc
        if req.path in ("/healthz", "/readyz"):
            await reply.send(200 if entry.ready or req.path == "/healthz" else 503, b"{}")
        elif doc is None:
            ran: Ran = "unknown" if KEY_HEADER in req.headers else "no"
            ref = refusal("not_ready", "no configuration yet", NOT_READY_RETRY_S, ran)
            await send_refusal(reply, ref)
        elif req.path in ("/v1/models", CHAT_PATH) or req.path.startswith("/services/"):
            await _caller(entry, doc, req, reply)
        else:
            await handle_operator_request(entry, doc, req, reply)

    return handle


async def _caller(entry: Entry, doc: ConfigDoc, req: Request, reply: Reply) -> None:
    ws = workspace_for(req, doc)
    if isinstance(ws, Refusal):
        await send_refusal(reply, ws)
    elif req.path == "/v1/models":
        await reply.send(200, encode({"object": "list", "data": _models(doc, ws)}))
    elif req.path == CHAT_PATH and req.method != "POST":
        await send_refusal(reply, refusal("bad_request", "POST wanted"))
    else:
        chat = req.path == CHAT_PATH
        ask = read_chat(req, doc, ws) if chat else read_service(req, doc, ws)
        if isinstance(ask, Refusal):
            await send_refusal(reply, ask)
        else:
            await _limited(entry, ask, req, reply)


def _models(doc: ConfigDoc, ws: Workspace) -> list[dict[str, object]]:
    """Models and versions this workspace may name, in the OpenAI form."""
    names: list[str] = []
    for model in doc["models"]:
        versions = [ModelVersion(model["model"], v["version"]) for v in model["versions"]]
        usable = [
            mv for mv in versions if allowed(ws, mv) and version_state(doc, mv) != "withdrawn"
        ]
        if usable:
            names += [model["model"], *(mv.text for mv in usable)]
    return [{"id": n, "object": "model", "created": 0, "owned_by": "ramppost"} for n in names]


def _turned_away(entry: Entry, ws: Workspace) -> Refusal | None:
    """A refusal where this entry is stopping, or a workspace over its limits."""
    name = ws["name"]
    if entry.leaving:
        return refusal("leaving", "this entry is stopping", 1.0)
    wait_s = entry.token_bucket(ws).wait_s(clock.now())
    if wait_s > 0:
        return refusal("limited", f"workspace {name} is over its tokens", wait_s)
    if entry.running_by_workspace.get(name, 0) >= ws["concurrency"]:
        return refusal("limited", f"workspace {name} is over its concurrency", 0.5)
    return None


async def _limited(entry: Entry, ask: Job, req: Request, reply: Reply) -> None:
    """Serve a request within its workspace's limits."""
    name = ask.ws["name"]
    ref = _turned_away(entry, ask.ws)
    if ref is not None:
        await _refuse(entry, ask, ref, reply)
        return
    entry.running_by_workspace[name] = entry.running_by_workspace.get(name, 0) + 1
    try:
        ref = await _served(entry, ask, req, reply)
        if ref is not None:
            await _refuse(entry, ask, ref, reply)
    finally:
        entry.running_by_workspace[name] -= 1


async def _refuse(entry: Entry, ask: Job, ref: Refusal, reply: Reply) -> None:
    """Send the final word; "not run" of a key that was not looked up yet is checked first."""
    if ask.key and ref.ran == "no" and not ask.trace.claimed:
        ref = ref._replace(ran=await entry.claim_homes.lookup_ran(key_of(ask)))
    bound = logger.bind(request=ask.request_id, workspace=ask.ws["name"])
    bound.info("refused: {} ran={}", ref.code, ref.ran)
    await send_refusal(reply, ref, ask.request_id)


async def _served(entry: Entry, ask: Job, req: Request, reply: Reply) -> Refusal | None:
    sink: Sink = (
        StreamSink(reply, ask.include_usage) if ask.stream else WholeSink(reply, bool(ask.service))
    )
    place = req.headers.get(STREAM_HEADER, "")
    if place:
        return await _resume(entry, ask, place, req.headers.get("last-event-id", ""), sink)
    return await serve_ask(entry, ask, sink)


async def _resume(entry: Entry, ask: Job, token: str, last: str, sink: Sink) -> Refusal | None:
    """Read a stream on after the event that a caller has last seen, at any entry."""
    assert entry.conf.doc is not None
    place = verify_stream_token(entry.conf.doc["session_keys"], token, ask.ws["name"])
    if isinstance(place, BadToken):
        return refusal("bad_session", f"Ramppost-Stream: {place.reason}")
    if last and not (last.isascii() and last.isdigit()):
        return refusal("bad_request", "Last-Event-ID: the number of an event wanted")
    mv = ModelVersion(place["model"], place["version"])
    addr = place["agent"].partition("#")[0]
    from_n = int(last) + 1 if last else 0
    run = await resolve(entry, addr, place["agent"], place["attempt"], from_n, mv)
    if not isinstance(run, Running):
        return refusal("answer_lost", f"the answer is no longer kept: {run.reason}")
    run.request_id = place["request_id"]
    return await pass_on(entry, ask, run, sink, clock.now())
