"""Lets others have their turn while a task reads what a peer sends faster than it can be read.

Receiving bytes that have already arrived does not suspend a task, so that a peer that sends without
a pause would keep all other tasks waiting, and time limits with them.

    turn = Turn(pool.long_work)
    data = await turn.receive(sock, 65536)
    await turn.pass_on()      # between two steps that may not wait
"""

from __future__ import annotations

from typing import Any, Final

import curio
from curio.traps import _read_wait

from ramppost import clock

MAX_TURN_S: Final = 0.001
"""Longer than a usual answer takes to be read."""
MAX_TURN_STEPS: Final = 256
"""Steps of a turn where the clock can't tell."""


class Turn:
    """For how long one task has run without others.

    The tasks that share `long_work` and use up their turns go on one after the other, so that
    however many they are, others wait for one of them.
    """

    def __init__(self, long_work: Any) -> None:
        self._long_work = long_work
        self._begin()

    def _begin(self) -> None:
        self._began_at = clock.now()
        self._steps = 0

    async def pass_on(self) -> None:
        """Let others run if this task has run for long enough."""
        self._steps += 1
        if self._steps < MAX_TURN_STEPS and clock.now() - self._began_at < MAX_TURN_S:
            return
        async with self._long_work:
            await curio.sleep(0)
        self._begin()

    async def receive(self, sock: Any, size: int) -> bytes:
        """What a socket has received, at most `size` bytes, waiting for some if there are none.

        Raises OSError if the connection has failed.
        """
        while True:
            try:
                data: bytes = sock._socket.recv(size)
                return data
            except BlockingIOError:
                await _read_wait(sock._fileno)
                self._begin()
