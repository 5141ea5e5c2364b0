"""Renders the error budget burn report as a self-contained HTML page with bar charts."""

from __future__ import annotations

from html import escape
from typing import Final

from ramppost.schema.messages import ClassReport, Report

MAX_BAR_BURN: Final = 20.0
BAR_WIDTH_PX: Final = 300
STYLE: Final = (
    "body{font:14px sans-serif;margin:2em}td,th{padding:4px 10px;text-align:right}"
    "td:first-child{text-align:left}.hot{fill:#c33}.ok{fill:#393}"
)


def render_burn_page(reports: list[Report]) -> str:
    """Renders the reports of all entries as one HTML page."""
    rows = "".join(
        _render_row(report["entry"], class_report)
        for report in reports
        for class_report in report["classes"]
    )
    header = "<tr><th>entry / workspace / class</th><th>good</th><th>bad</th><th>burn 5 min</th>"
    header += "<th>burn 1 h</th><th>budget left</th><th>p50 ms</th><th>p99 ms</th></tr>"
    title = "ramppost: error budget burn rates"
    return (
        f"<!doctype html><meta charset='utf-8'><title>{title}</title><style>{STYLE}</style>"
        f"<h1>{title}</h1><p>A burn rate of 1 uses up the error budget "
        "exactly at the end of its period.</p>"
        f"<table>{header}{rows}</table>"
    )


def _render_row(entry: str, class_report: ClassReport) -> str:
    name = f"{entry.partition('#')[0]} / {class_report['workspace']} / {class_report['class_name']}"
    cells = [
        escape(name),
        str(class_report["good"]),
        str(class_report["bad"]),
        _render_bar(class_report["fast_burn"]),
        _render_bar(class_report["slow_burn"]),
        f"{class_report['budget_left']:.0%}",
        f"{class_report['p50_ms']:.0f}",
        f"{class_report['p99_ms']:.0f}",
    ]
    return "<tr>" + "".join(f"<td>{cell}</td>" for cell in cells) + "</tr>"


def _render_bar(burn: float) -> str:
    width = int(BAR_WIDTH_PX * min(burn, MAX_BAR_BURN) / MAX_BAR_BURN)
    css_class = "hot" if burn > 1 else "ok"
    rect = f"<rect class='{css_class}' width='{max(1, width)}' height='12'/>"
    return f"<svg width='{BAR_WIDTH_PX}' height='12'>{rect}</svg> {burn:.2f}"
