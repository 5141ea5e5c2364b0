"""Callers that take their responses slowly: pure decisions, buffers over socket pairs, and real
gateways between callers that pause and upstreams that abort what is not read."""

from __future__ import annotations

import contextlib
import os
import random
import re
import socket
import threading
import time
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any, Final

import curio
import h11
import pytest

from ramppost import clock
from ramppost.gateway.caller_buffer import (
    FULL_BYTES,
    MAX_RESPONSE_BYTES,
    CallerBuffer,
    CallerBuffers,
)
from ramppost.gateway.metrics import Metrics
from ramppost.platform import names
from ramppost.policy.slow_callers import BufferedResponse, responses_to_abort
from ramppost.wire.server import ClientDisconnected
from tests.harness.gateways import HOST, KEYS, SITE, Deployment, config, route
from tests.harness.scripted import Peer, own_lines, read_request

GATEWAY: Final = "gateway-1"
TALE, LARGE = "/tale/", "/large/"
EVENT_BYTES: Final = 1000
UNREAD_TIMEOUT_S: Final = 1.0
"""How long the upstreams of these tests wait until a piece is read."""
PAUSE_S: Final = 5.0
SMALL_BUFFER: Final = 8192
LARGE_BUFFER: Final = 65536
CUTS: Final = "ramppost_slow_callers_cut_total"
BUFFERED: Final = "ramppost_caller_buffer_bytes"


# --- the decision


def test_less_urgent_response_is_aborted_before_a_larger_one() -> None:
    """A large urgent response was aborted for a small one that is less urgent."""
    buffered = [
        ("urgent", BufferedResponse((0, 0), 900)),
        ("route", BufferedResponse((0, 1), 10)),
        ("workspace", BufferedResponse((1, 0), 20)),
    ]
    assert responses_to_abort(buffered, 25) == ["workspace", "route"]


def test_no_more_responses_are_aborted_than_needed() -> None:
    """Aborting all but the freed excess would cut callers without need."""
    rng = random.Random(5)
    buffered = [
        (i, BufferedResponse((rng.randrange(3), rng.randrange(3)), rng.randrange(1, 500)))
        for i in range(300)
    ]
    sizes = {key: response.size for key, response in buffered}
    for excess in (1, 1000, 20000):
        aborted = responses_to_abort(buffered, excess)
        freed = sum(sizes[key] for key in aborted)
        assert freed >= excess > freed - sizes[aborted[-1]]


# --- buffers


Pair = tuple[CallerBuffer, socket.socket]


def run_with_pairs(
    count: int, limit_bytes: int, play: Callable[[CallerBuffers, list[Pair]], Awaitable[None]]
) -> Metrics:
    """Run a scenario with buffers, each before a socket that the scenario reads."""
    metrics = Metrics()
    buffers = CallerBuffers(metrics)
    buffers.limit_bytes = limit_bytes

    async def played() -> None:
        pairs = []
        for _ in range(count):
            near, far = socket.socketpair()
            near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)
            near.setblocking(False)
            far.setblocking(False)
            pairs.append((CallerBuffer(curio.io.Socket(near), buffers), far))
        await curio.timeout_after(20, play(buffers, pairs))
        for buffer, far in pairs:
            await buffer.close()
            await buffer._sock.close()
            far.close()
        assert buffers.total_bytes == 0

    curio.run(played)
    return metrics


async def read_available(far: socket.socket) -> bytes:
    """Read until nothing has arrived for some turns of the other tasks."""
    found, empty = b"", 0
    while empty < 3:
        try:
            found += far.recv(1 << 20)
            empty = 0
        except BlockingIOError:
            empty += 1
        await curio.sleep(0.001)
    return found


def test_prompt_caller_needs_no_buffer() -> None:
    """A buffer or a task for each response would cost the usual path."""

    async def play(buffers: CallerBuffers, pairs: list[Pair]) -> None:
        ((buffer, far),) = pairs
        for number in range(1000):
            data = b"event %d" % number
            await buffer.write(data)
            assert far.recv(100) == data
            assert buffers.total_bytes == 0
            assert buffer._writer is None
        await buffer.wait_until_sent()

    run_with_pairs(1, 1, play)


