"""An upstream that turns a gateway away and asks for rest gets nothing from it meanwhile.

Guards against gateways that go on asking an upstream that refuses them.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.harness.gateways import SAFE, STREAM, Deployment
from tests.harness.upstream_rules import during_rest
from tests.test_rate_limit import call_all


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Deployment]:
    found = Deployment(tmp_path, gateways=4, engines=2, services=2)
    try:
        yield found
    finally:
        found.stop()


@pytest.mark.parametrize(("prefix", "resting"), [(STREAM, "lm-1"), (SAFE, "web-1")])
def test_upstream_that_asked_for_rest_was_sent_requests(
    site: Deployment, prefix: str, resting: str
) -> None:
    site.notices(resting, rest_s=2.0)
    got = call_all(site, prefix, 5.0)
    assert during_rest(site.arrivals(resting)) == []
    assert {given.status for given in got} == {200}


@pytest.mark.parametrize("prefix", [STREAM, SAFE])
def test_upstreams_that_all_asked_for_rest_were_sent_requests(
    site: Deployment, prefix: str
) -> None:
    upstreams = ("lm-1", "lm-2") if prefix == STREAM else ("web-1", "web-2")
    for name in upstreams:
        site.notices(name, rest_s=2.0)
    got = call_all(site, prefix, 4.0)
    assert during_rest(site.arrivals(*upstreams)) == []
    assert {given.status for given in got} == {503}
    assert all(0 < float(given.headers["retry-after"]) < 3.0 for given in got)
    for name in upstreams:
        site.notices(name)
    site.until(lambda: site.call(site.gateways[0], prefix).status == 200, 3.0)
