"""Reads a gateway's settings file.

The file is JSON with whole-line comments.  It is read at every start of a process that
may have a small part of a core, so it is checked against the generated types by
`msgspec` alone; `ramppost check-config` also checks ranges and addresses.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

from ramppost.gateway.early import strip_comments
from ramppost.schema.settings import GatewaySettings
from ramppost.wire.codec import BadMessage, decode


class BadSettings(NamedTuple):
    """Why a settings file can't be used: file, field and mend in one line."""

    reason: str


def read_settings(path: str) -> GatewaySettings | BadSettings:
    """The settings of a file.

    >>> read_settings("/nowhere")
    BadSettings(reason="/nowhere: can't be read (No such file or directory); name a readable file")
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        why = exc.strerror if isinstance(exc, OSError) else "not UTF-8 text"
        return BadSettings(f"{path}: can't be read ({why}); name a readable file")
    found = decode(strip_comments(text).encode(), GatewaySettings)
    if isinstance(found, BadMessage):
        return BadSettings(f"{path}: {found.reason}; see docs/operators/settings.md")
    return found
