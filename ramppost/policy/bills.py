"""Determines which bill lines of a request count.

No I/O.  An attempt's id is `request.s<stage>t<try_number>`: the stage of a cascade, and the
number of the try within the stage.  A later try of a stage starts only after the earlier one
was given up, so only the last try of each stage counts.  A witness line that arrives late for
a try that was given up therefore changes nothing.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import Final, NamedTuple

from ramppost.schema.messages import BillLine

ATTEMPT_ID_PATTERN: Final = re.compile(r"(.+)\.s(\d+)t(\d+)")


class AttemptPosition(NamedTuple):
    """Position of an attempt within its request."""

    request_id: str
    stage: int
    try_number: int


def attempt_id(request_id: str, stage: int, try_number: int) -> str:
    """Format the id of an attempt."""
    return f"{request_id}.s{stage}t{try_number}"


def parse_attempt_id(attempt: str) -> AttemptPosition:
    """Parse the id of an attempt; stage and try are 0 if the id has another format."""
    match = ATTEMPT_ID_PATTERN.fullmatch(attempt)
    if match is None:
        return AttemptPosition(attempt, 0, 0)
    return AttemptPosition(match.group(1), int(match.group(2)), int(match.group(3)))


def request_id_of(attempt: str) -> str:
    """The id of the request that an attempt belongs to."""
    return parse_attempt_id(attempt).request_id


def billable_lines(lines: Iterable[BillLine]) -> list[BillLine]:
    """Select the lines of one request that count: those of the last try of each stage."""
    latest_by_stage: dict[int, BillLine] = {}
    for line in lines:
        position = parse_attempt_id(line["attempt"])
        latest = latest_by_stage.get(position.stage)
        if latest is None or parse_attempt_id(latest["attempt"]).try_number < position.try_number:
            latest_by_stage[position.stage] = line
    return [latest_by_stage[stage] for stage in sorted(latest_by_stage)]
