"""`ramppost audit`: each check against a history that violates only this check, and valid ones.

The log lines have the form that gateways write; the last test uses those of real gateways.
"""

from __future__ import annotations

import gzip
import json
import subprocess
import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ramppost.audit.run import Audit, audit
from tests.harness.gateways import KEYS, SAFE, STREAM, Deployment

NOON = datetime(2026, 3, 1, 12, tzinfo=UTC).timestamp()
CHECKS = (
    "configuration",
    "roll-outs",
    "confirmed",
    "one end",
    "departed",
    "evacuated",
    "fatal",
    "sessions",
)


def log_line(module: str, message: str, after_s: float, program: str = "g1", **fields: Any) -> str:
    at = datetime.fromtimestamp(NOON + after_s, UTC).isoformat()
    head = {"at": at, "level": "INFO", "message": message, "program": program}
    return json.dumps({**head, "module": f"ramppost.gateway.{module}", **fields})


def starting(after_s: float, program: str = "g1", **more: Any) -> str:
    return log_line("main", "starting", after_s, program, **more)


def in_session(
    request: str, version: str, after_s: float, fraction: float | None, program: str = "g1"
) -> list[str]:
    """A request of a session, while `v2` is rolled out if a fraction of its time is given."""
    fields = {
        "service": "lm",
        "session": "s",
        "version": version,
        "rollout": "v2" if fraction is not None else "",
        "rollout_fraction": fraction,
    }
    return [
        attempt(request, "status 200", after_s, program=program, **fields),
        served(request, after_s, program=program),
    ]


def config(
    version: int, before: int | None, after_s: float, program: str = "g1", **more: Any
) -> str:
    fields = {"version": version, "before": before, "revision": 10 * version} | more
    return log_line("watchers", "configuration in force", after_s, program, **fields)


def rollout(state: str, after_s: float, version: str = "v2") -> str:
    fields = {"service": "lm", "version": version, "revision": 9}
    return log_line("watchers", f"roll-out {state}", after_s, **fields)


def attempt(request: str, outcome: str, after_s: float, took_s: float = 0.1, **more: Any) -> str:
    fields = {"request": request, "upstream": "u1", "fingerprint": "f", "took_s": took_s} | more
    return log_line("attempt", f"attempt 1: {outcome}", after_s, **fields)


def served(
    request: str, after_s: float, attempts: int = 1, program: str = "g1", age_s: float = 999.0
) -> str:
    fields = {"request": request, "attempts": attempts, "took_s": 0.2, "config_age_s": age_s}
    return log_line("serve", "served", after_s, program, **fields)


def refused(request: str, ran: str, after_s: float) -> str:
    fields = {"request": request, "code": "overloaded", "ran": ran, "held_s": 0.1}
    return log_line("serve", "refused: no room", after_s, **fields)


def fatal(message: str, after_s: float, **fields: Any) -> str:
    return log_line("fatal", message, after_s, fingerprint="f", **fields)


def evacuation(change: str, after_s: float, program: str = "g1", hall: str = "bole") -> str:
    return log_line("evacuations", f"data hall evacuation {change}", after_s, program, hall=hall)


def upstream(message: str, after_s: float, name: str = "u1") -> str:
    return log_line("watchers", f"upstream {message}", after_s, upstream=name, service="lm")


def entry_deleted(after_s: float, name: str = "u1") -> str:
    return log_line("watchers", "upstream's entry gone", after_s, upstream=name)


def audit_lines(folder: Path, *lines: str) -> Audit:
    path = folder / "lines.log"
    path.write_text("".join(f"{text}\n" for text in lines))
    return audit([str(path)])


def verdict_counts(found: Audit) -> dict[str, tuple[int, int]]:
    return {c.name: (c.broken, c.undecided) for c in found.checks if c.broken or c.undecided}


