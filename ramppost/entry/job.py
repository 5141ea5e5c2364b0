"""Reads a caller's request into an `Job`, or says what is wrong with it."""

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
from ramppost.wire.server import Request, bearer

AUTO: Final = "auto"
KEY_HEADER: Final = "idempotency-key"
MAX_KEY: Final = 255
MAX_DEADLINE_MS: Final = 3_600_000
PREFIX_CHARS: Final = 256


class StreamOptions(TypedDict, total=False):
    """OpenAI's options of a stream."""

    include_usage: bool


class ChatBody(TypedDict):
    """The part of a chat request that ramppost reads; the rest goes to the engine as it is."""

    model: str
    messages: list[dict[str, Any]]
    stream: NotRequired[bool | None]
    max_tokens: NotRequired[int | None]
    stream_options: NotRequired[StreamOptions | None]


class Trace:
    """Whether any attempt of a request ran, as far as is known.

    `claimed` is whether its key, if it has one, was looked up.
    """

    def __init__(self) -> None:
        self.ran: Ran = "no"
        self.claimed = False

    def running(self) -> None:
        """An attempt was admitted."""
        self.ran = "yes"

    def doubt(self) -> None:
        """Nobody can say whether an attempt ran."""
        if self.ran == "no":
            self.ran = "unknown"


class Job(NamedTuple):
    """A caller's request, checked."""

    request_id: str
    ws: Workspace
    cls: WorkClass
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
    trace: Trace

    @property
    def who(self) -> str:
        """What shares of policies and roll-outs go by: the session, else the request."""
        return self.session["session"] if self.session else self.request_id

    @property
    def repeatable(self) -> bool:
        """Whether it may be run again after an unknown outcome."""
        return self.cls["repeatable"] and not self.key

    @property
    def body_digest(self) -> str:
        """Digest of what is to be run."""
        text = f"{self.path}\0{self.body}".encode()
        return hashlib.blake2b(text, digest_size=8).hexdigest()


def workspace_for(req: Request, doc: ConfigDoc) -> Workspace | Refusal:
    """The workspace of a request's token."""
    ws = workspace_by_token(doc, bearer(req))
    return ws if ws is not None else refusal("unauthorized", "bearer token missing or unknown")


def read_chat(req: Request, doc: ConfigDoc, ws: Workspace) -> Job | Refusal:
    """A chat request."""
    if not req.headers.get("content-type", "").startswith("application/json"):
        return refusal("bad_request", "content-type must be application/json")
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
    base = _base(req, doc, ws, req.body.decode())
    if isinstance(base, Refusal):
        return base
    return base._replace(
        requested_version=parse_model(body["model"]),
        stream=bool(body.get("stream")),
        include_usage=options.get("include_usage", False),
        prefix=prefix,
    )


def read_service(req: Request, doc: ConfigDoc, ws: Workspace) -> Job | Refusal:
    """A call of a plain service, `/services/<name>/...`."""
    name, _, rest = req.path.removeprefix("/services/").partition("/")
    if name not in ws["services"]:
        return refusal("forbidden", f"workspace {ws['name']} may not call service {name!r}")
    try:
        body = req.body.decode()
    except UnicodeDecodeError:
        return refusal("bad_request", "body must be text in UTF-8")
    base = _base(req, doc, ws, body)
    if isinstance(base, Refusal):
        return base
    return base._replace(service=name, path=f"{req.method} /{rest}")


def _base(req: Request, doc: ConfigDoc, ws: Workspace, body: str) -> Job | Refusal:
    """What both kinds of request have in common."""
    cls = _class(req, doc)
    if isinstance(cls, Refusal):
        return cls
    key = req.headers.get(KEY_HEADER, "")
    if len(key) > MAX_KEY or not key.isascii():
        return refusal("bad_request", f"Idempotency-Key: at most {MAX_KEY} ASCII characters")
    deadline_ms = _deadline(req, cls)
    if isinstance(deadline_ms, Refusal):
        return deadline_ms
    session = _session(req, doc, ws)
    if isinstance(session, Refusal):
        return session
    return Job(
        request_id=ids.request_id(doc["revision"]),
        ws=ws,
        cls=cls,
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
        trace=Trace(),
    )


def _class(req: Request, doc: ConfigDoc) -> WorkClass | Refusal:
    name = req.headers.get("ramppost-class", "")
    if not name:
        return doc["classes"][0]
    cls = class_named(doc, name)
    if cls is None:
        known = ", ".join(c["name"] for c in doc["classes"])
        return refusal("bad_request", f"Ramppost-Class: unknown class {name!r}; known: {known}")
    return cls


def _deadline(req: Request, cls: WorkClass) -> int | Refusal:
    text = req.headers.get("ramppost-deadline-ms", "")
    if not text:
        return cls["deadline_ms"]
    if not (text.isascii() and text.isdigit()) or not 1 <= int(text) <= MAX_DEADLINE_MS:
        return refusal("bad_request", f"Ramppost-Deadline-Ms: 1 to {MAX_DEADLINE_MS} wanted")
    return int(text)


def _session(req: Request, doc: ConfigDoc, ws: Workspace) -> SessionPayload | Refusal | None:
    token = req.headers.get("ramppost-session", "")
    if not token or token == "new":
        return None
    got = verify_session_token(doc["session_keys"], token, ws["name"])
    if isinstance(got, BadToken):
        return refusal("bad_session", f"Ramppost-Session: {got.reason}")
    return got
