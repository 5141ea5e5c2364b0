"""Admission control of a gateway that keeps the backlogs of its engines itself."""

from __future__ import annotations

import json
from typing import Any

import curio
import pytest
from loguru import logger

from ramppost import clock
from ramppost.gateway.admit import Admitted, admit
from ramppost.gateway.caller_buffer import CallerBuffer, CallerBuffers
from ramppost.gateway.job import Job
from ramppost.gateway.metrics import Metrics
from ramppost.gateway.model import CallerRequest, Prompt, Upstream
from ramppost.gateway.pick import prompt_urgency, query_backlogs
from ramppost.gateway.room import refusal_without_room
from ramppost.gateway.serve import serve
from ramppost.gateway.state import Gateway
from ramppost.platform import names
from ramppost.platform.headers import caller_request
from ramppost.policy.backlog import PendingPrompt
from ramppost.schema.settings import GatewaySettings
from tests.harness.gateways import KEYS, SITE, STREAM
from tests.test_gateway_backlogs import FAR, NEAR, QUESTION, Site, play
from tests.test_gateway_state import SETTINGS, gw, set_config

__all__ = ["gw"]

ENGINES = [Upstream(f"e{n}", "127.0.0.1:9", "lm", "bole", "v1", 8, False) for n in range(4)]


def fill(gw: Gateway, read_s: float, workspace: str, level: int = 1) -> None:
    """Let each engine have a prompt to read."""
    for engine in ENGINES:
        gw.members.put(engine)
        prompt = PendingPrompt(clock.now(), read_s, level, "m", (), workspace)
        gw.backlogs.record_sent(engine, f"{workspace}-{engine.id}", prompt)


def request(workspace: str = "kitchen", body: bytes = b"x") -> CallerRequest:
    head = ((b"host", SITE.encode()), (names.API_KEY, KEYS[workspace].encode()))
    req = caller_request("POST", STREAM + "x", head, body)
    return req._replace(prompt=Prompt((("a", 9000),), 9000, 400), deadline_s=20.0)


def decide(gw: Gateway, req: CallerRequest, **job_state: Any) -> Any:
    async def run() -> Any:
        admitted = admit(gw, req)
        assert isinstance(admitted, Admitted)
        job = Job(req, admitted, clock.now())
        for name, value in job_state.items():
            setattr(job, name, value)
        await query_backlogs(gw, job, "lm", "m")
        return refusal_without_room(gw, job, "lm", "m", clock.now()), job

    return curio.run(run)


class SentReply:
    """Stands in for the reply to a caller."""

    started, status = False, 0

    def __init__(self) -> None:
        self.buffer = CallerBuffer(None, CallerBuffers(Metrics()))

    async def send(self, status: int, headers: Any, body: bytes) -> None:
        self.status, self.headers, self.body = status, dict(headers), json.loads(body)


def test_a_request_waits_for_engines_that_can_not_serve_it_in_time(gw: Gateway) -> None:
    """Guards against callers that are told only at their deadline that there is no room."""
    fill(gw, 10.0, "toll", level=0)
    lines: list[Any] = []
    sink = logger.add(lambda message: lines.append(message.record), level="INFO")
    reply: Any = SentReply()
    try:
        curio.run(serve, gw, request(), reply, clock.now())
    finally:
        logger.remove(sink)
    assert reply.status == 503
    assert reply.body["error"]["ran"] == "no"
    assert float(reply.headers[b"retry-after"]) > 4.0
    line = next(line for line in lines if line["message"] == "no room at engines: deadline")
    assert line["extra"]["first_token_s"] > line["extra"]["left_s"] > 3.0
    labels = (("rank", "0"), ("reason", "deadline"), ("workspace", "kitchen"))
    assert gw.metrics.counters["ramppost_admission_refusals_total", labels] == 1
    assert not any("attempt" in line["message"] for line in lines)


def enable_fair_shares(gw: Gateway) -> None:
    gw.cfg = GatewaySettings(**{**SETTINGS, "admission": {"fair_shares": True}})


