"""A deployment whose service `raw` is served by scripts."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, Final

from tests.harness.gateways import Deployment, config
from tests.harness.scripted import Peer, Script

PROPAGATION_S: Final = 1.0


@contextmanager
def raw_site(
    folder: Path,
    routes: list[dict[str, Any]],
    *scripts: Script,
    max_body_bytes: int = 0,
    **settings: Any,
) -> Iterator[Deployment]:
    """A gateway, with an upstream of the service `raw` for each script."""
    site = Deployment(folder, gateways=1, engines=1, services=1, **settings)
    peers = [Peer(script) for script in scripts]
    try:
        doc = config(2, routes=routes)
        doc["services"].append({"name": "raw", "max_conns": 100})
        if max_body_bytes:
            doc["limits"]["max_body_bytes"] = max_body_bytes
        site.configure(doc)
        for number, peer in enumerate(peers):
            site.put_entry(f"raw-{number}", "raw", peer.addr)
        time.sleep(PROPAGATION_S)
        yield site
    finally:
        site.stop()
        for peer in peers:
            peer.close()
