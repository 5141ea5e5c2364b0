"""A randomized soak: real processes, faults from outside, promises checked from outside.

    python -m tests.harness.soak --seeds 1 2 3 --duration-s 12

Callers ask for streams, calls that may repeat and calls that may run once, each on a connection
that it keeps until it breaks, and some pause within larger streams, while two schedules drawn from
the seed, which overlap, stop, pause, kill and restart gateways and upstreams, disturb the store,
its links and those between gateways, silence what is open on them, take a key away, let the
configuration grow on thin links, let upstreams leave and bring a version in. Further schedules
spoil entries and start upstreams under their ids, let upstreams name limits, ask for rest and leave
by their answers alone, let the store come back from older copies, give upstreams different and
changing speeds, and let them answer without length and chunks. After the storm a new route has to
be in force everywhere in time, and neither a request that ends engines nor a part of prompts that
does is to be run for ever, though gateways are killed, paused and stopped as it comes again. What
upstreams ran, told and were sent, and what callers got, is compared at the end, and the gateways'
log lines are audited.
"""

from __future__ import annotations

import argparse
import json
import os
import random
import signal
import socket
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Collection
from pathlib import Path
from typing import Any, NamedTuple

import httpx

from ramppost import clock
from ramppost.audit.run import audit
from ramppost.cli.audit import format_finding
from ramppost.platform import names
from tests.harness.gateways import (
    KEYS,
    ONCE,
    SAFE,
    STREAM,
    Deployment,
    Given,
    config,
    route,
)
from tests.harness.proxy import Proxy
from tests.harness.upstream_rules import Excuse, after_leaving, during_rest, over_limit

CALLERS = 9
SLOW_SHARE = 0.3
"""How many streams their callers pause in."""
MOST_PAUSE_S = 1.5
SLOW_EVENT_BYTES = 40_000
"""Five such events don't fit into the socket buffers of these callers."""
CALLER_SOCKET = ((socket.SOL_SOCKET, socket.SO_RCVBUF, 8192),)
ENGINES = ("lm-1", "lm-2", "lm-3")
SERVICES = ("web-1", "web-2")
WITHDRAWAL_S = 2.0
"""As the harness sets it for gateways."""
RECOVERY_S = 10.0
NOT_RUN = (429, 503)
SCHEDULES = 2
LEAVE_S = 1.0
"""As the harness sets it for gateways: what a leaving upstream may still be given work for."""
LEAVE_SLACK_S = 0.5
"""For the upstream's own heartbeat, which tells the store, and for a busy machine."""
GROWN_ROUTES = 3000
"""Some 0.6 MB: it takes 1.2 s of a thin link."""
THIN_BPS = 500_000.0
APPLY_S = 1.0
"""As the harness sets it for gateways: when a configuration must be in force."""
APPLY_SLACK_S = 2.5
"""For the time on a thin link, and for a busy machine."""
NEW = "/new/"
FATAL = b"ends whoever runs it"
TORN_SHARE = 0.5
"""How often upstreams that answer without a length also tear their streams."""
FATAL_PART = "bad0"
FATAL_CALLS = 12
MOST_FATAL_ENDS = 6
"""Three ends make it certain, and after those it may be tried three times more."""
MOST_FATAL_PART_ENDS = 8
"""Five ends make it certain at the latest, and after those three more may come."""
JUNK: list[Any] = [
    {},
    "text",
    None,
    {"service": "lm", "addr": "nowhere", "zone": "bole", "version": "v1", "slots": 8},
    {"service": "lm", "addr": "127.0.0.1:9", "zone": 7, "version": "v1", "slots": 8},
    {"addr": "127.0.0.1:x", "hall": "bole", "version": "v2", "part": "half", "sessions": 3},
]
"""Entries that other writers may leave."""
FURTHER = ("entries", "notices", "rests", "returns", "hosts", "unframed")
"""Schedules beside the first ones; regression seeds are played with those that they failed with."""
COPY_AGES_S = (0.2, 1.0, 3.0, 6.0, 60.0)
"""How old the copy is that the store comes back from; the last one holds hardly anything."""
MOST_REWRITE_S = 0.4
"""Within this the operator writes again what it has written."""
RESTS_S = (0.6, 1.0, 2.0, 3.0)
TIMES_PCT = (55, 100, 120)
"""How long work takes at an upstream, in hundredths of the usual time."""
PACES_PCT = (80, 100, 250)
HOST_TURN_S = 0.6
"""How long a host keeps its pace."""
LIMITS_PER_S = (0.0, 0.5, 1.0, 2.0, 5.0, 20.0)
ALL_OF_SERVICE = 0.3
"""How often all upstreams of a service tell the same of themselves."""
JUNK_KINDS = ("servers", "gateways", "rollout-progress", "rollout-sessions", "policies")
CALM_S = 3.0
"""So long after the last disturbance gateways are held to what they must know in time."""


