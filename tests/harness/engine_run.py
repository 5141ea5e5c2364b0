"""A run at an engine that is a script."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from ramppost.agent.engine import (
    NotStarted,
    OutcomeUnknown,
    RunCompleted,
    RunFailed,
    run_engine,
)
from ramppost.schema.messages import RunMsg
from ramppost.wire.client import Pool


async def _ignore_start() -> None:
    """What an agent does as its run begins."""


async def _ignore_text(text: str) -> None:
    """What an agent does with the text of its run."""


async def run_at(
    pool: Pool, addr: str, on_text: Callable[[str], Awaitable[None]] = _ignore_text
) -> RunCompleted | NotStarted | OutcomeUnknown | RunFailed:
    """Run a request of no content as an agent does."""
    msg = RunMsg(  # type: ignore[typeddict-item]
        body="{}",
        model="small",
        version="v1",
        request_id="r",
        attempt="a",
        workspace="w",
        session="",
        priority=0,
        key="",
    )
    return await run_engine(pool, addr, msg, False, _ignore_start, on_text)
