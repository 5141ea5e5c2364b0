"""All error replies to callers and operators.

A `Refusal` has a stable code, the HTTP status, a message, whether the request ran, and when to
retry.  `CATALOGUE` documents the codes; the reference page is generated from it.

`ran` is `"no"` only if no upstream was or will be asked to run the request.  With an idempotency
key, it covers the key: this request and all earlier ones with the same key.
"""

from __future__ import annotations

from typing import Final, Literal, NamedTuple

from ramppost.wire.codec import encode
from ramppost.wire.reader import BadInput

Ran = Literal["no", "yes", "unknown"]


class Refusal(NamedTuple):
    """An error reply, which is the final answer to a request."""

    code: str
    status: int
    message: str
    ran: Ran = "no"
    retry_after_s: float = 0.0


class ErrorDoc(NamedTuple):
    """Documentation of an error code."""

    status: int
    ran: Ran
    meaning: str
    remedy: str


CATALOGUE: Final[dict[str, ErrorDoc]] = {
    "bad_request": ErrorDoc(
        400, "no", "The request could not be read.", "Mend what the message names."
    ),
    "unauthorized": ErrorDoc(
        401,
        "no",
        "The bearer token is missing or unknown.",
        "Send a token of a workspace or operator.",
    ),
    "forbidden": ErrorDoc(
        403,
        "no",
        "The workspace or operator may not do this.",
        "Ask an operator to change permissions.",
    ),
    "not_found": ErrorDoc(
        404,
        "no",
        "No such path, model, service or plan.",
        "Look at `GET /v1/models` or `ramppost status`.",
    ),
    "withdrawn": ErrorDoc(
        409, "no", "The version named was withdrawn.", "Name another version or the model alone."
    ),
    "bad_session": ErrorDoc(
        400,
        "no",
        "The session token is forged, foreign or made with a dropped key.",
        "Start a session without a token.",
    ),
    "session_ended": ErrorDoc(
        409, "no", "The session's version was withdrawn.", "Start a new session without the token."
    ),
    "too_large": ErrorDoc(
        413, "no", "Head or body is larger than allowed.", "Send less, or raise `limits`."
    ),
    "too_slow": ErrorDoc(
        408,
        "no",
        "The request was not sent whole in time.",
        "Send faster, or raise `limits.read_timeout_s`.",
    ),
    "too_many_large": ErrorDoc(
        503,
        "no",
        "Other large requests hold all memory that is kept for them, or there are too many.",
        "Come back after `Retry-After`.",
    ),
    "limited": ErrorDoc(
        429,
        "no",
        "The workspace is over its tokens or concurrency.",
        "Come back after `Retry-After`.",
    ),
    "overloaded": ErrorDoc(
        503, "no", "No upstream has room for this class now.", "Come back after `Retry-After`."
    ),
    "no_upstream": ErrorDoc(
        503,
        "no",
        "No live upstream serves the version.",
        "Come back after `Retry-After`; look at `ramppost status`.",
    ),
    "not_ready": ErrorDoc(
        503,
        "no",
        "The entry has no configuration yet.",
        "Come back after `Retry-After`; another entry may serve.",
    ),
    "leaving": ErrorDoc(
        503, "no", "The entry is stopping.", "Repeat at once; the balancer picks another entry."
    ),
    "claim_unavailable": ErrorDoc(
        503,
        "no",
        "The platform can't record the caller's key, so a request that may run only once is not begun. `ran` is `unknown` where no entry can be asked that has read the claims, so that an earlier request with the key may have run.",
        "Repeat with the same key after `Retry-After`.",
    ),
    "deadline": ErrorDoc(
        504,
        "no",
        "The deadline passed before the request was begun.",
        "Come back after `Retry-After` or allow more time.",
    ),
    "upstream_failed": ErrorDoc(
        502, "yes", "The upstream began the request and failed.", "Repeat if it may run twice."
    ),
    "fatal_request": ErrorDoc(
        502,
        "no",
        "Upstreams have ended each time that they began to run this request, or any with the parts of its prompt that the message names, so it is not run any more. `ran` is `unknown` where one ended under this very try.",
        "Don't repeat it; change the request or leave out the part, or mend the upstreams.",
    ),
    "outcome_unknown": ErrorDoc(
        502,
        "unknown",
        "The upstream can't be asked whether it ran.",
        "Check before repeating with a new key; the same key never runs again.",
    ),
    "answer_lost": ErrorDoc(
        502,
        "yes",
        "It ran, but the rest of the answer is no longer kept.",
        "Repeat with a new key if it may run twice.",
    ),
    "stale_plan": ErrorDoc(
        409, "no", "The configuration changed since the plan was made.", "Make a new plan."
    ),
    "platform_down": ErrorDoc(
        503, "no", "The platform's object API gave no answer.", "Come back after `Retry-After`."
    ),
    "bad_intent": ErrorDoc(
        422, "no", "The wish can't be carried out.", "Mend what the message names."
    ),
    "confirm_unknown": ErrorDoc(
        503,
        "unknown",
        "The platform gave no answer to the write, so the plan may be in force.",
        "Confirm the same plan again: doing so twice is harmless.",
    ),
}


def refusal(code: str, message: str, retry_after_s: float = 0.0, ran: Ran | None = None) -> Refusal:
    """Return a refusal with the status and, unless given, the `ran` value of the catalogue."""
    doc = CATALOGUE[code]
    return Refusal(code, doc.status, message, doc.ran if ran is None else ran, retry_after_s)


UNREAD_CODES: Final = {
    408: "too_slow",
    413: "too_large",
    431: "too_large",
    503: "too_many_large",
}


def unread_refusal(bad_input: BadInput) -> Refusal:
    """Return the refusal of a request that was not read whole."""
    code = UNREAD_CODES.get(bad_input.status, "bad_request")
    return refusal(code, bad_input.reason, bad_input.retry_after_s)


def error_body(ref: Refusal) -> bytes:
    """Encode a refusal in the OpenAI error format."""
    kind = "invalid_request_error" if ref.status < 500 else "server_error"
    error = {
        "message": ref.message,
        "type": kind,
        "code": ref.code,
        "param": None,
        "ran": ref.ran,
        "retry_after_s": ref.retry_after_s,
    }
    return encode({"error": error})


def retry_headers(ref: Refusal) -> tuple[tuple[str, str], ...]:
    """Return `Retry-After` in whole seconds, rounded up, if the refusal says when to retry."""
    if ref.retry_after_s <= 0:
        return ()
    return (("retry-after", str(max(1, -int(-ref.retry_after_s // 1)))),)
