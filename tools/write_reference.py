"""`make docs`: writes the reference pages from the schema and the error catalogue."""

from __future__ import annotations

from pathlib import Path
from typing import Any, Final

from ramppost.errors import CATALOGUE
from ramppost.settings import schema

OPERATORS: Final = Path(__file__).parents[1] / "docs" / "operators"
BOUNDS: Final = ("minimum", "maximum", "minLength", "maxLength", "maxItems")


def settings_page() -> str:
    """All keys of settings and of the configuration document."""
    parts = [
        "# Settings",
        "",
        "Written by `make docs` from `ramppost/schema`. One file for each process, JSON with comments; an unknown",
        "key, a wrong type or a value out of range is named by `ramppost check-config` and nothing starts. File",
        "names are relative to the settings file. Units are in the descriptions.",
        "",
    ]
    for name, title in (("settings", "Settings"), ("config", "Configuration document")):
        parts += [f"## {title}", ""]
        for definition, spec in schema(name)["$defs"].items():
            parts += _table(definition, spec)
    return "\n".join(parts).rstrip() + "\n"


def _table(name: str, spec: dict[str, Any]) -> list[str]:
    rows = [f"### {name}", "", spec.get("description", ""), ""]
    rows += ["| key | type | needed | default | meaning |", "|---|---|---|---|---|"]
    for key, item in spec["properties"].items():
        needed = "yes" if key in spec.get("required", []) else ""
        default = f"`{item['default']}`" if "default" in item else ""
        rows.append(
            f"| `{key}` | {_type(item)} | {needed} | {default} | {item.get('description', '')} |"
        )
    return [*rows, ""]


def _type(item: dict[str, Any]) -> str:
    if "$ref" in item:
        return str(item["$ref"]).rpartition("/")[2]
    if "enum" in item:
        return " or ".join(f"`{value}`" for value in item["enum"])
    if "const" in item:
        return f"`{item['const']}`"
    if item["type"] == "array":
        return f"list of {_type(item['items'])}"
    bounds = ", ".join(f"{name} {item[name]}" for name in BOUNDS if name in item)
    return f"{item['type']} ({bounds})" if bounds else str(item["type"])


def errors_page() -> str:
    """All error codes."""
    parts = [
        "# Error codes",
        "",
        "Written by `make docs` from `ramppost/errors.py`. Errors have OpenAI's shape with two keys more: `ran` and",
        "`retry_after_s` (also the header `Retry-After`). `ran` is the usual value below; an earlier attempt of the",
        "same request that ran, or may have, makes it `yes` or `unknown`. `no` is said only when it is true.",
        "",
        "| code | status | ran | meaning | mend |",
        "|---|---|---|---|---|",
    ]
    for code, doc in CATALOGUE.items():
        parts.append(f"| `{code}` | {doc.status} | {doc.ran} | {doc.meaning} | {doc.remedy} |")
    return "\n".join(parts) + "\n"


PAGES: Final = {"settings.md": settings_page, "errors.md": errors_page}


def main() -> None:
    """Write all pages."""
    for name, page in PAGES.items():
        (OPERATORS / name).write_text(page(), encoding="utf-8")


if __name__ == "__main__":
    main()
