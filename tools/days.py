"""`make days`: plays the regression deployments and prints each day beside the last landing's.

    make days BENCH=path/to/bench SITES="a.toml b.toml" [SAVE=1]

The users' bench scores one site after the other and keeps its own entries.  With SAVE the figures
become those that the next run is compared with (`docs/days.json`).  Where a site's mean falls by
more than is allowed, or its gate was not passed, the exit code is 1.
"""

from __future__ import annotations

import argparse
import json
import re
import subprocess
import sys
from pathlib import Path
from typing import Final, TypedDict

ROOT: Final = Path(__file__).parents[1]
KEPT: Final = ROOT / "docs" / "days.json"
DAY_LINE: Final = re.compile(r"^(\S+)\s+\d+/\d+\s+[\d.]+\s+(-?[\d.]+)\s+[\d.]+\s")
PASSED: Final = "GATE passed"
CALM: Final = "quiet"
ALLOWED_FALL: Final = 0.03
"""What a deployment's mean may fall by; a change below it is within what a day varies by."""


class Score(TypedDict):
    """What a site's days were worth."""

    passed: bool
    days: dict[str, float]


def parse(text: str) -> Score:
    """The score that the bench has printed.

    >>> parse("quiet-1    146/84   0.67  0.768  0.966   0.000\\nGATE passed\\n")
    {'passed': True, 'days': {'quiet-1': 0.768}}
    """
    found = [match for line in text.splitlines() if (match := DAY_LINE.match(line))]
    days = {match[1]: float(match[2]) for match in found}
    return Score(passed=PASSED in text, days=days)


def mean(score: Score) -> float:
    """The mean of a site's standard days with trouble; 0 where it has none.

    >>> mean(Score(passed=True, days={"quiet-1": 0.9, "scale-1": 0.6, "fresh-1": 0.1}))
    0.6
    """
    days = [v for name, v in score["days"].items() if not name.startswith((CALM, "fresh"))]
    return sum(days) / len(days) if days else 0.0


def table(site: str, now: Score, before: Score | None) -> list[str]:
    """Lines of the page: each day and the mean, with what they were before."""
    lines = [f"{site}: gate {'passed' if now['passed'] else 'FAILED'}"]
    for day, worth in now["days"].items():
        was = before["days"].get(day) if before is not None else None
        lines.append(f"  {day:12} {worth:.3f}" + (f"  ({was:.3f})" if was is not None else ""))
    was_mean = f"  ({mean(before):.3f})" if before is not None else ""
    lines.append(f"  {'mean':12} {mean(now):.3f}{was_mean}")
    return lines


def fell(now: Score, before: Score | None) -> bool:
    """Whether a site is worse than is allowed."""
    return before is not None and mean(now) < mean(before) - ALLOWED_FALL


def played(bench: str, site: str, jobs: int, why: str) -> Score:
    """Let the bench score a site."""
    command = [bench, "score", site, "--jobs", str(jobs), "--why", why]
    got = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    return parse(got.stdout)


def main() -> int:
    """Score the sites that the arguments name."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("sites", nargs="+", help="site files")
    parser.add_argument("--bench", required=True, help="the users' bench")
    parser.add_argument("--jobs", type=int, default=4, help="days played at once")
    parser.add_argument("--why", default="regression run", help="a line for the journal")
    parser.add_argument("--save", action="store_true", help="compare with these from now on")
    args = parser.parse_args()
    kept: dict[str, Score] = json.loads(KEPT.read_text()) if KEPT.exists() else {}
    worse = False
    for path in args.sites:
        site = Path(path).stem
        now = played(args.bench, path, args.jobs, args.why)
        print("\n".join(table(site, now, kept.get(site))), flush=True)
        worse = worse or not now["passed"] or fell(now, kept.get(site))
        if args.save:
            kept[site] = now
    if args.save:
        KEPT.write_text(json.dumps(kept, indent=2) + "\n")
    return 1 if worse else 0


if __name__ == "__main__":
    sys.exit(main())
