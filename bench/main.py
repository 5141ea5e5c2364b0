"""`make bench`: one table of what the brief measures, each against baselines of the same run."""

from __future__ import annotations

import argparse

from bench.live import exposure, flood, goodput, retries
from bench.policies import TARGET, table

POOR = {"mode": "poor", "factor": 0.83}
FAILING = {"mode": "errors", "share": 0.5}


def _verdict(good: bool) -> str:
    return "met" if good else "MISSED"


def policies(seed: int) -> None:
    """Cost at the quality target."""
    lines = table(seed)
    best = lines[0].cost
    print(f"\nCost at the quality target {TARGET} (pure policies, drawn ratings)")
    print("| policy | mean rating | cost in always-best's |\n|---|---|---|")
    for line in lines:
        print(f"| {line.policy} | {line.quality:.4f} | {line.cost / best:.3f} |")
    learned = lines[-1]
    good = learned.quality >= TARGET and learned.cost <= 0.6 * best
    print(f"target: learned meets {TARGET} at 0.6 or less: {_verdict(good)}")


def priorities(seed: int, seconds: float) -> None:
    """Disputes under a batch flood."""
    print("\nDisputes alone and under a 4x batch flood, milliseconds")
    print("| limits | p50 alone | p99 alone | p50 flood | p99 flood | ratio | first p99 | served |")
    print("|---|---|---|---|---|---|---|---|")
    lines = [
        flood("ours", seed, seconds, flat=False, endless=False),
        flood("no limits", seed, seconds, flat=True, endless=True),
    ]
    for x in lines:
        first = f"{x.alone_first_p99:.0f} -> {x.flood_first_p99:.0f}"
        print(
            f"| {x.name} | {x.alone_p50:.0f} | {x.alone_p99:.0f} | {x.flood_p50:.0f} "
            f"| {x.flood_p99:.0f} | {x.ratio:.2f} | {first} | {x.served:.0%} |"
        )
    print(
        f"target: ratio at most 1.5: {_verdict(lines[0].ratio <= 1.5 and lines[0].served > 0.99)}"
    )


def overload(seed: int, seconds: float) -> None:
    """Goodput under overload."""
    print("\nGoodput, answers a second within the deadline")
    print("| limits | 1x | 2x | 4x | 4x in 1x |\n|---|---|---|---|---|")
    lines = [
        goodput("ours", seed, seconds, endless=False),
        goodput("no limits", seed, seconds, endless=True),
    ]
    for x in lines:
        shown = " | ".join(f"{x.per_s[n]:.1f}" for n in (1, 2, 4))
        print(f"| {x.name} | {shown} | {x.per_s[4] / x.per_s[1]:.2f} |")
    first = lines[0].per_s
    print(f"target: at 4x at least 0.9 of 1x: {_verdict(first[4] >= 0.9 * first[1])}")


def exposures(seed: int, seconds: float) -> None:
    """Requests that reach a bad version."""
    print("\nRequests that reached a bad version before it was out everywhere")
    print("| version | guards | requests | seconds |\n|---|---|---|---|")
    found = {}
    for name, fault in (("fails half", FAILING), ("rated worse", POOR)):
        for guards in (True, False):
            x = exposure(name, seed, seconds, fault, guards)
            found[name, guards] = x.requests
            print(f"| {name} | {'ours' if guards else 'none'} | {x.requests} | {x.seconds:.1f} |")
    good = found["fails half", True] <= 30 and found["rated worse", True] <= 150
    print(f"target: at most 30 and 150: {_verdict(good)}")


def amplification(seed: int, seconds: float) -> None:
    """Retries while engines fail."""
    x = retries(seed, seconds)
    print("\nBoth engines fail half their runs")
    print("| requests | runs at the engines | runs a request | served |\n|---|---|---|---|")
    print(f"| {x.asked} | {x.runs} | {x.runs / x.asked:.3f} | {x.served} |")
    print(f"target: at most 1.10 runs a request: {_verdict(x.runs <= 1.10 * x.asked)}")


def main() -> None:
    """Run all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--seconds", type=float, default=15)
    args = parser.parse_args()
    print(f"make bench SEED={args.seed} SECONDS_EACH={args.seconds:g}")
    policies(args.seed)
    priorities(args.seed, args.seconds)
    overload(args.seed, args.seconds)
    exposures(args.seed, args.seconds)
    amplification(args.seed, args.seconds)


if __name__ == "__main__":
    main()
