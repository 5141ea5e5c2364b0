"""`ramppost audit`: promises checked from the log lines of gateways."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import Any, ClassVar, Final

from cleo.commands.command import Command
from cleo.helpers import argument, option

from ramppost.audit.confirmed import DEFAULT_MAX_CLOCK_SKEW_S
from ramppost.audit.findings import Finding
from ramppost.audit.lines import Line
from ramppost.audit.run import Audit, audit, request_lines
from ramppost.wire.codec import encode

BROKEN: Final = 1
UNREADABLE: Final = 2
CLOCKS_HELP: Final = "How many seconds the clocks of boxes may be apart, usually"
SHOWN: Final = 10
"""Findings of a check that are printed without `--json`."""
COMMON: Final = ("at", "level", "message", "module", "program", "request")


class AuditCommand(Command):
    """`ramppost audit`."""

    name = "audit"
    description = "Check what is promised from log lines of gateways; 1 where it was broken."
    arguments: ClassVar = [
        argument("file", "Files of log lines, plain or gzip; - for standard input.", multiple=True)
    ]
    options: ClassVar = [
        option("json", None, "Print all as JSON."),
        option("clocks", None, f"{CLOCKS_HELP} {DEFAULT_MAX_CLOCK_SKEW_S:g}.", flag=False),
        option("explain", None, "Print the story of one request instead.", flag=False),
    ]

    def handle(self) -> int:
        """Read the files once, and print what was found."""
        paths = self.argument("file")
        if self.option("explain"):
            return self._explain(paths, self.option("explain"))
        max_clock_skew_s = parse_seconds(self.option("clocks") or str(DEFAULT_MAX_CLOCK_SKEW_S))
        if max_clock_skew_s is None:
            self.line_error(f"--clocks: {self.option('clocks')!r} is no number of seconds")
            return UNREADABLE
        found = audit(paths, max_clock_skew_s)
        if self.option("json"):
            self.line(encode(as_json(found)).decode())
        else:
            self._print(found)
        for failed in found.unopened:
            self.line_error(f"{failed.path}: {failed.reason}")
        if found.unopened or not found.events:
            return UNREADABLE
        return BROKEN if any(check.broken for check in found.checks) else 0

    def _explain(self, paths: list[str], request: str) -> int:
        lines = request_lines(paths, request)
        for line in lines:
            self.line(format_line(line))
        if not lines:
            self.line_error(f"no line on request {request}")
        return 0 if lines else UNREADABLE

    def _print(self, found: Audit) -> None:
        self.line(f"{found.lines} lines of {found.programs} processes, {found.events} events")
        if found.unreadable:
            self.line(f"{found.unreadable} are no log lines, first {found.first_unreadable}")
        if not found.events:
            self.line("nothing that could be checked")
        for check in found.checks:
            counts = f"{check.broken} broken, {check.undecided} undecided"
            self.line(f"{check.name:<14} {counts:<28} {check.promise}")
        for check in found.checks:
            for finding in sorted(check.findings, key=lambda f: f.verdict)[:SHOWN]:
                self.line(format_finding(finding))


def parse_seconds(text: str) -> float | None:
    """A number of seconds, 0 or more, from its text; None where that is none.

    >>> parse_seconds("0.5"), parse_seconds("-1"), parse_seconds("nan"), parse_seconds("soon")
    (0.5, None, None, None)
    """
    try:
        found = float(text)
    except ValueError:
        return None
    return found if 0.0 <= found < float("inf") else None


def format_finding(finding: Finding) -> str:
    """A finding as a line."""
    at = datetime.fromtimestamp(finding.at, UTC).isoformat()
    request = f" request {finding.request}" if finding.request else ""
    return f"{finding.verdict}: {finding.check}: {at} {finding.program}{request}: {finding.what}"


def format_line(line: Line) -> str:
    """A line of a request's story: when, who, what, and what was known."""
    at = datetime.fromtimestamp(line.at, UTC).isoformat()
    rest = " ".join(f"{name}={value}" for name, value in line.fields.items() if name not in COMMON)
    return f"{at} {line.program} {line.message} {rest}".rstrip()


def as_json(found: Audit) -> dict[str, Any]:
    """All that was found, with names."""
    return {
        **found._asdict(),
        "unopened": [failed._asdict() for failed in found.unopened],
        "checks": [
            {**check._asdict(), "findings": [finding._asdict() for finding in check.findings]}
            for check in found.checks
        ],
    }
