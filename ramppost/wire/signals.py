"""Signals under curio: the interpreter writes each signal number to a socket that a task reads."""

from __future__ import annotations

import signal
import socket

import curio.io


class Signals:
    """Waits for signals; must be created in the main thread before the event loop runs."""

    def __init__(self, signal_numbers: tuple[int, ...] = (signal.SIGTERM, signal.SIGINT)) -> None:
        self._read, write_end = socket.socketpair()
        self._write_end = write_end
        self._read.setblocking(False)
        write_end.setblocking(False)
        signal.set_wakeup_fd(write_end.fileno(), warn_on_full_buffer=False)
        for signal_number in signal_numbers:
            signal.signal(signal_number, _ignore_signal)

    async def wait(self) -> int:
        """Wait for the next signal and return its number."""
        data: bytes = await curio.io.Socket(self._read).recv(1)
        return data[0]


def _ignore_signal(signal_number: int, frame: object) -> None:
    """Do nothing: the signal number arrives through the wake-up socket."""
