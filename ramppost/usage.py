"""Resource usage of the current process."""

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
    """Return CPU time, memory, bytes transferred and platform calls since the process started."""
    rusage = resource.getrusage(resource.RUSAGE_SELF)
    server_meters = list(meters)
    return Usage(
        cpu_s=rusage.ru_utime + rusage.ru_stime,
        rss_bytes=int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES,
        bytes_in=client.pool.bytes_in + sum(meter.bytes_in for meter in server_meters),
        bytes_out=client.pool.bytes_out + sum(meter.bytes_out for meter in server_meters),
        platform_calls=client.calls,
    )
