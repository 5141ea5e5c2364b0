"""Logging: loguru to standard error or standard output, as JSON lines or text.

Writing to standard output never blocks and is rate-limited: lines that the reader of the pipe
does not accept, or that exceed the rate, are dropped and counted.

Every line about a request has the fields `request` and `workspace`.  Prompts, answers and
tokens are never logged.
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

TEXT_FORMAT: Final = (
    "{time:HH:mm:ss.SSS} {level:<7} {extra[program]} {message} {extra[request]} {extra[workspace]}"
)


def set_up(cfg: Log, program: str) -> None:
    """Log to standard error with the configured format and minimum level."""
    logger.remove()
    logger.configure(extra={"program": program, "request": "", "workspace": ""})
    if cfg["form"] == "json":
        logger.add(_write_json, level=cfg["level"])
    else:
        logger.add(sys.stderr, level=cfg["level"], format=TEXT_FORMAT, colorize=False)


LINES_PER_S: Final = 300.0
"""Allows three lines per request at a hundred requests per second."""
BURST_LINES: Final = 2000.0
MAX_LINE_BYTES: Final = 4000
"""Less than a pipe accepts in one write (4,096 bytes by POSIX), so that no line is split."""


class _RateLimitedStdout:
    """A log sink that writes to standard output without blocking, limited by a token bucket."""

    def __init__(self) -> None:
        self.dropped = 0
        self._line_budget = BURST_LINES
        self._refilled_at = clock.now()
        self._poller = select.poll()
        self._poller.register(sys.stdout.fileno(), select.POLLOUT)

    def write(self, line: str) -> None:
        """Write a line, or drop it if the rate is exceeded or standard output would block."""
        now = clock.now()
        self._line_budget = min(
            BURST_LINES, self._line_budget + (now - self._refilled_at) * LINES_PER_S
        )
        self._refilled_at = now
        if self._line_budget < 1 or not self._poller.poll(0):
            self.dropped += 1
            return
        self._line_budget -= 1
        os.write(sys.stdout.fileno(), line[:MAX_LINE_BYTES].encode() + b"\n")


_stdout_sink: _RateLimitedStdout | None = None


def set_up_stdout(cfg: Log, program: str) -> None:
    """Log JSON lines to standard output without blocking and with a limited rate."""
    global _stdout_sink
    _stdout_sink = stdout_sink = _RateLimitedStdout()
    logger.remove()
    logger.configure(extra={"program": program})

    def sink(message: Message) -> None:
        stdout_sink.write(_json_line(message))

    logger.add(sink, level=cfg["level"], format="{message}")
    # curio warns about each operation that completes just after its timeout; nothing is lost then.
    logging.getLogger("curio").setLevel(logging.ERROR)


def dropped_lines() -> int:
    """Number of lines dropped since the process started."""
    return _stdout_sink.dropped if _stdout_sink is not None else 0


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
