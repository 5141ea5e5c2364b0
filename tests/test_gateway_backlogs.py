"""Backlogs of engines over real datagrams: gateways that ask, tell, fall silent, come back."""

from __future__ import annotations

import json
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest

from ramppost import clock
from ramppost.gateway.backlogs import (
    ASK_TIMEOUT_S,
    BacklogEstimate,
    BacklogQuery,
    Backlogs,
    _speeds_in,
)
from ramppost.gateway.datagrams import Datagrams
from ramppost.gateway.metrics import Metrics
from ramppost.gateway.model import Upstream
from ramppost.policy.backlog import PendingPrompt
from ramppost.policy.keepers import MAX_MISSED_REPLIES
from ramppost.policy.placement import MIN_RATE_SAMPLES, PrefillRates
from ramppost.policy.relays import Peers
from ramppost.policy.speed import MIN_SAMPLES, SpeedFigures
from tests.test_gateway_follow import free_port

NEAR = Upstream("e-near", "127.0.0.1:9", "lm", "north", "v1", 8, False)
FAR = Upstream("e-far", "127.0.0.1:9", "lm", "south", "v1", 8, False)
QUESTION = BacklogQuery(2, "m", ("one", "two"))
HOST = "127.0.0.1"


class Site:
    """Gateways north and south, each the keeper of the engine in its hall."""

    def __init__(self) -> None:
        self.ports = {"north": free_port(socket.SOCK_DGRAM), "south": free_port(socket.SOCK_DGRAM)}
        self.metrics = Metrics()
        self.rates = {"north": PrefillRates(), "south": PrefillRates()}
        self.datagrams: dict[str, Datagrams] = {}
        self.north = self.gateway("north", "south")
        self.south = self.gateway("south", "north")
        self.tasks: dict[str, Any] = {}

    def gateway(self, name: str, other: str = "") -> Backlogs:
        """A gateway that knows another, or none."""
        peers = Peers(name, hall=name)
        if other:
            peers.put(other, f"{HOST}:{self.ports[other]}", other)
        self.datagrams[name] = Datagrams(self.metrics)
        return Backlogs(name, peers, self.rates[name], self.datagrams[name], self.metrics)

    async def start(self, name: str) -> None:
        backlogs = {"north": self.north, "south": self.south}[name]
        self.tasks[name] = await curio.spawn(
            self.datagrams[name].listen,
            HOST,
            self.ports[name],
            backlogs.handle_datagram,
            daemon=True,
        )
        await curio.sleep(0.01)


def play(scene: Callable[[Site], Awaitable[Any]]) -> Any:
    async def run() -> Any:
        site = Site()
        await site.start("north")
        await site.start("south")
        return await scene(site)

    return curio.run(run)


def reading(read_s: float = 0.5) -> PendingPrompt:
    return PendingPrompt(clock.now(), read_s, 2, "m", ("one", "two"))


def test_what_one_gateway_sends_the_other_knows() -> None:
    async def scene(site: Site) -> None:
        site.north.record_sent(FAR, "a", reading())
        await curio.sleep(0.01)
        told = await site.south.ask([FAR, NEAR], QUESTION)
        assert 0.4 < told[FAR.id].ahead_s <= 0.5
        assert told[FAR.id].cached_parts == 2
        assert told[NEAR.id] == BacklogEstimate(0.0, 0, True)
        site.north.record_done(FAR, "a", began=True)
        await curio.sleep(0.01)
        assert (await site.south.ask([FAR], QUESTION))[FAR.id] == BacklogEstimate(
            0.0, 2, True, SpeedFigures(running=1)
        )

    play(scene)


def test_a_gateway_asks_the_keeper_of_each_engine() -> None:
    async def scene(site: Site) -> None:
        site.south.record_sent(FAR, "a", reading(0.5))
        site.south.record_sent(NEAR, "b", reading(0.3))
        await curio.sleep(0.01)
        told = await site.north.ask([FAR, NEAR], QUESTION)
        assert 0.4 < told[FAR.id].ahead_s <= 0.5 and told[FAR.id].complete
        assert 0.2 < told[NEAR.id].ahead_s <= 0.3

    play(scene)


def test_a_keeper_that_is_silent_costs_little_and_is_left_out() -> None:
    async def scene(site: Site) -> None:
        await site.tasks["south"].cancel()
        site.north.record_sent(FAR, "a", reading(0.5))
        for number in range(MAX_MISSED_REPLIES + 1):
            began = clock.now()
            told = await site.north.ask([FAR, NEAR], QUESTION)
            took_s = clock.now() - began
            assert (
                took_s < 2 * ASK_TIMEOUT_S
                if number < MAX_MISSED_REPLIES
                else took_s < ASK_TIMEOUT_S / 2
            )
            assert 0.3 < told[FAR.id].ahead_s <= 0.5, "what it sent itself it knows"
            assert told[FAR.id].complete == (number >= MAX_MISSED_REPLIES), (
                "then it is the keeper itself"
            )

    play(scene)


