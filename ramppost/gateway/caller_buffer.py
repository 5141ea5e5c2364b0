"""Buffers what callers have not taken yet, so that upstreams are read on while callers pause.

Data goes straight to the socket while it accepts all of it.  The rest is buffered and sent by a
writer task, which ends when the buffer is empty.  The buffers of all responses share one limit;
when it is reached, `ramppost.policy.slow_callers` names the responses to abort.

A response with a full buffer is not aborted: its upstream is not read until the caller has taken
half of the buffer.  A response may be larger than any buffer, and its caller may be slow without
being stuck.

    buffer = CallerBuffer(sock, buffers)
    await buffer.write(data)          # returns at once
    await buffer.wait_until_sent()    # returns when the socket has accepted everything
"""

from __future__ import annotations

import socket
import struct
from typing import Any, Final

import curio
from curio.traps import _write_wait
from loguru import logger

from ramppost import clock
from ramppost.gateway.links import READ_SIZE
from ramppost.gateway.metrics import Metrics
from ramppost.policy.slow_callers import MOST_URGENT, BufferedResponse, responses_to_abort
from ramppost.wire.server import ClientDisconnected

BYTES_PER_MB: Final = 1024 * 1024
DEFAULT_LIMIT_MB: Final = 16
MAX_RESPONSE_BYTES: Final = 262144
"""Limit of the buffer of one response.  Only a single larger write exceeds it, such as the first
one of a large response, which was read up to this size before."""
FULL_BYTES: Final = MAX_RESPONSE_BYTES - READ_SIZE
"""From this size on, the upstream is not read, since one read may bring `READ_SIZE` more."""
RESUME_BYTES: Final = MAX_RESPONSE_BYTES // 2
"""Reading resumes at half of the limit, so that it does not stop again after each packet."""
SEND_SIZE: Final = 65536
TCP_NOTSENT_LOWAT: Final = 25
"""The Linux option; Python names it from version 3.12 on."""
MAX_UNSENT_BYTES: Final = 65536
"""Bytes that the kernel accepts for a caller beyond what is in flight.  Without this limit it
accepts some megabytes for each, which count as memory of the box but not as a buffer."""
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)


class CallerBuffers:
    """The buffers of all responses of a gateway, and their common limit."""

    def __init__(self, metrics: Metrics) -> None:
        self.limit_bytes = DEFAULT_LIMIT_MB * BYTES_PER_MB
        self.total_bytes = 0
        self.assembled_bytes = 0
        """Bytes of responses of which nothing was sent yet."""
        self._metrics = metrics
        self._filled: set[CallerBuffer] = set()

    def reserve(self, buffer: CallerBuffer, count: int) -> None:
        """Add bytes to a buffer's size; cuts responses, perhaps this one, to keep the limit."""
        buffer.size += count
        self.total_bytes += count
        self._filled.add(buffer)
        excess_bytes = self.total_bytes - self.limit_bytes
        if excess_bytes <= 0:
            return
        buffered = [(other, BufferedResponse(other.rank, other.size)) for other in self._filled]
        for slow in responses_to_abort(buffered, excess_bytes):
            self._metrics.count("ramppost_slow_callers_cut_total")
            slow.cut()

    def free(self, buffer: CallerBuffer, count: int) -> None:
        """Subtract bytes that were sent or dropped."""
        buffer.size -= count
        self.total_bytes -= count
        if not buffer.size:
            self._filled.discard(buffer)


class Assembly:
    """A response that is read completely before any of it is sent, so that it can be retried.

    All of them together have the same limit as the buffers, so that many large responses at once do
    not exceed the memory of the box.
    """

    def __init__(self, buffers: CallerBuffers) -> None:
        self._buffers = buffers
        self._data = bytearray()

    def add(self, chunk: bytes) -> None:
        """Append the next bytes."""
        self._data += chunk
        self._buffers.assembled_bytes += len(chunk)

    @property
    def is_too_large(self) -> bool:
        """Whether the response must be forwarded before it is complete."""
        is_over = self._buffers.assembled_bytes > self._buffers.limit_bytes
        return is_over or len(self._data) > MAX_RESPONSE_BYTES

    def take(self) -> bytes:
        """Return what was appended, and drop it."""
        data = bytes(self._data)
        self._buffers.assembled_bytes -= len(data)
        self._data.clear()
        return data


