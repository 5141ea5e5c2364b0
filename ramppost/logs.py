"""Logging: loguru to standard error or standard output, as JSON lines or text.

Lines to standard output never block and are bounded: what its reader does not take, and
what exceeds the rate, is dropped and counted.

`request` and `workspace` are on every line that concerns a request.  Prompts,
answers and tokens are never logged.
"""

from __future__ import annotations

import json
import logging
import os
import select
import sys
from typing import TYPE_CHECKING, Final

from loguru import logger

from ramppost import clock
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


LINES_PER_S: Final = 300.0
"""Three lines for each of a hundred requests a second."""
BURST_LINES: Final = 2000.0
MAX_LINE: Final = 4000
"""Less than a pipe takes at once (4,096 bytes by POSIX), so that no line is torn."""


class _Output:
    """Standard output as a bounded sink."""

    def __init__(self) -> None:
        self.dropped = 0
        self._left = BURST_LINES
        self._at = clock.now()
        self._poller = select.poll()
        self._poller.register(sys.stdout.fileno(), select.POLLOUT)

    def write(self, line: str) -> None:
        """Write a line if there is room for it now."""
        now = clock.now()
        self._left = min(BURST_LINES, self._left + (now - self._at) * LINES_PER_S)
        self._at = now
        if self._left < 1 or not self._poller.poll(0):
            self.dropped += 1
            return
        self._left -= 1
        os.write(sys.stdout.fileno(), line[:MAX_LINE].encode() + b"\n")


_output: _Output | None = None


def set_up_stdout(cfg: Log, program: str) -> None:
    """Log JSON lines to standard output, bounded."""
    global _output
    _output = output = _Output()
    logger.remove()
    logger.configure(extra={"program": program})

    def sink(message: Message) -> None:
        output.write(_json_line(message))

    logger.add(sink, level=cfg["level"], format="{message}")
    # curio warns of each operation that ends just after its time limit; nothing is lost then.
    logging.getLogger("curio").setLevel(logging.ERROR)


def dropped_lines() -> int:
    """Lines dropped so far."""
    return _output.dropped if _output is not None else 0


def _write_json(message: Message) -> None:
    sys.stderr.write(_json_line(message) + "\n")


def _json_line(message: Message) -> str:
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
    return json.dumps(line)
