"""Signals to a gateway that has just been started."""

from __future__ import annotations

import signal
import socket
import time
from pathlib import Path

from tests.harness.gateways import Deployment
from tests.harness.scripted import HOST

GATEWAY = "gateway-1"


def test_sighup_during_the_imports_ended_the_process(tmp_path: Path) -> None:
    site = Deployment(tmp_path, gateways=1)
    try:
        site.signal(GATEWAY, signal.SIGKILL)
        site.wait_end(GATEWAY)
        site.start_gateway(GATEWAY)
        with socket.socket() as caller:
            while caller.connect_ex((HOST, site.port(GATEWAY))):
                time.sleep(0.002)
        site.signal(GATEWAY, signal.SIGHUP)
        site.wait_ready(GATEWAY)
    finally:
        site.stop()
