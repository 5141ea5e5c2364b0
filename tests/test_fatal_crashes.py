"""Requests that are not classified as fatal when upstreams crash for other reasons."""

from __future__ import annotations

from ramppost.policy.fatal import (
    ANSWERED_WAIT_S,
    FATAL_START_ENDS,
    JUST_BEGUN,
    CrashHistory,
    evidence_level,
)


def test_request_that_ran_for_long_is_harmless() -> None:
    """Engines crashed in sequence for an unrelated reason, and one request was on three of them.

    It was queued on the first and had streamed for 0.26 and 0.30 s on the others, where no other
    request had started later.  It then streamed for 4.9 s on a fourth until that crashed as well,
    and was permanently refused at its caller's next attempt 5.9 s later.
    """
    history = CrashHistory()
    history.record_end("e1", "it", evidence_level(None, 0), 8.0)
    history.record_end("e2", "it", evidence_level(0.26, 1), 8.4)
    history.record_end("e3", "it", evidence_level(0.30, 1), 8.8)
    assert not history.is_fatal("it", 9.4)
    history.record_end("e4", "it", evidence_level(4.94, 17), 13.9)
    assert history.was_answered("it", 13.9)
    for number in range(FATAL_START_ENDS - 1):
        history.record_end(f"f{number}", "it", JUST_BEGUN, 14.0)
    assert not history.is_fatal("it", 20.0)


def test_request_that_turned_fatal_after_its_answer_was_run_for_ten_minutes() -> None:
    """Engines of a new version crashed under it.  An answer counted against all later crashes."""
    history = CrashHistory()
    history.record_answer("it", 0.0, version="v1")
    for number in range(FATAL_START_ENDS):
        history.record_end(f"e{number}", "it", JUST_BEGUN, 5.0, version="v2")
    assert not history.is_fatal("it", 5.0)
    assert not history.record_answer("it", 5.5, version="v1")
    assert history.is_fatal("it", 5.0 + ANSWERED_WAIT_S)


def test_answer_while_other_reasons_crash_engines_prevents_a_verdict() -> None:
    """It is answered all the time, and is there as three engines lose power at one moment."""
    history = CrashHistory()
    history.record_answer("page", 0.0)
    for number in range(FATAL_START_ENDS):
        history.record_end(f"e{number}", "page", JUST_BEGUN, 5.0)
    assert history.record_answer("page", 5.4, began_at=5.3)
    assert not history.is_fatal("page", 5.0 + ANSWERED_WAIT_S)