class CallerBuffer:
    """What the caller of one response has not taken yet.

    `rank` tells how urgent the response is; `was_cut` whether it was aborted to keep the limit.
    """

    def __init__(self, sock: Any, buffers: CallerBuffers) -> None:
        self._sock = sock
        self._buffers = buffers
        self.assembly = Assembly(buffers)
        self._data = bytearray()
        self._writer: Any = None
        self._writing = False
        self._ended = False
        self._awaited_size = -1
        self._reached = curio.Event()
        self.size = 0
        """Bytes that are buffered, in step with the total of all buffers."""
        self.rank = MOST_URGENT
        self.was_cut = False
        self.was_full = False
        """Whether the upstream ever had to wait for the caller."""
        self.waited_s = 0.0
        """For how long it had to, in seconds."""

    @property
    def is_sent(self) -> bool:
        """Whether the socket has accepted everything."""
        return not self.size and not self._ended

    @property
    def is_full(self) -> bool:
        """Whether the upstream must not be read until the caller has taken some."""
        return self.size >= FULL_BYTES

    async def write(self, data: bytes) -> None:
        """Send data, or buffer what the socket does not accept now.

        Raises ClientDisconnected if the caller has gone or the response was cut.
        """
        if self._ended:
            raise ClientDisconnected
        sent = 0 if self._writing else self._send(data)
        if sent == len(data):
            return
        self._buffers.reserve(self, len(data) - sent)
        if self._ended:
            raise ClientDisconnected
        with memoryview(data) as view:
            self._data += view[sent:]
        if not self._writing:
            self._writing = True
            self._writer = await curio.spawn(self._send_buffered, daemon=True)

    async def wait_for_room(self) -> float:
        """Wait until the upstream may be read again; returns the seconds that took."""
        began_at = clock.now()
        self.was_full = True
        try:
            await self._wait_for_size(RESUME_BYTES)
        finally:
            self.waited_s += clock.now() - began_at
        return clock.now() - began_at

    async def wait_until_sent(self) -> None:
        """Wait until the socket has accepted everything.

        Raises ClientDisconnected if the caller leaves before.
        """
        if not self.is_sent:
            await self._wait_for_size(0)

    async def close(self) -> None:
        """Drop what is buffered and end the writer."""
        self._end()
        if self._writing:
            await self._writer.cancel()

    def cut(self) -> None:
        """Abort the response.

        The task that watches for the caller's disconnect finds the connection closed and cancels
        the request.  The connection ends with a reset, which also frees what the kernel holds and
        shows a caller without chunked framing that the response is incomplete.
        """
        self.was_cut = True
        self._end()
        try:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self._sock._socket.shutdown(socket.SHUT_RD)
        except OSError as exc:
            logger.debug("connection already closed before the cut: {!r}", exc)

    def _end(self) -> None:
        self._ended = True
        self._buffers.free(self, self.size)
        self._data = bytearray()

    def _send(self, data: bytes | memoryview) -> int:
        """Send what the socket accepts now; returns the number of bytes."""
        try:
            return int(self._sock._socket.send(data))
        except BlockingIOError:
            return 0
        except OSError as exc:
            raise ClientDisconnected from exc

    async def _send_buffered(self) -> None:
        try:
            while self.size:
                await _write_wait(self._sock.fileno())
                self._send_next()
                if self.size <= self._awaited_size:
                    await self._reached.set()
        except ClientDisconnected as exc:
            logger.debug("caller left with bytes to be sent: {!r}", exc.__cause__)
            self._end()
            await self._reached.set()
        finally:
            self._writing = False

    def _send_next(self) -> None:
        with memoryview(self._data) as view, view[:SEND_SIZE] as part:
            sent = self._send(part)
        del self._data[:sent]
        self._buffers.free(self, sent)

    async def _wait_for_size(self, size: int) -> None:
        """Wait until at most `size` bytes are buffered."""
        self._awaited_size = size
        while self.size > size:
            self._reached.clear()
            await self._reached.wait()
        self._awaited_size = -1
        if self._ended:
            raise ClientDisconnected


def limit_unsent(sock: Any) -> None:
    """Let the kernel accept little more for a caller than it can send now."""
    sock.setsockopt(socket.IPPROTO_TCP, TCP_NOTSENT_LOWAT, MAX_UNSENT_BYTES)
