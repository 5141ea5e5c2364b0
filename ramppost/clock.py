"""The steady clock of this product, from which every age, lease and deadline is taken.

`time.monotonic` stands while a box is suspended, on Linux: what was known before would seem as
fresh as then, though keys were taken away and upstreams left meanwhile.  This one goes on.  Neither
jumps, as the time of day does.
"""

from __future__ import annotations

import time
from typing import Final

WITH_SUSPENSION: Final = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Elsewhere than on Linux there is no other than the monotonic one."""


def now() -> float:
    """Seconds since the box was started, those for which it was suspended among them."""
    return time.clock_gettime(WITH_SUSPENSION)
