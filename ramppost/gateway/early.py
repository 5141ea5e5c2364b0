"""Listens on the callers' address at the very start of the process.

Imports nothing but small modules of the standard library.  A settings file that can't
be used gives None: `ramppost.gateway.main` reads it again and names the fault.
"""

from __future__ import annotations

import json
import socket

LISTEN_BACKLOG = 1024
COMMENT_PREFIX = "//"


def strip_comments(text: str) -> str:
    """The text without lines that are comments; line numbers stay as they are."""
    lines = text.split("\n")
    return "\n".join("" if line.lstrip().startswith(COMMENT_PREFIX) else line for line in lines)


def parse_address(text: str) -> tuple[str, int]:
    """Host and port of `ip:port`."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def listen_early(path: str) -> socket.socket | None:
    """A socket that listens on the address of the settings, or None."""
    try:
        with open(path, encoding="utf-8") as file:
            cfg = json.loads(strip_comments(file.read()))
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(parse_address(cfg["listen"]))
        sock.listen(LISTEN_BACKLOG)
        sock.setblocking(False)
    except (OSError, ValueError, KeyError, AttributeError, TypeError):
        return None
    return sock
