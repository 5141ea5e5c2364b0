"""Checks the guarantees of gateways against the events in their logs, each independently.

The events of one process come in the order in which it logged them; those of different processes
may be interleaved in any order.  A check reports violations, and cases that the lines can't decide,
with the reason.  It keeps the details of a request only until the request ends.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from ramppost.audit.confirmed import confirmed_check
from ramppost.audit.departed import TIMING_TOLERANCE_S, departed_check
from ramppost.audit.evacuated import evacuation_check
from ramppost.audit.events import (
    AttemptEnded,
    ConfigInForce,
    Event,
    FatalRequestUpdate,
    ProcessStarted,
    RequestEnded,
    RolloutSeen,
)
from ramppost.audit.findings import Check, Finding, Findings
from ramppost.audit.sessions import session_check
from ramppost.bounded import drop_oldest

ENDED_STATES: Final = ("completed", "rolled_back")
MAX_ENDED_REQUESTS: Final = 200_000
"""Ended requests that are remembered, to detect a second end: some minutes of hundreds of
gateways."""


def config_check() -> Check:
    """Returns the check that a process never goes back to an older configuration.

    Its version orders it.  The same version may be in force again at a newer state of the store,
    which has come back from an older copy and been given it once more.
    """
    name = "configuration"
    in_force: dict[str, ConfigInForce] = {}

    def handle_event(event: Event) -> Findings:
        if isinstance(event, ProcessStarted):
            in_force.pop(event.program, None)
        if not isinstance(event, ConfigInForce):
            return
        last = in_force.get(event.program)
        in_force[event.program] = event
        # The log line of a start may be lost; the first configuration after a start replaces none.
        if last is None or event.previous_version is None:
            return
        origin = (event.program, event.at, "")
        if (event.version, event.position) <= (last.version, last.position):
            what = f"{_describe(event)} in force after {_describe(last)}"
            yield Finding(name, "broken", *origin, what)
        elif event.previous_version != last.version:
            what = f"version {event.previous_version} was in force in between: lines are missing"
            yield Finding(name, "undecided", *origin, what)

    promise = "a process never puts an older configuration in force"
    return Check(name, promise, handle_event, lambda: ())


def rollout_check() -> Check:
    """Returns the check that a roll-out that has ended is not under way again, unless its order was
    removed in between."""
    name = "roll-outs"
    ended: dict[tuple[str, str], RolloutSeen] = {}

    def handle_event(event: Event) -> Findings:
        if isinstance(event, ProcessStarted):
            for key in [key for key in ended if key[0] == event.program]:
                del ended[key]
        elif isinstance(event, RolloutSeen):
            yield from check_state(event)

    def check_state(event: RolloutSeen) -> Findings:
        key = (event.program, event.service)
        last = ended.get(key)
        if event.state in ENDED_STATES:
            ended[key] = event
        elif event.state == "removed" or (last is not None and event.version != last.version):
            ended.pop(key, None)
        elif last is not None:
            what = f"version {event.version} of {event.service} {event.state} after {last.state}"
            yield Finding(name, "broken", event.program, event.at, "", what)

    promise = "a roll-out that has ended is not under way again"
    return Check(name, promise, handle_event, lambda: ())


def _describe(config: ConfigInForce) -> str:
    at = config.position
    return f"version {config.version} (era {at.era}, revision {at.revision})"


class _OpenRequest(NamedTuple):
    """A request that has not ended, with the outcomes of its attempts."""

    last_attempt: AttemptEnded
    outcomes: tuple[str, ...]


def end_check() -> Check:
    """Returns the check of the ends of requests.

    A request must end once, and as "not run" only if none of its attempts may have run.
    """
    name = "one end"
    open_requests: dict[tuple[str, str], _OpenRequest] = {}
    ended: dict[str, str] = {}

    def handle_event(event: Event) -> Findings:
        if isinstance(event, ProcessStarted):
            yield from close_unended(event.program)
        elif isinstance(event, AttemptEnded):
            key = (event.program, event.request)
            previous = open_requests[key].outcomes if key in open_requests else ()
            open_requests[key] = _OpenRequest(event, (*previous, event.outcome))
        elif isinstance(event, RequestEnded):
            yield from check_end(event)

    def check_end(event: RequestEnded) -> Findings:
        request = open_requests.pop((event.program, event.request), None)
        outcomes = request.outcomes if request is not None else ()
        origin = (event.program, event.at, event.request)
        if event.request in ended:
            yield Finding(name, "broken", *origin, f"already ended at {ended[event.request]}")
            return
        ended[event.request] = event.program
        drop_oldest(ended, MAX_ENDED_REQUESTS)
        if event.attempts is not None and event.attempts > len(outcomes):
            what = f"{len(outcomes)} of {event.attempts} attempts are in the logs"
            yield Finding(name, "undecided", *origin, what)
        if event.ran != "no":
            return
        if "answered" in outcomes or "unknown" in outcomes:
            yield Finding(
                name, "broken", *origin, f"reported as not run; attempts: {', '.join(outcomes)}"
            )
        elif "cancelled" in outcomes:
            what = "reported as not run; an attempt was cancelled, before or after it was sent"
            yield Finding(name, "undecided", *origin, what)

    def close_unended(program: str) -> Findings:
        for key in [key for key in open_requests if key[0] == program]:
            attempt = open_requests.pop(key).last_attempt
            what = "no end in the logs: its process ended, or lines are missing"
            yield Finding(name, "undecided", program, attempt.at, attempt.request, what)

    def finish() -> Findings:
        for program in sorted({program for program, _ in open_requests}):
            yield from close_unended(program)

    promise = 'a request has one end, which says "not run" only where nothing may have run'
    return Check(name, promise, handle_event, finish)


def fatal_check() -> Check:
    """Returns the check that no request is attempted that its gateway knows to crash upstreams."""
    name = "fatal"
    fatal_since: dict[str, dict[str, FatalRequestUpdate]] = {}

    def handle_event(event: Event) -> Findings:
        if isinstance(event, ProcessStarted):
            fatal_since.pop(event.program, None)
        elif isinstance(event, FatalRequestUpdate):
            update(event)
        elif isinstance(event, AttemptEnded):
            yield from check_attempt(event)

    def update(event: FatalRequestUpdate) -> None:
        since_by_fingerprint = fatal_since.setdefault(event.program, {})
        if event.fatal:
            since_by_fingerprint.setdefault(event.fingerprint, event)
        elif event.fingerprint:
            since_by_fingerprint.pop(event.fingerprint, None)
        else:
            since_by_fingerprint.clear()

    def concerns(update: FatalRequestUpdate, event: AttemptEnded) -> bool:
        if update.parts:
            return update.parts <= event.parts
        return update.fingerprint == event.fingerprint

    def check_attempt(event: AttemptEnded) -> Findings:
        known = fatal_since.get(event.program, {})
        since = min(
            (update.at for update in known.values() if concerns(update, event)), default=None
        )
        if since is None or event.started_at <= since + TIMING_TOLERANCE_S:
            return
        delay_s = event.started_at - since
        what = f"sent to {event.upstream} {delay_s:.2f} s after it was known to be fatal"
        yield Finding(name, "broken", event.program, event.at, event.request, what)

    promise = "no attempt is made of a request that is known to end upstreams, or whose parts are"
    return Check(name, promise, handle_event, lambda: ())


def all_checks(max_clock_skew_s: float) -> list[Check]:
    """Returns a new instance of each check.

    `max_clock_skew_s` is the largest difference assumed between the clocks of two boxes.
    """
    return [
        config_check(),
        rollout_check(),
        confirmed_check(max_clock_skew_s),
        end_check(),
        departed_check(),
        evacuation_check(),
        fatal_check(),
        session_check(max_clock_skew_s),
    ]
