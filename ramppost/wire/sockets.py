"""What listening sockets ask of the kernel; imported at the very start of a gateway, so it imports
nothing else."""

from __future__ import annotations

from typing import Final

LISTEN_BACKLOG: Final = 4096
"""Connections that wait to be accepted."""
RECEIVE_BUFFER_BYTES: Final = 32768
"""Receive buffer of a connection; the kernel adds as much for its own use."""
