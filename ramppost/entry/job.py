"""Parses a caller's HTTP request into a `Job`, or returns a refusal that states what is invalid."""

from __future__ import annotations

import hashlib
from typing import Any, Final, NamedTuple, NotRequired, TypedDict

import msgspec

from ramppost import ids
from ramppost.errors import Ran, Refusal, refusal
from ramppost.policy.permissions import ModelVersion, class_named, parse_model, workspace_by_token
from ramppost.policy.session import BadToken, SessionPayload, verify_session_token
from ramppost.schema.config import ConfigDoc, WorkClass, Workspace
from ramppost.wire.codec import BadMessage, decode
from ramppost.wire.nesting import is_deep
from ramppost.wire.server import Request, bearer

AUTO_MODEL: Final = "auto"
IDEMPOTENCY_KEY_HEADER: Final = "idempotency-key"
MAX_KEY_LENGTH: Final = 255
MAX_DEADLINE_MS: Final = 3_600_000
PREFIX_CHARS: Final = 256


class StreamOptions(TypedDict, total=False):
    """The `stream_options` of the OpenAI API."""

    include_usage: bool


class ChatBody(TypedDict):
    """The fields of a chat request that ramppost reads; the others are forwarded to the engine."""

    model: str
    messages: list[dict[str, Any]]
    stream: NotRequired[bool | None]
    max_tokens: NotRequired[int | None]
    stream_options: NotRequired[StreamOptions | None]


class ExecutionRecord:
    """Whether any attempt of a request ran, as far as this entry knows.

    `key_looked_up` tells whether its idempotency key, if any, was looked up among the claims.
    """

    def __init__(self) -> None:
        self.ran: Ran = "no"
        self.key_looked_up = False

    def record_admitted(self) -> None:
        """Record that an agent admitted an attempt."""
        self.ran = "yes"

    def record_unknown(self) -> None:
        """Record that it can't be determined whether an attempt ran."""
        if self.ran == "no":
            self.ran = "unknown"


class Job(NamedTuple):
    """A caller's request, parsed and validated."""

    request_id: str
    workspace: Workspace
    work_class: WorkClass
    requested_version: ModelVersion
    service: str
    session: SessionPayload | None
    key: str
    deadline_ms: int
    stream: bool
    include_usage: bool
    path: str
    body: str
    prefix: str
    execution: ExecutionRecord

    @property
    def split_key(self) -> str:
        """Key of the traffic splits of policies and roll-outs: the session, else the request."""
        return self.session["session"] if self.session else self.request_id

    @property
    def repeatable(self) -> bool:
        """Whether the request may be run again when it is unknown whether it ran."""
        return self.work_class["repeatable"] and not self.key

    @property
    def body_digest(self) -> str:
        """Digest of path and body, to detect a key that is reused for another request."""
        text = f"{self.path}\0{self.body}".encode()
        return hashlib.blake2b(text, digest_size=8).hexdigest()


def authenticate_workspace(req: Request, doc: ConfigDoc) -> Workspace | Refusal:
    """The workspace that the request's bearer token belongs to."""
    workspace = workspace_by_token(doc, bearer(req))
    return (
        workspace
        if workspace is not None
        else refusal("unauthorized", "bearer token missing or unknown")
    )


def parse_chat_request(req: Request, doc: ConfigDoc, workspace: Workspace) -> Job | Refusal:
    """Parse a chat completion request."""
    if not req.headers.get("content-type", "").startswith("application/json"):
        return refusal("bad_request", "content-type must be application/json")
    if is_deep(req.body):
        return refusal("bad_request", "body: nested too deeply")
    body = decode(req.body, ChatBody)
    if isinstance(body, BadMessage):
        return refusal("bad_request", f"body: {body.reason}")
    if not body["messages"]:
        return refusal("bad_request", "body: messages must not be empty - at `$.messages`")
    tokens = body.get("max_tokens")
    if tokens is not None and tokens < 1:
        return refusal("bad_request", "body: must be 1 or more - at `$.max_tokens`")
    options = body.get("stream_options") or StreamOptions()
    prefix = msgspec.json.encode(body["messages"]).decode()[:PREFIX_CHARS]
    common = _parse_common(req, doc, workspace, req.body.decode())
    if isinstance(common, Refusal):
        return common
    return common._replace(
        requested_version=parse_model(body["model"]),
        stream=bool(body.get("stream")),
        include_usage=options.get("include_usage", False),
        prefix=prefix,
    )


def parse_service_request(req: Request, doc: ConfigDoc, workspace: Workspace) -> Job | Refusal:
    """Parse a call of a plain service, `/services/<name>/...`."""
    name, _, rest = req.path.removeprefix("/services/").partition("/")
    if name not in workspace["services"]:
        return refusal("forbidden", f"workspace {workspace['name']} may not call service {name!r}")
    try:
        body = req.body.decode()
    except UnicodeDecodeError:
        return refusal("bad_request", "body must be text in UTF-8")
    common = _parse_common(req, doc, workspace, body)
    if isinstance(common, Refusal):
        return common
    return common._replace(service=name, path=f"{req.method} /{rest}")


def _parse_common(req: Request, doc: ConfigDoc, workspace: Workspace, body: str) -> Job | Refusal:
    """Parse what chat requests and service calls have in common."""
    work_class = _parse_class(req, doc)
    if isinstance(work_class, Refusal):
        return work_class
    key = req.headers.get(IDEMPOTENCY_KEY_HEADER, "")
    if len(key) > MAX_KEY_LENGTH or not key.isascii():
        return refusal("bad_request", f"Idempotency-Key: at most {MAX_KEY_LENGTH} ASCII characters")
    deadline_ms = _parse_deadline(req, work_class)
    if isinstance(deadline_ms, Refusal):
        return deadline_ms
    session = _parse_session(req, doc, workspace)
    if isinstance(session, Refusal):
        return session
    return Job(
        request_id=ids.new_request_id(doc["revision"]),
        workspace=workspace,
        work_class=work_class,
        requested_version=ModelVersion("", ""),
        service="",
        session=session,
        key=key,
        deadline_ms=deadline_ms,
        stream=False,
        include_usage=False,
        path="",
        body=body,
        prefix="",
        execution=ExecutionRecord(),
    )


def _parse_class(req: Request, doc: ConfigDoc) -> WorkClass | Refusal:
    """The class that the request names, by default the first one of the configuration."""
    name = req.headers.get("ramppost-class", "")
    if not name:
        return doc["classes"][0]
    work_class = class_named(doc, name)
    if work_class is None:
        known = ", ".join(c["name"] for c in doc["classes"])
        return refusal("bad_request", f"Ramppost-Class: unknown class {name!r}; known: {known}")
    return work_class


def _parse_deadline(req: Request, work_class: WorkClass) -> int | Refusal:
    text = req.headers.get("ramppost-deadline-ms", "")
    if not text:
        return work_class["deadline_ms"]
    if not (text.isascii() and text.isdigit()) or not 1 <= int(text) <= MAX_DEADLINE_MS:
        return refusal("bad_request", f"Ramppost-Deadline-Ms: 1 to {MAX_DEADLINE_MS} wanted")
    return int(text)


def _parse_session(
    req: Request, doc: ConfigDoc, workspace: Workspace
) -> SessionPayload | Refusal | None:
    token = req.headers.get("ramppost-session", "")
    if not token or token == "new":
        return None
    verified = verify_session_token(doc["session_keys"], token, workspace["name"])
    if isinstance(verified, BadToken):
        return refusal("bad_session", f"Ramppost-Session: {verified.reason}")
    return verified