VIOLATIONS = {
    "withdrawn version ordered again": (
        [rollout("ordered", 0), rollout("rolled_back", 1), rollout("ordered", 2)],
        "roll-outs",
    ),
    "completed version ordered again": (
        [rollout("completed", 1), rollout("ordered", 2)],
        "roll-outs",
    ),
    "sent to an evacuated hall": (
        [
            evacuation("started", 1),
            attempt("r", "status 200", 3, hall="bole"),
            served("r", 3),
        ],
        "evacuated",
    ),
    "sent to an evacuated hall after the evacuation of another ended": (
        [
            evacuation("started", 1),
            evacuation("started", 1, hall="kirkos"),
            evacuation("ended", 2),
            attempt("r", "status 200", 3, hall="kirkos"),
            served("r", 3),
        ],
        "evacuated",
    ),
    "older configuration": ([config(2, None, 0), config(1, 2, 1)], "configuration"),
    "same revision again": ([config(2, None, 0), config(2, 2, 1)], "configuration"),
    "older version in a later era": (
        [config(2, None, 0), config(1, 2, 1, revision=30, era=1)],
        "configuration",
    ),
    "same version in an earlier era": (
        [config(2, None, 0, era=1), config(2, 2, 1, revision=30)],
        "configuration",
    ),
    "two ends": ([attempt("r", "status 200", 1), served("r", 2), served("r", 3)], "one end"),
    "two ends at two gateways": (
        [attempt("r", "status 200", 1), served("r", 2), served("r", 3, 0, "g2")],
        "one end",
    ),
    "not run after an answer": ([attempt("r", "status 500", 1), refused("r", "no", 2)], "one end"),
    "not run after silence": (
        [attempt("r", "silent for 0.85 s", 1), refused("r", "no", 2)],
        "one end",
    ),
    "sent to one that leaves": (
        [
            upstream("there", 0),
            upstream("leaving", 1),
            attempt("r", "status 200", 3),
            served("r", 3),
        ],
        "departed",
    ),
    "sent to one that is gone": (
        [
            upstream("there", 0),
            upstream("dropped: its entry did not come back", 1),
            attempt("r", "status 200", 3),
            served("r", 3),
        ],
        "departed",
    ),
    "sent to one whose entry has long been gone": (
        [
            upstream("there", 0),
            entry_deleted(1),
            attempt("r", "status 200", 3, candidates=1),
            served("r", 3),
        ],
        "departed",
    ),
    "sent to one whose entry is gone, among others": (
        [
            upstream("there", 0),
            upstream("there", 0, "u2"),
            entry_deleted(1),
            attempt("r", "status 200", 2, candidates=2),
            served("r", 2),
        ],
        "departed",
    ),
    "sent to one that left before its entry went": (
        [
            upstream("there", 0),
            upstream("leaving", 1),
            entry_deleted(1.5),
            attempt("r", "status 200", 2, candidates=1),
            served("r", 2),
        ],
        "departed",
    ),
    # A gateway accepted a peer's confirmation while its own configuration in force was still the
    # previous one, and served by that one for as long as the peer confirmed.
    "confirmed, and not in force": (
        [
            config(1, None, 0),
            config(1, None, 0, "g2"),
            config(2, 1, 10, "g2"),
            served("r", 16, 0, age_s=0.4),
        ],
        "confirmed",
    ),
    "confirmed, and not in force, told last": (
        [
            config(1, None, 0),
            served("r", 16, 0, age_s=0.4),
            served("s", 17, 0, age_s=1.4),
            config(1, None, 0, "g2"),
            config(2, 1, 10, "g2"),
            config(3, 2, 16, "g2"),
        ],
        "confirmed",
    ),
    "sent though it is known to be fatal": (
        [fatal("request held to be fatal", 1), attempt("r", "status 200", 3), served("r", 3)],
        "fatal",
    ),
    "sent though a part of its prompt is known to be fatal": (
        [
            fatal("part held to be fatal", 1, parts=["part:bad"]),
            attempt("r", "status 200", 3, parts=["aa", "bad"]),
            served("r", 3),
        ],
        "fatal",
    ),
    "session moved to a new version in the first half": (
        [
            starting(0, session_s=8),
            *in_session("a", "v1", 1, None),
            *in_session("b", "v2", 3, 0.2),
            *in_session("c", "v2", 4, 0.3),
        ],
        "sessions",
    ),
    "session moved back": (
        [
            starting(0, session_s=8),
            *in_session("a", "v2", 1, 0.7),
            *in_session("b", "v1", 3, 0.8),
            *in_session("c", "v2", 4, 0.9),
        ],
        "sessions",
    ),
    "sent though all gateways know that it is fatal": (
        [
            fatal("fatal request known", 1, certain=True),
            attempt("r", "status 200", 3),
            served("r", 3),
        ],
        "fatal",
    ),
}


@pytest.mark.parametrize("name", VIOLATIONS)
def test_a_history_that_violates_one_check(name: str, tmp_path: Path) -> None:
    lines, check = VIOLATIONS[name]
    assert verdict_counts(audit_lines(tmp_path, *lines)) == {check: (1, 0)}


