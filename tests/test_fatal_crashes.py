"""Who is not held to end upstreams where these end by themselves."""

from __future__ import annotations

from ramppost.policy.fatal import JUST_BEGUN, CrashHistory, evidence_level


def test_whoever_an_upstream_has_run_for_long_is_harmless() -> None:
    """Engines crashed one after the other by themselves, and one request was at three of them.

    It waited at the first and had streamed for 0.26 and 0.30 s at the others, and nobody else there
    had begun later.  Then it streamed for 4.9 s at a fourth, until that crashed as well, and was
    refused for good at its caller's next try, after 5.9 s more.
    """
    docket = CrashHistory()
    docket.record_end("e1", "it", evidence_level(None, 0), 8.0)
    docket.record_end("e2", "it", evidence_level(0.26, 1), 8.4)
    docket.record_end("e3", "it", evidence_level(0.30, 1), 8.8)
    assert not docket.is_fatal("it", 9.4)
    docket.record_end("e4", "it", evidence_level(4.94, 17), 13.9)
    assert docket.is_harmless("it", 13.9)
    for number in range(9):
        docket.record_end(f"f{number}", "it", JUST_BEGUN, 14.0)
    assert not docket.is_fatal("it", 20.0)
