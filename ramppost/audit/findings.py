"""The types of a check and of what it reports."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Literal, NamedTuple

from ramppost.audit.events import Event


class Finding(NamedTuple):
    """A violation of a guarantee, or a case that the log lines can't decide.

    `at` is a time by the clock of the process named by `program`.
    """

    check: str
    verdict: Literal["broken", "undecided"]
    program: str
    at: float
    request: str
    what: str


Findings = Iterable[Finding]


class Check(NamedTuple):
    """A check of one guarantee, which `promise` states in a line.

    `handle_event` is called with each event, and `finish` once after the last.
    """

    name: str
    promise: str
    handle_event: Callable[[Event], Findings]
    finish: Callable[[], Findings]
