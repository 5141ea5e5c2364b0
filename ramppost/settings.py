"""Loads and validates settings files and configuration documents, which are JSON with comments.

Each error is one line that names the file, the JSON path and the correction.  No program is
started with invalid settings.
"""

from __future__ import annotations

import json
from functools import cache
from importlib.resources import files
from pathlib import Path
from typing import Any, Final, NamedTuple

import json5
from jsonschema import Draft202012Validator
from jsonschema.exceptions import ValidationError

from ramppost.wire.addr import is_address

PROGRAM_DEFINITIONS: Final = {
    "entry": "EntrySettings",
    "agent": "AgentSettings",
    "gateway": "GatewaySettings",
    "standin-store": "StoreStandinSettings",
    "standin-upstream": "UpstreamStandinSettings",
    "standin-platform": "PlatformStandinSettings",
    "standin-engine": "EngineStandinSettings",
    "standin-service": "ServiceStandinSettings",
}


class InvalidFile(NamedTuple):
    """The errors in a file, one per line."""

    lines: list[str]


@cache
def schema(name: str) -> dict[str, Any]:
    """Return a JSON schema of the package: `settings`, `config` or `messages`."""
    text = (files("ramppost.schema") / f"{name}.json").read_text(encoding="utf-8")
    parsed: dict[str, Any] = json.loads(text)
    return parsed


def load_settings(path: Path, expected_program: str = "") -> Any | InvalidFile:
    """Load the settings of `expected_program`, or of any program if it is empty."""
    value = _parse(path)
    if isinstance(value, InvalidFile):
        return value
    program = value.get("program") if isinstance(value, dict) else None
    if not isinstance(program, str) or program not in PROGRAM_DEFINITIONS:
        names = ", ".join(PROGRAM_DEFINITIONS)
        return InvalidFile([f"{path}: $.program: must name a program: {names}"])
    if expected_program and program != expected_program:
        return InvalidFile(
            [f"{path}: $.program: is {program!r}; this command requires {expected_program!r}"]
        )
    errors = _schema_errors("settings", PROGRAM_DEFINITIONS[program], value, path.parent)
    if errors:
        return InvalidFile([f"{path}: {error}" for error in errors])
    return _resolve_files("settings", PROGRAM_DEFINITIONS[program], value, path.parent)


def load_config_doc(path: Path) -> Any | InvalidFile:
    """Load a configuration document from a file."""
    value = _parse(path)
    if isinstance(value, InvalidFile):
        return value
    errors = check_config_doc(value)
    return InvalidFile([f"{path}: {error}" for error in errors]) if errors else value


def check_file(path: Path) -> list[str]:
    """Return the errors in a file, which is a settings file or a configuration document."""
    value = _parse(path)
    if isinstance(value, InvalidFile):
        return value.lines
    is_doc = isinstance(value, dict) and "revision" in value and "program" not in value
    loaded = load_config_doc(path) if is_doc else load_settings(path)
    return loaded.lines if isinstance(loaded, InvalidFile) else []


def check_config_doc(value: Any) -> list[str]:
    """Return schema errors in a configuration document, or else unknown and duplicate names."""
    errors = _schema_errors("config", "ConfigDoc", value, Path())
    return errors or _name_errors(value)


def _parse(path: Path) -> Any | InvalidFile:
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        reason = exc.strerror if isinstance(exc, OSError) else "not UTF-8 text"
        return InvalidFile([f"{path}: $: can't be read ({reason}); name a readable file"])
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except ValueError as exc:
        return InvalidFile([f"{path}: $: not JSON with comments: {str(exc).splitlines()[0]}"])


