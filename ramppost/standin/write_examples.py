"""Writes the example settings: `python -m ramppost.standin.write_examples FOLDER`.

Each process gets a file of its own; `Procfile` lists the commands that start them.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

from ramppost.standin.fleet import MESOB, TOLL, Fleet, build

HEAD = "// {what}\n// Every key is explained in docs/operators/settings.md.\n"


def write_fleet(folder: Path, fleet: Fleet, what: str) -> None:
    """Write a fleet's settings and its list of commands."""
    folder.mkdir(parents=True, exist_ok=True)
    _write(folder / "config.json", fleet.doc, f"Configuration document of {what}, revision 1.")
    _write(folder / "platform.json", fleet.platform, "Stand-in for the platform.")
    commands = ["platform: ramppost standin platform --settings platform.json"]
    for kind, group in (("engine", fleet.engines), ("service", fleet.services)):
        for name, cfg in group.items():
            _write(folder / f"{name}.json", cfg, f"Stand-in {kind} {name}.")
            commands.append(f"{name}: ramppost standin {kind} --settings {name}.json")
    for program, processes in (("agent", fleet.agents), ("entry", fleet.entries)):
        for name, settings in processes.items():
            _write(folder / f"{name}.json", settings, f"{program.capitalize()} {name} of {what}.")
            commands.append(f"{name}: ramppost {program} --settings {name}.json")
    (folder / "Procfile").write_text("\n".join(commands) + "\n", encoding="utf-8")


def _write(path: Path, value: Any, what: str) -> None:
    path.write_text(HEAD.format(what=what) + json.dumps(value, indent=2) + "\n", encoding="utf-8")


if __name__ == "__main__":
    target = Path(sys.argv[1])
    write_fleet(target / "mesob", build(MESOB), "Mesob Kitchen Commons")
    write_fleet(target / "toll", build(TOLL), "the Toll Network")
