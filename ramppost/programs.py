"""Which coroutine runs which program."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Final

import curio
from loguru import logger

from ramppost import logs
from ramppost.agent import main as agent
from ramppost.entry import main as entry
from ramppost.standin import engine, platform, service
from ramppost.wire.signals import Signals

RUNS: Final[dict[str, Callable[..., Awaitable[None]]]] = {
    "entry": entry.run,
    "agent": agent.run,
    "standin-platform": platform.run,
    "standin-engine": engine.run,
    "standin-service": service.run,
}
WITH_PLANNED_STOP: Final = ("entry", "agent")


def run_program(cfg: Any) -> None:
    """Run a program until a signal ends it; entries and agents end by their planned stop."""
    program = cfg["program"]
    logs.set_up(cfg["log"], cfg.get("name", program))
    signals = Signals()
    if program in WITH_PLANNED_STOP:
        curio.run(RUNS[program], cfg, signals)
    else:
        curio.run(_until_signal, RUNS[program], cfg, signals)


async def _until_signal(run: Callable[..., Awaitable[None]], cfg: Any, signals: Signals) -> None:
    task = await curio.spawn(run, cfg, daemon=True)
    await signals.wait()
    logger.info("stopped")
    await task.cancel()
