"""Decodes the headers of requests and responses, and builds those of requests to upstreams.

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
"""Headers that apply to one connection only (RFC 9110, 7.6.1), and `Expect`, which the gateway
answers itself."""

DEFAULT_DEADLINE_S: Final = 60.0
"""Deadline of a request without one; the time limit of its route is shorter."""


class SendOptions(NamedTuple):
    """Options for sending a request to an upstream.

    `remaining_s` is the time left until the deadline, and `priority` the urgency, 0 being the most
    urgent.  `model` is empty if the caller's model is kept.  `resume_after` is the id of the last
    event that was forwarded to the caller, empty to run from the start.
    """

    upstream: Upstream
    remaining_s: float
    workspace: Workspace | None
    priority: int | None
    model: str
    resume_after: str


class AnswerHead(NamedTuple):
    """A decoded response head; `headers` are those that are forwarded to the caller.

    `rate_limit_per_s` is the rate that the upstream accepts from all gateways together, None if it
    names none, and `leaving` whether it says that it will end.  `rest_s` is for how long it wants
    no more requests from this gateway, None unless it refuses the request and says so.
    """

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
    rate_limit_per_s: float | None = None
    leaving: bool = False
    rest_s: float | None = None
    upstream_id: str = ""
    """Id of the upstream that has answered; empty if it names none."""


def caller_request(method: str, target: str, headers: Headers, body: bytes) -> CallerRequest:
    """Decodes a caller's request; malformed numbers are treated as absent."""
    values = dict(headers)
    dropped = HOP_BY_HOP | names.RESERVED | {b"content-length"} | _connection_headers(values)
    return CallerRequest(
        method=method,
        target=target,
        host=_text(values, b"host"),
        headers=tuple((name, value) for name, value in headers if name not in dropped),
        body=body,
        attempt_id=_text(values, names.ATTEMPT_ID),
        key=_text(values, names.API_KEY),
        deadline_s=(_parse_number(_text(values, names.DEADLINE_MS)) or DEFAULT_DEADLINE_S * 1000)
        / 1000,
        session=_text(values, names.SESSION),
        last_event_id=_text(values, names.LAST_EVENT_ID),
        any_model=_text(values, names.MODEL) == names.ANY_MODEL,
        prompt=_parse_prompt(
            _text(values, names.PROMPT_PARTS),
            _text(values, names.TOKEN_COUNTS),
            _text(values, names.LENGTH_HINT),
        ),
    )


def upstream_head(
    req: CallerRequest, options: SendOptions, has_body: bool
) -> list[tuple[bytes, bytes]]:
    """Builds the headers of a request to an upstream."""
    replaced = {names.MODEL} if options.model else set()
    if options.resume_after:
        replaced.add(names.LAST_EVENT_ID)
    head = [(name, value) for name, value in req.headers if name not in replaced]
    head.append((names.DEADLINE_MS, str(max(1, int(options.remaining_s * 1000))).encode()))
    head.append((names.EXPECTED_UPSTREAM, options.upstream.id.encode()))
    if options.workspace is not None:
        head.append((names.WORKSPACE, options.workspace.name.encode()))
    if options.priority is not None:
        head.append((names.PRIORITY, str(options.priority).encode()))
    if options.model:
        head.append((names.MODEL, options.model.encode()))
    if options.resume_after:
        head.append((names.LAST_EVENT_ID, options.resume_after.encode()))
    if has_body:
        head.append((b"content-length", str(len(req.body)).encode()))
    return head


def answer_head(status: int, headers: Headers) -> AnswerHead:
    """Decodes the head of an upstream's response."""
    values = dict(headers)
    dropped = HOP_BY_HOP | _connection_headers(values)
    retry_after_s = _parse_number(_text(values, b"retry-after"))
    running, waiting = _parse_load(_text(values, names.LOAD))
    return AnswerHead(
        status=status,
        headers=tuple((name, value) for name, value in headers if name not in dropped),
        attempt_id=_text(values, names.ATTEMPT_ID),
        signed=names.SIGNATURE in values,
        not_run=names.NOT_RUN in values or status == names.STATUS_WRONG_UPSTREAM,
        wrong_upstream=status == names.STATUS_WRONG_UPSTREAM,
        running=running,
        waiting=waiting,
        confidence=_parse_number(_text(values, names.CONFIDENCE)),
        keep_alive_s=_parse_keep_alive(_text(values, b"keep-alive")),
        retry_after_s=retry_after_s,
        leaving=_text(values, names.LEAVING).strip() == "1",
        rest_s=retry_after_s if status == names.STATUS_OVERLOADED else None,
        rate_limit_per_s=_parse_number(_text(values, names.RATE_LIMIT)),
        upstream_id=_text(values, names.INSTANCE_ID),
    )


def refusal_headers(attempt_id: str) -> Headers:
    """Returns the headers of a response that the gateway generates itself."""
    return ((names.ATTEMPT_ID, attempt_id.encode()),) if attempt_id else ()


def _connection_headers(values: dict[bytes, bytes]) -> frozenset[bytes]:
    """Returns the header names that the `Connection` header lists."""
    listed = values.get(b"connection", b"").lower().split(b",")
    return frozenset(name.strip() for name in listed)


def _text(values: dict[bytes, bytes], name: bytes) -> str:
    return values.get(name, b"").decode("latin-1")


def _parse_number(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value < float("inf") else None


def _parse_prompt(parts: str, tokens: str, hint: str) -> Prompt | None:
    """Parses `ID:TOKENS,...` and `IN,MAX_OUT`; None if `tokens` is missing or invalid."""
    tokens_in, _, max_out = tokens.partition(",")
    if not tokens_in.isdigit() or not max_out.isdigit():
        return None
    prefix_parts = []
    for part in parts.split(",") if parts else []:
        part_id, _, size = part.partition(":")
        if size.isdigit():
            prefix_parts.append((part_id, int(size)))
    length_hint = int(hint) if hint.isdigit() else 0
    return Prompt(tuple(prefix_parts), int(tokens_in), int(max_out), length_hint)


def _parse_load(text: str) -> tuple[int | None, int | None]:
    """Running and waiting requests, parsed from `RUNNING,WAITING,SLOTS`."""
    fields = text.split(",")
    if len(fields) != 3 or not fields[0].isdigit() or not fields[1].isdigit():
        return None, None
    return int(fields[0]), int(fields[1])


def _parse_keep_alive(text: str) -> float | None:
    """Parses the seconds from `timeout=N` or `N`."""
    return _parse_number(text.strip().removeprefix("timeout="))
