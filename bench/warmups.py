"""Compares strategies that keep the gateways' combined request rate within a warm-up limit.

    python -m bench.warmups

Each row shows one strategy at one fleet size, averaged over several seeds: requests in the busiest
second at one engine that is warming up, the fraction of the engines' total limit that is used, the
fraction of requests that no engine can take immediately, and datagrams per request.  `shares` is
the strategy that gateways implement.  With `spacing`, each gateway waits between requests to the
same engine for as long as its even part of the limit requires.  With `grants`, every request asks
the engine's keeper, which counts for all gateways; during the first second, half of the gateways
still ask the previous keeper.
"""

from __future__ import annotations

import bisect
import itertools
import random
import statistics
from collections.abc import Callable
from typing import Final, NamedTuple

from ramppost.policy.warmup import SentWindow, share_of

LIMIT_PER_S: Final = 14
SIZES: Final = (4, 29, 68, 298)
FEW_ENGINES: Final = 8
"""Engines available, all warming up; the remaining rows have one engine per gateway."""
DURATION_S: Final = 5.0
SEEDS: Final = range(3)
LOADS: Final = (0.5, 1.5)
"""Request rates, as fractions of the engines' total limit."""
MaySend = Callable[[int, str, float], bool]
"""Whether a gateway may send a request to an engine at the given time."""


class Result(NamedTuple):
    """Measurements of one simulation; see the module docstring."""

    busiest: float
    used: float
    refused: float
    datagrams: float


class Strategy(NamedTuple):
    """A strategy, and the number of datagrams that it has sent so far."""

    may_send: MaySend
    datagrams: Callable[[], int]


def shares(size: int) -> Strategy:
    """Each gateway has a fixed share of each engine's limit."""
    fleet = [f"g{number}" for number in range(size)]
    windows: dict[tuple[int, str], SentWindow] = {}
    share_by_key: dict[tuple[int, str], int] = {}

    def may_send(gateway: int, engine: str, now: float) -> bool:
        key = (gateway, engine)
        if key not in share_by_key:
            share_by_key[key] = share_of(fleet[gateway], engine, fleet, LIMIT_PER_S)
        return _try_send(windows.setdefault(key, SentWindow()), share_by_key[key], now)

    return Strategy(may_send, lambda: 0)


def spacing(size: int) -> Strategy:
    """Each gateway sends requests to an engine at a minimum interval of `size / LIMIT_PER_S`."""
    last: dict[tuple[int, str], float] = {}

    def may_send(gateway: int, engine: str, now: float) -> bool:
        if now - last.get((gateway, engine), -1000.0) < size / LIMIT_PER_S:
            return False
        last[gateway, engine] = now
        return True

    return Strategy(may_send, lambda: 0)


def grants(size: int) -> Strategy:
    """The engine's keeper counts requests; half of the gateways first ask the previous keeper."""
    windows: dict[tuple[bool, str], SentWindow] = {}
    datagrams = [0]

    def may_send(gateway: int, engine: str, now: float) -> bool:
        datagrams[0] += 2
        old_keeper = gateway % 2 == 0 and now < 1.0
        window = windows.setdefault((old_keeper, engine), SentWindow())
        return _try_send(window, LIMIT_PER_S, now)

    return Strategy(may_send, lambda: datagrams[0])


def _try_send(window: SentWindow, share: int, now: float) -> bool:
    if window.wait_s(share, now) > 0:
        return False
    window.sent(now)
    return True


def simulate(strategy: Strategy, size: int, count: int, load: float, seed: int) -> Result:
    """Simulate Poisson arrivals; each request tries the engines in random order."""
    rng = random.Random(seed)
    engines = [f"i-{number}" for number in range(count)]
    sent: dict[str, list[float]] = {engine: [] for engine in engines}
    requests = refused = 0
    now = 0.0
    while (now := now + rng.expovariate(load * LIMIT_PER_S * count)) < DURATION_S:
        requests += 1
        gateway = rng.randrange(size)
        order = rng.sample(engines, count)
        found = next((engine for engine in order if strategy.may_send(gateway, engine, now)), "")
        if found:
            sent[found].append(now)
        else:
            refused += 1
    busiest = max(_busiest(times) for times in sent.values())
    used = sum(map(len, sent.values())) / (LIMIT_PER_S * count * DURATION_S)
    return Result(busiest, used, refused / requests, strategy.datagrams() / requests)


def _busiest(times: list[float]) -> int:
    return max((bisect.bisect_left(times, at + 1.0) - n for n, at in enumerate(times)), default=0)


def main() -> None:
    """Print the table."""
    print("gateways engines load strategy busiest second  used      refused  datagrams")
    for size, count in itertools.chain(*([(n, FEW_ENGINES), (n, n)] for n in SIZES)):
        for load in LOADS:
            for make in (shares, spacing, grants):
                results = [simulate(make(size), size, count, load, seed) for seed in SEEDS]
                _print_row(f"{size:8} {count:7} {load:4} {make.__name__:8}", results)


def _print_row(label: str, results: list[Result]) -> None:
    busiest, used, refused, datagrams = map(statistics.mean, zip(*results, strict=True))
    print(f"{label} {busiest:14.1f} {used:5.2f} {refused:12.3f} {datagrams:10.1f}")


if __name__ == "__main__":
    main()
