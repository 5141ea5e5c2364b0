"""Signals under curio: a handler writes to a socket pair that a task reads."""

from __future__ import annotations

import signal
import socket

import curio.io


class Signals:
    """Waits for signals; make one on the main thread before the loop runs."""

    def __init__(self, numbers: tuple[int, ...] = (signal.SIGTERM, signal.SIGINT)) -> None:
        self._read, write = socket.socketpair()
        self._write = write
        self._read.setblocking(False)
        write.setblocking(False)
        signal.set_wakeup_fd(write.fileno(), warn_on_full_buffer=False)
        for number in numbers:
            signal.signal(number, _ignore)

    async def wait(self) -> int:
        """The number of the next signal."""
        data: bytes = await curio.io.Socket(self._read).recv(1)
        return data[0]


def _ignore(number: int, frame: object) -> None:
    """The wake-up socket carries the signal."""
