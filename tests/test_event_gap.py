"""A gap in the ids of a stream's events."""

from __future__ import annotations

import random

from bench.choosing import fleet, job_of
from ramppost.gateway.events import EventSplitter
from ramppost.gateway.forwarding import _events_in_order


def test_events_before_a_gap_never_reached_the_caller() -> None:
    # The stream is resumed after the last id, so what was read before the gap must be forwarded.
    job = job_of(fleet(1, 1), random.Random(1))
    data = b"".join(b"id: %d\ndata: x\n\n" % number for number in (5, 6, 9))
    valid, broken = _events_in_order(job, EventSplitter().feed(data))
    assert [event.id for event in valid] == ["5", "6"] and job.last_event_id == "6"
    assert broken is not None
