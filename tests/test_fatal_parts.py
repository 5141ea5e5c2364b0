"""A part of prompts that crashes each engine that begins to write an answer on it.

The requests that hold it are all different.  Sound ones come from the same callers at the same
gateways and share all of its other parts.
"""

from __future__ import annotations

import os
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import NamedTuple

import pytest

from ramppost import clock
from ramppost.platform import names
from tests.harness.crashing import CrashingEngines
from tests.harness.gateways import STREAM, Deployment, Given, written_at

ENGINES = tuple(f"lm-{number}" for number in range(1, 9))
FATAL_PART = "bad0"
SOUND_CALLERS = 6
FATAL_CALLERS = 2
PAUSE_S = 0.05
"""Pause of a caller between its requests."""
CALM_S = 3.0
"""How long there are only sound requests."""
STORM_S = 12.0
"""How long there are fatal requests, too."""
CONTACT_S = 3.0
"""Time after which all gateways act on what any of them could have found out."""
DECISIVE_CRASHES = 5
MAX_LATE_ATTEMPTS = 3
MIN_SOUND_RATIO = 0.5
IMMEDIATE_REFUSAL_S = 0.3


class Case(NamedTuple):
    """The shared parts of fatal prompts, and whether engines crash before the response head."""

    title: str
    parts: tuple[str, ...]
    before_head: bool = False


CASES = (
    Case("second part", ("aa", FATAL_PART, "cc")),
    Case("first part", (FATAL_PART, "aa", "cc")),
    Case("before the head", ("aa", FATAL_PART, "cc"), before_head=True),
)


class Call(NamedTuple):
    """A request by when it was sent (steady clock), and its response after `took_s` seconds."""

    at: float
    took_s: float
    got: Given


class Callers:
    """Threads that send prompts with the same shared parts, each with a last part of its own."""

    def __init__(self, site: Deployment, count: int, parts: tuple[str, ...]) -> None:
        self.site = site
        self.parts = parts
        self.calls: list[Call] = []
        self._stopping = threading.Event()
        self._threads = [threading.Thread(target=self._run, args=(i,)) for i in range(count)]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number: int) -> None:
        while not self._stopping.is_set():
            number += 1
            gateway = self.site.gateways[number % len(self.site.gateways)]
            at = clock.now()
            got = send(self.site, gateway, self.parts)
            self.calls.append(Call(at, clock.now() - at, got))
            time.sleep(PAUSE_S)


def send(site: Deployment, gateway: str, parts: tuple[str, ...]) -> Given:
    """Send a prompt that no other request repeats."""
    own = os.urandom(4).hex()
    prompt = ",".join(f"{part}:30" for part in (*parts, own))
    headers = {names.PROMPT_PARTS.decode(): prompt}
    return site.call(gateway, STREAM, body=own.encode(), headers=headers)


def served_ratio(calls: list[Call]) -> float:
    return sum(call.got.status == 200 for call in calls) / len(calls)


def fatal_attempts(site: Deployment, since: float) -> list[str]:
    """Log messages of attempts that sent a prompt with the fatal part after a time of day.

    An attempt without a connection has sent nothing."""
    return [
        line["message"]
        for gateway in site.gateways
        for line in site.lines(gateway)
        if line["message"].startswith("attempt")
        and FATAL_PART in line["parts"]
        and not any(text in line["message"] for text in ("not sent", "no connection"))
        and written_at(line) - line["took_s"] > since
    ]


@pytest.fixture
def case(request: pytest.FixtureRequest) -> Case:
    found: Case = request.param
    return found


@pytest.fixture
def engines(tmp_path: Path, case: Case) -> Iterator[CrashingEngines]:
    settings = {"ends_on_part": FATAL_PART, "ends_before_head": case.before_head}
    site = Deployment(
        tmp_path, gateways=4, engines=len(ENGINES), services=1, upstream_settings=settings
    )
    found = CrashingEngines(site, ENGINES, events=10, event_ms=20)
    yield found
    found.stop()
    site.stop()


def play_storm(engines: CrashingEngines, case: Case, act: Callable[[], None]) -> Callers:
    """Let sound and fatal requests come beside each other; returns the sound ones."""
    sound_parts = tuple(part for part in case.parts if part != FATAL_PART)
    sound = Callers(engines.site, SOUND_CALLERS, sound_parts)
    time.sleep(CALM_S)
    fatal = Callers(engines.site, FATAL_CALLERS, case.parts)
    act()
    time.sleep(STORM_S)
    fatal.stop()
    sound.stop()
    return sound


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.title, indirect=True)
def test_requests_with_a_fatal_part_crashed_engine_after_engine(
    engines: CrashingEngines, case: Case
) -> None:
    site = engines.site
    sound = play_storm(engines, case, lambda: None)
    crashed_at = engines.crashed_at
    last_at = sorted(crashed_at)[min(len(crashed_at), DECISIVE_CRASHES) - 1]
    time_of_day = time.time() - clock.now()
    late = fatal_attempts(site, time_of_day + last_at + CONTACT_S)
    assert len(late) <= MAX_LATE_ATTEMPTS, f"{len(crashed_at)} engines crashed"
    assert engines.most_down < len(ENGINES), "retries crashed the whole fleet at once"
    before = served_ratio([call for call in sound.calls if call.at < min(crashed_at)])
    after = served_ratio([call for call in sound.calls if call.at > last_at + 2 * CONTACT_S])
    assert after >= MIN_SOUND_RATIO * before
    assert not [call for call in sound.calls if b'"fatal_request"' in call.got.body]
    for gateway in site.gateways:
        at = clock.now()
        got = send(site, gateway, case.parts)
        assert b'"fatal_request"' in got.body
        assert b'"ran":"no"' in got.body
        assert clock.now() - at < IMMEDIATE_REFUSAL_S
