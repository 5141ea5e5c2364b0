"""A fault-injecting TCP proxy for the tests, one for each link.

All proxies share one event loop in a thread.  A mode acts on each piece of
bytes that passes, and may be limited to a number of strikes.  Callers whose
address is in `apart` are cut off, whatever the mode.  A `rate` makes the link thin: answers
on all of its connections share so many bytes a second.
"""

from __future__ import annotations

import asyncio
import contextlib
import threading
from typing import Any, Literal

Mode = Literal[
    "pass",
    "refuse",
    "cut",
    "freeze",
    "delay",
    "lose_reply",
    "truncate",
    "duplicate",
    "crossed",
    "half_close",
]
PIECE = 65536
THIN_PIECE = 8192
"""Read at once on a thin link, so that connections share it evenly."""
POLL_S = 0.02


class Loop:
    """The event loop that all proxies run on."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def call(self, coro):
        """Run a coroutine there and wait for its result."""
        return asyncio.run_coroutine_threadsafe(coro, self.loop).result(10)


LOOP = Loop()


class Proxy:
    """Forwards a listening port to a target address."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.mode: Mode = "pass"
        self.left: int | None = None
        self.delay_s = 0.0
        self.clients: list[asyncio.StreamWriter] = []
        self.apart: set[str] = set()
        self.silent: set[asyncio.StreamWriter] = set()
        self.bytes = 0
        self.rate: float | None = None
        self._free_at = 0.0
        self.server = LOOP.call(asyncio.start_server(self._serve, "127.0.0.1", 0))
        self.port = self.server.sockets[0].getsockname()[1]
        self.addr = f"127.0.0.1:{self.port}"

    def set(self, mode: Mode, strikes: int | None = None, delay_s: float = 0.0) -> None:
        """Act this way from now on, or for so many strikes."""
        before, self.mode, self.left, self.delay_s = self.mode, mode, strikes, delay_s
        if mode in ("cut", "refuse"):
            LOOP.call(self._drop_all())
        if mode == "refuse":
            LOOP.call(self._close())
        elif before == "refuse":
            self.server = LOOP.call(asyncio.start_server(self._serve, "127.0.0.1", self.port))

    def silence(self) -> None:
        """Connections that are open now carry nothing more and are not closed; new ones work."""
        self.silent |= set(self.clients)

    def part(self, callers: set[str]) -> None:
        """Cut these callers off from now on; the others, and new ones, are let through."""
        self.apart = callers
        if callers:
            LOOP.call(self._drop_apart())

    async def _drop_apart(self) -> None:
        for writer in self.clients:
            if self._is_apart(writer):
                writer.transport.abort()

    def _is_apart(self, writer: asyncio.StreamWriter) -> bool:
        return writer.get_extra_info("peername")[0] in self.apart

    async def _close(self) -> None:
        self.server.close()

    async def _drop_all(self) -> None:
        for writer in self.clients:
            writer.transport.abort()
        self.clients.clear()

    def _strike(self) -> Mode:
        mode = self.mode
        if mode != "pass" and self.left is not None:
            self.left -= 1
            if self.left <= 0:
                self.mode, self.left = "pass", None
        return mode

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mode == "cut" or self._is_apart(writer):
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            up_reader, up_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.clients.append(writer)
        pumps = [
            asyncio.create_task(self._ask(reader, up_writer, writer)),
            asyncio.create_task(self._reply(up_reader, writer)),
        ]
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        if pumps[0].done() and not pumps[0].result():
            await asyncio.wait(pumps, timeout=5)
        for pump in pumps:
            pump.cancel()
        for side in (writer, up_writer):
            with contextlib.suppress(OSError, RuntimeError):
                side.close()
        if writer in self.clients:
            self.clients.remove(writer)

    async def _hold(self) -> None:
        while self.mode == "freeze":
            await asyncio.sleep(POLL_S)
        if self.mode == "delay":
            await asyncio.sleep(self.delay_s)

    async def _carry(self, size: int) -> None:
        """Wait until a thin link has carried these bytes behind all that came before."""
        if self.rate is None:
            return
        now = asyncio.get_running_loop().time()
        self._free_at = max(now, self._free_at) + size / self.rate
        await asyncio.sleep(self._free_at - now)

    async def _ask(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, client: Any
    ) -> bool:
        """Pump requests; false when the caller only closed its half."""
        with contextlib.suppress(OSError):
            while data := await reader.read(PIECE):
                await self._hold()
                if client in self.silent:
                    continue
                self.bytes += len(data)
                writer.write(data)
                await writer.drain()
                if self.mode == "half_close":
                    self._strike()
                    writer.write_eof()
                    return False
        return True

    async def _reply(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(THIN_PIECE if self.rate else PIECE):
                await self._hold()
                if writer in self.silent:
                    continue
                await self._carry(len(data))
                self.bytes += len(data)
                mode = self._strike() if self.mode not in ("pass", "freeze", "delay") else "pass"
                if mode in ("lose_reply", "cut"):
                    return
                if mode == "truncate":
                    writer.write(data[: len(data) // 2])
                    await writer.drain()
                    return
                if mode == "duplicate":
                    data += data
                target = self._other(writer) if mode == "crossed" else writer
                target.write(data)
                await target.drain()

    def _other(self, writer: asyncio.StreamWriter) -> asyncio.StreamWriter:
        others = [w for w in self.clients if w is not writer and not w.is_closing()]
        return others[0] if others else writer
