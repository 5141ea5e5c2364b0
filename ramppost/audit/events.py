"""Parses log lines into typed events.

This is the only module that knows the texts of log messages.  A line that no check needs gives no
event.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any, Final, Literal, NamedTuple

from ramppost.audit.lines import Line
from ramppost.policy.position import Position
from ramppost.policy.suspects import part_key

Outcome = Literal["answered", "refused", "not sent", "cancelled", "unknown"]
"""Outcome of an attempt: a response, a refusal that says it was not run, not sent at all, cancelled
by the gateway, or no response."""
Presence = Literal["there", "no entry", "out"]
"""State of an upstream at a gateway: it takes requests; its entry is missing, which an outage of
the store may also cause; or it is leaving or gone."""
ATTEMPT_MESSAGE: Final = re.compile(r"attempt \d+: (.*)", re.DOTALL)
PRESENCE_BY_MESSAGE: Final[dict[str, Presence]] = {
    "upstream there": "there",
    "upstream's entry gone": "no entry",
}
ROLLOUT_PREFIX: Final = "roll-out "
FATAL_BY_MESSAGE: Final = {
    "request held to be fatal": True,
    "part held to be fatal": True,
    "request cleared": False,
    "fatal request withdrawn": False,
}
EVACUATED_BY_MESSAGE: Final = {
    "data hall evacuation started": True,
    "data hall evacuation ended": False,
}
MAX_LOGGED_AGE_S: Final = 999.0
"""Ages are capped at this value in log lines, so this age means this or more."""
NOT_SENT_PREFIXES: Final = ("no connection to ", "not sent: ")


class ProcessStarted(NamedTuple):
    """A process has started, with settings in which a session lasts `session_s` after an answer,
    None if the line lacks it."""

    program: str
    at: float
    session_s: float | None = None


class ConfigInForce(NamedTuple):
    """A process has put a configuration in force, read at a state of the store.

    `previous_version` is the version it replaced, None for the first of a process.
    """

    program: str
    at: float
    version: int
    position: Position
    previous_version: int | None


class RolloutSeen(NamedTuple):
    """A process has logged the state of a service's roll-out, or its removal (`state` "removed",
    without a version)."""

    program: str
    at: float
    service: str
    version: str
    state: str


class UpstreamSeen(NamedTuple):
    """A process has logged the state of an upstream; `service` is empty if the line lacks it."""

    program: str
    at: float
    upstream: str
    service: str
    presence: Presence


class UpstreamsListed(NamedTuple):
    """A process has read the complete list of upstreams, any of which may have changed."""

    program: str
    at: float


class AttemptEnded(NamedTuple):
    """An attempt of a request has ended.

    `fingerprint` is the same for all tries of a request, `candidates` is the number of upstreams
    that `upstream` was chosen from, `hall` is its data hall, and `parts` are the first suspects
    among the parts of its prompt.  `session` is the hash of its session, `rollout` the version that
    its service was being moved to, and `rollout_fraction` the part of that time that had passed.  A
    line may lack these: `candidates` is then None, the fraction 0, and the others are empty.
    """

    program: str
    at: float
    request: str
    fingerprint: str
    upstream: str
    started_at: float
    outcome: Outcome
    candidates: int | None
    hall: str = ""
    parts: frozenset[str] = frozenset()
    service: str = ""
    version: str = ""
    session: str = ""
    rollout: str = ""
    rollout_fraction: float = 0.0


class HallEvacuation(NamedTuple):
    """A process has logged the start or end of the evacuation of a data hall."""

    program: str
    at: float
    hall: str
    evacuated: bool


class RequestEnded(NamedTuple):
    """A request has ended.

    `ran` is what a refusal says about whether the request ran, empty for other ends.  `attempts`
    is the number of attempts, and `confirmed_at` the time as of which the configuration in force
    was known to be the newest; both are None if the line lacks them.
    """

    program: str
    at: float
    request: str
    ran: str
    attempts: int | None
    confirmed_at: float | None


class FatalRequestUpdate(NamedTuple):
    """A process has learned whether a request, or requests with some parts, are fatal to upstreams.

    An empty `fingerprint` means that no request is considered fatal any more.
    """

    program: str
    at: float
    fingerprint: str
    fatal: bool
    parts: frozenset[str] = frozenset()


Event = (
    ProcessStarted
    | ConfigInForce
    | RolloutSeen
    | UpstreamSeen
    | UpstreamsListed
    | AttemptEnded
    | HallEvacuation
    | RequestEnded
    | FatalRequestUpdate
)


def parse_event(line: Line) -> Event | None:
    """Returns the event of a line; None if it has none, or lacks a field that its kind requires."""
    parse = PARSERS_BY_MODULE.get(line.module)
    try:
        return parse(line) if parse is not None else None
    except (KeyError, TypeError, ValueError):
        return None


def _parse_start(line: Line) -> Event | None:
    if line.message != "starting":
        return None
    session_s = line.fields.get("session_s")
    return ProcessStarted(
        line.program, line.at, float(session_s) if session_s is not None else None
    )


def _parse_watcher_line(line: Line) -> Event | None:
    fields = line.fields
    if line.message == "configuration in force":
        previous_version = None if fields["before"] is None else int(fields["before"])
        position = Position(int(fields.get("era", 0)), True, int(fields["revision"]))
        return ConfigInForce(
            line.program, line.at, int(fields["version"]), position, previous_version
        )
    if line.message.startswith(ROLLOUT_PREFIX):
        state = line.message.removeprefix(ROLLOUT_PREFIX)
        version = str(fields.get("version", ""))
        return RolloutSeen(line.program, line.at, str(fields["service"]), version, state)
    if line.message == "upstreams listed":
        return UpstreamsListed(line.program, line.at)
    if line.message.startswith("upstream") and "upstream" in fields:
        presence = PRESENCE_BY_MESSAGE.get(line.message, "out")
        service = str(fields.get("service", ""))
        return UpstreamSeen(line.program, line.at, str(fields["upstream"]), service, presence)
    return None


def _parse_attempt(line: Line) -> Event | None:
    match = ATTEMPT_MESSAGE.fullmatch(line.message)
    if match is None:
        return None
    fields = line.fields
    started_at = line.at - float(fields["took_s"])
    return AttemptEnded(
        line.program,
        line.at,
        str(fields["request"]),
        str(fields.get("fingerprint", "")),
        str(fields["upstream"]),
        started_at,
        _parse_outcome(match[1]),
        int(fields["candidates"]) if "candidates" in fields else None,
        str(fields.get("hall", "")),
        frozenset(part_key(str(name)) for name in fields.get("parts", ())),
        str(fields.get("service", "")),
        str(fields.get("version", "")),
        str(fields.get("session", "")),
        str(fields.get("rollout") or ""),
        float(fields.get("rollout_fraction") or 0.0),
    )


def _parse_evacuation(line: Line) -> Event | None:
    evacuated = EVACUATED_BY_MESSAGE.get(line.message)
    if evacuated is None:
        return None
    return HallEvacuation(line.program, line.at, str(line.fields["hall"]), evacuated)


def _parse_outcome(text: str) -> Outcome:
    if text.startswith("status "):
        return "answered"
    if text.startswith("refused with "):
        return "refused"
    if text.startswith(NOT_SENT_PREFIXES):
        return "not sent"
    return "cancelled" if text == "cancelled" else "unknown"


def _parse_request_end(line: Line) -> Event | None:
    fields: dict[str, Any] = line.fields
    refused = "ran" in fields and "code" in fields
    if not refused and "took_s" not in fields:
        return None
    return RequestEnded(
        line.program,
        line.at,
        str(fields["request"]),
        str(fields["ran"]) if refused else "",
        None if refused else int(fields["attempts"]),
        _confirmed_at(line),
    )


def _confirmed_at(line: Line) -> float | None:
    age_s = float(line.fields.get("config_age_s", MAX_LOGGED_AGE_S))
    return line.at - age_s if age_s < MAX_LOGGED_AGE_S else None


def _parse_fatal_request(line: Line) -> Event | None:
    fields = line.fields
    if line.message.startswith("fatal requests removed"):
        return FatalRequestUpdate(line.program, line.at, "", False)
    fatal = FATAL_BY_MESSAGE.get(line.message)
    if line.message == "fatal request known" and fields["certain"]:
        fatal = True
    if fatal is None:
        return None
    parts = frozenset(map(str, fields.get("parts", ())))
    return FatalRequestUpdate(line.program, line.at, str(fields["fingerprint"]), fatal, parts)


PARSERS_BY_MODULE: Final[dict[str, Callable[[Line], Event | None]]] = {
    "main": _parse_start,
    "watchers": _parse_watcher_line,
    "attempt": _parse_attempt,
    "evacuations": _parse_evacuation,
    "fatal": _parse_fatal_request,
    "fatal_doc": _parse_fatal_request,
    "serve": _parse_request_end,
}
"""Parsers by the module that writes the line."""
