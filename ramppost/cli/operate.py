"""Operator commands, which call the intent API of an entry."""

from __future__ import annotations

import json
import os
import time
from pathlib import Path
from typing import Any, ClassVar, Final, TypeVar

import curio
from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.ui.table import Rows, Table

from ramppost import clock
from ramppost.cli.burn_page import render_burn_page
from ramppost.schema.messages import (
    ClassReport,
    HistoryLine,
    Plan,
    PolicyReport,
    Report,
    StatusReport,
)
from ramppost.wire.client import CallFailed, Pool, call
from ramppost.wire.codec import BadMessage, decode, encode

T = TypeVar("T")

DEFAULT_ENTRY: Final = "127.0.0.1:8080"
REQUEST_TIMEOUT_S: Final = 20.0
CONFIRM_WAIT_S: Final = 15.0
CONFIRM_POLL_S: Final = 0.2
EXIT_FAILURE: Final = 1
COMMON_OPTIONS: Final = [
    option("entry", "e", "Address of an entry, ip:port.", flag=False, default=DEFAULT_ENTRY),
    option(
        "token",
        "t",
        "Operator token; defaults to the environment variable RAMPPOST_TOKEN.",
        flag=False,
    ),
    option("json", None, "Print the result as JSON."),
]
FLOAT_OPTIONS: Final = (
    "step-s",
    "max-error-share",
    "max-rating-drop",
    "max-slow-share",
    "tokens-per-s",
    "burst-tokens",
    "threshold",
)
INTEGER_OPTIONS: Final = ("min-requests", "max-exposed", "concurrency")
STRING_OPTIONS: Final = ("model", "workspace", "policy")
LIST_OPTIONS: Final = ("allow", "models")


def call_intent_api(
    command: Command, method: str, path: str, body: bytes, reply_type: type[T]
) -> T | None:
    """Calls the intent API and decodes the reply; prints an error and returns None on failure."""
    token = command.option("token") or os.environ.get("RAMPPOST_TOKEN", "")
    headers = (("authorization", f"Bearer {token}"), ("content-type", "application/json"))
    reply = curio.run(
        call, Pool(), command.option("entry"), method, path, body, REQUEST_TIMEOUT_S, headers
    )
    if isinstance(reply, CallFailed):
        command.line_error(reply.reason)
        return None
    if reply.status != 200:
        error = json.loads(reply.body).get("error", {}) if reply.body else {}
        command.line_error(f"{error.get('code', reply.status)}: {error.get('message', '')}")
        return None
    decoded: Any = decode(reply.body, reply_type)
    if isinstance(decoded, BadMessage):
        command.line_error(f"cannot decode the reply: {decoded.reason}")
        return None
    return decoded  # type: ignore[no-any-return]


def print_table(command: Command, headers: list[str], rows: list[list[str]]) -> None:
    """Prints a table with a header row."""
    cells: Rows = [list(row) for row in rows]
    table = Table(command.io)
    table.set_headers([*headers])
    table.set_rows(cells)
    table.render()


def parse_intent(command: Command) -> dict[str, Any]:
    """Builds the intent from the arguments and options of `ramppost plan`."""
    intent: dict[str, Any] = {"kind": command.argument("kind").replace("-", "_")}
    for name in STRING_OPTIONS:
        if command.option(name) is not None:
            intent[name] = command.option(name)
    model, separator, version = intent.get("model", "").partition("@")
    if separator:
        intent |= {"model": model, "version": version}
    for name in LIST_OPTIONS:
        if command.option(name) is not None:
            intent[name] = [item for item in command.option(name).split(",") if item]
    for name in FLOAT_OPTIONS:
        if command.option(name) is not None:
            intent[name.replace("-", "_")] = float(command.option(name))
    for name in INTEGER_OPTIONS:
        if command.option(name) is not None:
            intent[name.replace("-", "_")] = int(command.option(name))
    if command.option("steps") is not None:
        intent["steps"] = [float(item) for item in command.option("steps").split(",")]
    if command.option("split") is not None:
        parts = [part.partition("=") for part in command.option("split").split(",")]
        intent["split"] = [{"policy": policy, "share": float(share)} for policy, _, share in parts]
    return intent


