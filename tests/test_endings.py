"""What is concluded where an answer breaks off, by how the box takes the next connection."""

from __future__ import annotations

from typing import Any, NamedTuple

import curio
import pytest

from ramppost import clock
from ramppost.gateway.admit import Admitted
from ramppost.gateway.aftermath import handle_broken_response
from ramppost.gateway.job import Job
from ramppost.gateway.links import Broken
from ramppost.gateway.state import Gateway
from ramppost.gateway.watchers import apply_upstream_snapshot
from ramppost.platform.headers import caller_request
from ramppost.platform.store import Snapshot
from ramppost.policy.fatal import FATAL_START_ENDS, JUST_BEGUN
from ramppost.wire.client import CallFailed
from tests.harness.gateways import STREAM
from tests.test_gateway_state import SETTINGS, ask, entry, take

ENDING_S = 0.03
"""How long the box still takes connections."""
KNOWN_S = 0.4


class Open:
    """A connection that was taken."""

    async def close(self) -> None:
        """Nothing is kept of it."""


class Case(NamedTuple):
    """How the box answers at first and a moment later, whether the request's part is noted, and
    whether the upstream is used on."""

    what: str
    answer: Any
    later: Any
    noted: bool
    used: bool


REFUSED = CallFailed("refused", False, True)
SILENT = CallFailed("no connection in 0.25 s", False)
CASES = [
    Case("nobody listens", REFUSED, REFUSED, True, False),
    # A box that is cut off closes nothing: one that closed and is silent now has gone dark, or the
    # way to it was lost just then, and may be back at any moment.
    Case("no answer", SILENT, SILENT, True, True),
    # A process that ends closes its connections one by one; the one where it listens may be last.
    # Beside load, two runs in fifteen of a test found an engine alive that was being killed.
    Case("it is just ending", Open(), REFUSED, True, False),
    Case("it is there", Open(), Open(), False, True),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.what)
def test_a_cut_answer(case: Case, monkeypatch: pytest.MonkeyPatch) -> None:
    """A request that darkens its engines was not noted, since nobody refused the connection."""

    began = clock.now()

    async def connect(addr: str, source: tuple[str, int], timeout_s: float) -> Any:
        return case.answer if clock.now() < began + ENDING_S else case.later

    monkeypatch.setattr("ramppost.gateway.endings.connect", connect)
    gw = Gateway(SETTINGS)
    take(gw, 5, 1)
    gw.freshness.confirm(clock.now())
    apply_upstream_snapshot(
        gw, Snapshot([entry(f"e{number}") for number in range(FATAL_START_ENDS)], 5)
    )
    admitted = ask(gw, STREAM)
    assert isinstance(admitted, Admitted)
    job = Job(caller_request("POST", STREAM, (), b""), admitted, clock.now())
    job.attempts = FATAL_START_ENDS

    async def cut() -> None:
        for upstream in gw.members.usable("lm", clock.now()):
            await handle_broken_response(
                gw, job, upstream, Broken("closed", by_peer=True), JUST_BEGUN
            )
        await curio.sleep(KNOWN_S)

    curio.run(cut)
    assert gw.fatal.is_fatal(job.fingerprint) == case.noted
    assert job.counted_attempts == (0 if case.noted else FATAL_START_ENDS)
    assert bool(gw.members.usable("lm", clock.now())) == case.used
