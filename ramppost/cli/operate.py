"""Commands for operators: clients of an entry's intent API."""

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
from ramppost.cli.burn_page import burn_page
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
TIMEOUT_S: Final = 20.0
WAIT_S: Final = 15.0
POLL_S: Final = 0.2
FAILED: Final = 1
COMMON: Final = [
    option("entry", "e", "An entry's address, ip:port.", flag=False, default=DEFAULT_ENTRY),
    option("token", "t", "Operator token; else RAMPPOST_TOKEN.", flag=False),
    option("json", None, "Print JSON."),
]
NUMBERS: Final = (
    "step-s",
    "max-error-share",
    "max-rating-drop",
    "max-slow-share",
    "tokens-per-s",
    "burst-tokens",
    "threshold",
)
WHOLE_NUMBERS: Final = ("min-requests", "max-exposed", "concurrency")
TEXTS: Final = ("model", "workspace", "policy")
TEXT_LISTS: Final = ("allow", "models")


def ask(command: Command, method: str, path: str, body: bytes, kind: type[T]) -> T | None:
    """Call the intent API; a refusal is printed and None returned."""
    token = command.option("token") or os.environ.get("RAMPPOST_TOKEN", "")
    head = (("authorization", f"Bearer {token}"), ("content-type", "application/json"))
    got = curio.run(call, Pool(), command.option("entry"), method, path, body, TIMEOUT_S, head)
    if isinstance(got, CallFailed):
        command.line_error(got.reason)
        return None
    if got.status != 200:
        error = json.loads(got.body).get("error", {}) if got.body else {}
        command.line_error(f"{error.get('code', got.status)}: {error.get('message', '')}")
        return None
    value: Any = decode(got.body, kind)
    if isinstance(value, BadMessage):
        command.line_error(f"answer not understood: {value.reason}")
        return None
    return value  # type: ignore[no-any-return]


def show_table(command: Command, headers: list[str], rows: list[list[str]]) -> None:
    """Print a table."""
    cells: Rows = [list(row) for row in rows]
    grid = Table(command.io)
    grid.set_headers([*headers])
    grid.set_rows(cells)
    grid.render()


def intent_of(command: Command) -> dict[str, Any]:
    """The intent that the arguments state."""
    intent: dict[str, Any] = {"kind": command.argument("kind").replace("-", "_")}
    for name in TEXTS:
        if command.option(name) is not None:
            intent[name] = command.option(name)
    model, at, version = intent.get("model", "").partition("@")
    if at:
        intent |= {"model": model, "version": version}
    for name in TEXT_LISTS:
        if command.option(name) is not None:
            intent[name] = [item for item in command.option(name).split(",") if item]
    for name in NUMBERS:
        if command.option(name) is not None:
            intent[name.replace("-", "_")] = float(command.option(name))
    for name in WHOLE_NUMBERS:
        if command.option(name) is not None:
            intent[name.replace("-", "_")] = int(command.option(name))
    if command.option("steps") is not None:
        intent["steps"] = [float(item) for item in command.option("steps").split(",")]
    if command.option("split") is not None:
        parts = [part.partition("=") for part in command.option("split").split(",")]
        intent["split"] = [{"policy": p, "share": float(s)} for p, _, s in parts]
    return intent


class PlanCommand(Command):
    """`ramppost plan`."""

    name = "plan"
    description = "State a wish and see the plan; nothing changes yet."
    arguments: ClassVar = [
        argument(
            "kind",
            "rollout, withdraw, permissions, limits, cascade, compare, end-compare or "
            "rotate-session-key.",
        )
    ]
    options: ClassVar = [
        *COMMON,
        *(
            option(name, None, f"{name} of the wish; a version is model@version.", flag=False)
            for name in TEXTS
        ),
        *(option(name, None, f"{name}, separated by commas.", flag=False) for name in TEXT_LISTS),
        *(option(name, None, f"{name}, a number.", flag=False) for name in NUMBERS),
        *(option(name, None, f"{name}, a whole number.", flag=False) for name in WHOLE_NUMBERS),
        option("steps", None, "Shares of the steps, such as 0.01,0.1,1.", flag=False),
        option("split", None, "Policies and shares, such as best=0.5,learned=0.5.", flag=False),
    ]

    def handle(self) -> int:
        """Ask for the plan and show it."""
        try:
            intent = intent_of(self)
        except ValueError as exc:
            self.line_error(f"bad number: {exc}")
            return FAILED
        plan = ask(self, "POST", "/v1/intents", encode(intent), Plan)
        if plan is None:
            return FAILED
        if self.option("json"):
            self.line(encode(plan).decode())
            return 0
        self.line(f"plan {plan['plan_id']} for revision {plan['revision']}")
        for name in ("difference", "checks", "warnings"):
            for line in plan[name]:
                self.line(f"  {name}: {line}")
        self.line(f"  effect: {plan['effect']}")
        self.line(f"nothing has changed; `ramppost confirm {plan['plan_id']}` carries it out")
        return 0


