"""Reads a gateway's settings file.

The file is JSON with whole-line comments.  It is read at every start of a process that may have
only a small share of a core, so it is validated against the generated types by `msgspec` alone;
`ramppost check-config` also checks ranges and addresses.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

from ramppost.gateway.early import strip_comments
from ramppost.schema.settings import GatewaySettings
from ramppost.wire.codec import BadMessage, decode


class BadSettings(NamedTuple):
    """Why a settings file is invalid: the file, the field and how to fix it, in one line."""

    reason: str


def read_settings(path: str) -> GatewaySettings | BadSettings:
    """Read and validate a settings file.

    >>> read_settings("/nowhere")
    BadSettings(reason="/nowhere: can't be read (No such file or directory); name a readable file")
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        why = exc.strerror if isinstance(exc, OSError) else "not UTF-8 text"
        return BadSettings(f"{path}: can't be read ({why}); name a readable file")
    settings = decode(strip_comments(text).encode(), GatewaySettings)
    if isinstance(settings, BadMessage):
        return BadSettings(f"{path}: {settings.reason}; see docs/operators/settings.md")
    return settings