UNDECIDED = {
    "sent to an evacuated hall after the clock was set back": (
        [
            config(2, None, 4),
            evacuation("started", 1),
            attempt("r", "status 200", 3, hall="bole"),
            served("r", 3),
        ],
        "evacuated",
    ),
    "a version in between": ([config(2, None, 0), config(5, 4, 1)], "configuration"),
    "killed with a request under way": ([attempt("r", "status 200", 1), starting(2)], "one end"),
    "the lines stop": ([attempt("r", "status 200", 1)], "one end"),
    "attempts that are missing": ([served("r", 1, 2)], "one end"),
    "given up, and told not run": (
        [attempt("r", "cancelled", 1), refused("r", "no", 2)],
        "one end",
    ),
    "sent to one whose entry is gone, after a list": (
        [
            upstream("there", 0),
            log_line("watchers", "upstreams listed", 0.5, count=4, revision=7),
            upstream("there", 0.6),
            entry_deleted(1),
            attempt("r", "status 200", 2, candidates=2),
            served("r", 2),
        ],
        "departed",
    ),
    "confirmed, and not in force, by clocks that may differ": (
        [
            config(1, None, 0),
            config(1, None, 0, "g2"),
            config(2, 1, 10, "g2"),
            served("r", 12, 0, age_s=0.4),
        ],
        "confirmed",
    ),
    "session moved at another gateway, by clocks that may differ": (
        [
            starting(0, session_s=8),
            *in_session("a", "v2", 1, 0.2, "g2"),
            *in_session("b", "v1", 3, 0.3),
        ],
        "sessions",
    ),
    "a clock that was set back": (
        [
            upstream("there", 9),
            upstream("leaving", 1),
            attempt("r", "status 200", 3),
            served("r", 3),
        ],
        "departed",
    ),
}


@pytest.mark.parametrize("name", UNDECIDED)
def test_an_undecidable_history_does_not_pass(name: str, tmp_path: Path) -> None:
    lines, check = UNDECIDED[name]
    assert verdict_counts(audit_lines(tmp_path, *lines)) == {check: (0, 1)}