def test_bytes_arrive_whole_and_in_order_after_a_pause() -> None:
    """Bytes sent past the buffer would overtake buffered ones."""
    rng = random.Random(3)
    sent = b"".join(b"%d," % number for number in range(60000))

    async def play(buffers: CallerBuffers, pairs: list[Pair]) -> None:
        ((buffer, far),) = pairs
        found, at = b"", 0
        while at < len(sent):
            step = rng.randrange(1, 4000)
            await buffer.write(sent[at : at + step])
            at += step
            if buffer.is_full or rng.random() < 0.05:
                found += await read_available(far)
        found += await read_available(far)
        await buffer.wait_until_sent()
        assert found == sent

    run_with_pairs(1, MAX_RESPONSE_BYTES, play)


def test_full_buffer_waits_until_half_is_taken() -> None:
    """Without a wait the response would outgrow its limit."""

    async def play(buffers: CallerBuffers, pairs: list[Pair]) -> None:
        ((buffer, far),) = pairs
        while not buffer.is_full:
            await buffer.write(bytes(1000))
        assert buffer.size < FULL_BYTES + 1000
        waiting = await curio.spawn(buffer.wait_for_room)
        await curio.sleep(0.01)
        assert not waiting.terminated
        await read_available(far)
        assert await waiting.join() > 0

    run_with_pairs(1, MAX_RESPONSE_BYTES, play)


def test_200_slow_callers_stay_within_the_limit() -> None:
    """Slow callers together must not use up the memory of a box, nor cost urgent responses."""
    limit = 1 << 20

    async def play(buffers: CallerBuffers, pairs: list[Pair]) -> None:
        for number, (buffer, _) in enumerate(pairs):
            buffer.rank = (0, number % 10)
        for _ in range(60):
            for buffer, _ in pairs:
                if not buffer.was_cut:
                    with contextlib.suppress(ClientDisconnected):
                        await buffer.write(bytes(2000))
                assert buffers.total_bytes <= limit
        kept = [buffer.rank[1] for buffer, _ in pairs if not buffer.was_cut]
        cut = [buffer.rank[1] for buffer, _ in pairs if buffer.was_cut]
        assert kept and max(kept) <= min(cut)
        assert buffers.total_bytes > limit // 2

    metrics = run_with_pairs(200, limit, play)
    assert metrics.counters[CUTS, ()] > 100


# --- real gateways


class Caller:
    """A caller on a connection that holds little, which reads when it is told to."""

    def __init__(self, site: Deployment, prefix: str, deadline_ms: int = 20000) -> None:
        self.conn = h11.Connection(h11.CLIENT)
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        self.sock.settimeout(15)
        self.sock.connect((HOST, site.port(GATEWAY)))
        self.attempt = os.urandom(8).hex()
        head = [
            ("Host", SITE),
            (names.ATTEMPT_ID.decode(), self.attempt),
            (names.DEADLINE_MS.decode(), str(deadline_ms)),
            (names.API_KEY.decode(), KEYS["kitchen"]),
        ]
        self.sock.sendall(
            (self.conn.send(h11.Request(method="GET", target=f"{prefix}x", headers=head)) or b"")
            + (self.conn.send(h11.EndOfMessage()) or b"")
        )
        self.body = bytearray()

    def read(self, least: int = 1 << 40) -> bool:
        """Read so many bytes of the body, or all; whether the response is complete."""
        while len(self.body) < least:
            try:
                event: Any = self.conn.next_event()
                if event is h11.NEED_DATA:
                    self.conn.receive_data(self.sock.recv(65536))
                elif isinstance(event, h11.Data):
                    self.body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    return True
            except (h11.RemoteProtocolError, ConnectionResetError):
                return False
        return False

    @property
    def events(self) -> list[int]:
        """Ids of the events that were read."""
        return [int(found) for found in re.findall(rb"id: (\d+)\n", self.body)]

    def close(self) -> None:
        self.sock.close()


