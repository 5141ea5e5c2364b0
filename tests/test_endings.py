"""Classification of a cut response by how the box handles the next connection."""

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
from ramppost.platform.headers import answer_head, caller_request
from ramppost.platform.store import Snapshot
from ramppost.policy.fatal import FATAL_START_ENDS, JUST_BEGUN, WAITED
from ramppost.wire.client import CallFailed
from tests.harness.gateways import STREAM
from tests.test_gateway_state import SETTINGS, admit_request, entry, set_config

EXIT_S = 0.03
"""How long the box still accepts connections."""
DETECTION_S = 0.4


class OpenConnection:
    """An accepted connection."""

    async def close(self) -> None:
        """Does nothing."""


class Case(NamedTuple):
    """How the box handles a first and a later connection, whether the request is recorded as a
    suspect, and whether the upstream stays in use."""

    title: str
    answer: Any
    later: Any
    recorded: bool
    still_used: bool


REFUSED = CallFailed("refused", False, True)
SILENT = CallFailed("no connection in 0.25 s", False)
CASES = [
    Case("connection refused", REFUSED, REFUSED, True, False),
    # A partitioned box closes no connection.  One that closed a connection and is silent now has
    # gone offline, or the network path failed at that moment and may recover at any time.
    Case("no response", SILENT, SILENT, True, True),
    # An exiting process closes its sockets one by one, and the listening one may be last.  Under
    # load, two of fifteen runs of a test found an engine alive that was being killed.
    Case("it is exiting", OpenConnection(), REFUSED, True, False),
    Case("it is running", OpenConnection(), OpenConnection(), False, True),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.title)
def test_cut_response(case: Case, monkeypatch: pytest.MonkeyPatch) -> None:
    """A request that took its engines' boxes offline was not recorded, since no connection was
    refused."""

    began = clock.now()

    async def connect(addr: str, source: tuple[str, int], timeout_s: float) -> Any:
        return case.answer if clock.now() < began + EXIT_S else case.later

    monkeypatch.setattr("ramppost.gateway.endings.connect", connect)
    gw = Gateway(SETTINGS)
    set_config(gw, 5, 1)
    gw.freshness.confirm(clock.now())
    apply_upstream_snapshot(
        gw, Snapshot([entry(f"e{number}") for number in range(FATAL_START_ENDS)], 5)
    )
    admitted = admit_request(gw, STREAM)
    assert isinstance(admitted, Admitted)
    job = Job(caller_request("POST", STREAM, (), b""), admitted, clock.now())
    job.attempts = FATAL_START_ENDS

    async def cut_responses() -> None:
        for upstream in gw.members.usable("lm", clock.now()):
            await handle_broken_response(
                gw, job, upstream, Broken("closed", by_peer=True), JUST_BEGUN
            )
        await curio.sleep(DETECTION_S)

    curio.run(cut_responses)
    assert gw.fatal.is_fatal(job.fingerprint) == case.recorded
    assert job.counted_attempts == (0 if case.recorded else FATAL_START_ENDS)
    assert bool(gw.members.usable("lm", clock.now())) == case.still_used


def test_new_start_that_answered_before_its_entry_was_known_counted_as_ended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The store is away, so that the new start answers under the key of the one that has ended."""
    results = [REFUSED, OpenConnection()]

    async def connect(addr: str, source: tuple[str, int], timeout_s: float) -> Any:
        return results.pop(0)

    monkeypatch.setattr("ramppost.gateway.endings.connect", connect)
    gw = Gateway(SETTINGS)
    apply_upstream_snapshot(gw, Snapshot([entry("e0")], 5))
    upstream = gw.members.usable("lm", clock.now())[0]
    assert curio.run(gw.upstream_probes.probe, upstream) == "ended"
    gw.connections.observe_head(upstream, answer_head(200, ()), clock.now())
    assert curio.run(gw.upstream_probes.probe, upstream) == "alive"


def test_retry_was_sent_before_a_second_end_was_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its engines end before the response head, and accept connections for a moment longer."""
    began = clock.now()

    async def connect(addr: str, source: tuple[str, int], timeout_s: float) -> Any:
        return OpenConnection() if clock.now() < began + EXIT_S else REFUSED

    monkeypatch.setattr("ramppost.gateway.endings.connect", connect)
    gw = Gateway(SETTINGS)
    set_config(gw, 5, 1)
    gw.freshness.confirm(clock.now())
    apply_upstream_snapshot(gw, Snapshot([entry("e0")], 5))
    admitted = admit_request(gw, STREAM)
    assert isinstance(admitted, Admitted)
    job = Job(caller_request("POST", STREAM, (), b""), admitted, clock.now())
    job.upstream_ends = 1
    upstream = gw.members.usable("lm", clock.now())[0]
    broken = Broken("closed", by_peer=True)
    curio.run(handle_broken_response, gw, job, upstream, broken, WAITED)
    assert job.upstream_ends == 2
