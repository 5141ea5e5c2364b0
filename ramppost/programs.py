"""Runs the programs that are configured by a settings file."""

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
GRACEFUL_STOP_PROGRAMS: Final = ("entry", "agent")


def run_program(cfg: Any) -> int:
    """Run a program until it receives a signal; entries and agents then stop gracefully.

    Return the exit code: 0, or 1 if the program could not start, for example because its port
    is in use.
    """
    program = cfg["program"]
    logs.set_up(cfg["log"], cfg.get("name", program))
    signals = Signals()
    try:
        if program in GRACEFUL_STOP_PROGRAMS:
            run_loop(PROGRAM_MAINS[program], cfg, signals)
        else:
            run_loop(_until_signal, PROGRAM_MAINS[program], cfg, signals)
    except OSError as exc:
        logger.critical("can't start: {}", exc)
        return 1
    return 0


def run_loop(main: Callable[..., Awaitable[None]], *args: Any) -> None:
    """Run the event loop until `main` returns, then exit the process.

    `main` is responsible for all cleanup: remaining connections and tasks are dropped when the
    process exits.  Exceptions from `main` are propagated.
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
    """Run a program until a signal arrives; if it fails before that, raise its error."""
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(run, cfg)
        await group.spawn(signals.wait)
    if group.completed is not None and group.completed.exception is not None:
        raise group.completed.exception
    logger.info("stopped")
