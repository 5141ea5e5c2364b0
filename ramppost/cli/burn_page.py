"""The burn report as one self-contained HTML page with bar plots."""

from __future__ import annotations

from html import escape
from typing import Final

from ramppost.schema.messages import ClassReport, Report

MAX_BURN: Final = 20.0
WIDTH: Final = 300
STYLE: Final = (
    "body{font:14px sans-serif;margin:2em}td,th{padding:4px 10px;text-align:right}"
    "td:first-child{text-align:left}.hot{fill:#c33}.ok{fill:#393}"
)


def burn_page(reports: list[Report]) -> str:
    """The page."""
    rows = "".join(_row(report["entry"], line) for report in reports for line in report["classes"])
    head = "<tr><th>entry / workspace / class</th><th>good</th><th>bad</th><th>burn 5 min</th>"
    head += "<th>burn 1 h</th><th>budget left</th><th>p50 ms</th><th>p99 ms</th></tr>"
    title = "ramppost: service-level burn"
    return (
        f"<!doctype html><meta charset='utf-8'><title>{title}</title><style>{STYLE}</style>"
        f"<h1>{title}</h1><p>Burn 1 uses the error budget up exactly at the end of its period.</p>"
        f"<table>{head}{rows}</table>"
    )


def _row(entry: str, line: ClassReport) -> str:
    name = f"{entry.partition('#')[0]} / {line['workspace']} / {line['class_name']}"
    cells = [
        escape(name),
        str(line["good"]),
        str(line["bad"]),
        _bar(line["fast_burn"]),
        _bar(line["slow_burn"]),
        f"{line['budget_left']:.0%}",
        f"{line['p50_ms']:.0f}",
        f"{line['p99_ms']:.0f}",
    ]
    return "<tr>" + "".join(f"<td>{cell}</td>" for cell in cells) + "</tr>"


def _bar(burn: float) -> str:
    width = int(WIDTH * min(burn, MAX_BURN) / MAX_BURN)
    kind = "hot" if burn > 1 else "ok"
    rect = f"<rect class='{kind}' width='{max(1, width)}' height='12'/>"
    return f"<svg width='{WIDTH}' height='12'>{rect}</svg> {burn:.2f}"
