"""Gateways that pool their evidence on a version, of which nothing else is real."""

from __future__ import annotations

import random
from typing import NamedTuple

from ramppost.gateway.evidence_news import EvidenceNews
from ramppost.gateway.model import RolloutOrder
from ramppost.gateway.rollout_news import RolloutNews
from ramppost.gateway.rollouts import Rollout, Rollouts
from ramppost.gateway.version_evidence import AttemptTiming, ExpectedAnswer, VersionEvidence
from ramppost.policy.relays import Peers
from ramppost.schema.messages import PeerDatagram

DURATION_S = 20.0
SERVICE, OLD, NEW = "lm", "v1", "v2"
FIRST_S = 0.2
"""Expected time to the first byte."""
GAP = 1.0
STABLE_ANSWERS = 60
PORT = 7340


class Clock:
    """A clock that tests set."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


class Node(NamedTuple):
    """What a gateway needs to judge versions."""

    peers: Peers
    rollouts: Rollouts
    evidence: VersionEvidence
    rollout_news: RolloutNews
    evidence_news: EvidenceNews

    @property
    def rollout(self) -> Rollout:
        found = self.rollouts.get(SERVICE)
        assert found is not None
        return found


class Wire:
    """Delivers datagrams between nodes at once."""

    def __init__(self, fleet: Fleet, own: str) -> None:
        self._fleet = fleet
        self._own = own

    def send(self, addr: tuple[str, int], msg: PeerDatagram) -> None:
        if self._own in self._fleet.cut or addr[0] in self._fleet.cut:
            return
        node = self._fleet.nodes[addr[0]]
        if "evidence" in msg:
            node.evidence_news.handle_datagram(msg["evidence"])
        if "rollout" in msg:
            node.rollout_news.handle_datagram(msg["rollout"], (self._own, PORT))


class Fleet:
    """Gateways during a roll-out of `NEW`, of which nothing else is real."""

    def __init__(self, time: Clock, gateways: int = 4) -> None:
        self.time = time
        self.cut: set[str] = set()
        self.nodes: dict[str, Node] = {}
        ips = [f"10.0.{i // 250}.{i % 250 + 1}" for i in range(gateways)]
        for ip in ips:
            peers = Peers(ip)
            for other in ips:
                peers.put(other, f"{other}:{PORT}")
            rollouts = Rollouts()
            evidence = VersionEvidence(rollouts)
            wire = Wire(self, ip)
            news = RolloutNews(peers, wire, rollouts)  # type: ignore[arg-type]
            found = EvidenceNews(peers, wire, rollouts, evidence, news)  # type: ignore[arg-type]
            self.nodes[ip] = Node(peers, rollouts, evidence, news, found)

    @property
    def all(self) -> list[Node]:
        return list(self.nodes.values())

    def order(self, elapsed: float = 0.0, duration_s: float = DURATION_S) -> None:
        """Order the roll-out, of which a fraction has passed."""
        order = RolloutOrder(SERVICE, NEW, duration_s, "ordered", 1)
        for node in self.all:
            node.rollouts.update(order, self.time.now - elapsed * duration_s)
            node.rollout.trial_upstreams = 4
        self.exchange()

    def know_the_old(self, routes: tuple[str, ...] = ("chat",), failed_share: float = 0.0) -> None:
        """Let each node have seen sound answers of the old version."""
        rng = random.Random(1)
        for node in self.all:
            for _ in range(STABLE_ANSWERS):
                for route in routes:
                    failed = rng.random() < failed_share
                    self.answer(node, OLD, route, rng.lognormvariate(0.0, 0.4), failed=failed)

    def fail_the_old(self, route: str, every: int) -> None:
        """Let each node have seen the old version fail one in so many answers on a route."""
        for node in self.all:
            for i in range(STABLE_ANSWERS):
                self.answer(node, OLD, route, failed=i % every == 0)

    def begin(self, node: Node, version: str, route: str, upstream: int = 0) -> AttemptTiming:
        """An attempt that has just been sent."""
        name = f"{version}-{upstream}"
        expected = ExpectedAnswer(SERVICE, route, "small", name, version, FIRST_S, GAP)
        return node.evidence.begin(expected, self.time.now)

    def answer(
        self,
        node: Node,
        version: str,
        route: str = "chat",
        times: float = 1.0,
        upstream: int = 0,
        failed: bool = False,
    ) -> None:
        """An answer that takes so many times the usual time; nobody has to be sent it."""
        timing = self.begin(node, version, route, upstream)
        first_at = self.time.now + FIRST_S * times
        timing.record_head(500 if failed else 200, first_at)
        timing.end(first_at)

    def exchange(self) -> None:
        """Let all tell and judge once."""
        for node in self.all:
            node.evidence_news.exchange_once()

    @property
    def considered_bad(self) -> list[bool]:
        return [bool(node.rollout.withdrawal_reason) for node in self.all]
