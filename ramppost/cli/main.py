"""The `ramppost` command line.  Each command parses its arguments and calls one function."""

from __future__ import annotations

import sys

from cleo.application import Application

from ramppost import __version__
from ramppost.cli.audit import AuditCommand
from ramppost.cli.operate import (
    ConfirmCommand,
    HistoryCommand,
    PlanCommand,
    PolicyCompareCommand,
    ReportBurnCommand,
    StatusCommand,
)
from ramppost.cli.policy_init import PolicyInitCommand
from ramppost.cli.run import (
    AgentCommand,
    CheckConfigCommand,
    DevCommand,
    EntryCommand,
    GatewayCommand,
    StandinCommand,
)


def create_application() -> Application:
    """Creates the application and registers all commands."""
    app = Application("ramppost", __version__)
    for command in (
        EntryCommand,
        GatewayCommand,
        AgentCommand,
        StandinCommand,
        DevCommand,
        CheckConfigCommand,
        PlanCommand,
        ConfirmCommand,
        StatusCommand,
        HistoryCommand,
        PolicyInitCommand,
        PolicyCompareCommand,
        ReportBurnCommand,
        AuditCommand,
    ):
        app.add(command())
    return app


def main() -> None:
    """Runs the command given by the arguments and exits with its exit code."""
    sys.exit(create_application().run())
