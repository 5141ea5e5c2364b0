"""The monotonic clock from which every age, lease and deadline is computed.

On Linux, `time.monotonic` does not advance while a box is suspended, so state read before the
suspension would count as fresh although keys were revoked and upstreams left in the meantime.
This clock includes suspended time.  Neither clock jumps when the time of day is changed.
"""

from __future__ import annotations

import time
from typing import Final

CLOCK_ID: Final = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Falls back to the monotonic clock on systems other than Linux, which lack CLOCK_BOOTTIME."""


def now() -> float:
    """Seconds since the box was booted, including the time it was suspended."""
    return time.clock_gettime(CLOCK_ID)