class PlanCommand(Command):
    """`ramppost plan`."""

    name = "plan"
    description = "Submit an intent and print the resulting plan, without applying it."
    arguments: ClassVar = [
        argument(
            "kind",
            "rollout, withdraw, permissions, limits, cascade, compare, end-compare or "
            "rotate-session-key.",
        )
    ]
    options: ClassVar = [
        *COMMON_OPTIONS,
        *(
            option(
                name,
                None,
                f"{name} of the intent; a model version is given as model@version.",
                flag=False,
            )
            for name in STRING_OPTIONS
        ),
        *(
            option(name, None, f"{name}, a comma-separated list.", flag=False)
            for name in LIST_OPTIONS
        ),
        *(option(name, None, f"{name}, a number.", flag=False) for name in FLOAT_OPTIONS),
        *(option(name, None, f"{name}, an integer.", flag=False) for name in INTEGER_OPTIONS),
        option(
            "steps", None, "Traffic shares of the rollout steps, such as 0.01,0.1,1.", flag=False
        ),
        option(
            "split", None, "Traffic share of each policy, such as best=0.5,learned=0.5.", flag=False
        ),
    ]

    def handle(self) -> int:
        """Requests the plan and prints it."""
        try:
            intent = parse_intent(self)
        except ValueError as exc:
            self.line_error(f"invalid number: {exc}")
            return EXIT_FAILURE
        plan = call_intent_api(self, "POST", "/v1/intents", encode(intent), Plan)
        if plan is None:
            return EXIT_FAILURE
        if self.option("json"):
            self.line(encode(plan).decode())
            return 0
        self.line(f"plan {plan['plan_id']} for revision {plan['revision']}")
        for name in ("difference", "checks", "warnings"):
            for line in plan[name]:
                self.line(f"  {name}: {line}")
        self.line(f"  effect: {plan['effect']}")
        self.line(
            f"nothing has changed; run `ramppost confirm {plan['plan_id']}` to apply the plan"
        )
        return 0


class ConfirmCommand(Command):
    """`ramppost confirm`."""

    name = "confirm"
    description = "Apply a plan; confirming it again has no further effect."
    arguments: ClassVar = [argument("plan", "ID of the plan.")]
    options: ClassVar = [
        *COMMON_OPTIONS,
        option("wait", "w", "Wait until all processes use the revision."),
    ]

    def handle(self) -> int:
        """Confirms the plan and, with `--wait`, waits until all processes use its revision."""
        path = f"/v1/plans/{self.argument('plan')}/confirm"
        confirmation = call_intent_api(self, "POST", path, b"", dict[str, Any])
        if confirmation is None:
            return EXIT_FAILURE
        self.line(f"revision {confirmation['revision']} accepted")
        return (
            self._wait_until_in_force(int(confirmation["revision"])) if self.option("wait") else 0
        )

    def _wait_until_in_force(self, revision: int) -> int:
        started = clock.now()
        lagging: list[str] = []
        while clock.now() - started < CONFIRM_WAIT_S:
            status = call_intent_api(self, "GET", "/v1/status", b"", StatusReport)
            if status is None:
                return EXIT_FAILURE
            lagging = [p["name"] for p in status["processes"] if p["rev"] < revision]
            if not lagging:
                self.line(f"in force everywhere after {clock.now() - started:.1f} s")
                return 0
            time.sleep(CONFIRM_POLL_S)
        self.line_error(f"timed out; revision not yet in force at: {', '.join(lagging)}")
        return EXIT_FAILURE


class StatusCommand(Command):
    """`ramppost status`."""

    name = "status"
    description = "Show the revision in force at each process, and the rollouts."
    options: ClassVar = COMMON_OPTIONS

    def handle(self) -> int:
        """Fetches the status and prints it."""
        status = call_intent_api(self, "GET", "/v1/status", b"", StatusReport)
        if status is None:
            return EXIT_FAILURE
        if self.option("json"):
            self.line(encode(status).decode())
            return 0
        rows = [
            [p["name"], p["role"], p["hall"], p["addr"], str(p["rev"]), p["state"]]
            for p in status["processes"]
        ]
        print_table(self, ["name", "role", "data hall", "address", "revision", "state"], rows)
        for line in status["rollouts"]:
            self.line(f"rollout {line}")
        return 0


