"""Commands that run a program or check its settings."""

from __future__ import annotations

from pathlib import Path
from typing import Any, ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument, option

from ramppost.dev import FIRST_PORT, LAST_PORT, run_dev
from ramppost.gateway.main import main as run_gateway
from ramppost.programs import run_program
from ramppost.settings import InvalidFile, check_file, load_settings

BAD_SETTINGS = 2
SETTINGS = option("settings", "s", "Settings file, JSON with comments.", flag=False)


def start(command: Command, path: str | None, wanted: str) -> int:
    """Run a program with a settings file; 2 where the file is faulty."""
    if path is None:
        command.line_error("--settings FILE is needed")
        return BAD_SETTINGS
    cfg: Any = load_settings(Path(path), wanted)
    if isinstance(cfg, InvalidFile):
        for line in cfg.lines:
            command.line_error(line)
        return BAD_SETTINGS
    return run_program(cfg)


class EntryCommand(Command):
    """`ramppost entry`."""

    name = "entry"
    description = "Run an entry: callers' API, operators' intent API, routing."
    options: ClassVar = [SETTINGS]

    def handle(self) -> int:
        """Run it."""
        return start(self, self.option("settings"), "entry")


class GatewayCommand(Command):
    """`ramppost gateway`."""

    name = "gateway"
    description = (
        "Run a gateway on the users' platform: callers on one side, upstreams on the other."
    )
    options: ClassVar = [SETTINGS]

    def handle(self) -> int:
        """Run it."""
        run_gateway(self.option("settings") or "")
        return 0


class AgentCommand(Command):
    """`ramppost agent`."""

    name = "agent"
    description = "Run an agent: the door to the upstream beside it."
    options: ClassVar = [SETTINGS]

    def handle(self) -> int:
        """Run it."""
        return start(self, self.option("settings"), "agent")


class StandinCommand(Command):
    """`ramppost standin`."""

    name = "standin"
    description = "Run a stand-in of an outside system, for tests and trials."
    arguments: ClassVar = [argument("kind", "platform, engine or service.")]
    options: ClassVar = [SETTINGS]

    def handle(self) -> int:
        """Run it."""
        return start(self, self.option("settings"), f"standin-{self.argument('kind')}")


class DevCommand(Command):
    """`ramppost dev`."""

    name = "dev"
    description = "Run the whole path in one process on loopback."
    options: ClassVar = [
        option("port", None, "Port of the entry; the others follow it.", flag=False, default="8080")
    ]

    def handle(self) -> int:
        """Run it."""
        port = self.option("port")
        if not port.isdecimal() or not FIRST_PORT <= int(port) <= LAST_PORT:
            self.line_error(f"--port: {port!r} is no port from {FIRST_PORT} to {LAST_PORT}")
            return BAD_SETTINGS
        run_dev(int(port))
        return 0


class CheckConfigCommand(Command):
    """`ramppost check-config`."""

    name = "check-config"
    description = "Check settings files and configuration documents."
    arguments: ClassVar = [argument("files", "Files to check.", multiple=True)]

    def handle(self) -> int:
        """Check all; 2 if one is faulty."""
        faults = [line for name in self.argument("files") for line in check_file(Path(name))]
        for line in faults:
            self.line_error(line)
        if not faults:
            self.line(f"{len(self.argument('files'))} files are good")
        return BAD_SETTINGS if faults else 0
