"""Listens on the callers' address at the very start of the process.

Imports nothing but small modules of the standard library.  A settings file that can't
be used gives None: `ramppost.gateway.main` reads it again and names the fault.
"""

from __future__ import annotations

import json
import socket

BACKLOG = 1024


def listen_early(path: str) -> socket.socket | None:
    """A socket that listens on the address of the settings, or None."""
    try:
        with open(path, encoding="utf-8") as file:
            lines = file.read().split("\n")
        cfg = json.loads("\n".join(line for line in lines if not line.lstrip().startswith("//")))
        host, _, port = cfg["listen"].rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, int(port)))
        sock.listen(BACKLOG)
        sock.setblocking(False)
    except (OSError, ValueError, KeyError, AttributeError, TypeError):
        return None
    return sock
