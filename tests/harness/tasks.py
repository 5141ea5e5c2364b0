"""Ends the tasks that a test has left running, before curio does: a server that takes in a
connection meanwhile would start new ones, which curio does not allow as it shuts down."""

from __future__ import annotations

from typing import Any, Final

import curio
from curio.traps import _get_kernel

ROUNDS: Final = 20
PAUSE_S: Final = 0.01


async def end_all() -> None:
    """Cancel all tasks but the one that calls this, and those that they start meanwhile."""
    kernel: Any = await _get_kernel()
    own = await curio.current_task()
    for _ in range(ROUNDS):
        left = [task for task in list(kernel._tasks.values()) if task is not own and task.daemon]
        if not left:
            return
        for task in left:
            await task.cancel(blocking=False)
        await curio.sleep(PAUSE_S)