VALID = {
    "a session that was moved in the second half": [
        starting(0, session_s=8),
        *in_session("a", "v1", 1, 0.4),
        *in_session("b", "v2", 3, 0.6),
    ],
    "a session that was moved after it had ended": [
        starting(0, session_s=8),
        *in_session("a", "v1", 1, 0.1),
        *in_session("b", "v2", 9.3, 0.2),
    ],
    "a session that went back as its version was rolled back": [
        starting(0, session_s=8),
        *in_session("a", "v2", 1, 0.2),
        *in_session("b", "v1", 3, 0.3),
        rollout("rolled_back", 3.1),
    ],
    "a session without a roll-out": [
        starting(0, session_s=8),
        *in_session("a", "v1", 1, None),
        *in_session("b", "v2", 3, None),
    ],
    "sent before an evacuation, within the slack, and after its end": [
        attempt("a", "status 200", 1, hall="bole"),
        served("a", 1),
        evacuation("started", 1.2),
        attempt("b", "status 200", 1.25, hall="bole"),
        served("b", 1.3),
        evacuation("ended", 3),
        attempt("c", "status 200", 4, hall="bole"),
        served("c", 4),
    ],
    "an evacuation known to another gateway only, and an attempt not sent": [
        evacuation("started", 1, "g2"),
        evacuation("started", 1, hall="kirkos"),
        attempt("a", "status 200", 3, hall="bole"),
        served("a", 3),
        attempt("b", "not sent: its data hall was evacuated on the way", 3, hall="kirkos"),
        refused("b", "no", 3),
    ],
    "an evacuation logged before a restart of the process": [
        evacuation("started", 1),
        starting(2),
        attempt("a", "status 200", 4, hall="bole"),
        served("a", 4),
    ],
    "an older configuration at a new start": [config(2, None, 0), starting(1), config(1, None, 2)],
    "a start whose line was lost": [config(2, None, 0), config(1, None, 2)],
    "not run, and never sent": [attempt("r", "no connection to a:1", 1), refused("r", "no", 2)],
    "not run, and withheld at the last moment": [
        attempt("r", "not sent: its time passed on the way", 1),
        refused("r", "no", 2),
    ],
    "refused by the upstream": [attempt("r", "refused with 429", 1), refused("r", "no", 2)],
    "whether it ran is unknown": [attempt("r", "silent for 1 s", 1), refused("r", "unknown", 2)],
    "sent before it left": [
        upstream("there", 0),
        upstream("leaving", 2),
        attempt("r", "status 200", 4, took_s=2.5),
        served("r", 4),
    ],
    # All engines of a service had ended: an upstream whose entry was gone was tried as the last
    # resort, and its box refused the connection, so no request was sent.
    "not sent to one whose entry is gone": [
        upstream("there", 0),
        entry_deleted(1),
        attempt("r", "no connection to a:1", 3),
        refused("r", "no", 3),
    ],
    # All engines of a service had ended, and two entries had gone 1.54 s and 0.7 s before, which
    # may be an outage of the store: one of the two was tried as the last resort.  The process on
    # its box by then answered that it is another instance (421).
    "sent to the last ones, whose entries have just gone": [
        upstream("there", 0),
        upstream("there", 0, "u2"),
        entry_deleted(1),
        entry_deleted(1.8, "u2"),
        attempt("r", "refused with 421", 2.55, 0.01, candidates=2),
        refused("r", "no", 2.6),
    ],
    "sent to one that is there again": [
        upstream("leaving", 0),
        upstream("there", 1),
        attempt("r", "status 200", 3),
        served("r", 3),
    ],
    "confirmed before a newer one": [
        config(1, None, 0),
        config(2, 1, 10, "g2"),
        served("r", 20, 0, age_s=10.5),
        served("s", 20, 0, age_s=999.0),
    ],
    "confirmed and in force": [
        config(2, 1, 10, "g2"),
        config(1, None, 0),
        config(2, 1, 11),
        served("r", 20, 0, age_s=0.4),
        config(3, 2, 19.9, "g2"),
        served("s", 30, 0, age_s=10.2),
    ],
    "confirmed by a process before": [
        config(2, None, 0),
        served("r", 20, 0, age_s=0.4),
        starting(21),
        config(1, None, 22),
        served("s", 23, 0, age_s=999.0),
    ],
    "listed anew, with one that left": [
        upstream("leaving", 0),
        log_line("watchers", "upstreams listed", 1, count=4, revision=7),
        attempt("r", "status 200", 3),
        served("r", 3),
    ],
    "a request that may be fatal": [
        fatal("fatal request known", 1, certain=False),
        attempt("r", "status 200", 3),
        served("r", 3),
    ],
    "a request that was cleared": [
        fatal("request held to be fatal", 1),
        fatal("request cleared", 2),
        attempt("r", "status 200", 3),
        served("r", 3),
    ],
    "a request with one of two parts that are fatal together": [
        fatal("part held to be fatal", 1, parts=["part:bad", "part:fine"]),
        attempt("r", "status 200", 3, parts=["aa", "fine"]),
        served("r", 3),
    ],
    "known to a process before": [
        fatal("request held to be fatal", 1),
        starting(2),
        attempt("r", "status 200", 3),
        served("r", 3),
    ],
    "learned by a process before": [
        upstream("leaving", 0),
        starting(1),
        attempt("r", "status 200", 3),
        served("r", 3),
    ],
}


@pytest.mark.parametrize("name", VALID)
def test_a_valid_history(name: str, tmp_path: Path) -> None:
    assert verdict_counts(audit_lines(tmp_path, *VALID[name])) == {}


def test_a_small_clock_skew_decides_more(tmp_path: Path) -> None:
    lines, check = UNDECIDED["confirmed, and not in force, by clocks that may differ"]
    path = tmp_path / "lines.log"
    path.write_text("".join(f"{text}\n" for text in lines))
    assert verdict_counts(audit([str(path)], max_clock_skew_s=1.0)) == {check: (1, 0)}


@st.composite
def histories(draw: st.DrawFn) -> list[str]:
    """Generates valid lines of three gateways, in order within each gateway."""
    by_program: list[list[str]] = []
    for number in range(3):
        program, lines, now = f"g{number}", [starting(0.0, f"g{number}")], 0.0
        version: int | None = None
        for step in range(draw(st.integers(0, 12))):
            now += draw(st.floats(0.2, 3.0))
            kind = draw(st.sampled_from(("config", "request", "start", "noise")))
            if kind == "config":
                lines.append(config(number + step + 1 + (version or 0), version, now, program))
                version = number + step + 1 + (version or 0)
            elif kind == "request":
                request = f"{program}-{step}"
                lines.append(attempt(request, "status 200", now, program=program))
                lines.append(served(request, now, program=program))
            elif kind == "start":
                lines.append(starting(now, program))
                version = None
            else:
                lines.append(log_line("peers", "gateway known", now, program))
        by_program.append(lines)
    merged = []
    while any(by_program):
        rest = [lines for lines in by_program if lines]
        merged.append(draw(st.sampled_from(rest)).pop(0))
    return merged


