"""Handles the listener for callers: the OpenAI API, plain services and the operators' API."""

from __future__ import annotations

from loguru import logger

from ramppost import clock
from ramppost.entry.dispatch import Running, resolve
from ramppost.entry.job import (
    IDEMPOTENCY_KEY_HEADER,
    Job,
    authenticate_workspace,
    parse_chat_request,
    parse_service_request,
)
from ramppost.entry.keyed import stage_claim_key
from ramppost.entry.operators import handle_operator_request
from ramppost.entry.serve import forward_answer, serve_job
from ramppost.entry.sink import STREAM_HEADER, BufferingSink, Sink, StreamSink, send_refusal
from ramppost.entry.state import Entry
from ramppost.errors import Ran, Refusal, error_body, refusal, unread_refusal
from ramppost.policy.permissions import ModelVersion, allowed, version_state
from ramppost.policy.session import BadToken, verify_stream_token
from ramppost.schema.config import ConfigDoc, Workspace
from ramppost.wire.codec import encode
from ramppost.wire.reader import BadInput
from ramppost.wire.server import Handler, Reply, Request

NOT_READY_RETRY_S = 1.0
CHAT_PATH = "/v1/chat/completions"


def encode_bad_input(bad_input: BadInput) -> bytes:
    """Encode the error body for an HTTP request that could not be read."""
    return error_body(unread_refusal(bad_input))


def callers_handler(entry: Entry) -> Handler:
    """Return the handler of an entry's listener for callers."""

    async def handle(req: Request, reply: Reply) -> None:
        doc = entry.conf.doc
        if req.path in ("/healthz", "/readyz"):
            await reply.send(200 if entry.ready or req.path == "/healthz" else 503, b"{}")
        elif doc is None:
            ran: Ran = "unknown" if IDEMPOTENCY_KEY_HEADER in req.headers else "no"
            ref = refusal("not_ready", "no configuration yet", NOT_READY_RETRY_S, ran)
            await send_refusal(reply, ref)
        elif req.path in ("/v1/models", CHAT_PATH) or req.path.startswith("/services/"):
            await _handle_caller(entry, doc, req, reply)
        else:
            await handle_operator_request(entry, doc, req, reply)

    return handle


async def _handle_caller(entry: Entry, doc: ConfigDoc, req: Request, reply: Reply) -> None:
    """Authenticate and handle a request to the OpenAI API or a plain service."""
    workspace = authenticate_workspace(req, doc)
    if isinstance(workspace, Refusal):
        await send_refusal(reply, workspace)
    elif req.path == "/v1/models":
        await reply.send(200, encode({"object": "list", "data": _list_models(doc, workspace)}))
    elif req.path == CHAT_PATH and req.method != "POST":
        await send_refusal(reply, refusal("bad_request", "POST wanted"))
    else:
        is_chat = req.path == CHAT_PATH
        job = (
            parse_chat_request(req, doc, workspace)
            if is_chat
            else parse_service_request(req, doc, workspace)
        )
        if isinstance(job, Refusal):
            await send_refusal(reply, job)
        else:
            await _serve_within_limits(entry, job, req, reply)


def _list_models(doc: ConfigDoc, workspace: Workspace) -> list[dict[str, object]]:
    """Models and versions that the workspace may use, in the format of the OpenAI API."""
    names: list[str] = []
    for model in doc["models"]:
        versions = [ModelVersion(model["model"], v["version"]) for v in model["versions"]]
        usable = [
            mv
            for mv in versions
            if allowed(workspace, mv) and version_state(doc, mv) != "withdrawn"
        ]
        if usable:
            names += [model["model"], *(mv.text for mv in usable)]
    return [{"id": n, "object": "model", "created": 0, "owned_by": "ramppost"} for n in names]


def _admission_refusal(entry: Entry, workspace: Workspace) -> Refusal | None:
    """A refusal if this entry is stopping or the workspace exceeds its limits."""
    name = workspace["name"]
    if entry.leaving:
        return refusal("leaving", "this entry is stopping", 1.0)
    wait_s = entry.token_bucket(workspace).wait_s(clock.now())
    if wait_s > 0:
        return refusal("limited", f"workspace {name} is over its tokens", wait_s)
    if entry.running_by_workspace.get(name, 0) >= workspace["concurrency"]:
        return refusal("limited", f"workspace {name} is over its concurrency", 0.5)
    return None


async def _serve_within_limits(entry: Entry, job: Job, req: Request, reply: Reply) -> None:
    """Serve a request if the limits of its workspace allow it, and count it as running."""
    name = job.workspace["name"]
    ref = _admission_refusal(entry, job.workspace)
    if ref is not None:
        await _send_final_refusal(entry, job, ref, reply)
        return
    entry.running_by_workspace[name] = entry.running_by_workspace.get(name, 0) + 1
    try:
        ref = await _serve_or_resume(entry, job, req, reply)
        if ref is not None:
            await _send_final_refusal(entry, job, ref, reply)
    finally:
        entry.running_by_workspace[name] -= 1


async def _send_final_refusal(entry: Entry, job: Job, ref: Refusal, reply: Reply) -> None:
    """Send the final refusal of a request.

    If it says that the request did not run, but the idempotency key was not looked up yet, the
    claims are checked first, as an earlier request with the key may have run.
    """
    if job.key and ref.ran == "no" and not job.execution.key_looked_up:
        ref = ref._replace(ran=await entry.claim_homes.lookup_ran(stage_claim_key(job)))
    request_log = logger.bind(request=job.request_id, workspace=job.workspace["name"])
    request_log.info("refused: {} ran={}", ref.code, ref.ran)
    await send_refusal(reply, ref, job.request_id)


async def _serve_or_resume(entry: Entry, job: Job, req: Request, reply: Reply) -> Refusal | None:
    """Serve a request, or resume the stream whose token it carries."""
    sink: Sink = (
        StreamSink(reply, job.include_usage)
        if job.stream
        else BufferingSink(reply, bool(job.service))
    )
    stream_token = req.headers.get(STREAM_HEADER, "")
    if stream_token:
        return await _resume(entry, job, stream_token, req.headers.get("last-event-id", ""), sink)
    return await serve_job(entry, job, sink)


async def _resume(
    entry: Entry, job: Job, token: str, last_event_id: str, sink: Sink
) -> Refusal | None:
    """Resume a stream after the last event that the caller received.

    The stream may have been started by another entry.
    """
    assert entry.conf.doc is not None
    payload = verify_stream_token(entry.conf.doc["session_keys"], token, job.workspace["name"])
    if isinstance(payload, BadToken):
        return refusal("bad_session", f"Ramppost-Stream: {payload.reason}")
    if last_event_id and not (last_event_id.isascii() and last_event_id.isdigit()):
        return refusal("bad_request", "Last-Event-ID: the number of an event wanted")
    mv = ModelVersion(payload["model"], payload["version"])
    addr = payload["agent"].partition("#")[0]
    first_n = int(last_event_id) + 1 if last_event_id else 0
    run = await resolve(entry, addr, payload["agent"], payload["attempt"], first_n, mv)
    if not isinstance(run, Running):
        return refusal("answer_lost", f"the answer is no longer kept: {run.reason}")
    run.request_id = payload["request_id"]
    return await forward_answer(entry, job, run, sink, clock.now())
