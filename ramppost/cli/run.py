"""Commands that run a program or validate settings files."""

from __future__ import annotations

from pathlib import Path
from typing import Any, ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument, option

from ramppost.dev import FIRST_PORT, LAST_PORT, run_dev
from ramppost.gateway.main import main as run_gateway
from ramppost.programs import run_program
from ramppost.settings import InvalidFile, check_file, load_settings

EXIT_BAD_SETTINGS = 2
SETTINGS_OPTION = option("settings", "s", "Settings file, JSON with comments.", flag=False)


def run_with_settings(command: Command, path: str | None, expected_program: str) -> int:
    """Runs a program with its settings file.

    Returns the exit code of the program, or 2 if the settings file is missing or invalid.
    """
    if path is None:
        command.line_error("option --settings FILE is required")
        return EXIT_BAD_SETTINGS
    settings: Any = load_settings(Path(path), expected_program)
    if isinstance(settings, InvalidFile):
        for message in settings.lines:
            command.line_error(message)
        return EXIT_BAD_SETTINGS
    return run_program(settings)


class EntryCommand(Command):
    """`ramppost entry`."""

    name = "entry"
    description = "Run an entry: the API for callers, the intent API for operators, and routing."
    options: ClassVar = [SETTINGS_OPTION]

    def handle(self) -> int:
        """Runs the entry."""
        return run_with_settings(self, self.option("settings"), "entry")


class GatewayCommand(Command):
    """`ramppost gateway`."""

    name = "gateway"
    description = (
        "Run a gateway on the users' platform, which forwards requests of callers to upstreams."
    )
    options: ClassVar = [SETTINGS_OPTION]

    def handle(self) -> int:
        """Runs the gateway."""
        run_gateway(self.option("settings") or "")
        return 0


class AgentCommand(Command):
    """`ramppost agent`."""

    name = "agent"
    description = "Run an agent: the local proxy of one upstream."
    options: ClassVar = [SETTINGS_OPTION]

    def handle(self) -> int:
        """Runs the agent."""
        return run_with_settings(self, self.option("settings"), "agent")


class StandinCommand(Command):
    """`ramppost standin`."""

    name = "standin"
    description = "Run a simulated external system, for tests and experiments."
    arguments: ClassVar = [
        argument("kind", "Kind of system: platform, engine, service, store or upstream.")
    ]
    options: ClassVar = [SETTINGS_OPTION]

    def handle(self) -> int:
        """Runs the simulated system."""
        return run_with_settings(self, self.option("settings"), f"standin-{self.argument('kind')}")


class DevCommand(Command):
    """`ramppost dev`."""

    name = "dev"
    description = "Run a complete local deployment in one process on the loopback interface."
    options: ClassVar = [
        option(
            "port",
            None,
            "Port of the entry; other ports are derived from it.",
            flag=False,
            default="8080",
        )
    ]

    def handle(self) -> int:
        """Runs the deployment on the given port."""
        port = self.option("port")
        if not port.isdecimal() or not FIRST_PORT <= int(port) <= LAST_PORT:
            self.line_error(
                f"--port: {port!r} is not a port number from {FIRST_PORT} to {LAST_PORT}"
            )
            return EXIT_BAD_SETTINGS
        run_dev(int(port))
        return 0


class CheckConfigCommand(Command):
    """`ramppost check-config`."""

    name = "check-config"
    description = "Validate settings files and configuration documents."
    arguments: ClassVar = [argument("files", "Files to check.", multiple=True)]

    def handle(self) -> int:
        """Validates all files; returns 2 if any of them is invalid."""
        errors = [error for path in self.argument("files") for error in check_file(Path(path))]
        for error in errors:
            self.line_error(error)
        if not errors:
            self.line(f"{len(self.argument('files'))} files are valid")
        return EXIT_BAD_SETTINGS if errors else 0
