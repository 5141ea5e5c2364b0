"""Faults that every stand-in takes over HTTP, `POST /_fault`.

The body is a `Fault`; it acts on paths that start with `path` and, for an engine,
on one model version, for a share of calls, until it is replaced by mode `none`.
"""

from __future__ import annotations

import random
from typing import Final, Literal, NotRequired, TypedDict

import curio
import msgspec

from ramppost.wire.codec import BadMessage, decode
from ramppost.wire.server import ClientDisconnected, Handler, Reply, Request

FOREVER_S: Final = 86400.0
DOWN_BODY: Final = b'{"error":"stand-in is told to be down"}'

Mode = Literal["none", "down", "slow", "lost_reply", "frozen", "errors", "slow_tokens", "poor"]


class Fault(TypedDict):
    """A fault: `seconds` is the delay of `slow`, or the extra time a token of `slow_tokens`;
    `factor` is what `poor` multiplies quality by."""

    mode: Mode
    path: NotRequired[str]
    method: NotRequired[str]
    share: NotRequired[float]
    seconds: NotRequired[float]
    factor: NotRequired[float]
    model: NotRequired[str]
    version: NotRequired[str]


class Faults:
    """Faults in force at a stand-in."""

    def __init__(self, seed: int = 1) -> None:
        self.active: list[Fault] = []
        self._rng = random.Random(seed)

    def add(self, fault: Fault) -> None:
        """Put a fault in force; `none` ends all."""
        if fault["mode"] == "none":
            self.active = []
        else:
            self.active.append(fault)

    def for_version(self, mode: Mode, model: str, version: str) -> Fault | None:
        """The fault of this mode that strikes this call of a model version, if any."""
        for fault in self.active:
            named = fault.get("model") == model and fault.get("version") in (None, version)
            if fault["mode"] == mode and named and self._strikes(fault):
                return fault
        return None

    def for_call(self, req: Request) -> Fault | None:
        """The fault that strikes this call as a whole, if any."""
        for fault in self.active:
            meant = req.path.startswith(fault.get("path", "/")) and "model" not in fault
            meant = meant and fault.get("method", req.method) == req.method
            if meant and self._strikes(fault):
                return fault
        return None

    def _strikes(self, fault: Fault) -> bool:
        return self._rng.random() < fault.get("share", 1.0)


def with_faults(faults: Faults, handler: Handler) -> Handler:
    """A handler that serves `/_fault` and lets the faults act on all but `/_` paths."""

    async def handle(req: Request, reply: Reply) -> None:
        if req.path == "/_fault":
            await _take(faults, req, reply)
            return
        fault = None if req.path.startswith("/_") else faults.for_call(req)
        mode = fault["mode"] if fault else "none"
        if mode in ("down", "errors"):
            await reply.send(503, DOWN_BODY)
            return
        if mode == "frozen":
            await curio.sleep(FOREVER_S)
        if fault and mode == "slow":
            await curio.sleep(fault.get("seconds", 1.0))
        if mode == "lost_reply":
            await handler(req, _Muted())
            raise ClientDisconnected
        await handler(req, reply)

    return handle


class _Muted(Reply):
    """Swallows an answer, so that the work is done and the reply is lost."""

    def __init__(self) -> None:
        self.started = False

    async def send(
        self,
        status: int,
        body: bytes,
        content_type: str = "",
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        self.started = True

    async def start(
        self, status: int, content_type: str, headers: tuple[tuple[str, str], ...] = ()
    ) -> None:
        self.started = True

    async def write(self, data: bytes) -> None:
        pass

    async def end(self) -> None:
        pass


async def _take(faults: Faults, req: Request, reply: Reply) -> None:
    fault = decode(req.body, Fault)
    if isinstance(fault, BadMessage):
        await reply.send(400, msgspec.json.encode({"error": fault.reason}))
        return
    faults.add(fault)
    await reply.send(200, msgspec.json.encode(faults.active))
