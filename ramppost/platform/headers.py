"""Decodes the headers of requests and responses, and builds those of requests to upstreams.

req = caller_request("POST", "/a/b", headers, body)
head = upstream_head(req, SendOptions(up, 1.5, workspace, 2, "m1", ""))
"""

from __future__ import annotations

from typing import Final, NamedTuple

from ramppost.gateway.model import CallerRequest, Prompt, Upstream, Workspace
from ramppost.platform import names
from ramppost.wire.digits import parse_digits

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

MAX_COUNT_DIGITS: Final = 9
MAX_PACE_PCT: Final = 10_000
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

    `running`, `waiting` and `slots` are the load of the upstream in requests; `pace` is how long
    work currently takes on its host relative to the usual time, which is 1.  Each of the four is
    None if it is missing or invalid.
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
    slots: int | None = None
    pace: float | None = None


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
    load = _parse_load(_text(values, names.LOAD))
    return AnswerHead(
        status=status,
        headers=tuple((name, value) for name, value in headers if name not in dropped),
        attempt_id=_text(values, names.ATTEMPT_ID),
        signed=names.SIGNATURE in values,
        not_run=names.NOT_RUN in values or status == names.STATUS_WRONG_UPSTREAM,
        wrong_upstream=status == names.STATUS_WRONG_UPSTREAM,
        running=load.running,
        waiting=load.waiting,
        confidence=_parse_number(_text(values, names.CONFIDENCE)),
        keep_alive_s=_parse_keep_alive(_text(values, b"keep-alive")),
        retry_after_s=retry_after_s,
        leaving=_text(values, names.LEAVING).strip() == "1",
        rest_s=retry_after_s if status == names.STATUS_OVERLOADED else None,
        rate_limit_per_s=_parse_number(_text(values, names.RATE_LIMIT)),
        upstream_id=_text(values, names.INSTANCE_ID),
        slots=load.slots,
        pace=load.pace,
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
    count_in, count_out = _parse_count(tokens_in), _parse_count(max_out)
    if count_in is None or count_out is None:
        return None
    prefix_parts = []
    for part in parts.split(",") if parts else []:
        part_id, _, size = part.partition(":")
        tokens_of_part = _parse_count(size)
        if tokens_of_part is not None:
            prefix_parts.append((part_id, tokens_of_part))
    return Prompt(tuple(prefix_parts), count_in, count_out, _parse_count(hint) or 0)


class _Load(NamedTuple):
    """The figures of the load header; None if missing or invalid."""

    running: int | None
    waiting: int | None
    slots: int | None
    pace: float | None


def _parse_load(text: str) -> _Load:
    """Parses `RUNNING,WAITING,SLOTS,PACE_PCT`, each figure independently; ignores further ones.

    >>> _parse_load("3,0,6,250")
    _Load(running=3, waiting=0, slots=6, pace=2.5)
    >>> _parse_load("3,?,0")
    _Load(running=3, waiting=None, slots=None, pace=None)
    """
    counts = [_parse_count(field.strip()) for field in text.split(",")]
    running, waiting, slots, pace_pct = (*counts, None, None, None, None)[:4]
    pace = pace_pct / 100 if pace_pct and pace_pct <= MAX_PACE_PCT else None
    return _Load(running, waiting, slots or None, pace)


def _parse_count(text: str) -> int | None:
    """Parses a non-negative decimal integer of ASCII digits."""
    return parse_digits(text, MAX_COUNT_DIGITS)


def _parse_keep_alive(text: str) -> float | None:
    """Parses the seconds from `timeout=N` or `N`."""
    return _parse_number(text.strip().removeprefix("timeout="))
