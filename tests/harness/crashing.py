"""Engines that crash on some requests and are restarted under new ids."""

from __future__ import annotations

import threading
import time
from typing import Any

import httpx

from ramppost import clock
from tests.harness.gateways import POLL_S, Deployment

RESTART_DELAY_S = 1.0
"""Delay between the crash of an engine and its restart."""
ENTRY_EXPIRY_S = 0.3
"""Delay between the crash of an engine and the removal of its entry."""
REMOVAL_PROPAGATION_S = 2.5
"""Time after the removal of an entry until no gateway uses its engine."""


class CrashingEngines:
    """Engines of a deployment, each restarted some time after its crash.

    `behaviour` is how they answer (`ramppost.standin.upstream.Behaviour`).
    """

    def __init__(self, site: Deployment, engines: tuple[str, ...], **behaviour: Any) -> None:
        self.site = site
        self.engines = engines
        self.crashed_at: list[float] = []
        self.most_down = 0
        """The largest number of engines that were down at the same time."""
        self._behaviour = behaviour
        self._down: dict[str, float] = {}
        """Engines that are down, with the time at which each crashed."""
        self._restarts_suspended = False
        """Whether restarts are suspended."""
        self._stopping = threading.Event()
        for name in engines:
            self._arm(name)
        self._thread = threading.Thread(target=self._watch)
        self._thread.start()

    def stop(self) -> None:
        self._stopping.set()
        self._thread.join()

    def all_up(self) -> bool:
        """Return whether all engines are running."""
        running = all(self.site.procs[name].poll() is None for name in self.engines)
        return running and not self._down

    def kill_all_except(self, *names: str) -> None:
        """Kill all other engines and suspend restarts."""
        self._restarts_suspended = True
        for name in set(self.engines) - set(names):
            self._down[name] = time.monotonic()
            self.site.procs[name].kill()
            self.site.wait_end(name)
            self.site.remove_entry(name)
        time.sleep(REMOVAL_PROPAGATION_S)

    def resume_restarts(self) -> None:
        """Resume restarts of engines that are down."""
        self._restarts_suspended = False

    def _arm(self, name: str) -> None:
        self.site.behave(name, **self._behaviour)

    def _restart(self, name: str) -> None:
        """Restart an engine, which may crash again at once."""
        self.site.start_upstream(name, "lm", "v1", wait=False)
        while self.site.procs[name].poll() is None:
            try:
                self._arm(name)
                return
            except httpx.TransportError:
                time.sleep(POLL_S)

    def _watch(self) -> None:
        ended = self._down
        expired: set[str] = set()
        while not self._stopping.is_set():
            now = clock.now()
            for name in self.engines:
                if name not in ended and self.site.procs[name].poll() is not None:
                    ended[name] = now
                    self.crashed_at.append(now)
                    self.most_down = max(self.most_down, len(ended))
                if name in ended and name not in expired and now - ended[name] > ENTRY_EXPIRY_S:
                    expired.add(name)
                    self.site.remove_entry(name)
                if (
                    name in ended
                    and not self._restarts_suspended
                    and now - ended[name] > RESTART_DELAY_S
                ):
                    self._restart(name)
                    del ended[name]
                    expired.discard(name)
            time.sleep(0.02)
