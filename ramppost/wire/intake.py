"""What the connections of a process share."""

from __future__ import annotations

from typing import Any

import curio


class Intake:
    """The connections of a process."""

    def __init__(self) -> None:
        self.long_work = curio.Lock()
        """Held for one slice of work that takes long; others run between two slices."""
        self.connections = 0

    def open(self, sock: Any) -> ClientSlot:
        """Add a connection."""
        self.connections += 1
        return ClientSlot(self, sock)


class ClientSlot:
    """One connection."""

    def __init__(self, intake: Intake, sock: Any) -> None:
        self.intake = intake
        self.sock = sock

    def close(self) -> None:
        """The connection is closed."""
        self.intake.connections -= 1