class ConfirmCommand(Command):
    """`ramppost confirm`."""

    name = "confirm"
    description = "Carry out a plan; confirming twice is harmless."
    arguments: ClassVar = [argument("plan", "Id of the plan.")]
    options: ClassVar = [*COMMON, option("wait", "w", "Wait until it is in force everywhere.")]

    def handle(self) -> int:
        """Confirm, then wait if asked."""
        path = f"/v1/plans/{self.argument('plan')}/confirm"
        done = ask(self, "POST", path, b"", dict[str, Any])
        if done is None:
            return FAILED
        self.line(f"revision {done['revision']} accepted")
        return self._wait(int(done["revision"])) if self.option("wait") else 0

    def _wait(self, revision: int) -> int:
        started = clock.now()
        behind: list[str] = []
        while clock.now() - started < WAIT_S:
            status = ask(self, "GET", "/v1/status", b"", StatusReport)
            if status is None:
                return FAILED
            behind = [p["name"] for p in status["processes"] if p["rev"] < revision]
            if not behind:
                self.line(f"in force everywhere after {clock.now() - started:.1f} s")
                return 0
            time.sleep(POLL_S)
        self.line_error(f"not in force yet at: {', '.join(behind)}")
        return FAILED


class StatusCommand(Command):
    """`ramppost status`."""

    name = "status"
    description = "Show the revision in force at every process, and the roll-outs."
    options: ClassVar = COMMON

    def handle(self) -> int:
        """Ask and show."""
        status = ask(self, "GET", "/v1/status", b"", StatusReport)
        if status is None:
            return FAILED
        if self.option("json"):
            self.line(encode(status).decode())
            return 0
        rows = [
            [p["name"], p["role"], p["hall"], p["addr"], str(p["rev"]), p["state"]]
            for p in status["processes"]
        ]
        show_table(self, ["name", "role", "data hall", "address", "revision", "state"], rows)
        for line in status["rollouts"]:
            self.line(f"roll-out {line}")
        return 0


class HistoryCommand(Command):
    """`ramppost history`."""

    name = "history"
    description = "Show which plan made each revision."
    options: ClassVar = COMMON

    def handle(self) -> int:
        """Ask and show."""
        lines = ask(self, "GET", "/v1/history", b"", list[HistoryLine])
        if lines is None:
            return FAILED
        if self.option("json"):
            self.line(encode(lines).decode())
            return 0
        rows = [[str(x["revision"]), x["plan_id"], x["changed_by"]] for x in lines]
        show_table(self, ["revision", "plan", "by"], rows)
        return 0


def merge_policies(reports: list[Report]) -> list[PolicyReport]:
    """Policies over all entries; quality weighted by the number of ratings."""
    merged: dict[str, PolicyReport] = {}
    for line in (line for report in reports for line in report["policies"]):
        held = merged.get(line["policy"])
        if held is None:
            merged[line["policy"]] = line.copy()
            continue
        _weigh(held, line)
        for name in ("requests", "refused", "cost", "rated", "trial_requests"):
            held[name] += line[name]
    return list(merged.values())


def _weigh(held: PolicyReport, line: PolicyReport) -> None:
    """Put the weighted mean of two lines' quality into the first."""
    n, m = held["rated"], line["rated"]
    share = m / (n + m) if n + m else 0.0
    held["quality"] += share * (line["quality"] - held["quality"])
    held["quality_low"] += share * (line["quality_low"] - held["quality_low"])
    held["quality_high"] += share * (line["quality_high"] - held["quality_high"])


class PolicyCompareCommand(Command):
    """`ramppost policy compare`."""

    name = "policy compare"
    description = "Compare policies on live traffic: cost, quality, exposure."
    options: ClassVar = COMMON

    def handle(self) -> int:
        """Ask and show."""
        reports = ask(self, "GET", "/v1/report", b"", list[Report])
        if reports is None:
            return FAILED
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
        show_table(
            self, ["policy", "requests", "refused", "cost", "quality (95%)", "on trial"], rows
        )
        return 0


class ReportBurnCommand(Command):
    """`ramppost report burn`."""

    name = "report burn"
    description = "Report how fast error budgets burn, by workspace and class."
    options: ClassVar = [*COMMON, option("html", None, "Write a page with plots.", flag=False)]

    def handle(self) -> int:
        """Ask and show, or write the page."""
        reports = ask(self, "GET", "/v1/report", b"", list[Report])
        if reports is None:
            return FAILED
        if self.option("html"):
            Path(self.option("html")).write_text(burn_page(reports), encoding="utf-8")
            self.line(f"written {self.option('html')}")
            return 0
        lines = [(r["entry"], c) for r in reports for c in r["classes"]]
        if self.option("json"):
            self.line(encode(reports).decode())
            return 0
        show_table(
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
            [_burn_row(name, line) for name, line in lines],
        )
        return 0


def _burn_row(entry: str, line: ClassReport) -> list[str]:
    return [
        entry.partition("#")[0],
        line["workspace"],
        line["class_name"],
        str(line["good"]),
        str(line["bad"]),
        f"{line['fast_burn']:.2f}",
        f"{line['slow_burn']:.2f}",
        f"{line['budget_left']:.0%}",
        f"{line['p50_ms']:.0f}/{line['p99_ms']:.0f}",
    ]
