"""What a request's bill consists of.

Pure.  An attempt's id is `request.s<stage>t<try_number>`: the stage of a cascade, and
the turn within it.  A later turn of a stage is begun only when the former one
was given up, so of a stage only the last turn counts; a witness line that comes
late for a turn that was given up changes nothing.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import Final, NamedTuple

from ramppost.schema.messages import BillLine

ATTEMPT_ID_PATTERN: Final = re.compile(r"(.+)\.s(\d+)t(\d+)")


class AttemptPosition(NamedTuple):
    """Where an attempt stands within its request."""

    request_id: str
    stage: int
    try_number: int


def attempt_id(request_id: str, stage: int, try_number: int) -> str:
    """The id of an attempt."""
    return f"{request_id}.s{stage}t{try_number}"


def parse_attempt_id(attempt: str) -> AttemptPosition:
    """The place of an attempt; stage and turn 0 where the id has another form."""
    found = ATTEMPT_ID_PATTERN.fullmatch(attempt)
    if found is None:
        return AttemptPosition(attempt, 0, 0)
    return AttemptPosition(found.group(1), int(found.group(2)), int(found.group(3)))


def request_id_of(attempt: str) -> str:
    """The request of an attempt."""
    return parse_attempt_id(attempt).request_id


def billable_lines(lines: Iterable[BillLine]) -> list[BillLine]:
    """The lines of one request that count: of each stage the last turn."""
    last: dict[int, BillLine] = {}
    for line in lines:
        place = parse_attempt_id(line["attempt"])
        held = last.get(place.stage)
        if held is None or parse_attempt_id(held["attempt"]).try_number < place.try_number:
            last[place.stage] = line
    return [last[stage] for stage in sorted(last)]
