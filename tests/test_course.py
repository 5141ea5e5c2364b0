"""Measured run time of a request on an upstream, at gateways that may stall themselves."""

from __future__ import annotations

import pytest

from ramppost.policy.fatal import HARMLESS, JUST_BEGUN, STREAMED, ObservedRun, evidence_level

FROZEN_S = 4.0


@pytest.mark.parametrize(
    ("pieces_at", "sign"),
    [
        ([], JUST_BEGUN),
        ([0.05], STREAMED),
        ([0.05, 0.1 + FROZEN_S], STREAMED),
        ([0.3 * number for number in range(1, 20)], HARMLESS),
        ([*(0.3 * number for number in range(1, 20)), 6.0 + FROZEN_S], HARMLESS),
    ],
)
def test_gateway_stall_is_no_evidence(pieces_at: list[float], sign: int) -> None:
    """A gateway was frozen just after the head of a response and found it cut when it resumed.

    By elapsed time the engine seemed to have run the request for four seconds, so the request was
    classified as harmless at all gateways, though the engine had crashed within 0.1 s.
    """
    observed_run = ObservedRun(10.0)
    for at in pieces_at:
        observed_run.record_piece(10.0 + at)
    assert evidence_level(observed_run.lived_s, len(pieces_at)) == sign