def test_a_lost_answer_does_not_leave_a_keeper_out() -> None:
    async def scene(site: Site) -> None:
        await site.tasks["south"].cancel()
        assert not (await site.north.ask([FAR], QUESTION))[FAR.id].complete
        await site.start("south")
        for _ in range(2 * MAX_MISSED_REPLIES):
            assert (await site.north.ask([FAR], QUESTION))[FAR.id].complete

    play(scene)


def test_a_gateway_that_has_just_started_reads_at_the_rate_that_others_learned() -> None:
    async def scene(site: Site) -> None:
        for _ in range(MIN_RATE_SAMPLES + 10):
            site.rates["south"].observe("m", 10000, 0.8)
        await site.north.ask([FAR], QUESTION)
        told_s = site.rates["south"].rate_s("m")
        assert site.rates["north"].rate_s("m") == pytest.approx(told_s, rel=1e-3)
        for _ in range(MIN_RATE_SAMPLES):
            site.rates["north"].observe("m", 10000, 0.4)
        learned_s = site.rates["north"].rate_s("m")
        await site.north.ask([FAR], QUESTION)
        assert site.rates["north"].rate_s("m") == learned_s

    play(scene)


def test_a_gateway_that_is_new_takes_its_part_of_the_backlogs() -> None:
    async def scene(site: Site) -> None:
        alone = site.gateway("south")
        assert (await alone.ask([NEAR], QUESTION))[NEAR.id].complete
        alone._peers.put("north", f"{HOST}:{free_port(socket.SOCK_DGRAM)}", "north")
        assert not (await alone.ask([NEAR], QUESTION))[NEAR.id].complete

    play(scene)


def test_prompts_of_gateways_that_had_just_started_made_engines_look_fast() -> None:
    # They predict with a rate that is not that of the model.
    async def scene(site: Site) -> None:
        for number in range(40):
            prompt = reading()._replace(sent_at=clock.now() - 0.2, prefill_factor=0.0)
            site.south.record_sent(FAR, f"a{number}", prompt)
            site.south.record_done(FAR, f"a{number}", began=True)
        assert (await site.north.ask([FAR], QUESTION))[FAR.id].speed.prefill == 0.0

    play(scene)


def test_impossible_figures_of_a_datagram_ended_the_reception_of_all() -> None:
    huge, odd = 10**400, -700

    async def scene(site: Site) -> None:
        site.north.record_sent(FAR, "a", reading())
        site.north.record_done(FAR, "a", began=True)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for value in (huge, odd):
                note = {"key": "a", "engine": FAR.key, "tokens": value, "ms": value}
                sent = {"key": "b", "engine": FAR.key, "read_ms": value, "level": 1, "model": "m"}
                sent |= {"parts": [], "prefill_pct": value}
                for data in ({"finish": note}, {"sent": sent}):
                    sock.sendto(json.dumps(data).encode(), (HOST, site.ports["south"]))
        await curio.sleep(0.02)
        assert (await site.north.ask([FAR], QUESTION))[FAR.id].complete
        view = {"running": [odd], "prefill_pct": [odd], "token_us": [huge]}
        speed = _speeds_in(view, 1)[0]  # type: ignore[arg-type]
        assert (speed.running, speed.prefill) == (0, 0.0) and 0 < speed.token_s < 1000

    play(scene)


def test_new_keeper_did_not_know_the_speed_that_the_last_one_had_told() -> None:
    async def scene(site: Site) -> None:
        for number in range(MIN_SAMPLES):
            prompt = reading()._replace(sent_at=clock.now() - 0.2)
            site.south.record_sent(FAR, f"a{number}", prompt)
            site.south.record_done(FAR, f"a{number}", began=True)
            site.south.record_finish(FAR, f"a{number}", 300, 1.5)
        told = (await site.north.ask([FAR], QUESTION))[FAR.id].speed
        assert told.prefill < 1.0 and told.token_s == pytest.approx(0.005) and told.running == 0
        await site.tasks["south"].cancel()
        for _ in range(MAX_MISSED_REPLIES):
            await site.north.ask([FAR], QUESTION)
        assert (await site.north.ask([FAR], QUESTION))[FAR.id].speed == pytest.approx(told)

    play(scene)


def test_an_engine_that_left_is_forgotten() -> None:
    async def scene(site: Site) -> None:
        site.south.record_sent(FAR, "a", reading())
        site.south.forget(FAR.id)
        assert (await site.south.ask([FAR], QUESTION))[FAR.id] == BacklogEstimate(0.0, 0, True)

    play(scene)


def test_datagrams_that_make_no_sense_are_passed_over() -> None:
    async def scene(site: Site) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for data in (
                b"",
                b"\xff\xfe",
                b"[]",
                b'{"ask":{"id":1}}',
                b'{"view":{"id":99,"ahead_ms":[1],"kept":[],"token_ns":-1}}',
                b'{"over":{"key":"x","engine":"nobody","began":true}}',
            ):
                sock.sendto(data, (HOST, site.ports["south"]))
        await curio.sleep(0.02)
        assert (await site.north.ask([FAR], QUESTION))[FAR.id].complete

    play(scene)
