"""Which coroutine runs which program."""

from __future__ import annotations

import os
import sys
from collections.abc import Awaitable, Callable
from typing import Any, Final

import curio
from loguru import logger

from ramppost import logs
from ramppost.agent import main as agent
from ramppost.entry import main as entry
from ramppost.standin import engine, platform, service, store, upstream
from ramppost.wire.signals import Signals

PROGRAM_MAINS: Final[dict[str, Callable[..., Awaitable[None]]]] = {
    "entry": entry.run,
    "agent": agent.run,
    "standin-platform": platform.run,
    "standin-engine": engine.run,
    "standin-service": service.run,
    "standin-store": store.run,
    "standin-upstream": upstream.run,
}
WITH_PLANNED_STOP: Final = ("entry", "agent")


def run_program(cfg: Any) -> int:
    """Run a program until a signal ends it; entries and agents end by their planned stop.

    Answers 0, or 1 where it could not start, such as when its port is taken.
    """
    program = cfg["program"]
    logs.set_up(cfg["log"], cfg.get("name", program))
    signals = Signals()
    try:
        if program in WITH_PLANNED_STOP:
            run_loop(PROGRAM_MAINS[program], cfg, signals)
        else:
            run_loop(_until_signal, PROGRAM_MAINS[program], cfg, signals)
    except OSError as exc:
        logger.critical("can't start: {}", exc)
        return 1
    return 0


def run_loop(main: Callable[..., Awaitable[None]], *args: Any) -> None:
    """Run the loop until `main` ends, then end the process.

    Whatever had to be done was done by `main`; connections and other tasks that
    are left are dropped with the process.  Raises what `main` raises.
    """
    kernel = curio.Kernel()
    try:
        kernel.run(main, *args)
    except OSError:
        kernel.run(shutdown=True)
        raise
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(0)


async def _until_signal(run: Callable[..., Awaitable[None]], cfg: Any, signals: Signals) -> None:
    """Run until a signal; a program that ends before, ends with its error."""
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(run, cfg)
        await group.spawn(signals.wait)
    if group.completed is not None and group.completed.exception is not None:
        raise group.completed.exception
    logger.info("stopped")
