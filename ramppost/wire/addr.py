"""Network addresses in settings and documents: an IPv4 address and a port."""

from __future__ import annotations

import socket
from typing import Final

from ramppost.wire.digits import parse_digits

MAX_PORT: Final = 65535
MAX_PORT_DIGITS: Final = 5


def is_address(text: str) -> bool:
    """Whether a text is an IPv4 address with a port that can be connected to.

    >>> is_address("10.0.0.1:80")
    True
    >>> [is_address(text) for text in ("nowhere", "10.0.0.1:", "10.0.0:80", "10.0.0.1:0")]
    [False, False, False, False]
    """
    host, _, digits = text.rpartition(":")
    port = parse_digits(digits, MAX_PORT_DIGITS)
    if port is None:
        return False
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        return False
    return 0 < port <= MAX_PORT