def test_a_workspace_above_its_share_is_admitted_like_others(gw: Gateway) -> None:
    """Guards against a shortage in which the workspace that causes it is not the one refused."""
    enable_fair_shares(gw)
    for _ in range(5):
        fill(gw, 0.5, "toll")
        for engine in ENGINES:
            gw.backlogs.record_done(engine, f"toll-{engine.id}", began=True)
    fill(gw, 0.5, "toll")
    fill(gw, 0.01, "kitchen")
    results = {
        workspace: [decide(gw, request(workspace, b"%d" % number))[0] for number in range(40)]
        for workspace in KEYS
    }
    assert not any(results["kitchen"])
    refused = [result for result in results["toll"] if result]
    assert len(refused) > 20
    assert all(result.ran == "no" and result.retry_after_s > 0 for result in refused)


@pytest.mark.parametrize("state", [{"attempts": 1}, {"may_have_run": True}])
def test_a_request_that_was_sent_is_refused_as_not_run(gw: Gateway, state: Any) -> None:
    """Guards against "not run" for a request that an upstream may have begun."""
    fill(gw, 10.0, "toll", level=0)
    assert decide(gw, request(), **state)[0] is None


def test_a_resumed_stream_is_refused(gw: Gateway) -> None:
    """Guards against breaking off streams for want of room."""
    fill(gw, 10.0, "toll", level=0)
    assert decide(gw, request()._replace(last_event_id="7"))[0] is None


def test_requests_are_refused_without_the_prompts_of_other_gateways(gw: Gateway) -> None:
    """Guards against refusals by figures that are not of the whole fleet."""
    fill(gw, 10.0, "toll", level=0)
    gw.backlogs.keeper = lambda engine, now: ""  # type: ignore[method-assign]
    assert decide(gw, request())[0] is None


def test_requests_are_refused_although_admission_is_disabled(gw: Gateway) -> None:
    """Guards against a setting without effect."""
    fill(gw, 10.0, "toll", level=0)
    gw.cfg = GatewaySettings(**{**SETTINGS, "admission": {"enabled": False}})
    assert decide(gw, request())[0] is None


def test_a_starving_class_is_not_raised(gw: Gateway) -> None:
    """Guards against classes that are never served while more urgent ones take all engines."""
    enable_fair_shares(gw)
    fill(gw, 3.0, "toll", level=0)
    jobs = [decide(gw, request("kitchen", b"%d" % number))[1] for number in range(200)]
    raised = [job for job in jobs if job.raised]
    assert 0 < len(raised) < 30
    assert all(prompt_urgency(gw, job, 5.0) == 0 for job in raised)


def test_ranks_are_those_of_the_configuration_before(gw: Gateway) -> None:
    """Guards against ranks that a new configuration does not change."""
    assert gw.workspace_ranks.of(gw.table) == {"kitchen": 0, "toll": 0}
    set_config(gw, 7, 2, tenants=[])
    set_config(gw, 8, 3)
    assert gw.workspace_ranks.of(gw.table) == {"kitchen": 0, "toll": 0}
    assert gw.workspace_ranks.of(None) == {}


def test_keepers_do_not_tell_who_uses_their_engines() -> None:
    """Guards against shares that count a gateway's own prompts alone, and against replies that grow
    without a shortage."""

    async def scene(site: Site) -> None:
        seen: list[Any] = []
        site.south.observe_use = lambda *use: seen.append(use[:3])
        site.north.observe_use = lambda *use: seen.append(use[:3])
        prompt = PendingPrompt(clock.now(), 0.05, 2, "m", (), "toll")
        site.north.record_sent(NEAR, "a", prompt)
        await site.south.ask([NEAR], QUESTION)
        assert seen == []
        site.south.record_sent(NEAR, "b", prompt._replace(read_s=0.5, workspace="kitchen"))
        await curio.sleep(0.01)
        await site.south.ask([NEAR, FAR], QUESTION)
        await site.north.ask([NEAR], QUESTION)
        assert seen == [("lm", 1, {"kitchen": 0.5, "toll": 0.05})] * 2

    play(scene)
