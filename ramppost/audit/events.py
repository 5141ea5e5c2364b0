"""What log lines tell, as typed events.

This is the one place that knows the words of the lines; a line that tells nothing a check asks
for gives no event.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any, Final, Literal, NamedTuple

from ramppost.audit.lines import Line

Fate = Literal["answered", "refused", "not sent", "cancelled", "unknown"]
"""What became of an attempt: an answer, a refusal that says it was not run, nothing sent, given up
here, or nothing heard of it."""
Presence = Literal["there", "no entry", "out"]
"""Of an upstream at a gateway: it takes work, its entry is gone, which an outage of the store's may
be, or it leaves or is gone."""
ATTEMPT: Final = re.compile(r"attempt \d+: (.*)", re.DOTALL)
PRESENCES: Final[dict[str, Presence]] = {
    "upstream there": "there",
    "upstream's entry gone": "no entry",
}
EVACUATIONS: Final = {
    "data hall evacuation started": True,
    "data hall evacuation ended": False,
}
OLDEST_S: Final = 999.0
"""An age that a line tells so is this or more."""
NOT_SENT: Final = ("no connection to ", "not sent: ")


class Started(NamedTuple):
    """A process has started."""

    program: str
    at: float


class ConfigInForce(NamedTuple):
    """A process has put a configuration in force; `before` is the version until then, None for
    its first."""

    program: str
    at: float
    version: int
    revision: int
    before: int | None


class UpstreamSeen(NamedTuple):
    """A process has learned of an upstream; `service` is empty where the line does not tell."""

    program: str
    at: float
    upstream: str
    service: str
    presence: Presence


class UpstreamsListed(NamedTuple):
    """A process has read the whole list of upstreams, which may have changed in any way."""

    program: str
    at: float


class Attempted(NamedTuple):
    """An attempt of a request has ended; `began_at` is when it was begun, `fingerprint` what the
    request has in common with its other tries, empty where the line does not tell, `candidates`
    how many upstreams it was chosen from, None where the line does not tell, `hall` the upstream's
    data hall, empty where the line does not tell."""

    program: str
    at: float
    request: str
    fingerprint: str
    upstream: str
    began_at: float
    fate: Fate
    candidates: int | None
    hall: str = ""


class HallEvacuation(NamedTuple):
    """A process has logged the start or end of the evacuation of a data hall."""

    program: str
    at: float
    hall: str
    evacuated: bool


class Ended(NamedTuple):
    """A request has its end; `ran` is what a refusal said of it, empty for other ends, `attempts`
    how many it had, `confirmed_at` when the configuration in force was known to be the newest; None
    where the line does not tell."""

    program: str
    at: float
    request: str
    ran: str
    attempts: int | None
    confirmed_at: float | None


class FatalKnown(NamedTuple):
    """A process has learned whether a request is fatal to upstreams; an empty `fingerprint` that
    none is any more."""

    program: str
    at: float
    fingerprint: str
    fatal: bool


Event = (
    Started
    | ConfigInForce
    | UpstreamSeen
    | UpstreamsListed
    | Attempted
    | HallEvacuation
    | Ended
    | FatalKnown
)


def event_of(line: Line) -> Event | None:
    """What a line tells; None where that is nothing, or where it lacks what its kind has."""
    make = MAKERS.get(line.module)
    try:
        return make(line) if make is not None else None
    except (KeyError, TypeError, ValueError):
        return None


def _started(line: Line) -> Event | None:
    return Started(line.program, line.at) if line.message == "starting" else None


def _seen(line: Line) -> Event | None:
    fields = line.fields
    if line.message == "configuration in force":
        before = None if fields["before"] is None else int(fields["before"])
        return ConfigInForce(
            line.program, line.at, int(fields["version"]), int(fields["revision"]), before
        )
    if line.message == "upstreams listed":
        return UpstreamsListed(line.program, line.at)
    if line.message.startswith("upstream") and "upstream" in fields:
        presence = PRESENCES.get(line.message, "out")
        service = str(fields.get("service", ""))
        return UpstreamSeen(line.program, line.at, str(fields["upstream"]), service, presence)
    return None


def _attempted(line: Line) -> Event | None:
    found = ATTEMPT.fullmatch(line.message)
    if found is None:
        return None
    fields = line.fields
    began_at = line.at - float(fields["took_s"])
    return Attempted(
        line.program,
        line.at,
        str(fields["request"]),
        str(fields.get("fingerprint", "")),
        str(fields["upstream"]),
        began_at,
        _fate(found[1]),
        int(fields["candidates"]) if "candidates" in fields else None,
        str(fields.get("hall", "")),
    )


def _evacuation(line: Line) -> Event | None:
    evacuated = EVACUATIONS.get(line.message)
    if evacuated is None:
        return None
    return HallEvacuation(line.program, line.at, str(line.fields["hall"]), evacuated)


def _fate(outcome: str) -> Fate:
    if outcome.startswith("status "):
        return "answered"
    if outcome.startswith("refused with "):
        return "refused"
    if outcome.startswith(NOT_SENT):
        return "not sent"
    return "cancelled" if outcome == "cancelled" else "unknown"


def _ended(line: Line) -> Event | None:
    fields: dict[str, Any] = line.fields
    refused = "ran" in fields and "code" in fields
    if not refused and "took_s" not in fields:
        return None
    return Ended(
        line.program,
        line.at,
        str(fields["request"]),
        str(fields["ran"]) if refused else "",
        None if refused else int(fields["attempts"]),
        _confirmed_at(line),
    )


def _confirmed_at(line: Line) -> float | None:
    age_s = float(line.fields.get("config_age_s", OLDEST_S))
    return line.at - age_s if age_s < OLDEST_S else None


def _fatal(line: Line) -> Event | None:
    fields = line.fields
    if line.message.startswith("fatal requests removed"):
        return FatalKnown(line.program, line.at, "", False)
    fatal = {"request held to be fatal": True, "request cleared": False}.get(line.message)
    if line.message == "fatal request known" and fields["certain"]:
        fatal = True
    if fatal is None:
        return None
    return FatalKnown(line.program, line.at, str(fields["fingerprint"]), fatal)


MAKERS: Final[dict[str, Callable[[Line], Event | None]]] = {
    "main": _started,
    "watchers": _seen,
    "attempt": _attempted,
    "evacuations": _evacuation,
    "fatal": _fatal,
    "fatal_doc": _fatal,
    "serve": _ended,
}
"""By the module that writes the line."""
