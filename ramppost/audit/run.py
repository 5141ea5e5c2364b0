"""Goes through log files once: what the checks found, or one request's story."""

from __future__ import annotations

from collections import Counter
from typing import Final, NamedTuple

from ramppost.audit.checks import all_checks
from ramppost.audit.confirmed import DEFAULT_MAX_CLOCK_SKEW_S
from ramppost.audit.events import event_of
from ramppost.audit.findings import Check, Finding
from ramppost.audit.lines import CantOpen, Line, Unreadable, read_lines

MAX_SHOWN: Final = 1000
"""Findings of a check and verdict that are kept; the others are counted."""


class CheckResult(NamedTuple):
    """What a check found: how often, and the first of each verdict."""

    name: str
    promise: str
    broken: int
    undecided: int
    findings: list[Finding]


class Audit(NamedTuple):
    """What was read, and what was found; `unopened` are files that could not be read to the end,
    `first_unreadable` says where the first line is that is none."""

    lines: int
    events: int
    programs: int
    unreadable: int
    first_unreadable: str
    unopened: list[CantOpen]
    checks: list[CheckResult]


class _Tally:
    """What a check has found so far."""

    def __init__(self, check: Check) -> None:
        self.check = check
        self.counts: Counter[str] = Counter()
        self.findings: list[Finding] = []

    def add(self, finding: Finding) -> None:
        self.counts[finding.verdict] += 1
        if self.counts[finding.verdict] <= MAX_SHOWN:
            self.findings.append(finding)

    def result(self) -> CheckResult:
        broken, undecided = self.counts["broken"], self.counts["undecided"]
        return CheckResult(self.check.name, self.check.promise, broken, undecided, self.findings)


def audit(paths: list[str], max_clock_skew_s: float = DEFAULT_MAX_CLOCK_SKEW_S) -> Audit:
    """Runs all checks over log files.

    The lines of one process must be in one file, or in several files given in order of time.
    `max_clock_skew_s` is the largest difference assumed between the clocks of two boxes.
    """
    tallies = [_Tally(check) for check in all_checks(max_clock_skew_s)]
    lines = events = unreadable = 0
    first_unreadable = ""
    unopened: list[CantOpen] = []
    programs: set[str] = set()
    for path in paths:
        for line in read_lines(path):
            if isinstance(line, CantOpen):
                unopened.append(line)
                continue
            lines += 1
            if isinstance(line, Unreadable):
                unreadable += 1
                first_unreadable = first_unreadable or line.where
                continue
            programs.add(line.program)
            event = event_of(line)
            if event is None:
                continue
            events += 1
            for tally in tallies:
                for finding in tally.check.take(event):
                    tally.add(finding)
    for tally in tallies:
        for finding in tally.check.end():
            tally.add(finding)
    results = [tally.result() for tally in tallies]
    return Audit(lines, events, len(programs), unreadable, first_unreadable, unopened, results)


def request_lines(paths: list[str], request: str) -> list[Line]:
    """All lines on a request, by the clocks of their processes."""
    found = [
        line
        for path in paths
        for line in read_lines(path)
        if isinstance(line, Line) and line.fields.get("request") == request
    ]
    return sorted(found, key=lambda line: line.at)
