"""Runs ramppost with one mechanism switched off, to show that its proof can fail.

    python -m tests.harness.ablated MECHANISM entry --settings FILE

Only the tests' `RAMPPOST_ABLATE` names a mechanism; the product has no such switch.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import curio

from ramppost.agent import handler
from ramppost.cli.main import main
from ramppost.confsync import ConfigState
from ramppost.entry import claimhome, claimlog, copies, dispatch, keyed, route, upstreams
from ramppost.ledger import LedgerWriter
from ramppost.wire import signals
from ramppost.wire.codec import decode


def no_claims() -> None:
    """Every claim is granted."""

    async def claim(self: Any, item: Any) -> Any:
        return claimlog.Granted()

    claimlog.ClaimLog.claim = claim  # type: ignore[method-assign]
    claimhome.ClaimHomes.claim = claim  # type: ignore[method-assign]


def no_tombstones() -> None:
    """A cut counts as "not run" without asking the agent."""

    async def resolve(*args: Any) -> Any:
        return dispatch.NotRun("assumed", 0.0)

    dispatch.resolve = resolve  # type: ignore[assignment]
    keyed.resolve = resolve  # type: ignore[assignment]


def no_bill_identity() -> None:
    """Every filing makes a line of its own."""
    add = LedgerWriter.add
    count = iter(range(10**9))

    def counted(self: LedgerWriter, line: Any) -> None:
        add(self, line | {"attempt": f"{line['attempt']}/{self.name}/{next(count)}"})

    LedgerWriter.add = counted  # type: ignore[method-assign]


def no_witness() -> None:
    """The agent files no bill."""
    from ramppost.agent import runner

    runner._keep_bill = lambda *args: None


def no_copies() -> None:
    """No entry has its bill lines copied to another hall."""
    copies.BillLineCopies.add = lambda self, line: None  # type: ignore[method-assign]


def no_frame_checks() -> None:
    """Pieces are passed on whatever their attempt and number."""

    async def read_frame(run: Any) -> Any:
        try:
            line = await run.stream.read_line()
        except OSError as exc:
            return dispatch.ReadFailure(str(exc))
        frame = decode(line, dispatch.Frame)
        return frame if isinstance(frame, dict) else dispatch.ReadFailure("malformed")

    async def read_head(entry: Any, stream: Any, addr: Any, attempt: str, n: int, mv: Any) -> Any:
        head = decode(await stream.read_line(), dispatch.Head)
        if not isinstance(head, dict):
            return dispatch.Unknown("malformed")
        return dispatch.Running(stream, addr, head | {"attempt": attempt}, mv, n)

    dispatch.read_frame = read_frame
    dispatch._read_head = read_head


def no_gossip() -> None:
    """Revisions come from the platform only."""

    async def nothing(*args: Any) -> Any:
        return False

    handler._fetch_newer_config = nothing  # type: ignore[assignment]
    dispatch.fetch_config = nothing  # type: ignore[assignment]
    from ramppost.agent import main as agent_main
    from ramppost.entry import main as entry_main

    async def sleep(*args: Any) -> None:
        await curio.sleep(1e6)

    agent_main.poll_peers = sleep  # type: ignore[assignment]
    entry_main.poll_peers = sleep  # type: ignore[assignment]


def reverting() -> None:
    """A process takes any revision it is shown."""

    def adopt(self: ConfigState, doc: Any, source: str) -> bool:
        from ramppost.wire.codec import encode

        self.doc, self.encoded = doc, encode(doc)
        for listener in self.adopt_listeners:
            listener(doc)
        return True

    ConfigState.adopt = adopt  # type: ignore[method-assign]


def no_sessions() -> None:
    """A session token does not hold its version."""
    route._route_session = lambda ask, doc: route.Route(  # type: ignore[assignment]
        [
            route.PickedVersion(
                ask.requested_version if ask.requested_version.version else _newest(doc), False
            )
        ],
        None,
    )


def _newest(doc: Any) -> Any:
    from ramppost.policy.permissions import ModelVersion

    versions = [v["version"] for v in doc["models"][1]["versions"] if v["state"] != "withdrawn"]
    return ModelVersion("large", versions[-1])


def no_leaving() -> None:
    """Nobody heeds that an agent is leaving."""
    upstreams.Upstream.usable = lambda self, now: bool(self.ticket)  # type: ignore[method-assign]


def no_planned_stop() -> None:
    """SIGTERM ends the process at once."""
    import os

    async def wait(self: Any) -> int:
        data = await curio.io.Socket(self._read).recv(1)
        os._exit(0)
        return int(data[0])

    signals.Signals.wait = wait  # type: ignore[method-assign]


ABLATIONS: dict[str, Callable[[], None]] = {
    "claims": no_claims,
    "tombstones": no_tombstones,
    "bill_identity": no_bill_identity,
    "witness": no_witness,
    "copies": no_copies,
    "frame_checks": no_frame_checks,
    "gossip": no_gossip,
    "reverting": reverting,
    "sessions": no_sessions,
    "leaving": no_leaving,
    "planned_stop": no_planned_stop,
}

if __name__ == "__main__":
    ABLATIONS[sys.argv[1]]()
    sys.argv = ["ramppost", *sys.argv[2:]]
    main()
