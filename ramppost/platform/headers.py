"""Headers of requests and answers: a caller's head decoded, an upstream's head made.

req = caller_request("POST", "/a/b", headers, body)
head = upstream_head(req, SendOptions(up, 1.5, workspace, 2, "m1", ""))
"""

from __future__ import annotations

from typing import Final, NamedTuple

from ramppost.gateway.model import CallerRequest, Prompt, Upstream, Workspace
from ramppost.platform import names

Headers = tuple[tuple[bytes, bytes], ...]

HOP_BY_HOP: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)
"""Headers that concern one connection (RFC 9110, 7.6.1), with `Expect`, which we answer."""

DEFAULT_DEADLINE_S: Final = 60.0
"""For a caller that names no deadline; the route's time limit is shorter."""


class SendOptions(NamedTuple):
    """What a request is sent with: to whom, seconds left, for whom, and how urgent (0 first).

    `model` is empty where the caller's own stands; `resume_after` is the id of the last
    event that was passed on, empty for a run from the start.
    """

    upstream: Upstream
    remaining_s: float
    workspace: Workspace | None
    priority: int | None
    model: str
    resume_after: str


class AnswerHead(NamedTuple):
    """An upstream's head, decoded.  `headers` are those that travel to the caller."""

    status: int
    headers: Headers
    attempt_id: str
    signed: bool
    not_run: bool
    wrong_upstream: bool
    running: int | None
    waiting: int | None
    confidence: float | None
    keep_alive_s: float | None
    retry_after_s: float | None


def caller_request(method: str, target: str, headers: Headers, body: bytes) -> CallerRequest:
    """A caller's request; a malformed figure counts as not given."""
    found = dict(headers)
    dropped = HOP_BY_HOP | names.RESERVED | {b"content-length"} | _connection_names(found)
    return CallerRequest(
        method=method,
        target=target,
        host=_text(found, b"host"),
        headers=tuple((name, value) for name, value in headers if name not in dropped),
        body=body,
        attempt_id=_text(found, names.ATTEMPT_ID),
        key=_text(found, names.API_KEY),
        deadline_s=(_number(_text(found, names.DEADLINE_MS)) or DEFAULT_DEADLINE_S * 1000) / 1000,
        session=_text(found, names.SESSION),
        last_event_id=_text(found, names.LAST_EVENT_ID),
        any_model=_text(found, names.MODEL) == names.ANY_MODEL,
        prompt=_prompt(_text(found, names.PROMPT_PARTS), _text(found, names.TOKEN_COUNTS)),
    )


def upstream_head(
    req: CallerRequest, send: SendOptions, had_body: bool
) -> list[tuple[bytes, bytes]]:
    """The headers that a request goes to an upstream with."""
    replaced = {names.MODEL} if send.model else set()
    if send.resume_after:
        replaced.add(names.LAST_EVENT_ID)
    head = [(name, value) for name, value in req.headers if name not in replaced]
    head.append((names.DEADLINE_MS, str(max(1, int(send.remaining_s * 1000))).encode()))
    head.append((names.EXPECTED_UPSTREAM, send.upstream.id.encode()))
    if send.workspace is not None:
        head.append((names.WORKSPACE, send.workspace.name.encode()))
    if send.priority is not None:
        head.append((names.PRIORITY, str(send.priority).encode()))
    if send.model:
        head.append((names.MODEL, send.model.encode()))
    if send.resume_after:
        head.append((names.LAST_EVENT_ID, send.resume_after.encode()))
    if had_body:
        head.append((b"content-length", str(len(req.body)).encode()))
    return head


def answer_head(status: int, headers: Headers) -> AnswerHead:
    """An upstream's answer head."""
    found = dict(headers)
    dropped = HOP_BY_HOP | _connection_names(found)
    running, waiting = _load(_text(found, names.LOAD))
    return AnswerHead(
        status=status,
        headers=tuple((name, value) for name, value in headers if name not in dropped),
        attempt_id=_text(found, names.ATTEMPT_ID),
        signed=names.SIGNATURE in found,
        not_run=names.NOT_RUN in found or status == names.STATUS_WRONG_UPSTREAM,
        wrong_upstream=status == names.STATUS_WRONG_UPSTREAM,
        running=running,
        waiting=waiting,
        confidence=_number(_text(found, names.CONFIDENCE)),
        keep_alive_s=_keep_alive(_text(found, b"keep-alive")),
        retry_after_s=_number(_text(found, b"retry-after")),
    )


def refusal_headers(attempt_id: str) -> Headers:
    """What an answer of our own carries beside status and body."""
    return ((names.ATTEMPT_ID, attempt_id.encode()),) if attempt_id else ()


def _connection_names(found: dict[bytes, bytes]) -> frozenset[bytes]:
    """Headers that `Connection` names as its own."""
    listed = found.get(b"connection", b"").lower().split(b",")
    return frozenset(name.strip() for name in listed)


def _text(found: dict[bytes, bytes], name: bytes) -> str:
    return found.get(name, b"").decode("latin-1")


def _number(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if value >= 0 else None


def _prompt(parts: str, tokens: str) -> Prompt | None:
    """`ID:TOKENS,...` and `IN,MAX_OUT`; None where there is no usable `tokens`."""
    tokens_in, _, max_out = tokens.partition(",")
    if not tokens_in.isdigit() or not max_out.isdigit():
        return None
    chain = []
    for part in parts.split(",") if parts else []:
        name, _, size = part.partition(":")
        if size.isdigit():
            chain.append((name, int(size)))
    return Prompt(tuple(chain), int(tokens_in), int(max_out))


def _load(text: str) -> tuple[int | None, int | None]:
    """Running and waiting of `RUNNING,WAITING,SLOTS`."""
    fields = text.split(",")
    if len(fields) != 3 or not fields[0].isdigit() or not fields[1].isdigit():
        return None, None
    return int(fields[0]), int(fields[1])


def _keep_alive(text: str) -> float | None:
    """Seconds of `timeout=N` or `N`."""
    return _number(text.strip().removeprefix("timeout="))
