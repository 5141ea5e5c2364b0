"""Reads and checks settings and configuration documents: JSON with comments.

Every fault is one line that names file, path and the mend; nothing is started
with faulty settings.
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

PROGRAMS: Final = {
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
    """Faults of a file, a line each."""

    lines: list[str]


@cache
def schema(name: str) -> dict[str, Any]:
    """A schema of the package, `settings`, `config` or `messages`."""
    text = (files("ramppost.schema") / f"{name}.json").read_text(encoding="utf-8")
    found: dict[str, Any] = json.loads(text)
    return found


def load_settings(path: Path, wanted: str = "") -> Any | InvalidFile:
    """Settings of the program `wanted`, or of whichever the file names."""
    value = _parse(path)
    if isinstance(value, InvalidFile):
        return value
    program = value.get("program") if isinstance(value, dict) else None
    if not isinstance(program, str) or program not in PROGRAMS:
        names = ", ".join(PROGRAMS)
        return InvalidFile([f"{path}: $.program: must name a program: {names}"])
    if wanted and program != wanted:
        return InvalidFile([f"{path}: $.program: is {program!r}; this command wants {wanted!r}"])
    faults = _faults("settings", PROGRAMS[program], value, path.parent)
    if faults:
        return InvalidFile([f"{path}: {fault}" for fault in faults])
    return _resolve_files("settings", PROGRAMS[program], value, path.parent)


def load_config_doc(path: Path) -> Any | InvalidFile:
    """A configuration document from a file."""
    value = _parse(path)
    if isinstance(value, InvalidFile):
        return value
    faults = check_config_doc(value)
    return InvalidFile([f"{path}: {fault}" for fault in faults]) if faults else value


def check_file(path: Path) -> list[str]:
    """Faults of a settings file or configuration document, whichever it is."""
    value = _parse(path)
    if isinstance(value, InvalidFile):
        return value.lines
    is_doc = isinstance(value, dict) and "revision" in value and "program" not in value
    got = load_config_doc(path) if is_doc else load_settings(path)
    return got.lines if isinstance(got, InvalidFile) else []


def check_config_doc(value: Any) -> list[str]:
    """Faults of a configuration document: by the schema, then names that lead nowhere."""
    faults = _faults("config", "ConfigDoc", value, Path())
    return faults or _dangling(value)


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


def _faults(name: str, definition: str, value: Any, folder: Path) -> list[str]:
    whole = schema(name)
    wanted = {"$defs": whole["$defs"], **whole["$defs"][definition]}
    checker = Draft202012Validator(wanted, format_checker=Draft202012Validator.FORMAT_CHECKER)
    errors = sorted(checker.iter_errors(value), key=lambda e: e.json_path)
    lines = [f"{error.json_path}: {_mend(error)}" for error in errors]
    if lines or not isinstance(value, dict):
        return lines
    for path, text, spec in _leaves(whole["$defs"], whole["$defs"][definition], value, "$"):
        if spec.get("x-address") and not is_address(text):
            lines.append(f"{path}: {text!r} is not an address; write `ip:port`")
        if spec.get("x-file") and not (folder / text).is_file():
            lines.append(f"{path}: no such file {text!r}; paths are relative to the settings file")
    upstream = value.get("upstream")
    if isinstance(upstream, dict) and upstream["kind"] == "service" and "service" not in upstream:
        lines.append("$.upstream.service: needed when kind is `service`; name the service")
    return lines


def _mend(error: ValidationError) -> str:
    """A schema error with what to do about it."""
    kind, value = error.validator, error.validator_value
    if kind == "additionalProperties":
        known = (
            ", ".join(error.schema.get("properties", {})) if isinstance(error.schema, dict) else ""
        )
        return f"{error.message.split('(')[-1].rstrip(')')}; known keys: {known}"
    if kind == "required":
        return f"{error.message}; add it"
    if kind == "type":
        return f"{error.message}; write a value of type {value}"
    if kind in ("minimum", "maximum"):
        return f"{error.message}; {kind} is {value}"
    if kind in ("enum", "const"):
        return f"{error.message}; write one of {value}" if kind == "enum" else error.message
    return f"{error.message}; {kind} is {value}"


def _leaves(
    defs: dict[str, Any], spec: dict[str, Any], value: Any, path: str
) -> list[tuple[str, str, dict[str, Any]]]:
    """Texts of a checked value with their path and schema."""
    if "$ref" in spec:
        spec = defs[spec["$ref"].rpartition("/")[2]]
    if isinstance(value, dict):
        found = []
        for key, item in value.items():
            found += _leaves(defs, spec.get("properties", {}).get(key, {}), item, f"{path}.{key}")
        return found
    if isinstance(value, list):
        items = [
            _leaves(defs, spec.get("items", {}), v, f"{path}[{i}]") for i, v in enumerate(value)
        ]
        return [leaf for group in items for leaf in group]
    return [(path, value, spec)] if isinstance(value, str) else []


def _resolve_files(name: str, definition: str, value: Any, folder: Path) -> Any:
    """The value with its file names made relative to the working folder."""
    whole = schema(name)["$defs"]
    for path, text, spec in _leaves(whole, whole[definition], value, "$"):
        if spec.get("x-file"):
            *parents, last = path.removeprefix("$.").split(".")
            holder = value
            for part in parents:
                holder = holder[part]
            holder[last] = str(folder / text)
    return value


def _dangling(doc: Any) -> list[str]:
    """Names in a configuration document that nothing bears."""
    models = {m["model"] for m in doc["models"]}
    policies = {p["name"] for p in doc["policies"]}
    lines = []
    for i, policy in enumerate(doc["policies"]):
        for j, model in enumerate(policy["models"]):
            if model not in models:
                lines.append(
                    f"$.policies[{i}].models[{j}]: no such model {model!r}; add it to models"
                )
    for i, ws in enumerate(doc["workspaces"]):
        for j, part in enumerate(ws["policies"]):
            if part["policy"] not in policies:
                name = part["policy"]
                lines.append(f"$.workspaces[{i}].policies[{j}]: no such policy {name!r}; add it")
    for kind, key in (("models", "model"), ("classes", "name"), ("workspaces", "name")):
        names = [item[key] for item in doc[kind]]
        for name in sorted({n for n in names if names.count(n) > 1}):
            lines.append(f"$.{kind}: {name!r} stands twice; names must be unique")
    return lines