class Left(NamedTuple):
    """An upstream that said that it leaves, and when (time of day)."""

    upstream: str
    at: float


class Asked(NamedTuple):
    """A request of a caller, and what came of it; times of day."""

    attempt: str
    prefix: str
    workspace: str
    at: float
    got: Given


class Callers:
    """Callers that go on until told to end."""

    def __init__(self, site: Deployment) -> None:
        self.site = site
        self.asked: list[Asked] = []
        self._ending = threading.Event()
        self._threads = [threading.Thread(target=self._call, args=(i,)) for i in range(CALLERS)]
        for thread in self._threads:
            thread.start()

    def _call(self, number: int) -> None:
        rng, pauses = random.Random(number), random.Random(f"{number}/pauses")
        limits = httpx.Limits(max_connections=4)
        transport = httpx.HTTPTransport(limits=limits, socket_options=CALLER_SOCKET)
        kept = httpx.Client(timeout=10, transport=transport)
        while not self._ending.is_set():
            prefix = rng.choice((ONCE, ONCE, SAFE, STREAM))
            workspace = rng.choice(sorted(KEYS))
            gateway = rng.choice(self.site.gateways)
            attempt, at = os.urandom(8).hex(), time.time()
            slow: dict[str, Any] = {}
            if prefix == STREAM and pauses.random() < SLOW_SHARE:
                pause_s = pauses.uniform(0.0, MOST_PAUSE_S)
                slow = {"event_bytes": SLOW_EVENT_BYTES, "pause_s": pause_s}
            got = self.site.call(
                gateway, prefix, KEYS[workspace], attempt, deadline_ms=2500, http=kept, **slow
            )
            self.asked.append(Asked(attempt, prefix, workspace, at, got))
            time.sleep(rng.uniform(0.0, 0.05))
        kept.close()

    def end(self) -> None:
        """Let them finish."""
        self._ending.set()
        for thread in self._threads:
            thread.join()


