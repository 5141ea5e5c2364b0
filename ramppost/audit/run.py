"""Reads log files once, either to run the checks or to collect the lines of one request."""

from __future__ import annotations

from collections import Counter
from typing import Final, NamedTuple

from ramppost.audit.checks import all_checks
from ramppost.audit.confirmed import DEFAULT_MAX_CLOCK_SKEW_S
from ramppost.audit.events import parse_event
from ramppost.audit.findings import Check, Finding
from ramppost.audit.lines import FileError, Line, Unreadable, read_lines

MAX_FINDINGS: Final = 1000
"""Findings that are kept for each check and verdict; the rest are only counted."""


class CheckResult(NamedTuple):
    """The findings of a check: the number of each verdict, and the first ones in full."""

    name: str
    promise: str
    broken: int
    undecided: int
    findings: list[Finding]


class Audit(NamedTuple):
    """The result of an audit, with counts of what was read.

    `unopened` lists the files that could not be read to the end, and `first_unreadable` is the
    location of the first line that could not be decoded.
    """

    lines: int
    events: int
    programs: int
    unreadable: int
    first_unreadable: str
    unopened: list[FileError]
    checks: list[CheckResult]


class _FindingCollector:
    """Collects the findings of a check."""

    def __init__(self, check: Check) -> None:
        self.check = check
        self.counts: Counter[str] = Counter()
        self.findings: list[Finding] = []

    def add(self, finding: Finding) -> None:
        self.counts[finding.verdict] += 1
        if self.counts[finding.verdict] <= MAX_FINDINGS:
            self.findings.append(finding)

    def result(self) -> CheckResult:
        broken, undecided = self.counts["broken"], self.counts["undecided"]
        return CheckResult(self.check.name, self.check.promise, broken, undecided, self.findings)


def audit(paths: list[str], max_clock_skew_s: float = DEFAULT_MAX_CLOCK_SKEW_S) -> Audit:
    """Runs all checks over log files.

    The lines of one process must be in one file, or in several files given in order of time.
    `max_clock_skew_s` is the largest difference assumed between the clocks of two boxes.
    """
    collectors = [_FindingCollector(check) for check in all_checks(max_clock_skew_s)]
    lines = events = unreadable = 0
    first_unreadable = ""
    unopened: list[FileError] = []
    programs: set[str] = set()
    for path in paths:
        for line in read_lines(path):
            if isinstance(line, FileError):
                unopened.append(line)
                continue
            lines += 1
            if isinstance(line, Unreadable):
                unreadable += 1
                first_unreadable = first_unreadable or line.location
                continue
            programs.add(line.program)
            event = parse_event(line)
            if event is None:
                continue
            events += 1
            for collector in collectors:
                for finding in collector.check.handle_event(event):
                    collector.add(finding)
    for collector in collectors:
        for finding in collector.check.finish():
            collector.add(finding)
    results = [collector.result() for collector in collectors]
    return Audit(lines, events, len(programs), unreadable, first_unreadable, unopened, results)


def request_lines(paths: list[str], request: str) -> list[Line]:
    """Returns all lines of a request, ordered by the clocks of their processes."""
    lines = [
        line
        for path in paths
        for line in read_lines(path)
        if isinstance(line, Line) and line.fields.get("request") == request
    ]
    return sorted(lines, key=lambda line: line.at)
