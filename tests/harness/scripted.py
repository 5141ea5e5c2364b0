"""A peer on a socket that follows a script, for upstreams that no stand-in is like."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Callable

from ramppost.platform import names

HOST = "127.0.0.1"
Script = Callable[[socket.socket, int], None]
"""What is done with a connection, given its number from 0."""


class Peer:
    """Accepts connections; each is served by the script, with its number from 0.

    `receive_bytes` is the size of the receive buffer; 0 leaves it to the system.
    """

    def __init__(self, script: Script, receive_bytes: int = 0) -> None:
        self._sock = socket.create_server((HOST, 0))
        if receive_bytes:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self.addr = f"{HOST}:{self._sock.getsockname()[1]}"
        self.accepted = 0
        self._script = script
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        while True:
            try:
                conn, _ = self._sock.accept()
            except OSError:
                return
            number, self.accepted = self.accepted, self.accepted + 1
            threading.Thread(target=self._play, args=(conn, number), daemon=True).start()

    def _play(self, conn: socket.socket, number: int) -> None:
        with contextlib.suppress(OSError):
            self._script(conn, number)

    def close(self) -> None:
        """Refuse connections from now on; closed alone, the socket is kept by who accepts."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()


def read_request(conn: socket.socket) -> bytes:
    """A request up to the end of its head."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = conn.recv(65536)
        if not piece:
            return data
        data += piece
    return data


def own_lines(request: bytes) -> bytes:
    """The lines that the head of every answer to a request has: its id, and a signature."""
    lines = request.split(b"\r\n")
    own = next(line for line in lines if line.lower().startswith(names.ATTEMPT_ID + b":"))
    return own + b"\r\n" + names.SIGNATURE + b": s\r\n"


def reset(conn: socket.socket) -> None:
    """Close with a reset."""
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    conn.close()