class HistoryCommand(Command):
    """`ramppost history`."""

    name = "history"
    description = "Show which plan and which operator made each revision."
    options: ClassVar = COMMON_OPTIONS

    def handle(self) -> int:
        """Fetches the history and prints it."""
        history = call_intent_api(self, "GET", "/v1/history", b"", list[HistoryLine])
        if history is None:
            return EXIT_FAILURE
        if self.option("json"):
            self.line(encode(history).decode())
            return 0
        rows = [[str(line["revision"]), line["plan_id"], line["changed_by"]] for line in history]
        print_table(self, ["revision", "plan", "by"], rows)
        return 0


def merge_policies(reports: list[Report]) -> list[PolicyReport]:
    """Merges the policy reports of all entries.

    Counts and costs are added; quality is averaged, weighted by the number of ratings.
    """
    merged: dict[str, PolicyReport] = {}
    for policy_report in (
        policy_report for report in reports for policy_report in report["policies"]
    ):
        total = merged.get(policy_report["policy"])
        if total is None:
            merged[policy_report["policy"]] = policy_report.copy()
            continue
        _merge_quality(total, policy_report)
        for name in ("requests", "refused", "cost", "rated", "trial_requests"):
            total[name] += policy_report[name]
    return list(merged.values())


def _merge_quality(total: PolicyReport, added: PolicyReport) -> None:
    """Updates the quality of `total` to the mean of both, weighted by the number of ratings."""
    total_rated, added_rated = total["rated"], added["rated"]
    share = added_rated / (total_rated + added_rated) if total_rated + added_rated else 0.0
    total["quality"] += share * (added["quality"] - total["quality"])
    total["quality_low"] += share * (added["quality_low"] - total["quality_low"])
    total["quality_high"] += share * (added["quality_high"] - total["quality_high"])


class PolicyCompareCommand(Command):
    """`ramppost policy compare`."""

    name = "policy compare"
    description = "Compare policies on live traffic by cost, quality and number of trial requests."
    options: ClassVar = COMMON_OPTIONS

    def handle(self) -> int:
        """Fetches the reports, merges them by policy and prints the result."""
        reports = call_intent_api(self, "GET", "/v1/report", b"", list[Report])
        if reports is None:
            return EXIT_FAILURE
        merged = merge_policies(reports)
        if self.option("json"):
            self.line(encode(merged).decode())
            return 0
        rows = [
            [
                p["policy"] or "(named)",
                str(p["requests"]),
                str(p["refused"]),
                f"{p['cost']:.3f}",
                f"{p['quality']:.3f} [{p['quality_low']:.3f}, {p['quality_high']:.3f}]",
                str(p["trial_requests"]),
            ]
            for p in merged
        ]
        print_table(
            self, ["policy", "requests", "refused", "cost", "quality (95%)", "on trial"], rows
        )
        return 0


class ReportBurnCommand(Command):
    """`ramppost report burn`."""

    name = "report burn"
    description = "Show the burn rate of error budgets by workspace and class."
    options: ClassVar = [
        *COMMON_OPTIONS,
        option("html", None, "Write an HTML page with plots to this file.", flag=False),
    ]

    def handle(self) -> int:
        """Fetches the reports and prints them, or writes the HTML page."""
        reports = call_intent_api(self, "GET", "/v1/report", b"", list[Report])
        if reports is None:
            return EXIT_FAILURE
        if self.option("html"):
            Path(self.option("html")).write_text(render_burn_page(reports), encoding="utf-8")
            self.line(f"wrote {self.option('html')}")
            return 0
        class_reports = [
            (report["entry"], line) for report in reports for line in report["classes"]
        ]
        if self.option("json"):
            self.line(encode(reports).decode())
            return 0
        print_table(
            self,
            [
                "entry",
                "workspace",
                "class",
                "good",
                "bad",
                "burn 5m",
                "burn 1h",
                "budget left",
                "p50/p99 ms",
            ],
            [_burn_row(entry, class_report) for entry, class_report in class_reports],
        )
        return 0


def _burn_row(entry: str, class_report: ClassReport) -> list[str]:
    return [
        entry.partition("#")[0],
        class_report["workspace"],
        class_report["class_name"],
        str(class_report["good"]),
        str(class_report["bad"]),
        f"{class_report['fast_burn']:.2f}",
        f"{class_report['slow_burn']:.2f}",
        f"{class_report['budget_left']:.0%}",
        f"{class_report['p50_ms']:.0f}/{class_report['p99_ms']:.0f}",
    ]
