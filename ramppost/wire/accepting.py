"""Accepts connections, and lets those in that have something to be served when there are too many.

While the process has as many connections as it may, a new one waits without a task of its own until
its first request has begun well: then it takes the place of the one that has not completed a
request for longest.  So a crowd that connects and sends nothing, or next to nothing, costs little,
and does not keep others out.
"""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple

import curio
from loguru import logger

from ramppost import clock
from ramppost.wire.intake import ClientSlot, Intake

ACCEPT_RETRY_S: Final = 0.05
ACCEPTS_A_TURN: Final = 8
"""Connections that are accepted before other tasks run."""
MAX_WAITING: Final = 64
"""Connections that wait to be let in; beyond these, the one that has waited longest is closed."""
MAX_WAIT_S: Final = 3.0
"""How long a connection may wait to be let in."""
LOOK_S: Final = 0.01
CLEARING_S: Final = 0.001
"""Between two looks whether connections that were given up are closed."""
PEEK_SIZE: Final = 4096

Begun = Callable[[bytes], bool]
"""Whether a connection that has sent these bytes is to be let in though there are too many."""


def is_head_whole(data: bytes) -> bool:
    """Whether a request has a whole head, or one so long that it may be a request."""
    return b"\n\r\n" in data or b"\n\n" in data or len(data) == PEEK_SIZE


def is_anything(data: bytes) -> bool:
    """Whether anything has come: what is encrypted can't be told apart."""
    return bool(data)


class _Waiting(NamedTuple):
    """A connection that waits to be let in, and since when (steady clock)."""

    sock: Any
    since: float


async def accept_all(
    sock: Any,
    intake: Intake,
    reserve: int,
    begun: Begun,
    start: Callable[[ClientSlot], Awaitable[None]],
) -> None:
    """Accept connections until cancelled; each is served by its own daemon task.

    `reserve` is how many are accepted beyond the limit of the process.
    """
    door = _Door(intake, reserve, begun, start)
    looking = await curio.spawn(door.let_in, daemon=True)
    accepted = 0
    try:
        async with sock:
            while True:
                while intake.is_clearing:
                    await curio.sleep(CLEARING_S)
                await door.admit(await _accept(sock), clock.now())
                accepted += 1
                if accepted % ACCEPTS_A_TURN == 0:
                    await curio.sleep(0)
    finally:
        await looking.cancel(blocking=False)


async def _accept(sock: Any) -> Any:
    while True:
        try:
            client, _ = await sock.accept()
            return client
        except OSError as exc:
            logger.warning("accept failed: {}", exc)
            await curio.sleep(ACCEPT_RETRY_S)


class _Door:
    """The connections of one port that wait to be let in."""

    def __init__(
        self,
        intake: Intake,
        reserve: int,
        begun: Begun,
        start: Callable[[ClientSlot], Awaitable[None]],
    ) -> None:
        self._intake = intake
        self._reserve = reserve
        self._begun = begun
        self._start = start
        self._waiting: deque[_Waiting] = deque()
        self._added = curio.Event()

    async def admit(self, client: Any, since: float) -> None:
        """Let a connection in, or let it wait, or close it."""
        if await self._enter(client):
            return
        if clock.now() - since > MAX_WAIT_S:
            await self._close(client)
            return
        self._waiting.append(_Waiting(client, since))
        await self._added.set()
        if len(self._waiting) > MAX_WAITING:
            oldest = self._waiting.popleft().sock
            if not await self._enter(oldest):
                await self._close(oldest)

    async def _enter(self, client: Any) -> bool:
        """Let a connection in if there is a place for it, now that it may have begun; true also if
        its client has left."""
        limit = self._intake.limits.connections + self._reserve
        if self._intake.connections >= limit:
            data = _peek(client)
            if data is None:
                await self._close(client)
                return True
            if not (self._begun(data) and self._intake.make_room(limit)):
                return False
        await curio.spawn(self._start, self._intake.open(client), daemon=True)
        return True

    async def let_in(self) -> None:
        """Look at those that wait, over and over while there are any."""
        while True:
            await self._added.wait()
            await curio.sleep(LOOK_S)
            for _ in range(len(self._waiting)):
                await self.admit(*self._waiting.popleft())
            if not self._waiting:
                self._added.clear()

    async def _close(self, client: Any) -> None:
        self._intake.given_up += 1
        await client.close()


def _peek(client: Any) -> bytes | None:
    """What has arrived first; None if the client has left."""
    try:
        return client._socket.recv(PEEK_SIZE, socket.MSG_PEEK) or None
    except BlockingIOError:
        return b""
    except OSError:
        return None
