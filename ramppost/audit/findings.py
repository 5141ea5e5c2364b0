"""What a check is, and what it finds."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Literal, NamedTuple

from ramppost.audit.events import Event


class Finding(NamedTuple):
    """A promise that was broken, or can't be decided, at a process and a time of its clock."""

    check: str
    verdict: Literal["broken", "undecided"]
    program: str
    at: float
    request: str
    what: str


Findings = Iterable[Finding]


class Check(NamedTuple):
    """What it checks, in a line; what it does with an event, and with the end of all."""

    name: str
    promise: str
    take: Callable[[Event], Findings]
    end: Callable[[], Findings]
