"""Load reports of upstreams and the pace of their hosts.

Guards against reports that were lost because they had a figure more than expected.
"""

from __future__ import annotations

import pytest

from ramppost.gateway.load import MAX_PACE, MIN_PACE, Loads, ReportFields
from ramppost.gateway.model import Upstream
from ramppost.gateway.state import Gateway
from ramppost.platform import names
from ramppost.platform.headers import answer_head
from ramppost.schema.settings import UpstreamStandinSettings
from ramppost.standin.upstream import _load_text, _Upstream
from tests.test_warmup import gateway

PLAIN = Upstream("i-1", "10.0.0.1:80", "web", "bole", "v1", 6, False, 7)
NOT_RUN = (names.NOT_RUN, b"1")
SETTINGS = UpstreamStandinSettings(
    program="standin-upstream",
    listen={"host": "127.0.0.1", "port": 1},
    store="127.0.0.1:2",
    id="i-1",
    service="web",
    hall="bole",
    version="v1",
    slots=6,
    work_ms=5,
)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (b"3,1,6", (3, 1, 6, None)),
        (b"3,1,6,250", (3, 1, 6, 2.5)),
        (b"3, 1, 6, 80, 17, later", (3, 1, 6, 0.8)),
        (b"?,1,6,250", (None, 1, 6, 2.5)),
        (b"3,,6,250", (3, None, 6, 2.5)),
        (b"3,1,0,0", (3, 1, None, None)),
        (b"3,1,6,10001", (3, 1, 6, None)),
        (b"-3,1.5,\xb2,1e2", (None, None, None, None)),
        (b"9" * 5000, (None, None, None, None)),
        (b"", (None, None, None, None)),
    ],
)
def test_bad_figure_invalidates_only_itself(text: bytes, expected: tuple[object, ...]) -> None:
    head = answer_head(200, ((names.LOAD, text),))
    assert (head.running, head.waiting, head.slots, head.pace) == expected


def observe(gw: Gateway, status: int, *headers: tuple[bytes, bytes]) -> None:
    """Let the gateway see a response head of the upstream."""
    gw.connections.observe_head(PLAIN, answer_head(status, headers), 1000.0)


def test_refusal_is_a_report() -> None:
    """Refusals are the only responses of an upstream that is full."""
    gw = gateway("g-1", 1, 0.0)
    observe(gw, 503, NOT_RUN, (names.LOAD, b"6,0,6,250"))
    report = gw.loads.last_report(PLAIN.key)
    assert (report.running, report.slots, report.pace) == (6, 6, 2.5)


def test_other_upstream_at_the_address_reports_nothing() -> None:
    gw = gateway("g-1", 1, 0.0)
    observe(gw, names.STATUS_WRONG_UPSTREAM, (names.LOAD, b"6,0,6,250"))
    assert gw.loads.last_report(PLAIN.key).slots is None


def test_head_without_report_keeps_the_last_one() -> None:
    gw = gateway("g-1", 1, 0.0)
    observe(gw, 200, (names.LOAD, b"5,0,6"))
    observe(gw, 200)
    assert gw.loads.last_report(PLAIN.key).running == 5


def test_pace_is_bounded_and_ages_towards_usual() -> None:
    """An absurd or old pace must not decide for long."""
    loads = Loads()
    for reported, used in ((100.0, MAX_PACE), (0.01, MIN_PACE), (2.0, 2.0)):
        loads.record_report("u", ReportFields(None, None, None, reported), 5.0)
        assert loads.pace("u", 5.0) == used
    assert 1.0 < loads.pace("u", 5.6) < 1.3
    assert loads.pace("u", 4.0) == 2.0
    loads.forget("u")
    assert loads.pace("u", 5.0) == 1.0


def test_stand_in_reports_a_pace_only_while_one_is_set() -> None:
    """Trials without paces must see the reports of upstreams that know none."""
    up = _Upstream(SETTINGS)
    up.host.change({"time_pct": 55, "pace_pct": 250})
    assert (_load_text(up), up.host.work_s(1.0)) == ("0,0,6,250", pytest.approx(1.375))
    up.host.change({"pace_pct": None})
    assert (_load_text(up), up.host.work_s(1.0)) == ("0,0,6", pytest.approx(0.55))
