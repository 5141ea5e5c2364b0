"""The command line.  Each command is a thin shell around one function."""

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


def application() -> Application:
    """The application with all its commands."""
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
    """Run the command that the arguments name."""
    sys.exit(application().run())
