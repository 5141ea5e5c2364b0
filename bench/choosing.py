"""What the choice of an engine costs a gateway, by the number of engines and gateways.

    python -m bench.choosing

Prints microseconds of processor time for each request: which engines may take a prompt, which of
them are asked about, who keeps their backlogs, and which is best.  Datagrams are not sent; a
question and its answer are measured by `bench.backlogs`.
"""

from __future__ import annotations

import random
import time
from typing import Final

from ramppost import clock
from ramppost.gateway.admit import Admitted
from ramppost.gateway.job import Job
from ramppost.gateway.model import Prompt, Route, Upstream
from ramppost.gateway.pick import engines_to_query, pick
from ramppost.gateway.state import Gateway
from ramppost.gateway.watchers import apply_config
from ramppost.platform import names
from ramppost.platform.headers import caller_request
from ramppost.platform.store import StoredObject
from tests.harness.gateways import SITE, STREAM, config
from tests.test_gateway_state import SETTINGS

HALLS: Final = ("bole", "kirkos", "yeka", "lideta", "arada", "gulele")
SIZES: Final = ((6, 4), (40, 68), (150, 68), (150, 410), (600, 410))
"""Engines and gateways."""
REQUESTS: Final = 400
ROUNDS: Final = 5
SUBJECTS: Final = 400
"""Different prompts: as many as a kind of request has on a large deployment."""
MODEL: Final = "small"


def fleet(engines: int, gateways: int) -> Gateway:
    """A gateway that knows so many engines and gateways."""
    gw = Gateway(SETTINGS)
    apply_config(gw, StoredObject(names.CONFIG_NAME, 1, config(1), None))
    for number in range(engines):
        hall = HALLS[number % len(HALLS)]
        gw.members.put(Upstream(f"i-{number}", "10.0.0.1:80", "lm", hall, "v1", 24, False, 7))
    for number in range(gateways - 1):
        gw.peers.put(f"g-{number}", f"10.0.1.1:{number + 1}", HALLS[number % len(HALLS)])
    return gw


def job_of(gw: Gateway, rng: random.Random) -> Job:
    """A request with a prompt of three parts."""
    head = ((b"host", SITE.encode()),)
    req = caller_request("POST", STREAM + "x", head, b"x" * 800)
    subject = rng.randrange(SUBJECTS)
    parts = ((f"s{subject % 3}", 500), (f"p{subject}", 4800), (f"own{rng.random()}", 6000))
    req = req._replace(prompt=Prompt(parts, 11300, 400), deadline_s=20.0)
    assert gw.table is not None
    route: Route = next(r for r in gw.table.routes[SITE] if r.prefix == STREAM)
    return Job(req, Admitted(route, None), clock.now())


def micros(engines: int, gateways: int) -> float:
    """Microseconds a request, the least of some rounds."""
    gw, rng = fleet(engines, gateways), random.Random(1)
    best = float("inf")
    for _ in range(ROUNDS):
        jobs = [job_of(gw, rng) for _ in range(REQUESTS)]
        began = time.process_time()
        for job in jobs:
            now = clock.now()
            for engine in engines_to_query(gw, job, "lm", MODEL, now):
                gw.backlogs.keeper(engine, now)
            pick(gw, job, "lm", MODEL, now)
        best = min(best, time.process_time() - began)
    return best / REQUESTS * 1e6


def main() -> None:
    """Print the table."""
    for engines, gateways in SIZES:
        print(f"{engines:4} engines, {gateways:3} gateways: {micros(engines, gateways):7.0f} us")


if __name__ == "__main__":
    main()
