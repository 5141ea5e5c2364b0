"""Names of processes and requests.

An incarnation is `ip:port#boot`, new at each start, so that a message meant for
a former process at an address is recognised.  An agent's ticket adds an epoch,
`ip:port#boot.epoch`; it is valid for the epoch it names and the one after, which
bounds how late a delayed message can still be admitted.
"""

from __future__ import annotations

import secrets
from typing import NamedTuple


class Ticket(NamedTuple):
    """An agent's incarnation and epoch."""

    incarnation: str
    epoch: int


def new_id(prefix: str) -> str:
    """A fresh random id, such as `req-5f0c…`."""
    return f"{prefix}-{secrets.token_hex(10)}"


def new_request_id(revision: int) -> str:
    """A fresh id of a request that came in at a configuration revision, `req-<rev>-<random>`."""
    return new_id(f"req-{revision}")


def revision_of(request: str) -> int:
    """The revision within a request id, 0 where it has none."""
    found = request.split("-")
    return int(found[1]) if len(found) == 3 and found[1].isdigit() else 0


def new_incarnation(addr: str) -> str:
    """A fresh incarnation of the process at an address, `ip:port`."""
    return f"{addr}#{secrets.token_hex(6)}"


def address(name: str) -> str:
    """The address within an incarnation or ticket."""
    return name.partition("#")[0]


def format_ticket(name: str, epoch: int) -> str:
    """A ticket as text."""
    return f"{name}.{epoch}"


def parse_ticket(text: str) -> Ticket:
    """A ticket from text; epoch -1, never valid, where it is malformed."""
    name, _, epoch = text.rpartition(".")
    return Ticket(name, int(epoch)) if epoch.isdigit() and "#" in name else Ticket(text, -1)
