"""`ramppost audit`: checks the guarantees of gateways against their logs."""

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

EXIT_BROKEN: Final = 1
EXIT_UNREADABLE: Final = 2
CLOCKS_HELP: Final = "Largest difference between the clocks of boxes in seconds, by default"
MAX_PRINTED_FINDINGS: Final = 10
"""Findings that are printed for each check without `--json`."""
STANDARD_FIELDS: Final = ("at", "level", "message", "module", "program", "request")


class AuditCommand(Command):
    """`ramppost audit`."""

    name = "audit"
    description = (
        "Check the guarantees of gateways against their logs; exits with 1 on a violation."
    )
    arguments: ClassVar = [
        argument("file", "Log files, plain or gzip; - for standard input.", multiple=True)
    ]
    options: ClassVar = [
        option("json", None, "Print everything as JSON."),
        option("clocks", None, f"{CLOCKS_HELP} {DEFAULT_MAX_CLOCK_SKEW_S:g}.", flag=False),
        option("explain", None, "Print the log lines of one request instead.", flag=False),
    ]

    def handle(self) -> int:
        """Reads the files once and prints the findings."""
        paths = self.argument("file")
        if self.option("explain"):
            return self._explain(paths, self.option("explain"))
        max_clock_skew_s = parse_seconds(self.option("clocks") or str(DEFAULT_MAX_CLOCK_SKEW_S))
        if max_clock_skew_s is None:
            self.line_error(f"--clocks: {self.option('clocks')!r} is not a number of seconds")
            return EXIT_UNREADABLE
        result = audit(paths, max_clock_skew_s)
        if self.option("json"):
            self.line(encode(result_to_json(result)).decode())
        else:
            self._print(result)
        for failed in result.unopened:
            self.line_error(f"{failed.path}: {failed.reason}")
        if result.unopened or not result.events:
            return EXIT_UNREADABLE
        return EXIT_BROKEN if any(check.broken for check in result.checks) else 0

    def _explain(self, paths: list[str], request: str) -> int:
        lines = request_lines(paths, request)
        for line in lines:
            self.line(format_line(line))
        if not lines:
            self.line_error(f"no log lines of request {request}")
        return 0 if lines else EXIT_UNREADABLE

    def _print(self, result: Audit) -> None:
        self.line(f"{result.lines} lines of {result.programs} processes, {result.events} events")
        if result.unreadable:
            self.line(f"{result.unreadable} are no log lines, first {result.first_unreadable}")
        if not result.events:
            self.line("nothing that could be checked")
        for check in result.checks:
            counts = f"{check.broken} broken, {check.undecided} undecided"
            self.line(f"{check.name:<14} {counts:<28} {check.promise}")
        for check in result.checks:
            for finding in sorted(check.findings, key=lambda f: f.verdict)[:MAX_PRINTED_FINDINGS]:
                self.line(format_finding(finding))


def parse_seconds(text: str) -> float | None:
    """Parses a finite number of seconds of at least 0; None for any other text.

    >>> parse_seconds("0.5"), parse_seconds("-1"), parse_seconds("nan"), parse_seconds("soon")
    (0.5, None, None, None)
    """
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0.0 <= value < float("inf") else None


def format_finding(finding: Finding) -> str:
    """Formats a finding as one line."""
    at = datetime.fromtimestamp(finding.at, UTC).isoformat()
    request = f" request {finding.request}" if finding.request else ""
    return f"{finding.verdict}: {finding.check}: {at} {finding.program}{request}: {finding.what}"


def format_line(line: Line) -> str:
    """Formats a log line: time, process, message and the fields that are not standard."""
    at = datetime.fromtimestamp(line.at, UTC).isoformat()
    extra = " ".join(
        f"{name}={value}" for name, value in line.fields.items() if name not in STANDARD_FIELDS
    )
    return f"{at} {line.program} {line.message} {extra}".rstrip()


def result_to_json(result: Audit) -> dict[str, Any]:
    """Returns the whole result as JSON objects."""
    return {
        **result._asdict(),
        "unopened": [failed._asdict() for failed in result.unopened],
        "checks": [
            {**check._asdict(), "findings": [finding._asdict() for finding in check.findings]}
            for check in result.checks
        ],
    }