class Upstream:
    """An upstream that sends a response as fast as it is read, and aborts one that is not."""

    def __init__(
        self,
        events: int,
        large_bytes: int = 0,
        break_after: int = 0,
        send_buffer: int = SMALL_BUFFER,
    ) -> None:
        self.send_buffer = send_buffer
        self.events = events
        self.large_bytes = large_bytes
        self.break_after = break_after
        self.requests = 0
        self.aborted = 0
        self.after: list[int] = []
        self.finished_at: list[float] = []
        self.peer = Peer(self._serve)

    def _serve(self, conn: socket.socket, _: int) -> None:
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, self.send_buffer)
        conn.settimeout(30)
        while request := read_request(conn):
            self.requests += 1
            pattern = rb"(?i)" + names.LAST_EVENT_ID + rb": (\d+)"
            found = re.search(pattern, request)
            after = int(found[1]) if found else 0
            self.after.append(after)
            conn.settimeout(UNREAD_TIMEOUT_S)
            try:
                self._respond(conn, after, own_lines(request))
            except TimeoutError:
                self.aborted += 1
                return
            finally:
                self.finished_at.append(clock.now())
            conn.settimeout(30)

    def _respond(self, conn: socket.socket, after: int, own: bytes) -> None:
        head = b"HTTP/1.1 200 OK\r\n" + own
        if self.large_bytes:
            conn.sendall(head + b"Content-Length: %d\r\n\r\n" % self.large_bytes)
            for _ in range(self.large_bytes // EVENT_BYTES):
                conn.sendall(bytes(EVENT_BYTES))
            return
        conn.sendall(head + b"Transfer-Encoding: chunked\r\n\r\n")
        for number in range(after + 1, self.events + 1):
            if self.break_after and number > self.break_after:
                raise TimeoutError
            event = b"id: %d\ndata: " % number
            event += b"x" * (EVENT_BYTES - len(event) - 2) + b"\n\n"
            conn.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        conn.sendall(b"0\r\n\r\n")


@pytest.fixture(scope="module")
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    folder = tmp_path_factory.mktemp("slow")
    found = Deployment(folder, gateways=1, engines=1, services=1, limits={"caller_buffer_mb": 8})
    routes = [
        route("tale", TALE, "streaming", "tale", stream_resume=True, timeout_ms=30000),
        route("large", LARGE, "idempotent", "large", timeout_ms=30000),
    ]
    doc = config(2, routes=routes)
    doc["services"] += [{"name": name, "max_conns": 300} for name in ("tale", "large")]
    found.configure(doc)
    yield found
    found.stop()


@pytest.fixture
def enter(site: Deployment) -> Iterator[Callable[..., Upstream]]:
    """Enters upstreams, which are removed after the test."""
    entered: list[tuple[str, Upstream]] = []

    def start(service: str, *args: int, **more: int) -> Upstream:
        upstream = Upstream(*args, **more)
        entered.append((f"{service}-{os.urandom(3).hex()}", upstream))
        site.put_entry(entered[-1][0], service, upstream.peer.addr)
        time.sleep(0.3)
        return upstream

    yield start
    for name, upstream in entered:
        site.remove_entry(name)
        upstream.peer.close()
    time.sleep(0.3)


def metric(site: Deployment, name: str) -> float:
    """A metric of the gateway; 0 if it has none yet."""
    text = site.http.get(site.metrics_url(GATEWAY)).text
    found = re.search(rf"^{name}(?:{{}})? ([\d.e+]+)", text, re.MULTILINE)
    return float(found[1]) if found else 0.0


def lines_of(site: Deployment, caller: Caller, ending: str = "") -> list[dict[str, Any]]:
    """Log lines about a caller's request, once it has an outcome; those that begin so."""

    def found() -> list[dict[str, Any]]:
        return [line for line in site.lines(GATEWAY) if line.get("request") == caller.attempt]

    site.until(lambda: any("took_s" in line and "route" in line for line in found()), 5)
    return [line for line in found() if line["message"].startswith(ending)]


def test_caller_that_pauses_gets_the_rest_of_its_stream(
    site: Deployment, enter: Callable[..., Upstream]
) -> None:
    """The upstream aborted a response left unread, and the stream was run again elsewhere."""
    upstream, other = enter("tale", 300), enter("tale", 300)
    caller = Caller(site, TALE)
    caller.read(1)
    paused_at = clock.now()
    time.sleep(PAUSE_S)
    assert caller.read()
    assert caller.events == list(range(1, 301))
    assert (upstream.requests + other.requests, upstream.aborted + other.aborted) == (1, 0)
    assert (upstream.finished_at + other.finished_at)[0] < paused_at + 1
    assert not lines_of(site, caller, "answer broke off")
    assert lines_of(site, caller, "served")[0]["attempts"] == 1


def test_upstream_is_free_while_its_response_is_delivered(
    site: Deployment, enter: Callable[..., Upstream]
) -> None:
    """A connection held for a slow caller would be opened anew by the next request."""
    upstream = enter("tale", 150)
    slow, prompt = Caller(site, TALE), Caller(site, TALE)
    slow.read(1)
    assert prompt.read()
    site.until(lambda: len(upstream.finished_at) == 2, 2)
    third = Caller(site, TALE)
    assert third.read()
    assert upstream.peer.accepted == 2
    assert slow.read()


def test_upstream_left_unread_is_not_counted_as_failed(
    site: Deployment, enter: Callable[..., Upstream]
) -> None:
    """A stream larger than the buffer is resumed once its caller reads on; nobody failed."""
    upstream = enter("tale", 12000, send_buffer=LARGE_BUFFER)
    other = enter("tale", 12000, send_buffer=LARGE_BUFFER)
    caller = Caller(site, TALE)
    caller.read(1)
    time.sleep(3 * UNREAD_TIMEOUT_S)
    assert caller.read()
    assert caller.events == list(range(1, 12001))
    assert upstream.aborted + other.aborted == 1
    assert [line["left_unread"] for line in lines_of(site, caller, "answer broke off")] == [True]


def test_stream_that_breaks_off_is_resumed_after_its_buffered_events(
    site: Deployment, enter: Callable[..., Upstream]
) -> None:
    """Events in the buffer would be sent twice, or be lost with their upstream."""
    upstream, other = enter("tale", 240, break_after=120), enter("tale", 240, break_after=120)
    caller = Caller(site, TALE)
    caller.read(1)
    site.until(lambda: len(upstream.after + other.after) == 2, 5)
    time.sleep(0.5)
    upstream.break_after = other.break_after = 0
    caller.read()
    assert caller.events[:120] == list(range(1, 121))
    assert caller.events == list(range(1, len(caller.events) + 1))
    assert sorted(upstream.after + other.after)[:2] == [0, 120]


def test_upstream_is_released_at_once_when_a_slow_caller_leaves(
    site: Deployment, enter: Callable[..., Upstream]
) -> None:
    """An upstream would run on for nobody, and the buffer would stay taken."""
    upstream = enter("tale", 100000)
    caller = Caller(site, TALE)
    caller.read(1)
    site.until(lambda: metric(site, BUFFERED) > 0, 2)
    caller.close()
    left_at = clock.now()
    site.until(lambda: bool(upstream.finished_at), 2)
    assert upstream.finished_at[0] - left_at < 0.5
    assert lines_of(site, caller, "caller left")
    site.until(lambda: metric(site, BUFFERED) == 0, 1)


def test_rest_that_is_not_read_by_the_deadline_is_seen_as_missing(
    site: Deployment, enter: Callable[..., Upstream]
) -> None:
    """A response whose rest was dropped must not look complete."""
    enter("tale", 250)
    caller = Caller(site, TALE, deadline_ms=1500)
    caller.read(1)
    time.sleep(2)
    assert not caller.read()
    assert len(caller.events) < 250
    assert lines_of(site, caller, "broken off: the caller did not read the rest in time")


def test_memory_stays_bounded_with_200_callers_that_pause(
    site: Deployment, enter: Callable[..., Upstream]
) -> None:
    """Large responses of slow callers, 60 MB in all, must share the limit of 8 MB."""
    upstream = enter("large", 0, large_bytes=300_000)
    before_kb, cuts_before = peak_kb(site), metric(site, CUTS)
    callers = [Caller(site, LARGE) for _ in range(200)]
    buffered = []
    paused_until = clock.now() + PAUSE_S
    while clock.now() < paused_until:
        buffered.append(metric(site, BUFFERED))
        time.sleep(0.1)
    assert 4 << 20 < max(buffered) <= 8 << 20
    complete = read_all(callers)
    cut = metric(site, CUTS) - cuts_before
    print(f"{sum(complete)} complete, {cut:g} cut, peak {before_kb} to {peak_kb(site)} kB")
    assert sum(complete) + cut == 200
    assert sum(complete) >= 20
    assert upstream.requests <= 200
    assert peak_kb(site) - before_kb < 40 * 1024
    cut_caller = callers[complete.index(False)]
    assert lines_of(site, cut_caller, "caller too slow")
    assert not lines_of(site, cut_caller, "answer broke off")


def read_all(callers: list[Caller]) -> list[bool]:
    """Read all responses at once; which are complete."""
    complete = [False] * len(callers)

    def read(number: int) -> None:
        complete[number] = callers[number].read()

    threads = [threading.Thread(target=read, args=(i,)) for i in range(len(callers))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return complete


def peak_kb(site: Deployment) -> int:
    """Peak resident memory of the gateway."""
    status = Path(f"/proc/{site.procs[GATEWAY].pid}/status").read_text()
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    assert found is not None
    return int(found[1])
