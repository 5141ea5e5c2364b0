"""How long an upstream was seen to run a request, at gateways that may themselves stand still."""

from __future__ import annotations

import pytest

from ramppost.policy.fatal import HARMLESS, JUST_BEGUN, STREAMED, ObservedRun, evidence_level

FROZEN_S = 4.0


@pytest.mark.parametrize(
    ("heard_at", "sign"),
    [
        ([], JUST_BEGUN),
        ([0.05], STREAMED),
        ([0.05, 0.1 + FROZEN_S], STREAMED),
        ([0.3 * number for number in range(1, 20)], HARMLESS),
        ([*(0.3 * number for number in range(1, 20)), 6.0 + FROZEN_S], HARMLESS),
    ],
)
def test_a_pause_of_the_gateway_proves_nothing(heard_at: list[float], sign: int) -> None:
    """A gateway was frozen just after the head of an answer, and found it broken off as it woke.

    By the time that had passed an engine seemed to have run the request for four seconds, so it
    was held to be harmless, at all gateways, though its engine had ended within a tenth of one.
    """
    course = ObservedRun(10.0)
    for at in heard_at:
        course.record_piece(10.0 + at)
    assert evidence_level(course.lived_s, len(heard_at)) == sign
