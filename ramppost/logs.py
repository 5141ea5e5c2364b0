"""Logging: loguru to standard error, as JSON lines or text.

`request` and `workspace` are on every line that concerns a request.  Prompts,
answers and tokens are never logged.
"""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Final

from loguru import logger

from ramppost.schema.settings import Log

if TYPE_CHECKING:
    from loguru import Message

HUMAN: Final = (
    "{time:HH:mm:ss.SSS} {level:<7} {extra[program]} {message} {extra[request]} {extra[workspace]}"
)


def set_up(cfg: Log, program: str) -> None:
    """Log in the form and from the level that the settings name."""
    logger.remove()
    logger.configure(extra={"program": program, "request": "", "workspace": ""})
    if cfg["form"] == "json":
        logger.add(_write_json, level=cfg["level"])
    else:
        logger.add(sys.stderr, level=cfg["level"], format=HUMAN, colorize=False)


def _write_json(message: Message) -> None:
    record = message.record
    line = {
        "at": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
        "module": record["name"],
        **record["extra"],
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    sys.stderr.write(json.dumps(line) + "\n")