@given(histories())
def test_valid_histories_in_any_order_of_processes(tmp_path_factory: Any, lines: list[str]) -> None:
    found = audit_lines(tmp_path_factory.mktemp("sound"), *lines)
    assert verdict_counts(found) == {} and found.lines == len(lines) and not found.unreadable


# Files and the command line


def command(*args: str, given: str = "") -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "ramppost", "audit", *args],
        capture_output=True,
        text=True,
        input=given,
        timeout=60,
        check=False,
    )


def test_packed_prefixed_and_cut_lines(tmp_path: Path) -> None:
    path = tmp_path / "packed.gz"
    lines = [f"12.5 g1 {config(2, None, 0)}", config(1, 2, 1)[:-9], "no line", config(1, 2, 1)]
    path.write_bytes(gzip.compress("\n".join(lines).encode() + b"\n\xff\xfe{\n"))
    found = audit([str(path)])
    assert (found.lines, found.unreadable, found.first_unreadable) == (5, 3, f"{path}:2")
    assert verdict_counts(found) == {"configuration": (1, 0)}


def test_exit_code_and_output(tmp_path: Path) -> None:
    good, bad = tmp_path / "good.log", tmp_path / "bad.log"
    good.write_text(f"{config(1, None, 0)}\n")
    bad.write_text(f"{config(2, None, 0)}\n{config(1, 2, 1)}\n")
    assert command(str(good)).returncode == 0
    got = command(str(bad))
    assert got.returncode == 1
    lost = "version 1 (era 0, revision 10) in force after version 2 (era 0, revision 20)"
    assert f"g1: {lost}" in got.stdout
    got = command(str(good), str(tmp_path / "none.log"))
    assert got.returncode == 2 and "none.log" in got.stderr
    cut = tmp_path / "cut.gz"
    cut.write_bytes(gzip.compress(bad.read_bytes() * 100)[:-20])
    got = command(str(cut))
    assert got.returncode == 2 and "cut.gz: after line" in got.stderr
    got = command(str(good), "--clocks", "soon")
    assert got.returncode == 2 and "--clocks: 'soon'" in got.stderr
    assert command(str(good), "--clocks", "0.1").returncode == 0
    got = command("-", given="nothing\n")
    assert got.returncode == 2 and "nothing that could be checked" in got.stdout
    shown = json.loads(command("-", "--json", given=bad.read_text()).stdout)
    assert [check["name"] for check in shown["checks"]] == list(CHECKS)
    assert shown["checks"][0]["findings"][0]["verdict"] == "broken"


def test_explain_lists_the_lines_of_a_request(tmp_path: Path) -> None:
    path = tmp_path / "lines.log"
    path.write_text(f"{served('r', 2)}\n{attempt('r', 'status 200', 1)}\n{served('other', 3)}\n")
    got = command(str(path), "--explain", "r")
    explained = got.stdout.splitlines()
    assert len(explained) == 2 and "attempt 1: status 200 upstream=u1" in explained[0]
    assert "served attempts=1" in explained[1]
    assert command(str(path), "--explain", "none").returncode == 2


def test_lines_of_real_gateways(tmp_path: Path) -> None:
    """Checks that the lines of real processes contain each kind of line that a check needs."""
    site = Deployment(tmp_path)
    try:
        asked = [site.call("gateway-1", prefix, KEYS["kitchen"]) for prefix in (STREAM, SAFE)]
        assert [got.status for got in asked] == [200, 200]
        assert site.call("gateway-1", "/nowhere/").status == 404
    finally:
        site.stop()
    logs = sorted(str(path) for path in tmp_path.glob("gateway-*.log"))
    found = audit(logs)
    assert verdict_counts(found) == {} and not found.unreadable
    # The start and the configuration of each gateway, and three request ends and two attempts.
    assert found.programs == 2 and found.events >= 2 * (1 + 1) + 3 + 2


def test_configurations_after_the_stores_return_are_ordered_by_version(tmp_path: Path) -> None:
    lines = [
        config(5, None, 0, revision=27),
        config(5, 5, 1, revision=24, era=1),
        config(6, 5, 2, revision=25, era=1),
    ]
    assert verdict_counts(audit_lines(tmp_path, *lines)) == {}


@pytest.mark.parametrize(
    "between", [rollout("removed", 2), rollout("ordered", 2, "v3"), starting(2)]
)
def test_a_version_may_be_ordered_again_after(tmp_path: Path, between: str) -> None:
    lines = [rollout("rolled_back", 1), between, rollout("ordered", 3)]
    assert verdict_counts(audit_lines(tmp_path, *lines)) == {}
