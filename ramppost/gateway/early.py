"""Listens on the callers' address at the very start of the process.

Imports nothing but small modules.  For an invalid settings file the
result is None; `ramppost.gateway.main` reads the file again and reports the error.
"""

from __future__ import annotations

import json
import socket

from ramppost.wire.sockets import LISTEN_BACKLOG, RECEIVE_BUFFER_BYTES

COMMENT_PREFIX = "//"


def strip_comments(text: str) -> str:
    """Replace comment lines with empty ones, which keeps the line numbers."""
    lines = text.split("\n")
    return "\n".join("" if line.lstrip().startswith(COMMENT_PREFIX) else line for line in lines)


def parse_address(text: str) -> tuple[str, int]:
    """Split `ip:port` into host and port."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def listen_early(path: str) -> socket.socket | None:
    """A socket that listens on the address in the settings; None if that fails."""
    try:
        with open(path, encoding="utf-8") as file:
            cfg = json.loads(strip_comments(file.read()))
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind(parse_address(cfg["listen"]))
        sock.listen(LISTEN_BACKLOG)
        sock.setblocking(False)
    except (OSError, ValueError, KeyError, AttributeError, TypeError):
        return None
    return sock
