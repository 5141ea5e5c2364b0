"""Identifiers of processes and requests.

An incarnation, `ip:port#boot`, identifies one run of a process.  It changes at each start, so
that a message addressed to an earlier process at the same address is detected.  An agent's
ticket adds an epoch: `ip:port#boot.epoch`.  It is valid during that epoch and the next one,
which bounds how late a delayed message can still be admitted.
"""

from __future__ import annotations

import secrets
from typing import NamedTuple

from ramppost.wire.digits import parse_digits


class Ticket(NamedTuple):
    """The incarnation and epoch in an agent's ticket."""

    incarnation: str
    epoch: int


def new_id(prefix: str) -> str:
    """Return a new random id, such as `req-5f0c…`."""
    return f"{prefix}-{secrets.token_hex(10)}"


def new_request_id(revision: int) -> str:
    """Return a new id, `req-<rev>-<random>`, for a request received at a configuration revision."""
    return new_id(f"req-{revision}")


def revision_of(request_id: str) -> int:
    """Return the configuration revision in a request id, or 0 if it has none."""
    parts = request_id.split("-")
    return (parse_digits(parts[1]) or 0) if len(parts) == 3 else 0


def new_incarnation(addr: str) -> str:
    """Return a new incarnation for the process at an address `ip:port`."""
    return f"{addr}#{secrets.token_hex(6)}"


def address(name: str) -> str:
    """Return the address in an incarnation or ticket."""
    return name.partition("#")[0]


def format_ticket(incarnation: str, epoch: int) -> str:
    """Return the text form of a ticket."""
    return f"{incarnation}.{epoch}"


def parse_ticket(text: str) -> Ticket:
    """Parse a ticket; a malformed one gets epoch -1, which is never valid."""
    incarnation, _, digits = text.rpartition(".")
    epoch = parse_digits(digits)
    if epoch is None or "#" not in incarnation:
        return Ticket(text, -1)
    return Ticket(incarnation, epoch)
