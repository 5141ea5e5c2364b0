"""Compares ways to place prompts on engines of uneven speed, in a simulation without a network.

    python -m bench.uneven [GATEWAYS ...]
    python -m bench.uneven --weights [GATEWAYS ...]

Each row shows one way at one fleet size, over several seeds; see `bench.placement_model`.  Times to
the first token and to the end are in seconds from the arrival of a request, and include the prompt
of the first model; a stream lasts from its first token to its last.  `late` is the share of
requests whose first token came after the objective.  `read` and `tokens` are the reading time (at
usual speed) and the tokens generated of a fast engine, divided by those of a slow one; 2.18 matches
their speeds.  `again` is the share of shared prompt tokens that were read although an engine had
read them before, and `sent` the datagrams for each request.  With `--weights`, a row shows the
weights of decoding time and of delays to running streams, relative to those in use.
"""

from __future__ import annotations

import itertools
import statistics
import sys
from collections.abc import Callable
from typing import Any, Final, NamedTuple
from unittest import mock

from bench.engine_model import Attempt, Engine, is_fast
from bench.gateway_model import Way
from bench.placement_model import USUAL_GATEWAYS, Simulation
from ramppost.policy import placement

SIZES: Final = (4, 24, 68, 298)
DURATION_S: Final = 25.0
SEEDS: Final = (1, 2)
WEIGHT_SEEDS: Final = (1, 2, 3, 4)
WEIGHT_FACTORS: Final = (1 / 3, 1.0, 3.0)
KEEPERS: Final = Way("keepers", True, "keepers")
WAYS: Final = (
    Way("as it stands"),
    Way("with reports", True),
    Way("alone", True, "alone"),
    KEEPERS,
    Way("pace", True, "keepers", True),
)


class Result(NamedTuple):
    """Measurements of one simulation; see the module docstring."""

    first_p50: float
    first_p95: float
    stream_p50: float
    stream_p95: float
    end_p50: float
    end_p95: float
    late: float
    fast_read: float
    fast_tokens: float
    again: float
    datagrams: float


def simulate(
    way: Way, size: int, seed: int, duration_s: float = DURATION_S, load: float = 1.0
) -> Result:
    """Simulate a fleet of `size` gateways at `load` times the usual rate of requests."""
    sim = Simulation(way, size, seed, duration_s, load)
    sim.run()
    first = _quantiles(sim.answers, lambda a: a.began_at - a.request.arrived)
    stream = _quantiles(sim.answers, lambda a: a.ended_at - a.began_at)
    end = _quantiles(sim.answers, lambda a: a.ended_at - a.request.arrived)
    late = sim.late / sim.requests
    again = sim.tokens_again / sim.shared_tokens
    work = (_ratio(sim, lambda e: e.read_s), _ratio(sim, lambda e: e.tokens_out))
    datagrams = sim.datagrams / sim.requests
    return Result(*first, *stream, *end, late, *work, again, datagrams)


def _ratio(sim: Simulation, work: Callable[[Engine], float]) -> float:
    """Mean work of a fast engine divided by that of a slow one."""
    fast = statistics.mean(work(e) for e in sim.engines.values() if is_fast(e))
    return fast / statistics.mean(work(e) for e in sim.engines.values() if not is_fast(e))


def _quantiles(answers: list[Attempt], value: Callable[[Attempt], float]) -> tuple[float, float]:
    cuts = statistics.quantiles(map(value, answers), n=20)
    return cuts[9], cuts[18]


def main() -> None:
    """Print the table, or that of the weights."""
    print(
        "gateways way              first        stream          end  late  read tokens again  sent"
    )
    if sys.argv[1:2] == ["--weights"]:
        for size in map(int, sys.argv[2:] or (USUAL_GATEWAYS,)):
            _print_weights(size)
        return
    for size in map(int, sys.argv[1:] or SIZES):
        for way in WAYS:
            _print_row(size, way.name, [simulate(way, size, seed) for seed in SEEDS])


def _print_weights(size: int) -> None:
    """Results by the weights of decoding time and of delays to streams, relative to the present."""
    decode, delay = placement.DECODE_WEIGHT, placement.STREAM_DELAY_WEIGHT
    for decode_times, delay_times in itertools.product(WEIGHT_FACTORS, repeat=2):
        weights: dict[str, Any] = {
            "DECODE_WEIGHT": decode * decode_times,
            "STREAM_DELAY_WEIGHT": delay * delay_times,
        }
        with mock.patch.multiple(placement, **weights):
            results = [simulate(KEEPERS, size, seed) for seed in WEIGHT_SEEDS]
        _print_row(size, f"{decode_times:.2f}, {delay_times:.2f}", results)


def _print_row(size: int, label: str, results: list[Result]) -> None:
    mean = Result(*map(statistics.mean, zip(*results, strict=True)))
    times = " ".join(f"{value:6.3f}" for value in mean[:6])
    shares = f"{mean.late:.3f} {mean.fast_read:5.2f} {mean.fast_tokens:6.2f} {mean.again:5.3f}"
    print(f"{size:8} {label:13} {times} {shares} {mean.datagrams:5.1f}", flush=True)


if __name__ == "__main__":
    main()
