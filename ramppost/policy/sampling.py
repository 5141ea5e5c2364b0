"""What a bad version may get.  Pure."""

from __future__ import annotations

from typing import NamedTuple


class Exposure(NamedTuple):
    """What a bad version may get: a share of the requests of its service, and `slack` more."""

    share: float
    slack: float