def _schema_errors(schema_name: str, definition: str, value: Any, folder: Path) -> list[str]:
    full_schema = schema(schema_name)
    root_schema = {"$defs": full_schema["$defs"], **full_schema["$defs"][definition]}
    validator = Draft202012Validator(
        root_schema, format_checker=Draft202012Validator.FORMAT_CHECKER
    )
    errors = sorted(validator.iter_errors(value), key=lambda e: e.json_path)
    lines = [f"{error.json_path}: {_format_schema_error(error)}" for error in errors]
    if lines or not isinstance(value, dict):
        return lines
    for path, text, spec in _string_values(
        full_schema["$defs"], full_schema["$defs"][definition], value, "$"
    ):
        if spec.get("x-address") and not is_address(text):
            lines.append(f"{path}: {text!r} is not an address; write `ip:port`")
        if spec.get("x-file") and not (folder / text).is_file():
            lines.append(f"{path}: no such file {text!r}; paths are relative to the settings file")
    upstream = value.get("upstream")
    if isinstance(upstream, dict) and upstream["kind"] == "service" and "service" not in upstream:
        lines.append("$.upstream.service: needed when kind is `service`; name the service")
    return lines


def _format_schema_error(error: ValidationError) -> str:
    """Format a schema error together with its correction."""
    keyword, constraint = error.validator, error.validator_value
    if keyword == "additionalProperties":
        known = (
            ", ".join(error.schema.get("properties", {})) if isinstance(error.schema, dict) else ""
        )
        return f"{error.message.split('(')[-1].rstrip(')')}; known keys: {known}"
    if keyword == "required":
        return f"{error.message}; add it"
    if keyword == "type":
        return f"{error.message}; write a value of type {constraint}"
    if keyword in ("minimum", "maximum"):
        return f"{error.message}; {keyword} is {constraint}"
    if keyword in ("enum", "const"):
        return f"{error.message}; write one of {constraint}" if keyword == "enum" else error.message
    return f"{error.message}; {keyword} is {constraint}"


def _string_values(
    defs: dict[str, Any], spec: dict[str, Any], value: Any, path: str
) -> list[tuple[str, str, dict[str, Any]]]:
    """Return the strings in a validated value, each with its JSON path and schema."""
    if "$ref" in spec:
        spec = defs[spec["$ref"].rpartition("/")[2]]
    if isinstance(value, dict):
        strings = []
        for key, item in value.items():
            strings += _string_values(
                defs, spec.get("properties", {}).get(key, {}), item, f"{path}.{key}"
            )
        return strings
    if isinstance(value, list):
        items = [
            _string_values(defs, spec.get("items", {}), v, f"{path}[{i}]")
            for i, v in enumerate(value)
        ]
        return [string_value for group in items for string_value in group]
    return [(path, value, spec)] if isinstance(value, str) else []


def _resolve_files(schema_name: str, definition: str, value: Any, folder: Path) -> Any:
    """Resolve file names in the settings, which are relative to the folder of the settings file."""
    definitions = schema(schema_name)["$defs"]
    for path, text, spec in _string_values(definitions, definitions[definition], value, "$"):
        if spec.get("x-file"):
            *parents, last = path.removeprefix("$.").split(".")
            container = value
            for part in parents:
                container = container[part]
            container[last] = str(folder / text)
    return value


def _name_errors(doc: Any) -> list[str]:
    """Return references to unknown models and policies, and duplicate names, in a document."""
    models = {m["model"] for m in doc["models"]}
    policies = {p["name"] for p in doc["policies"]}
    lines = []
    for i, policy in enumerate(doc["policies"]):
        for j, model in enumerate(policy["models"]):
            if model not in models:
                lines.append(
                    f"$.policies[{i}].models[{j}]: no such model {model!r}; add it to models"
                )
    for i, workspace in enumerate(doc["workspaces"]):
        for j, part in enumerate(workspace["policies"]):
            if part["policy"] not in policies:
                name = part["policy"]
                lines.append(f"$.workspaces[{i}].policies[{j}]: no such policy {name!r}; add it")
    for kind, key in (("models", "model"), ("classes", "name"), ("workspaces", "name")):
        names = [item[key] for item in doc[kind]]
        for name in sorted({n for n in names if names.count(n) > 1}):
            lines.append(f"$.{kind}: {name!r} stands twice; names must be unique")
    return lines