class Soak:
    """A deployment under faults drawn from a seed."""

    def __init__(self, folder: Path, seed: int, further: Collection[str] = FURTHER) -> None:
        self.rngs = [random.Random(f"{seed}/{number}") for number in range(SCHEDULES)]
        self.further_rngs = {name: random.Random(f"{seed}/{name}") for name in further}
        """Of further schedules; each draws from its own, so that seeds that were played without
        them play as they did."""
        self.kept_arrivals: list[dict[str, Any]] = []
        self.excuses: list[Excuse] = []
        self.site = Deployment(folder, gateways=3, engines=len(ENGINES), services=len(SERVICES))
        store = f"127.0.0.1:{self.site.port('store')}"
        self.store_links = {name: Proxy(store) for name in self.site.gateways}
        self.store_link = self.store_links[self.site.gateways[0]]
        for name, link in self.store_links.items():
            self.site.restart_gateway(name, link.addr)
        for name in self.site.gateways:
            self.site.wait_ready(name)
        self.peer_link = Proxy(self.site.internal_addr(self.site.gateways[1]))
        self.removed_at: float | None = None
        self.version = 1
        self.kept_runs: list[dict[str, Any]] = []
        self.left: list[Left] = []
        """Upstreams that left after the last disturbance."""
        self.done: list[str] = []
        self.failed: list[BaseException] = []
        self._locks = {
            name: threading.Lock() for name in (*self.site.procs, "store", "link", "config")
        }

    def play(self, until: float) -> None:
        """Play all schedules until then; a failure of the harness itself is raised."""
        further = {
            "entries": self.step_of_entries,
            "notices": self.step_of_limits,
            "rests": self.step_of_rests,
            "returns": self.step_of_returns,
            "hosts": self.step_of_hosts,
            "unframed": self.step_of_unframed,
        }
        schedules = [(rng, until, self.step) for rng in self.rngs]
        schedules += [(rng, until, further[name]) for name, rng in self.further_rngs.items()]
        threads = [threading.Thread(target=self._schedule, args=args) for args in schedules]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        if self.failed:
            raise self.failed[0]

    def _schedule(
        self, rng: random.Random, until: float, step: Callable[[random.Random], None]
    ) -> None:
        try:
            while clock.now() < until:
                step(rng)
                time.sleep(rng.uniform(0.0, 0.5))
        except (AssertionError, OSError, httpx.HTTPError) as exc:
            self.failed.append(exc)

    def step(self, rng: random.Random) -> None:
        """One fault, or the end of one."""
        fault = rng.choice(self.faults())
        self.done.append(fault.__name__)
        fault(rng)

    def faults(self) -> list[Callable[[random.Random], None]]:
        """The faults that the first schedules draw from."""
        return [
            self.kill_gateway,
            self.stop_gateway,
            self.pause_gateway,
            self.disturb_store,
            self.disturb_link,
            self.disturb_peers,
            self.silence_links,
            self.grow_on_thin_links,
            self.leave,
            self.upset_upstream,
            self.replace_upstream,
            self.take_key_away,
            self.bring_version_in,
        ]

    def step_of_entries(self, rng: random.Random) -> None:
        """Junk in the store, a spoiled entry of an upstream, or a start under the same id."""
        fault = rng.choice((self.leave_junk, self.spoil_entry, self.start_again))
        self.done.append(fault.__name__)
        fault(rng)

    def step_of_limits(self, rng: random.Random) -> None:
        """One or all upstreams of a service name a limit, which changes once, and then none,
        whatever else happens to them meanwhile."""
        upstreams = self._some_of_service(rng)
        self.done.append("limit_rate")
        for limit_per_s in (rng.choice(LIMITS_PER_S), rng.choice(LIMITS_PER_S)):
            for name in upstreams:
                self._tell(name, limit_per_s=limit_per_s)
            time.sleep(rng.uniform(0.5, 5.0))
        for name in upstreams:
            self._tell(name, limit_per_s=None)

    def step_of_rests(self, rng: random.Random) -> None:
        """One or all upstreams of a service ask for rest, or say in their answers alone that they
        are leaving and are replaced some time later."""
        fault = rng.choice((self.ask_for_rest, self.leave_by_answers))
        self.done.append(fault.__name__)
        fault(rng)

    def step_of_returns(self, rng: random.Random) -> None:
        """The store is away and comes back from an older copy, at times twice in series; the
        operator writes again what it has written."""
        time.sleep(rng.uniform(0.5, 4.0))
        for _ in range(rng.choice((1, 1, 2))):
            self.done.append("return_store")
            with self._locks["store"], self._locks["config"]:
                self.site.fault("store", mode=rng.choice(("down", "frozen")))
                time.sleep(rng.uniform(0.2, 2.5))
                self.site.come_back(age_s=rng.choice(COPY_AGES_S))
                self.site.fault("store", mode="none")
                time.sleep(rng.uniform(0.0, MOST_REWRITE_S))
                self.site.write_again()

    def step_of_hosts(self, rng: random.Random) -> None:
        """One or all upstreams of a service get another speed, and their hosts change their pace
        and report it for some turns."""
        upstreams = self._some_of_service(rng)
        self.done.append("change_hosts")
        for name in upstreams:
            self._change_host(name, time_pct=rng.choice(TIMES_PCT))
        for _ in range(rng.randint(1, 4)):
            for name in upstreams:
                self._change_host(name, pace_pct=rng.choice(PACES_PCT))
            time.sleep(HOST_TURN_S)
        for name in upstreams:
            self._change_host(name, pace_pct=None)

    def step_of_unframed(self, rng: random.Random) -> None:
        """One or all upstreams of a service answer without length and chunks, and some of their
        streams are torn within an event."""
        upstreams = self._some_of_service(rng)
        self.done.append("answer_unframed")
        how = {"unframed": True} | ({"cut_after": 2} if rng.random() < TORN_SHARE else {})
        for name in upstreams:
            self._behave(name, **how)
        time.sleep(rng.uniform(0.5, 3.0))
        for name in upstreams:
            self._behave(name)

    def _behave(self, name: str, **how: Any) -> None:
        """Let an upstream answer in some way."""
        self._unless_away(self.site.behave, name, how)

    def ask_for_rest(self, rng: random.Random) -> None:
        upstreams = self._some_of_service(rng)
        rest_s = rng.choice(RESTS_S)
        for name in upstreams:
            self._tell(name, rest_s=rest_s)
        time.sleep(rng.uniform(0.2, 4.0))
        for name in upstreams:
            self._tell(name, rest_s=None)

    def leave_by_answers(self, rng: random.Random) -> None:
        upstreams = self._some_of_service(rng)
        for name in upstreams:
            self._tell(name, leaving=True)
        time.sleep(rng.uniform(0.5, 4.0))
        for name in upstreams:
            with self._locks[name]:
                self._replace(name)

    def _some_of_service(self, rng: random.Random) -> tuple[str, ...]:
        """One or all upstreams of a service."""
        service = rng.choice((ENGINES, SERVICES))
        return service if rng.random() < ALL_OF_SERVICE else (rng.choice(service),)

    def _tell(self, name: str, **told: Any) -> None:
        """Let an upstream tell something."""
        self._unless_away(self.site.notices, name, told)

    def _change_host(self, name: str, **change: Any) -> None:
        """Change an upstream's speed."""
        self._unless_away(self.site.host, name, change)

    def _unless_away(self, act: Callable[..., None], name: str, how: dict[str, Any]) -> None:
        """Act on an upstream; nothing is done to one that is being replaced."""
        try:
            act(name, **how)
        except httpx.TransportError:
            self.done.append(f"{name} was away")

    def leave_junk(self, rng: random.Random) -> None:
        self.site.put(rng.choice(JUNK_KINDS), f"junk-{rng.randrange(3)}", rng.choice(JUNK))

    def spoil_entry(self, rng: random.Random) -> None:
        """An upstream's own entry is written over; it writes it again at its next heartbeat."""
        name = rng.choice((*ENGINES, *SERVICES))
        self.site.put(names.UPSTREAM_KIND, self.site.ids[name], rng.choice(JUNK))

    def start_again(self, rng: random.Random) -> None:
        name = rng.choice((*ENGINES, *SERVICES))
        with self._locks[name]:
            self._replace(name, again=True)

    def _start(self, name: str) -> None:
        self.site.start_gateway(name, self.store_links[name].addr)

    def put_proxy_between(self) -> None:
        """Let other gateways reach the second one by a link that can be disturbed."""
        entry = {"addr": self.peer_link.addr, "hall": "bole"}
        self.site.put("gateways", self.site.gateways[1], entry)

    def kill_gateway(self, rng: random.Random) -> None:
        name = rng.choice(self.site.gateways)
        with self._locks[name]:
            self.site.signal(name, signal.SIGKILL)
            self.site.wait_end(name)
            self._excuse(name, time.time())
            self._start(name)

    def stop_gateway(self, rng: random.Random) -> None:
        name = rng.choice(self.site.gateways)
        with self._locks[name]:
            self.site.signal(name, signal.SIGTERM)
            self.site.wait_end(name, 12)
            self._excuse(name, time.time())
            self._start(name)

    def pause_gateway(self, rng: random.Random) -> None:
        name = rng.choice(self.site.gateways)
        with self._locks[name]:
            since = time.time()
            self.site.signal(name, signal.SIGSTOP)
            time.sleep(rng.uniform(0.2, 3.0))
            self.site.signal(name, signal.SIGCONT)
            self._excuse(name, since)

    def _excuse(self, gateway: str, since: float) -> None:
        """A gateway ended or was suspended then, and goes on now: what it was told before does not
        count."""
        self.excuses.append(Excuse(self.site.ip(gateway), since, time.time()))

    def disturb_peers(self, rng: random.Random) -> None:
        """Disturb the way of other gateways to the second one, which may be a relay."""
        with self._locks["link"]:
            self.put_proxy_between()
            self.peer_link.set(rng.choice(("cut", "freeze", "lose_reply", "delay")), None, 0.4)
            time.sleep(rng.uniform(0.3, 4.0))
            self.peer_link.set("pass")

    def leave(self, rng: random.Random) -> None:
        """Let an upstream say that it leaves, and replace it some time later."""
        name = rng.choice((*ENGINES, *SERVICES))
        with self._locks[name]:
            self._say_leaving(name)
            time.sleep(rng.uniform(0.0, LEAVE_S))
            self._replace(name)

    def _say_leaving(self, name: str) -> Left:
        self.site.http.post(f"{self.site.url(name)}/_leave").raise_for_status()
        return Left(self.site.ids[name], time.time())

    def leave_in_calm(self) -> None:
        """After the storm, let an engine and a service leave one after the other."""
        time.sleep(CALM_S)
        for name in (ENGINES[0], SERVICES[0]):
            self.left.append(self._say_leaving(name))
            time.sleep(LEAVE_S + 2 * LEAVE_SLACK_S)

    def disturb_store(self, rng: random.Random) -> None:
        modes: list[dict[str, Any]] = [
            {"mode": "down"},
            {"mode": "frozen"},
            {"mode": "slow", "seconds": 0.3},
            {"mode": "lost_reply", "share": 0.5},
        ]
        with self._locks["store"]:
            self.site.fault("store", **rng.choice(modes))
            time.sleep(rng.uniform(0.3, 3.0))
            self.site.fault("store", mode="none")

    def disturb_link(self, rng: random.Random) -> None:
        """Disturb one gateway's way to the store; half the time a key goes meanwhile."""
        with self._locks["link"]:
            self.store_link.set(rng.choice(("cut", "freeze", "lose_reply", "delay")), None, 0.4)
            if rng.random() < 0.5:
                self.take_key_away(rng)
            time.sleep(rng.uniform(0.3, 5.0))
            self.store_link.set("pass")

    def silence_links(self, rng: random.Random) -> None:
        """What is open to the store and to the second gateway carries nothing any more."""
        with self._locks["link"]:
            for link in (*self.store_links.values(), self.peer_link):
                link.silence()

    def grow_on_thin_links(self, rng: random.Random) -> None:
        """Many routes come while the ways to the store are thin."""
        with self._locks["link"]:
            self._set_rate(THIN_BPS)
            self._configure(GROWN_ROUTES)
            time.sleep(rng.uniform(0.3, 3.0))
            self._set_rate(None)

    def _set_rate(self, rate: float | None) -> None:
        for link in self.store_links.values():
            link.rate = rate

    def _configure(self, routes: int, *prefixes: str) -> None:
        """Write a configuration with so many routes more, and with the keys in force."""
        many = [route(f"many-{i}", f"/many-{i}/", "idempotent", "web") for i in range(routes)]
        new = [route(prefix, prefix, "idempotent", "web") for prefix in prefixes]
        with self._locks["config"]:
            self.version += 1
            keys = KEYS if self.removed_at is None else {"kitchen": KEYS["kitchen"]}
            self.site.configure(config(self.version, keys, routes=[*many, *new]))

    def late_for_configuration(self) -> list[str]:
        """Gateways that a new route is not in force at in time, after the storm, where it comes
        with many others, the ways to the store are thin, and what was open went silent before."""
        self.silence_links(self.rngs[0])
        time.sleep(CALM_S)
        self._set_rate(THIN_BPS)
        self._configure(GROWN_ROUTES, NEW)
        until = clock.now() + APPLY_S + APPLY_SLACK_S
        late = set(self.site.gateways)
        while late and clock.now() < until:
            late -= {name for name in late if self.site.call(name, NEW).status == 200}
        self._set_rate(None)
        return [f"{name}: the new route is not in force" for name in sorted(late)]

    def run_fatal_requests(self) -> list[str]:
        """After the storm, a request that ends engines comes again and again at gateways that are
        killed, paused and stopped meanwhile; gives what went wrong."""
        return self._run_fatal(lambda: FATAL, {"ends_on": FATAL.decode()}, {}, MOST_FATAL_ENDS)

    def run_fatal_parts(self) -> list[str]:
        """The same with requests that are all different and share a part of their prompts."""
        parts = {names.PROMPT_PARTS.decode(): f"aa:30,{FATAL_PART}:30,own:40"}
        found = self._run_fatal(
            lambda: os.urandom(8).hex().encode(),
            {"ends_on_part": FATAL_PART},
            parts,
            MOST_FATAL_PART_ENDS,
        )
        sound = self.site.call(self.site.gateways[0], STREAM)
        if b'"fatal_request"' in sound.body:
            found.append("a sound request is refused as fatal")
        return found

    def _run_fatal(
        self,
        body: Callable[[], bytes],
        upstream_settings: dict[str, Any],
        headers: dict[str, str],
        most_ends: int,
    ) -> list[str]:
        rng = self.rngs[0]
        self.site.upstream_settings = upstream_settings
        for name in ENGINES:
            self._replace(name)

        def call(gateway: str) -> Given:
            return self.site.call(gateway, STREAM, body=body(), headers=headers, deadline_ms=2500)

        ends = 0
        for number in range(FATAL_CALLS):
            if number % 3 == 1:
                rng.choice((self.kill_gateway, self.pause_gateway, self.stop_gateway))(rng)
            call(rng.choice(self.site.gateways))
            time.sleep(rng.uniform(0.1, 0.6))
            ends += self._start_ended_engines()
        found = [
            f"{name}: a fatal request is not refused as such"
            for name in self.site.gateways
            if not self._refuses_fatal(lambda name=name: call(name))
        ]
        ends += self._start_ended_engines()
        if ends > most_ends:
            found.append(f"{ends} engines ended under {sorted(upstream_settings)}")
        return found

    def _refuses_fatal(self, call: Callable[[], Given]) -> bool:
        """Whether a gateway refuses a request, once it knows again what is in force."""
        deadline = clock.now() + RECOVERY_S
        while clock.now() < deadline:
            if b'"fatal_request"' in call().body:
                return True
            time.sleep(0.1)
        return False

    def _start_ended_engines(self) -> int:
        """Start engines that have ended, once their entries are gone; gives how many."""
        ended = [name for name in ENGINES if self.site.procs[name].poll() is not None]
        for name in ended:
            self.site.remove_entry(name)
            self.site.start_upstream(name, "lm", "v1")
        return len(ended)

    def upset_upstream(self, rng: random.Random) -> None:
        how: list[dict[str, Any]] = [
            {"cut_after": 2},
            {"hang": True},
            {"lose": True},
            {"refuse": True},
            {"status": 500},
            {"work_ms": 300},
            {"confidence": 10},
        ]
        name = rng.choice((*ENGINES, *SERVICES))
        with self._locks[name]:
            self.site.behave(name, **rng.choice(how))
            time.sleep(rng.uniform(0.3, 2.0))
            self.site.behave(name)

    def replace_upstream(self, rng: random.Random) -> None:
        name = rng.choice((*ENGINES, *SERVICES))
        with self._locks[name]:
            self._replace(name)

    def _replace(self, name: str, again: bool = False) -> None:
        """Kill an upstream and start another in its place, `again` under its id; its runs are
        read first."""
        self.kept_runs += self.site.runs(name)
        self.kept_arrivals += self.site.arrivals(name)
        self.site.signal(name, signal.SIGKILL)
        self.site.wait_end(name)
        self.site.start_upstream(name, "lm" if name in ENGINES else "web", "v1", again)

    def take_key_away(self, rng: random.Random) -> None:
        with self._locks["config"]:
            if self.removed_at is None:
                self.version += 1
                self.site.configure(config(self.version, {"kitchen": KEYS["kitchen"]}))
                self.removed_at = time.time()

    def bring_version_in(self, rng: random.Random) -> None:
        self.site.rollout("v2", 4)

    def late_for_leaving(self) -> list[str]:
        """Upstreams that were given work too long after they said that they leave."""
        runs = self.kept_runs + self.site.runs(*ENGINES, *SERVICES)
        found = []
        for left in self.left:
            last = max((r["at"] for r in runs if r["upstream"] == left.upstream), default=0.0)
            if last - left.at > LEAVE_S + LEAVE_SLACK_S:
                found.append(f"{left.upstream}: given work {last - left.at:.2f} s after leaving")
        return found

    def owed_to_upstreams(self) -> list[str]:
        """What upstreams told of themselves that gateways did not keep to."""
        arrivals = self.kept_arrivals + self.site.arrivals(*ENGINES, *SERVICES)
        found = over_limit(arrivals, self.excuses)
        found += during_rest(arrivals, self.excuses)
        found += after_leaving(arrivals, LEAVE_S, self.excuses)
        if found:
            (self.site.folder / "arrivals.json").write_text(json.dumps(arrivals))
        return found

    def faults_of(self, asked: list[Asked]) -> list[str]:
        """Promises that were broken."""
        runs = self.kept_runs + self.site.runs(*ENGINES, *SERVICES)
        by_attempt: dict[str, list[dict[str, Any]]] = {}
        for run in runs:
            by_attempt.setdefault(run["attempt_id"], []).append(run)
        found = []
        for one in asked:
            found += self._broken(one, by_attempt.get(one.attempt, []))
        return found

    def _broken(self, one: Asked, runs: list[dict[str, Any]]) -> list[str]:
        found = []
        if one.prefix == ONCE and len(runs) > 1:
            found.append(f"{one.attempt}: ran {len(runs)} times")
        if one.prefix == ONCE and one.got.status in NOT_RUN and runs:
            found.append(f"{one.attempt}: told {one.got.status}, and ran")
        if any(run["workspace"] != one.workspace or run["key_seen"] for run in runs):
            found.append(f"{one.attempt}: workspace or key wrong")
        late = self.removed_at is not None and one.at > self.removed_at + WITHDRAWAL_S
        if late and one.workspace == "toll" and runs:
            found.append(f"{one.attempt}: ran with a key that was taken away")
        if one.got.status == 200 and one.prefix == STREAM and one.got.events != [1, 2, 3, 4, 5]:
            found.append(f"{one.attempt}: events {one.got.events}")
        if one.got.status == 200 and one.prefix != STREAM and b"nonce" not in one.got.body:
            found.append(f"{one.attempt}: body not whole")
        return found

    def recovers(self) -> bool:
        """Whether every gateway serves again."""
        deadline = clock.now() + RECOVERY_S
        for name in self.site.gateways:
            while self.site.call(name, STREAM).status != 200:
                if clock.now() > deadline:
                    return False
                time.sleep(0.1)
        return True


