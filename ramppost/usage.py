"""What a process has used so far, by its own accounting."""

from __future__ import annotations

import resource
from collections.abc import Iterable
from pathlib import Path
from typing import Final

from ramppost.platform.objects import Client
from ramppost.schema.messages import Usage
from ramppost.wire.server import Meter

PAGE_BYTES: Final = resource.getpagesize()
USAGE_PATH: Final = "/x/usage"


def usage(client: Client, meters: Iterable[Meter]) -> Usage:
    """CPU, memory, bytes and calls of the platform since the start."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    served = list(meters)
    return Usage(
        cpu_s=used.ru_utime + used.ru_stime,
        rss_bytes=int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES,
        bytes_in=client.pool.bytes_in + sum(m.bytes_in for m in served),
        bytes_out=client.pool.bytes_out + sum(m.bytes_out for m in served),
        platform_calls=client.calls,
    )