def soak(
    folder: Path, seed: int, duration_s: float, further: Collection[str] = FURTHER
) -> list[str]:
    """Play a seed; gives the promises that were broken."""
    played = Soak(folder, seed, further)
    try:
        callers = Callers(played.site)
        played.play(clock.now() + duration_s)
        recovered = played.recovers()
        late = played.late_for_configuration()
        played.leave_in_calm()
        fatal = played.run_fatal_requests() if "entries" in further else []
        fatal += played.run_fatal_parts() if "unframed" in further else []
        callers.end()
        found = late + fatal + played.faults_of(callers.asked) + played.late_for_leaving()
        found += played.owed_to_upstreams()
        if not recovered:
            found.append(f"not served again in {RECOVERY_S:g} s")
        served = sum(1 for one in callers.asked if one.got.status == 200)
        print(f"seed {seed}: {served} of {len(callers.asked)} served; {', '.join(played.done)}")
        return found + audited(folder)
    finally:
        played.site.stop()


def audited(folder: Path) -> list[str]:
    """Promises that were broken by the gateways' own log lines."""
    paths = sorted(str(path) for path in folder.glob("gateway-*.log"))
    checks = audit(paths, max_clock_skew_s=0.0).checks
    return [
        format_finding(finding)
        for check in checks
        for finding in check.findings
        if finding.verdict == "broken"
    ]


def main() -> int:
    """Play the seeds that the arguments name, or one drawn now."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, nargs="*", default=[])
    parser.add_argument("--duration-s", type=float, default=12.0)
    parser.add_argument("--keep", type=Path, help="folder for logs")
    args = parser.parse_args()
    return play_seeds(
        args.seeds, "soak", lambda folder, seed: soak(folder, seed, args.duration_s), args.keep
    )


def play_seeds(
    seeds: list[int],
    name: str,
    play: Callable[[Path, int], list[str]],
    keep: Path | None = None,
) -> int:
    """Play seeds, or one drawn now; prints the promises that were broken, and gives the exit code.

    Each seed gets a folder for its logs, within `keep` if that is given.
    """
    failed = 0
    for seed in seeds or [int.from_bytes(os.urandom(3))]:
        folder = Path(tempfile.mkdtemp(prefix=f"{name}-{seed}-", dir=keep))
        try:
            found = play(folder, seed)
        except (AssertionError, httpx.HTTPError) as exc:
            found = [f"{type(exc).__name__}: {exc}"]
        for line in found:
            print(f"seed {seed}: BROKEN {line}; logs in {folder}", flush=True)
        failed += bool(found)
    print(f"{len(seeds or [0]) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
